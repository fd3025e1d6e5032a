import type { Urgency } from "@thorntrail/protocol/jobs";
import type { TaskSet } from "./task-set.js";

/** Order of a partition's queue. */

const RANK: Record<Urgency, number> = { critical: 0, urgent: 1, normal: 2, low: 3 };

/** Numeric rank of an urgency; lower is more urgent. */
export function rank(urgency: Urgency): number {
  return RANK[urgency];
}

/**
 * How the queue is ordered: `aims` by urgency and then by the classes' objectives, `urgency` by urgency and then by
 * arrival, `arrival` by arrival alone.
 */
export type OrderMode = "aims" | "urgency" | "arrival";

/** True if the task set inherits its urgency from a job that depends on it. */
const inheritsUrgency = (taskSet: TaskSet): boolean => taskSet.urgency !== taskSet.spec.urgency;

/** Sort keys of a partition's queue; lower values come first. */
export interface QueueOrder {
  rank: (taskSet: TaskSet) => number;
  /**
   * Submission time in ms, moved by the delays and precedences of the queue order; the earliest comes first among
   * task sets of equal rank.
   */
  effectiveArrival: (taskSet: TaskSet) => number;
  /**
   * Maximum number of the task set's tasks that may start in one cycle; 1 for a job array that comes first only so that
   * its first task starts.
   */
  maxStarts: (taskSet: TaskSet) => number;
}

/** Inputs of the queue order. */
export interface OrderContext {
  mode: OrderMode;
  nowWall: number;
  /** Time in seconds within which jobs of a class should be done; Infinity if the class has no such objective. */
  finishObjectiveS: (klass: string) => number;
  /** Time in seconds within which jobs of a class should start; Infinity if the class has no such objective. */
  startObjectiveS: (klass: string) => number;
  expectedRunS: (taskSet: TaskSet) => number;
  /** Maximum delay in seconds by which a job is moved back in the queue because of its size, if its class has no completion objective. */
  maxSizeDelayS: number;
  /** Seconds after its submission from which a job array without a started task is first in its priority, to start one task. */
  firstTaskAfterS: number;
  /**
   * True for work within its team's guarantee that should start within seconds for that reason. It precedes other work
   * of its priority.
   */
  withinGuarantee: (taskSet: TaskSet) => boolean;
  /**
   * True for work of a team that uses less than its guarantee, or of an underserved class (`underservedClasses`). Such
   * work precedes other work of its priority, in its usual order.
   */
  underserved: (taskSet: TaskSet) => boolean;
}

/**
 * Fraction of the step between two urgencies by which work that inherits its urgency from a dependent job ranks
 * behind work submitted with that urgency.
 */
const INHERITED_RANK_OFFSET = 0.5;

/** Deducted from the arrival time, in ms, of work that must precede other work of its priority; longer than any wait. */
const PRECEDENCE_MS = 1e9;

/**
 * True for a job array that should start its first task now. An array that is delayed for its size may wait behind all
 * smaller ones for longer than a user's working day. So after `firstTaskAfterS` it starts one task, which takes almost
 * no capacity from the others; its other tasks keep their position.
 */
function startsFirstTaskNow(taskSet: TaskSet, { mode, nowWall, firstTaskAfterS: beginS }: OrderContext): boolean {
  const begun = taskSet.started || taskSet.done.count > 0 || taskSet.lo > 0;
  return mode === "aims" && taskSet.spec.kind === "array" && !begun && nowWall - taskSet.submittedWall > beginS * 1000;
}

/**
 * Number of a job's tasks that are assumed to run at the same time; a larger number of waiting tasks is assumed to
 * run in several rounds.
 */
const EXPECTED_PARALLEL_TASKS = 4;

/** Returns a delay that grows with `seconds` but stays below `limit`, so that no job waits forever. */
const saturate = (limit: number, seconds: number): number => (limit * seconds) / (seconds + limit);

/**
 * Creates the queue order: first come, first served within a priority. In mode `aims`, a large job of a class with a
 * completion objective counts as having arrived later, so that several small ones meet the objective instead. The delay
 * grows with the expected time for its waiting tasks, less for each further one, and stays below the objective. A job
 * that has missed its start objective is delayed further, by the length of that objective, in favour of jobs that can
 * still meet it. A job that can no longer be done in time is delayed further by the length of the completion objective.
 * All delays are bounded, so nothing waits forever.
 *
 * Jobs of classes without a completion objective are delayed according to their remaining work. When there is more work
 * than capacity, first come, first served begins everything and finishes little, and a half-done job array is of no use
 * to anyone. Jobs with few remaining tasks come first, so that begun jobs are finished.
 */
export function queueOrder(context: OrderContext): QueueOrder {
  return {
    // Work that is urgent only because of its dependants must not displace work that is urgent itself.
    rank: (taskSet) => (context.mode === "arrival" ? 0 : rank(taskSet.urgency) + (inheritsUrgency(taskSet) ? INHERITED_RANK_OFFSET : 0)),
    maxStarts: (taskSet) => (startsFirstTaskNow(taskSet, context) ? 1 : Infinity),
    effectiveArrival: (taskSet) => {
      if (startsFirstTaskNow(taskSet, context)) return taskSet.submittedWall - 2 * PRECEDENCE_MS;
      if (context.mode !== "arrival" && context.withinGuarantee(taskSet)) return taskSet.submittedWall - PRECEDENCE_MS;
      const first = context.mode !== "arrival" && context.underserved(taskSet) ? PRECEDENCE_MS : 0;
      if (context.mode !== "aims") return taskSet.submittedWall - first;
      return taskSet.submittedWall - first + 1000 * arrivalDelayS(taskSet, context);
    },
  };
}

/**
 * Delay in seconds by which a job counts as having arrived later than it did. Work without a completion objective that
 * urgent work depends on gets no delay: all jobs that one urgent job depends on should be finished together, whereas a
 * delay by size would favour the small ones among the dependencies of many urgent jobs.
 */
function arrivalDelayS(taskSet: TaskSet, context: OrderContext): number {
  const within = context.finishObjectiveS(taskSet.spec.klass);
  const start = context.startObjectiveS(taskSet.spec.klass);
  const run = context.expectedRunS(taskSet);
  if (!Number.isFinite(within) && inheritsUrgency(taskSet)) return 0;
  // The delay of a class with a start objective stays below that objective.
  if (!Number.isFinite(within)) return saturate(Math.min(context.maxSizeDelayS, start), run * taskSet.waiting.length);
  const work = run * Math.ceil(taskSet.waiting.length / EXPECTED_PARALLEL_TASKS);
  const age = (context.nowWall - taskSet.submittedWall) / 1000;
  return saturate(within, work) + (age > start ? start : 0) + (age + run > within ? within : 0);
}

/** Sorts task sets by rank, then effective arrival, then key. */
export function sortTaskSets(taskSets: Iterable<TaskSet>, order: QueueOrder): TaskSet[] {
  const keyed = [...taskSets].map((taskSet) => ({ taskSet, rank: order.rank(taskSet), arrival: order.effectiveArrival(taskSet) }));
  keyed.sort((a, b) => a.rank - b.rank || a.arrival - b.arrival || (a.taskSet.key < b.taskSet.key ? -1 : 1));
  return keyed.map(({ taskSet }) => taskSet);
}
