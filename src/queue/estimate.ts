import type { JobSpec } from "../ledger/records.js";
import type { Part } from "../parts/part.js";
import { freeRoom, usable, type Capacity, type Machine } from "../workers/machine.js";
import { inOrder, type LocalOrder } from "./order.js";
import { allowed, fits, occupy, placeTasks, type Slot } from "./placement.js";
import { stoppable } from "./preempt.js";
import { ready, zonesInUse } from "./pass.js";
import type { Unit } from "./unit.js";

/**
 * Run times by class. Owners' guesses are off by half or more and on some days
 * all to one side, so the guess is corrected by what the class has shown.
 */
export class RunHistory {
  private readonly ratios = new Map<string, { log: number; weight: number }>();

  constructor(private readonly mode: "learned" | "owner") {}

  note(spec: JobSpec, seconds: number): void {
    if (spec.guessS <= 0 || seconds <= 0) return;
    const entry = this.ratios.get(spec.klass) ?? { log: 0, weight: 1 };
    const weight = Math.min(entry.weight + 1, 50);
    entry.log += (Math.log(seconds / spec.guessS) - entry.log) / weight;
    entry.weight = weight;
    this.ratios.set(spec.klass, entry);
  }

  expectS(spec: JobSpec): number {
    const entry = this.mode === "learned" ? this.ratios.get(spec.klass) : undefined;
    return Math.max(1, spec.guessS * Math.exp(entry?.log ?? 0));
  }
}

export interface EstimateContext {
  now: number;
  silentMs: number;
  order: LocalOrder;
  history: RunHistory;
  bootMs: (machine: Machine) => number;
  /** After this long, lower work is stopped for a job that waits. */
  preemptAfterMs: number;
}

interface Event {
  at: number;
  slot: Slot;
  freed: Capacity;
}

const MAX_EVENTS = 200;
const MAX_QUEUE = 60;

/** Parts of all resources in use, by the scarcest of CPUs and accelerators. */
export function utilization(part: Part): number {
  const all = { cpus: 0, gpus: 0 };
  const used = { cpus: 0, gpus: 0 };
  for (const machine of part.machines.values()) {
    if (machine.lost || machine.deleting) continue;
    all.cpus += machine.capacity.cpus;
    all.gpus += machine.capacity.gpus;
    for (const placement of machine.placements.values()) {
      used.cpus += placement.unit.spec.cpus;
      used.gpus += placement.unit.spec.gpus;
    }
  }
  if (all.cpus === 0) return 1;
  return Math.max(used.cpus / all.cpus, all.gpus > 0 ? used.gpus / all.gpus : 0);
}

/**
 * Plays the queue forward: machines free up as running tasks are expected to
 * end, booting ones count from when they should be up. Gives the wait in ms
 * of every slice asked for; infinite if the part cannot hold it.
 */
export function estimateWaits(part: Part, context: EstimateContext, extra: Unit[] = []): Map<string, number> {
  const { now, history } = context;
  const slots: Slot[] = [];
  const events: Event[] = [];
  for (const machine of part.machines.values()) {
    if (machine.deleting || machine.draining || machine.lost || machine.noticeAt !== null) continue;
    const slot: Slot = { machine, free: freeRoom(machine) };
    if (!usable(machine, now, context.silentMs)) {
      const readyAt = machine.up
        ? Math.max(now + 1000, machine.avoidUntil)
        : Math.max(now + 1000, machine.hiredAt + context.bootMs(machine));
      events.push({ at: readyAt, slot, freed: { ...slot.free } });
      slot.free = { cpus: 0, gpus: 0, ram: 0 };
    }
    slots.push(slot);
    for (const placement of machine.placements.values()) {
      const { spec } = placement.unit;
      const left = history.expectS(spec) * 1000 - (placement.runningAt === null ? 0 : now - placement.runningAt);
      events.push({ at: now + Math.max(1000, left), slot, freed: { cpus: spec.cpus, gpus: spec.gpus, ram: spec.ram } });
    }
  }
  events.sort((a, b) => a.at - b.at);
  const queue = inOrder(
    [
      ...[...part.units.values()].filter((u) => !u.ended && !u.leaving && u.waiting.length > 0 && (ready(u, now) || u.notBefore > now)),
      ...extra,
    ],
    context.order,
  ).slice(0, MAX_QUEUE);
  const waits = new Map<string, number>();
  let left = queue.map((unit) => ({ unit, tasks: unit.waiting.length }));
  const settle = (at: number): void => {
    left = left.filter((entry) => {
      const { spec } = entry.unit;
      if (!slots.some((slot) => fits(spec, slot.free))) return true;
      const chosen = placeTasks(spec, entry.tasks, slots, zonesInUse(part, entry.unit), entry.unit.failedOn, spec.kind === "gang");
      if (chosen.length === 0) return true;
      entry.tasks -= chosen.length;
      for (const slot of chosen)
        insert(events, { at: at + history.expectS(spec) * 1000, slot, freed: { cpus: spec.cpus, gpus: spec.gpus, ram: spec.ram } });
      if (entry.tasks > 0) return true;
      waits.set(entry.unit.key, Math.max(0, at - now));
      return false;
    });
  };
  settle(now);
  left = left.filter((entry) => {
    if (!canMakeRoom(entry.unit, entry.tasks, slots, part)) return true;
    waits.set(entry.unit.key, context.preemptAfterMs);
    return false;
  });
  for (let i = 0; i < MAX_EVENTS && events.length > 0 && left.length > 0; i++) {
    const event = events.shift()!;
    occupy(event.slot, event.freed, -1);
    settle(event.at);
  }
  for (const entry of left) waits.set(entry.unit.key, Infinity);
  return waits;
}

/**
 * Could lower work on the part's machines be stopped to hold the job? Without
 * counting that, urgent jobs flee from parts full of low work to parts where
 * nothing may be stopped for them, and there they stay put.
 */
function canMakeRoom(unit: Unit, tasks: number, slots: Slot[], part: Part): boolean {
  const { spec } = unit;
  if (spec.oneZone || spec.spread) return false;
  const soft = slots
    .filter((slot) => allowed(spec, slot.machine) && slot.machine.fenced && slot.machine.up)
    .map((slot) => {
      const roomy: Slot = { machine: slot.machine, free: { ...slot.free } };
      for (const placement of slot.machine.placements.values()) {
        if (stoppable(placement, unit)) occupy(roomy, placement.unit.spec, -1);
      }
      return roomy;
    });
  const chosen = placeTasks(spec, tasks, soft, zonesInUse(part, unit), unit.failedOn, true);
  if (chosen.length < tasks) return false;
  // What it takes is not there for the next one.
  for (const { machine } of chosen)
    occupy(
      slots.find((slot) => slot.machine === machine)!,
      spec,
    );
  return true;
}

function insert(events: Event[], event: Event): void {
  let at = events.length;
  while (at > 0 && events[at - 1]!.at > event.at) at--;
  events.splice(at, 0, event);
}
