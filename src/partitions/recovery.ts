/** Measures how long partitions take to recover after a change of owner. */
import type { LeaderContext } from "../partitions/leader-context.js";
import type { Partition } from "../partitions/partition.js";

/** Recovery of one partition after a change of owner. Durations are in ms from the claim; null until reached. */
export interface RecoverySpan {
  part: number;
  term: number;
  reason: string;
  /** Time for which the former owner had been missing at the claim, in ms; null if it was present or there was none. */
  silentMs: number | null;
  claimedAt: number;
  machines: number;
  fencedMs: number | null;
  placedMs: number | null;
  backMs: number | null;
  /**
   * Host of the machine whose fencing finished last, so that the placement of tasks had to wait for it; null if no
   * machine was found unfenced or fencing has not ended.
   */
  waitedFor: string | null;
}

/** Number of recoveries kept for `/cluster` and the metrics. */
const MAX_SPANS = 100;
/**
 * Time after the end of fencing, as a multiple of the machine types' shortest boot time, after which work that still
 * waits is assumed to wait for reasons other than the recovery.
 */
const MAX_WAIT_BOOTS = 1;

/**
 * Tracks each partition that changes owner through claim, fencing and the first task start, and logs the times and the
 * machine that delayed it in one line, which shows operators the cost of the loss.
 */
export class Recovery {
  /** The newest recoveries, oldest first. */
  readonly spans: RecoverySpan[] = [];
  /** Unfinished recoveries, by partition. */
  private readonly open = new Map<number, RecoverySpan>();

  constructor(private readonly context: LeaderContext) {}

  /**
   * Begins to measure a partition's recovery when this node has claimed the partition; `silentMs` is how long the
   * former owner had been missing.
   */
  recordClaim(partition: number, term: number, reason: string, silentMs: number | null): void {
    const span: RecoverySpan = {
      part: partition,
      term,
      reason,
      silentMs,
      claimedAt: this.context.now,
      machines: 0,
      fencedMs: null,
      placedMs: null,
      backMs: null,
      waitedFor: null,
    };
    this.open.set(partition, span);
    this.spans.push(span);
    if (this.spans.length > MAX_SPANS) this.spans.shift();
  }

  private openSpan(partition: Partition): RecoverySpan | undefined {
    const span = this.open.get(partition.id);
    return span?.term === partition.term ? span : undefined;
  }

  /** Records the end of fencing; `last` is the host of the machine whose fencing finished last, null if none was unfenced. */
  recordFenced(partition: Partition, last: string | null): void {
    const span = this.openSpan(partition);
    if (span === undefined || span.fencedMs !== null) return;
    span.machines = partition.machines.size;
    span.fencedMs = Math.round(this.context.now - span.claimedAt);
    span.waitedFor = last;
  }

  /** Records the first task start after the claim. */
  recordTaskStart(partition: Partition): void {
    const span = this.openSpan(partition);
    if (span !== undefined) span.placedMs ??= Math.round(this.context.now - span.claimedAt);
  }

  /**
   * Ends a recovery after its fencing, once one of these holds: no task set that arrived before the end of fencing
   * still waits, a task has started, or the shortest boot time has passed since the end of fencing.
   */
  checkCompletion(partition: Partition): void {
    const span = this.openSpan(partition);
    if (span === undefined || span.fencedMs === null || span.backMs !== null) return;
    const maxWaitMs = Math.min(Infinity, ...this.context.types.map((type) => type.bootS * 1000)) * MAX_WAIT_BOOTS;
    const sinceFence = this.context.now - span.claimedAt - span.fencedMs;
    const waits = [...partition.taskSets.values()].some(
      (taskSet) => taskSet.waiting.length > 0 && taskSet.arrivedAt <= span.claimedAt + span.fencedMs!,
    );
    if (waits && span.placedMs === null && sinceFence < maxWaitMs) return;
    span.backMs = Math.round(this.context.now - span.claimedAt);
    this.open.delete(partition.id);
    const { claimedAt: _claimedAt, ...fields } = span;
    this.context.scope.log.info(fields, "recovered");
  }
}
