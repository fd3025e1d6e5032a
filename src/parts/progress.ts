import type { Committer } from "../ledger/committer.js";
import type { Mirror } from "../ledger/mirror.js";
import { doneOf, fitting, isDone, keys, partOf, settled, type JobRecord, type SliceRecord } from "../ledger/records.js";
import type { Unit } from "../queue/unit.js";
import { splitPiece } from "../queue/unit.js";
import type { LeaderContext } from "./leader-context.js";
import type { Part } from "./part.js";

/** What is done, made durable before anybody is told and before a worker forgets it. */
export class Progress {
  constructor(
    private readonly context: LeaderContext,
    private readonly mirror: Mirror,
    private readonly committer: Committer,
  ) {}

  /**
   * Records what is done; nothing is told, and nothing cleared, before that. A
   * slice that is complete is recorded at once. Progress short of that is only
   * insurance against losing this node, and workers keep their results until they
   * are cleared, so it is recorded once a lease: a write for every few tasks would
   * crowd out submissions.
   */
  record(partition: Part, taskSet: Unit): void {
    if (taskSet.committing) return;
    if (taskSet.done.full) return this.recordNow(partition, taskSet);
    this.recordLater(partition, taskSet);
  }

  /** Nothing asks again for what was not taken because too many writes waited: a job whose tasks are all done would stay open for ever. */
  private recordLater(partition: Part, taskSet: Unit): void {
    if (taskSet.recordDue) return;
    taskSet.recordDue = true;
    this.context.scope.clock.after(this.context.settings.timing.leaseMs, () => {
      taskSet.recordDue = false;
      if (!taskSet.committing && !taskSet.ended && this.context.parts.get(partition.id) === partition) this.recordNow(partition, taskSet);
    });
  }

  private recordNow(partition: Part, taskSet: Unit): void {
    taskSet.committing = true;
    const { ref } = taskSet.spec;
    const isJob = taskSet.lo === 0;
    let sent = 0;
    const draft = () => {
      const entry = this.mirror.get<JobRecord | SliceRecord>(taskSet.key);
      const job = this.mirror.get<JobRecord>(keys.job(ref));
      if (entry === undefined || job === undefined || job.v.end !== undefined || partOf(entry.v) !== partition.id) return null;
      if (this.mirror.stamp(keys.owner(partition.id)) !== partition.term) return null;
      const bits = doneOf(entry.v, taskSet.hi - taskSet.lo);
      const before = bits.count;
      bits.merge(taskSet.done);
      const complete = isJob && bits.full && this.allSlicesDone(ref);
      if (bits.count === before && !complete) return null;
      sent = taskSet.done.count;
      const { packed: _packed, ...plain } = settled(entry.v);
      const value = { ...plain, done: bits.encode() };
      if (complete) Object.assign(value, { end: "done", endedAt: this.context.scope.clock.wall() } satisfies Partial<JobRecord>);
      const v = fitting(value, taskSet.hi - taskSet.lo, this.context.settings.state.valueKb);
      if (v === null) return null;
      return {
        conditions: [
          { k: taskSet.key, stamp: entry.stamp },
          { k: keys.owner(partition.id), stamp: partition.term },
        ],
        apply: [{ write: taskSet.key, v }],
      };
    };
    void this.committer.commit("done", draft, { turn: taskSet.done.full ? "soon" : "later" }).then((outcome) => {
      taskSet.committing = false;
      if (outcome === "done") {
        this.context.scope.log.debug(
          { part: partition.id, job: ref, done: taskSet.done.count, of: taskSet.hi - taskSet.lo },
          "progress recorded",
        );
        if (taskSet.done.count > sent) this.record(partition, taskSet);
      } else if (outcome === "shed" && !taskSet.ended && this.context.parts.get(partition.id) === partition)
        this.recordLater(partition, taskSet);
    });
  }

  private allSlicesDone(ref: string): boolean {
    const spec = this.mirror.get<JobRecord>(keys.job(ref))!.v;
    if (spec.hi >= spec.spec.tasks) return true;
    let covered = spec.hi;
    for (const [, { v: slice }] of this.mirror.slicesOf(ref)) {
      if (!doneOf(slice, slice.hi - slice.lo).full) return false;
      covered += slice.hi - slice.lo;
    }
    return covered >= spec.spec.tasks;
  }

  isRecordedDone(piece: string): boolean {
    const { ref, task } = splitPiece(piece);
    const job = this.mirror.get<JobRecord>(keys.job(ref));
    if (job === undefined) return false;
    if (job.v.end !== undefined) return true;
    const found = this.recordOf(ref, task);
    return found !== null && isDone(found.record, task - found.lo);
  }

  private recordOf(ref: string, task: number): { lo: number; record: JobRecord | SliceRecord } | null {
    const job = this.mirror.get<JobRecord>(keys.job(ref));
    if (job === undefined) return null;
    if (task < job.v.hi) return { lo: 0, record: job.v };
    for (const [, { v }] of this.mirror.slicesOf(ref)) if (task >= v.lo && task < v.hi) return { lo: v.lo, record: v };
    return null;
  }
}
