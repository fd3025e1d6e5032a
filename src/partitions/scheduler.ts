/** Runs the scheduling cycles of the owned partitions: placement, then preemption. */
import type { OverloadMonitor } from "../overload/overload.js";
import { queueOrder, type QueueOrder } from "../queue/queue-order.js";
import { runSchedulingCycle } from "../queue/scheduling-cycle.js";
import { choosePreemptions, PREEMPT_AFTER_PHI } from "../queue/preempt.js";
import type { TaskSet } from "../queue/task-set.js";
import { objectiveS } from "../settings/derived.js";
import type { ClassShares } from "../job-classes/class-shares.js";
import type { Machine } from "../workers/machine.js";
import type { QuotaShares } from "../partitions/quota-shares.js";
import type { Guarantees, TeamUsage } from "../partitions/guarantees.js";
import type { LeaderContext } from "../partitions/leader-context.js";

/** Number of machines up to which the minimum gap between scheduling cycles applies; above it the gap grows in proportion. */
const MACHINES_PER_GAP = 20;

/** Maximum delay of a job in the queue order because of its size, as a multiple of the worker lease: half an hour at the usual lease. */
const MAX_YIELD_LEASES = 100;

/**
 * Wait after which a job array starts its first task whatever its size, as a multiple of the worker lease: two minutes
 * at the usual lease, half of the wait that users expect.
 */
const ARRAY_START_LEASES = 6;

/** Caches a function of the job class: objectives are the same for all jobs of a class, and a queue has hundreds of jobs. */
function memoize(read: (klass: string) => number): (klass: string) => number {
  const cache = new Map<string, number>();
  return (klass) => {
    const value = cache.get(klass) ?? read(klass);
    cache.set(klass, value);
    return value;
  };
}

/** Schedules the task sets of all owned partitions. */
export class Scheduler {
  private cycleDue = false;

  constructor(
    private readonly context: LeaderContext,
    private readonly quotaShares: QuotaShares,
    private readonly guarantees: Guarantees,
    private readonly overload: OverloadMonitor,
    private readonly classShares: ClassShares,
  ) {}

  /** Requests a scheduling cycle after the minimum gap between cycles; further requests made before it runs share it. */
  requestCycle(): void {
    if (this.cycleDue) return;
    this.cycleDue = true;
    this.context.scope.clock.after(this.cycleGapMs(), () => {
      this.cycleDue = false;
      if (!this.context.scope.closed) this.context.scope.costs.charge("pass", () => this.runCycle());
    });
  }

  /**
   * Returns the gap before the next scheduling cycle, in ms. The cost of a cycle is proportional to the number of
   * machines, so the gap grows with it.
   */
  private cycleGapMs(): number {
    let machines = 0;
    for (const partition of this.context.partitions.values()) machines += partition.machines.size;
    const gapMs = this.context.settings.timing.passGapMs * Math.max(1, machines / MACHINES_PER_GAP);
    return gapMs * this.overload.cycleGapFactor(gapMs);
  }

  /** Returns the order of the queues, which depends on the underserved job classes and on the teams' guarantees. */
  queueOrder(): QueueOrder {
    const { platform } = this.context.settings;
    const priority = this.guarantees.priorityTests(this.usageByTeam());
    const behind = this.classShares.underserved();
    return queueOrder({
      mode: this.context.settings.operators.queue.order,
      nowWall: this.context.scope.clock.wall(),
      finishObjectiveS: memoize((klass) => objectiveS(platform, "finished", klass)),
      startObjectiveS: memoize((klass) => objectiveS(platform, "wait", klass)),
      expectedRunS: (taskSet) => this.context.history.expectedRunS(taskSet.spec),
      maxSizeDelayS: (this.context.settings.timing.leaseMs / 1000) * MAX_YIELD_LEASES,
      firstTaskAfterS: (this.context.settings.timing.leaseMs / 1000) * ARRAY_START_LEASES,
      withinGuarantee: (taskSet) => priority.job(taskSet.spec),
      underserved: ({ spec }) => behind.has(spec.klass) || priority.team(spec),
    });
  }

