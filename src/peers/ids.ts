import { createHash } from "node:crypto";

/** Number of request ids reserved for one incarnation. */
const IDS_PER_INCARNATION = 2 ** 20;

/**
 * Returns the first id for requests to peers in an incarnation, derived from the incarnation's hash. A process may restart while a
 * peer still works on a request of its former incarnation. The answer then arrives on a new connection; if ids began
 * at 1 in every incarnation, it would match another request, and a user would receive another user's job.
 */
export function firstRequestId(incarnation: string): number {
  return createHash("sha256").update(incarnation).digest().readUInt32BE() * IDS_PER_INCARNATION;
}
