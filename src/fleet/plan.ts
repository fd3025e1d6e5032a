import type { MachineType, MachineOffering } from "@thorntrail/protocol/cloud";
import type { JobSpec } from "@thorntrail/protocol/jobs";
import { tasksThatFit, copyUsageByTeam, type Partition, type Usage } from "../partitions/partition.js";
import { isReady, usableCandidates, zonesInUse } from "../queue/scheduling-cycle.js";
import { UnschedulableShapes } from "../queue/unschedulable.js";
import { sortTaskSets, type QueueOrder } from "../queue/queue-order.js";
import { isAllowed, copiesThatFit, occupy, placeTasks, type CandidateMachine } from "../queue/placement.js";
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
  /** Returns the test whether a gang has to give way to a gang of another partition in machines of an offering. */
  givesWayIn: (gang: TaskSet) => (offer: MachineOffering) => boolean;
  /** Expected remaining run time of a task in ms. */
  remainingMs: (placement: Placement) => number;
}

/** Returns a machine offering as a string for use as a map key: type, zone, and spot or on-demand. */
export function offeringKey(offer: MachineOffering): string {
  return `${offer.type}/${offer.zone}/${offer.spot ? "spot" : "ordinary"}`;
}

/** Number of the task set's waiting tasks that fit on one empty machine of the type. */
export function tasksPerMachine(type: MachineType, taskSet: TaskSet): number {
  const { spec } = taskSet;
  const quotient = (all: number, one: number): number => (one > 0 ? Math.floor((all + 1e-6) / one) : Infinity);
  return Math.min(quotient(type.cpus, spec.cpus), quotient(type.gpus, spec.gpus), quotient(type.ram, spec.ram), taskSet.waiting.length);
}

/** Machines to rent for a partition's queue, and machines that must be kept for it. */
export interface RentalPlan {
  toRent: Map<string, { offer: MachineOffering; count: number }>;
  /** Machines, idle or booting, on which waiting tasks will be placed. */
  needed: Set<string>;
  /** Machines, idle or booting, that a gang gives up to a gang of another partition. */
  givenUp: Set<string>;
  incompleteGangs: IncompleteGang[];
}

/** A gang that the partition's machines, idle or booting, can't hold completely. */
export interface IncompleteGang {
  taskSet: TaskSet;
  /** Zone in which the machines for the gang are collected; null if they may be in any. */
  zone: string | null;
  /** Number of the gang's tasks that the partition's machines can hold. */
  heldTasks: number;
}

/**
 * Plans rentals for a partition's queue. Waiting tasks are first placed on free and booting machines; the remaining
 * tasks are placed on hypothetical machines of the offering that is cheapest per task, and later tasks use the
 * capacity that is left on those.
 */
export function planRentals(partition: Partition, context: PlanContext): RentalPlan {
  return new RentalPlanner(partition, context).plan();
}

/** One calculation of a rental plan. */
class RentalPlanner {
  private readonly result: RentalPlan = { toRent: new Map(), needed: new Set(), givenUp: new Set(), incompleteGangs: [] };
  /** Free, booting and hypothetical machines with the capacity that no planned task uses. */
  private readonly candidates: CandidateMachine[];
  private readonly usage: Map<string, Usage>;
  private readonly unschedulable = new UnschedulableShapes();
  private hypotheticalCount = 0;

  constructor(
    private readonly partition: Partition,
    private readonly context: PlanContext,
  ) {
    this.candidates = presentCandidates(partition, context);
    this.usage = copyUsageByTeam(partition);
  }

  plan(): RentalPlan {
    const ready = [...this.partition.taskSets.values()].filter((taskSet) => isReady(taskSet, this.context.now));
    for (const taskSet of sortTaskSets(ready, this.context.order)) {
      const count = this.tasksToPlan(taskSet);
      if (count > 0) this.planTaskSet(taskSet, count);
    }
    return this.result;
  }

  /** Number of the task set's tasks for which machines may be kept and rented; counts them towards their team's usage. */
  private tasksToPlan(taskSet: TaskSet): number {
    const { spec } = taskSet;
    const used = this.usage.get(spec.team) ?? { cpus: 0, gpus: 0 };
    const quotaShare = this.context.quotaShare(spec.team);
    const count = Math.min(
      taskSet.waiting.length,
      this.context.order.maxStarts(taskSet),
      tasksThatFit(spec, { cpus: quotaShare.cpus - used.cpus, gpus: quotaShare.gpus - used.gpus }),
    );
    if (spec.kind === "gang" && count < taskSet.waiting.length) return 0;
    // No machines are rented for a job that fails on every machine.
    if (count === 0 || failsRepeatedly(taskSet) || this.mayMigrate(taskSet)) return 0;
    this.usage.set(spec.team, { cpus: used.cpus + spec.cpus * count, gpus: used.gpus + spec.gpus * count });
    // An earlier task that needs no more than this one found neither free capacity nor an offering.
    return this.unschedulable.has(spec) ? 0 : count;
  }

  /**
   * Whether bids of other partitions for the job may still be awaited: a machine rented now might come up after the job has
   * migrated.
   */
  private mayMigrate(taskSet: TaskSet): boolean {
    return (
      !taskSet.migrationConsidered &&
      !taskSet.migrated &&
      taskSet.lo === 0 &&
      this.context.now - taskSet.arrivedAt < this.context.migrationGraceMs
    );
  }

