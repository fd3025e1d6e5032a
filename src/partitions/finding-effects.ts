/**
 * Acts on findings (what a worker's report or an expired lease shows about attempts and machines): records progress,
 * updates statistics, writes the audit log and issues follow-up orders.
 */
import { taskId, type Placement, type TaskSet } from "../queue/task-set.js";
import type { Findings } from "../workers/findings.js";
import type { LeaderContext } from "../partitions/leader-context.js";
import type { Partition } from "../partitions/partition.js";
import type { Progress } from "../partitions/progress.js";
import type { Recovery } from "../partitions/recovery.js";

/**
 * A machine counts as slow if at least this many of its tasks were measured, and they took on average (geometric
 * mean) at least this multiple of their expected run time.
 */
const MIN_PACE_SAMPLES = 3;
const SLOW_FACTOR = 2;

/**
 * Applies findings from reports and lease checks to the job and slice records, the statistics, and the machines and task
 * sets of a partition.
 */
export class FindingEffects {
  constructor(
    private readonly context: LeaderContext,
    private readonly progress: Progress,
    private readonly recovery: Recovery,
  ) {}

  /** Applies all findings of one report or one lease check. */
  apply(partition: Partition, findings: Findings): void {
    for (const taskSet of findings.finished) this.progress.record(partition, taskSet);
    for (const { taskSet, seconds, host } of findings.runs) {
      this.updatePace(partition, taskSet, seconds, host);
      this.context.history.record(taskSet.spec, seconds);
    }
    const { audit } = this.context;
    for (const { machine, proof } of findings.fenced) audit.logFenced(partition, machine, proof);
    for (const { placement, wanted } of findings.adopted) audit.logAdopted(partition, placement, wanted);
    for (const placement of findings.seenAgain) this.reportSeenAgain(partition, placement);
    for (const placement of findings.started) this.recordTaskStart(partition, placement);
    for (const ended of findings.ended) {
      audit.logGone(partition, ended);
      this.context.account.recordEnd(ended);
    }
    for (const one of findings.unproven) this.reportInvalidProof(partition, one);
    for (const taskSet of findings.brokenGangs) this.stopGang(partition, taskSet);
    if (findings.changed) this.context.requestSchedulingCycle();
  }

  /**
   * Reports an attempt that was to be removed although the proof that it no longer exists is invalid, which is always
   * a defect. The attempt remains registered.
   */
  private reportInvalidProof(partition: Partition, { placement, proof, flaw }: Findings["unproven"][number]): void {
    const { taskSet, task, attempt, host } = placement;
    const { by: reason, ...times } = proof;
    this.context.scope.invariants.reportViolation("an attempt is gone only by proof under this owner's term", {
      ...{ part: partition.id, term: partition.term, host, piece: taskId(taskSet, task), attempt },
      ...{ reason, ...times, flaw },
    });
  }

  /** Reports an attempt that is on a machine although this owner had a proof that it no longer exists, which is always a defect. */
  private reportSeenAgain(partition: Partition, placement: Placement): void {
    const { taskSet, task, attempt, host, state } = placement;
    const machine = partition.machines.get(host);
    this.context.stats.seenAgain++;
    this.context.scope.invariants.reportViolation("an attempt that was proven gone is not on a machine again", {
      ...{ part: partition.id, term: partition.term, host, session: machine?.session, token: machine?.token },
      ...{ piece: taskId(taskSet, task), attempt, state },
    });
  }

  private recordTaskStart(partition: Partition, placement: Placement): void {
    const { spec, submittedWall, migrated: moved } = placement.taskSet;
    this.context.stats.starts++;
    this.context.account.recordStart(placement);
    this.recovery.recordTaskStart(partition);
    this.context.taskStarted$.next({ klass: spec.klass, waitS: Math.max(0, this.context.scope.clock.wall() - submittedWall) / 1000 });
    this.context.scope.log.debug(
      {
        part: partition.id,
        job: spec.ref,
        task: placement.task,
        class: spec.klass,
        host: placement.host,
        waitMs: Math.round(this.context.scope.clock.wall() - submittedWall),
        startMs: Math.round(this.context.now - placement.orderedAt),
        moved,
      },
      "running",
    );
  }

  /**
   * Drains a machine if several tasks took much longer on it than expected; it is returned to the cloud once it is
   * empty.
   */
  private updatePace(partition: Partition, taskSet: TaskSet, seconds: number, host: string): void {
    const machine = partition.machines.get(host);
    // A gang runs as fast as its slowest machine, so its run times say nothing about a single machine.
    if (machine === undefined || taskSet.spec.kind !== "array") return;
    machine.runTimeRatios.sum += Math.log(seconds / this.context.history.expectedRunS(taskSet.spec));
    machine.runTimeRatios.count++;
    if (
      machine.draining ||
      machine.runTimeRatios.count < MIN_PACE_SAMPLES ||
      machine.runTimeRatios.sum / machine.runTimeRatios.count < Math.log(SLOW_FACTOR)
    )
      return;
    machine.draining = true;
    this.context.scope.log.info(
      { part: partition.id, host, factor: Math.exp(machine.runTimeRatios.sum / machine.runTimeRatios.count) },
      "machine set aside: slow",
    );
  }

  /** Stops the remaining members of a gang that lost one; all must be gone before the gang can start again. */
  stopGang(partition: Partition, taskSet: TaskSet): void {
    for (const placement of taskSet.placements.values()) {
      if (placement.stop !== null) continue;
      placement.stop = { graceS: 0 };
      const machine = partition.machines.get(placement.host);
      if (machine !== undefined) this.context.dispatch$.next({ partition, machine });
    }
  }
}
