/**
 * Interface between the store and its storage engines. `core.ts` makes the decisions;
 * an engine only persists their effects, each batch atomically.
 *
 * The types use the names of the wire protocol: a `stamp` is the revision of a change,
 * a `permit` is the ID of a lease, and the `ledger` is the newest revision of the store.
 */

/** A key's value as JSON text, the revision of its last change, and the lease it is attached to (null: none). */
export interface StoredValue {
  text: string;
  stamp: number;
  permit: number | null;
}

/** A change as delivered to watches. `text` is null if the key was removed; `index` is the change's position within its revision. */
export interface StoredEvent {
  key: string;
  text: string | null;
  stamp: number;
  index: number;
}

/** What a storage engine loads at start: counters, leases and the revisions in the history. Its size does not grow with the number of keys. */
export interface EngineMeta {
  ledger: number;
  /** The history no longer has the changes up to and including this revision. */
  floor: number;
  /** Number of leases granted so far, which is also the ID of the newest one. */
  permitCount: number;
  leases: { id: number; ttlMs: number; keys: string[] }[];
  /** Revisions in the history, oldest first, with the number of changes in each. */
  revisions: { stamp: number; count: number }[];
}

/** Effects of one commit group (requests decided together), which an engine writes atomically. */
export interface Batch {
  ledger: number;
  floor: number;
  permitCount: number;
  /** New values by key; null for a removed key. */
  keys: Map<string, StoredValue | null>;
  events: StoredEvent[];
  revisions: { stamp: number; count: number }[];
  /** Time to live in ms by lease ID; null for a lease that has ended. */
  leases: Map<number, number | null>;
  /** Keys that the batch attaches to a lease (`attached`) or detaches from one. */
  leaseKeys: { id: number; key: string; attached: boolean }[];
  /** Revisions removed from the history. */
  trimmed: { stamp: number; count: number }[];
}

/** One page of a range read. `more` is true if further keys match after the last one in `rows`. */
export interface Page {
  rows: { key: string; stored: StoredValue }[];
  more: boolean;
}

/** A storage engine. Methods that read throw `CorruptDataError` if the data fail an integrity check. */
export interface Engine {
  meta(): Promise<EngineMeta>;
  get(key: string): StoredValue | undefined;
  /** Writes a batch atomically. Resolves once it is durable, that is, survives a crash of the process or the machine. */
  write(batch: Batch): Promise<void>;
  /** Returns keys with the prefix that sort after `from`, in order, from one consistent view of the data. */
  range(prefix: string, from: string | undefined, limit: { items: number; bytes: number }): Promise<Page>;
  /** Returns changes to keys with the prefix in revisions after `from`, oldest first. */
  events(prefix: string, from: number): Promise<StoredEvent[]>;
  /** Reopens the data after a failed write, so that later reads return what is on disk. */
  reopen(): Promise<void>;
  close(): Promise<void>;
}

/** Thrown if the data on disk fail an integrity check; they must not be served. */
export class CorruptDataError extends Error {}
