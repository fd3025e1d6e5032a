import { performance } from "node:perf_hooks";

/** What a controller spends processor time on; `rest`: HTTP, timers, garbage and whatever no duty claims. */
export const DUTIES = [
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
export type Duty = (typeof DUTIES)[number];

export interface Cost {
  duty: Duty;
  /** Turns taken. */
  turns: number;
  /** Time in them, without that of duties called from within, in ms. */
  ms: number;
}

/**
 * Where the time of this process goes, by duty. Time is counted once: what a duty calls
 * that is a duty of its own is charged to that one. Costs two looks at the clock a turn.
 */
export class Costs {
  private readonly ms = new Float64Array(DUTIES.length);
  private readonly turns = new Float64Array(DUTIES.length);
  private readonly stack: number[] = [];
  private since = 0;

  constructor(private readonly now: () => number = () => performance.now()) {}

  /** Runs `act`, which must not wait for anything, at the expense of the duty. */
  spend<T>(duty: Duty, act: () => T): T {
    const index = DUTIES.indexOf(duty);
    const { stack } = this;
    const outer = stack.at(-1);
    // A pass over all parts is made of passes over each: one turn, not one more for every part.
    if (outer === index) return act();
    const began = this.now();
    if (outer !== undefined) this.ms[outer]! += began - this.since;
    this.since = began;
    stack.push(index);
    this.turns[index]!++;
    try {
      return act();
    } finally {
      const ended = this.now();
      this.ms[index]! += ended - this.since;
      this.since = ended;
      stack.pop();
    }
  }

  all(): Cost[] {
    return DUTIES.map((duty, i) => ({ duty, turns: this.turns[i]!, ms: this.ms[i]! }));
  }
}
