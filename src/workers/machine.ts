import type { Placement } from "../queue/unit.js";

export type TaskState = "fetching" | "gathering" | "running" | "saving" | "exited";
export type ExitCause = "done" | "stopped" | "mates_gone" | "alone" | "error" | "no_room" | "busy" | "no_such";

export interface ReportedTask {
  piece: string;
  attempt: number;
  state: TaskState;
  cause: ExitCause | null;
  saved: boolean;
}

export interface Report {
  host: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  session: number;
  seq: number;
  token: number;
  noticeS: number | null;
  tasks: ReportedTask[];
}

export type Order =
  | { verb: "start"; piece: string; attempt: number }
  | { verb: "stop"; piece: string; attempt: number; graceS: number }
  | { verb: "clear"; piece: string; attempt: number };

export interface Capacity {
  cpus: number;
  gpus: number;
  ram: number;
}

/**
 * A machine of a part as its leader sees it. `placements` holds everything
 * that is, or may be, on the machine; exited attempts stay listed until the
 * worker has been told to clear them.
 */
export interface Machine {
  host: string;
  type: string;
  zone: string;
  spot: boolean;
  capacity: Capacity;
  addr: string | null;
  /** The durable record says so: a later leader knows it must fence it. */
  up: boolean;
  /** It has seen our token, or can hold no tasks: nothing older can start. */
  fenced: boolean;
  session: number;
  seq: number;
  token: number;
  heardAt: number;
  answeredAt: number;
  /** Its lease ran out, as far as we can prove. */
  lost: boolean;
  noticeAt: number | null;
  hiredAt: number;
  idleSince: number;
  deleting: boolean;
  draining: boolean;
  errors: Map<string, number>;
  avoidUntil: number;
  images: Set<string>;
  placements: Map<string, Placement>;
  exited: Map<string, ReportedTask>;
  /** Attempts whose direct start may still arrive in this session. */
  held: Set<string>;
  directBusy: boolean;
  directFailedAt: number;
  pace: { sum: number; count: number };
}

export function attemptKey(piece: string, attempt: number): string {
  return `${piece}#${attempt}`;
}

export function newMachine(host: string, type: string, zone: string, spot: boolean, capacity: Capacity, hiredAt: number): Machine {
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
    heardAt: -Infinity,
    answeredAt: -Infinity,
    lost: false,
    noticeAt: null,
    hiredAt,
    idleSince: hiredAt,
    deleting: false,
    draining: false,
    errors: new Map(),
    avoidUntil: -Infinity,
    images: new Set(),
    placements: new Map(),
    exited: new Map(),
    held: new Set(),
    directBusy: false,
    directFailedAt: -Infinity,
    pace: { sum: 0, count: 0 },
  };
}

/** What is left on a machine once all that may be on it is counted. */
export function freeRoom(machine: Machine): Capacity {
  const free = { ...machine.capacity };
  for (const placement of machine.placements.values()) {
    free.cpus -= placement.unit.spec.cpus;
    free.gpus -= placement.unit.spec.gpus;
    free.ram -= placement.unit.spec.ram;
  }
  return free;
}

/** May new work go there now? */
export function usable(machine: Machine, now: number, silentMs: number): boolean {
  return (
    machine.up &&
    machine.fenced &&
    !machine.lost &&
    !machine.deleting &&
    !machine.draining &&
    machine.noticeAt === null &&
    machine.avoidUntil <= now &&
    now - machine.heardAt < silentMs
  );
}
