/** The state service without its HTTP interface. */
import { CallError } from "@thorntrail/protocol/errors";
import { TokenBucket } from "@thorntrail/protocol/token-bucket";
import { RateLimitError, type Condition } from "@thorntrail/protocol/state";
import { STATE_BOUNDS } from "@thorntrail/protocol/state-wire";
import { Core, type Change, type TxnAnswer } from "./core.js";
import { CorruptDataError, type Batch, type Engine, type EngineMeta, type Page, type StoredValue, type StoredEvent } from "./engine.js";
import { KeyMetadataCache } from "./key-metadata-cache.js";

/** Monotonic clock and timers of the store, in milliseconds. */
export interface StoreClock {
  now(): number;
  /** Runs `fn` after `ms`; the returned function cancels it. */
  after(ms: number, fn: () => void): () => void;
}

/** Limits on requests, adjustable while the store runs. */
export interface StoreLimits {
  /** Requests per second, with bursts of up to one second's worth. */
  rps: number;
  /** Changes per second, with bursts of up to one second's worth. */
  writeRps: number;
  /** Maximum size of a value in KiB. */
  valueKb: number;
  /** Maximum number of changes in a transaction. */
  txnOps: number;
}

/** Changes returned to a watch, and the revision from which to follow next. */
export interface FollowedEvents {
  ledger: number;
  events: StoredEvent[];
}

interface Watch {
  prefix: string;
  settle: (events: StoredEvent[]) => void;
}

/** Thrown if a request exceeds a limit, so that it fails until the limits change; the request is answered with 400. */
export class LimitExceededError extends Error {}

/** Interval between two checks for expired leases, short enough to end each lease within the delay that the protocol allows. */
const LEASE_CHECK_INTERVAL_MS = STATE_BOUNDS.maxExpiryDelayMs / 2;
/** If no check for expired leases ran for more than this many intervals, the process counts as stalled and all leases are refreshed. */
const MAX_MISSED_LEASE_CHECKS = 10;
/** Exponential backoff between attempts to reopen the engine after a failed write. */
const REOPEN_BACKOFF_MS = { initial: 100, max: 2000 };
/** Maximum numbers of requests queued behind the current write and of open watches; further requests get 503. */
const MAX_WAITING_REQUESTS = 10_000;
const MAX_WATCHES = 10_000;

/**
 * Decides on requests sequentially and makes their changes durable by group commit: while
 * one group of requests is being written, the next one accumulates. No answer is sent before
 * everything that it depends on is durable.
 *
 * Requests fail with `RateLimitError`, `LimitExceededError` (too large a value, too many
 * changes or conditions), `CorruptDataError` (a read failed an integrity check) or
 * `CallError`: `refused` if the request was not executed, `unanswered` if its outcome is
 * unknown.
 */
export class Store {
  private core: Core;
  private readonly keyMetadata: KeyMetadataCache;
  private requests: TokenBucket;
  private writes: TokenBucket;
  private waiting: { decide: () => void; fail: (error: Error) => void }[] = [];
  private writing = false;
  private storageError: Error | null = null;
  private readonly watches = new Set<Watch>();
  private durableRevision: number;
  private floor: number;
  private leasesCheckedAt: number;
  private closed = false;
  private suspended = false;
  readonly stats = { groups: 0, changes: 0, conflicts: 0, refused: 0, failures: 0 };
  /** Called when a write fails, when the data then fail an integrity check, and once they are reopened and it is known whether the write was stored. */
  onStorageFault: (what: string, error: Error) => void = () => undefined;
  /** Called with the time that a commit group took to become durable, in ms, and the number of answers that waited for the group. */
  onGroupDurable: (ms: number, answers: number) => void = () => undefined;

  private constructor(
    private readonly engine: Engine,
    private readonly clock: StoreClock,
    private limits: StoreLimits,
    meta: EngineMeta,
  ) {
    this.keyMetadata = new KeyMetadataCache((key) => engine.get(key));
    this.core = this.createCore(meta);
    this.durableRevision = meta.ledger;
    this.floor = meta.floor;
    this.requests = new TokenBucket(clock, limits.rps);
    this.writes = new TokenBucket(clock, limits.writeRps);
    this.leasesCheckedAt = clock.now();
    this.checkLeases();
  }

