import { tasksThatFit, copyUsageByTeam, type Partition, type Usage } from "../partitions/partition.js";
import type { Machine } from "../workers/machine.js";
import { sortTaskSets, rank, type QueueOrder } from "./queue-order.js";
import { addCapacity, stoppingCapacity } from "./capacity.js";
import { isReady, usableCandidates, zonesInUse, type SchedulingContext } from "./scheduling-cycle.js";
import { isAllowed, fits, occupy, placeTasks, type CandidateMachine } from "./placement.js";
import { failsRepeatedly, type Placement, type TaskSet } from "./task-set.js";

/** Chooses the tasks to stop for waiting work of higher priority or within its team's guaranteed resources. */

/** Inputs for the choice of tasks to preempt. */
export interface PreemptionContext extends SchedulingContext {
  guaranteed: (taskSet: TaskSet) => boolean;
  /**
   * How long work within its team's guarantee waits for capacity to become free by itself before it preempts, in ms.
   */
  claimAfterMs: number;
  /** Resources that each team uses beyond its guarantee, over all partitions. */
  excess: Map<string, Usage>;
  /**
   * How long a job waits before tasks are stopped for it, in ms; in this time the exchange may find capacity for the
   * job in another partition.
   */
  patienceMs: number;
}

/** Work that is lost when a task is stopped, in seconds. */
function lostWorkS(placement: Placement, now: number): number {
  if (placement.runningAt === null) return 0;
  const ran = (now - placement.runningAt) / 1000;
  const { checkpointS, flushS } = placement.taskSet.spec;
  return checkpointS > 0 ? Math.min(ran, flushS) : ran;
}

/**
 * Time in seconds by which stopping this task delays the completion of its job, which is of no use until all its
 * tasks are done: a whole run if no other task of the job waits, almost none if most of them still wait.
 */
function delayS({ taskSet }: Placement, expectS: (taskSet: TaskSet) => number): number {
  return expectS(taskSet) / (1 + taskSet.waiting.length);
}

/**
 * A task that is stopped within this time after its start, in seconds, has done no useful work, as stated in PROTOCOL.
 */
const MIN_USEFUL_RUN_S = 30;

/** Returns 1 for a task that can save its progress and has just started, so that it is stopped last among its priority; otherwise 0. */
function recentlyStarted(placement: Placement, now: number): number {
  const { runningAt, taskSet } = placement;
  return taskSet.spec.checkpointS > 0 && (runningAt === null || now - runningAt < MIN_USEFUL_RUN_S * 1000) ? 1 : 0;
}

/**
 * The tasks that may be stopped on each machine, sorted once per cycle: every waiting job looks at every machine, and
 * sorting anew each time does not scale.
 */
class StopOrder {
  private readonly sorted = new Map<Machine, Placement[]>();

  private readonly arrivals = new Map<TaskSet, number>();

  constructor(
    private readonly now: number,
    private readonly order: QueueOrder,
  ) {}

  /**
   * Returns a job's effective arrival time in the queue order, cached. Tasks of the job with the latest arrival are
   * stopped first, so that nearly finished work continues.
   */
  private arrival(taskSet: TaskSet): number {
    const known = this.arrivals.get(taskSet);
    if (known !== undefined) return known;
    const at = this.order.effectiveArrival(taskSet);
    this.arrivals.set(taskSet, at);
    return at;
  }

  victimsOn(machine: Machine): Placement[] {
    let list = this.sorted.get(machine);
    if (list === undefined) {
      list = [...machine.placements.values()]
        .filter((p) => p.stop === null && p.taskSet.spec.kind !== "gang")
        .sort(
          (a, b) =>
            rank(b.taskSet.urgency) - rank(a.taskSet.urgency) ||
            recentlyStarted(a, this.now) - recentlyStarted(b, this.now) ||
            this.arrival(b.taskSet) - this.arrival(a.taskSet) ||
            lostWorkS(a, this.now) - lostWorkS(b, this.now),
        );
      this.sorted.set(machine, list);
    }
    return list;
  }
}

/**
 * Returns whether a running task has strictly lower priority than `taskSet` and belongs to no gang; stopping one task
 * of a gang would stop all of it.
 */
function isPreemptible(placement: Placement, taskSet: TaskSet): boolean {
  return placement.taskSet.spec.kind !== "gang" && rank(placement.taskSet.urgency) > rank(taskSet.urgency);
}

/**
 * True if another team runs the task beyond that team's guarantee, so that it may be stopped to give the team of
 * `taskSet` its guarantee. Excludes work of higher priority: it comes first in the queue, so it would take back the
 * capacity that it was stopped for, over and over.
 */
