import { CallError } from "@thorntrail/protocol/errors";
import { type RentalRecord } from "../ledger/records.js";
import type { Partition } from "../partitions/partition.js";
import { sleep } from "../platform/clock.js";
import type { Machine } from "../workers/machine.js";
import { ownsPartition, MAX_DELETE_HOSTS, waitForRate, type FleetDependencies } from "./dependencies.js";
import type { OfferingAvailability } from "./offering-availability.js";
import type { RentalPlan } from "./plan.js";
import type { Renter } from "./renting.js";

/**
 * Maximum factor by which a low price extends the time for which a machine may idle, so that even the cheapest idle
 * machine is returned eventually.
 */
const MAX_CHEAPNESS = 8;

/**
 * Factor on the time for which a machine may idle if another partition seeks a machine of the same offering; not zero,
 * because handing a machine over costs a boot.
 */
const SOUGHT_IDLE_SHARE = 0.5;

/** Maximum share of a partition's machines that may be deleted so that placement can resume. */
const MAX_DELETED_SHARE = 0.1;

/**
 * Number of machines that must have reported the new owner's term before a single silent machine that delays fencing
 * is deleted. With a higher number, a partition of two machines would wait for a whole lease with all its tasks, only
 * to cover the rarer case that this node alone cannot reach one of them.
 */
const MIN_ANSWERS = 1;

/** Number of report intervals without a report after which a machine counts as late. */
const LATE_REPORTS = 1.6;
/**
 * Number of report intervals without a report after which a spot machine that gave no preemption notice counts as
 * preempted by the cloud.
 */
const SILENT_REPORTS = 3;

/** Numbers of a partition's machines that are unfenced, that have reported the current term, and that report late. */
interface Tally {
  unfenced: number;
  /** Machines that have reported the current owner's term. */
  answered: number;
  late: number;
}

/**
 * Returns whether `n` silent machines are few enough to be deleted; with more of them, or in a small partition, this
 * node itself may be unable to reach them.
 */
function isDeletableCount(partition: Partition, n: number): boolean {
  return n <= partition.machines.size * MAX_DELETED_SHARE;
}

/** Whether a machine that is up has not reported for more than `ms`. */
function silentFor(machine: Machine, now: number, ms: number): boolean {
  return machine.up && now - machine.lastReceivedAt > ms;
}

/** Returns machines to the cloud. A machine's record is removed only after the cloud has confirmed its deletion. */
export class Returner {
  private readonly removedHosts = new Map<string, Set<string>>();

  constructor(
    private readonly deps: FleetDependencies,
    private readonly availability: OfferingAvailability,
    private readonly renter: Renter,
    /** Returns whether the newest list of the cloud's machines reliably shows that the machine is gone. */
    private readonly isMissing: (partition: Partition, machine: Machine) => boolean,
  ) {}

  start(): void {
    this.deps.scope.routine(
      "return",
      () => this.deps.settings.timing.reportMs / 2,
      () => this.returnMachines(),
    );
  }

  /** Returns why the machine should be returned to the cloud; null if there is no reason to. */
  private returnReason(partition: Partition, machine: Machine, plan: RentalPlan, tally: Tally): string | null {
    const now = this.deps.scope.clock.now();
    const type = this.deps.leader.typeOf(machine.type);
    if (type === undefined || machine.deleting) return null;
    const { idle_per_boot, late_per_boot } = this.deps.settings.operators.fleet;
    const bootMs = type.bootS * 1000;
    if (machine.lost) return "lost";
    if (this.blocksFencing(partition, machine, tally)) return "silent while fencing";
    if (partition.phase === "serving" && this.seemsPreempted(partition, machine, tally))
      return machine.noticeAt === null ? "unheard and cheap" : "taken";
    if (!machine.up)
      return now - machine.rentedAt > Math.max(bootMs * late_per_boot, this.deps.settings.timing.leaseMs) &&
        machine.lastReceivedAt === -Infinity
        ? "never came up"
        : null;
    if (machine.placements.size > 0) return null;
    if (machine.draining) return "faulty";
    if (machine.noticeAt !== null) return "notice";
    // Machines needed for waiting tasks are kept: a gang's machines come up one by one, and those that wait for the
    // gang's other machines are not idle.
    if (plan.needed.has(machine.host)) return null;
    if (this.isLeftToGang(partition, machine, plan)) return "left to a gang of another part";
    const sought = this.availability.isSoughtByPeer(machine);
    const idleMs = bootMs * idle_per_boot * this.cheapness(machine) * (sought ? SOUGHT_IDLE_SHARE : 1);
    if (partition.phase === "serving" && now - machine.idleSince > idleMs) return sought ? "sought by another part" : "idle";
    return null;
  }

