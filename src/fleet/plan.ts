import type { MachineType, MachineOffering } from "@thorntrail/protocol/cloud";
import type { JobSpec } from "@thorntrail/protocol/jobs";
import { tasksThatFit, copyUsageByTeam, type Partition, type Usage } from "../partitions/partition.js";
import { isReady, usableCandidates, zonesInUse } from "../queue/scheduling-cycle.js";
import { UnschedulableShapes } from "../queue/unschedulable.js";
import { sortTaskSets, type QueueOrder } from "../queue/queue-order.js";
import { isAllowed, copiesThatFit, placeTasks, type CandidateMachine } from "../queue/placement.js";
import { addCapacity } from "../queue/capacity.js";
import { failsRepeatedly, type Placement, type TaskSet } from "../queue/task-set.js";
import { freeCapacity, newMachine } from "../workers/machine.js";

/** Plans which machines to rent for a partition's queue. */

/** Inputs of a rental plan. */
export interface PlanContext {
  now: number;
  silentMs: number;
  order: QueueOrder;
  types: MachineType[];
  /** False for an offering that the cloud refused recently. */
  isAvailable: (offer: MachineOffering) => boolean;
  quotaShare: (team: string) => Usage;
  /** For how long after a job's arrival no machine is rented for it, in ms, because it may still migrate to another partition. */
  migrationGraceMs: number;
  /** Capacity that becomes free within this time in ms counts as free: a machine rented now would not be up sooner. */
  freeSoonMs: number;
  /** Expected remaining run time of a task in ms. */
  remainingMs: (placement: Placement) => number;
}

/** Returns a machine offering as a string for use as a map key: type, zone, and spot or on-demand. */
export function offeringKey(offer: MachineOffering): string {
  return `${offer.type}/${offer.zone}/${offer.spot ? "spot" : "ordinary"}`;
}

/** Number of the task set's waiting tasks that fit on one empty machine of the type. */
function tasksPerMachine(type: MachineType, taskSet: TaskSet): number {
  const { spec } = taskSet;
  const quotient = (all: number, one: number): number => (one > 0 ? Math.floor((all + 1e-6) / one) : Infinity);
  return Math.min(quotient(type.cpus, spec.cpus), quotient(type.gpus, spec.gpus), quotient(type.ram, spec.ram), taskSet.waiting.length);
}

/** Machines to rent for a partition's queue, and machines that must be kept for it. */
export interface RentalPlan {
  toRent: Map<string, { offer: MachineOffering; count: number }>;
  /** Machines, idle or booting, on which waiting tasks will be placed. */
  needed: Set<string>;
}

/**
 * Plans rentals for a partition's queue. Waiting tasks are first placed on free and booting machines; the remaining
 * tasks are placed on hypothetical machines of the offering that is cheapest per task, and later tasks use the
 * capacity that is left on those.
 */
export function planRentals(partition: Partition, context: PlanContext): RentalPlan {
  const toRent = new Map<string, { offer: MachineOffering; count: number }>();
  const needed = new Set<string>();
  const { now } = context;
  const candidateMachines = usableCandidates(partition, now, context.silentMs);
  const usable = new Set(candidateMachines.map((candidate) => candidate.machine));
  for (const { machine, free } of candidateMachines) {
    for (const placement of machine.placements.values())
      if (context.remainingMs(placement) <= context.freeSoonMs) addCapacity(free, placement.taskSet.spec, 1);
  }
  for (const machine of partition.machines.values()) {
    const booting = !machine.deleting && !machine.draining && !machine.lost && machine.noticeAt === null && !usable.has(machine);
    if (booting) candidateMachines.push({ machine, free: freeCapacity(machine) });
  }
  const usage = copyUsageByTeam(partition);
  let hypothetical = 0;
  const unschedulable = new UnschedulableShapes();
  const queue = sortTaskSets(
    [...partition.taskSets.values()].filter((taskSet) => isReady(taskSet, now)),
    context.order,
  );
  for (const taskSet of queue) {
    const { spec } = taskSet;
    const used = usage.get(spec.team) ?? { cpus: 0, gpus: 0 };
    const quotaShare = context.quotaShare(spec.team);
    let left = Math.min(
      taskSet.waiting.length,
      context.order.maxStarts(taskSet),
      tasksThatFit(spec, { cpus: quotaShare.cpus - used.cpus, gpus: quotaShare.gpus - used.gpus }),
    );
    const isGang = spec.kind === "gang";
    if (left === 0 || (isGang && left < taskSet.waiting.length)) continue;
    // No machines are rented for a job that fails on every machine.
    if (failsRepeatedly(taskSet)) continue;
    // A machine rented while bids of other partitions for the job are still awaited might come up after the job has
    // migrated.
    if (!taskSet.migrationConsidered && !taskSet.migrated && taskSet.lo === 0 && now - taskSet.arrivedAt < context.migrationGraceMs)
      continue;
    usage.set(spec.team, { cpus: used.cpus + spec.cpus * left, gpus: used.gpus + spec.gpus * left });
    // An earlier task that needs no more than this one found neither free capacity nor an offering.
    if (unschedulable.has(spec)) continue;
    const placeOnCandidates = (task: JobSpec, count: number): number => {
      const candidates =
        taskSet.failedOn.size === 0
          ? candidateMachines
          : candidateMachines.filter(({ machine }) => !failsRepeatedlyOn(taskSet, machine.host));
      const chosen = placeTasks(task, count, candidates, zonesInUse(partition, taskSet), NO_EXCLUSIONS, false);
      for (const candidate of chosen) needed.add(candidate.machine.host);
      return chosen.length;
    };
    // A single-zone job goes to the zone that needs the fewest additional machines.
    const task =
      spec.oneZone && spec.zone === null ? { ...spec, zone: bestZone(partition, taskSet, left, candidateMachines, context) } : spec;
    for (let round = 0; left > 0 && round < MAX_ROUNDS; round++) {
      left -= placeOnCandidates(task, left);
      if (left <= 0) break;
      const best = cheapestOffering(
        taskSet,
        task,
        left,
        context,
        (offer) => (toRent.get(offeringKey(offer))?.count ?? 0) < MAX_RENTAL_COUNT,
      );
      if (best === null) {
        unschedulable.add(spec);
        break;
      }
      const { type, offer } = best;
      const name = offeringKey(offer);
      const entry = toRent.get(name) ?? { offer, count: 0 };
      toRent.set(name, entry);
      // Adds as many machines of the offering as the remaining tasks fill completely, but at least one.
      const n = spec.spread ? 1 : Math.max(1, Math.floor(left / best.tasksPerMachine));
      for (let k = 0; k < n && entry.count < MAX_RENTAL_COUNT; k++) {
        const capacity = { cpus: type.cpus, gpus: type.gpus, ram: type.ram };
        const machine = newMachine(`hypothetical-${hypothetical++}`, type.name, offer.zone, offer.spot, capacity, now);
        candidateMachines.push({ machine, free: { ...capacity } });
        entry.count++;
      }
    }
  }
  return { toRent, needed };
}

