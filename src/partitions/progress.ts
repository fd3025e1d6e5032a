/** Records finished tasks durably in the state service. */
import type { Draft } from "../ledger/batch.js";
import type { GroupCommitter } from "../ledger/group-committer.js";
import type { StateReplica } from "../ledger/state-replica.js";
import {
  doneTasks,
  fitToLimit,
  isDone,
  keys,
  partitionOf,
  withPartitionAssigned,
  type JobRecord,
  type SliceRecord,
} from "../ledger/records.js";
import type { TaskSet } from "../queue/task-set.js";
import { parseTaskId } from "../queue/task-set.js";
import type { LeaderContext } from "../partitions/leader-context.js";
import type { Partition } from "../partitions/partition.js";

/** Makes finished tasks durable before users see them as done and before workers discard the results. */
export class Progress {
  constructor(
    private readonly context: LeaderContext,
    private readonly replica: StateReplica,
    private readonly committer: GroupCommitter,
  ) {}

  /**
   * Records the finished tasks of a task set. A complete task set is recorded at once. Partial progress is needed only
   * if this node is lost, and workers keep results until they are ordered to discard them, so it is recorded once per
   * lease: a write for every few tasks would crowd out submissions.
   *
   * A call during a write takes effect after it. The write may have been sent already, so it may lack what the call is
   * about: further finished tasks, or the last slice that was recorded as done, with which the job ends. Nobody repeats
   * the call: a job whose last event was ignored would never end.
   */
  record(partition: Partition, taskSet: TaskSet): void {
    if (taskSet.endWritePending) {
      taskSet.recordRequested = true;
      return;
    }
    if (taskSet.done.full) return this.recordNow(partition, taskSet);
    this.recordLater(partition, taskSet);
  }

  /**
   * Records the finished tasks of a task set after one lease. This also retries a write that was shed because too
   * many were queued: nothing else retries such a write, and a job whose tasks are all done would otherwise never
   * end.
   */
  private recordLater(partition: Partition, taskSet: TaskSet): void {
    if (taskSet.progressWriteScheduled) return;
    taskSet.progressWriteScheduled = true;
    this.context.scope.clock.after(this.context.settings.timing.leaseMs, () => {
      taskSet.progressWriteScheduled = false;
      if (!taskSet.endWritePending && !taskSet.ended && this.context.partitions.get(partition.id) === partition)
        this.recordNow(partition, taskSet);
    });
  }

  /** Writes the finished tasks of a task set to the state service now. */
  private recordNow(partition: Partition, taskSet: TaskSet): void {
    taskSet.endWritePending = true;
    taskSet.recordRequested = false;
    const draft = (): Draft | null => this.draftRecord(partition, taskSet);
    void this.committer.commit("done", draft, { priority: taskSet.done.full ? "soon" : "later" }).then((outcome) => {
      taskSet.endWritePending = false;
      if (outcome === "done")
        this.context.scope.log.debug(
          { part: partition.id, job: taskSet.spec.ref, done: taskSet.done.count, of: taskSet.hi - taskSet.lo },
          "progress recorded",
        );
      if (taskSet.ended || this.context.partitions.get(partition.id) !== partition) return;
      if (outcome === "shed") this.recordLater(partition, taskSet);
      else if (taskSet.recordRequested) this.record(partition, taskSet);
    });
  }

  /**
   * Drafts the write that merges the finished tasks into the record of the job or slice, and records the job as done if
   * all its tasks are. Null if nothing is left to write or the partition has another owner.
   */
  private draftRecord(partition: Partition, taskSet: TaskSet): Draft | null {
    const { ref } = taskSet.spec;
    const size = taskSet.hi - taskSet.lo;
    const entry = this.replica.get<JobRecord | SliceRecord>(taskSet.key);
    const job = this.replica.get<JobRecord>(keys.job(ref));
    if (entry === undefined || job === undefined || job.v.end !== undefined || partitionOf(entry.v) !== partition.id) return null;
    if (this.replica.stamp(keys.owner(partition.id)) !== partition.term) return null;
    const bits = doneTasks(entry.v, size);
    const recordedCount = bits.count;
    bits.merge(taskSet.done);
    const isFirst = taskSet.lo === 0;
    const complete = isFirst && bits.full && this.allSlicesDone(ref);
    if (bits.count === recordedCount && !complete) return null;
    const { packed: _packed, ...plain } = withPartitionAssigned(entry.v);
    const value = { ...plain, done: bits.encode() };
    if (complete) Object.assign(value, { end: "done", endedAt: this.context.scope.clock.wall() } satisfies Partial<JobRecord>);
    const v = fitToLimit(value, size, this.context.settings.state.valueKb);
    if (v === null) return null;
    return {
      conditions: [
        { k: taskSet.key, stamp: entry.stamp },
        { k: keys.owner(partition.id), stamp: partition.term },
      ],
      apply: [{ write: taskSet.key, v }],
    };
  }

  /** Returns whether all slices (ranges of a job's tasks) after the first are recorded as done. */
  private allSlicesDone(ref: string): boolean {
    const spec = this.replica.get<JobRecord>(keys.job(ref))!.v;
    if (spec.hi >= spec.spec.tasks) return true;
    let covered = spec.hi;
    for (const [, { v: slice }] of this.replica.slicesOf(ref)) {
      if (!doneTasks(slice, slice.hi - slice.lo).full) return false;
      covered += slice.hi - slice.lo;
    }
    return covered >= spec.spec.tasks;
  }

  /** Returns whether the task is durably recorded as done, or its job has ended. */
  isRecordedDone(taskId: string): boolean {
    const { ref, task } = parseTaskId(taskId);
    const job = this.replica.get<JobRecord>(keys.job(ref));
    if (job === undefined) return false;
    if (job.v.end !== undefined) return true;
    const found = this.recordOf(ref, task);
    return found !== null && isDone(found.record, task - found.lo);
  }

  /** Returns the job or slice record that contains the task, and the number of its first task. */
  private recordOf(ref: string, task: number): { lo: number; record: JobRecord | SliceRecord } | null {
    const job = this.replica.get<JobRecord>(keys.job(ref));
    if (job === undefined) return null;
    if (task < job.v.hi) return { lo: 0, record: job.v };
    for (const [, { v }] of this.replica.slicesOf(ref)) if (task >= v.lo && task < v.hi) return { lo: v.lo, record: v };
    return null;
  }
}
