import type { CallPolicy } from "./policy.js";

/** Doublings after which a pause has surely reached its longest. */
const MAX_DOUBLINGS = 30;

/**
 * The pause before a repetition, in ms, after so many failures in a row. Half of it is
 * drawn, so that controllers that were refused at the same moment do not come back at
 * the same moment; the other half is kept, so that none comes back at once.
 * @param luck a number from 0 up to 1
 */
export function backoffMs({ initialMs: firstMs, maxMs: mostMs }: Pick<CallPolicy, "initialMs" | "maxMs">, failures: number, luck: number): number {
  const doublings = Math.min(MAX_DOUBLINGS, Math.max(0, failures - 1));
  return Math.min(mostMs, firstMs * 2 ** doublings) * (1 / 2 + luck / 2);
}

/**
 * How many repetitions calls to one target may still cost it. Each answer adds a share of
 * one, each repetition takes one: while the target answers, a lost answer is asked for
 * again soon; where most calls fail, repetitions are no more than a small share of what
 * is asked, and everything beyond waits for the longest pause. Without it, a service that
 * comes back meets the whole backlog of repetitions in one moment.
 */
export class RetryBudget {
  private tokens: number;

  constructor(
    private readonly max: number,
    private readonly perAnswer: number,
  ) {
    this.tokens = max;
  }

  answered(): void {
    this.tokens = Math.min(this.max, this.tokens + this.perAnswer);
  }

  /** May a repetition come soon? */
  spend(): boolean {
    if (this.tokens < 1) return false;
    this.tokens--;
    return true;
  }

  get remaining(): number {
    return this.tokens;
  }
}
