import { NEVER } from "rxjs";
import type { MonotonicClock } from "../cloud-model.js";
import type { VirtualClock } from "./clock.js";

/**
 * The clock of one controller's process. While the process is frozen, its clock continues but nothing in it runs:
 * incoming messages are buffered and timers are delayed. On waking, the buffered messages are delivered before any
 * timer fires, as a real event loop may do.
 */
export class NodeClock implements MonotonicClock {
  readonly stall$ = NEVER;
  private frozen = false;
  private pendingDeliveries: (() => void)[] = [];
  private pendingTimers: (() => void)[] = [];

  constructor(
    private readonly world: VirtualClock,
    /** Rate of this monotonic clock relative to the virtual world's clock. */
    private readonly rate = 1,
  ) {}

  now(): number {
    return this.world.now() * this.rate;
  }

  wall(): number {
    return this.world.wall();
  }

  after(ms: number, fn: () => void): () => void {
    let cancelled = false;
    const cancel = this.world.after(ms / this.rate, () => this.fire(() => (cancelled ? undefined : fn())));
    return () => {
      cancelled = true;
      cancel();
    };
  }

  private fire(fn: () => void): void {
    if (this.frozen) this.pendingTimers.push(fn);
    else fn();
  }

  /** Runs the handler of a message or response that arrives at the process, or buffers it while the process is frozen. */
  deliver(fn: () => void): void {
    if (this.frozen) this.pendingDeliveries.push(fn);
    else fn();
  }

  freeze(): void {
    this.frozen = true;
  }

  thaw(): void {
    this.frozen = false;
    for (const fn of [...this.pendingDeliveries.splice(0), ...this.pendingTimers.splice(0)]) this.world.after(0, fn);
  }
}
