/** Decides on transactions and leases for the store; storage and timers are left to the caller. */
import { STATE_BOUNDS } from "@thorntrail/protocol/state-wire";
import type { Condition } from "@thorntrail/protocol/state";
import type { Batch, EngineMeta, StoredEvent } from "./engine.js";
import type { KeyMetadata } from "./key-metadata-cache.js";

/** A change in a transaction. The written value is JSON text; `permit` is the ID of the lease to attach the key to; null if there is none. */
export type Change = { write: string; text: string; permit: number | null } | { remove: string };

/**
 * Outcome of a transaction: applied at revision `ledger`; `conflict`, with the keys whose
 * conditions failed; or `no-lease` if a change names a lease that does not exist.
 */
export type TxnAnswer =
  { kind: "applied"; ledger: number } | { kind: "conflict"; failed: string[]; ledger: number } | { kind: "no-lease"; ledger: number };

interface Lease {
  ttlMs: number;
  expiresAt: number;
  keys: Set<string>;
}

/**
 * The store's deterministic state machine: every decision is a function of the stored
 * state, the request and the time, and all methods are synchronous. Effects accumulate in a
 * batch that the caller makes durable, and no answer may be sent before everything that it
 * depends on is durable.
 */
export class Core {
  private ledger: number;
  private floor: number;
  private permitCount: number;
  private readonly leases = new Map<number, Lease>();
  private readonly revisions: { stamp: number; count: number }[];
  private retainedChanges: number;
  private pending: Batch;

  constructor(
    meta: EngineMeta,
    /** Reads the revision and lease of a key from durable data; changes in the pending batch take precedence. */
    private readonly readDurable: (key: string) => KeyMetadata | undefined,
    now: number,
  ) {
    this.ledger = meta.ledger;
    this.floor = meta.floor;
    this.permitCount = meta.permitCount;
    this.revisions = [...meta.revisions];
    this.retainedChanges = this.revisions.reduce((n, { count }) => n + count, 0);
    // Clients could not renew their leases while the service was down, so every lease gets its full time to live again.
    for (const { id, ttlMs, keys } of meta.leases) this.leases.set(id, { ttlMs, expiresAt: now + ttlMs, keys: new Set(keys) });
    this.pending = this.emptyBatch();
  }

  /** Number of leases that have not ended. */
  get leaseCount(): number {
    return this.leases.size;
  }

  private emptyBatch(): Batch {
    return {
      ledger: this.ledger,
      floor: this.floor,
      permitCount: this.permitCount,
      keys: new Map(),
      events: [],
      revisions: [],
      leases: new Map(),
      leaseKeys: [],
      trimmed: [],
    };
  }

  /** Returns the effects of all decisions since the last durable batch, or null if there are none. The store calls it once per commit group. */
  takeBatch(): Batch | null {
    const batch = this.pending;
    if (batch.ledger === this.ledger && batch.leases.size === 0) return null;
    this.trimHistory(batch);
    return Object.assign(batch, { ledger: this.ledger, floor: this.floor, permitCount: this.permitCount });
  }

  /** Starts a new batch. The store calls this once the batch taken last is durable and `readDurable` returns its effects. */
  onBatchDurable(): void {
    this.pending = this.emptyBatch();
  }

  private get(key: string): KeyMetadata | undefined {
    const undurable = this.pending.keys.get(key);
    return undurable === undefined ? this.readDurable(key) : (undurable ?? undefined);
  }

  /** Applies all changes if every condition holds: its key was last changed at revision `stamp`, or does not exist if that is 0. */
  txn(conditions: readonly Condition[], changes: readonly Change[]): TxnAnswer {
    const failed = [...new Set(conditions.filter((c) => (this.get(c.k)?.stamp ?? 0) !== c.stamp).map((c) => c.k))];
    if (failed.length > 0) return { kind: "conflict", failed, ledger: this.ledger };
    // All leases are checked before anything changes, because a transaction is applied atomically.
    for (const change of changes)
      if ("write" in change && change.permit !== null && !this.leases.has(change.permit)) return { kind: "no-lease", ledger: this.ledger };
    if (changes.length > 0) this.apply(changes);
    return { kind: "applied", ledger: this.ledger };
  }

