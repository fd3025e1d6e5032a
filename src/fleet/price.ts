import type { JobSpec } from "../ledger/records.js";
import { copies, type Slot } from "../queue/placement.js";
import type { Unit } from "../queue/unit.js";
import type { MachineType, Offer } from "./cloud-client.js";

/** Copies of a task that one empty machine of the type holds. */
export function perMachine(type: MachineType, spec: JobSpec): number {
  return copies(spec, type);
}

/** Per task, on a machine full of them, by the cheapest offer the job may use. */
function leastCost(spec: JobSpec, types: MachineType[]): number {
  let least = Infinity;
  for (const type of types) {
    const holds = perMachine(type, spec);
    if (holds < 1 || (spec.types !== null && !spec.types.includes(type.name))) continue;
    least = Math.min(least, (spec.spot ? Math.min(type.spotPrice, type.price) : type.price) / holds);
  }
  return least;
}

/**
 * What work may cost. Work of a class that no objective speaks of is patient: it
 * waits for cheap machines, and it does not keep dear ones that would otherwise
 * go back. Room on a dear machine that other work pays for is free to take.
 */
export class Prices {
  private types: MachineType[] = [];
  private verdicts = new Map<string, boolean>();

  constructor(
    private readonly patient: (klass: string) => boolean,
    /** As a multiple of its cheapest offer, what patient work may cost. */
    private readonly dearest: number,
  ) {}

  setTypes(types: MachineType[]): void {
    this.types = types;
    this.verdicts.clear();
  }

  tooDear(spec: JobSpec, offer: Offer): boolean {
    if (!this.patient(spec.klass)) return false;
    const key = `${spec.cpus}|${spec.gpus}|${spec.ram}|${spec.spot}|${spec.types?.join() ?? ""}|${offer.type}|${offer.spot}`;
    let verdict = this.verdicts.get(key);
    if (verdict === undefined) {
      const type = this.types.find((t) => t.name === offer.type);
      const price = type === undefined ? 0 : offer.spot ? type.spotPrice : type.price;
      const holds = type === undefined ? 0 : perMachine(type, spec);
      verdict = holds > 0 && price / holds > this.dearest * leastCost(spec, this.types);
      if (this.verdicts.size > 10_000) this.verdicts.clear();
      this.verdicts.set(key, verdict);
    }
    return verdict;
  }

  /** Of the slots, those that the job may use; the same ones, so that what it takes is taken for all. */
  slotsFor(unit: Unit, slots: Slot[]): Slot[] {
    if (!this.patient(unit.spec.klass)) return slots;
    return slots.filter(({ machine }) => {
      if (!this.tooDear(unit.spec, machine)) return true;
      for (const placement of machine.placements.values()) if (!this.patient(placement.unit.spec.klass)) return true;
      return false;
    });
  }
}
