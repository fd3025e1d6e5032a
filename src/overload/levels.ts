/**
 * How hard it is for this controller to keep up. Each level sheds what it names and all that
 * the levels below it shed; docs/operations/overload.md says it to whoever is on call.
 */
export const LEVELS = ["easy", "busy", "behind", "late", "drowning"] as const;
export type Level = 0 | 1 | 2 | 3 | 4;

/** What can be put off, the first to go first. Reports, presence, cancellations and proofs of safety are not among it. */
export type SheddableWork =
  /** `/cluster`, `/metrics`. */
  | "view"
  /** Announcing room to peers, and bidding for their jobs. */
  | "volunteering"
  /** Machines beyond those that are led already. */
  | "growth"
  /** Submissions that are neither urgent nor critical. */
  | "submission"
  | "urgent submission";

const SHED_FROM: Record<SheddableWork, Level> = { view: 1, volunteering: 2, growth: 3, submission: 3, "urgent submission": 4 };

export function sheds(level: Level, what: SheddableWork): boolean {
  return level >= SHED_FROM[what];
}

/** What is measured, each as a share of what this process has. */
export interface OverloadMetrics {
  /** Worst lateness of a timer lately, in ms. */
  lagMs: number;
  /** Memory held, of the quota. */
  memory: number;
  /** Time the changes that wait for the state service will take, in seconds. */
  backlogS: number;
}

/** From where on each level holds; index 0: level 1. */
export interface Thresholds {
  lagMs: readonly [number, number, number, number];
  memory: readonly [number, number, number, number];
  backlogS: readonly [number, number, number, number];
}

/**
 * Ratios to the settings. Lag: a worker gives up on an answer after 4 s and users after 2 and 5 s, so
 * the last level is one report interval. Memory: what is left above the last level is what a
 * burst of reports and answers takes before anything can be let go. Backlog: at a node's own share of the writes.
 */
export function overloadThresholds({ reportMs }: { reportMs: number }, nodes: number): Thresholds {
  return {
    lagMs: [reportMs / 5, reportMs / 3, reportMs * 0.6, reportMs],
    memory: [0.8, 0.86, 0.91, 0.95],
    // Users' changes go first, so what waits is mostly bookkeeping of all parts' work.
    backlogS: [2 * nodes, 3 * nodes, 4 * nodes, 6 * nodes],
  };
}

/** A level is left only when what caused it is below this share of where it began. */
const EASE_RATIO = 0.75;
/** Memory is given back in small steps, and moves within a narrow band. */
const MEMORY_EASE_RATIO = 0.95;

function levelReached(value: number, from: readonly number[], share: number): Level {
  let level = 0;
  while (level < from.length && value >= from[level]! * share) level++;
  return level as Level;
}

/** The level that is called for, with that of before kept until its cause has clearly eased. */
export function nextLevel(before: Level, { lagMs, memory, backlogS }: OverloadMetrics, from: Thresholds): Level {
  const up = Math.max(levelReached(lagMs, from.lagMs, 1), levelReached(memory, from.memory, 1), levelReached(backlogS, from.backlogS, 1));
  const down = Math.max(
    levelReached(lagMs, from.lagMs, EASE_RATIO),
    levelReached(memory, from.memory, MEMORY_EASE_RATIO),
    levelReached(backlogS, from.backlogS, EASE_RATIO),
  );
  return Math.max(up, Math.min(before, down)) as Level;
}
