/** Keeps the set of owned partitions, their machines and their task sets in line with the state service's records. */
import type { StateReplica } from "../ledger/state-replica.js";
import { doneTasks, keys, partitionOf, type JobRecord, type OwnerRecord, type SliceRecord } from "../ledger/records.js";
import type { RentalIndex } from "../ledger/rentals.js";
import { sleep } from "../platform/clock.js";
import type { JobDependencies } from "../pipelines/job-dependencies.js";
import { newTaskSet, truncate, type TaskSet } from "../queue/task-set.js";
import { newMachine, type Machine } from "../workers/machine.js";
import { fence } from "../workers/fence.js";
import { clearFailures } from "../workers/failure-attribution.js";
import { dropAllAttempts } from "../workers/attempt-end.js";
import { newFindings } from "../workers/findings.js";
import type { FindingEffects } from "../partitions/finding-effects.js";
import { EndedTerms, type NewerToken } from "../partitions/ended-terms.js";
import type { LeaderContext } from "../partitions/leader-context.js";
import { addMachine, addTaskSet, newPartition, removeTaskSet, type Partition } from "../partitions/partition.js";
import type { Progress } from "../partitions/progress.js";
import type { LeaseWatch } from "../partitions/lease-watch.js";

/**
 * Takes over and gives up partitions as their owner records change, and reconciles their machines and task sets with
 * the rental, job and slice records.
 */
export class OwnedPartitions {
  /** Takeovers in progress, as partition/term. */
  private readonly takingOver = new Set<string>();
  /** Jobs split into slices (ranges of a job's tasks) whose slice records have been applied to the owned partitions. */
  private readonly slicesReconciled = new Set<string>();
  readonly endedTerms = new EndedTerms();

  constructor(
    private readonly context: LeaderContext,
    private readonly incarnation: string,
    private readonly replica: StateReplica,
    private readonly rentals: RentalIndex,
    private readonly needs: JobDependencies,
    private readonly progress: Progress,
    private readonly effects: FindingEffects,
    private readonly leaseWatch: LeaseWatch,
  ) {}

  /** Subscribes to changes in the state service, of the rental index and of job dependencies. */
  start(): void {
    this.context.scope.listen(this.replica.changes$, (key) => this.onChange(key));
    this.context.scope.listen(this.rentals.changes$, (host) => this.reconcileMachine(host));
    this.context.scope.listen(this.needs.ready$, (ref) => {
      this.reconcileWork(keys.job(ref));
      this.reconcileSlices(ref);
    });
    this.context.scope.listen(this.needs.urgencyChanged$, (ref) => {
      for (const partition of this.context.partitions.values())
        for (const taskSet of partition.taskSetsByJob.get(ref) ?? []) taskSet.urgency = this.needs.urgency(ref);
      this.context.requestSchedulingCycle();
    });
  }

  private onChange(key: string): void {
    if (key === "") {
      for (let partition = 0; partition < this.context.settings.nodes.length; partition++) this.reconcileOwner(partition);
      return;
    }
    if (key.startsWith(keys.owners)) this.reconcileOwner(Number(key.slice(keys.owners.length)));
    else if (key.startsWith(keys.jobs) || key.startsWith(keys.slices)) this.reconcileWork(key);
    else if (key.startsWith(keys.quotaShares)) this.context.requestSchedulingCycle();
  }

  /** Gives up the partition if its owner record names another owner or term, and starts a takeover if the record names this process. */
  private reconcileOwner(id: number): void {
    const entry = this.replica.get<OwnerRecord>(keys.owner(id));
    const current = this.context.partitions.get(id);
    const isOwner = entry !== undefined && entry.v.owner === this.context.settings.self && entry.v.life === this.incarnation;
    if (current !== undefined && (!isOwner || current.term !== entry.stamp)) {
      this.context.partitions.delete(id);
      this.context.scope.log.info(
        { part: id, term: current.term, now: entry?.v.owner, nowTerm: entry?.stamp, readAgoMs: Math.round(this.replica.ageMs()) },
        "part lost",
      );
    }
    if (isOwner && !this.context.partitions.has(id) && !this.endedTerms.hasEnded(id, entry.stamp))
      void this.takeOverAfterRead(id, entry.stamp);
  }

