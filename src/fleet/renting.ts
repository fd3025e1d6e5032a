import type { MachineOffering } from "@thorntrail/protocol/cloud";
import { CallError } from "@thorntrail/protocol/errors";
import { keys, rentalRecords, type RentalRecord } from "../ledger/records.js";
import type { Partition } from "../partitions/partition.js";
import { ownsPartition, waitForRate, type FleetDependencies } from "./dependencies.js";
import { GangClaims } from "./gang-claims.js";
import type { OfferingAvailability } from "./offering-availability.js";
import { MAX_RENTAL_COUNT, planRentals, type RentalPlan } from "./plan.js";

/**
 * Number of completed rentals whose names are kept: many times the number that can be requested from the cloud while
 * a delayed write of a rental record is in transit.
 */
const MAX_COMPLETED_RENTALS = 1000;

/**
 * Number of bid timeouts (`answer_limit`) for which no machine is rented for a new job, which may have to wait before
 * it can request bids from other partitions.
 */
const BID_WAIT_ANSWER_LIMITS = 2;

/**
 * Rents the machines that the queue needs. A rental's name is recorded before the cloud is
 * called and is never reused; the rented machines are recorded before they get any work.
 */
export class Renter {
  private readonly inProgress = new Set<string>();
  private readonly plans = new WeakMap<Partition, { at: number; plan: RentalPlan }>();
  private rentalCount = 0;
  private readonly claims: GangClaims;
  /**
   * Names of the newest rentals whose result has been recorded. They need not survive a restart: only this incarnation
   * can write rental records under its terms.
   */
  private readonly completed = new Set<string>();

  constructor(
    private readonly deps: FleetDependencies,
    private readonly availability: OfferingAvailability,
  ) {
    this.claims = new GangClaims(deps, availability, (partition) => this.plans.get(partition)?.plan.incompleteGangs ?? []);
  }

  start(): void {
    this.claims.start();
    this.deps.scope.routine(
      "rent",
      () => this.deps.settings.timing.reportMs / 5,
      () => this.rent(),
    );
  }

  private async rent(): Promise<void> {
    if (this.deps.leader.isSilent() || this.deps.leader.types.length === 0) return;
    for (const partition of [...this.deps.leader.partitions.values()]) {
      // Rentals that this controller or a former owner began earlier are completed before new ones are begun.
      let pending = false;
      for (const [key, record] of this.deps.rentals.pendingRentals(partition.id)) {
        pending = true;
        await this.executeRental(partition, key.slice(keys.rentals.length), record);
      }
      if (pending || partition.phase !== "serving") continue;
      // Nothing is rented while this process is overloaded: each machine adds reports, which are never shed because
      // they renew leases.
      if (this.deps.overload.sheds("growth")) continue;
      const plan = this.plan(partition);
      for (const { offer, count } of plan.toRent.values()) {
        const freeMachines = this.deps.settings.maxMachines - this.deps.rentals.count(partition.id);
        if (freeMachines > 0) await this.beginRental(partition, offer, Math.min(count, freeMachines));
      }
    }
  }

  /** Returns the partition's rental plan, which renting and returning share. */
  plan(partition: Partition): RentalPlan {
    const now = this.deps.scope.clock.now();
    const last = this.plans.get(partition);
    if (last !== undefined && now - last.at < this.deps.settings.timing.reportMs / 6) return last.plan;
    const plan = this.deps.scope.costs.charge("planning", () => this.makePlan(partition, now));
    this.plans.set(partition, { at: now, plan });
    return plan;
  }

  private makePlan(partition: Partition, now: number): RentalPlan {
    return planRentals(partition, {
      now,
      silentMs: this.deps.settings.timing.silentMs,
      order: this.deps.leader.queueOrder(),
      types: this.deps.leader.types,
      isAvailable: (offer) => this.availability.isAvailable(offer),
      quotaShare: (team) => this.deps.quotaShares.grantedShare(partition.id, team),
      givesWayIn: this.claims.givesWayIn(partition),
      freeSoonMs: this.freeSoonMs(),
      remainingMs: ({ taskSet, runningAt }) => {
        const { history } = this.deps.leader;
        return 1000 * history.remainingRunS(taskSet.spec, runningAt === null ? 0 : (now - runningAt) / 1000);
      },
      migrationGraceMs:
        this.deps.settings.operators.exchange.mode === "off"
          ? 0
          : this.deps.settings.operators.exchange.answer_limit * BID_WAIT_ANSWER_LIMITS * 1000,
    });
  }

