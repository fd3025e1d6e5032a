import type { CallPolicy } from "./policy.js";

/** Limit on the exponent of the backoff; after so many doublings, every pause has reached its maximum. */
const MAX_DOUBLINGS = 30;

/**
 * Returns the pause before a retry, in ms, after `failures` consecutive failures: exponential backoff with jitter. Half of the
 * pause is randomised, so that controllers refused at the same time do not retry at the same time; the other half is
 * fixed, so that none retries immediately.
 * @param random a number from 0 up to 1
 */
export function backoffMs({ initialMs, maxMs }: Pick<CallPolicy, "initialMs" | "maxMs">, failures: number, random: number): number {
  const doublings = Math.min(MAX_DOUBLINGS, Math.max(0, failures - 1));
  return Math.min(maxMs, initialMs * 2 ** doublings) * (1 / 2 + random / 2);
}

/**
 * Retry budget for calls to one target, such as the state service. Each answer adds a fraction of a retry, and each
 * retry takes one. While the target answers, a call without an answer is retried soon. When most calls fail, retries
 * are limited to a small share of the calls, and all others wait for the maximum pause. Without the budget, a
 * recovering service would receive the whole backlog of retries at once.
 */
export class RetryBudget {
  private tokens: number;

  constructor(
    private readonly max: number,
    private readonly perAnswer: number,
  ) {
    this.tokens = max;
  }

  /** Adds the fraction of a retry that one answer of the target earns. */
  answered(): void {
    this.tokens = Math.min(this.max, this.tokens + this.perAnswer);
  }

  /** Takes one retry; false if the budget is spent. */
  spend(): boolean {
    if (this.tokens < 1) return false;
    this.tokens--;
    return true;
  }

  /** Number of retries left; may be a fraction. */
  get remaining(): number {
    return this.tokens;
  }
}
