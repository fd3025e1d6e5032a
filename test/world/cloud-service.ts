import type { CloudApi, ListedMachine, MachineType, Offer } from "@thorntrail/protocol/cloud";
import { NoReply } from "@thorntrail/protocol/errors";
import type { Via } from "./world.js";
import type { VirtualClock } from "./virtual-clock.js";

interface Rented {
  host: string;
  offer: Offer;
  bornAt: number;
  goneAt: number | null;
}

/** A stand-in for the cloud: capacity, boot times, a lagging list, late requests. */
export class CloudService {
  private count = 0;
  private readonly answers = new Map<string, string[]>();
  readonly machines = new Map<string, Rented>();
  outage = false;
  readonly cuts = new Set<string>();
  private held: { node: string; run: () => void }[] = [];
  /** The next so many rentals are executed this much later; no reply comes. */
  lateHires = { count: 0, ms: 0 };
  onBoot: (host: string, offer: Offer) => void = () => undefined;
  onGone: (host: string) => void = () => undefined;

  constructor(
    private readonly clock: VirtualClock,
    readonly types: MachineType[],
    private readonly capacity: Map<string, number>,
    private readonly lagMs: number,
  ) {}

  /** Requests of the node were held, and are executed now. */
  endCut(node: string): void {
    this.cuts.delete(node);
    const due = this.held.filter((h) => h.node === node);
    this.held = this.held.filter((h) => h.node !== node);
    for (const { run } of due) run();
  }

  private hire(name: string, offer: Offer, count: number): string[] | null {
    const before = this.answers.get(name);
    if (before !== undefined) return before;
    const key = `${offer.type}/${offer.zone}/${offer.spot ? "spot" : "ordinary"}`;
    const used = [...this.machines.values()].filter(
      (m) => m.goneAt === null && `${m.offer.type}/${m.offer.zone}/${m.offer.spot ? "spot" : "ordinary"}` === key,
    ).length;
    const free = Math.min(count, (this.capacity.get(key) ?? 0) - used);
    if (free <= 0) return null;
    const type = this.types.find((t) => t.name === offer.type)!;
    const hosts: string[] = [];
    for (let i = 0; i < free; i++) {
      const host = `i-${String(++this.count).padStart(6, "0")}`;
      this.machines.set(host, { host, offer, bornAt: this.clock.now(), goneAt: null });
      this.clock.after(type.bootS * 1000, () => {
        if (this.machines.get(host)?.goneAt === null) this.onBoot(host, offer);
      });
      hosts.push(host);
    }
    this.answers.set(name, hosts);
    return hosts;
  }

  remove(host: string): void {
    const machine = this.machines.get(host);
    if (machine === undefined || machine.goneAt !== null) return;
    machine.goneAt = this.clock.now();
    this.onGone(host);
  }

  client(node: string, via: Via): CloudApi {
    const call = <T>(run: () => T): Promise<T> =>
      new Promise((resolve, reject) => {
        this.clock.after(50, () => {
          if (this.cuts.has(node)) {
            this.held.push({ node, run: () => void run() });
            return this.clock.after(2000, () => via(() => reject(new NoReply("unanswered", "cut"))));
          }
          if (this.outage) return this.clock.after(50, () => via(() => reject(new NoReply("refused", "trouble"))));
          const result = run();
          this.clock.after(50, () => via(() => resolve(result)));
        });
      });
    return {
      types: () => call(() => this.types),
      hire: async (name, offer, count) => {
        if (this.lateHires.count > 0) {
          this.lateHires.count--;
          this.clock.after(this.lateHires.ms, () => this.hire(name, offer, count));
          await new Promise<void>((resolve) => this.clock.after(2000, resolve));
          throw new NoReply("unanswered", "held");
        }
        return call(() => this.hire(name, offer, count));
      },
      remove: (hosts) => call(() => hosts.forEach((host) => this.remove(host))),
      list: (from, limit) =>
        call(() => {
          const asOf = this.clock.now() - this.lagMs;
          const all: ListedMachine[] = [...this.machines.values()]
            .filter((m) => m.bornAt <= asOf && (m.goneAt === null || m.goneAt > asOf) && (from === undefined || m.host > from))
            .map((m) => ({ host: m.host, addr: m.host, ...m.offer, state: "running", ageS: (asOf - m.bornAt) / 1000 }));
          return { machines: all.slice(0, limit), more: all.length > limit };
        }),
    };
  }
}
