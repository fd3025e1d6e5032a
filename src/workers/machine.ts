/** The owner's in-memory state of a machine: capacity, session, lease, attempts and usage. */
import type { ReportedTask } from "@thorntrail/protocol/worker";
import { AttemptRegistry } from "../queue/attempts.js";
import type { Placement } from "../queue/task-set.js";
import { DirectStarts } from "./direct-starts.js";

/** Resources of a machine or of a share of it; `ram` in GB. */
export interface Capacity {
  cpus: number;
  gpus: number;
  ram: number;
}

/**
 * A machine of a partition, as known to the partition's owner. `placements` holds every attempt that is or may be on
 * the machine. Exited attempts stay in `exited` until a report no longer lists them, which is after the worker has
 * executed the order to discard them (`clear`). Times are in ms of the controller's monotonic clock.
 */
export interface Machine {
  host: string;
  type: string;
  zone: string;
  spot: boolean;
  capacity: Capacity;
  addr: string | null;
  /** The machine's rental record in the state service says that it is up, so a later owner will know that it must be fenced. */
  up: boolean;
  /**
   * No start ordered by a former owner can take effect on the machine: the worker has seen this owner's token, or
   * provably holds no tasks.
   */
  fenced: boolean;
  session: number;
  seq: number;
  /** Highest token that the worker has seen, as it last reported. */
  token: number;
  /**
   * Token of every message to the worker: the owner's term at first, later a revision at which it still owned the partition.
   * Never lowered, because the worker drops what carries a lower token than it has seen.
   */
  grantedToken: number;
  /** When the newest state of the worker was received, in a report or in the reply to a command. */
  lastReceivedAt: number;
  /** When the last report was received; before the first one, when this owner took the partition. Only reports renew the lease. */
  lastReportAt: number;
  /** Latest time at which the machine's lease may have been renewed, or a new one may have begun. */
  answeredAt: number;
  /** The machine's lease has provably expired, so its tasks are gone. */
  lost: boolean;
  /** Last session of which the lease has provably expired; reports of it that still arrive describe the past. 0 if there is none. */
  expiredSession: number;
  noticeAt: number | null;
  rentedAt: number;
  idleSince: number;
  deleting: boolean;
  draining: boolean;
  /** Number of failed tasks on this machine since the last completed one, by job reference. */
  failuresByJob: Map<string, number>;
  avoidUntil: number;
  images: Set<string>;
  placements: Map<string, Placement>;
  exited: Map<string, ReportedTask>;
  /** Start orders that were sent in direct commands, in this session. */
  directStarts: DirectStarts;
  /** Whether an attempt was first reported as exited after the answer to the previous report, or in the present one. */
  exitedSinceReport: boolean;
  /** Since when an exited attempt has been listed only because a copy of its start could still take effect; null if there is none. */
  clearHeldSince: number | null;
  commandInFlight: boolean;
  /** Number of consecutive direct commands that failed; `nextCommandAt` is when the next one may be sent. */
  failedCommands: number;
  /** Why the last direct command failed; null if it succeeded. */
  lastCommandError: string | null;
  nextCommandAt: number;
  /**
   * Sum and number of the logarithms of actual divided by expected run time, over the tasks of job arrays that were
   * completed on this machine; used to detect slow machines.
   */
  runTimeRatios: { sum: number; count: number };
  /** Resources that `placements` use, updated with each attempt that is added or removed. */
  used: Capacity;
  /** Usage by team in the whole partition; one object that all machines of the partition share, updated together with `used`. */
  teamUsage: Map<string, Usage>;
  /** Every attempt that may be on a machine of the partition; shared by all its machines and updated together with `used`. */
  attempts: AttemptRegistry<Placement>;
}

/**
 * Proof that no start ordered by a former owner can take effect on a machine. `token`: the worker reported the owner's
 * token. `lease`: the machine's lease has expired, whichever owner renewed it. `unused`: according to its rental record
 * the machine was never up, so no owner placed work on it. `deleted`: the cloud confirmed that the machine was deleted.
 */
