/** A monotonic clock in milliseconds. */
export interface SteadyClock {
  now(): number;
}

/** A token bucket rate limiter. Its default burst is one second's worth of tokens. */
export class TokenBucket {
  private tokens: number;
  private refilledAt: number;

  constructor(
    private readonly clock: SteadyClock,
    private readonly perSecond: number,
    readonly burst = perSecond,
  ) {
    this.tokens = burst;
    this.refilledAt = clock.now();
  }

  private refill(): void {
    const now = this.clock.now();
    this.tokens = Math.min(this.burst, this.tokens + ((now - this.refilledAt) / 1000) * this.perSecond);
    this.refilledAt = now;
  }

  /** Number of tokens available now; negative after a request for more tokens than the burst. */
  available(): number {
    this.refill();
    return this.tokens;
  }

  /**
   * Takes `count` tokens and returns true, or returns false if there are too few. A request
   * for more tokens than the burst is granted when the bucket is full and leaves it negative.
   */
  take(count = 1): boolean {
    this.refill();
    if (this.tokens < Math.min(count, this.burst)) return false;
    this.tokens -= count;
    return true;
  }

  /** Time in ms until `take(count)` succeeds, if no other tokens are taken meanwhile. */
  waitMs(count = 1): number {
    this.refill();
    const missing = Math.min(count, this.burst) - this.tokens;
    return missing <= 0 ? 0 : (missing / this.perSecond) * 1000 + 1;
  }

  /** Returns tokens that were taken but not used. */
  refund(count: number): void {
    this.refill();
    this.tokens = Math.min(this.burst, this.tokens + count);
  }

  /** Empties the bucket after the remote service reported that its rate limit is exceeded. */
  drain(): void {
    this.refill();
    this.tokens = Math.min(this.tokens, 0);
  }
}
