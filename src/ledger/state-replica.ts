import { Subject } from "rxjs";
import type { Clock } from "../platform/clock.js";
import { sleep } from "../platform/clock.js";
import { CpuAccounting } from "../platform/cpu-accounting.js";
import type { TokenBucket } from "@thorntrail/protocol/token-bucket";
import type { StateApi, StateEvent } from "@thorntrail/protocol/state";
import type { Caller } from "../calls/calls.js";
import { CallError } from "@thorntrail/protocol/errors";
import type { Scope } from "../platform/scope.js";
import { keys, type JobRecord, type SliceRecord } from "./records.js";

/** A record's value and the revision of its last write (`stamp`). */
export interface Entry<T> {
  v: T;
  stamp: number;
}

/** Number of records read in one request to the state service. */
const PAGE_SIZE = 500;
/** Maximum number of removed keys whose last revisions are remembered. */
const MAX_TOMBSTONES = 20_000;

/** Returns the reference of the job from the key of one of its slices. */
function refOfSlice(key: string): string {
  return key.slice(keys.slices.length, key.lastIndexOf("/"));
}

/** Replica cache of the state service: a copy of all records, kept up to date by its change stream (`/follow`), with a bound on the copy's age. */
export class StateReplica {
  /** Emits the key of each record that changed, and an empty string after a full load. */
  readonly changes$ = new Subject<string>();
  private readonly tables = new Map<string, Map<string, Entry<unknown>>>();
  /**
   * Keys of slices (ranges of a job's tasks) by job. A job's slices are looked up for every finished task, and a scan would
   * visit the thousands of slices of all jobs.
   */
  private readonly slicesByJob = new Map<string, Set<string>>();
  /** Records of jobs that have not ended, so that periodic work does not scan the records of all jobs that ever ended. */
  private readonly openJobRecords = new Map<string, Entry<JobRecord>>();
  private readonly tombstones = new Map<string, number>();
  private revision = -1;
  /** Time, in ms of the monotonic clock, as of which the replica is complete: it holds everything that the state service held then. */
  currentAsOf = -Infinity;
  loaded = false;
  private refreshing: Promise<void> | null = null;
  private nextRefresh: Promise<void> | null = null;
  private nextRefreshDeadline = Infinity;
  private lastReadAt = -Infinity;

  constructor(
    private readonly state: StateApi,
    private readonly clock: Clock,
    private readonly rate: TokenBucket,
    private readonly pace: { readGapMs: number; blockMs: number },
    /** Sets the pauses after failed reads. */
    private readonly calls: Caller,
    private readonly costs = new CpuAccounting(),
  ) {}

  /** Starts the routine that loads all records and then follows their changes. */
  start(scope: Scope): void {
    scope.routine(
      "follow",
      () => this.pace.readGapMs,
      async () => {
        try {
          if (!this.loaded) await this.load();
          else await this.read(this.pace.blockMs);
        } catch (error) {
          const line = { err: (error as Error).message };
          if (error instanceof CallError) scope.log.debug(line, "replica read failed");
          else scope.log.warn(line, "the state service's answer could not be read");
          await this.calls.backOff();
        }
      },
    );
  }

  /** Reads all records page by page and drops those that no longer exist in the state service. */
  private async load(): Promise<void> {
    const startedAt = this.clock.now();
    const seen = new Map<string, number>();
    let from: string | undefined;
    let first = -1;
    for (;;) {
      await this.acquireRequest();
      const page = await this.state.range(keys.root, from, PAGE_SIZE);
      if (first < 0) first = page.ledger;
      for (const row of page.rows) {
        seen.set(row.k, row.stamp);
        this.put(row.k, row.v, row.stamp);
      }
      if (!page.more) break;
      from = page.rows[page.rows.length - 1]!.k;
    }
    for (const table of this.tables.values()) {
      for (const [key, entry] of table) if (!seen.has(key) && entry.stamp <= first) this.drop(key, first);
    }
    this.revision = first;
    this.loaded = true;
    this.currentAsOf = Math.max(this.currentAsOf, startedAt);
    this.changes$.next("");
  }

  /** Waits until the rate limit allows another request to the state service. */
  private async acquireRequest(): Promise<void> {
    while (!this.rate.take()) await sleep(this.clock, this.rate.waitMs());
  }

  /** Reads and applies the changes since the last read. `deadline` is in ms of the monotonic clock; throws CallError once it has passed. */
  private async read(blockMs: number, deadline = Infinity): Promise<void> {
    await this.acquireRequest();
    const startedAt = this.clock.now();
    if (startedAt >= deadline) throw new CallError("refused", "the deadline of this read has passed");
    this.lastReadAt = startedAt;
    const result = await this.state.follow(keys.root, this.revision, blockMs, deadline - startedAt);
    if (result === "too-old") {
      this.loaded = false;
      return;
    }
    const { events } = result;
    this.costs.charge("follow", () => {
      for (const event of events) this.apply(event);
    });
    if (result.ledger > this.revision) this.revision = result.ledger;
    this.currentAsOf = Math.max(this.currentAsOf, startedAt);
  }

