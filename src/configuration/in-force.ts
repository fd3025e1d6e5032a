import type { OwnerRecord, PresenceRecord } from "../ledger/records.js";

/** Determines from the stored records alone in which partitions a configuration version is in force. Pure functions. */

/** Status of a configuration version in one partition. */
export type VersionStatus =
  /** Every controller that may start tasks in the partition applies the configuration version. */
  | "in force"
  /** The partition's owner has not published yet that it applies the configuration version. */
  | "behind"
  /** The partition's owner has not yet proven that the former owner can no longer start anything. */
  | "taking over"
  /** The partition's owner runs a program that does not support configuration versions and has to be upgraded. */
  | "of an older program"
  /** The partition's owner is absent, and too little time has passed to prove that it can no longer start anything. */
  | "away";

/** Status of a configuration version in one partition; `owner` is null if the partition is not owned. */
export interface PartitionVersionStatus {
  partition: number;
  owner: string | null;
  standing: VersionStatus;
}

/** Records and times from which the status of a configuration version is derived. */
export interface InForceEvidence {
  version: number;
  partitions: number;
  /** Owner record of a partition, with its stored revision (`stamp`), which is the ownership term. */
  owner: (partition: number) => { v: OwnerRecord; stamp: number } | undefined;
  presence: (node: string) => PresenceRecord | undefined;
  /** Lower bound on the time since the configuration version was written. */
  elapsedMs: number;
  /** Time without contact with the state service after which a controller starts no tasks. */
  silentAfterMs: number;
}

function partitionStatus(evidence: InForceEvidence, owner: { v: OwnerRecord; stamp: number } | undefined): VersionStatus {
  // The transaction that claims an unowned partition requires the newest configuration version, so a new owner knows it.
  if (owner === undefined) return "in force";
  const presence = evidence.presence(owner.v.owner);
  if (presence === undefined) return evidence.elapsedMs >= evidence.silentAfterMs ? "in force" : "away";
  if (presence.acts === undefined) return "of an older program";
  if (presence.life !== owner.v.life || presence.acts.version < evidence.version) return "behind";
  return presence.acts.term >= owner.stamp ? "in force" : "taking over";
}

/** Status of the configuration version in every partition. */
export function partitionStatuses(evidence: InForceEvidence): PartitionVersionStatus[] {
  return Array.from({ length: evidence.partitions }, (_, partition) => {
    const owner = evidence.owner(partition);
    return { partition, owner: owner?.v.owner ?? null, standing: partitionStatus(evidence, owner) };
  });
}

/** Whether the configuration version is in force in all partitions. */
export function isInForce(statuses: readonly PartitionVersionStatus[]): boolean {
  return statuses.every(({ standing }) => standing === "in force");
}
