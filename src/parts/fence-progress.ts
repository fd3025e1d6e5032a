/** Says what a fence waits for, while it does: which machines have shown no sign of the new term, and what came of asking them. */
import type { Log } from "../platform/log.js";
import type { Machine } from "../workers/machine.js";
import type { Part } from "./part.js";

/** Machines that one line names; the rest is counted. */
const MAX_LISTED_MACHINES = 5;

export class FenceProgress {
  /** By partition under one term: when its last line was written. */
  private readonly lastLineAt = new WeakMap<Part, number>();

  constructor(
    private readonly log: Log,
    private readonly intervalMs: number,
    private readonly expiryMs: number,
  ) {}

  /** Called often; a line comes once a gap, and none of a fence that is over sooner. */
  logIfDue(partition: Part, now: number): void {
    if (now - (this.lastLineAt.get(partition) ?? partition.since) < this.intervalMs) return;
    this.lastLineAt.set(partition, now);
    const waiting = [...partition.machines.values()].filter(({ fenced }) => !fenced);
    this.log.info(
      {
        ...{
          part: partition.id,
          term: partition.term,
          ms: Math.round(now - partition.since),
          unfenced: waiting.length,
          of: partition.machines.size,
        },
        machines: waiting.slice(0, MAX_LISTED_MACHINES).map((machine) => this.describe(machine, now)),
      },
      "fence waits for machines",
    );
  }

  private describe(machine: Machine, now: number): Record<string, unknown> {
    const { host, type, up, token, heardAt, answeredAt, directFailures, directError } = machine;
    const heardAgoMs = heardAt === -Infinity ? null : Math.round(now - heardAt);
    const leaseOverInMs = Math.round(answeredAt + this.expiryMs - now);
    return { host, type, up, token, heardAgoMs, commandsFailed: directFailures, lastFailure: directError, leaseOverInMs };
  }
}
