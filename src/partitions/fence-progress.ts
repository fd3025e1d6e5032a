/**
 * Logs which machines have not acknowledged a new owner's term yet, and the results of contacting them. Until all
 * machines are fenced, the new owner places no tasks.
 */
import type { Log } from "../platform/log.js";
import type { Machine } from "../workers/machine.js";
import type { Partition } from "../partitions/partition.js";

/** Maximum number of machines listed in one log line; the line also has the total. */
const MAX_LISTED_MACHINES = 5;

/** Logs at intervals which machines a partition still waits for while it is being fenced. */
export class FenceProgress {
  /**
   * When the last log line about each partition was written. A `Partition` object exists for one term, so each term
   * starts without an entry.
   */
  private readonly lastLineAt = new WeakMap<Partition, number>();

  constructor(
    private readonly log: Log,
    private readonly intervalMs: number,
    private readonly expiryMs: number,
  ) {}

  /**
   * Logs the machines that are not fenced, if `intervalMs` has passed since the last such line or since this node
   * took the partition over.
   */
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