  /**
   * Time in ms within which capacity that becomes free counts as free already: a multiple of the shortest boot time,
   * or 0 if that exceeds half of the tightest objective for the time to start, because waiting for capacity would
   * then make jobs late.
   */
  private freeSoonMs(): number {
    const { platform, operators } = this.deps.settings;
    const bootWaitS = Math.min(...this.deps.leader.types.map((type) => type.bootS)) * operators.fleet.soon_per_boot;
    const objectivesS = platform.deployment.objectives.map((objective) =>
      objective.kind === "wait" ? (objective.within_s ?? Infinity) : Infinity,
    );
    return bootWaitS <= Math.min(...objectivesS) / 2 ? bootWaitS * 1000 : 0;
  }

  /** Records a rental in the state service under a name that was never used before, then requests it from the cloud. */
  private async beginRental(partition: Partition, offering: MachineOffering, count: number): Promise<void> {
    const name = `${partition.id}.${partition.term}.${++this.rentalCount}`;
    const value: RentalRecord = {
      part: partition.id,
      ...offering,
      count: Math.min(count, MAX_RENTAL_COUNT),
      at: this.deps.scope.clock.wall(),
    };
    const key = keys.rental(name);
    const outcome = await this.deps.committer.commit(
      "hire",
      () =>
        this.deps.replica.get(key) !== undefined || this.deps.replica.stamp(keys.owner(partition.id)) !== partition.term
          ? null
          : {
              conditions: [
                { k: key, stamp: 0 },
                { k: keys.owner(partition.id), stamp: partition.term },
              ],
              apply: [{ write: key, v: value }],
            },
      { shedAfterMs: this.deps.settings.timing.reportMs },
    );
    if (outcome === "done") await this.executeRental(partition, name, value);
  }

  /** Calls the cloud for a recorded rental and records the result. Does nothing if the rental is already in progress. */
  private async executeRental(partition: Partition, name: string, rental: RentalRecord): Promise<void> {
    if (this.inProgress.has(name) || this.deps.leader.isSilent()) return;
    this.inProgress.add(name);
    try {
      await waitForRate(this.deps);
      // Ownership may have ended while waiting for the rate limit; the new owner then repeats the rental under the same name.
      if (!ownsPartition(this.deps, partition)) return;
      // The rental is already completed, and a late copy of an earlier write has restored its record: the record is
      // removed again without calling the cloud.
      if (this.completed.has(name)) return await this.recordRental(partition, name, rental, []);
      const hosts = await this.deps.cloud.rent(name, rental, rental.count);
      const offer: MachineOffering = { type: rental.type, zone: rental.zone, spot: rental.spot };
      if (hosts === null || hosts.length < rental.count) this.availability.recordRefusal(offer);
      else this.availability.recordGrant(offer);
      await this.recordRental(partition, name, rental, hosts ?? []);
      if (hosts !== null) {
        this.deps.stats.rented += hosts.length;
        this.deps.scope.log.info({ part: partition.id, hire: name, ...offer, asked: rental.count, got: hosts.length }, "machines rented");
      } else this.deps.scope.log.info({ part: partition.id, ...offer, asked: rental.count }, "no capacity");
    } catch (error) {
      if (!(error instanceof CallError)) throw error;
      this.deps.scope.log.debug({ hire: name, err: error.message }, "rental not answered; retrying under the same name");
      await this.deps.calls.of("cloud.hire").backOff();
    } finally {
      this.inProgress.delete(name);
    }
  }

  /** Records the hosts of a completed rental, or removes its record if there are none. */
  private async recordRental(partition: Partition, name: string, rental: RentalRecord, hosts: string[]): Promise<void> {
    const key = keys.rental(name);
    const at = this.deps.scope.clock.wall();
    const outcome = await this.deps.committer.commit(
      "rented",
      () => {
        const entry = this.deps.replica.get<RentalRecord>(key);
        if (entry === undefined || entry.v.hosts !== undefined || this.deps.replica.stamp(keys.owner(partition.id)) !== partition.term)
          return null;
        const records = rentalRecords({ ...rental, at }, hosts, this.deps.settings.state.valueKb);
        return {
          conditions: [
            { k: key, stamp: entry.stamp },
            { k: keys.owner(partition.id), stamp: partition.term },
            ...records.slice(1).map((_, i) => ({ k: keys.rental(name, i + 1), stamp: 0 })),
          ],
          apply: records.length === 0 ? [{ remove: key }] : records.map((v, i) => ({ write: keys.rental(name, i), v })),
        };
      },
      { priority: "soon" },
    );
    // `settled` means that there was nothing left to write, usually because an earlier attempt at the transaction was
    // applied and only its answer lost. A record that still lists no hosts is left for another owner to complete.
    const remaining = this.deps.replica.get<RentalRecord>(key);
    if (outcome === "done" || (outcome === "settled" && (remaining === undefined || remaining.v.hosts !== undefined)))
      this.completed.add(name);
    if (this.completed.size > MAX_COMPLETED_RENTALS) this.completed.delete(this.completed.values().next().value as string);
  }
}
