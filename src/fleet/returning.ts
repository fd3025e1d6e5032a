import { NoReply } from "@thorntrail/protocol/errors";
import { type RentalRecord } from "../ledger/records.js";
import type { Part } from "../parts/part.js";
import { sleep } from "../platform/clock.js";
import type { Machine } from "../workers/machine.js";
import { leads, MAX_DELETE, paid, type FleetAround } from "./around.js";
import type { Offers } from "./offers.js";
import type { Renting } from "./renting.js";

/** However cheap it is, a machine nobody uses goes back in the end. */
const MOST_CHEAPNESS = 8;

/** Of the time a machine may idle, what is left if it is sought: handing it over costs a boot. */
const SOUGHT_PATIENCE = 0.5;

/** Of a part's machines, how many may be given up to have it place again. */
const UNHEARD_SHARE = 0.1;

/**
 * Machines that must have answered the new term before a single silent one is given up. Asking
 * for more left parts of two waiting for a whole lease, with everything in them, to spare the
 * rarer case that this very node reaches one of its machines and not the other.
 */
const LEAST_ANSWERS = 1;

/** Intervals without a report after which one is late; and after which one without notice counts as taken. */
const LATE_REPORTS = 1.6;
const UNHEARD_REPORTS = 3;

/** How many of a part's machines are in each state. */
interface Tally {
  unfenced: number;
  /** Have shown this very term. */
  answered: number;
  late: number;
}

/** So few that they can be given up; if there are more, or few machines in all, it may be this node that cannot reach them. */
function few(part: Part, n: number): boolean {
  return n <= part.machines.size * UNHEARD_SHARE;
}

function unheard(machine: Machine, now: number, ms: number): boolean {
  return machine.up && now - machine.heardAt > ms;
}

/** Returns machines; a machine's record goes only after the cloud has confirmed its end. */
export class Returning {
  private readonly gone = new Map<string, Set<string>>();

  constructor(
    private readonly around: FleetAround,
    private readonly offers: Offers,
    private readonly renting: Renting,
    /** A list that can be believed says that the machine is gone. */
    private readonly absent: (part: Part, machine: Machine) => boolean,
  ) {}

  start(): void {
    this.around.scope.routine(
      "return",
      () => this.around.settings.timing.reportMs / 2,
      () => this.giveBack(),
    );
  }

  private wantsReturn(part: Part, machine: Machine, needed: ReadonlySet<string>, tally: Tally): string | null {
    const now = this.around.scope.clock.now();
    const type = this.around.leader.typeOf(machine.type);
    if (type === undefined || machine.deleting) return null;
    const { idle_per_boot, late_per_boot } = this.around.settings.operators.fleet;
    const bootMs = type.bootS * 1000;
    if (machine.lost) return "lost";
    if (this.holdsUpFence(part, machine, tally)) return "unheard while fencing";
    if (part.phase === "serving" && this.seemsTaken(part, machine, tally)) return machine.noticeAt === null ? "unheard and cheap" : "taken";
    if (!machine.up)
      return now - machine.hiredAt > Math.max(bootMs * late_per_boot, this.around.settings.timing.leaseMs) && machine.heardAt === -Infinity
        ? "never came up"
        : null;
    if (machine.placements.size > 0) return null;
    if (machine.draining) return "faulty";
    if (machine.noticeAt !== null) return "notice";
    // A gang's machines come up one by one: those that wait for the rest are not idle.
    if (needed.has(machine.host)) return null;
    const sought = this.offers.sought(machine);
    const idleMs = bootMs * idle_per_boot * this.cheapness(machine) * (sought ? SOUGHT_PATIENCE : 1);
    if (part.phase === "serving" && now - machine.idleSince > idleMs) return sought ? "sought by another part" : "idle";
    return null;
  }

  /**
   * A machine that has shown no sign of the new term keeps the whole part from
   * placing until its lease is surely over, which may take two leases: most often
   * it is gone already. What is deleted is proven gone. If many are unheard, it is
   * this node that cannot reach them, so they are left alone. In a small part one
   * machine is more than a few; it alone goes once others have answered this very
   * term, which shows that it is not this node that is cut off.
   */
  private holdsUpFence(part: Part, machine: Machine, tally: Tally): boolean {
    const { scope, settings } = this.around;
    if (part.phase !== "fencing" || machine.fenced || scope.clock.now() - part.since < settings.timing.leaseMs / 4) return false;
    if (few(part, tally.unfenced)) return true;
    // Returned by the former leader, who could not write it down any more, or taken.
    if (this.absent(part, machine)) return true;
    // It has reported all the time and never shown our term: it does not hear us. What it may run is not more than those that do.
    const { silentAfterMs, expiryMs } = settings.timing;
    if (scope.clock.now() - part.since > silentAfterMs + expiryMs && tally.answered >= tally.unfenced) return true;
    return tally.unfenced === 1 && tally.answered - Number(machine.token >= part.term) >= LEAST_ANSWERS;
  }

