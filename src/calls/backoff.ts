import type { CallPolicy } from "./policy.js";

/** Number of doublings after which every pause has reached its maximum. */
const MAX_DOUBLINGS = 30;

/**
 * Pause before a retry, in ms, after `failures` consecutive failures: exponential backoff with jitter. Half of the
 * pause is randomised, so that controllers refused at the same time do not retry at the same time; the other half is
 * fixed, so that none retries immediately.
 * @param random a number from 0 up to 1
 */
export function backoffMs({ initialMs, maxMs }: Pick<CallPolicy, "initialMs" | "maxMs">, failures: number, random: number): number {
  const doublings = Math.min(MAX_DOUBLINGS, Math.max(0, failures - 1));
  return Math.min(maxMs, initialMs * 2 ** doublings) * (1 / 2 + random / 2);
}

/**
 * Retry budget of a target. Each answer adds a fraction of a retry, and each retry takes one. While the target
 * answers, a lost answer is retried soon. When most calls fail, retries are limited to a small share of the calls,
 * and the rest pause for the maximum time. Without the budget, a recovering service would receive the whole backlog
 * of retries at once.
 */
export class RetryBudget {
  private tokens: number;

  constructor(
    private readonly max: number,
    private readonly perAnswer: number,
  ) {
    this.tokens = max;
  }

  /** Adds the share of one answer. */
  answered(): void {
    this.tokens = Math.min(this.max, this.tokens + this.perAnswer);
  }

  /** Takes one retry; false if the budget is spent. */
  spend(): boolean {
    if (this.tokens < 1) return false;
    this.tokens--;
    return true;
  }

  /** Retries left. */
  get remaining(): number {
    return this.tokens;
  }
}
