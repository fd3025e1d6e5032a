import { NEVER } from "rxjs";
import type { MonotonicClock } from "../cloud-model.js";

interface ScheduledEvent {
  at: number;
  order: number;
  fn: () => void;
  cancelled: boolean;
}

/** Virtual time that advances only during `run`; events at the same instant keep their order of scheduling. */
export class VirtualClock implements MonotonicClock {
  readonly stall$ = NEVER;
  private currentMs = 0;
  private scheduledCount = 0;
  private heap: ScheduledEvent[] = [];

  now(): number {
    return this.currentMs;
  }

  wall(): number {
    return 1_700_000_000_000 + this.currentMs;
  }

  after(ms: number, fn: () => void): () => void {
    const event: ScheduledEvent = { at: this.currentMs + Math.max(0, ms), order: this.scheduledCount++, fn, cancelled: false };
    this.push(event);
    return () => {
      event.cancelled = true;
    };
  }

  private isEarlier(a: ScheduledEvent, b: ScheduledEvent): boolean {
    return a.at < b.at || (a.at === b.at && a.order < b.order);
  }

  private push(event: ScheduledEvent): void {
    const heap = this.heap;
    let i = heap.push(event) - 1;
    while (i > 0) {
      const parent = (i - 1) >> 1;
      if (!this.isEarlier(heap[i]!, heap[parent]!)) break;
      [heap[i], heap[parent]] = [heap[parent]!, heap[i]!];
      i = parent;
    }
  }

  private pop(): ScheduledEvent | undefined {
    const heap = this.heap;
    const top = heap[0];
    const last = heap.pop();
    if (top === undefined || last === undefined || heap.length === 0) return top;
    heap[0] = last;
    for (let i = 0; ;) {
      let earliest = i;
      for (const child of [2 * i + 1, 2 * i + 2])
        if (child < heap.length && this.isEarlier(heap[child]!, heap[earliest]!)) earliest = child;
      if (earliest === i) return top;
      [heap[i], heap[earliest]] = [heap[earliest]!, heap[i]!];
      i = earliest;
    }
  }

  /** Runs all events due up to `until`, letting promises settle before each. */
  async run(until: number): Promise<void> {
    for (;;) {
      await new Promise<void>((resolve) => setImmediate(resolve));
      const next = this.heap[0];
      if (next === undefined || next.at > until) break;
      this.currentMs = next.at;
      const event = this.pop()!;
      if (!event.cancelled) event.fn();
    }
    this.currentMs = until;
  }
}
