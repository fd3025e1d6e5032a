import type { Clock } from "./clock.js";
import type { Log } from "./log.js";

/**
 * Limits the rate of log lines that other processes can cause without bound: each message is logged at most once per
 * interval, with the number of lines suppressed since the last one.
 */
export class RateLimitedLog {
  private readonly lastLogged = new Map<string, { at: number; suppressed: number }>();

  constructor(
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly intervalMs: number,
  ) {}

  /** Logs at level info. `message` must be one of a few constants, because an entry for each message is kept forever. */
  info(detail: Record<string, unknown>, message: string): void {
    const now = this.clock.now();
    const previous = this.lastLogged.get(message);
    if (previous !== undefined && now - previous.at < this.intervalMs) {
      previous.suppressed++;
      return;
    }
    this.log.info({ ...detail, notSaid: previous?.suppressed ?? 0 }, message);
    this.lastLogged.set(message, { at: now, suppressed: 0 });
  }
}
