import type { Clock } from "./clock.js";
import type { Log } from "./log.js";

/** Says what others bring about, who might do so without end: a line at most once in a while, with how many it stands for. */
export class BoundedLog {
  private readonly said = new Map<string, { at: number; since: number }>();

  constructor(
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly gapMs: number,
  ) {}

  /** `message` is one of few, fixed in the code. */
  info(detail: Record<string, unknown>, message: string): void {
    const now = this.clock.now();
    const last = this.said.get(message);
    if (last !== undefined && now - last.at < this.gapMs) {
      last.since++;
      return;
    }
    this.log.info({ ...detail, notSaid: last?.since ?? 0 }, message);
    this.said.set(message, { at: now, since: 0 });
  }
}
