/** Records finished tasks durably in the state service. */
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
   */
  record(partition: Partition, taskSet: TaskSet): void {
    if (taskSet.endWritePending) return;
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

  /** Merges the finished tasks into the record of the job or slice, and records the job as done if all its tasks are. */
  private recordNow(partition: Partition, taskSet: TaskSet): void {
    taskSet.endWritePending = true;
    const { ref } = taskSet.spec;
    const isJob = taskSet.lo === 0;
    let writtenCount = 0;
    const draft = () => {
      const entry = this.replica.get<JobRecord | SliceRecord>(taskSet.key);
      const job = this.replica.get<JobRecord>(keys.job(ref));
      if (entry === undefined || job === undefined || job.v.end !== undefined || partitionOf(entry.v) !== partition.id) return null;
      if (this.replica.stamp(keys.owner(partition.id)) !== partition.term) return null;
      const bits = doneTasks(entry.v, taskSet.hi - taskSet.lo);
      const recordedCount = bits.count;
      bits.merge(taskSet.done);
      const complete = isJob && bits.full && this.allSlicesDone(ref);
      if (bits.count === recordedCount && !complete) return null;
      writtenCount = taskSet.done.count;
      const { packed: _packed, ...plain } = withPartitionAssigned(entry.v);
      const value = { ...plain, done: bits.encode() };
      if (complete) Object.assign(value, { end: "done", endedAt: this.context.scope.clock.wall() } satisfies Partial<JobRecord>);
      const v = fitToLimit(value, taskSet.hi - taskSet.lo, this.context.settings.state.valueKb);
      if (v === null) return null;
      return {
        conditions: [
          { k: taskSet.key, stamp: entry.stamp },
          { k: keys.owner(partition.id), stamp: partition.term },
        ],
        apply: [{ write: taskSet.key, v }],
      };
    };
    void this.committer.commit("done", draft, { priority: taskSet.done.full ? "soon" : "later" }).then((outcome) => {
      taskSet.endWritePending = false;
      if (outcome === "done") {
        this.context.scope.log.debug(
          { part: partition.id, job: ref, done: taskSet.done.count, of: taskSet.hi - taskSet.lo },
          "progress recorded",
        );
        if (taskSet.done.count > writtenCount) this.record(partition, taskSet);
      } else if (outcome === "shed" && !taskSet.ended && this.context.partitions.get(partition.id) === partition)
        this.recordLater(partition, taskSet);
    });
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