  private apply(changes: readonly Change[]): void {
    const stamp = ++this.ledger;
    const events: StoredEvent[] = [];
    for (const change of changes) {
      const key = "write" in change ? change.write : change.remove;
      const before = this.get(key);
      if ("remove" in change && before === undefined) continue;
      const permit = "write" in change ? change.permit : null;
      if (before !== undefined && before.permit !== null && before.permit !== permit) this.setLeaseKey(before.permit, key, false);
      if (permit !== null && before?.permit !== permit) this.setLeaseKey(permit, key, true);
      const text = "write" in change ? change.text : null;
      this.pending.keys.set(key, text === null ? null : { text, stamp, permit });
      events.push({ key, text, stamp, index: events.length });
    }
    this.pending.events.push(...events);
    this.revisions.push({ stamp, count: events.length });
    this.pending.revisions.push({ stamp, count: events.length });
    this.retainedChanges += events.length;
  }

  private setLeaseKey(id: number, key: string, attached: boolean): void {
    const lease = this.leases.get(id);
    if (attached) lease?.keys.add(key);
    else lease?.keys.delete(key);
    this.pending.leaseKeys.push({ id, key, attached });
  }

  /** Trims the history of changes to the length that the protocol guarantees, so that it does not grow with uptime. */
  private trimHistory(batch: Batch): void {
    let dropped = 0;
    // The number of revisions is bounded too, because some have no changes (removals of keys that did not exist).
    const exceedsHistory = (): boolean => this.retainedChanges > STATE_BOUNDS.historyChanges || this.revisions.length - dropped > STATE_BOUNDS.historyChanges;
    while (dropped < this.revisions.length && exceedsHistory()) {
      const oldest = this.revisions[dropped]!;
      // A revision is kept or dropped as a whole, so that a watch never receives part of one.
      this.retainedChanges -= oldest.count;
      this.floor = oldest.stamp;
      batch.trimmed.push(oldest);
      dropped++;
    }
    if (dropped > 0) this.revisions.splice(0, dropped);
  }

  /** Grants a lease and returns its ID. */
  grant(ttlMs: number, now: number): number {
    const id = ++this.permitCount;
    this.leases.set(id, { ttlMs, expiresAt: now + ttlMs, keys: new Set() });
    this.pending.leases.set(id, ttlMs);
    return id;
  }

  /**
   * Renews a lease; returns false if it does not exist or has expired. A renewal is not
   * stored, because every lease gets its full time to live after a restart anyway.
   */
  renew(id: number, now: number): boolean {
    const lease = this.leases.get(id);
    if (lease === undefined || lease.expiresAt <= now) return false;
    lease.expiresAt = now + lease.ttlMs;
    return true;
  }

  /** Ends a lease and removes all keys attached to it; returns false if the lease does not exist. */
  end(id: number): boolean {
    const lease = this.leases.get(id);
    if (lease === undefined) return false;
    const keys = [...lease.keys];
    this.leases.delete(id);
    if (keys.length > 0) this.apply(keys.map((remove) => ({ remove })));
    this.pending.leases.set(id, null);
    return true;
  }

  /** IDs of the leases that have expired. */
  expiredLeases(now: number): number[] {
    const expired: number[] = [];
    for (const [id, lease] of this.leases) if (lease.expiresAt <= now) expired.push(id);
    return expired;
  }

  /** Gives every lease its full time to live again, because clients could not renew leases while the service was unreachable. */
  refreshLeases(now: number): void {
    for (const lease of this.leases.values()) lease.expiresAt = now + lease.ttlMs;
  }
}
