/** Model of a cloud that rents out machines, for virtual time and for real sockets. */
import type { ListedMachine, MachineType, MachineOffering } from "@thorntrail/protocol/cloud";
import type { CapacityOverride } from "./faults.js";
import type { WrongResponseForm } from "./network-rules.js";

/** Monotonic clock for the models, in ms; virtual or real. `after` returns a function that cancels the timer. */
export interface MonotonicClock {
  now(): number;
  after(ms: number, fn: () => void): () => void;
}

/** Machine types, capacity, list lag and boot behaviour of the cloud model. */
export interface CloudModelOptions {
  types: MachineType[];
  /** Maximum number of machines that can be rented at the same time, by `type/zone/ordinary` and `type/zone/spot`. */
  capacity: Map<string, number>;
  lagMs: number;
  /** Random source. Without it, every machine boots in its nominal time, and prices and the lag of lists are constant. */
  random?: () => number;
  /** Shares of machines that never boot, take two to five times their nominal boot time, or are up within two seconds. */
  boots?: { never: number; slow: number; early: number };
}

interface RentedMachine {
  host: string;
  offer: MachineOffering;
  createdAt: number;
  bootedAt: number | null;
  removedAt: number | null;
  failed: boolean;
  /** The cost up to `chargedUntil`, at the prices and spot factors in force during that time, without the periodic swing of spot prices. */
  chargedCost: number;
  chargedUntil: number;
}

const SPOT_PRICE_SWING = 1 / 3;
const SPOT_PRICE_TIMESCALE_MS = 60_000;
/** Minimum charge per machine, in seconds of use. */
const MIN_CHARGE_S = 60;

/** Additional lag of a list that is deliberately outdated, in ms. */
const STALE_LIST_EXTRA_LAG_MS = 20_000;
/** Maximum number of deleted machines that a deliberately wrong list contains. */
const DELETED_MACHINES_LISTED = 3;

const offeringKey = ({ type, zone, spot }: MachineOffering): string => `${type}/${zone}/${spot ? "spot" : "ordinary"}`;

/**
 * The cloud as the protocol describes it: limited capacity, boot times, varying prices, a list of machines that lags and
 * may be older than the previous list, and rentals that are idempotent by request name.
 */
export class CloudModel {
  private count = 0;
  private readonly hostsByRequest = new Map<string, string[]>();
  private readonly rentedByOffering = new Map<string, number>();
  readonly machines = new Map<string, RentedMachine>();
  private costOfRemoved = 0;
  private currentSpotFactor = 1;
  onBoot: (host: string, offer: MachineOffering) => void = () => undefined;
  onRemoved: (host: string) => void = () => undefined;
  /** Returns the address on which a machine's worker listens once it is up. */
  addrOf: (host: string) => string = (host) => host;

  constructor(
    private readonly clock: MonotonicClock,
    private readonly options: CloudModelOptions,
  ) {}

  types(): MachineType[] {
    const { random } = this.options;
    if (random === undefined && this.currentSpotFactor === 1) return this.options.types;
    const swing = random === undefined ? 0 : Math.sin(this.clock.now() / SPOT_PRICE_TIMESCALE_MS);
    return this.options.types.map((type) => ({
      ...type,
      spotPrice: type.spotPrice * this.currentSpotFactor * (1 + SPOT_PRICE_SWING * swing),
    }));
  }

  /**
   * Sets the available capacity of a type in a zone (`*`: all); undefined leaves it unchanged. Machines that
   * are already rented stay, even if there are more of them than the new capacity.
   */
  setCapacity(type: string, zone: string, ordinary: number | undefined, spot: number | undefined): CapacityOverride {
    const previous = new Map<string, number>();
    for (const { name, zones } of this.options.types.filter((one) => type === "*" || type === one.name))
      for (const one of zones.filter((of) => zone === "*" || zone === of))
        for (const [isSpot, count] of [[false, ordinary] as const, [true, spot] as const]) {
          if (count === undefined) continue;
          const key = offeringKey({ type: name, zone: one, spot: isSpot });
          previous.set(key, this.options.capacity.get(key) ?? 0);
          this.options.capacity.set(key, count);
        }
    return {
      affected: [...previous.keys()],
      restore: () => {
        for (const [key, count] of previous) this.options.capacity.set(key, count);
      },
    };
  }

  /** Sets the factor on spot prices. Usage up to now is charged at the previous prices. */
  set spotFactor(factor: number) {
    for (const machine of this.machines.values()) {
      if (machine.removedAt !== null || !machine.offer.spot) continue;
      machine.chargedCost += this.hourlyPrice(machine) * this.hoursSince(machine, machine.chargedUntil);
      machine.chargedUntil = this.clock.now();
    }
    this.currentSpotFactor = factor;
  }

  private hourlyPrice({ offer }: RentedMachine): number {
    const type = this.options.types.find((one) => one.name === offer.type)!;
    return offer.spot ? type.spotPrice * this.currentSpotFactor : type.price;
  }

  private hoursSince(machine: RentedMachine, from: number): number {
    return Math.max(0, (machine.removedAt ?? this.clock.now()) - from) / 3_600_000;
  }

