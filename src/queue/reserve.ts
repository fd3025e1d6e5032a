import type { Partition } from "../partitions/partition.js";
import { isUsable, type Capacity, type Machine } from "../workers/machine.js";
import { isAllowed, copiesThatFit, type CandidateMachine } from "./placement.js";
import type { TaskSet } from "./task-set.js";

/** Reservations of machines for gangs, so that backfilling does not starve them. */

/** Inputs for reservations. */
export interface ReservationContext {
  now: number;
  silentMs: number;
  /** Expected run time of a job's tasks, in seconds. */
  expectS: (taskSet: TaskSet) => number;
  /** Expected remaining run time in seconds of a task that has run for `ranS` seconds. */
  leftS: (taskSet: TaskSet, ranS: number) => number;
  /** Expected time in ms between renting a machine and its being up. */
  bootMs: (machine: Machine) => number;
  /** Longest time in ms that a gang of the class waits before capacity is reserved for it; a gang with few tasks waits less. */
  reserveAfterMs: (klass: string) => number;
}

/** Machines reserved for a gang until it should fit, at time `until`. Jobs that are expected to end before then may still use them. */
export interface Reservation {
  candidates: ReadonlySet<CandidateMachine>;
  until: number;
}

interface CapacityGain {
  at: number;
  tasks: number;
}

/**
 * Times at which running tasks of the machine are expected to end, each with the number of further tasks of the gang
 * that then fit.
 */
function capacityGains(machine: Machine, taskSet: TaskSet, free: Capacity, context: ReservationContext): CapacityGain[] {
  const list: CapacityGain[] = [];
  const capacity = { ...free };
  let held = copiesThatFit(taskSet.spec, capacity);
  const ends = [...machine.placements.values()]
    .map(({ taskSet: other, runningAt }) => ({
      spec: other.spec,
      at: context.now + context.leftS(other, runningAt === null ? 0 : (context.now - runningAt) / 1000) * 1000,
    }))
    .sort((a, b) => a.at - b.at);
  for (const { spec, at } of ends) {
    capacity.cpus += spec.cpus;
    capacity.gpus += spec.gpus;
    capacity.ram += spec.ram;
    const then = copiesThatFit(taskSet.spec, capacity);
    if (then > held) list.push({ at, tasks: then - held });
    held = then;
  }
  return list;
}

/**
 * Returns the factor, at most 1, on the time that a gang waits before capacity is reserved for it. A wide gang (one
 * with many tasks) blocks capacity that several narrow ones could use, so it has to wait longer: a gang of the
 * average width of the waiting gangs of its class waits half of the full time.
 */
function widthFactor(partition: Partition, taskSet: TaskSet): number {
  let tasks = 0;
  let gangs = 0;
  for (const { spec, waiting } of partition.taskSets.values()) {
    if (spec.kind !== "gang" || spec.klass !== taskSet.spec.klass || waiting.length === 0) continue;
    tasks += spec.tasks;
    gangs++;
  }
  return gangs === 0 ? 1 : Math.min(1, taskSet.spec.tasks / (2 * (tasks / gangs)));
}

/**
 * Reserves machines for a gang, so that backfilling does not starve it. Small jobs take any capacity that becomes
 * free, so a gang that needs much at once would lose machine after machine to them and never start. Free capacity is
 * reserved for the first gang of a class that has waited long enough; for a gang that needs a single zone, in the
 * zone where all its tasks should fit the soonest. A job that is expected to end before the gang fits may still use
 * the reserved capacity. Returns null if the gang has not waited long enough or cannot be completed.
 */
export function reserve(
  partition: Partition,
  taskSet: TaskSet,
  candidates: CandidateMachine[],
  context: ReservationContext,
): Reservation | null {
  const { spec } = taskSet;
  const { now } = context;
  if (spec.spread || now - taskSet.arrivedAt < context.reserveAfterMs(spec.klass) * widthFactor(partition, taskSet)) return null;
  const free = new Map(candidates.map((candidate) => [candidate.machine, candidate]));
  const byZone = new Map<string, { have: number; freeMachines: CandidateMachine[]; gains: CapacityGain[] }>();
  for (const machine of partition.machines.values()) {
    if (!isAllowed(spec, machine) || machine.deleting || machine.draining || machine.lost || machine.noticeAt !== null) continue;
    const zone = spec.oneZone ? machine.zone : "";
    let entry = byZone.get(zone);
    if (entry === undefined) byZone.set(zone, (entry = { have: 0, freeMachines: [], gains: [] }));
    const candidate = free.get(machine);
    if (candidate !== undefined) {
      const held = copiesThatFit(spec, candidate.free);
      entry.have += held;
      if (held > 0) entry.freeMachines.push(candidate);
      entry.gains.push(...capacityGains(machine, taskSet, candidate.free, context));
    } else if (!machine.up) {
      const at = Math.max(now + 1000, machine.rentedAt + context.bootMs(machine));
      entry.gains.push({ at, tasks: copiesThatFit(spec, machine.capacity) });
    } else if (!isUsable(machine, now, context.silentMs)) {
      continue;
    }
  }
  let best: Reservation | null = null;
  for (const { have, freeMachines, gains: coming } of byZone.values()) {
    if (freeMachines.length === 0) continue;
    let held = have;
    let until = now;
    for (const gain of coming.sort((a, b) => a.at - b.at)) {
      if (held >= taskSet.waiting.length) break;
      held += gain.tasks;
      until = gain.at;
    }
    if (held >= taskSet.waiting.length && (best === null || until < best.until)) best = { candidates: new Set(freeMachines), until };
  }
  return best;
}

/**
 * The candidates that a job may use: all but those reserved for a gang that should fit before the job is expected to
 * end.
 */
export function unreservedCandidates(
  taskSet: TaskSet,
  candidates: CandidateMachine[],
  reservations: Reservation[],
  context: ReservationContext,
): CandidateMachine[] {
  const end = context.now + context.leftS(taskSet, 0) * 1000;
  const binding = reservations.filter((reservation) => end > reservation.until);
  return binding.length === 0
    ? candidates
    : candidates.filter((candidate) => !binding.some((reservation) => reservation.candidates.has(candidate)));
}
