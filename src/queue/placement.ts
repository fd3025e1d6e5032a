import type { JobSpec } from "@thorntrail/protocol/jobs";
import type { Capacity, Machine } from "../workers/machine.js";

/** Room on a machine while a placement pass is being worked out. */
export interface Slot {
  machine: Machine;
  free: Capacity;
}

export function fits(spec: JobSpec, free: Capacity): boolean {
  const slack = 1e-6;
  return spec.cpus <= free.cpus + slack && spec.gpus <= free.gpus + slack && spec.ram <= free.ram + slack;
}

/** How many copies of a task the room holds. */
export function copies(spec: Capacity, free: Capacity): number {
  const slack = 1e-6;
  let most = Infinity;
  if (spec.cpus > 0) most = Math.floor((free.cpus + slack) / spec.cpus);
  if (spec.gpus > 0) most = Math.min(most, Math.floor((free.gpus + slack) / spec.gpus));
  if (spec.ram > 0) most = Math.min(most, Math.floor((free.ram + slack) / spec.ram));
  return Math.max(0, most);
}

export function allowed(spec: JobSpec, where: { type: string; zone: string; spot: boolean }): boolean {
  return (
    (spec.types === null || spec.types.includes(where.type)) &&
    (spec.zone === null || spec.zone === where.zone) &&
    (spec.spot || !where.spot)
  );
}

/** Tasks a zone may still take of a job that must spread; null: as many as fit. */
export function zoneLimit(spec: JobSpec): number | null {
  return spec.spread ? Math.ceil(spec.tasks / 2) : null;
}

/**
 * The share of the machine left idle, by its tightest kind of resource. The
 * fullest machine is taken first, so that whole machines stay free for large
 * tasks or can be returned. Accelerators left idle weigh as much as CPUs: a task
 * without any goes to machines without any if it can.
 */
export function leftover(spec: JobSpec, slot: Slot): number {
  const { capacity } = slot.machine;
  const share = (free: number, used: number, all: number): number => (all <= 0 ? 0 : (free - used) / all);
  return (
    share(slot.free.cpus, spec.cpus, capacity.cpus) +
    share(slot.free.gpus, spec.gpus, capacity.gpus) +
    share(slot.free.ram, spec.ram, capacity.ram)
  );
}

/** A machine that holds the image starts at once, which outweighs fullness. */
function cost(spec: JobSpec, slot: Slot): number {
  return leftover(spec, slot) + (slot.machine.images.has(spec.image) ? 0 : 3);
}

export interface PlaceRules {
  zone: string | null;
  zoneRoom: (zone: string) => number;
  avoid: ReadonlyMap<string, number>;
}

/** The fullest fitting machine for one task, or null. */
export function pick(spec: JobSpec, slots: Slot[], rules: PlaceRules): Slot | null {
  let best: Slot | null = null;
  let bestCost = Infinity;
  for (const slot of slots) {
    if (!fits(spec, slot.free) || !allowed(spec, slot.machine)) continue;
    if (rules.zone !== null && slot.machine.zone !== rules.zone) continue;
    if (rules.zoneRoom(slot.machine.zone) <= 0) continue;
    const value = cost(spec, slot) + 10 * (rules.avoid.get(slot.machine.host) ?? 0);
    if (value < bestCost) {
      best = slot;
      bestCost = value;
    }
  }
  return best;
}

export function occupy(slot: Slot, spec: Capacity, sign: 1 | -1 = 1): void {
  slot.free.cpus -= sign * spec.cpus;
  slot.free.gpus -= sign * spec.gpus;
  slot.free.ram -= sign * spec.ram;
}

/**
 * Places up to `count` tasks; what it chose is taken from the slots. `already`
 * counts tasks of the job per zone that are, or may be, on machines.
 */
export function placeTasks(
  spec: JobSpec,
  count: number,
  slots: Slot[],
  already: ReadonlyMap<string, number>,
  avoid: ReadonlyMap<string, number>,
  allOrNone: boolean,
): Slot[] {
  const limit = zoneLimit(spec);
  const attempt = (zone: string | null): Slot[] => {
    const chosen: Slot[] = [];
    const inZone = new Map(already);
    const zoneRoom = (name: string): number => (limit === null ? Infinity : limit - (inZone.get(name) ?? 0));
    while (chosen.length < count) {
      const slot = pick(spec, slots, { zone, zoneRoom, avoid });
      if (slot === null) break;
      // The fullest machine stays the fullest as it fills up, so it is filled in one
      // go: looking at every machine for every task would cost tasks times machines.
      const name = slot.machine.zone;
      const n = Math.max(1, Math.min(count - chosen.length, copies(spec, slot.free), zoneRoom(name)));
      for (let i = 0; i < n; i++) {
        occupy(slot, spec);
        chosen.push(slot);
      }
      inZone.set(name, (inZone.get(name) ?? 0) + n);
    }
    return chosen;
  };
  const undo = (chosen: Slot[]): void => chosen.forEach((slot) => occupy(slot, spec, -1));
  // Old attempts stay in their zones until they exit, so `samePlace` binds to them.
  const bound = [...already].filter(([, n]) => n > 0).map(([zone]) => zone);
  if (spec.oneZone && bound.length > 1) return [];
  const zones: (string | null)[] = !spec.oneZone
    ? [null]
    : bound.length === 1
      ? bound
      : [...new Set(slots.map((s) => s.machine.zone))].sort();
  let best: Slot[] = [];
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
