/** Transfers of team quota between partitions. */
import { keys, type QuotaShareRecord } from "../ledger/records.js";
import { quotaShareOf, type Partition, type Usage } from "../partitions/partition.js";
import type { QuotaRequest } from "../peers/messages.js";
import type { QuotaShortage } from "../queue/scheduling-cycle.js";
import { liveOwnerOf, unusedQuota, type ExchangeDependencies } from "./dependencies.js";

/**
 * Interval between the turns of two partitions that give quota for the same request, as a fraction of the report
 * interval: longer than a transaction usually takes.
 */
const TURN_INTERVAL_SHARE = 1 / 50;

/** A quota request from another partition that waits until it is the giving partition's turn to transfer quota. */
interface PendingQuotaRequest {
  givingPartition: Partition;
  request: QuotaRequest;
  /** Granted share of the requesting partition when the request arrived. */
  grantedBefore: Usage;
}

/**
 * Transfers a team's quota between partitions. A partition with a shortage sends a request to all others. Those with
 * unused quota give in turn, the one with the largest share first, and only what is still needed by then. They take
 * turns because all shares of a team are in one record, so that concurrent writes would make each other's transactions
 * fail.
 */
export class QuotaTransfers {
  /** When the next quota request may be sent, by requesting partition and team. */
  private readonly nextRequestAt = new Map<string, number>();
  /**
   * The newest request for each combination of giving partition, team and requesting partition, until it is the
   * giving partition's turn.
   */
  private readonly pendingRequests = new Map<string, PendingQuotaRequest>();

  constructor(private readonly dependencies: ExchangeDependencies) {}

  /** Starts sending a quota request for each quota shortage that the owned partitions report. */
  start(): void {
    this.dependencies.scope.listen(this.dependencies.leader.quotaShortage$, ({ partition, team, want: shortage }) =>
      this.requestQuota(partition, team, shortage),
    );
  }

  private requestQuota(partition: Partition, team: string, shortage: QuotaShortage): void {
    const now = this.dependencies.scope.clock.now();
    const label = `${partition.id}|${team}`;
    if (now < (this.nextRequestAt.get(label) ?? 0)) return;
    this.nextRequestAt.set(label, now + this.dependencies.settings.timing.reportMs / 2);
    for (let id = 0; id < this.dependencies.settings.nodes.length; id++) {
      const owner = liveOwnerOf(this.dependencies, id);
      if (id !== partition.id && owner !== null)
        this.dependencies.peers.send(owner, {
          Want: {
            part: partition.id,
            team,
            cpus: shortage.cpus,
            gpus: shortage.gpus,
            nowCpus: shortage.fitsNow.cpus,
            nowGpus: shortage.fitsNow.gpus,
          },
        });
    }
  }

  /** Schedules a quota transfer from each owned partition to the requesting one, when it is the owned partition's turn. */
  onQuotaRequest(request: QuotaRequest): void {
    for (const partition of this.dependencies.leader.partitions.values()) {
      if (partition.id === request.part || partition.phase !== "serving") continue;
      const label = `${partition.id}|${request.team}|${request.part}`;
      const isWaiting = this.pendingRequests.has(label);
      this.pendingRequests.set(label, {
        givingPartition: partition,
        request,
        grantedBefore: this.grantedShare(request.part, request.team),
      });
      if (isWaiting) continue;
      const waitMs = this.givingOrder(partition.id, request) * this.dependencies.settings.timing.reportMs * TURN_INTERVAL_SHARE;
      if (waitMs === 0) this.transferQuota(label);
      else this.dependencies.scope.clock.after(waitMs, () => this.transferQuota(label));
    }
  }

  private quotaRecord(team: string): QuotaShareRecord | undefined {
    return this.dependencies.replica.get<QuotaShareRecord>(keys.quotaShare(team))?.v;
  }

  private grantedShare(partition: number, team: string): Usage {
    return quotaShareOf(this.quotaRecord(team), partition);
  }

  /**
   * Returns how many partitions give quota for the request before `giver`: those with a larger share, or an equal one
   * and a lower number. The order is the same at all nodes, since they read the same record.
   */
  private givingOrder(giver: number, { part: partition, team, cpus }: QuotaRequest): number {
    const quotaRecord = this.quotaRecord(team);
    if (quotaRecord === undefined) return 0;
    const shares = cpus > 0 ? quotaRecord.cpus : quotaRecord.gpus;
    const ownShare = shares[giver] ?? 0;
    const isBefore = (share: number | null, id: number): boolean => (share ?? 0) > ownShare || ((share ?? 0) === ownShare && id < giver);
    return shares.filter((share, id) => id !== giver && id !== partition && isBefore(share, id)).length;
  }

  /** Transfers the quota that the requesting partition still needs and the giving one can spare. */
  private transferQuota(label: string): void {
    const pending = this.pendingRequests.get(label);
    this.pendingRequests.delete(label);
    if (pending === undefined || this.dependencies.scope.closed) return;
    const { givingPartition: partition, request, grantedBefore } = pending;
    // Ownership of the partition may have been lost while the request waited for its turn.
    if (this.dependencies.leader.partitions.get(partition.id) !== partition || partition.phase !== "serving") return;
    const remaining = this.remainingRequest(request, grantedBefore);
    this.dependencies.quotaShares.transfer(partition, request.part, request.team, remaining, this.availableQuota(partition, remaining));
  }

  /** Returns the request reduced by what the requesting partition has been granted since it arrived. */
  private remainingRequest(request: QuotaRequest, grantedBefore: Usage): QuotaRequest {
    const granted = this.grantedShare(request.part, request.team);
    const received = (resource: "cpus" | "gpus"): number => {
      const more = granted[resource] - grantedBefore[resource];
      return Number.isFinite(more) ? Math.max(0, more) : 0;
    };
    const reduce = (amount: number, resource: "cpus" | "gpus"): number => Math.max(0, amount - received(resource));
    return {
      ...request,
      ...{ cpus: reduce(request.cpus, "cpus"), nowCpus: reduce(request.nowCpus, "cpus") },
      ...{ gpus: reduce(request.gpus, "gpus"), nowGpus: reduce(request.nowGpus, "gpus") },
    };
  }

  /** Returns how much of the team's quota the partition can give. */
  private availableQuota(partition: Partition, { team, nowCpus, nowGpus }: QuotaRequest): Usage {
    // Quota for tasks that wait here because of missing capacity is unused as well, so it
    // may go to a partition that has capacity for the team now.
    const unused = unusedQuota(this.dependencies, partition, team);
    const available = { ...unused };
    for (const taskSet of partition.taskSets.values()) {
      if (taskSet.spec.team !== team) continue;
      available.cpus -= taskSet.spec.cpus * taskSet.waiting.length;
      available.gpus -= taskSet.spec.gpus * taskSet.waiting.length;
    }
    return {
      cpus: Math.max(available.cpus, Math.min(unused.cpus, nowCpus)),
      gpus: Math.max(available.gpus, Math.min(unused.gpus, nowGpus)),
    };
  }
}
