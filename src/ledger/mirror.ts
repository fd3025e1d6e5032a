import { Subject } from "rxjs";
import type { Clock } from "../platform/clock.js";
import { sleep } from "../platform/clock.js";
import { Costs } from "../platform/costs.js";
import type { Rate } from "@thorntrail/protocol/rate";
import type { StateApi, StateEvent } from "@thorntrail/protocol/state";
import type { Caller } from "../calls/calls.js";
import { NoReply } from "@thorntrail/protocol/errors";
import type { Scope } from "../platform/scope.js";
import { keys, type JobRecord, type SliceRecord } from "./records.js";

export interface Entry<T> {
  v: T;
  stamp: number;
}

const PAGE = 500;

function refOfSlice(key: string): string {
  return key.slice(keys.slices.length, key.lastIndexOf("/"));
}

/** A copy of all records, kept up by `/follow`; knows how old it may be. */
export class Mirror {
  readonly changes$ = new Subject<string>();
  private readonly tables = new Map<string, Map<string, Entry<unknown>>>();
  /** Keys of slices by their job: asked for with every task that is done, among thousands of slices. */
  private readonly slices = new Map<string, Set<string>>();
  /** Records of jobs that have not ended: what duties go over, whatever has ended in all the years before. */
  private readonly unended = new Map<string, Entry<JobRecord>>();
  private readonly removed = new Map<string, number>();
  private position = -1;
  /** The mirror holds all that was in the store at this steady time. */
  provenAt = -Infinity;
  loaded = false;
  private freshening: Promise<void> | null = null;
  private queued: Promise<void> | null = null;
  private queuedUntil = Infinity;
  private lastReadAt = -Infinity;

  constructor(
    private readonly state: StateApi,
    private readonly clock: Clock,
    private readonly rate: Rate,
    private readonly pace: { readGapMs: number; blockMs: number },
    /** How long reads rest after one that failed. */
    private readonly calls: Caller,
    private readonly costs = new Costs(),
  ) {}

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
          if (error instanceof NoReply) scope.log.debug(line, "mirror read failed");
          else scope.log.warn(line, "the state service's answer could not be read");
          await this.calls.rest();
        }
      },
    );
  }

  private async load(): Promise<void> {
    const began = this.clock.now();
    const seen = new Map<string, number>();
    let from: string | undefined;
    let first = -1;
    for (;;) {
      await this.paid();
      const page = await this.state.range(keys.root, from, PAGE);
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
    this.position = first;
    this.loaded = true;
    this.provenAt = Math.max(this.provenAt, began);
    this.changes$.next("");
  }

  private async paid(): Promise<void> {
    while (!this.rate.take()) await sleep(this.clock, this.rate.waitMs());
  }

  private async read(blockMs: number, deadline = Infinity): Promise<void> {
    await this.paid();
    const began = this.clock.now();
    if (began >= deadline) throw new NoReply("refused", "nobody waits for this read any more");
    this.lastReadAt = began;
    const result = await this.state.follow(keys.root, this.position, blockMs, deadline - began);
    if (result === "too-old") {
      this.loaded = false;
      return;
    }
    const { events } = result;
    this.costs.spend("follow", () => {
      for (const event of events) this.apply(event);
    });
    if (result.ledger > this.position) this.position = result.ledger;
    this.provenAt = Math.max(this.provenAt, began);
  }

  /**
   * Resolves once a read that began after this call has been applied. Callers
   * that come while one runs share the next: an answer given to a user must
   * not be older than what another node has told already. Past the latest deadline
   * (steady ms) of those that share it, no read begins and none goes on: users that
   * have been told to come back must not keep those behind them waiting.
   */
  fresh(deadline = Infinity): Promise<void> {
    this.queuedUntil = this.queued === null ? deadline : Math.max(this.queuedUntil, deadline);
    if (this.queued !== null) return this.queued;
    const run = async (): Promise<void> => {
      // `queued` must be set before this goes on: were it cleared first, it would
      // stay, and later callers would take an old read for a fresh one.
      await Promise.resolve();
      if (this.freshening !== null) await this.freshening.catch(() => undefined);
      const gap = this.lastReadAt + this.pace.readGapMs - this.clock.now();
      if (gap > 0) await sleep(this.clock, gap);
      this.queued = null;
      const reading = this.loaded ? this.read(0, this.queuedUntil) : this.load();
      this.freshening = reading;
      try {
        await reading;
        if (!this.loaded) await this.load();
      } finally {
        if (this.freshening === reading) this.freshening = null;
      }
    };
    this.queued = run();
    return this.queued;
  }

  private apply(event: StateEvent): void {
    if ("write" in event) this.put(event.write, event.v, event.stamp);
    else this.drop(event.remove, event.stamp);
  }

  private table(key: string): Map<string, Entry<unknown>> {
    const prefix = key.slice(0, key.indexOf("/", 2) + 1);
    let table = this.tables.get(prefix);
    if (table === undefined) this.tables.set(prefix, (table = new Map()));
    return table;
  }

  /** Also called with what this node wrote itself, before it comes round by `/follow`. */
  put(key: string, v: unknown, stamp: number): void {
    const table = this.table(key);
    const known = table.get(key)?.stamp ?? this.removed.get(key) ?? -1;
    if (stamp <= known) return;
    const entry = { v, stamp };
    table.set(key, entry);
    if (key.startsWith(keys.slices)) this.noteSlice(key);
    else if (key.startsWith(keys.jobs)) {
      if ((v as JobRecord).end === undefined) this.unended.set(key, entry as Entry<JobRecord>);
      else this.unended.delete(key);
    }
    this.removed.delete(key);
    this.changes$.next(key);
  }

  drop(key: string, stamp: number): void {
    const table = this.table(key);
    const entry = table.get(key);
    if (entry !== undefined && entry.stamp >= stamp) return;
    table.delete(key);
    if (key.startsWith(keys.slices)) this.forgetSlice(key);
    this.unended.delete(key);
    this.removed.set(key, stamp);
    if (this.removed.size > 20_000) this.removed.delete(this.removed.keys().next().value as string);
    if (entry !== undefined) this.changes$.next(key);
  }

  get<T>(key: string): Entry<T> | undefined {
    return this.table(key).get(key) as Entry<T> | undefined;
  }

  stamp(key: string): number {
    return this.get(key)?.stamp ?? 0;
  }

  rows<T>(prefix: string): Map<string, Entry<T>> {
    return this.table(prefix) as Map<string, Entry<T>>;
  }

  /** Of the jobs, those whose own record says no end; one cancelled with a job that it needs is still among them. */
  openJobs(): ReadonlyMap<string, Entry<JobRecord>> {
    return this.unended;
  }

  private noteSlice(key: string): void {
    const ref = refOfSlice(key);
    const known = this.slices.get(ref);
    if (known === undefined) this.slices.set(ref, new Set([key]));
    else known.add(key);
  }

  private forgetSlice(key: string): void {
    const ref = refOfSlice(key);
    const known = this.slices.get(ref);
    known?.delete(key);
    if (known?.size === 0) this.slices.delete(ref);
  }

  /** Of a job that has them, all slices but the first, which is the job's own record. */
  slicesOf(ref: string): [string, Entry<SliceRecord>][] {
    const table = this.rows<SliceRecord>(keys.slices);
    return [...(this.slices.get(ref) ?? [])].map((key) => [key, table.get(key)!]);
  }

  ageMs(): number {
    return this.clock.now() - this.provenAt;
  }
}
