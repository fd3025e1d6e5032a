import { nextAttemptNumber, tasksThatFit, copyUsageByTeam, type Partition, type Usage } from "../partitions/partition.js";
import { attemptKey, freeCapacity, addAttempt, isUsable, type Capacity, type Machine } from "../workers/machine.js";
import { UnschedulableShapes } from "./unschedulable.js";
import { sortTaskSets, type QueueOrder } from "./queue-order.js";
import { occupy, placeTasks, type CandidateMachine } from "./placement.js";
import { unreservedCandidates, reserve, type Reservation, type ReservationContext } from "./reserve.js";
import { addCapacity, stoppingCapacity } from "./capacity.js";
import { startableTasks, taskId, addPlacement, failsRepeatedly, type Placement, type TaskSet } from "./task-set.js";

/** The scheduling cycle: assigns free capacity to a partition's queue. */

/** Inputs of a scheduling cycle. */
export interface SchedulingContext extends ReservationContext {
  order: QueueOrder;
  backfill: boolean;
  /** The quota share of a team that this partition holds at present. */
  quotaShare: (team: string) => Usage;
}

/** Outcome of a scheduling cycle. */
export interface SchedulingResult {
  /** Machines that have new orders. */
  changedMachines: Set<Machine>;
  /** Attempts that were placed. */
  placements: Placement[];
  /** The quota that a team's waiting tasks lack, for each team whose quota share in this partition is exhausted. */
  shortages: Map<string, QuotaShortage>;
}

/** Quota that a team lacks in this partition; `fitsNow` is the amount for which there is free capacity at present. */
export interface QuotaShortage extends Usage {
  fitsNow: Usage;
}

/** Maximum number of waiting tasks of a team that lacks quota for which a scheduling cycle checks whether there is free capacity. */
const MAX_PROBED_TASKS = 16;

/**
 * Returns for each zone how many attempts at tasks of the job are, or may be, on machines, over all slices of the
 * job. Empty for a job without zone constraints.
 */
export function zonesInUse(partition: Partition, taskSet: TaskSet): Map<string, number> {
  const zones = new Map<string, number>();
  if (!taskSet.spec.oneZone && !taskSet.spec.spread) return zones;
  for (const machine of partition.machines.values()) {
    for (const placement of machine.placements.values()) {
      if (placement.taskSet.spec.ref === taskSet.spec.ref) zones.set(machine.zone, (zones.get(machine.zone) ?? 0) + 1);
    }
  }
  return zones;
}

/** The usable machines of the partition with their free capacity, as placement candidates. */
export function usableCandidates(partition: Partition, now: number, silentMs: number): CandidateMachine[] {
  const candidates: CandidateMachine[] = [];
  for (const machine of partition.machines.values()) {
    if (isUsable(machine, now, silentMs)) candidates.push({ machine, free: freeCapacity(machine) });
  }
  return candidates;
}

/**
 * True if some task of the task set may start now: tasks wait; the task set has not ended and is neither migrating nor
 * backing off after a failure; if it fails repeatedly, the one task that it may run at a time is not placed yet; and,
 * if it is a gang, no former attempt may still be on a machine.
 */
export function isReady(taskSet: TaskSet, now: number): boolean {
  if (taskSet.ended || taskSet.migrating || taskSet.waiting.length === 0 || taskSet.notBefore > now || startableTasks(taskSet) === 0)
    return false;
  // A gang restarts only when all of its former attempts are gone, including superseded ones.
  return taskSet.spec.kind !== "gang" || !taskSet.attempts.hasJob(taskSet.spec.ref);
}

/** Returns, for each machine with tasks that were ordered to stop, the capacity that these tasks will release. */
function stoppingCapacityByMachine(candidates: CandidateMachine[]): Map<Machine, Capacity> {
  const capacities = new Map<Machine, Capacity>();
  for (const { machine } of candidates) {
    const capacity = stoppingCapacity(machine);
    if (capacity.cpus > 0 || capacity.gpus > 0 || capacity.ram > 0) capacities.set(machine, capacity);
  }
  return capacities;
}

/**
 * Reserves the capacity of stopping tasks for the job that they were stopped for. Tasks stopped for a job on several
 * machines exit one by one. If later jobs of the queue took what the first ones release, tasks would be stopped for
 * the same job again and again, and it would wait even longer. So everything that fits once all of them have exited
 * is deducted from the free capacity. Returns the number of tasks that fit.
 */
function reserveStoppingCapacity(
  taskSet: TaskSet,
  count: number,
  candidates: CandidateMachine[],
  stopping: ReadonlyMap<Machine, Capacity>,
  zones: ReadonlyMap<string, number>,
): number {
  if (stopping.size === 0) return 0;
  const originals = new Map<CandidateMachine, CandidateMachine>();
  for (const candidate of candidates) {
    const afterStopping: CandidateMachine = { machine: candidate.machine, free: { ...candidate.free } };
    const capacity = stopping.get(candidate.machine);
    if (capacity !== undefined) addCapacity(afterStopping.free, capacity, 1);
    originals.set(afterStopping, candidate);
  }
  const chosen = placeTasks(taskSet.spec, count, [...originals.keys()], zones, taskSet.failedOn, taskSet.spec.kind === "gang");
  for (const afterStopping of chosen) occupy(originals.get(afterStopping)!, taskSet.spec);
  return chosen.length;
}

