/** The interface to the state service: transactions, watches, range reads and leases. */
import { CallError } from "./errors.js";

/** A condition of a transaction: key `k` was last changed at revision `stamp`; 0 means that the key does not exist. */
export interface Condition {
  k: string;
  stamp: number;
}
/** A change in a transaction. `permit` is the ID of the lease that the written key is attached to. */
export type Op = { write: string; v: unknown; permit?: number } | { remove: string };
/** A change as received from the state service; `stamp` is its revision. */
export type StateEvent = { write: string; v: unknown; stamp: number } | { remove: string; stamp: number };

/** Outcome of a transaction: applied at revision `ledger`, or `failed`, the keys whose conditions did not hold. */
export type TxnResult = { ok: true; ledger: number } | { ok: false; failed: string[]; ledger: number };
/** Changes and the revision from which to follow next (`ledger`); `too-old` if the history no longer reaches back to the requested revision. */
export type FollowResult = { ledger: number; events: StateEvent[] } | "too-old";

/** A key `k`, its value `v` and the revision of its last change, `stamp`. */
export interface Row {
  k: string;
  v: unknown;
  stamp: number;
}

/**
 * Interface to the state service; scenario tests replace it by a model. `limitMs` is the
 * timeout of a call in ms; for `follow`, it is added to the time that the call may block.
 */
export interface StateApi {
  txn(conditions: Condition[], apply: Op[], limitMs?: number): Promise<TxnResult>;
  follow(prefix: string, from: number, blockMs: number, limitMs?: number): Promise<FollowResult>;
  range(prefix: string, from: string | undefined, limit: number, limitMs?: number): Promise<{ rows: Row[]; more: boolean; ledger: number }>;
  grant(ttlMs: number, limitMs?: number): Promise<number>;
  renew(permit: number, limitMs?: number): Promise<boolean>;
}

/** Thrown if the state service answers that the rate limit shared by all controllers is exceeded (status 429). */
export class RateLimitError extends CallError {
  constructor() {
    super("refused", "over the rate");
  }
}

/** Thrown if a value is too large or a transaction has too many changes for the state service's current limits (status 400). */
export class RequestTooLargeError extends CallError {
  constructor(message: string) {
    super("refused", message);
  }
}

/** Thrown if a transaction attaches a key to a lease that has ended. */
export class LeaseLostError extends Error {}