  /**
   * Whether a gang gives the machine, which nothing else here needs, up to a gang of another partition. It is returned without
   * the usual delay: that gang has waited long enough, and its other machines stand idle until it is complete.
   */
  private isLeftToGang(partition: Partition, machine: Machine, { givenUp }: RentalPlan): boolean {
    const idleMs = this.deps.scope.clock.now() - machine.idleSince;
    return partition.phase === "serving" && givenUp.has(machine.host) && idleMs > this.deps.settings.timing.reportMs;
  }

  /**
   * Whether the machine should be deleted because it blocks fencing. A machine that has not reported the new term
   * blocks placement in the whole partition until its lease has certainly expired, which may take two leases; usually
   * it is already gone, and deletion proves that. If many machines are silent, this node is probably cut off from
   * them, so they are kept. In a small partition one machine already exceeds the share; a single silent one is
   * deleted once others have reported the new term, which shows that this node is not cut off.
   */
  private blocksFencing(partition: Partition, machine: Machine, tally: Tally): boolean {
    const { scope, settings } = this.deps;
    if (partition.phase !== "fencing" || machine.fenced || scope.clock.now() - partition.takenOverAt < settings.timing.leaseMs / 4)
      return false;
    if (isDeletableCount(partition, tally.unfenced)) return true;
    // The cloud's list no longer shows the machine: it was preempted, or the former owner returned it and could no
    // longer record that.
    if (this.isMissing(partition, machine)) return true;
    // The lease of a silent machine would have expired by now, so this machine keeps reporting but does not receive
    // this controller's answers. It is deleted only if at least as many machines have shown the current term as are
    // unfenced.
    const { silentAfterMs, expiryMs } = settings.timing;
    if (scope.clock.now() - partition.takenOverAt > silentAfterMs + expiryMs && tally.answered >= tally.unfenced) return true;
    return tally.unfenced === 1 && tally.answered - Number(machine.token >= partition.term) >= MIN_ANSWERS;
  }

  /** Counts the partition's unfenced machines, those that have reported the current term, and those whose reports are late. */
  private tally(partition: Partition): Tally {
    const tally = { unfenced: 0, answered: 0, late: 0 };
    const { reportMs } = this.deps.settings.timing;
    const now = this.deps.scope.clock.now();
    for (const machine of partition.machines.values()) {
      if (!machine.fenced) tally.unfenced++;
      if (machine.token >= partition.term) tally.answered++;
      if (silentFor(machine, now, reportMs * LATE_REPORTS)) tally.late++;
    }
    return tally;
  }

  /**
   * Whether the cloud has probably preempted the machine. Spot machines are preempted frequently, and their tasks
   * cannot start elsewhere until their lease has certainly expired; deleting the machine proves immediately that they
   * have ended. A machine that gave notice is deleted as soon as its reports are late. Of the machines that gave no
   * notice, only a few are deleted, only spot machines, and only after more missed reports.
   */
  private seemsPreempted(partition: Partition, machine: Machine, tally: Tally): boolean {
    const { reportMs } = this.deps.settings.timing;
    const now = this.deps.scope.clock.now();
    if (!machine.up || machine.lastReceivedAt === -Infinity || now - partition.takenOverAt < reportMs * SILENT_REPORTS) return false;
    if (machine.noticeAt !== null) return silentFor(machine, now, reportMs * LATE_REPORTS);
    // All late machines are counted, not only those silent for as long as this one, because a network cut becomes
    // visible in one machine's reports first.
    return machine.spot && silentFor(machine, now, reportMs * SILENT_REPORTS) && isDeletableCount(partition, tally.late);
  }