  /** One look at all machines of a part, for all of them. */
  private tally(part: Part): Tally {
    const tally = { unfenced: 0, answered: 0, late: 0 };
    const { reportMs } = this.around.settings.timing;
    const now = this.around.scope.clock.now();
    for (const machine of part.machines.values()) {
      if (!machine.fenced) tally.unfenced++;
      if (machine.token >= part.term) tally.answered++;
      if (unheard(machine, now, reportMs * LATE_REPORTS)) tally.late++;
    }
    return tally;
  }

  /**
   * Cheap machines are taken back all day long, and until a lease is surely over their
   * tasks cannot start elsewhere. Deleting the machine is proof at once. One that has
   * given notice has little to lose; of those that have not, only a few are given up,
   * and only cheap ones, after some reports more.
   */
  private seemsTaken(part: Part, machine: Machine, tally: Tally): boolean {
    const { reportMs } = this.around.settings.timing;
    const now = this.around.scope.clock.now();
    if (!machine.up || machine.heardAt === -Infinity || now - part.since < reportMs * UNHEARD_REPORTS) return false;
    if (machine.noticeAt !== null) return unheard(machine, now, reportMs * LATE_REPORTS);
    // All that are late count against it: a cut shows in one machine's reports first.
    return machine.spot && unheard(machine, now, reportMs * UNHEARD_REPORTS) && few(part, tally.late);
  }

  /** How much cheaper than the dearest machine this one is: the cheap may idle longer. */
  private cheapness(machine: Machine): number {
    const dearest = Math.max(...this.around.leader.types.map((t) => t.price));
    const price = this.around.leader.priceOf(machine);
    return price <= 0 ? MOST_CHEAPNESS : Math.min(MOST_CHEAPNESS, Math.max(1, dearest / price));
  }

  private async giveBack(): Promise<void> {
    if (!this.around.leader.sure()) return;
    for (const part of [...this.around.leader.parts.values()]) {
      const leaving: Machine[] = [];
      const { needed } = this.renting.plan(part);
      const tally = this.tally(part);
      for (const machine of part.machines.values()) {
        const reason = this.wantsReturn(part, machine, needed, tally);
        if (reason === null || leaving.length >= MAX_DELETE) continue;
        machine.deleting = true;
        leaving.push(machine);
        this.around.scope.log.info(
          { part: part.id, host: machine.host, type: machine.type, spot: machine.spot, reason },
          "machine returned",
        );
      }
      if (leaving.length > 0) void this.remove(part, leaving);
    }
  }

  async remove(part: Part, machines: Machine[]): Promise<void> {
    for (let failures = 0; ;) {
      if (this.around.scope.closed || this.around.leader.parts.get(part.id) !== part) return;
      try {
        await paid(this.around);
        if (leads(this.around, part)) {
          await this.around.cloud.remove(machines.map((machine) => machine.host));
          break;
        }
        await sleep(this.around.scope.clock, this.around.settings.timing.reportMs);
      } catch (error) {
        if (!(error instanceof NoReply)) throw error;
        await this.around.calls.of("cloud.delete").rest(++failures);
      }
    }
    this.around.stats.returned += machines.length;
    // Confirmed gone, with everything on them: their tasks may start again.
    for (const machine of machines) this.around.leader.forgetMachine(part, machine);
    for (const { host } of machines) this.strike(host);
  }

  /** Takes a machine that is gone off its rental's record; those that go together share a write. */
  private strike(host: string): void {
    const key = this.around.rentals.get(host)?.key;
    if (key === undefined) return;
    const open = this.gone.get(key);
    if (open !== undefined) {
      open.add(host);
      return;
    }
    const hosts = new Set([host]);
    this.gone.set(key, hosts);
    const draft = () => {
      const entry = this.around.mirror.get<RentalRecord>(key);
      const before = Object.entries(entry?.v.hosts ?? {});
      const rest = before.filter(([name]) => !hosts.has(name));
      if (entry === undefined || rest.length === before.length) return null;
      return {
        conditions: [{ k: key, stamp: entry.stamp }],
        apply: [rest.length === 0 ? { remove: key } : { write: key, v: { ...entry.v, hosts: Object.fromEntries(rest) } }],
      };
    };
    void this.around.committer.commit("returned", draft).then(async (outcome) => {
      if (outcome === "shed") await sleep(this.around.scope.clock, this.around.settings.timing.reportMs);
      this.gone.delete(key);
      // Those that went while the write was under way.
      for (const name of hosts) this.strike(name);
    });
  }
}
