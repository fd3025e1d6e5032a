/** Time-driven checks of the owned partitions: expired leases, preemption notices and the end of fencing. */
import { CallError } from "@thorntrail/protocol/errors";
import type { Machine } from "../workers/machine.js";
import { isBrokenGang } from "../queue/task-set.js";
import { fence } from "../workers/fence.js";
import { dropAllAttempts } from "../workers/attempt-end.js";
import { newFindings } from "../workers/findings.js";
import { isLeaseExpired } from "../workers/lease.js";
import type { FindingEffects } from "../partitions/finding-effects.js";
import { FenceProgress } from "../partitions/fence-progress.js";
import type { LeaderContext } from "../partitions/leader-context.js";
import type { Partition } from "../partitions/partition.js";
import type { Progress } from "../partitions/progress.js";
import type { Recovery } from "../partitions/recovery.js";

/** Checks leases, the fencing of partitions and machines to be evacuated, and acts on the results. */
export class LeaseWatch {
  /** For each partition in the `fencing` phase, the host of a machine that was not fenced at the last check. */
  private readonly unfencedMachine = new WeakMap<Partition, string>();
  private readonly fenceProgress: FenceProgress;
  /** Number of machines, at the last check, whose lease has expired by the clock but may have been renewed by a new owner. */
  unprovenLeases = 0;
  /** Whether a read of the state service is in progress that may prove the expiry of leases. */
  private proving = false;

  constructor(
    private readonly context: LeaderContext,
    private readonly progress: Progress,
    private readonly effects: FindingEffects,
    private readonly recovery: Recovery,
  ) {
    const { leaseMs, expiryMs } = context.settings.timing;
    this.fenceProgress = new FenceProgress(context.scope.log, leaseMs / 4, expiryMs);
  }

  /** Checks the machines and the fencing of all owned partitions, and requests a scheduling cycle. */
  check(): void {
    const { expiryMs } = this.context.settings.timing;
    const { now, provenAt } = this.context;
    let unproven = 0;
    for (const partition of this.context.partitions.values()) {
      for (const machine of partition.machines.values()) {
        if (!machine.lost && isLeaseExpired(machine, now, expiryMs)) {
          if (isLeaseExpired(machine, provenAt, expiryMs)) this.markLost(partition, machine);
          else unproven++;
        }
        if (partition.phase === "serving" && (machine.noticeAt !== null || machine.draining)) this.evacuate(partition, machine);
        if (!machine.fenced && !machine.lost && partition.phase === "fencing") this.context.dispatch$.next({ partition, machine });
      }
      if (partition.phase === "fencing") this.checkFence(partition);
      if (partition.phase === "fencing") this.fenceProgress.logIfDue(partition, now);
      this.recovery.checkCompletion(partition);
    }
    this.unprovenLeases = unproven;
    if (unproven > 0) void this.proveAndCheck();
    this.context.requestSchedulingCycle();
  }

  /**
   * Reads the state service and checks all partitions again. Called when leases have expired by the clock, but only
   * after the newest read began, so that a new owner may have renewed them. During an outage of the state service no
   * extra read is sent; the expiry stays unproven until a regular read succeeds.
   */
  private async proveAndCheck(): Promise<void> {
    const { now, provenAt, settings } = this.context;
    if (this.proving || now - provenAt > settings.timing.contactMs) return;
    this.proving = true;
    try {
      await this.context.proveOwnership();
    } catch (error) {
      if (!(error instanceof CallError)) throw error;
      return;
    } finally {
      this.proving = false;
    }
    if (!this.context.scope.closed) this.check();
  }

  /** Marks a machine as lost: no owner can have renewed its lease before it expired, so its tasks are gone. */
  private markLost(partition: Partition, machine: Machine): void {
    const { now, provenAt, scope, settings } = this.context;
    const { expiryMs } = settings.timing;
    const { host, session, answeredAt } = machine;
    machine.lost = true;
    machine.expiredSession = session;
    const findings = newFindings();
    fence(partition, machine, "lease", findings.fenced);
    dropAllAttempts({ partition, machine, now, findings }, { by: "lease over", answeredAt, expiryMs, provenAt });
    findings.changed = true;
    scope.log.info(
      {
        ...{ part: partition.id, term: partition.term, host, session, leaseMs: Math.round(expiryMs) },
        ...{ answeredAgoMs: Math.round(now - answeredAt), provenAgoMs: Math.round(now - provenAt) },
      },
      "machine lost: its lease ran out",
    );
    this.effects.apply(partition, findings);
  }

  /** Ends the `fencing` phase of the partition once all its machines are fenced. */
  checkFence(partition: Partition): void {
    // The machine that was unfenced at the last check usually still is; checking it first avoids a scan of all
    // machines per report.
    if (partition.machines.get(this.unfencedMachine.get(partition) ?? "")?.fenced === false) return;
    for (const machine of partition.machines.values()) {
      if (machine.fenced) continue;
      this.unfencedMachine.set(partition, machine.host);
      return;
    }
    partition.phase = "serving";
    this.recovery.recordFenced(partition, this.unfencedMachine.get(partition) ?? null);
    this.context.stats.fencedMs = Math.round(this.context.now - partition.takenOverAt);
    this.context.scope.log.info(
      {
        part: partition.id,
        term: partition.term,
        ms: Math.round(this.context.now - partition.takenOverAt),
        machines: partition.machines.size,
        fencedBy: partition.fencedBy,
      },
      "all machines accounted for; placing",
    );
    // An incomplete gang cannot be completed by new attempts of single members, so its remaining members are stopped.
    for (const taskSet of partition.taskSets.values()) {
      if (isBrokenGang(taskSet)) this.effects.stopGang(partition, taskSet);
      if (taskSet.done.count > 0) this.progress.record(partition, taskSet);
    }
    this.context.requestSchedulingCycle();
  }

  /**
   * Stops service replicas on a machine that is draining or has a preemption notice. Before a preemption, while there
   * is still time to save, also stops tasks that can save a checkpoint. Tasks that would finish before the machine
   * ends, or that cannot save, continue.
   */
  private evacuate(partition: Partition, machine: Machine): void {
    const { reportMs } = this.context.settings.timing;
    const leftMs = machine.noticeAt === null ? Infinity : machine.noticeAt - this.context.now;
    for (const placement of machine.placements.values()) {
      const { spec } = placement.taskSet;
      if (placement.stop !== null || placement.state !== "running") continue;
      const flushMs = spec.flushS * 1000;
      const isService = spec.kind === "service";
      if (!isService && (machine.noticeAt === null || spec.checkpointS <= 0)) continue;
      const ranS = (this.context.now - (placement.runningAt ?? this.context.now)) / 1000;
      const runLeftMs = this.context.history.remainingRunS(spec, ranS) * 1000;
      const stopNow = isService || (leftMs < flushMs + 2 * reportMs && leftMs > flushMs && runLeftMs > leftMs);
      if (!stopNow) continue;
      // All members of a gang must receive the stop within `gang_peer_s` of the first, or the checkpoint fails.
      const affected = spec.kind === "gang" ? [...placement.taskSet.placements.values()] : [placement];
      for (const member of affected) {
        const machineOfMember = partition.machines.get(member.host);
        if (member.stop !== null || machineOfMember === undefined) continue;
        member.stop = { graceS: spec.flushS };
        this.context.dispatch$.next({ partition, machine: machineOfMember });
      }
    }
  }
}
