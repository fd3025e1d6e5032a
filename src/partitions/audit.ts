/**
 * The audit log records why a start, a stop or a restart was allowed. It has one line per event with the same field names
 * everywhere, so that the history of one task can be assembled from the logs of all controllers (docs/operations.md).
 */
import { TokenBucket, type SteadyClock } from "@thorntrail/protocol/token-bucket";
import type { Report } from "@thorntrail/protocol/worker";
import type { Log } from "../platform/log.js";
import { taskId, type Placement } from "../queue/task-set.js";
import type { EndedAttempt } from "../job-classes/class-accounting.js";
import type { SpentStart } from "../workers/direct-starts.js";
import type { FenceProof, Machine } from "../workers/machine.js";
import type { Partition } from "../partitions/partition.js";

/**
 * Rate limit on log lines about tasks that are restarted while the proof of ownership (the newest read of the state
 * service) is stale. `staleRestarts` counts all such restarts.
 */
const STALE_START_LINES_PER_SECOND = 5;
const STALE_START_LINES_BURST = 200;

/** Writes the audit log of the owned partitions. */
export class Audit {
  /** Number of task restarts that were ordered while the newest read of the state service, which proves ownership, was stale. */
  staleRestarts = 0;
  private readonly staleStartLines: TokenBucket;

  constructor(
    clock: SteadyClock,
    private readonly log: Log,
    /** Returns the age in ms of the newest read of the state service, which proves this node's ownership. */
    private readonly proofAgeMs: () => number,
    /** Age above which the newest read of the state service no longer counts as a fresh proof of ownership, in ms. */
    private readonly maxFreshMs: number,
  ) {
    this.staleStartLines = new TokenBucket(clock, STALE_START_LINES_PER_SECOND, STALE_START_LINES_BURST);
  }

  /** Returns the log fields that identify an attempt at a task and the partition owner's term under which it is handled. */
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
   * Logs that the scheduling cycle placed a task on a machine. The field `former` is the task's last earlier attempt,
   * if any, with the proof that this attempt is gone. A restart while the proof of ownership is stale is logged at
   * info level, at a limited rate.
   */
  logOrdered(partition: Partition, placement: Placement): void {
    const former = placement.taskSet.lastGone.get(placement.task);
    const stale = former !== undefined && this.proofAgeMs() > this.maxFreshMs;
    if (stale) this.staleRestarts++;
    if (stale && this.staleStartLines.take())
      this.log.info({ ...this.attemptFields(partition, placement), former }, "attempt ordered again without fresh proof of ownership");
    else if (this.verbose) this.log.debug({ ...this.attemptFields(partition, placement), former }, "attempt ordered");
  }

  /** Logs an attempt that a worker reported although this owner did not order it; `wanted` is whether it may continue. */
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

  /** Logs an attempt that provably no longer exists on its machine, with the way it ended and the proof. */
  logGone(partition: Partition, { placement, end, kept, proof }: EndedAttempt): void {
    if (this.verbose)
      this.log.debug({ ...this.attemptFields(partition, placement), state: placement.state, end, kept, proof }, "attempt gone");
  }

  /** Logs that a machine is fenced, with the proof. */
  logFenced(partition: Partition, machine: Machine, proof: FenceProof): void {
    if (!this.verbose) return;
    const { host, session, token } = machine;
    this.log.debug({ part: partition.id, term: partition.term, host, session, token, proof }, "machine fenced");
  }

  /**
   * Logs that a worker was ordered to discard an exited attempt, because it has no result or its result is recorded
   * in the state service; `spent` is why no copy of its start can take effect afterwards.
   */
  logCleared(partition: Partition, machine: Machine, clearedTaskId: string, attempt: number, spent: SpentStart): void {
    if (!this.verbose) return;
    const { host, session, grantedToken: token } = machine;
    const { id: part, term } = partition;
    this.log.debug({ part, term, piece: clearedTaskId, attempt, host, session, token, spent }, "attempt cleared");
  }

  /** Logs that a worker's token was raised from `from`; `heldMs` is how long discards had waited for that. */
  logTokenRaised(partition: Partition, machine: Machine, from: number, heldMs: number): void {
    if (!this.verbose) return;
    const { host, session, grantedToken: to } = machine;
    const readAgoMs = Math.round(this.proofAgeMs());
    this.log.debug(
      { part: partition.id, term: partition.term, host, session, from, to, heldMs: Math.round(heldMs), readAgoMs },
      "token raised",
    );
  }

  /** Logs that a worker refused a command with starts, because it has seen a higher token or is in another session. */
  logStartsRefused(partition: Partition, machine: Machine, sent: { token: number; session: number }, shown: Report, starts: number): void {
    const { host } = machine;
    this.log.info(
      { part: partition.id, term: partition.term, host, sent, shown: { token: shown.token, session: shown.session }, starts },
      "direct starts refused",
    );
  }
}
