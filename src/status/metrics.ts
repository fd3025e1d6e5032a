import type { Controller } from "../controller.js";
import type { Exposition } from "./exposition.js";

const MAX_CLASSES = 50;
/** Waits kept until somebody reads them: as many are handed over at once. */
const MAX_PENDING = 1000;

/**
 * Counts what the operators' collector asks for. The library that writes it out is loaded when somebody
 * asks, or much has been counted: start-up is short of processor time.
 */
export class Metrics {
  private readonly answers = new Map<number, number>();
  private readonly classes = new Set<string>();
  private pending: [klass: string, seconds: number][] = [];
  private exposition: Promise<Exposition> | null = null;

  constructor(private readonly controller: Controller) {}

  countAnswer(status: number): void {
    this.answers.set(status, (this.answers.get(status) ?? 0) + 1);
  }

  countWait(klass: string, seconds: number): void {
    // Class names come from users: a bounded set of labels, the rest together.
    const known = this.classes.has(klass) || this.classes.size < MAX_CLASSES;
    if (known) this.classes.add(klass);
    this.pending.push([known ? klass : "(other)", seconds]);
    if (this.pending.length >= MAX_PENDING) void this.handOver();
  }

  private async handOver(): Promise<Exposition> {
    const { controller, answers } = this;
    this.exposition ??= import("./exposition.js").then(({ Exposition }) => new Exposition(controller, answers));
    const waits = this.pending;
    this.pending = [];
    const exposition = await this.exposition;
    for (const [klass, seconds] of waits) exposition.countWait(klass, seconds);
    return exposition;
  }

  async text(): Promise<string> {
    return (await this.handOver()).text();
  }
}
