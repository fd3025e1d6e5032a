import type { CloudApi } from "@thorntrail/protocol/cloud";
import type { TokenBucket } from "@thorntrail/protocol/token-bucket";
import type { Calls } from "../calls/calls.js";
import type { GroupCommitter } from "../ledger/group-committer.js";
import type { StateReplica } from "../ledger/state-replica.js";
import type { RentalIndex } from "../ledger/rentals.js";
import type { QuotaShares } from "../partitions/quota-shares.js";
import type { Leader } from "../partitions/leader.js";
import type { Partition } from "../partitions/partition.js";
import type { OverloadMonitor } from "../overload/overload.js";
import type { PeerApi } from "../peers/links.js";
import { sleep } from "../platform/clock.js";
import type { Scope } from "../platform/scope.js";
import type { Settings } from "../settings/derived.js";

/** Dependencies of the classes that rent, return and reconcile machines. */
export interface FleetDependencies {
  settings: Settings;
  cloud: CloudApi;
  leader: Leader;
  quotaShares: QuotaShares;
  replica: StateReplica;
  rentals: RentalIndex;
  committer: GroupCommitter;
  /** This node's share of the rate limit for calls to the cloud. */
  rate: TokenBucket;
  calls: Calls;
  peers: PeerApi;
  overload: OverloadMonitor;
  scope: Scope;
  stats: FleetStats;
}

/** Numbers of machines rented and returned, of refused rentals, and of unregistered machines deleted. */
export interface FleetStats {
  rented: number;
  returned: number;
  refused: number;
  unregistered: number;
}

/** Maximum number of machine names that the cloud accepts in one delete request. */
export const MAX_DELETE_HOSTS = 100;

/**
 * Returns whether this controller certainly still owns the partition. Call it immediately before each cloud call,
 * after waiting for the rate limit.
 */
export function ownsPartition({ leader }: FleetDependencies, partition: Partition): boolean {
  return leader.isSoleOwner() && leader.partitions.get(partition.id) === partition;
}

/** Waits until this node's rate limit permits a call to the cloud. */
export async function waitForRate({ rate, scope }: FleetDependencies): Promise<void> {
  while (!rate.take()) await sleep(scope.clock, rate.waitMs());
}
