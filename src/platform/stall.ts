import { Subject } from "rxjs";
import type { Clock } from "./clock.js";

/**
 * A clock that detects stalls, during which the process was not scheduled. The first call of
 * `now` after a stall notifies all subscribers before it returns: after waking, old buffered
 * input may be handled before any timer, and messages missed during the stall must not count as
 * silence of other processes. `now` must be called at least every `limitMs`, or idle time would
 * count as a stall.
 */
export class StallDetectingClock implements Clock {
  readonly stall$ = new Subject<number>();
  private lastNow: number;

  constructor(
    private readonly inner: Clock,
    private readonly limitMs: number,
  ) {
    this.lastNow = inner.now();
  }

  now(): number {
    const now = this.inner.now();
    const gapMs = now - this.lastNow;
    this.lastNow = now;
    if (gapMs > this.limitMs) this.stall$.next(gapMs);
    return now;
  }

  wall(): number {
    return this.inner.wall();
  }

  after(ms: number, fn: () => void): () => void {
    return this.inner.after(ms, fn);
  }
}
