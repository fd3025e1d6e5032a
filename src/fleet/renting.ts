import type { Offer } from "@thorntrail/protocol/cloud";
import { NoReply } from "@thorntrail/protocol/errors";
import { keys, rentalRecords, type RentalRecord } from "../ledger/records.js";
import type { Part } from "../parts/part.js";
import { leads, paid, type FleetAround } from "./around.js";
import type { Offers } from "./offers.js";
import { MOST_OF_AN_OFFER, planHires, type HirePlan } from "./plan.js";

/** Names of rentals kept after their end: many times what can be asked of the cloud while a late copy is on its way. */
const MOST_CLOSED = 1000;

/** Answer limits for which a job may wait for its turn to ask other parts before machines are rented for it. */
const WEIGH_ANSWERS = 2;

/**
 * Rents what the queue needs. A rental's name is recorded before it is used and is
 * never used again; what it brought is recorded before it gets any work.
 */
export class Renting {
  private readonly hiring = new Set<string>();
  private readonly plans = new WeakMap<Part, { at: number; plan: HirePlan }>();
  private hires = 0;
  /** The newest names whose answer has been recorded, by this life: nobody else can write down one of its terms. */
  private readonly closed = new Set<string>();

  constructor(
    private readonly around: FleetAround,
    private readonly offers: Offers,
  ) {}

  start(): void {
    this.around.scope.routine(
      "rent",
      () => this.around.settings.timing.reportMs / 5,
      () => this.rent(),
    );
  }

  private async rent(): Promise<void> {
    if (this.around.leader.silent() || this.around.leader.types.length === 0) return;
    for (const part of [...this.around.leader.parts.values()]) {
      // Rentals begun before, by us or by a former leader, are brought to an end first.
      let open = false;
      for (const [key, record] of this.around.rentals.begun(part.id)) {
        open = true;
        await this.carryOut(part, key.slice(keys.rentals.length), record);
      }
      if (open || part.phase !== "serving") continue;
      // Each machine more is reports more, and those that keep leases are never put off.
      if (this.around.overload.sheds("growth")) continue;
      const plan = this.plan(part);
      for (const { offer, count } of plan.wanted.values()) {
        const room = this.around.settings.mostMachines - this.around.rentals.count(part.id);
        if (room > 0) await this.begin(part, offer, Math.min(count, room));
      }
    }
  }

  /** One layout of the queue serves renting and returning alike. */
  plan(part: Part): HirePlan {
    const now = this.around.scope.clock.now();
    const last = this.plans.get(part);
    if (last !== undefined && now - last.at < this.around.settings.timing.reportMs / 6) return last.plan;
    const plan = this.around.scope.costs.spend("planning", () => this.layOut(part, now));
    this.plans.set(part, { at: now, plan });
    return plan;
  }

  private layOut(part: Part, now: number): HirePlan {
    return planHires(part, {
      now,
      silentMs: this.around.settings.timing.silentMs,
      order: this.around.leader.order(),
      types: this.around.leader.types,
      open: (offer) => this.offers.open(offer),
      allotment: (team) => this.around.quotaShares.held(part.id, team),
      soonMs: this.soonMs(),
      leftMs: ({ unit, runningAt }) => {
        const { history } = this.around.leader;
        return 1000 * history.leftS(unit.spec, runningAt === null ? 0 : (now - runningAt) / 1000);
      },
      weighMs:
        this.around.settings.operators.exchange.mode === "off"
          ? 0
          : this.around.settings.operators.exchange.answer_limit * WEIGH_ANSWERS * 1000,
    });
  }

  /** Of the shortest boot; nothing where that is more than half of what some class may take to start: waiting would make it late. */
  private soonMs(): number {
    const { platform, operators } = this.around.settings;
    const soonS = Math.min(...this.around.leader.types.map((type) => type.bootS)) * operators.fleet.soon_per_boot;
    const aims = platform.deployment.objectives.map((aim) => (aim.kind === "wait" ? (aim.within_s ?? Infinity) : Infinity));
    return soonS <= Math.min(...aims) / 2 ? soonS * 1000 : 0;
  }