export function isBeyondGuarantee(placement: Placement, taskSet: TaskSet, excess: ReadonlyMap<string, Usage>): boolean {
  const { spec, urgency } = placement.taskSet;
  if (spec.kind === "gang" || spec.team === taskSet.spec.team || rank(urgency) < rank(taskSet.urgency)) return false;
  const over = excess.get(spec.team);
  const slack = 1e-6;
  return over !== undefined && (spec.gpus > 0 ? over.gpus + slack >= spec.gpus : over.cpus + slack >= spec.cpus);
}

/**
 * Time that the exchange (the search for other partitions) has to find capacity for a waiting job before tasks are
 * stopped for it, as a fraction of `phi`, the expected wait from which the exchange searches.
 */
export const PREEMPT_AFTER_PHI = 0.2;

/**
 * Chooses tasks on one machine to stop for a job, or returns null if that does not free enough capacity. Only tasks
 * that `mayStop` allows are chosen; never tasks of a gang, since stopping one stops all of it. The order is lowest
 * priority first, then the latest effective arrival, since the tasks that arrived last are the likeliest to be beyond
 * their team's guarantee and the farthest from completion, then the least work lost. Tasks that can save their progress
 * and have just started come after others of their priority.
 */
function victimsOn(
  candidate: CandidateMachine,
  taskSet: TaskSet,
  taken: ReadonlySet<Placement>,
  stopOrder: StopOrder,
  mayStop: (placement: Placement) => boolean,
): Placement[] | null {
  const afterStopping: CandidateMachine = { machine: candidate.machine, free: { ...candidate.free } };
  const victims: Placement[] = [];
  for (const placement of stopOrder.victimsOn(candidate.machine)) {
    if (fits(taskSet.spec, afterStopping.free)) break;
    if (taken.has(placement) || !mayStop(placement)) continue;
    victims.push(placement);
    occupy(afterStopping, placement.taskSet.spec, -1);
  }
  return fits(taskSet.spec, afterStopping.free) ? victims : null;
}

/** Machines for a job's tasks: those with free capacity, and those on which other tasks would be stopped. */
interface PreemptionPlan {
  placed: CandidateMachine[];
  preempted: { candidate: CandidateMachine; victims: Placement[]; cost: number }[];
}

/**
 * Chooses the zone, and the tasks to stop in it, for a job that must stay in one zone: the zone that its attempts are
 * in already, otherwise the zone where most of its tasks find capacity, and among equal ones the one where stopping
 * other tasks costs the least. If no tasks were stopped for jobs that need a single zone, a team's long low-priority
 * work would keep urgent jobs from the only machines that can hold them.
 */
function preemptInBestZone(
  bound: ReadonlyMap<string, number>,
  candidateMachines: CandidateMachine[],
  attempt: (zone: string) => PreemptionPlan,
  undo: (clearing: PreemptionPlan) => void,
): PreemptionPlan {
  const zones =
    bound.size > 0 ? [...bound.keys()].slice(0, 1) : [...new Set(candidateMachines.map((candidate) => candidate.machine.zone))].sort();
  let best: { zone: string; taskCount: number; cost: number } | null = null;
  for (const zone of bound.size > 1 ? [] : zones) {
    const clearing = attempt(zone);
    undo(clearing);
    const taskCount = clearing.placed.length + clearing.preempted.length;
    const cost = clearing.preempted.reduce((sum, one) => sum + one.cost, 0);
    if (best === null || taskCount > best.taskCount || (taskCount === best.taskCount && cost < best.cost)) best = { zone, taskCount, cost };
  }
  return best === null ? { placed: [], preempted: [] } : attempt(best.zone);
}

/**
 * Chooses the tasks to stop so that waiting work of higher priority, or within its team's guarantee, can start. Does
 * nothing unless the partition is serving.
 */
