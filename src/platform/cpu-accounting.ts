import { performance } from "node:perf_hooks";

/** Activities whose processor time is accounted. Time outside of them goes to HTTP, timers, garbage collection and other code. */
export const ACTIVITIES = [
  "report",
  "order",
  "pass",
  "preemption",
  "estimate",
  "exchange",
  "planning",
  "transaction",
  "follow",
  "users",
  "peers",
  "watch",
] as const;
/** An activity whose processor time is accounted. */
export type Activity = (typeof ACTIVITIES)[number];

/** Processor time spent on one activity since the start. */
export interface ActivityCost {
  activity: Activity;
  /** Number of times that the activity was run. */
  runs: number;
  /** Total time of the activity in ms, without the time of other activities that it calls. */
  ms: number;
}

/**
 * Accounts the time of this process by activity. Time is counted once: an activity called from within
 * another is charged to itself only. Each run costs two reads of the clock.
 */
export class CpuAccounting {
  private readonly ms = new Float64Array(ACTIVITIES.length);
  private readonly runs = new Float64Array(ACTIVITIES.length);
  private readonly stack: number[] = [];
  private chargedUntil = 0;

  constructor(private readonly now: () => number = () => performance.now()) {}

  /** Runs the synchronous function `act` and charges its time to the activity. */
  charge<T>(activity: Activity, act: () => T): T {
    const index = ACTIVITIES.indexOf(activity);
    const { stack } = this;
    const outer = stack.at(-1);
    // An activity called from within itself, such as the scheduling cycle of one partition within a cycle over all
    // partitions, is charged with the outer run.
    if (outer === index) return act();
    const startedAt = this.now();
    if (outer !== undefined) this.ms[outer]! += startedAt - this.chargedUntil;
    this.chargedUntil = startedAt;
    stack.push(index);
    this.runs[index]!++;
    try {
      return act();
    } finally {
      const endedAt = this.now();
      this.ms[index]! += endedAt - this.chargedUntil;
      this.chargedUntil = endedAt;
      stack.pop();
    }
  }

  /** Returns the totals of all activities. */
  all(): ActivityCost[] {
    return ACTIVITIES.map((activity, i) => ({ activity, runs: this.runs[i]!, ms: this.ms[i]! }));
  }
}