  private createCore(meta: EngineMeta): Core {
    return new Core(meta, (key) => this.keyMetadata.get(key), this.clock.now());
  }

  /** Opens a store on the engine's data; throws if they fail an integrity check. */
  static async open(engine: Engine, clock: StoreClock, limits: StoreLimits): Promise<Store> {
    const meta = await engine.meta();
    return new Store(engine, clock, limits, meta);
  }

  /** Creates a store on an empty engine. */
  static createEmpty(engine: Engine, clock: StoreClock, limits: StoreLimits): Store {
    const emptyMeta = { ledger: 0, floor: 0, permitCount: 0, leases: [], revisions: [] };
    return new Store(engine, clock, limits, emptyMeta);
  }

  /**
   * Suspends or resumes the service. While the service is suspended, requests are refused
   * with 503 and open watches stay open; leases get their full time to live again afterwards.
   */
  setSuspended(on: boolean): void {
    this.suspended = on;
    this.core.refreshLeases(this.clock.now());
  }

  /** Simulates a crash of the process: open requests are never answered, and decisions that are not durable are lost. */
  simulateCrash(): void {
    this.closed = true;
    this.waiting = [];
    this.group = [];
    this.watches.clear();
  }

  /** The newest revision that is durable. */
  get ledger(): number {
    return this.durableRevision;
  }

  /** Numbers of open leases, watches and queued requests, and the storage error (`trouble`) while no writes are accepted; served by `/health`. */
  get status(): { leases: number; watches: number; waiting: number; trouble: string | null } {
    return {
      leases: this.core.leaseCount,
      watches: this.watches.size,
      waiting: this.waiting.length,
      trouble: this.storageError?.message ?? null,
    };
  }

  /** Changes the given limits immediately and returns the limits in force. */
  setLimits(limits: Partial<StoreLimits>): StoreLimits {
    this.limits = { ...this.limits, ...limits };
    this.requests = new TokenBucket(this.clock, this.limits.rps);
    this.writes = new TokenBucket(this.clock, this.limits.writeRps);
    return this.limits;
  }

  /** Throws if the service cannot take a request now or the rate limits are exceeded. */
  private admit(changes = 0): void {
    if (this.closed) throw new CallError("refused", "the service is shutting down");
    if (this.suspended) throw new CallError("refused", "the service is suspended");
    if (!this.requests.take() || !this.writes.take(changes)) throw new RateLimitError();
    if (this.storageError !== null) throw new CallError("refused", `storage: ${this.storageError.message}`);
  }

  /** Throws `LimitExceededError` if a transaction exceeds the limits. */
  private checkLimits(conditions: readonly Condition[], changes: readonly Change[]): void {
    const { txnOps, valueKb } = this.limits;
    if (changes.length > txnOps) throw new LimitExceededError(`${changes.length} changes, at most ${txnOps} in a transaction`);
    const maxConditions = txnOps * STATE_BOUNDS.conditionsPerChange;
    if (conditions.length > maxConditions)
      throw new LimitExceededError(`${conditions.length} conditions, at most ${maxConditions} in a transaction`);
    for (const change of changes) {
      if ("write" in change && Buffer.byteLength(change.text) > valueKb * 1024)
        throw new LimitExceededError(`the value of ${change.write} has more than ${valueKb} KiB`);
    }
  }

  /** Applies the changes atomically if all conditions hold. */
  txn(conditions: readonly Condition[], changes: readonly Change[]): Promise<TxnAnswer> {
    return this.enqueue(
      () => {
        const answer = this.core.txn(conditions, changes);
        if (answer.kind === "conflict") this.stats.conflicts++;
        return answer;
      },
      changes.length,
      () => this.checkLimits(conditions, changes),
    );
  }

  /** Grants a lease and returns its ID. */
  grant(ttlMs: number): Promise<number> {
    return this.enqueue(() => this.core.grant(ttlMs, this.clock.now()));
  }

