import type { OwnerRecord } from "../ledger/records.js";
import type { Condition } from "@thorntrail/protocol/state";

/** Why a part is taken from another: its key is gone; it says that it should not lead; it did not answer doubt. */
export type LossReason = "owner gone" | "owner cut off" | "owner suspected";
export type Reason = LossReason | "unowned" | "own former life" | "own ended term" | "home again";

/** What a node knows of one part, and of who is there, at one moment. */
export interface ClaimContext {
  self: string;
  life: string;
  home: string;
  record: OwnerRecord | undefined;
  /** There, fit by its own word, and not held for gone. */
  able: (node: string) => boolean;
  alive: (node: string) => boolean;
  saysUnfit: (node: string) => boolean;
  /** Who of the able should take it: the home first, else who leads the fewest. */
  heir: () => string | undefined;
  /** The owner's key has been missing for as long as one lasts: the heir may be at a loss. */
  ownerLate: boolean;
  /** This node has been there for as long as a key lasts. */
  settled: boolean;
  /** This life ended the record's term itself, on a worker's word of a newer owner. */
  termEnded: boolean;
  /** This node should not lead at present. */
  unfit: boolean;
}

/** Should this node claim the part now, and why? A part that is well led elsewhere comes home by `home again`. */
export function reasonToClaim(context: ClaimContext): Reason | null {
  const { self, record, home } = context;
  if (record === undefined) return home === self || (context.settled && !context.alive(home)) ? "unowned" : null;
  if (context.unfit) return null;
  if (record.owner === self) {
    // Our former life led it; that this process runs proves that one over, its answers with it.
    if (record.life !== context.life) return "own former life";
    return context.termEnded ? "own ended term" : null;
  }
  if (context.able(record.owner)) return home === self && context.settled ? "home again" : null;
  if (context.heir() !== self && !context.ownerLate) return null;
  if (!context.alive(record.owner)) return "owner gone";
  return context.saysUnfit(record.owner) ? "owner cut off" : "owner suspected";
}

export function isLossReason(reason: Reason): reason is LossReason {
  return reason === "owner gone" || reason === "owner cut off" || reason === "owner suspected";
}

/**
 * On what a claim is conditional. Of an owner held for lost, its presence as it was read: a word of its
 * own meanwhile, an answer to doubt among them, changes the key, and the claim comes to nothing.
 */
export function claimConditions(
  owner: { key: string; stamp: number },
  presence: { key: string; stamp: number } | null,
  reason: Reason,
): Condition[] {
  const conditions = [{ k: owner.key, stamp: owner.stamp }];
  if (isLossReason(reason) && presence !== null) conditions.push({ k: presence.key, stamp: presence.stamp });
  return conditions;
}
