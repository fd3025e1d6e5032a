import type { Committer } from "../ledger/committer.js";
import type { Mirror } from "../ledger/mirror.js";
import type { Rentals } from "../ledger/rentals.js";
import { keys, rentalRecords, type RentalRecord } from "../ledger/records.js";
import type { Allotments } from "../parts/allotments.js";
import type { Leader } from "../parts/leader.js";
import type { Part } from "../parts/part.js";
import { NoReply } from "../platform/http.js";
import { sleep } from "../platform/clock.js";
import type { PeerApi } from "../peers/links.js";
import type { Rate } from "../platform/rate.js";
import type { Scope } from "../platform/scope.js";
import type { Settings } from "../settings/derived.js";
import type { Machine } from "../workers/machine.js";
import type { CloudApi, Offer } from "./cloud-client.js";
import { MOST_OF_AN_OFFER, offerName, planHires, type HirePlan } from "./plan.js";

const LIST_PAGE = 500;
const MAX_DELETE = 100;
/** However cheap it is, a machine nobody uses goes back in the end. */
const MOST_CHEAPNESS = 8;

/** Of the time a machine may idle, what is left if it is sought: handing it over costs a boot. */
const SOUGHT_PATIENCE = 0.5;

/** Of a part's machines, how many may be given up to have it place again. */
const UNHEARD_SHARE = 0.1;

/** Intervals without a report after which one is late; and after which one without notice counts as taken. */
const LATE_REPORTS = 1.6;
const UNHEARD_REPORTS = 3;

/** Reports for which an offer counts as sought: then whoever seeks it has asked again. */
const SOUGHT_REPORTS = 3;

/** Answer limits for which a job may wait for its turn to ask other parts before machines are rented for it. */
const WEIGH_ANSWERS = 2;

interface Refusal {
  until: number;
  pauseMs: number;
}

/**
 * Rents, returns and accounts for machines. A rental's name is recorded before
 * it is used and is never used again; what it brought is recorded before it gets
 * any work; a machine's record goes only after the cloud has confirmed its end.
 */
export class Fleet {
  private readonly refused = new Map<string, Refusal>();
  private readonly hiring = new Set<string>();
  private readonly strangers = new Map<string, number>();
  private readonly plans = new WeakMap<Part, { at: number; plan: HirePlan }>();
  /** Offers that other parts were refused, until when they count as sought. */
  private readonly sought = new Map<string, number>();
  private readonly gone = new Map<string, Set<string>>();
  private hires = 0;
  stats = { hired: 0, returned: 0, refused: 0, strays: 0 };

  constructor(
    private readonly settings: Settings,
    private readonly cloud: CloudApi,
    private readonly leader: Leader,
    private readonly allotments: Allotments,
    private readonly mirror: Mirror,
    private readonly rentals: Rentals,
    private readonly committer: Committer,
    private readonly rate: Rate,
    private readonly peers: PeerApi,
    private readonly scope: Scope,
  ) {}

  start(): void {
    const { reportMs, leaseMs } = this.settings.timing;
    this.scope.listen(this.peers.incoming$, ({ message }) => {
      if ("Sought" in message) this.sought.set(offerName(message.Sought), this.scope.clock.now() + reportMs * SOUGHT_REPORTS);
    });
    const lag = this.settings.platform.deployment.cloud.list_lag_s * 1000;
    this.scope.routine(
      "types",
      () => (this.leader.types.length === 0 ? reportMs / 5 : leaseMs * 3),
      () => this.refreshTypes(),
    );
    this.scope.routine(
      "rent",
      () => reportMs / 5,
      () => this.rent(),
    );
    this.scope.routine(
      "return",
      () => reportMs / 2,
      () => this.giveBack(),
    );
    this.scope.routine(
      "reconcile",
      () => Math.max(lag, reportMs) * 2,
      () => this.reconcile(),
    );
  }

  /** This process stood still: nobody could record meanwhile, for all it knows. */
  stoodStill(ms: number): void {
    for (const [host, since] of this.strangers) this.strangers.set(host, since + ms);
  }

  /** Checked at the moment of each act, not before a wait for it. */
  private leads(part: Part): boolean {
    return this.leader.sure() && this.leader.parts.get(part.id) === part;
  }

  private async paid(): Promise<void> {
    while (!this.rate.take()) await sleep(this.scope.clock, this.rate.waitMs());
  }

  private async refreshTypes(): Promise<void> {
    try {
      await this.paid();
      this.leader.setTypes(await this.cloud.types());
    } catch (error) {
      if (!(error instanceof NoReply)) throw error;
    }
  }

  private open(offer: Offer): boolean {
    const refusal = this.refused.get(offerName(offer));
    return refusal === undefined || refusal.until <= this.scope.clock.now();
  }

