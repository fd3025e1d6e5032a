import { CallError } from "@thorntrail/protocol/errors";
import type { Partition } from "../partitions/partition.js";
import type { Machine } from "../workers/machine.js";
import { MAX_DELETE_HOSTS, waitForRate, type FleetDependencies } from "./dependencies.js";
import { missingFromListing, type Listing } from "./listing.js";
import type { Returner } from "./returning.js";

const LIST_PAGE = 500;

/**
 * Compares the cloud's list of machines with the rental records, to find machines that failed or that no record names.
 */
export class Reconciler {
  private readonly unregisteredSince = new Map<string, number>();
  /** The newest list of the cloud's machines that was read completely; null before the first. */
  private listing: Listing | null = null;

  constructor(
    private readonly deps: FleetDependencies,
    private readonly returner: Returner,
  ) {}

  start(): void {
    const { scope, settings } = this.deps;
    const lagMs = settings.platform.deployment.cloud.list_lag_s * 1000;
    scope.routine(
      "reconcile",
      // While a partition is being fenced, lists are read more often: they show machines that are gone.
      () => Math.max(lagMs, settings.timing.reportMs) * (this.fencing() ? 1 : 2),
      () => this.reconcile(),
    );
  }

  private fencing(): boolean {
    for (const partition of this.deps.leader.partitions.values()) if (partition.phase === "fencing") return true;
    return false;
  }

  /** Returns whether the newest list of the cloud's machines reliably shows that the machine is gone. */
  isMissing(partition: Partition, machine: Machine): boolean {
    return this.listing !== null && missingFromListing(this.listing, partition, machine, this.deps.settings);
  }

  /**
   * Extends the grace time of unregistered machines (those that no rental record names) by the length of a stall of
   * this process, which may have missed rental records written meanwhile.
   */
  onStall(ms: number): void {
    for (const [host, since] of this.unregisteredSince) this.unregisteredSince.set(host, since + ms);
  }

  private async reconcile(): Promise<void> {
    if (!this.deps.replica.loaded || !this.deps.leader.isSoleOwner() || this.deps.leader.partitions.size === 0) return;
    const lagMs = Math.max(1, this.deps.settings.platform.deployment.cloud.list_lag_s) * 1000;
    const now = this.deps.scope.clock.now();
    let from: string | undefined;
    const unregistered = new Set<string>();
    const expired: string[] = [];
    const hosts = new Set<string>();
    try {
      for (;;) {
        await waitForRate(this.deps);
        const page = await this.deps.cloud.list(from, LIST_PAGE);
        for (const listed of page.machines) {
          hosts.add(listed.host);
          const record = this.deps.rentals.get(listed.host);
          const partition = record === undefined ? undefined : this.deps.leader.partitions.get(record.partition);
          if (record === undefined) {
            unregistered.add(listed.host);
            const since = this.unregisteredSince.get(listed.host) ?? now;
            this.unregisteredSince.set(listed.host, since);
            // No rental record has named the machine for longer than the cloud's list may lag and a rental may take
            // to be recorded.
            if (now - since > Math.max(lagMs * 4, this.deps.settings.timing.leaseMs)) expired.push(listed.host);
          } else if (partition !== undefined && listed.state === "failed") {
            const machine = partition.machines.get(listed.host);
            if (machine !== undefined && !machine.deleting) {
              machine.deleting = true;
              this.deps.scope.log.info({ part: partition.id, host: listed.host }, "machine failed");
              void this.returner.remove(partition, [machine]);
            }
          }
        }
        if (!page.more || page.machines.length === 0) break;
        from = page.machines[page.machines.length - 1]!.host;
      }
      this.listing = { readAt: now, hosts };
      for (const host of this.unregisteredSince.keys()) if (!unregistered.has(host)) this.unregisteredSince.delete(host);
      if (expired.length > 0 && this.deps.leader.partitions.has(Math.min(...this.deps.leader.partitions.keys()))) {
        await this.deps.replica.refresh();
        const toDelete = expired.filter((host) => this.deps.rentals.get(host) === undefined).slice(0, MAX_DELETE_HOSTS);
        await waitForRate(this.deps);
        if (!this.deps.leader.isSoleOwner()) return;
        await this.deps.cloud.remove(toDelete);
        this.deps.stats.unregistered += toDelete.length;
        this.deps.scope.log.info({ hosts: toDelete }, "unregistered machines deleted");
      }
    } catch (error) {
      if (!(error instanceof CallError)) throw error;
    }
  }
}
