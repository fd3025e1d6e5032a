import type { Partition } from "../partitions/partition.js";
import type { Settings } from "../settings/derived.js";
import type { Machine } from "../workers/machine.js";

/** Names of the machines in the cloud's list, and the time of the monotonic clock at which reading the list began. */
export interface Listing {
  readAt: number;
  hosts: ReadonlySet<string>;
}

/**
 * Maximum staleness of the cloud's list of machines, as a multiple of `list_lag_s` in the settings, as stated in
 * PROTOCOL.
 */
const MAX_LIST_LAGS = 2;
/**
 * Margin, in report intervals, on the age from which a machine should be listed: the age is derived from the time of
 * day and may be too high.
 */
const SLACK_REPORTS = 1;

/**
 * Whether an unresponsive machine is missing from a list that should contain it. Lists are stale and may be wrong, so
 * the list must contain every machine of the partition that has reported the owner's term, is old enough to be listed
 * and is neither lost nor being deleted, and there must be at least one such machine. A machine that is itself of this
 * kind therefore never counts as missing. A missing entry is a reason to delete the machine, but only the deletion
 * proves that it is gone.
 */
export function missingFromListing(list: Listing, partition: Partition, machine: Machine, settings: Settings): boolean {
  const { cloud, clock_off_ms } = settings.platform.deployment;
  const minAgeMs = cloud.list_lag_s * 1000 * MAX_LIST_LAGS + clock_off_ms + settings.timing.reportMs * SLACK_REPORTS;
  const shouldBeListed = (candidate: Machine): boolean => candidate.rentedAt < list.readAt - minAgeMs;
  if (list.readAt < partition.takenOverAt || list.hosts.has(machine.host) || !shouldBeListed(machine)) return false;
  let listed = 0;
  for (const other of partition.machines.values()) {
    if (other.token < partition.term || other.lost || other.deleting || !shouldBeListed(other)) continue;
    if (!list.hosts.has(other.host)) return false;
    listed++;
  }
  return listed > 0;
}