  private noteRefusal(offer: Offer): void {
    this.stats.refused++;
    const name = offerName(offer);
    const { reportMs, leaseMs } = this.settings.timing;
    const pauseMs = Math.min(leaseMs / 2, (this.refused.get(name)?.pauseMs ?? reportMs / 2) * 2);
    this.refused.set(name, { until: this.scope.clock.now() + pauseMs, pauseMs });
    // The cloud has no more: another part may hold some that lie idle.
    const { type, zone, spot } = offer;
    for (const node of this.settings.nodes) if (node !== this.settings.self) this.peers.send(node, { Sought: { type, zone, spot } });
  }

  // ---- renting

  private async rent(): Promise<void> {
    if (this.leader.silent() || this.leader.types.length === 0) return;
    for (const part of [...this.leader.parts.values()]) {
      // Rentals begun before, by us or by a former leader, are brought to an end first.
      let open = false;
      for (const [key, entry] of [...this.mirror.rows<RentalRecord>(keys.rentals)]) {
        if (entry.v.part !== part.id || entry.v.hosts !== undefined) continue;
        open = true;
        await this.carryOut(part, key.slice(keys.rentals.length), entry.v);
      }
      if (open || part.phase !== "serving") continue;
      const plan = this.plan(part);
      for (const { offer, count } of plan.wanted.values()) {
        const room = this.settings.mostMachines - this.rentals.count(part.id);
        if (room > 0) await this.begin(part, offer, Math.min(count, room));
      }
    }
  }

  /** One layout of the queue serves renting and returning alike. */
  private plan(part: Part): HirePlan {
    const now = this.scope.clock.now();
    const last = this.plans.get(part);
    if (last !== undefined && now - last.at < this.settings.timing.reportMs / 6) return last.plan;
    const plan = this.layOut(part, now);
    this.plans.set(part, { at: now, plan });
    return plan;
  }

  private layOut(part: Part, now: number): HirePlan {
    return planHires(part, {
      now,
      silentMs: this.settings.timing.silentMs,
      order: this.leader.order(),
      types: this.leader.types,
      open: (offer) => this.open(offer),
      allotment: (team) => this.allotments.held(part.id, team),
      soonMs: this.soonMs(),
      leftMs: ({ unit, runningAt }) => {
        const { history } = this.leader;
        return 1000 * (runningAt === null ? history.expectS(unit.spec) : history.leftS(unit.spec, (now - runningAt) / 1000));
      },
      weighMs: this.settings.operators.exchange.mode === "off" ? 0 : this.settings.operators.exchange.answer_limit * WEIGH_ANSWERS * 1000,
    });
  }

  /** Of the shortest boot; nothing where that is more than half of what some class may take to start: waiting would make it late. */
  private soonMs(): number {
    const { platform, operators } = this.settings;
    const soonS = Math.min(...this.leader.types.map((type) => type.bootS)) * operators.fleet.soon_per_boot;
    const aims = platform.deployment.objectives.map((aim) => (aim.kind === "wait" ? (aim.within_s ?? Infinity) : Infinity));
    return soonS <= Math.min(...aims) / 2 ? soonS * 1000 : 0;
  }

  private async begin(part: Part, offer: Offer, count: number): Promise<void> {
    const name = `${part.id}.${part.term}.${++this.hires}`;
    const value: RentalRecord = { part: part.id, ...offer, count: Math.min(count, MOST_OF_AN_OFFER), at: this.scope.clock.wall() };
    const key = keys.rental(name);
    const outcome = await this.committer.commit(
      "hire",
      () =>
        this.mirror.get(key) !== undefined || this.mirror.stamp(keys.owner(part.id)) !== part.term
          ? null
          : {
              conditions: [
                { k: key, stamp: 0 },
                { k: keys.owner(part.id), stamp: part.term },
              ],
              apply: [{ write: key, v: value }],
            },
      { shedAfterMs: this.settings.timing.reportMs },
    );
    if (outcome === "done") await this.carryOut(part, name, value);
  }

  private async carryOut(part: Part, name: string, hire: RentalRecord): Promise<void> {
    if (this.hiring.has(name) || this.leader.silent()) return;
    this.hiring.add(name);
    try {
      await this.paid();
      // Waiting for our turn may have taken longer than we may lead: whoever does now repeats the name.
      if (!this.leads(part)) return;
      const hosts = await this.cloud.hire(name, hire, hire.count);
      const offer: Offer = { type: hire.type, zone: hire.zone, spot: hire.spot };
      if (hosts === null || hosts.length < hire.count) this.noteRefusal(offer);
      else this.refused.delete(offerName(offer));
      await this.close(part, name, hire, hosts ?? []);
      if (hosts !== null) {
        this.stats.hired += hosts.length;
        this.scope.log.info({ part: part.id, hire: name, ...offer, asked: hire.count, got: hosts.length }, "machines rented");
      } else this.scope.log.info({ part: part.id, ...offer, asked: hire.count }, "no capacity");
    } catch (error) {
      if (!(error instanceof NoReply)) throw error;
      this.scope.log.debug({ hire: name, err: error.message }, "rental not answered; asked again under the same name");
    } finally {
      this.hiring.delete(name);
    }
  }