  /** Returns the boot time of the machine's type in ms; 0 if the type is unknown. */
  bootMs(machine: Machine): number {
    return (this.context.typeOf(machine.type)?.bootS ?? 0) * 1000;
  }

  /**
   * Returns the wait after which capacity is reserved for a gang, in ms: the class's start objective, or two leases
   * if it has none.
   */
  private reserveAfterMs(klass: string): number {
    const aim = objectiveS(this.context.settings.platform, "wait", klass);
    return Number.isFinite(aim) ? aim * 1000 : this.context.settings.timing.leaseMs * 2;
  }

  /**
   * Returns the wait after which work within a team's guarantee preempts other work, in ms: half of its start
   * objective, or half a lease if there is none.
   */
  private claimAfterMs(): number {
    const aim = objectiveS(this.context.settings.platform, "guarantee", undefined);
    return (Number.isFinite(aim) ? aim * 1000 : this.context.settings.timing.leaseMs) / 2;
  }

  /** Returns the resource usage by team over all owned partitions. */
  usageByTeam(): TeamUsage[] {
    const sum = new Map<string, TeamUsage>();
    for (const partition of this.context.partitions.values()) {
      for (const [team, { cpus, gpus }] of partition.usage) {
        const entry = sum.get(team) ?? { team, cpus: 0, gpus: 0 };
        sum.set(team, { team, cpus: entry.cpus + cpus, gpus: entry.gpus + gpus });
      }
    }
    return [...sum.values()];
  }

  /**
   * Places tasks in each owned partition, chooses tasks to preempt, and emits the machines that have new orders and
   * the teams that lack quota.
   */
  private runCycle(): void {
    if (this.context.isSilent() || this.context.types.length === 0) return;
    const { backfill } = this.context.settings.operators.queue;
    const order = this.queueOrder();
    const preemption = {
      guaranteed: (taskSet: TaskSet) => this.guarantees.isGuaranteed(taskSet.spec.ref),
      excess: this.guarantees.excessUsage(this.usageByTeam()),
      claimAfterMs: this.claimAfterMs(),
    };
    for (const partition of this.context.partitions.values()) {
      const context = {
        now: this.context.now,
        silentMs: this.context.settings.timing.silentMs,
        order,
        backfill,
        quotaShare: (team: string) => this.quotaShares.grantedShare(partition.id, team),
        expectS: (taskSet: TaskSet) => this.context.history.expectedRunS(taskSet.spec),
        leftS: (taskSet: TaskSet, ranS: number) => this.context.history.remainingRunS(taskSet.spec, ranS),
        bootMs: (machine: Machine) => this.bootMs(machine),
        reserveAfterMs: (klass: string) => this.reserveAfterMs(klass),
      };
      const { costs } = this.context.scope;
      const result = costs.charge("pass", () => runSchedulingCycle(partition, context));
      for (const placement of result.placements) this.context.audit.logOrdered(partition, placement);
      const patienceMs = this.context.settings.operators.exchange.phi * PREEMPT_AFTER_PHI * 1000;
      const chosen = costs.charge("preemption", () => choosePreemptions(partition, { ...context, ...preemption, patienceMs }));
      for (const placement of chosen) {
        const { spec } = placement.taskSet;
        placement.stop = { graceS: spec.checkpointS > 0 ? spec.flushS : 0 };
        this.context.stats.preemptions++;
        this.context.scope.log.debug(
          { part: partition.id, job: spec.ref, task: placement.task, host: placement.host },
          "stopped for work of higher priority",
        );
        result.changedMachines.add(partition.machines.get(placement.host)!);
      }
      for (const machine of result.changedMachines) this.context.dispatch$.next({ partition, machine });
      for (const [team, want] of result.shortages) this.context.quotaShortage$.next({ partition, team, want });
    }
  }
}