  /**
   * Returns the factor by which this machine is cheaper than the most expensive type, from 1 to `MAX_CHEAPNESS`;
   * cheaper machines may idle longer.
   */
  private cheapness(machine: Machine): number {
    const maxPrice = Math.max(...this.deps.leader.types.map((t) => t.price));
    const price = this.deps.leader.priceOf(machine);
    return price <= 0 ? MAX_CHEAPNESS : Math.min(MAX_CHEAPNESS, Math.max(1, maxPrice / price));
  }

  private async returnMachines(): Promise<void> {
    if (!this.deps.leader.isSoleOwner()) return;
    for (const partition of [...this.deps.leader.partitions.values()]) {
      const leaving: Machine[] = [];
      const plan = this.renter.plan(partition);
      const tally = this.tally(partition);
      for (const machine of partition.machines.values()) {
        const reason = this.returnReason(partition, machine, plan, tally);
        if (reason === null || leaving.length >= MAX_DELETE_HOSTS) continue;
        machine.deleting = true;
        leaving.push(machine);
        this.deps.scope.log.info(
          { part: partition.id, host: machine.host, type: machine.type, spot: machine.spot, reason },
          "machine returned",
        );
      }
      if (leaving.length > 0) void this.remove(partition, leaving);
    }
  }

  /** Deletes the machines in the cloud, with retries while the partition is owned, then forgets them and updates their rental records. */
  async remove(partition: Partition, machines: Machine[]): Promise<void> {
    for (let failures = 0; ;) {
      if (this.deps.scope.closed || this.deps.leader.partitions.get(partition.id) !== partition) return;
      try {
        await waitForRate(this.deps);
        if (ownsPartition(this.deps, partition)) {
          await this.deps.cloud.remove(machines.map((machine) => machine.host));
          break;
        }
        await sleep(this.deps.scope.clock, this.deps.settings.timing.reportMs);
      } catch (error) {
        if (!(error instanceof CallError)) throw error;
        await this.deps.calls.of("cloud.delete").backOff(++failures);
      }
    }
    this.deps.stats.returned += machines.length;
    // The deletion is confirmed, so the tasks of these machines have ended and may be restarted.
    for (const machine of machines) this.deps.leader.forgetMachine(partition, machine);
    for (const { host } of machines) this.removeFromRecord(host);
  }

  /** Removes a deleted machine from its rental's record; machines of one rental that are deleted together share a write. */
  private removeFromRecord(host: string): void {
    const key = this.deps.rentals.get(host)?.key;
    if (key === undefined) return;
    const pendingHosts = this.removedHosts.get(key);
    if (pendingHosts !== undefined) {
      pendingHosts.add(host);
      return;
    }
    const hosts = new Set([host]);
    this.removedHosts.set(key, hosts);
    const draft = () => {
      const entry = this.deps.replica.get<RentalRecord>(key);
      const hostsBefore = Object.entries(entry?.v.hosts ?? {});
      const remaining = hostsBefore.filter(([name]) => !hosts.has(name));
      if (entry === undefined || remaining.length === hostsBefore.length) return null;
      return {
        conditions: [{ k: key, stamp: entry.stamp }],
        apply: [remaining.length === 0 ? { remove: key } : { write: key, v: { ...entry.v, hosts: Object.fromEntries(remaining) } }],
      };
    };
    void this.deps.committer.commit("returned", draft).then(async (outcome) => {
      if (outcome === "shed") await sleep(this.deps.scope.clock, this.deps.settings.timing.reportMs);
      this.removedHosts.delete(key);
      // Handles machines that were added while the write was in progress, or whose write was shed.
      for (const name of hosts) this.removeFromRecord(name);
    });
  }
}
