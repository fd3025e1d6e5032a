import { NEVER } from "rxjs";
import type { ModelClock } from "../cloud-model.js";
import type { VirtualClock } from "./clock.js";

/**
 * Time as one controller's process sees it. While it is frozen its clocks run on,
 * but nothing of it does: what arrives waits in buffers, timers come late. On waking,
 * the buffers are emptied before any timer fires, as an event loop may well do.
 */
export class NodeClock implements ModelClock {
  readonly stood$ = NEVER;
  private frozen = false;
  private arrived: (() => void)[] = [];
  private late: (() => void)[] = [];

  constructor(
    private readonly world: VirtualClock,
    /** Steady seconds that it counts in one of the world's. */
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
    if (this.frozen) this.late.push(fn);
    else fn();
  }

  /** Something comes in from outside. */
  deliver(fn: () => void): void {
    if (this.frozen) this.arrived.push(fn);
    else fn();
  }

  freeze(): void {
    this.frozen = true;
  }

  thaw(): void {
    this.frozen = false;
    for (const fn of [...this.arrived.splice(0), ...this.late.splice(0)]) this.world.after(0, fn);
  }
}