  private async begin(part: Part, offer: Offer, count: number): Promise<void> {
    const name = `${part.id}.${part.term}.${++this.hires}`;
    const value: RentalRecord = { part: part.id, ...offer, count: Math.min(count, MOST_OF_AN_OFFER), at: this.around.scope.clock.wall() };
    const key = keys.rental(name);
    const outcome = await this.around.committer.commit(
      "hire",
      () =>
        this.around.mirror.get(key) !== undefined || this.around.mirror.stamp(keys.owner(part.id)) !== part.term
          ? null
          : {
              conditions: [
                { k: key, stamp: 0 },
                { k: keys.owner(part.id), stamp: part.term },
              ],
              apply: [{ write: key, v: value }],
            },
      { shedAfterMs: this.around.settings.timing.reportMs },
    );
    if (outcome === "done") await this.carryOut(part, name, value);
  }

  private async carryOut(part: Part, name: string, hire: RentalRecord): Promise<void> {
    if (this.hiring.has(name) || this.around.leader.silent()) return;
    this.hiring.add(name);
    try {
      await paid(this.around);
      // Waiting for our turn may have taken longer than we may lead: whoever does now repeats the name.
      if (!leads(this.around, part)) return;
      // Its record came late, in a copy of what was sent before, after the rental was over and its record gone.
      if (this.closed.has(name)) return await this.close(part, name, hire, []);
      const hosts = await this.around.cloud.hire(name, hire, hire.count);
      const offer: Offer = { type: hire.type, zone: hire.zone, spot: hire.spot };
      if (hosts === null || hosts.length < hire.count) this.offers.refuse(offer);
      else this.offers.granted(offer);
      await this.close(part, name, hire, hosts ?? []);
      if (hosts !== null) {
        this.around.stats.hired += hosts.length;
        this.around.scope.log.info({ part: part.id, hire: name, ...offer, asked: hire.count, got: hosts.length }, "machines rented");
      } else this.around.scope.log.info({ part: part.id, ...offer, asked: hire.count }, "no capacity");
    } catch (error) {
      if (!(error instanceof NoReply)) throw error;
      this.around.scope.log.debug({ hire: name, err: error.message }, "rental not answered; asked again under the same name");
      await this.around.calls.of("cloud.hire").rest();
    } finally {
      this.hiring.delete(name);
    }
  }

  private async close(part: Part, name: string, hire: RentalRecord, hosts: string[]): Promise<void> {
    const key = keys.rental(name);
    const at = this.around.scope.clock.wall();
    const outcome = await this.around.committer.commit(
      "rented",
      () => {
        const entry = this.around.mirror.get<RentalRecord>(key);
        if (entry === undefined || entry.v.hosts !== undefined || this.around.mirror.stamp(keys.owner(part.id)) !== part.term) return null;
        const records = rentalRecords({ ...hire, at }, hosts, this.around.settings.state.valueKb);
        return {
          conditions: [
            { k: key, stamp: entry.stamp },
            { k: keys.owner(part.id), stamp: part.term },
            ...records.slice(1).map((_, i) => ({ k: keys.rental(name, i + 1), stamp: 0 })),
          ],
          apply: records.length === 0 ? [{ remove: key }] : records.map((v, i) => ({ write: keys.rental(name, i), v })),
        };
      },
      { turn: "soon" },
    );
    // Settled too: then an earlier try had been carried out, and only its answer lost. While the record still says
    // nothing of what the rental brought, it is somebody else's to end.
    const left = this.around.mirror.get<RentalRecord>(key);
    if (outcome === "done" || (outcome === "settled" && (left === undefined || left.v.hosts !== undefined))) this.closed.add(name);
    if (this.closed.size > MOST_CLOSED) this.closed.delete(this.closed.values().next().value as string);
  }
}