  private planTaskSet(taskSet: TaskSet, count: number): void {
    const { spec } = taskSet;
    const isGang = spec.kind === "gang";
    const givesWay = isGang ? this.context.givesWayIn(taskSet) : () => false;
    let gaveWay = false;
    // A gang that one machine can hold waits for no further machine while it keeps one, so it need not give way.
    const yields = (offer: MachineOffering): boolean => {
      const result = givesWay(offer) && !this.oneMachineHolds(taskSet, offer);
      gaveWay ||= result;
      return result;
    };
    const context = { ...this.context, isAvailable: (offer: MachineOffering) => this.context.isAvailable(offer) && !yields(offer) };
    // A single-zone job goes to the zone that needs the fewest additional machines.
    const task =
      spec.oneZone && spec.zone === null ? { ...spec, zone: bestZone(this.partition, taskSet, count, this.candidates, context) } : spec;
    let candidates =
      taskSet.failedOn.size === 0 ? this.candidates : this.candidates.filter(({ machine }) => !failsRepeatedlyOn(taskSet, machine.host));
    let left = count;
    for (let round = 0; left > 0 && round < MAX_ROUNDS; round++) {
      const chosen = placeTasks(task, left, candidates, zonesInUse(this.partition, taskSet), NO_EXCLUSIONS, false);
      let kept = chosen;
      if (isGang && round === 0 && !this.holdsWholeGang(chosen, count)) {
        const heldTasks = chosen.filter(({ machine }) => this.partition.machines.has(machine.host)).length;
        this.result.incompleteGangs.push({ taskSet, zone: task.zone, heldTasks });
        candidates = candidates.filter(({ machine }) => !yields(machine));
        kept = this.giveUp(chosen, task, yields);
      }
      for (const { machine } of kept) this.result.needed.add(machine.host);
      left -= kept.length;
      if (left <= 0) return;
      const best = cheapestOffering(taskSet, task, left, context, (offer) => this.plannedCount(offer) < MAX_RENTAL_COUNT);
      if (best === null) {
        // What an earlier gang elsewhere is to have is no proof that nothing is left for later tasks of this size.
        if (!gaveWay) this.unschedulable.add(spec);
        return;
      }
      // Adds as many machines of the offering as the remaining tasks fill completely, but at least one.
      const machines = spec.spread ? 1 : Math.max(1, Math.floor(left / best.tasksPerMachine));
      const rented = this.addRentals(best, machines);
      if (candidates !== this.candidates) candidates.push(...rented);
    }
  }

  /** Whether one empty machine of the offering holds all waiting tasks. */
  private oneMachineHolds(taskSet: TaskSet, offer: MachineOffering): boolean {
    const type = this.context.types.find(({ name }) => name === offer.type);
    return type !== undefined && tasksPerMachine(type, taskSet) >= taskSet.waiting.length;
  }

  /** Whether machines that the partition has, idle or booting, hold all `count` tasks of a gang. */
  private holdsWholeGang(chosen: readonly CandidateMachine[], count: number): boolean {
    return chosen.length === count && chosen.every(({ machine }) => this.partition.machines.has(machine.host));
  }

  /** Frees the chosen machines in which the gang gives way of one task each; returns the others. */
  private giveUp(chosen: CandidateMachine[], task: JobSpec, yields: (offer: MachineOffering) => boolean): CandidateMachine[] {
    return chosen.filter((candidate) => {
      if (!yields(candidate.machine)) return true;
      occupy(candidate, task, -1);
      this.result.givenUp.add(candidate.machine.host);
      return false;
    });
  }

  /** Number of machines of the offering that this plan rents. */
  private plannedCount(offer: MachineOffering): number {
    return this.result.toRent.get(offeringKey(offer))?.count ?? 0;
  }

  /** Adds up to `count` machines of the offering to the rentals; returns them as candidates, to which later tasks may be added too. */
  private addRentals({ type, offer }: PricedOffering, count: number): CandidateMachine[] {
    const entry = this.result.toRent.get(offeringKey(offer)) ?? { offer, count: 0 };
    this.result.toRent.set(offeringKey(offer), entry);
    const added: CandidateMachine[] = [];
    for (let k = 0; k < count && entry.count < MAX_RENTAL_COUNT; k++) {
      const capacity = { cpus: type.cpus, gpus: type.gpus, ram: type.ram };
      const name = `hypothetical-${this.hypotheticalCount++}`;
      const machine = newMachine(name, type.name, offer.zone, offer.spot, capacity, this.context.now);
      added.push({ machine, free: { ...capacity } });
      entry.count++;
    }
    this.candidates.push(...added);
    return added;
  }
}

/** The partition's usable and booting machines. What comes free soon on a usable one counts as free. */
function presentCandidates(partition: Partition, context: PlanContext): CandidateMachine[] {
  const candidates = usableCandidates(partition, context.now, context.silentMs);
  const usable = new Set(candidates.map((candidate) => candidate.machine));
  for (const { machine, free } of candidates) {
    for (const placement of machine.placements.values())
      if (context.remainingMs(placement) <= context.freeSoonMs) addCapacity(free, placement.taskSet.spec, 1);
  }
  for (const machine of partition.machines.values()) {
    const booting = !machine.deleting && !machine.draining && !machine.lost && machine.noticeAt === null && !usable.has(machine);
    if (booting) candidates.push({ machine, free: freeCapacity(machine) });
  }
  return candidates;
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
