/**
 * The order in which gangs of different partitions get machines that the cloud has no more of. Pure decisions from records of
 * the state service, so all controllers decide alike. Not responsible for reading or writing these records.
 *
 * A partition keeps the machines that it has for a gang until the gang is complete. Without an order, two partitions may keep a
 * part of the machines each and wait for ever. So a partition that keeps machines for a blocked gang records a claim to the
 * offerings that it lacks, and a gang that comes later in the order gives up its machines of these offerings and rents none.
 */
import type { Urgency } from "@thorntrail/protocol/jobs";
import { rank } from "../queue/queue-order.js";

/** What decides a gang's place in the order. All members are recorded with the job and never change. */
export interface GangIdentity {
  ref: string;
  urgency: Urgency;
  /** Wall-clock time of the submission, in ms. */
  submittedAt: number;
}

/** A gang that keeps a part of the machines that it needs, with the offerings (see `offeringKey`) that could hold its tasks and that the cloud refused. */
export interface BlockedGang {
  gang: GangIdentity;
  refusedOfferings: readonly string[];
}

/** The first blocked gang of a partition for each refused offering, as recorded: its job reference by offering. */
export type OfferingClaims = Readonly<Record<string, string>>;

/** Whether gang `a` comes before gang `b`: the more urgent first, then the one that was submitted earlier. A total order. */
export function precedes(a: GangIdentity, b: GangIdentity): boolean {
  if (a.urgency !== b.urgency) return rank(a.urgency) < rank(b.urgency);
  if (a.submittedAt !== b.submittedAt) return a.submittedAt < b.submittedAt;
  return a.ref < b.ref;
}

/** Returns the claims of a partition: for each refused offering, the first of its blocked gangs. */
export function claimsOf(blocked: readonly BlockedGang[]): OfferingClaims {
  const first = new Map<string, GangIdentity>();
  for (const { gang, refusedOfferings } of blocked) {
    for (const offering of refusedOfferings) {
      const other = first.get(offering);
      if (other === undefined || precedes(gang, other)) first.set(offering, gang);
    }
  }
  return Object.fromEntries([...first].sort(([a], [b]) => (a < b ? -1 : 1)).map(([offering, { ref }]) => [offering, ref]));
}

/** Whether two partitions' claims are the same, so that a recorded one need not be written again. */
export function sameClaims(a: OfferingClaims, b: OfferingClaims): boolean {
  const offerings = Object.keys(a);
  return offerings.length === Object.keys(b).length && offerings.every((offering) => a[offering] === b[offering]);
}

/**
 * Whether the gang has to give up its machines of an offering and rent none: another partition claims the offering for a gang
 * that precedes it.
 *
 * @param claimants the gangs for which other partitions claim the offering
 */
export function givesWay(gang: GangIdentity, claimants: readonly GangIdentity[]): boolean {
  return claimants.some((claimant) => precedes(claimant, gang));
}
