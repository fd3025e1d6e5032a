/** Dependencies of the exchange (the search for better partitions for waiting jobs), and helpers that its modules share. */
import type { GroupCommitter } from "../ledger/group-committer.js";
import type { StateReplica } from "../ledger/state-replica.js";
import type { QuotaShares } from "../partitions/quota-shares.js";
import type { Leader } from "../partitions/leader.js";
import type { Ownership } from "../partitions/ownership.js";
import { usageOfTeam, type Partition, type Usage } from "../partitions/partition.js";
import type { OverloadMonitor } from "../overload/overload.js";
import type { PeerApi } from "../peers/links.js";
import type { JobDependencies } from "../pipelines/job-dependencies.js";
import type { Scope } from "../platform/scope.js";
import type { EstimateContext } from "../queue/estimate.js";
import { PREEMPT_AFTER_PHI } from "../queue/preempt.js";
import type { Settings } from "../settings/derived.js";

/** Dependencies of the exchange. */
export interface ExchangeDependencies {
  settings: Settings;
  incarnation: string;
  leader: Leader;
  ownership: Ownership;
  quotaShares: QuotaShares;
  replica: StateReplica;
  needs: JobDependencies;
  committer: GroupCommitter;
  peers: PeerApi;
  overload: OverloadMonitor;
  scope: Scope;
}

/** Returns the operators' settings of the exchange. */
export function exchangeSettings({ settings }: ExchangeDependencies): Settings["operators"]["exchange"] {
  return settings.operators.exchange;
}

/** Returns the inputs of wait estimates as of now. */
export function estimateContext({ scope, settings, leader }: ExchangeDependencies): EstimateContext {
  return {
    now: scope.clock.now(),
    silentMs: settings.timing.silentMs,
    order: leader.queueOrder(),
    history: leader.history,
    guaranteed: (taskSet) => leader.guarantees.isGuaranteed(taskSet.spec.ref),
    excess: leader.guarantees.excessUsage(leader.usageByTeam()),
    preemptAfterMs: settings.operators.exchange.phi * PREEMPT_AFTER_PHI * 1000,
    bootMs: (machine) => leader.bootMs(machine),
  };
}

/** Returns the node that owns the partition; null if there is no owner, or it is absent or suspected. */
export function liveOwnerOf({ ownership }: ExchangeDependencies, partition: number): string | null {
  const owner = ownership.owner(partition)?.owner;
  return owner !== undefined && ownership.isHealthy(owner) ? owner : null;
}

/** Returns how much of the team's quota share in the partition no task uses. */
export function unusedQuota({ quotaShares }: ExchangeDependencies, partition: Partition, team: string): Usage {
  const granted = quotaShares.grantedShare(partition.id, team);
  const used = usageOfTeam(partition, team);
  return { cpus: granted.cpus - used.cpus, gpus: granted.gpus - used.gpus };
}
