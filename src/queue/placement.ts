import type { JobSpec } from "@thorntrail/protocol/jobs";
import type { Capacity, Machine } from "../workers/machine.js";

/** Chooses machines for the tasks of one job: constraints, fit, cost and best-fit placement. */

/** A candidate machine with its free capacity during one placement calculation. */
export interface CandidateMachine {
  machine: Machine;
  free: Capacity;
}

/** True if one task fits into the free capacity. */
export function fits(spec: JobSpec, free: Capacity): boolean {
  const slack = 1e-6;
  return spec.cpus <= free.cpus + slack && spec.gpus <= free.gpus + slack && spec.ram <= free.ram + slack;
}

/** Number of copies of a task that fit into the free capacity. */
export function copiesThatFit(spec: Capacity, free: Capacity): number {
  const slack = 1e-6;
  let max = Infinity;
  if (spec.cpus > 0) max = Math.floor((free.cpus + slack) / spec.cpus);
  if (spec.gpus > 0) max = Math.min(max, Math.floor((free.gpus + slack) / spec.gpus));
  if (spec.ram > 0) max = Math.min(max, Math.floor((free.ram + slack) / spec.ram));
  return Math.max(0, max);
}

/** True if the job's machine type, zone and spot constraints allow the machine or machine offering. */
export function isAllowed(spec: JobSpec, where: { type: string; zone: string; spot: boolean }): boolean {
  return (
    (spec.types === null || spec.types.includes(where.type)) &&
    (spec.zone === null || spec.zone === where.zone) &&
    (spec.spot || !where.spot)
  );
}

/** Maximum number of tasks per zone of a job that must spread over zones; null if the job need not spread. */
export function zoneLimit(spec: JobSpec): number | null {
  return spec.spread ? Math.ceil(spec.tasks / 2) : null;
}

/**
 * Sum of the shares of the machine's CPUs, accelerators and memory that would be idle after one task is placed on it.
 * The machine with the lowest sum is preferred, so that whole machines stay free for large tasks or can be returned.
 * Idle accelerators count as much as CPUs, so a task that needs none goes to a machine without any if possible.
 */
export function leftover(spec: JobSpec, candidate: CandidateMachine): number {
  const { capacity } = candidate.machine;
  const share = (free: number, used: number, all: number): number => (all <= 0 ? 0 : (free - used) / all);
  return (
    share(candidate.free.cpus, spec.cpus, capacity.cpus) +
    share(candidate.free.gpus, spec.gpus, capacity.gpus) +
    share(candidate.free.ram, spec.ram, capacity.ram)
  );
}

/**
 * Placement cost of a task on a machine. A machine that already holds the job's image starts the task at once, which
 * counts for more than how full the machine is.
 */
function placementCost(spec: JobSpec, candidate: CandidateMachine): number {
  return leftover(spec, candidate) + (candidate.machine.images.has(spec.image) ? 0 : 3);
}

/**
 * Constraints for choosing a machine for one task: a fixed zone, how many more tasks each zone may get, and the job's
 * failures per host.
 */
export interface PlacementConstraints {
  zone: string | null;
  zoneCapacity: (zone: string) => number;
  avoid: ReadonlyMap<string, number>;
}

/**
 * Returns the candidate machine with the lowest cost on which one task fits, or null if there is none. Each earlier
 * failure of the job on a host adds to that host's cost.
 */
export function pickCandidate(spec: JobSpec, candidates: CandidateMachine[], constraints: PlacementConstraints): CandidateMachine | null {
  let best: CandidateMachine | null = null;
  let bestCost = Infinity;
  for (const candidate of candidates) {
    if (!fits(spec, candidate.free) || !isAllowed(spec, candidate.machine)) continue;
    if (constraints.zone !== null && candidate.machine.zone !== constraints.zone) continue;
    if (constraints.zoneCapacity(candidate.machine.zone) <= 0) continue;
    const value = placementCost(spec, candidate) + 10 * (constraints.avoid.get(candidate.machine.host) ?? 0);
    if (value < bestCost) {
      best = candidate;
      bestCost = value;
    }
  }
  return best;
}

/** Deducts one task from the candidate's free capacity, or adds it back with `sign` -1. */
export function occupy(candidate: CandidateMachine, spec: Capacity, sign: 1 | -1 = 1): void {
  candidate.free.cpus -= sign * spec.cpus;
  candidate.free.gpus -= sign * spec.gpus;
  candidate.free.ram -= sign * spec.ram;
}

/**
 * Places up to `count` tasks and deducts them from the candidates' free capacity. `already` counts tasks of the job
 * per zone that are, or may be, on machines. With `allOrNone`, places either all tasks or none.
 */
export function placeTasks(
  spec: JobSpec,
  count: number,
  candidates: CandidateMachine[],
  already: ReadonlyMap<string, number>,
  avoid: ReadonlyMap<string, number>,
  allOrNone: boolean,
): CandidateMachine[] {
  const limit = zoneLimit(spec);
  const attempt = (zone: string | null): CandidateMachine[] => {
    const chosen: CandidateMachine[] = [];
    const inZone = new Map(already);
    const zoneCapacity = (name: string): number => (limit === null ? Infinity : limit - (inZone.get(name) ?? 0));
    while (chosen.length < count) {
      const candidate = pickCandidate(spec, candidates, { zone, zoneCapacity, avoid });
      if (candidate === null) break;
      // The fullest machine stays the fullest as it fills up, so it is filled in one step: looking at every machine for
      // every task would take time proportional to tasks times machines.
      const name = candidate.machine.zone;
      const n = Math.max(1, Math.min(count - chosen.length, copiesThatFit(spec, candidate.free), zoneCapacity(name)));
      for (let i = 0; i < n; i++) {
        occupy(candidate, spec);
        chosen.push(candidate);
      }
      inZone.set(name, (inZone.get(name) ?? 0) + n);
    }
    return chosen;
  };
  const undo = (chosen: CandidateMachine[]): void => chosen.forEach((candidate) => occupy(candidate, spec, -1));
  // Earlier attempts of the job's tasks stay in their zones until they exit, so `oneZone` (`samePlace` on the wire)
  // binds the job to these zones.
  const bound = [...already].filter(([, n]) => n > 0).map(([zone]) => zone);
  if (spec.oneZone && bound.length > 1) return [];
  const zones: (string | null)[] = !spec.oneZone
    ? [null]
    : bound.length === 1
      ? bound
      : [...new Set(candidates.map((s) => s.machine.zone))].sort();
  let best: CandidateMachine[] = [];
  for (const zone of zones) {
    const chosen = attempt(zone);
    if (chosen.length === count) {
      undo(best);
      return chosen;
    }
    if (chosen.length > best.length) {
      undo(best);
      best = chosen;
    } else undo(chosen);
  }
  if (allOrNone) {
    undo(best);
    return [];
  }
  return best;
}
