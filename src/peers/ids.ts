import { createHash } from "node:crypto";

/** Numbers of one life before they would meet the next life's. */
const IDS_PER_INCARNATION = 2 ** 20;

/**
 * Where a life's numbers for questions to peers begin. A process may be back while a peer still works on
 * a question of its former life; the answer then comes on a new connection, and with numbers
 * from 1 in every life a user would be told of another user's job.
 */
export function firstId(life: string): number {
  return createHash("sha256").update(life).digest().readUInt32BE() * IDS_PER_INCARNATION;
}
