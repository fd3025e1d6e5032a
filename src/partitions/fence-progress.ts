/** Logs what a fence waits for: the machines that have not acknowledged the new term, and the results of contacting them. */
import type { Log } from "../platform/log.js";
import type { Machine } from "../workers/machine.js";
import type { Partition } from "../partitions/partition.js";

/** Maximum number of machines listed in one line; the line also has the total. */
const MAX_LISTED_MACHINES = 5;

/** Logs the progress of long fences. */
export class FenceProgress {
  /** Time of the last line for each partition; a `Partition` object exists for one term. */
  private readonly lastLineAt = new WeakMap<Partition, number>();

  constructor(
    private readonly log: Log,
    private readonly intervalMs: number,
    private readonly expiryMs: number,
  ) {}

  /** Writes a line if `intervalMs` has passed since the last one or since the fence began. */
  logIfDue(partition: Partition, now: number): void {
    if (now - (this.lastLineAt.get(partition) ?? partition.takenOverAt) < this.intervalMs) return;
    this.lastLineAt.set(partition, now);
    const waiting = [...partition.machines.values()].filter(({ fenced }) => !fenced);
    this.log.info(
      {
        ...{
          part: partition.id,
          term: partition.term,
          ms: Math.round(now - partition.takenOverAt),
          unfenced: waiting.length,
          of: partition.machines.size,
        },
        machines: waiting.slice(0, MAX_LISTED_MACHINES).map((machine) => this.describe(machine, now)),
      },
      "fence waits for machines",
    );
  }

  private describe(machine: Machine, now: number): Record<string, unknown> {
    const { host, type, up, token, lastReceivedAt, answeredAt, failedCommands: directFailures, lastCommandError: directError } = machine;
    const receivedAgoMs = lastReceivedAt === -Infinity ? null : Math.round(now - lastReceivedAt);
    const leaseOverInMs = Math.round(answeredAt + this.expiryMs - now);
    return { host, type, up, token, heardAgoMs: receivedAgoMs, commandsFailed: directFailures, lastFailure: directError, leaseOverInMs };
  }
}
