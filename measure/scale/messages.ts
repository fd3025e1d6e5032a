import type { NetworkRule } from "@thorntrail/emulator/network-rules";
import type { JobSpec } from "../../packages/protocol/src/jobs.js";

/**
 * Messages between the processes of a scale run: the coordinator on one side, the processes of hollow workers and the
 * client process on the other. Times are in ms of the machine's monotonic clock, which all processes share.
 */

/** A job of the run: when it is submitted and how long each of its tasks runs. */
export interface PlannedJob {
  spec: JobSpec;
  /** Submission time, in ms after the client process starts. */
  submitAtMs: number;
  runMs: number;
  fetchMs: number;
}

/** Timeouts and intervals of the workers' protocol. */
export interface WorkerTiming {
  reportMs: number;
  leaseMs: number;
  gangWaitMs: number;
  gangPeerMs: number;
}

/** Messages from the coordinator to a process of hollow workers. */
export type CoordinatorToWorkers =
  | { kind: "init"; controllers: [name: string, apiAddress: string][]; jobs: PlannedJob[]; timing: WorkerTiming; seed: number }
  | { kind: "boot"; host: string; type: string; zone: string; spot: boolean; capacity: { cpus: number; gpus: number; ram: number } }
  | { kind: "remove"; host: string }
  /** Applies a network fault between these workers and the controllers for `forMs`. */
  | { kind: "networkRule"; rule: NetworkRule; forMs: number }
  /** A controller has taken over a partition: the workers now send all controllers the copies of old reports that they kept for this. */
  | { kind: "takeover" }
  | { kind: "requestStats" };

/** A task attempt that started (`cause` is null) or ended on a machine. */
export type TaskEvent = [at: number, taskId: string, host: string, cause: string | null];

/** Statistics of a process of hollow workers; counters cover the time since its start. */
export interface WorkersStats {
  workers: number;
  reports: number;
  lateReports: number;
  unansweredReports: number;
  /** Task starts, and tasks on a machine at present. */
  starts: number;
  running: number;
  maxRunning: number;
  /** Task starts in each second of the monotonic clock. */
  startsBySecond: [second: number, count: number][];
  /** By job: the number of tasks that have started, and when the last of them started for the first time. */
  jobStarts: [ref: string, startedTasks: number, lastAt: number][];
  /** Bytes on this process's connections, without TCP and IP headers. */
  sent: number;
  received: number;
  loopP99Ms: number;
  loopMaxMs: number;
}

/** Messages from a process of hollow workers to the coordinator. */
export type WorkersToCoordinator =
  | { kind: "taskEvents"; events: TaskEvent[] }
  | { kind: "ready" }
  | { kind: "booted"; host: string; address: string }
  | { kind: "stats"; stats: WorkersStats };

/** Messages from the coordinator to the client process. With `pollUntilDone`, each job is polled until it is done. */
export type CoordinatorToClients =
  | { kind: "init"; apiAddresses: string[]; jobs: PlannedJob[]; pollUntilDone: boolean; pollsPerS: number; seed: number }
  | { kind: "requestStats" };

/** Statistics of the client process since its start. */
export interface ClientsStats {
  submissions: { ref: string; at: number; acceptedAt: number | null; attempts: number; doneAt: number | null }[];
  submitMs: { p50: number; p99: number; worst: number };
  polls: number;
  pollMs: { p50: number; p99: number; worst: number };
  /** Responses by HTTP status; status 0 counts requests without a response. */
  responses: [status: number, count: number][];
  loopP99Ms: number;
  loopMaxMs: number;
}

/** Messages from the client process to the coordinator. */
export type ClientsToCoordinator = { kind: "ready" } | { kind: "stats"; stats: ClientsStats };

/** Returns the machine's monotonic clock in ms. All processes of the machine read the same clock. */
export function monotonicMs(): number {
  return Number(process.hrtime.bigint() / 1000n) / 1000;
}
