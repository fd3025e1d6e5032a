import { Subject } from "rxjs";
import type { Clock } from "./clock.js";

/**
 * A clock that notices when the process stood still while time went on. Whoever
 * asks the time first after such a stall makes it known to all slices before going
 * on: on waking, buffers filled long ago may be handled before any timer, and what
 * went unheard meanwhile must not pass for others' silence. A duty must ask often
 * (`limitMs` apart at most), or quiet would pass for a stall.
 */
export class WatchfulClock implements Clock {
  readonly stood$ = new Subject<number>();
  private seen: number;

  constructor(
    private readonly inner: Clock,
    private readonly limitMs: number,
  ) {
    this.seen = inner.now();
  }

  now(): number {
    const now = this.inner.now();
    const gap = now - this.seen;
    this.seen = now;
    if (gap > this.limitMs) this.stood$.next(gap);
    return now;
  }

  wall(): number {
    return this.inner.wall();
  }

  after(ms: number, fn: () => void): () => void {
    return this.inner.after(ms, fn);
  }
}