  /**
   * Resolves once a read that began after this call has been applied. Calls that arrive while a read runs share
   * the next read, because an answer to a user must not be older than what another node has already reported.
   * No read starts or continues past the latest deadline (in ms of the monotonic clock) of the calls that share
   * it: users whose requests have expired must not delay those behind them.
   */
  refresh(deadline = Infinity): Promise<void> {
    this.nextRefreshDeadline = this.nextRefresh === null ? deadline : Math.max(this.nextRefreshDeadline, deadline);
    if (this.nextRefresh !== null) return this.nextRefresh;
    const run = async (): Promise<void> => {
      // Waits until `nextRefresh` has been assigned below: if it were cleared before its assignment, the
      // assignment would remain, and later callers would get the result of an old read.
      await Promise.resolve();
      if (this.refreshing !== null) await this.refreshing.catch(() => undefined);
      const gapMs = this.lastReadAt + this.pace.readGapMs - this.clock.now();
      if (gapMs > 0) await sleep(this.clock, gapMs);
      this.nextRefresh = null;
      const reading = this.loaded ? this.read(0, this.nextRefreshDeadline) : this.load();
      this.refreshing = reading;
      try {
        await reading;
        if (!this.loaded) await this.load();
      } finally {
        if (this.refreshing === reading) this.refreshing = null;
      }
    };
    this.nextRefresh = run();
    return this.nextRefresh;
  }

  /** Applies one change from the state service's change stream. */
  private apply(event: StateEvent): void {
    if ("write" in event) this.put(event.write, event.v, event.stamp);
    else this.drop(event.remove, event.stamp);
  }

  /** Table of the records whose keys share the first two segments with `key`, such as `t/j/`. */
  private table(key: string): Map<string, Entry<unknown>> {
    const prefix = key.slice(0, key.indexOf("/", 2) + 1);
    let table = this.tables.get(prefix);
    if (table === undefined) this.tables.set(prefix, (table = new Map()));
    return table;
  }

  /** Stores a record unless this or a newer revision of it is known. Also called for this node's own writes, before the change stream has them. */
  put(key: string, v: unknown, stamp: number): void {
    const table = this.table(key);
    const latest = table.get(key)?.stamp ?? this.tombstones.get(key) ?? -1;
    if (stamp <= latest) return;
    const entry = { v, stamp };
    table.set(key, entry);
    if (key.startsWith(keys.slices)) this.indexSlice(key);
    else if (key.startsWith(keys.jobs)) {
      if ((v as JobRecord).end === undefined) this.openJobRecords.set(key, entry as Entry<JobRecord>);
      else this.openJobRecords.delete(key);
    }
    this.tombstones.delete(key);
    this.changes$.next(key);
  }

  /** Removes a record unless a revision of it is known that is not older than the removal. */
  drop(key: string, stamp: number): void {
    const table = this.table(key);
    const entry = table.get(key);
    if (entry !== undefined && entry.stamp >= stamp) return;
    table.delete(key);
    if (key.startsWith(keys.slices)) this.unindexSlice(key);
    this.openJobRecords.delete(key);
    this.tombstones.set(key, stamp);
    if (this.tombstones.size > MAX_TOMBSTONES) this.tombstones.delete(this.tombstones.keys().next().value as string);
    if (entry !== undefined) this.changes$.next(key);
  }

  /** The record under the key, with its stored revision. */
  get<T>(key: string): Entry<T> | undefined {
    return this.table(key).get(key) as Entry<T> | undefined;
  }

  /** Stored revision of the record under the key; 0 if there is no record. */
  stamp(key: string): number {
    return this.get(key)?.stamp ?? 0;
  }

  /** All records whose keys share the first two segments with the prefix, such as `t/j/`. */
  rows<T>(prefix: string): Map<string, Entry<T>> {
    return this.table(prefix) as Map<string, Entry<T>>;
  }

  /**
   * Jobs whose own record shows no end. Includes jobs that count as cancelled only because a job that they depend on
   * was cancelled.
   */
  openJobs(): ReadonlyMap<string, Entry<JobRecord>> {
    return this.openJobRecords;
  }

  private indexSlice(key: string): void {
    const ref = refOfSlice(key);
    const sliceKeys = this.slicesByJob.get(ref);
    if (sliceKeys === undefined) this.slicesByJob.set(ref, new Set([key]));
    else sliceKeys.add(key);
  }

  private unindexSlice(key: string): void {
    const ref = refOfSlice(key);
    const sliceKeys = this.slicesByJob.get(ref);
    sliceKeys?.delete(key);
    if (sliceKeys?.size === 0) this.slicesByJob.delete(ref);
  }

  /** All slices (ranges of a job's tasks) of a job except the first, which is in the job's own record. */
  slicesOf(ref: string): [string, Entry<SliceRecord>][] {
    const table = this.rows<SliceRecord>(keys.slices);
    return [...(this.slicesByJob.get(ref) ?? [])].map((key) => [key, table.get(key)!]);
  }

  /**
   * Revision up to which the replica holds all changes; -1 before the first load. A record with a stamp that is not higher was
   * still the key's newest at this revision.
   */
  get completeRevision(): number {
    return this.revision;
  }

  /** Upper bound on the age of the replica's content, in ms. */
  ageMs(): number {
    return this.clock.now() - this.currentAsOf;
  }
}
