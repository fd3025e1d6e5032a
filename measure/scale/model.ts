import { readFileSync } from "node:fs";
import type { Slope } from "../slopes/slope.js";

/** Predicts the load of each role for given amounts from measured slopes. */

/** Amounts that the load of the fleet depends on, at one time of day. */
export interface Amounts {
  controllers: number;
  machines: number;
  tasks: number;
  teams: number;
  startsPerS: number;
  smallJobsPerS: number;
  pollsPerS: number;
  /** Job arrays with tasks that end at this time. */
  arraysEnding: number;
  /** Machines that are rented or returned. */
  rentalsPerS: number;
  openJobs: number;
  finishedJobs: number;
}

/** Contents of a slopes file. */
export interface SlopeFile {
  quick: boolean;
  cores: number;
  /** Memory of one more object of each kind, in bytes by name. */
  bytes: Record<string, number>;
  slopes: Slope[];
}

/** A slopes file is invalid, or has no slope of a requested name. */
export class SlopesFileError extends Error {}

/** Predicted load of each role. Cores and memory are those of one process of the role. */
export interface Loads {
  controller_cores: number;
  controller_mb: number;
  worker_cores: number;
  worker_mb: number;
  worker_bytes_per_s: number;
  state_requests_per_s: number;
  state_changes_per_s: number;
  store_cores: number;
  peer_bytes_per_s: number;
}

/** Slopes by name. */
export type SlopesByName = Map<string, Slope>;

/** Reads and checks a slopes file. */
export function loadSlopes(file: string): { slopes: SlopesByName; bytes: Record<string, number>; quick: boolean } {
  let parsed: SlopeFile;
  try {
    parsed = JSON.parse(readFileSync(file, "utf8")) as SlopeFile;
  } catch (error) {
    throw new SlopesFileError(`${file}: cannot be read as JSON: ${(error as Error).message}`);
  }
  if (!Array.isArray(parsed.slopes)) throw new SlopesFileError(`${file}: slopes: expected a list`);
  for (const [i, slope] of parsed.slopes.entries())
    if (typeof slope.name !== "string" || !Number.isFinite(slope.slope) || !Number.isFinite(slope.intercept))
      throw new SlopesFileError(`${file}: slopes.${i}: expected a name, a slope and an intercept`);
  return { slopes: new Map(parsed.slopes.map((slope) => [slope.name, slope])), bytes: parsed.bytes, quick: parsed.quick };
}

/** Returns the slope of that name; throws `SlopesFileError` if the file has none. */
export function findSlope(slopes: SlopesByName, name: string): Slope {
  const found = slopes.get(name);
  if (found === undefined) throw new SlopesFileError(`slopes: ${name}: expected among the measured slopes`);
  return found;
}

const MS_PER_SECOND = 1000;
const BYTES_PER_MB = 1e6;
/** TCP and IP headers of a packet. */
const PACKET_HEADER_BYTES = 52;
/** Packets of a request and its response, including acknowledgements. */
const PACKETS_PER_REQUEST = 4;
/** Ordered pairs among the three controllers with which the messages about teams were measured. */
const MEASURED_CONTROLLER_PAIRS = 6;
const REPORTS_PER_WORKER_SECOND = 0.4;

/** Adds up slope times amount for each dependence. Negative slopes and intercepts, which come from noise, count as 0. */
export function predictLoads(slopes: SlopesByName, bytes: Record<string, number>, amounts: Amounts): Loads {
  const slope = (name: string): number => Math.max(0, findSlope(slopes, name).slope);
  const intercept = (name: string): number => Math.max(0, findSlope(slopes, name).intercept);
  const { controllers, machines, tasks, teams, startsPerS, smallJobsPerS, pollsPerS, arraysEnding, rentalsPerS, openJobs, finishedJobs } =
    amounts;
  const controllerMs =
    intercept("controller_machine") +
    slope("controller_peer") * controllers +
    // Measured with three controllers. The full-size run with 22 showed no higher cost (docs/CAPACITY.md).
    slope("controller_team") * teams +
    (slope("controller_machine") * machines +
      slope("controller_running_task") * tasks +
      slope("controller_start") * startsPerS +
      slope("controller_small_job") * smallJobsPerS +
      slope("controller_poll") * pollsPerS) /
      controllers;
  const bytesOf = (name: string): number => bytes[name] ?? 0;
  const controllerMb =
    intercept("controller_start_memory") +
    slope("controller_peer_memory") * controllers +
    slope("controller_team_memory") * teams +
    (slope("controller_machine_memory") * machines + slope("controller_running_task_memory") * tasks) / controllers +
    (bytesOf("open_job_record_bytes") * openJobs +
      bytesOf("finished_job_bytes") * finishedJobs +
      (bytesOf("queued_job_bytes") * openJobs) / controllers) /
      BYTES_PER_MB;
  // Each controller groups the ends of tasks into a few changes per second, however many tasks end.
  const endChanges = startsPerS > 0 ? intercept("state_changes_array") * controllers + slope("state_changes_array") * arraysEnding : 0;
  const changes =
    slope("state_changes_controller") * controllers +
    slope("state_changes_small_job") * smallJobsPerS +
    slope("state_changes_machine") * rentalsPerS +
    endChanges;
  const startsPerWorker = startsPerS / machines;
  const tasksPerWorker = tasks / machines;
  return {
    controller_cores: controllerMs / MS_PER_SECOND,
    controller_mb: controllerMb,
    worker_cores:
      (slope("worker_idle_processor") +
        slope("worker_running_task_processor") * tasksPerWorker +
        slope("worker_start_processor") * startsPerWorker) /
      MS_PER_SECOND,
    worker_mb: slope("worker_idle_memory"),
    worker_bytes_per_s:
      slope("worker_idle_sent") +
      slope("worker_idle_received") +
      slope("worker_running_task_sent") * tasksPerWorker +
      (slope("worker_start_sent") + slope("worker_start_received")) * startsPerWorker +
      PACKET_HEADER_BYTES * PACKETS_PER_REQUEST * (REPORTS_PER_WORKER_SECOND + Math.min(2, startsPerWorker)),
    state_requests_per_s:
      slope("state_requests_controller") * controllers +
      slope("state_requests_small_job") * smallJobsPerS +
      slope("state_requests_poll") * pollsPerS +
      slope("state_changes_machine") * rentalsPerS +
      endChanges,
    state_changes_per_s: changes,
    store_cores: (slope("store_controller") * controllers + slope("store_small_job") * smallJobsPerS) / MS_PER_SECOND,
    peer_bytes_per_s:
      (slope("loopback_pair") + (slope("loopback_team") * teams) / MEASURED_CONTROLLER_PAIRS) * controllers * (controllers - 1),
  };
}
