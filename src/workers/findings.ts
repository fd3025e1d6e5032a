/** What a report, or the loss of a machine, shows about attempts and machines, for the caller to act on. */
import type { EndedAttempt } from "../job-classes/class-accounting.js";
import type { Placement, TaskSet } from "../queue/task-set.js";
import type { FenceProof, Machine } from "./machine.js";
import type { TerminationProof } from "./termination-proof.js";

/** Effects of a report, or of the loss of a machine, for the caller to act on. */
export interface Findings {
  /** Something changed that may allow queued work to start. */
  changed: boolean;
  /** Task sets with completed tasks that are not yet recorded in the state service. */
  finished: Set<TaskSet>;
  /** Run times of tasks that were observed from start to completion, for the estimator. */
  runs: { taskSet: TaskSet; seconds: number; host: string }[];
  /** Attempts that were reported as running for the first time. */
  started: Placement[];
  /** Attempts that this owner has no record of ordering; `wanted` if they may continue. */
  adopted: { placement: Placement; wanted: boolean }[];
  /** Attempts of this term that are on a machine although they were proven to no longer exist. */
  seenAgain: Placement[];
  /** Attempts that provably no longer exist, and how they ended. */
  ended: EndedAttempt[];
  /** Attempts that were to be removed on the basis of an invalid proof, and therefore remain registered. */
  unproven: { placement: Placement; proof: TerminationProof; flaw: string }[];
  /** Machines that have become fenced, and the proof. */
  fenced: { machine: Machine; proof: FenceProof }[];
  /** Gangs that lost a task; their remaining tasks must be stopped before the gang can start again. */
  brokenGangs: Set<TaskSet>;
}

/** Creates empty findings, to which a report's effects are added. */
export function newFindings(): Findings {
  return {
    changed: false,
    finished: new Set(),
    runs: [],
    started: [],
    adopted: [],
    seenAgain: [],
    ended: [],
    unproven: [],
    fenced: [],
    brokenGangs: new Set(),
  };
}
