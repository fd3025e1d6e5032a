import type { Controller } from "../controller.js";
import type { Exposition } from "./exposition.js";

const MAX_CLASSES = 50;
/** Maximum number of waiting times that are buffered before they are passed to the histogram. */
const MAX_PENDING_WAITS = 1000;

/**
 * Collects metrics. The library that formats them is loaded on the first request for metrics, or when the buffer of
 * waiting times is full, because processor time is scarce at start-up.
 */
export class Metrics {
  private readonly answers = new Map<number, number>();
  private readonly classes = new Set<string>();
  private pending: [klass: string, seconds: number][] = [];
  private exposition: Promise<Exposition> | null = null;

  constructor(private readonly controller: Controller) {}

  /** Counts a response to a user. */
  countAnswer(status: number): void {
    this.answers.set(status, (this.answers.get(status) ?? 0) + 1);
  }

  /** Records the time in seconds from a task's submission until it runs. */
  countWait(klass: string, seconds: number): void {
    // Job class names come from users, so the number of classes with a label of their own is bounded; further ones share a label.
    const hasOwnLabel = this.classes.has(klass) || this.classes.size < MAX_CLASSES;
    if (hasOwnLabel) this.classes.add(klass);
    this.pending.push([hasOwnLabel ? klass : "(other)", seconds]);
    if (this.pending.length >= MAX_PENDING_WAITS) void this.flush();
  }

  private async flush(): Promise<Exposition> {
    const { controller, answers } = this;
    this.exposition ??= import("./exposition.js").then(({ Exposition }) => new Exposition(controller, answers));
    const waits = this.pending;
    this.pending = [];
    const exposition = await this.exposition;
    for (const [klass, seconds] of waits) exposition.countWait(klass, seconds);
    return exposition;
  }

  /** Returns the metrics as text. */
  async text(): Promise<string> {
    return (await this.flush()).text();
  }
}