  private async close(part: Part, name: string, hire: RentalRecord, hosts: string[]): Promise<void> {
    const key = keys.rental(name);
    const at = this.scope.clock.wall();
    await this.committer.commit(
      "rented",
      () => {
        const entry = this.mirror.get<RentalRecord>(key);
        if (entry === undefined || entry.v.hosts !== undefined || this.mirror.stamp(keys.owner(part.id)) !== part.term) return null;
        const records = rentalRecords({ ...hire, at }, hosts, this.settings.state.valueKb);
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
  }

  // ---- returning

  private wantsReturn(part: Part, machine: Machine, needed: ReadonlySet<string>): string | null {
    const now = this.scope.clock.now();
    const type = this.leader.typeOf(machine.type);
    if (type === undefined || machine.deleting) return null;
    const { idle_per_boot, late_per_boot } = this.settings.operators.fleet;
    const bootMs = type.bootS * 1000;
    if (machine.lost) return "lost";
    if (this.holdsUpFence(part, machine)) return "unheard while fencing";
    if (part.phase === "serving" && this.seemsTaken(part, machine)) return machine.noticeAt === null ? "unheard and cheap" : "taken";
    if (!machine.up)
      return now - machine.hiredAt > Math.max(bootMs * late_per_boot, this.settings.timing.leaseMs) && machine.heardAt === -Infinity
        ? "never came up"
        : null;
    if (machine.placements.size > 0) return null;
    if (machine.draining) return "faulty";
    if (machine.noticeAt !== null) return "notice";
    // A gang's machines come up one by one: those that wait for the rest are not idle.
    if (needed.has(machine.host)) return null;
    // Work waits in another part for a machine like this one, and there are no more to rent.
    const sought = now < (this.sought.get(offerName(machine)) ?? -Infinity);
    const idleMs = bootMs * idle_per_boot * this.cheapness(machine) * (sought ? SOUGHT_PATIENCE : 1);
    if (part.phase === "serving" && now - machine.idleSince > idleMs) return sought ? "sought by another part" : "idle";
    return null;
  }

  /**
   * A machine that has shown no sign of the new term keeps the whole part from
   * placing until its lease is surely over, which may take two leases: most often
   * it is gone already. What is deleted is proven gone. If many are unheard, it is
   * this node that cannot reach them, so they are left alone.
   */
  private holdsUpFence(part: Part, machine: Machine): boolean {
    if (part.phase !== "fencing" || machine.fenced || this.scope.clock.now() - part.since < this.settings.timing.leaseMs / 4) return false;
    return this.few(part, (other) => !other.fenced);
  }

  /** So few that they can be given up; if there are more, or few machines in all, it may be this node that cannot reach them. */
  private few(part: Part, which: (machine: Machine) => boolean): boolean {
    let n = 0;
    for (const machine of part.machines.values()) if (which(machine)) n++;
    return n <= part.machines.size * UNHEARD_SHARE;
  }

  /**
   * Cheap machines are taken back all day long, and until a lease is surely over their
   * tasks cannot start elsewhere. Deleting the machine is proof at once. One that has
   * given notice has little to lose; of those that have not, only a few are given up,
   * and only cheap ones, after some reports more.
   */
  private seemsTaken(part: Part, machine: Machine): boolean {
    const { reportMs } = this.settings.timing;
    const now = this.scope.clock.now();
    if (!machine.up || machine.heardAt === -Infinity || now - part.since < reportMs * UNHEARD_REPORTS) return false;
    const unheard = (other: Machine, reports: number): boolean => other.up && now - other.heardAt > reportMs * reports;
    if (machine.noticeAt !== null) return unheard(machine, LATE_REPORTS);
    // All that are late count against it: a cut shows in one machine's reports first.
    return machine.spot && unheard(machine, UNHEARD_REPORTS) && this.few(part, (other) => unheard(other, LATE_REPORTS));
  }

  /** How much cheaper than the dearest machine this one is: the cheap may idle longer. */
  private cheapness(machine: Machine): number {
    const dearest = Math.max(...this.leader.types.map((t) => t.price));
    const price = this.leader.priceOf(machine);
    return price <= 0 ? MOST_CHEAPNESS : Math.min(MOST_CHEAPNESS, Math.max(1, dearest / price));
  }

  private async giveBack(): Promise<void> {
    if (!this.leader.sure()) return;
    for (const part of [...this.leader.parts.values()]) {
      const leaving: Machine[] = [];
      const { needed } = this.plan(part);
      for (const machine of part.machines.values()) {
        const reason = this.wantsReturn(part, machine, needed);
        if (reason === null || leaving.length >= MAX_DELETE) continue;
        machine.deleting = true;
        leaving.push(machine);
        this.scope.log.info({ part: part.id, host: machine.host, type: machine.type, spot: machine.spot, reason }, "machine returned");
      }
      if (leaving.length > 0) void this.remove(part, leaving);
    }
  }

  private async remove(part: Part, machines: Machine[]): Promise<void> {
    for (;;) {
      if (this.scope.closed || this.leader.parts.get(part.id) !== part) return;
      try {
        await this.paid();
        if (this.leads(part)) {
          await this.cloud.remove(machines.map((machine) => machine.host));
          break;
        }
        await sleep(this.scope.clock, this.settings.timing.reportMs);
      } catch (error) {
        if (!(error instanceof NoReply)) throw error;
        await sleep(this.scope.clock, this.settings.timing.reportMs);
      }
    }
    this.stats.returned += machines.length;
    // Confirmed gone, with everything on them: their tasks may start again.
    for (const machine of machines) this.leader.forgetMachine(part, machine);
    for (const { host } of machines) this.strike(host);
  }

  /** Takes a machine that is gone off its rental's record; those that go together share a write. */
  private strike(host: string): void {
    const key = this.rentals.get(host)?.key;
    if (key === undefined) return;
    const open = this.gone.get(key);
    if (open !== undefined) {
      open.add(host);
      return;
    }
    const hosts = new Set([host]);
    this.gone.set(key, hosts);
    const draft = () => {
      const entry = this.mirror.get<RentalRecord>(key);
      const before = Object.entries(entry?.v.hosts ?? {});
      const rest = before.filter(([name]) => !hosts.has(name));
      if (entry === undefined || rest.length === before.length) return null;
      return {
        conditions: [{ k: key, stamp: entry.stamp }],
        apply: [rest.length === 0 ? { remove: key } : { write: key, v: { ...entry.v, hosts: Object.fromEntries(rest) } }],
      };
    };
    void this.committer.commit("returned", draft).then(async (outcome) => {
      if (outcome === "shed") await sleep(this.scope.clock, this.settings.timing.reportMs);
      this.gone.delete(key);
      // Those that went while the write was under way.
      for (const name of hosts) this.strike(name);
    });
  }

  // ---- the machine list

  /** Looks for machines that stopped by themselves and for ones nobody expected. */
  private async reconcile(): Promise<void> {
    if (!this.mirror.loaded || !this.leader.sure() || this.leader.parts.size === 0) return;
    const lag = Math.max(1, this.settings.platform.deployment.cloud.list_lag_s) * 1000;
    const now = this.scope.clock.now();
    let from: string | undefined;
    const unknown = new Set<string>();
    const strays: string[] = [];
    try {
      for (;;) {
        await this.paid();
        const page = await this.cloud.list(from, LIST_PAGE);
        for (const item of page.machines) {
          const record = this.rentals.get(item.host);
          const part = record === undefined ? undefined : this.leader.parts.get(record.part);
          if (record === undefined) {
            unknown.add(item.host);
            const since = this.strangers.get(item.host) ?? now;
            this.strangers.set(item.host, since);
            // Not gone from a lagging list, not about to be recorded: nobody's.
            if (now - since > Math.max(lag * 4, this.settings.timing.leaseMs)) strays.push(item.host);
          } else if (part !== undefined && item.state === "failed") {
            const machine = part.machines.get(item.host);
            if (machine !== undefined && !machine.deleting) {
              machine.deleting = true;
              this.scope.log.info({ part: part.id, host: item.host }, "machine failed by itself");
              void this.remove(part, [machine]);
            }
          }
        }
        if (!page.more || page.machines.length === 0) break;
        from = page.machines[page.machines.length - 1]!.host;
      }
      for (const host of this.strangers.keys()) if (!unknown.has(host)) this.strangers.delete(host);
      if (strays.length > 0 && this.leader.parts.has(Math.min(...this.leader.parts.keys()))) {
        await this.mirror.fresh();
        const nobodys = strays.filter((host) => this.rentals.get(host) === undefined).slice(0, MAX_DELETE);
        await this.paid();
        if (!this.leader.sure()) return;
        await this.cloud.remove(nobodys);
        this.stats.strays += nobodys.length;
        this.scope.log.info({ hosts: nobodys }, "unexpected machines returned");
      }
    } catch (error) {
      if (!(error instanceof NoReply)) throw error;
    }
  }
}
