/**
 * Proofs that an attempt no longer exists on its machine. A task is restarted because of such a proof, so every proof
 * also carries the data that shows whether the controller still owned the partition. How a proof is obtained is the
 * caller's concern.
 */

/** Proof that an attempt no longer exists on its machine. Times are in ms of the controller's monotonic clock. */
export type TerminationProof =
  /** The machine's lease expired, and a read that began after the expiry (`provenAt`) still found this owner's term. */
  | { by: "lease over"; answeredAt: number; expiryMs: number; provenAt: number }
  /** The worker is in a later session and discarded all attempts when the former session ended. */
  | { by: "new session"; token: number }
  /** The newest report of the worker's session no longer lists the attempt. */
  | { by: "not listed"; token: number }
  /** The worker reported that the attempt has exited. */
  | { by: "exited"; token: number }
  /** The cloud confirmed that the machine was deleted. */
  | { by: "machine deleted" };

/** An attempt that no longer exists, as it is logged when its task starts again. */
export interface TerminatedAttempt {
  attempt: number;
  host: string;
  by: TerminationProof["by"];
}

/** Returns why the proof is not valid for the owner of this term, or null if it is valid. */
export function proofFlaw(proof: TerminationProof, term: number): string | null {
  switch (proof.by) {
    case "lease over":
      return proof.provenAt > proof.answeredAt + proof.expiryMs ? null : "another owner may have renewed the lease before it ended";
    case "new session":
    case "not listed":
    case "exited":
      return proof.token <= term ? null : "the worker had a newer owner, which may have restarted the task";
    case "machine deleted":
      return null;
  }
}