export function choosePreemptions(partition: Partition, context: PreemptionContext): Placement[] {
  if (partition.phase !== "serving") return [];
  const { now } = context;
  const waiting = [...partition.taskSets.values()].filter(
    (taskSet) => isReady(taskSet, now) && !failsRepeatedly(taskSet) && now - taskSet.arrivedAt >= context.patienceMs,
  );
  if (waiting.length === 0) return [];
  const chosen: Placement[] = [];
  const taken = new Set<Placement>();
  const candidateMachines = usableCandidates(partition, now, context.silentMs);
  // Tasks that are already stopping make capacity for the jobs that they were stopped for.
  for (const candidate of candidateMachines) addCapacity(candidate.free, stoppingCapacity(candidate.machine), 1);
  const usage = copyUsageByTeam(partition);
  const excess = new Map([...context.excess].map(([team, { cpus, gpus }]) => [team, { cpus, gpus }]));
  const deductExcess = ({ taskSet: { spec } }: Placement, sign: 1 | -1): void => {
    const over = excess.get(spec.team);
    if (over === undefined) return;
    over.cpus -= sign * spec.cpus;
    over.gpus -= sign * spec.gpus;
  };
  const stopOrder = new StopOrder(now, context.order);
  const unschedulable = new Map<string, number>();
  for (const taskSet of sortTaskSets(waiting, context.order)) {
    const { spec } = taskSet;
    const used = usage.get(spec.team) ?? { cpus: 0, gpus: 0 };
    const quotaShare = context.quotaShare(spec.team);
    const quotaTasks = tasksThatFit(spec, { cpus: quotaShare.cpus - used.cpus, gpus: quotaShare.gpus - used.gpus });
    const isGang = spec.kind === "gang";
    const wanted = Math.min(taskSet.waiting.length, quotaTasks, context.order.maxStarts(taskSet));
    // Free capacity only shrinks while preemptions are chosen: if no capacity was found for tasks with certain
    // requirements and rights to preempt, none is found for another job's equal tasks.
    const usesGuarantee = context.guaranteed(taskSet) && now - taskSet.arrivedAt >= context.claimAfterMs;
    const shape = `${taskSet.urgency}|${usesGuarantee ? spec.team : ""}|${taskSet.shape}`;
    const mayStop = (p: Placement): boolean => isPreemptible(p, taskSet) || (usesGuarantee && isBeyondGuarantee(p, taskSet, excess));
    const least = isGang ? wanted : 1;
    if (least >= (unschedulable.get(shape) ?? Infinity)) continue;
    if (wanted === 0 || (isGang && wanted < taskSet.waiting.length)) continue;
    const zones = zonesInUse(partition, taskSet);
    /** Finds capacity for the tasks, free or made by stopping others; in one zone if `zone` is given. */
    const attempt = (zone: string | null): PreemptionPlan => {
      const task = zone === null ? spec : { ...spec, zone, oneZone: false };
      const placed = placeTasks(task, wanted, candidateMachines, zones, taskSet.failedOn, false);
      const preempted: PreemptionPlan["preempted"] = [];
      // No tasks are stopped for a job that spreads over zones, as its tasks would have to stay balanced between the
      // zones; it waits until capacity becomes free.
      for (let missing = wanted - placed.length; missing > 0 && !spec.spread; missing--) {
        let best: { candidate: CandidateMachine; victims: Placement[]; cost: number } | null = null;
        for (const candidate of candidateMachines) {
          if (!isAllowed(task, candidate.machine) || taskSet.failedOn.has(candidate.machine.host)) continue;
          const victims = victimsOn(candidate, taskSet, taken, stopOrder, mayStop);
          if (victims === null || victims.length === 0) continue;
          const cost =
            victims.reduce((sum, p) => sum + 1 + lostWorkS(p, now) + delayS(p, context.expectS), 0) +
            (candidate.machine.images.has(spec.image) ? 0 : spec.guessS);
          if (best === null || cost < best.cost) best = { candidate, victims, cost };
        }
        if (best === null) break;
        for (const victim of best.victims) {
          taken.add(victim);
          deductExcess(victim, 1);
          occupy(best.candidate, victim.taskSet.spec, -1);
        }
        occupy(best.candidate, spec);
        preempted.push(best);
      }
      return { placed, preempted };
    };
    const undo = ({ placed, preempted }: PreemptionPlan): void => {
      for (const { candidate, victims } of preempted) {
        occupy(candidate, spec, -1);
        for (const victim of victims) {
          taken.delete(victim);
          deductExcess(victim, -1);
          occupy(candidate, victim.taskSet.spec);
        }
      }
      for (const candidate of placed) occupy(candidate, spec, -1);
    };
    const found = spec.oneZone ? preemptInBestZone(zones, candidateMachines, attempt, undo) : attempt(null);
    const missing = wanted - found.placed.length - found.preempted.length;
    if (missing > 0) unschedulable.set(shape, Math.min(unschedulable.get(shape) ?? Infinity, isGang ? wanted : 1));
    if (isGang && missing > 0) {
      undo(found);
      continue;
    }
    const { preempted } = found;
    for (const { victims } of preempted) chosen.push(...victims);
    usage.set(spec.team, { cpus: used.cpus + spec.cpus * wanted, gpus: used.gpus + spec.gpus * wanted });
  }
  return chosen;
}