/**
 * Runs one scheduling cycle: goes over the queue once in order and assigns free capacity to waiting tasks. Does
 * nothing unless the partition is serving.
 */
export function runSchedulingCycle(partition: Partition, context: SchedulingContext): SchedulingResult {
  const result: SchedulingResult = { changedMachines: new Set(), placements: [], shortages: new Map() };
  if (partition.phase !== "serving") return result;
  const waiting = [...partition.taskSets.values()].filter((taskSet) => isReady(taskSet, context.now));
  if (waiting.length === 0) return result;
  const candidates = usableCandidates(partition, context.now, context.silentMs);
  const usage = copyUsageByTeam(partition);
  const unschedulable = new Set<string>();
  const unschedulableSizes = new UnschedulableShapes();
  const reservations: Reservation[] = [];
  const classesWithReservation = new Set<string>();
  let stopping: Map<Machine, Capacity> | null = null;
  const firstShort = new Map<string, { taskSet: TaskSet; missing: number }>();
  for (const taskSet of sortTaskSets(waiting, context.order)) {
    const { spec } = taskSet;
    const shape = `${spec.kind === "gang" ? taskSet.waiting.length : 1}|${taskSet.shape}`;
    const used = usage.get(spec.team) ?? { cpus: 0, gpus: 0 };
    const quotaShare = context.quotaShare(spec.team);
    const quotaTasks = tasksThatFit(spec, { cpus: quotaShare.cpus - used.cpus, gpus: quotaShare.gpus - used.gpus });
    const wanted = Math.min(startableTasks(taskSet), context.order.maxStarts(taskSet));
    const withinQuota = Math.min(wanted, quotaTasks);
    if (withinQuota < wanted) {
      const entry = result.shortages.get(spec.team) ?? { cpus: 0, gpus: 0, fitsNow: { cpus: 0, gpus: 0 } };
      if (!firstShort.has(spec.team)) firstShort.set(spec.team, { taskSet, missing: wanted - withinQuota });
      entry.cpus += spec.cpus * (wanted - withinQuota);
      entry.gpus += spec.gpus * (wanted - withinQuota);
      result.shortages.set(spec.team, entry);
    }
    const isGang = spec.kind === "gang";
    // The quota shortage is recorded above even for work that fits on no machine now: without a larger quota share,
    // no machines would be rented for that work.
    if (taskSet.failedOn.size === 0 && (unschedulable.has(shape) || (!isGang && unschedulableSizes.has(spec)))) continue;
    if (withinQuota === 0 || (isGang && withinQuota < wanted)) continue;
    const open = unreservedCandidates(taskSet, candidates, reservations, context);
    const chosen = placeTasks(spec, withinQuota, open, zonesInUse(partition, taskSet), taskSet.failedOn, isGang);
    let reservedCount = 0;
    if (chosen.length < withinQuota) {
      stopping ??= stoppingCapacityByMachine(candidates);
      reservedCount = reserveStoppingCapacity(taskSet, withinQuota - chosen.length, open, stopping, zonesInUse(partition, taskSet));
      // A task shape (requirements and constraints) counts as unschedulable only if no reservation excluded machines:
      // a shorter job of the same shape may end early enough to use the reserved machines.
      if (reservedCount === 0 && open.length === candidates.length && taskSet.failedOn.size === 0) {
        unschedulable.add(shape);
        if (!isGang) unschedulableSizes.add(spec);
      }
      const reservation =
        reservedCount === 0 && isGang && !classesWithReservation.has(spec.klass) && !failsRepeatedly(taskSet)
          ? reserve(partition, taskSet, open, context)
          : null;
      if (reservation !== null) {
        classesWithReservation.add(spec.klass);
        reservations.push(reservation);
      }
      if (chosen.length === 0 && reservedCount === 0) {
        if (!context.backfill) break;
        continue;
      }
    }
    const gangAttempt = isGang && chosen.length > 0 ? nextAttemptNumber(partition) : null;
    const tasks = taskSet.waiting.slice(0, chosen.length);
    chosen.forEach((candidate, i) => {
      const placement: Placement = {
        taskSet,
        task: tasks[i]!,
        attempt: gangAttempt ?? nextAttemptNumber(partition),
        host: candidate.machine.host,
        orderedAt: context.now,
        state: null,
        runningAt: null,
        timesReliable: true,
        directStart: "none",
        stop: null,
        startSentSeq: -1,
      };
      addPlacement(taskSet, placement);
      addAttempt(candidate.machine, attemptKey(taskId(taskSet, placement.task), placement.attempt), placement);
      result.changedMachines.add(candidate.machine);
      result.placements.push(placement);
    });
    const taken = chosen.length + reservedCount;
    usage.set(spec.team, { cpus: used.cpus + spec.cpus * taken, gpus: used.gpus + spec.gpus * taken });
  }
  for (const [team, { taskSet, missing }] of firstShort) {
    const count = taskSet.spec.kind === "gang" ? taskSet.waiting.length : Math.min(MAX_PROBED_TASKS, missing);
    const open = unreservedCandidates(taskSet, candidates, reservations, context);
    const fit = placeTasks(
      taskSet.spec,
      count,
      open,
      zonesInUse(partition, taskSet),
      taskSet.failedOn,
      taskSet.spec.kind === "gang",
    ).length;
    result.shortages.get(team)!.fitsNow = { cpus: fit * taskSet.spec.cpus, gpus: fit * taskSet.spec.gpus };
  }
  return result;
}
