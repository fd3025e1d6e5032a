/**
 * Names of a controller's overload levels, lowest first. Each level sheds its own kinds of work and those of all lower levels.
 * docs/operations/overload.md describes them for operators.
 */
export const LEVELS = ["easy", "busy", "behind", "late", "drowning"] as const;
export type Level = 0 | 1 | 2 | 3 | 4;

/**
 * Kinds of work that an overloaded controller can shed, in the order of shedding. Workers' reports, presence, cancellations and
 * safety checks are never shed.
 */
export type SheddableWork =
  /** Requests for `/cluster` and `/metrics`. */
  | "view"
  /** Announcements of free capacity to peers, and bids for their jobs. */
  | "volunteering"
  /** Rental of further machines. */
  | "growth"
  /** Submissions that are neither urgent nor critical. */
  | "submission"
  | "urgent submission";

const SHED_FROM: Record<SheddableWork, Level> = { view: 1, volunteering: 2, growth: 3, submission: 3, "urgent submission": 4 };

/** Whether a controller at this overload level sheds this kind of work. */
export function sheds(level: Level, what: SheddableWork): boolean {
  return level >= SHED_FROM[what];
}

/** Measurements that determine the overload level. */
export interface OverloadMetrics {
  /** Largest recent delay of a timer, in ms. */
  lagMs: number;
  /** Memory in use as a share of its limit: the quota, or V8's heap limit if that share is larger. */
  memory: number;
  /** Time in seconds that it takes to write the changes that wait to be written to the state service. */
  backlogS: number;
}

/** Lowest measured value at which each overload level applies; index 0 is for level 1. */
export interface Thresholds {
  lagMs: readonly [number, number, number, number];
  memory: readonly [number, number, number, number];
  backlogS: readonly [number, number, number, number];
}

/**
 * Thresholds of the overload levels. Timer lag: workers time out after 4 s and users after 2 and 5 s, so the last level
 * begins at a lag of one report interval. Memory, as a share of its limit: what is above the last threshold is left free
 * for a burst of reports and answers, which can use it before memory is freed. Backlog: in seconds at a node's own share
 * of the write rate.
 */
export function overloadThresholds({ reportMs }: { reportMs: number }, nodes: number): Thresholds {
  return {
    lagMs: [reportMs / 5, reportMs / 3, reportMs * 0.6, reportMs],
    memory: [0.8, 0.86, 0.91, 0.95],
    // Users' changes are written before others, so a backlog of some seconds is mostly bookkeeping for all partitions and hardly delays users.
    backlogS: [2 * nodes, 3 * nodes, 4 * nodes, 6 * nodes],
  };
}

/** An overload level is left only when the measurement that caused it has fallen below this share of the level's threshold. */
const EASE_RATIO = 0.75;
/** `EASE_RATIO` for memory, which is freed in small steps and varies within a narrow band. */
const MEMORY_EASE_RATIO = 0.95;

/** Returns the highest overload level whose threshold in `from`, multiplied by `share`, the value reaches. */
function levelReached(value: number, from: readonly number[], share: number): Level {
  let level = 0;
  while (level < from.length && value >= from[level]! * share) level++;
  return level as Level;
}

/** Overload level that the measurements require; the previous level `before` is kept until its cause has clearly eased. */
export function nextLevel(before: Level, { lagMs, memory, backlogS }: OverloadMetrics, thresholds: Thresholds): Level {
  const up = Math.max(
    levelReached(lagMs, thresholds.lagMs, 1),
    levelReached(memory, thresholds.memory, 1),
    levelReached(backlogS, thresholds.backlogS, 1),
  );
  const down = Math.max(
    levelReached(lagMs, thresholds.lagMs, EASE_RATIO),
    levelReached(memory, thresholds.memory, MEMORY_EASE_RATIO),
    levelReached(backlogS, thresholds.backlogS, EASE_RATIO),
  );
  return Math.max(up, Math.min(before, down)) as Level;
}