export type FenceProof = "token" | "lease" | "unused" | "deleted";

/** CPUs and accelerators that a team uses or is granted. */
export interface Usage {
  cpus: number;
  gpus: number;
}

/** Returns the key of an attempt in the maps of a machine. */
export function attemptKey(taskId: string, attempt: number): string {
  return `${taskId}#${attempt}`;
}

/** Creates the state of a machine that is not known to be up and has no attempts. */
export function newMachine(host: string, type: string, zone: string, spot: boolean, capacity: Capacity, rentedAt: number): Machine {
  return {
    host,
    type,
    zone,
    spot,
    capacity,
    addr: null,
    up: false,
    fenced: false,
    session: 0,
    seq: 0,
    token: 0,
    grantedToken: 0,
    lastReceivedAt: -Infinity,
    lastReportAt: -Infinity,
    answeredAt: -Infinity,
    lost: false,
    expiredSession: 0,
    noticeAt: null,
    rentedAt,
    idleSince: rentedAt,
    deleting: false,
    draining: false,
    failuresByJob: new Map(),
    avoidUntil: -Infinity,
    images: new Set(),
    placements: new Map(),
    exited: new Map(),
    directStarts: new DirectStarts(),
    exitedSinceReport: false,
    clearHeldSince: null,
    commandInFlight: false,
    failedCommands: 0,
    lastCommandError: null,
    nextCommandAt: -Infinity,
    runTimeRatios: { sum: 0, count: 0 },
    used: { cpus: 0, gpus: 0, ram: 0 },
    teamUsage: new Map(),
    attempts: new AttemptRegistry(),
  };
}

function adjustUsage(machine: Machine, { taskSet: { spec } }: Placement, sign: 1 | -1): void {
  const { used, teamUsage } = machine;
  if (sign < 0 && machine.placements.size === 0) machine.used = { cpus: 0, gpus: 0, ram: 0 };
  else {
    used.cpus += sign * spec.cpus;
    used.gpus += sign * spec.gpus;
    used.ram += sign * spec.ram;
  }
  const team = teamUsage.get(spec.team);
  if (team === undefined) teamUsage.set(spec.team, { cpus: sign * spec.cpus, gpus: sign * spec.gpus });
  else {
    team.cpus += sign * spec.cpus;
    team.gpus += sign * spec.gpus;
  }
}

/**
 * Registers an attempt on a machine. Attempts are registered and removed only by this function and `removeAttempt`,
 * which keep the usage sums current, so that they need not be recomputed.
 */
export function addAttempt(machine: Machine, key: string, placement: Placement): void {
  machine.placements.set(key, placement);
  machine.attempts.add(placement);
  adjustUsage(machine, placement, 1);
}

/** Removes an attempt from a machine; does nothing if it is not registered. */
export function removeAttempt(machine: Machine, key: string): void {
  const placement = machine.placements.get(key);
  if (placement === undefined) return;
  machine.placements.delete(key);
  machine.attempts.remove(placement);
  adjustUsage(machine, placement, -1);
}

/** Returns the capacity of a machine that no registered attempt uses. */
export function freeCapacity({ capacity, used }: Machine): Capacity {
  return { cpus: capacity.cpus - used.cpus, gpus: capacity.gpus - used.gpus, ram: capacity.ram - used.ram };
}

/**
 * Returns whether new work may be placed on the machine. A machine that replies to commands but whose reports reach no
 * controller is excluded, because its lease will expire and end everything started on it.
 */
export function isUsable(machine: Machine, now: number, silentMs: number): boolean {
  return (
    machine.up &&
    machine.fenced &&
    !machine.lost &&
    !machine.deleting &&
    !machine.draining &&
    machine.noticeAt === null &&
    machine.avoidUntil <= now &&
    now - machine.lastReceivedAt < silentMs &&
    now - machine.lastReportAt < silentMs
  );
}
