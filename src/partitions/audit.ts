/**
 * The audit log records why a start, a stop or a restart was allowed. It has one line per event with the same field names
 * everywhere, so that the history of one task can be assembled from the logs of all controllers (docs/operations.md).
 */
import { TokenBucket, type SteadyClock } from "@thorntrail/protocol/token-bucket";
import type { Log } from "../platform/log.js";
import { taskId, type Placement } from "../queue/task-set.js";
import type { EndedAttempt } from "../job-classes/class-accounting.js";
import type { FenceProof, Machine } from "../workers/machine.js";
import type { Partition } from "../partitions/partition.js";

/** Rate and burst of the log lines for starts under stale proof of ownership; `staleRestarts` counts all of them. */
const STALE_START_LINES_PER_SECOND = 5;
const STALE_START_LINES_BURST = 200;

/** Writes the audit log of the owned partitions. */
export class Audit {
  /** Number of tasks that were started again under stale proof of ownership. */
  staleRestarts = 0;
  private readonly staleStartLines: TokenBucket;

  constructor(
    clock: SteadyClock,
    private readonly log: Log,
    /** Returns the age of the last proof of ownership, in ms. */
    private readonly proofAgeMs: () => number,
    /** Age above which a proof of ownership is stale, in ms. */
    private readonly maxFreshMs: number,
  ) {
    this.staleStartLines = new TokenBucket(clock, STALE_START_LINES_PER_SECOND, STALE_START_LINES_BURST);
  }

  /** Returns the fields that identify the attempt and the term under which it is handled. */
  private attemptFields(partition: Partition, placement: Placement): Record<string, unknown> {
    return {
      part: partition.id,
      term: partition.term,
      piece: taskId(placement.taskSet, placement.task),
      attempt: placement.attempt,
      host: placement.host,
      session: partition.machines.get(placement.host)?.session,
      readAgoMs: Math.round(this.proofAgeMs()),
    };
  }

  private get verbose(): boolean {
    return this.log.isLevelEnabled("debug");
  }

  /**
   * Logs that the scheduling cycle placed the task on the machine. `former` is its last earlier attempt, if any, with
   * the proof that the attempt is gone. A restart under stale proof of ownership is logged at info level, at a
   * limited rate.
   */
  logOrdered(partition: Partition, placement: Placement): void {
    const former = placement.taskSet.lastGone.get(placement.task);
    const stale = former !== undefined && this.proofAgeMs() > this.maxFreshMs;
    if (stale) this.staleRestarts++;
    if (stale && this.staleStartLines.take())
      this.log.info({ ...this.attemptFields(partition, placement), former }, "attempt ordered again without fresh proof of ownership");
    else if (this.verbose) this.log.debug({ ...this.attemptFields(partition, placement), former }, "attempt ordered");
  }

  /** Logs an attempt that this owner did not order; `wanted` is whether it may continue. */
  logAdopted(partition: Partition, placement: Placement, wanted: boolean): void {
    if (wanted) {
      if (this.verbose) this.log.debug({ ...this.attemptFields(partition, placement), state: placement.state }, "attempt adopted");
      return;
    }
    if (!this.log.isLevelEnabled("info")) return;
    const others = placement.taskSet.attempts.otherAttempts(placement).map(({ attempt, host }) => ({ attempt, host }));
    this.log.info(
      { ...this.attemptFields(partition, placement), state: placement.state, others },
      "attempt adopted, not wanted: told to stop, its task waits",
    );
  }

  /** Logs an attempt that is proven gone, with the way it ended and the proof. */
  logGone(partition: Partition, { placement, end, kept, proof }: EndedAttempt): void {
    if (this.verbose)
      this.log.debug({ ...this.attemptFields(partition, placement), state: placement.state, end, kept, proof }, "attempt gone");
  }

  /** Logs that a machine counts as fenced, with the proof. */
  logFenced(partition: Partition, machine: Machine, proof: FenceProof): void {
    if (!this.verbose) return;
    const { host, session, token } = machine;
    this.log.debug({ part: partition.id, term: partition.term, host, session, token, proof }, "machine fenced");
  }

  /** Logs the order to the worker to discard an exited attempt, which has no result or one that is durable. */
  logCleared(partition: Partition, machine: Machine, clearedTaskId: string, attempt: number): void {
    if (!this.verbose) return;
    const { host, session } = machine;
    this.log.debug({ part: partition.id, term: partition.term, piece: clearedTaskId, attempt, host, session }, "attempt cleared");
  }
}
