/**
 * Where the store keeps what it was told. The decisions are made in `core.ts`;
 * an engine only holds their effects: a batch wholly, or not at all.
 */

/** A key's value as JSON text, the revision of its last change, and the lease it hangs on. */
export interface Stored {
  text: string;
  stamp: number;
  permit: number | null;
}

/** A change as watches are told of it; `text` null: the key was removed. `index` counts within the revision. */
export interface StoredEvent {
  key: string;
  text: string | null;
  stamp: number;
  index: number;
}

/** What has to be known at start besides keys: its size goes with leases and history, not with keys. */
export interface Meta {
  ledger: number;
  /** Changes up to this revision can no longer be told. */
  floor: number;
  permitCount: number;
  permits: { id: number; ttlMs: number; keys: string[] }[];
  /** Revisions whose changes are kept, oldest first, and how many changes each has. */
  revisions: { stamp: number; count: number }[];
}

/** All that one group of decisions changes. */
export interface Batch {
  ledger: number;
  floor: number;
  permitCount: number;
  /** Null: removed. */
  keys: Map<string, Stored | null>;
  events: StoredEvent[];
  revisions: { stamp: number; count: number }[];
  /** Time to live in ms; null: ended. */
  permits: Map<number, number | null>;
  /** Keys that hang on a lease from now on, and such that no longer do. */
  attached: { id: number; key: string; on: boolean }[];
  /** Revisions whose changes are dropped from the history. */
  trimmed: { stamp: number; count: number }[];
}

export interface Page {
  rows: { key: string; stored: Stored }[];
  more: boolean;
}

export interface Engine {
  meta(): Promise<Meta>;
  get(key: string): Stored | undefined;
  /** Resolves once the batch would survive the end of the process and of the machine. */
  write(batch: Batch): Promise<void>;
  /** Keys with the prefix after `from`, in order, as of one moment. */
  range(prefix: string, from: string | undefined, most: { items: number; bytes: number }): Promise<Page>;
  /** Changes of keys with the prefix after the revision `from`. */
  events(prefix: string, from: number): Promise<StoredEvent[]>;
  /** After a write that failed: what is on disk is read again. */
  reopen(): Promise<void>;
  close(): Promise<void>;
}

/** The data on disk do not add up: they must not be served. */
export class Damaged extends Error {}