  /** Rents up to `count` machines (at most 50); null if none are available. A repeated request name returns the first response. */
  rent(name: string, { type: of, zone, spot }: MachineOffering, count: number): string[] | null {
    // Copies only the fields of an offering: in virtual time, callers pass records with further fields.
    const offering: MachineOffering = { type: of, zone, spot };
    const earlier = this.hostsByRequest.get(name);
    if (earlier !== undefined) return earlier;
    const key = offeringKey(offering);
    const type = this.options.types.find((t) => t.name === offering.type);
    const granted = Math.min(count, 50, (this.options.capacity.get(key) ?? 0) - (this.rentedByOffering.get(key) ?? 0));
    if (granted <= 0 || type === undefined) return null;
    const hosts: string[] = [];
    for (let i = 0; i < granted; i++) {
      const host = `i-${String(++this.count).padStart(6, "0")}`;
      const now = this.clock.now();
      const machine: RentedMachine = {
        host,
        offer: offering,
        createdAt: now,
        bootedAt: null,
        removedAt: null,
        failed: false,
        chargedCost: 0,
        chargedUntil: now,
      };
      this.machines.set(host, machine);
      const bootMs = this.bootMs(type.bootS * 1000);
      if (bootMs !== null)
        this.clock.after(bootMs, () => {
          if (machine.removedAt !== null || machine.failed) return;
          machine.bootedAt = this.clock.now();
          this.onBoot(host, offering);
        });
      hosts.push(host);
    }
    this.rentedByOffering.set(key, (this.rentedByOffering.get(key) ?? 0) + granted);
    this.hostsByRequest.set(name, hosts);
    return hosts;
  }

  /** Boot time in ms; null if the machine never boots. */
  private bootMs(nominal: number): number | null {
    const { random, boots } = this.options;
    if (random === undefined) return nominal;
    const roll = random();
    const { never = 0, slow = 0, early = 0 } = boots ?? {};
    if (roll < never) return null;
    if (roll < never + slow) return nominal * (2 + random() * 3);
    if (roll < never + slow + early) return 1000 + random() * 1000;
    return nominal * (0.6 + random() * 0.9);
  }

  /** Removes a machine, with everything on it, that a controller deleted or that the cloud reclaimed. */
  remove(host: string): void {
    const machine = this.machines.get(host);
    if (machine === undefined || machine.removedAt !== null) return;
    machine.removedAt = this.clock.now();
    this.rentedByOffering.set(offeringKey(machine.offer), (this.rentedByOffering.get(offeringKey(machine.offer)) ?? 1) - 1);
    this.costOfRemoved += this.costOf(machine);
    this.onRemoved(host);
  }

  /** Makes the machine fail; it is listed as failed until it is deleted. */
  fail(host: string): void {
    const machine = this.machines.get(host);
    if (machine === undefined || machine.removedAt !== null || machine.failed) return;
    machine.failed = true;
    this.onRemoved(host);
  }

  private costOf(machine: RentedMachine): number {
    const hours = this.hoursSince(machine, machine.chargedUntil);
    const missingHours = Math.max(0, MIN_CHARGE_S / 3600 - this.hoursSince(machine, machine.createdAt));
    return machine.chargedCost + (hours + missingHours) * this.hourlyPrice(machine);
  }

  /** Total cost so far, in the currency of the prices. */
  get cost(): number {
    let sum = this.costOfRemoved;
    for (const machine of this.machines.values()) if (machine.removedAt === null) sum += this.costOf(machine);
    return sum;
  }

  get rentedCount(): number {
    let n = 0;
    for (const machine of this.machines.values()) if (machine.removedAt === null) n++;
    return n;
  }

  /**
   * Returns the list of machines as it was `lagMs` ago or earlier. The lag varies, so a list can be older than the
   * previous list. `olderMs` is added to the lag.
   */
  list(from: string | undefined, maxMachines: number, olderMs = 0): { machines: ListedMachine[]; more: boolean } {
    const { lagMs, random } = this.options;
    const asOf = this.clock.now() - lagMs * (random === undefined || random() < 0.8 ? 1 : 1 + random()) - olderMs;
    const machines: ListedMachine[] = [];
    // Host names are assigned in ascending order, so the map's insertion order is the order by name that paging requires.
    for (const m of this.machines.values()) {
      if (m.createdAt > asOf || (m.removedAt !== null && m.removedAt <= asOf) || (from !== undefined && m.host <= from)) continue;
      if (machines.length >= maxMachines) return { machines, more: true };
      const state = m.failed ? "failed" : m.bootedAt !== null && m.bootedAt <= asOf ? "running" : "booting";
      machines.push({ host: m.host, addr: this.addrOf(m.host), ...m.offer, state, ageS: (asOf - m.createdAt) / 1000 });
    }
    return { machines, more: false };
  }

  /**
   * Returns a deliberately wrong list. `form` says how: one much older than usual, one with deleted machines, or an empty one
   * like the response to another request. Returns undefined for the values of `form` that concern no lists.
   */
  invalidList(
    form: WrongResponseForm,
    from: string | undefined,
    maxMachines: number,
  ): { machines: ListedMachine[]; more: boolean } | undefined {
    if (form === "older") return this.list(from, maxMachines, STALE_LIST_EXTRA_LAG_MS);
    if (form === "other") return { machines: [], more: false };
    if (form !== "ghost") return undefined;
    const { machines, more } = this.list(from, maxMachines);
    const gone = [...this.machines.values()]
      .filter((m) => m.removedAt !== null && (from === undefined || m.host > from))
      .slice(0, DELETED_MACHINES_LISTED);
    const ghosts = gone.map((m) => ({ host: m.host, addr: this.addrOf(m.host), ...m.offer, state: "running", ageS: 60 }));
    return { machines: [...machines, ...ghosts].sort((a, b) => (a.host < b.host ? -1 : 1)), more };
  }
}