  /** Renews a lease; false if it does not exist or has expired. */
  renew(permit: number): Promise<boolean> {
    return this.enqueue(() => this.core.renew(permit, this.clock.now()));
  }

  /** Ends a lease and removes its keys; false if it does not exist. */
  end(permit: number): Promise<boolean> {
    return this.enqueue(() => this.core.end(permit));
  }

  /** Queues the decision on a request and resolves to the answer once the commit group of the request is durable. */
  private enqueue<T>(decide: () => T, changes = 0, check: () => void = () => undefined): Promise<T> {
    return new Promise((resolve, reject) => {
      try {
        this.admit(changes);
        check();
        if (this.waiting.length >= MAX_WAITING_REQUESTS) throw new CallError("refused", "too many requests wait for the disk");
      } catch (error) {
        this.stats.refused++;
        return reject(error as Error);
      }
      let answer: T;
      this.waiting.push({
        decide: () => {
          answer = decide();
          this.stats.changes += changes;
          this.group.push({ respond: () => resolve(answer), fail: reject });
        },
        fail: reject,
      });
      if (!this.writing) void this.commitGroups();
    });
  }

  /** Pending answers of the commit group that is being assembled or written. */
  private group: { respond: () => void; fail: (error: Error) => void }[] = [];

  /** Decides and commits queued requests, one group after the other, until none is left or a write fails. */
  private async commitGroups(): Promise<void> {
    this.writing = true;
    // Waits for a microtask, so that requests queued until then share one commit group.
    await Promise.resolve();
    while (this.waiting.length > 0 && this.storageError === null) {
      this.group = [];
      let batch: Batch | null = null;
      try {
        for (const { decide } of this.waiting.splice(0)) decide();
        batch = this.core.takeBatch();
        if (batch !== null) await this.write(batch);
        for (const { respond } of this.group) respond();
      } catch (error) {
        await this.recoverFromFailedWrite(error as Error, batch);
      }
    }
    this.writing = false;
  }

  private async write(batch: Batch): Promise<void> {
    const startedAt = this.clock.now();
    await this.engine.write(batch);
    this.onGroupDurable(this.clock.now() - startedAt, this.group.length);
    this.onBatchDurable(batch);
  }

  /** Updates the in-memory state with a durable batch and delivers its changes to watches. */
  private onBatchDurable(batch: Batch): void {
    this.core.onBatchDurable();
    this.keyMetadata.onBatchDurable(batch);
    this.stats.groups++;
    this.durableRevision = batch.ledger;
    this.floor = batch.floor;
    if (batch.events.length === 0) return;
    for (const watch of [...this.watches]) {
      const events = batch.events.filter(({ key }) => key.startsWith(watch.prefix));
      if (events.length > 0) watch.settle(events);
    }
  }

  /**
   * Recovers after a failed write. The write may have reached the disk nevertheless, so the
   * requests of its commit group are answered only after the data have been reopened and it
   * is known whether the group was stored. If the first attempt to reopen the data fails, the
   * requests of the group get no answer; all other requests get 503 until the data can be read.
   */
  private async recoverFromFailedWrite(error: Error, batch: Batch | null): Promise<void> {
    this.stats.failures++;
    this.storageError = error;
    const { group } = this;
    this.onStorageFault("a write failed; nothing is taken until the data have been read again", error);
    for (const { fail } of this.waiting.splice(0)) fail(new CallError("refused", `storage: ${error.message}`));
    let pauseMs = REOPEN_BACKOFF_MS.initial;
    for (let first = true; !this.closed; first = false) {
      try {
        await this.engine.reopen();
        const meta = await this.engine.meta();
        const stored = batch !== null && meta.ledger === batch.ledger && meta.permitCount === batch.permitCount;
        if (batch !== null && stored) this.onBatchDurable(batch);
        if (first) {
          for (const { respond, fail } of group) {
            if (stored) respond();
            else fail(new CallError("refused", `storage: ${error.message}`));
          }
        }
        this.keyMetadata.clear();
        this.core = this.createCore(meta);
        this.durableRevision = meta.ledger;
        this.floor = meta.floor;
        this.storageError = null;
        this.onStorageFault(
          stored ? "data reopened: the last group had been stored" : "data reopened: the last group had not been stored",
          error,
        );
        return;
      } catch (reopenError) {
        if (first) for (const { fail } of group) fail(new CallError("unanswered", error.message));
        if (reopenError instanceof CorruptDataError)
          this.onStorageFault("the data fail an integrity check; requests are still refused", reopenError);
        await new Promise<void>((resolve) => this.clock.after(pauseMs, resolve));
        pauseMs = Math.min(pauseMs * 2, REOPEN_BACKOFF_MS.max);
      }
    }
  }

