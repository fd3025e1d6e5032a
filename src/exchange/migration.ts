/** Transactions that move jobs and slices to other partitions. */
import { fitToLimit, keys, partitionOf, withPartitionAssigned, type JobRecord, type SliceRecord } from "../ledger/records.js";
import type { Partition } from "../partitions/partition.js";
import { waitingTailLength, type TaskSet } from "../queue/task-set.js";
import type { ExchangeDependencies } from "./dependencies.js";

/** Migrates jobs, and slices of job arrays, to other partitions. */
export class Migration {
  constructor(
    private readonly dependencies: ExchangeDependencies,
    /**
     * Called when the migration of a slice (a range of an array's tasks) has ended, to allow another bid request for
     * the array.
     */
    private readonly allowBidRequests: (taskSet: TaskSet) => void,
  ) {}

  /** Migrates a whole job to another partition. The job must not start here until the outcome of the transaction is known. */
  migrate(partition: Partition, taskSet: TaskSet, target: number): void {
    taskSet.migrating = true;
    this.dependencies.scope.log.debug({ part: partition.id, term: partition.term, to: target, job: taskSet.spec.ref }, "migration begun");
    const draft = () => {
      const entry = this.dependencies.replica.get<JobRecord>(taskSet.key);
      if (entry === undefined || partitionOf(entry.v) !== partition.id || entry.v.end !== undefined) return null;
      if (this.dependencies.replica.stamp(keys.owner(partition.id)) !== partition.term) return null;
      return {
        conditions: [
          { k: taskSet.key, stamp: entry.stamp },
          { k: keys.owner(partition.id), stamp: partition.term },
        ],
        apply: [{ write: taskSet.key, v: { ...withPartitionAssigned(entry.v), part: target, moved: true } }],
      };
    };
    void this.dependencies.committer.commit("move", draft).then((outcome) => {
      if (outcome === "shed") taskSet.migrating = false;
      this.dependencies.scope.log.debug(
        { part: partition.id, term: partition.term, to: target, job: taskSet.spec.ref, outcome },
        "job moved",
      );
    });
  }

  /**
   * Migrates up to `maxTasks` waiting tasks at the end of a job array to another partition, as a slice with a record of
   * its own. Until the outcome of the transaction is known, they are queued in neither partition.
   */
  migrateSlice(partition: Partition, taskSet: TaskSet, target: number, maxTasks: number): void {
    const endBefore = taskSet.hi;
    const count = Math.min(waitingTailLength(taskSet, maxTasks), endBefore - 1);
    if (count <= 0) return;
    const lo = endBefore - count;
    const migrating = taskSet.waiting.filter((task) => task >= lo);
    taskSet.migratingFrom = lo;
    this.dependencies.scope.log.debug(
      { part: partition.id, term: partition.term, to: target, job: taskSet.spec.ref, from: lo, tasks: count },
      "migration begun",
    );
    taskSet.waiting = taskSet.waiting.filter((task) => task < lo);
    const { ref } = taskSet.spec;
    const key = keys.slice(ref, lo);
    const draft = () => {
      const entry = this.dependencies.replica.get<JobRecord>(taskSet.key);
      if (entry === undefined || partitionOf(entry.v) !== partition.id || entry.v.end !== undefined || entry.v.hi !== endBefore)
        return null;
      if (this.dependencies.replica.stamp(keys.owner(partition.id)) !== partition.term || this.dependencies.replica.get(key) !== undefined)
        return null;
      const rest = fitToLimit<JobRecord>({ ...withPartitionAssigned(entry.v), hi: lo }, lo, this.dependencies.settings.state.valueKb);
      if (rest === null) return null;
      const slice: SliceRecord = { ref, part: target, lo, hi: endBefore, done: "", moved: true };
      return {
        conditions: [
          { k: taskSet.key, stamp: entry.stamp },
          { k: keys.owner(partition.id), stamp: partition.term },
          { k: key, stamp: 0 },
        ],
        apply: [
          { write: taskSet.key, v: rest },
          { write: key, v: slice },
        ],
      };
    };
    void this.dependencies.committer.commit("slice", draft).then((outcome) => {
      const moved = (this.dependencies.replica.get<JobRecord>(taskSet.key)?.v.hi ?? 0) <= lo;
      taskSet.migratingFrom = Infinity;
      if (!moved && !taskSet.ended) taskSet.waiting.push(...migrating.filter((task) => !taskSet.attempts.hasTask(ref, task)));
      this.allowBidRequests(taskSet);
      this.dependencies.scope.log.debug({ part: partition.id, to: target, job: ref, tasks: count, moved, outcome }, "slice moved");
    });
  }
}
