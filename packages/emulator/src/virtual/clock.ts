import { NEVER } from "rxjs";
import type { ModelClock } from "../cloud-model.js";

interface Due {
  at: number;
  order: number;
  fn: () => void;
  cancelled: boolean;
}

/** Virtual time that advances only during `run`; events at the same instant keep their order of scheduling. */
export class VirtualClock implements ModelClock {
  readonly stood$ = NEVER;
  private time = 0;
  private count = 0;
  private heap: Due[] = [];

  now(): number {
    return this.time;
  }

  wall(): number {
    return 1_700_000_000_000 + this.time;
  }

  after(ms: number, fn: () => void): () => void {
    const due: Due = { at: this.time + Math.max(0, ms), order: this.count++, fn, cancelled: false };
    this.push(due);
    return () => {
      due.cancelled = true;
    };
  }

  private less(a: Due, b: Due): boolean {
    return a.at < b.at || (a.at === b.at && a.order < b.order);
  }

  private push(due: Due): void {
    const heap = this.heap;
    let i = heap.push(due) - 1;
    while (i > 0) {
      const up = (i - 1) >> 1;
      if (!this.less(heap[i]!, heap[up]!)) break;
      [heap[i], heap[up]] = [heap[up]!, heap[i]!];
      i = up;
    }
  }

  private pop(): Due | undefined {
    const heap = this.heap;
    const top = heap[0];
    const last = heap.pop();
    if (top === undefined || last === undefined || heap.length === 0) return top;
    heap[0] = last;
    for (let i = 0; ;) {
      let least = i;
      for (const child of [2 * i + 1, 2 * i + 2]) if (child < heap.length && this.less(heap[child]!, heap[least]!)) least = child;
      if (least === i) return top;
      [heap[i], heap[least]] = [heap[least]!, heap[i]!];
      i = least;
    }
  }

  /** Runs all events due up to `until`, letting promises settle before each. */
  async run(until: number): Promise<void> {
    for (;;) {
      await new Promise<void>((resolve) => setImmediate(resolve));
      const next = this.heap[0];
      if (next === undefined || next.at > until) break;
      this.time = next.at;
      const due = this.pop()!;
      if (!due.cancelled) due.fn();
    }
    this.time = until;
  }
}
