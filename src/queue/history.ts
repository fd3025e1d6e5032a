import type { JobSpec } from "@thorntrail/protocol/jobs";

/**
 * Initial spread (standard deviation of the logarithm of actual divided by estimated run time) of a class without
 * observed run times: users' estimates are often wrong by half.
 */
const INITIAL_SPREAD = Math.log(1.5);
const MAX_WEIGHT = 50;
/**
 * Run time in seconds that is assumed for a replica of a service, which holds its capacity until its job is
 * cancelled; longer than any wait.
 */
const FOREVER_S = 1e9;
/**
 * Median remaining run time of a task that has run for longer than expected, divided by its run time so far and by
 * the spread of its class.
 */
const OVERRUN_FRACTION = 0.7;

/**
 * Run-time statistics by class. Users' estimates are off by half or more, and on some days all in the same direction,
 * so estimates are corrected by the run times observed for the class. The spread of single tasks counts as well: a
 * task that has run for longer than expected is not necessarily about to end. If this were assumed, a full partition
 * would appear to be about to become free, and jobs would gather where they wait the longest.
 */
export class RunTimeHistory {
  private readonly ratios = new Map<string, { log: number; square: number; weight: number }>();

  constructor(private readonly mode: "learned" | "owner") {}

  /** Records a task's observed run time in seconds for its class. */
  record(spec: JobSpec, seconds: number): void {
    if (spec.guessS <= 0 || seconds <= 0) return;
    const entry = this.ratios.get(spec.klass) ?? { log: 0, square: INITIAL_SPREAD ** 2, weight: 1 };
    const weight = Math.min(entry.weight + 1, MAX_WEIGHT);
    const off = Math.log(seconds / spec.guessS) - entry.log;
    entry.log += off / weight;
    entry.square += (off ** 2 - entry.square) / weight;
    entry.weight = weight;
    this.ratios.set(spec.klass, entry);
  }

  /** Expected run time in seconds of a task: the user's estimate, corrected in mode `learned`. */
  expectedRunS(spec: JobSpec): number {
    const entry = this.mode === "learned" ? this.ratios.get(spec.klass) : undefined;
    return Math.max(1, spec.guessS * Math.exp(entry?.log ?? 0));
  }

  /**
   * Expected remaining time in seconds for which a task holds its capacity after it has run for `ranS` seconds; a `ranS`
   * of 0 means that the task has not begun. For services it is `FOREVER_S`: as defined in PROTOCOL, users give an estimate
   * of 0 for them. If that were taken for a run time, the capacity of services would appear to be about to become free:
   * jobs would wait for it, nothing would be rented, and idle machines would be returned.
   */
  remainingRunS(spec: JobSpec, ranS: number): number {
    if (spec.kind === "service") return FOREVER_S;
    const spread = Math.sqrt(this.ratios.get(spec.klass)?.square ?? INITIAL_SPREAD ** 2);
    return Math.max(1, this.expectedRunS(spec) - ranS, ranS * spread * OVERRUN_FRACTION);
  }
}