  /**
   * Ends the partition's term because a worker reported a newer owner's token. Whichever owner record was read last,
   * the newer owner may have restarted any task, also on other machines of the partition, so nothing more is ordered,
   * answered or concluded under this term. If the owner record still names this node, `Ownership` claims it again under
   * another term. Returns false, and changes nothing, if tokens of this worker are not accepted as evidence.
   */
  endSupersededTerm(partition: Partition, seen: NewerToken): boolean {
    if (this.context.partitions.get(partition.id) !== partition) return true;
    if (!this.endedTerms.acceptsTokensOf(seen.host)) return false;
    this.context.partitions.delete(partition.id);
    this.endedTerms.recordEnd(partition.id, partition.term, seen);
    this.context.stats.superseded++;
    this.context.scope.log.warn(
      { part: partition.id, term: partition.term, ...seen, readAgoMs: Math.round(this.replica.ageMs()) },
      "part lost: a worker shows a newer owner's token",
    );
    void this.replica.refresh().catch(() => undefined);
    return true;
  }

  /**
   * Takes the partition over after a fresh read of the state service. The state service applied all writes of the
   * former owner before this node's claim, but the local replica may lag behind the claim; a machine missing from it
   * would be neither fenced nor counted, and a job missing from it would be neither queued nor counted.
   */
  private async takeOverAfterRead(id: number, term: number): Promise<void> {
    const claim = `${id}/${term}`;
    if (this.takingOver.has(claim)) return;
    this.takingOver.add(claim);
    for (;;) {
      try {
        await this.replica.refresh();
        break;
      } catch {
        await sleep(this.context.scope.clock, this.context.settings.timing.reportMs / 5);
      }
    }
    this.takingOver.delete(claim);
    const entry = this.replica.get<OwnerRecord>(keys.owner(id));
    const stillOwner = entry?.stamp === term && entry.v.life === this.incarnation;
    if (stillOwner && !this.context.partitions.has(id) && !this.endedTerms.hasEnded(id, term)) this.takeOver(id, term);
  }

  /** Builds the partition from the rental, job and slice records and begins to fence its machines. */
  private takeOver(id: number, term: number): void {
    const partition = newPartition(id, term, this.context.now);
    this.context.partitions.set(id, partition);
    this.context.stats.takeovers++;
    for (const { host, partition: of } of this.rentals.all()) if (of === id) this.reconcileMachine(host);
    for (const key of this.replica.openJobs().keys()) this.reconcileWork(key);
    for (const key of this.replica.rows(keys.slices).keys()) this.reconcileWork(key);
    const readAgoMs = Math.round(this.replica.ageMs());
    this.context.scope.log.info(
      { part: id, term, life: this.incarnation, readAgoMs, machines: partition.machines.size, queue: partition.taskSets.size },
      "leading; fencing machines",
    );
    this.leaseWatch.check();
  }

  /** Adds, updates or removes a machine in the owned partitions according to its rental record. */
  private reconcileMachine(host: string): void {
    const entry = this.rentals.get(host);
    for (const partition of this.context.partitions.values()) {
      const machine = partition.machines.get(host);
      if (entry === undefined || entry.partition !== partition.id) {
        if (machine !== undefined) {
          // The rental record is removed only after the cloud has confirmed the deletion of the machine.
          this.forgetMachine(partition, machine);
        }
        continue;
      }
      if (machine !== undefined) {
        if (entry.addr !== null && !machine.up) {
          machine.up = true;
          machine.idleSince = this.context.now;
        }
        continue;
      }
      const type = this.context.typeOf(entry.type);
      const capacity = type === undefined ? { cpus: 0, gpus: 0, ram: 0 } : { cpus: type.cpus, gpus: type.gpus, ram: type.ram };
      const wallAge = Math.max(0, this.context.scope.clock.wall() - entry.at);
      const added = newMachine(host, entry.type, entry.zone, entry.spot, capacity, this.context.now - wallAge);
      added.up = entry.addr !== null;
      added.addr = entry.addr;
      added.idleSince = this.context.now;
      // A machine that was never recorded as up was never given work.
      if (!added.up) fence(partition, added, "unused", []);
      // The former owner may renew the machine's lease until its own newest read of the state service is
      // `silentAfterMs` old.
      added.answeredAt = added.up ? this.context.now + this.context.settings.timing.silentAfterMs : -Infinity;
      if (added.up) added.lastReportAt = this.context.now;
      addMachine(partition, added);
    }
    this.context.requestSchedulingCycle();
  }

