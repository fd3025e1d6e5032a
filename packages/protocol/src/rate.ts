/** Steady milliseconds. */
export interface SteadyClock {
  now(): number;
}

/** A token bucket with one second's worth of burst. */
export class Rate {
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

  available(): number {
    this.refill();
    return this.tokens;
  }

  take(count = 1): boolean {
    this.refill();
    if (this.tokens < Math.min(count, this.burst)) return false;
    this.tokens -= count;
    return true;
  }

  /** Milliseconds until `count` tokens are there. */
  waitMs(count = 1): number {
    this.refill();
    const missing = Math.min(count, this.burst) - this.tokens;
    return missing <= 0 ? 0 : (missing / this.perSecond) * 1000 + 1;
  }

  /** What was taken was not used after all. */
  give(count: number): void {
    this.refill();
    this.tokens = Math.min(this.burst, this.tokens + count);
  }

  /** The service on the other side says it has had enough. */
  drain(): void {
    this.refill();
    this.tokens = Math.min(this.tokens, 0);
  }
}
