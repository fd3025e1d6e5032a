/** Rules for claiming a partition: when a node claims it, for which reason, and under which write conditions. */
import type { OwnerRecord } from "../ledger/records.js";
import type { Condition } from "@thorntrail/protocol/state";

/**
 * Why a partition is taken from an owner that cannot continue: its presence key is gone; it reports itself unfit to own
 * partitions; or it did not refute a suspicion.
 */
export type LossReason = "owner gone" | "owner cut off" | "owner suspected";
/** Why a node claims a partition; see `reasonToClaim`. */
export type ClaimReason = LossReason | "unowned" | "own former life" | "own ended term" | "home again";

/** What a node knows about one partition and about the presence of the other nodes when it decides on a claim. */
export interface ClaimContext {
  self: string;
  incarnation: string;
  home: string;
  record: OwnerRecord | undefined;
  /**
   * Returns whether the node is present, does not report itself unfit, and is not considered gone by the failure
   * detector.
   */
  canOwn: (node: string) => boolean;
  isPresent: (node: string) => boolean;
  reportsUnfit: (node: string) => boolean;
  /** Returns the eligible node that should take the partition over: its home controller, else the node that owns the fewest partitions. */
  successor: () => string | undefined;
  /**
   * The owner's presence key has been missing for longer than the lifetime of a key, so the successor seems unable to
   * claim the partition and any other node may.
   */
  ownerOverdue: boolean;
  /** This process has run for longer than the lifetime of a presence key, so a node whose key is missing is absent. */
  presenceSettled: boolean;
  /** This process ended the recorded term itself because a worker reported a newer owner's token. */
  termEnded: boolean;
  /** This node should not own partitions at present: it cannot reach its workers, or its process keeps exiting. */
  unfit: boolean;
}

/**
 * Returns why this node should claim the partition now; null if it should not. `home again` returns a partition to its
 * home controller from another healthy owner.
 */
export function reasonToClaim(context: ClaimContext): ClaimReason | null {
  const { self, record, home } = context;
  if (record === undefined) return home === self || (context.presenceSettled && !context.isPresent(home)) ? "unowned" : null;
  if (context.unfit) return null;
  if (record.owner === self) {
    // The recorded owner is an earlier process of this node. Because this one runs, the earlier one has ended and
    // answers no workers.
    if (record.life !== context.incarnation) return "own former life";
    return context.termEnded ? "own ended term" : null;
  }
  if (context.canOwn(record.owner)) return home === self && context.presenceSettled ? "home again" : null;
  if (context.successor() !== self && !context.ownerOverdue) return null;
  if (!context.isPresent(record.owner)) return "owner gone";
  return context.reportsUnfit(record.owner) ? "owner cut off" : "owner suspected";
}

/** Returns whether a partition is claimed because its former owner was lost. */
export function isLossReason(reason: ClaimReason): reason is LossReason {
  return reason === "owner gone" || reason === "owner cut off" || reason === "owner suspected";
}

/**
 * Returns the write conditions of a claim. When the owner is considered lost, its presence key must be unchanged since
 * it was read: any write by the owner in the meantime, such as the refutation of a suspicion, changes the key and fails
 * the claim.
 */
export function claimConditions(
  owner: { key: string; stamp: number },
  presence: { key: string; stamp: number } | null,
  reason: ClaimReason,
): Condition[] {
  const conditions = [{ k: owner.key, stamp: owner.stamp }];
  if (isLossReason(reason) && presence !== null) conditions.push({ k: presence.key, stamp: presence.stamp });
  return conditions;
}