  /** Removes a machine that the cloud has deleted, with all attempts on it. */
  forgetMachine(partition: Partition, machine: Machine): void {
    const findings = newFindings();
    dropAllAttempts({ partition, machine, now: this.context.now, findings }, { by: "machine deleted" });
    fence(partition, machine, "deleted", findings.fenced);
    partition.machines.delete(machine.host);
    this.effects.apply(partition, findings);
  }

  /** Applies a job or slice record to the owned partitions: adds, shortens, ends or removes its task set. */
  private reconcileWork(key: string): void {
    const isJob = key.startsWith(keys.jobs);
    const entry = this.replica.get<JobRecord | SliceRecord>(key);
    if (entry === undefined) return;
    const ref = isJob ? (entry.v as JobRecord).spec.ref : (entry.v as SliceRecord).ref;
    const job = this.replica.get<JobRecord>(keys.job(ref))?.v;
    if (job === undefined) return;
    if (isJob && job.end !== undefined) {
      for (const partition of this.context.partitions.values())
        for (const taskSet of [...(partition.taskSetsByJob.get(ref) ?? [])]) this.endTaskSet(partition, taskSet);
      return;
    }
    if (job.end !== undefined) return;
    // The job waits for other jobs to be done first; `needs.ready$` emits its reference when the last of them is
    // done.
    if (this.needs.isBlocked(ref) || this.needs.outcome(ref) !== undefined) return;
    // The slice records of a large job array may be written before its job record, and are skipped until then. They are reconciled
    // here, once per job, when the job record is applied.
    if (isJob && job.hi < job.spec.tasks && !this.slicesReconciled.has(ref)) {
      this.slicesReconciled.add(ref);
      this.reconcileSlices(ref);
    }
    const partitionId = partitionOf(entry.v);
    const lo = isJob ? 0 : (entry.v as SliceRecord).lo;
    for (const partition of this.context.partitions.values()) {
      const taskSet = partition.taskSets.get(key);
      if (partitionId !== partition.id) {
        if (taskSet !== undefined && taskSet.placements.size === 0) removeTaskSet(partition, taskSet);
        continue;
      }
      if (taskSet !== undefined && entry.v.hi < taskSet.hi) {
        truncate(taskSet, entry.v.hi);
        if (taskSet.done.full) this.progress.record(partition, taskSet);
      }
      if (taskSet === undefined) {
        const bits = doneTasks(entry.v, entry.v.hi - lo);
        const added = newTaskSet(key, job.spec, lo, entry.v.hi, bits, this.needs.eligibleSinceWall(job), this.context.now);
        added.urgency = this.needs.urgency(ref);
        added.migrated = entry.v.moved === true;
        addTaskSet(partition, added);
        this.context.requestSchedulingCycle();
      }
    }
    // The record of a slice changed, and all its tasks may be done: the owner of the array's first tasks may now
    // record the job as done.
    if (!isJob) {
      const partition = this.context.partitions.get(partitionOf(job));
      const first = partition?.taskSets.get(keys.job(ref));
      if (partition !== undefined && first !== undefined && first.done.full) this.progress.record(partition, first);
    }
  }

  private reconcileSlices(ref: string): void {
    for (const [key] of this.replica.slicesOf(ref)) this.reconcileWork(key);
  }

  /** Stops the attempts of a job that ended and removes its task set from the queue. */
  private endTaskSet(partition: Partition, taskSet: TaskSet): void {
    taskSet.ended = true;
    clearFailures(partition, taskSet);
    for (const placement of taskSet.placements.values()) {
      if (!taskSet.done.has(placement.task)) placement.stop = { graceS: 0 };
      const machine = partition.machines.get(placement.host);
      if (machine !== undefined) this.context.dispatch$.next({ partition, machine });
    }
    removeTaskSet(partition, taskSet);
    this.context.requestSchedulingCycle();
  }
}
