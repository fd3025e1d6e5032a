/** Minimum weight of a new run time in the moving average; the earlier estimate has the remaining weight. */
const MIN_SAMPLE_WEIGHT = 0.1;
/** Maximum number of functions with an estimate; bounded because their names come from clients. */
const MAX_FUNCTIONS = 5000;

/** Run time estimate for one function, in ms, and the number of run times it is based on. */
interface RuntimeEstimate {
  mean: number;
  deviation: number;
  count: number;
}

/** Estimates run times by function, in ms: a moving average and the mean deviation from it, as in Jacobson's round-trip estimator. */
export class RuntimeEstimator {
  private readonly estimates = new Map<string, RuntimeEstimate>();
  private overallMeanMs = 0;

  /** `defaultMs` is the estimate for every function until the first run time is recorded. */
  constructor(private readonly defaultMs: number) {}

  /** Records the run time of one task. */
  record(fn: string, ms: number): void {
    this.overallMeanMs = this.overallMeanMs === 0 ? ms : this.overallMeanMs + MIN_SAMPLE_WEIGHT * (ms - this.overallMeanMs);
    const estimate = this.estimates.get(fn);
    if (estimate === undefined) {
      if (this.estimates.size >= MAX_FUNCTIONS) this.estimates.delete(this.estimates.keys().next().value as string);
      this.estimates.set(fn, { mean: ms, deviation: ms / 2, count: 1 });
      return;
    }
    const error = ms - estimate.mean;
    // The first ten run times have equal weight; after them, the newest has the minimum weight.
    const weight = Math.max(MIN_SAMPLE_WEIGHT, 1 / ++estimate.count);
    estimate.mean += weight * error;
    estimate.deviation += weight * (Math.abs(error) - estimate.deviation);
  }

  /** Expected run time of a function in ms; for a function without an estimate, the average over all functions. */
  meanMs(fn: string): number {
    return this.estimates.get(fn)?.mean ?? (this.overallMeanMs > 0 ? this.overallMeanMs : this.defaultMs);
  }

  /** Run time in ms above which a run of the function is an outlier; infinite until the function has run three times. */
  outlierMs(fn: string): number {
    const estimate = this.estimates.get(fn);
    return estimate === undefined || estimate.count < 3 ? Infinity : estimate.mean + 4 * estimate.deviation;
  }
}
