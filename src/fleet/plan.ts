import { tasksWithin, usageByTeam, type Part, type Usage } from "../parts/part.js";
import { ready, usableSlots, zonesInUse } from "../queue/pass.js";
import { inOrder, type LocalOrder } from "../queue/order.js";
import { allowed, fits, placeTasks, type Slot } from "../queue/placement.js";
import type { Unit } from "../queue/unit.js";
import { freeRoom, newMachine } from "../workers/machine.js";
import type { MachineType, Offer } from "./cloud-client.js";

export interface PlanContext {
  now: number;
  silentMs: number;
  order: LocalOrder;
  types: MachineType[];
  /** Offers the cloud refused lately are left out for a while. */
  open: (offer: Offer) => boolean;
  allotment: (team: string) => Usage;
}

export function offerName(offer: Offer): string {
  return `${offer.type}/${offer.zone}/${offer.spot ? "spot" : "ordinary"}`;
}

/** Copies of a task that one empty machine of the type holds. */
export function perMachine(type: MachineType, unit: Unit): number {
  const { spec } = unit;
  const by = (all: number, one: number): number => (one > 0 ? Math.floor((all + 1e-6) / one) : Infinity);
  return Math.min(by(type.cpus, spec.cpus), by(type.gpus, spec.gpus), by(type.ram, spec.ram), unit.waiting.length);
}

/**
 * What to rent for the queue: waiting tasks are laid onto free and booting
 * room first; the rest opens imagined machines of the offer that is cheapest
 * per task, and later tasks fill those up.
 */
export interface HirePlan {
  wanted: Map<string, { offer: Offer; count: number }>;
  /** Machines, idle or booting, that waiting work will go to. */
  needed: Set<string>;
}

export function planHires(part: Part, context: PlanContext): HirePlan {
  const wanted = new Map<string, { offer: Offer; count: number }>();
  const needed = new Set<string>();
  const { now } = context;
  const slots = usableSlots(part, now, context.silentMs);
  for (const machine of part.machines.values()) {
    const coming =
      !machine.deleting && !machine.draining && !machine.lost && machine.noticeAt === null && !slots.some((s) => s.machine === machine);
    if (coming) slots.push({ machine, free: freeRoom(machine) });
  }
  const usage = usageByTeam(part);
  let imagined = 0;
  const queue = inOrder(
    [...part.units.values()].filter((unit) => ready(unit, now)),
    context.order,
  );
  for (const unit of queue) {
    const { spec } = unit;
    const used = usage.get(spec.team) ?? { cpus: 0, gpus: 0 };
    const allotment = context.allotment(spec.team);
    let left = Math.min(unit.waiting.length, tasksWithin(spec, { cpus: allotment.cpus - used.cpus, gpus: allotment.gpus - used.gpus }));
    const isGang = spec.kind === "gang";
    if (left === 0 || (isGang && left < unit.waiting.length)) continue;
    // A job that fails wherever it runs is not worth more machines.
    if (unit.failedOn.size > 1) continue;
    usage.set(spec.team, { cpus: used.cpus + spec.cpus * left, gpus: used.gpus + spec.gpus * left });
    const none = new Map<string, number>();
    for (let guard = 0; left > 0 && guard < 64; guard++) {
      const chosen = placeTasks(spec, left, slots, zonesInUse(part, unit), none, false);
      for (const slot of chosen) needed.add(slot.machine.host);
      left -= chosen.length;
      if (left <= 0) break;
      const best = cheapest(unit, left, context);
      if (best === null) break;
      const { type, offer } = best;
      const machine = newMachine(
        `imagined-${imagined++}`,
        type.name,
        offer.zone,
        offer.spot,
        { cpus: type.cpus, gpus: type.gpus, ram: type.ram },
        now,
      );
      const slot: Slot = { machine, free: { cpus: type.cpus, gpus: type.gpus, ram: type.ram } };
      if (!fits(spec, slot.free)) break;
      slots.push(slot);
      const name = offerName(offer);
      const entry = wanted.get(name) ?? { offer, count: 0 };
      entry.count++;
      wanted.set(name, entry);
    }
  }
  return { wanted, needed };
}

function cheapest(unit: Unit, left: number, context: PlanContext): { type: MachineType; offer: Offer } | null {
  let best: { type: MachineType; offer: Offer; cost: number } | null = null;
  for (const type of context.types) {
    const holds = Math.min(perMachine(type, unit), left);
    if (holds < 1) continue;
    for (const zone of type.zones) {
      for (const spot of unit.spec.spot ? [true, false] : [false]) {
        const offer = { type: type.name, zone, spot };
        if (!allowed(unit.spec, offer) || !context.open(offer)) continue;
        const cost = (spot ? type.spotPrice : type.price) / holds;
        if (best === null || cost < best.cost) best = { type, offer, cost };
      }
    }
  }
  return best;
}