  /** Reads one key and the newest durable revision. */
  read(key: string): { stored: StoredValue | undefined; ledger: number } {
    this.admit();
    return { stored: this.engine.get(key), ledger: this.durableRevision };
  }

  /** Reads a page of keys and values. The returned revision is no newer than the rows, so following from that revision misses no change. */
  async range(prefix: string, from: string | undefined, maxRows: number): Promise<Page & { ledger: number }> {
    this.admit();
    const { durableRevision } = this;
    const page = await this.engine.range(prefix, from, { items: Math.min(maxRows, STATE_BOUNDS.pageItems), bytes: STATE_BOUNDS.pageBytes });
    return { ...page, ledger: durableRevision };
  }

  /**
   * Returns the changes after revision `from` to keys with the prefix, waiting up to
   * `blockMs` for the first; `too-old` if the history no longer reaches back to `from`.
   * `onDisconnect` receives a function to call when the client disconnects.
   */
  async follow(
    prefix: string,
    from: number,
    blockMs: number,
    onDisconnect: (cancelWatch: () => void) => void = () => undefined,
  ): Promise<FollowedEvents | "too-old"> {
    this.admit();
    if (from < this.floor) return "too-old";
    for (;;) {
      const ledger = this.durableRevision;
      const events = from >= ledger ? [] : await this.engine.events(prefix, from);
      // The history may have been trimmed past `from` while it was read.
      if (from < this.floor) return "too-old";
      if (events.length > 0) return { ledger: Math.max(ledger, events[events.length - 1]!.stamp), events };
      if (ledger === this.durableRevision) break;
    }
    if (blockMs <= 0) return { ledger: this.durableRevision, events: [] };
    if (this.watches.size >= MAX_WATCHES) throw new CallError("refused", "too many watches");
    return new Promise((resolve) => {
      const settle = (events: StoredEvent[]): void => {
        cancel();
        this.watches.delete(watch);
        resolve({ ledger: this.durableRevision, events });
      };
      const watch: Watch = { prefix, settle };
      const cancel = this.clock.after(blockMs, () => settle([]));
      this.watches.add(watch);
      onDisconnect(() => settle([]));
    });
  }

  /** Ends expired leases, or gives all leases their full time to live if the process was stalled, the service is suspended or storage has failed. */
  private checkLeases(): void {
    if (this.closed) return;
    const now = this.clock.now();
    const stalled = now - this.leasesCheckedAt > LEASE_CHECK_INTERVAL_MS * MAX_MISSED_LEASE_CHECKS;
    this.leasesCheckedAt = now;
    if (stalled || this.suspended || this.storageError !== null) this.core.refreshLeases(now);
    else if (this.core.expiredLeases(now).length > 0) {
      const expired = this.core.expiredLeases(now);
      this.waiting.push({
        // Checks again, because a lease may have been renewed earlier in the same commit group.
        decide: () => {
          const stillExpired = new Set(this.core.expiredLeases(this.clock.now()));
          for (const id of expired) if (stillExpired.has(id)) this.core.end(id);
        },
        fail: () => undefined,
      });
      if (!this.writing) void this.commitGroups();
    }
    this.clock.after(LEASE_CHECK_INTERVAL_MS, () => this.checkLeases());
  }

  /** Answers open watches, waits for the current commit and closes the engine. */
  async close(): Promise<void> {
    this.closed = true;
    for (const watch of [...this.watches]) watch.settle([]);
    while (this.writing) await new Promise<void>((resolve) => this.clock.after(1, resolve));
    await this.engine.close();
  }
}