/** Number of a job's failures on one machine, per waiting task, above which the machine no longer counts as capacity for the job. */
const MAX_FAILURES_PER_TASK = 2;

/**
 * Whether the job has failed so often on the machine that another machine must be tried. With one job and one
 * machine, failures can be attributed to neither: no other job has failed on the machine, the job has failed on no
 * other machine, and the job would be restarted on this machine forever. Running the job on another machine shows
 * which of them is faulty.
 */
function failsRepeatedlyOn(taskSet: TaskSet, host: string): boolean {
  return (taskSet.failedOn.get(host) ?? 0) > MAX_FAILURES_PER_TASK * taskSet.waiting.length;
}

const NO_EXCLUSIONS: ReadonlyMap<string, number> = new Map();
/**
 * Maximum number of machines in one rental call, as stated in PROTOCOL, so a plan never contains more of one offering.
 */
export const MAX_RENTAL_COUNT = 50;
const MAX_ROUNDS = 64;

/**
 * Returns the zone that the job already uses, otherwise the allowed zone in which the fewest of its tasks lack
 * capacity; ties go to the lowest price per task of the machines that would have to be rented. Null if no zone is
 * possible.
 */
function bestZone(
  partition: Partition,
  taskSet: TaskSet,
  left: number,
  candidates: CandidateMachine[],
  context: PlanContext,
): string | null {
  const zonesUsed = [...zonesInUse(partition, taskSet).keys()];
  if (zonesUsed.length > 0) return zonesUsed[0]!;
  const capacity = new Map<string, number>();
  for (const { machine, free } of candidates) {
    if (!isAllowed(taskSet.spec, machine)) continue;
    capacity.set(machine.zone, (capacity.get(machine.zone) ?? 0) + copiesThatFit(taskSet.spec, free));
  }
  let best: { zone: string; missing: number; cost: number } | null = null;
  for (const zone of new Set([...context.types.flatMap((type) => type.zones), ...capacity.keys()])) {
    const missing = Math.max(0, left - (capacity.get(zone) ?? 0));
    const offer = missing === 0 ? null : cheapestOffering(taskSet, { ...taskSet.spec, zone }, missing, context);
    if (missing > 0 && offer === null) continue;
    const cost = offer?.cost ?? 0;
    if (best === null || missing < best.missing || (missing === best.missing && cost < best.cost)) best = { zone, missing, cost };
  }
  return best?.zone ?? null;
}

interface PricedOffering {
  type: MachineType;
  offer: MachineOffering;
  /** Number of the job's waiting tasks that one machine of the offering can hold. */
  tasksPerMachine: number;
  cost: number;
}

/** Returns the available offering with the lowest price per task; null if none is allowed for the job and holds one of its tasks. */
function cheapestOffering(
  taskSet: TaskSet,
  task: JobSpec,
  left: number,
  context: PlanContext,
  accepts: (offer: MachineOffering) => boolean = () => true,
): PricedOffering | null {
  let best: PricedOffering | null = null;
  for (const type of context.types) {
    const holds = Math.min(tasksPerMachine(type, taskSet), left);
    if (holds < 1) continue;
    for (const zone of type.zones) {
      for (const spot of taskSet.spec.spot ? [true, false] : [false]) {
        const offer = { type: type.name, zone, spot };
        if (!isAllowed(task, offer) || !context.isAvailable(offer) || !accepts(offer)) continue;
        const cost = (spot ? type.spotPrice : type.price) / holds;
        if (best === null || cost < best.cost) best = { type, offer, tasksPerMachine: holds, cost };
      }
    }
  }
  return best;
}
