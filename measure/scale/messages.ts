import type { NetworkRule } from "@thorntrail/emulator/network-rules";
import type { JobSpec } from "../../packages/protocol/src/jobs.js";

/**
 * What the processes of a scale run say to each other: the coordinator on one side, hollow workers
 * and the client population on the other. Times are ms of the machine's steady clock, which all of them share.
 */

/** A job of the run: when it is submitted, and how long each of its tasks runs. */
export interface PlannedJob {
  spec: JobSpec;
  /** After the run began. */
  atMs: number;
  runMs: number;
  fetchMs: number;
}

export interface WorkerTiming {
  reportMs: number;
  leaseMs: number;
  gangWaitMs: number;
  gangPeerMs: number;
}

export type ToWorkers =
  | { kind: "init"; fronts: [name: string, address: string][]; jobs: PlannedJob[]; timing: WorkerTiming; seed: number }
  | { kind: "boot"; host: string; type: string; zone: string; spot: boolean; room: { cpus: number; gpus: number; ram: number } }
  | { kind: "end"; host: string }
  /** What goes wrong on the way between these workers and the controllers, for so long. */
  | { kind: "rule"; rule: NetworkRule; forMs: number }
  /** A controller has taken a partition: reports that were kept for it come now. */
  | { kind: "taken" }
  | { kind: "look" };

/** A task that came onto a machine, or went; `cause` of those that went. */
export type TaskEvent = [at: number, piece: string, host: string, cause: string | null];

/** What a process of hollow workers has seen so far; counters grow. */
export interface WorkersSeen {
  workers: number;
  reports: number;
  late: number;
  unanswered: number;
  /** Tasks that began, and those on a machine just now. */
  starts: number;
  running: number;
  mostRunning: number;
  /** Tasks that began in each second of the steady clock. */
  startsBySecond: [second: number, count: number][];
  /** When the last of a job's tasks first began, and how many have. */
  jobs: [ref: string, begun: number, lastAt: number][];
  /** Bytes of this process's connections, without the headers of TCP and IP. */
  sent: number;
  received: number;
  loopP99Ms: number;
  loopWorstMs: number;
}

export type FromWorkers =
  | { kind: "tasks"; events: TaskEvent[] }
  | { kind: "ready" }
  | { kind: "booted"; host: string; address: string }
  | { kind: "seen"; seen: WorkersSeen };

/** `followed`: each job is polled until it is done. */
export type ToClients =
  { kind: "init"; fronts: string[]; jobs: PlannedJob[]; followed: boolean; pollsPerS: number; seed: number } | { kind: "look" };

/** What the client population has seen so far. */
export interface ClientsSeen {
  submissions: { ref: string; at: number; acceptedAt: number | null; tries: number; doneAt: number | null }[];
  submitMs: { p50: number; p99: number; worst: number };
  polls: number;
  pollMs: { p50: number; p99: number; worst: number };
  answers: [status: number, count: number][];
  loopP99Ms: number;
  loopWorstMs: number;
}

export type FromClients = { kind: "ready" } | { kind: "seen"; seen: ClientsSeen };

/** ms of the machine's steady clock. */
export function steadyMs(): number {
  return Number(process.hrtime.bigint() / 1000n) / 1000;
}
