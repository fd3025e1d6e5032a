import type { Urgency } from "@thorntrail/protocol/jobs";
import type { Unit } from "./unit.js";

const RANK: Record<Urgency, number> = { critical: 0, urgent: 1, normal: 2, low: 3 };

/** Numeric rank of an urgency; lower is more urgent. */
export function rank(urgency: Urgency): number {
  return RANK[urgency];
}

/** Queue order: by objectives within an urgency, by urgency, or by arrival alone. */
export type OrderMode = "aims" | "urgency" | "arrival";

/** True if the task set inherits its urgency from a job that depends on it. */
const inheritsUrgency = (taskSet: Unit): boolean => taskSet.urgency !== taskSet.spec.urgency;

/** Sort keys of a partition's queue; lower values come first. */
export interface LocalOrder {
  rank: (taskSet: Unit) => number;
  /** Effective arrival time in ms. */
  arrival: (taskSet: Unit) => number;
  /**
   * Maximum number of tasks that may start when its turn comes; 1 for an array that comes first only to have begun.
   */
  atOnce: (taskSet: Unit) => number;
}

/** Inputs of the queue order. */
export interface OrderContext {
  mode: OrderMode;
  nowWall: number;
  /** Time in seconds within which jobs of a class should be done; Infinity if the class has no such objective. */
  finishS: (klass: string) => number;
  /** Time in seconds within which jobs of a class should start; Infinity if the class has no such objective. */
  startS: (klass: string) => number;
  expectS: (taskSet: Unit) => number;
  /** Maximum delay in seconds that a job of a class without a completion objective gets for its size. */
  yieldS: number;
  /** Time in seconds after which an array of which no task has begun starts its first one. */
  beginS: number;
  /**
   * True for work within its team's guarantee that should start within seconds for that reason: it does not wait for
   * other teams.
   */
  guaranteed: (taskSet: Unit) => boolean;
  /**
   * True for work of a team that runs less than its guarantee or of the most underserved class: it precedes other
   * work of its priority and keeps its own order.
   */
  owed: (taskSet: Unit) => boolean;
}

/**
 * Fraction of a priority step by which work with inherited urgency ranks behind work that has that urgency itself.
 */
const INHERITED_RANK_OFFSET = 0.5;

/** Longer than any wait: puts guaranteed work before the rest of its priority. */
const PRECEDENCE_MS = 1e9;

/**
 * True for an array that should start its first task now. An array that is delayed for its size may wait behind all
 * smaller ones for longer than a user's working day. So after a while it begins with one task, which takes next to
 * nothing from the others; the rest keeps its position.
 */
function startsFirstTaskNow(taskSet: Unit, { mode, nowWall, beginS }: OrderContext): boolean {
  const begun = taskSet.started || taskSet.done.count > 0 || taskSet.lo > 0;
  return mode === "aims" && taskSet.spec.kind === "array" && !begun && nowWall - taskSet.submittedWall > beginS * 1000;
}

/** Number of tasks that are expected to run at the same time; a wider gang takes as much as several. */
const EXPECTED_PARALLEL_TASKS = 4;

/** Saturates at `most`, which bounds every delay, so nothing waits forever. */
const saturate = (limit: number, seconds: number): number => (limit * seconds) / (seconds + limit);

/**
 * Creates the queue order: first come, first served within a priority. In mode `aims`, a large job of a class with a
 * completion objective counts as having arrived later, so that several small ones meet the objective instead. The
 * delay grows with the time its work takes, less for each further task, up to the objective. A job that has missed
 * its start objective is delayed further by that objective, in favour of jobs that can still meet it, and a job that
 * can no longer be done in time by the completion objective. All delays are bounded, so nothing waits forever.
 *
 * Jobs of classes without a completion objective are delayed according to their remaining work. When there is more
 * work than capacity, first come, first served begins everything and finishes little, and a half-done array is of no
 * use to anyone. Jobs with few remaining tasks come first, so that begun jobs are finished.
 */
export function localOrder(context: OrderContext): LocalOrder {
  return {
    // Work that is urgent only because of its dependants must not displace work that is urgent itself.
    rank: (taskSet) => (context.mode === "arrival" ? 0 : rank(taskSet.urgency) + (inheritsUrgency(taskSet) ? INHERITED_RANK_OFFSET : 0)),
    atOnce: (taskSet) => (startsFirstTaskNow(taskSet, context) ? 1 : Infinity),
    arrival: (taskSet) => {
      if (startsFirstTaskNow(taskSet, context)) return taskSet.submittedWall - 2 * PRECEDENCE_MS;
      if (context.mode !== "arrival" && context.guaranteed(taskSet)) return taskSet.submittedWall - PRECEDENCE_MS;
      const first = context.mode !== "arrival" && context.owed(taskSet) ? PRECEDENCE_MS : 0;
      if (context.mode !== "aims") return taskSet.submittedWall - first;
      return taskSet.submittedWall - first + 1000 * arrivalDelayS(taskSet, context);
    },
  };
}

/**
 * Delay in seconds by which a job counts as having arrived later than it did. Work without a completion objective
 * that urgent work depends on gets no delay: all jobs before one deadline should be finished together, instead of the
 * small ones of many.
 */
function arrivalDelayS(taskSet: Unit, context: OrderContext): number {
  const within = context.finishS(taskSet.spec.klass);
  const start = context.startS(taskSet.spec.klass);
  const run = context.expectS(taskSet);
  if (!Number.isFinite(within) && inheritsUrgency(taskSet)) return 0;
  // The delay of a class with a start objective stays below that objective.
  if (!Number.isFinite(within)) return saturate(Math.min(context.yieldS, start), run * taskSet.waiting.length);
  const work = run * Math.ceil(taskSet.waiting.length / EXPECTED_PARALLEL_TASKS);
  const age = (context.nowWall - taskSet.submittedWall) / 1000;
  return saturate(within, work) + (age > start ? start : 0) + (age + run > within ? within : 0);
}

/** Sorts task sets by rank, then effective arrival, then key. */
export function inOrder(taskSets: Iterable<Unit>, order: LocalOrder): Unit[] {
  const keyed = [...taskSets].map((taskSet) => ({ unit: taskSet, rank: order.rank(taskSet), arrival: order.arrival(taskSet) }));
  keyed.sort((a, b) => a.rank - b.rank || a.arrival - b.arrival || (a.unit.key < b.unit.key ? -1 : 1));
  return keyed.map(({ unit: taskSet }) => taskSet);
}
