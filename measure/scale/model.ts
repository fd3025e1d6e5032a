import { readFileSync } from "node:fs";
import type { Slope } from "../slopes/slope.js";

/** What each role costs at a size, worked out from measured slopes: nothing here is measured itself. */

/** How much of everything there is, at one hour of the fleet. */
export interface Amounts {
  controllers: number;
  machines: number;
  tasks: number;
  teams: number;
  startsPerS: number;
  smallJobsPerS: number;
  pollsPerS: number;
  /** Arrays some of whose tasks end just now. */
  arraysEnding: number;
  /** Machines that are rented and returned. */
  rentalsPerS: number;
  openJobs: number;
  finishedJobs: number;
}

export interface SlopeFile {
  quick: boolean;
  cores: number;
  /** Bytes of one more of each, by name. */
  bytes: Record<string, number>;
  slopes: Slope[];
}

/** A slopes file that does not hold. */
export class SlopesFault extends Error {}

/** One role's use, worked out. Processor in cores of one process of the role. */
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

export type SlopeNames = Map<string, Slope>;

export function loadSlopes(file: string): { named: SlopeNames; bytes: Record<string, number>; quick: boolean } {
  let parsed: SlopeFile;
  try {
    parsed = JSON.parse(readFileSync(file, "utf8")) as SlopeFile;
  } catch (error) {
    throw new SlopesFault(`${file}: cannot be read as JSON: ${(error as Error).message}`);
  }
  if (!Array.isArray(parsed.slopes)) throw new SlopesFault(`${file}: slopes: expected a list`);
  for (const [i, slope] of parsed.slopes.entries())
    if (typeof slope.name !== "string" || !Number.isFinite(slope.slope) || !Number.isFinite(slope.intercept))
      throw new SlopesFault(`${file}: slopes.${i}: expected a name, a slope and an intercept`);
  return { named: new Map(parsed.slopes.map((slope) => [slope.name, slope])), bytes: parsed.bytes, quick: parsed.quick };
}

/** Throws for a slope that the file does not hold. */
export function slopeNamed(named: SlopeNames, name: string): Slope {
  const found = named.get(name);
  if (found === undefined) throw new SlopesFault(`slopes: ${name}: expected among what was measured`);
  return found;
}

const MS = 1000;
const MB = 1e6;
/** What the protocol's connections add to what is written to them: headers of TCP and IP, by packet. */
const PACKET_HEADER_BYTES = 52;
/** Packets of a request and its answer, acknowledgements included. */
const PACKETS_A_REQUEST = 4;
/** Ordered pairs of the three controllers over which the messages about a team were measured. */
const PAIRS_MEASURED = 6;
const REPORTS_A_WORKER_S = 0.4;

/** Every term is slope times amount; a slope below nothing, which noise gives, counts as nothing. */
export function loadsOf(named: SlopeNames, bytes: Record<string, number>, amounts: Amounts): Loads {
  const slope = (name: string): number => Math.max(0, slopeNamed(named, name).slope);
  const intercept = (name: string): number => Math.max(0, slopeNamed(named, name).intercept);
  const { controllers, machines, tasks, teams, startsPerS, smallJobsPerS, pollsPerS, arraysEnding, rentalsPerS, openJobs, finishedJobs } =
    amounts;
  const controllerMs =
    intercept("controller_machine") +
    slope("controller_peer") * controllers +
    // As measured over three controllers; over 22 the full-size run showed no more (docs/CAPACITY.md).
    slope("controller_team") * teams +
    (slope("controller_machine") * machines +
      slope("controller_running_task") * tasks +
      slope("controller_start") * startsPerS +
      slope("controller_small_job") * smallJobsPerS +
      slope("controller_poll") * pollsPerS) /
      controllers;
  const byte = (name: string): number => bytes[name] ?? 0;
  const controllerMb =
    intercept("controller_start_memory") +
    slope("controller_peer_memory") * controllers +
    slope("controller_team_memory") * teams +
    (slope("controller_machine_memory") * machines + slope("controller_running_task_memory") * tasks) / controllers +
    (byte("open_job_record_bytes") * openJobs +
      byte("finished_job_bytes") * finishedJobs +
      (byte("queued_job_bytes") * openJobs) / controllers) /
      MB;
  // Ends are written together: a few changes a second of each controller, however many there are.
  const endChanges = startsPerS > 0 ? intercept("state_changes_array") * controllers + slope("state_changes_array") * arraysEnding : 0;
  const changes =
    slope("state_changes_controller") * controllers +
    slope("state_changes_small_job") * smallJobsPerS +
    slope("state_changes_machine") * rentalsPerS +
    endChanges;
  const startsAWorker = startsPerS / machines;
  const tasksAWorker = tasks / machines;
  return {
    controller_cores: controllerMs / MS,
    controller_mb: controllerMb,
    worker_cores:
      (slope("worker_idle_processor") +
        slope("worker_running_task_processor") * tasksAWorker +
        slope("worker_start_processor") * startsAWorker) /
      MS,
    worker_mb: slope("worker_idle_memory"),
    worker_bytes_per_s:
      slope("worker_idle_sent") +
      slope("worker_idle_received") +
      slope("worker_running_task_sent") * tasksAWorker +
      (slope("worker_start_sent") + slope("worker_start_received")) * startsAWorker +
      PACKET_HEADER_BYTES * PACKETS_A_REQUEST * (REPORTS_A_WORKER_S + Math.min(2, startsAWorker)),
    state_requests_per_s:
      slope("state_requests_controller") * controllers +
      slope("state_requests_small_job") * smallJobsPerS +
      slope("state_requests_poll") * pollsPerS +
      slope("state_changes_machine") * rentalsPerS +
      endChanges,
    state_changes_per_s: changes,
    store_cores: (slope("store_controller") * controllers + slope("store_small_job") * smallJobsPerS) / MS,
    peer_bytes_per_s: (slope("loopback_pair") + (slope("loopback_team") * teams) / PAIRS_MEASURED) * controllers * (controllers - 1),
  };
}
