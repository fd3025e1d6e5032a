import type { Clock } from "../platform/clock.js";
import { sleep } from "../platform/clock.js";
import type { Caller } from "../calls/calls.js";
import { NoReply } from "@thorntrail/protocol/errors";
import type { Rate } from "@thorntrail/protocol/rate";
import { OverRate, TooLarge, type Condition, type Op, type StateApi } from "@thorntrail/protocol/state";
import { Costs } from "../platform/costs.js";
import type { Log } from "../platform/log.js";
import type { Mirror } from "./mirror.js";

export interface Draft {
  conditions: Condition[];
  apply: Op[];
}

/**
 * What became of an intent. `settled`: its draft had nothing left to write;
 * the caller reads the mirror to see how things stand. `shed`: never sent, or
 * refused for its size.
 */
export type Outcome = "done" | "settled" | "shed";

interface Batch {
  conditions: Condition[];
  apply: Op[];
  intents: Intent[];
}

/** A batch under way. */
interface Flight extends Batch {
  since: number;
}

const keyOf = (op: Op): string => ("write" in op ? op.write : op.remove);

interface Intent {
  label: string;
  draft: () => Draft | null;
  resolve: (outcome: Outcome) => void;
  /** Sent at least once without a definite answer: may still apply late. */
  inDoubt: boolean;
  shedAt: number;
  rank: number;
  alone: boolean;
}

/**
 * Whose turn it is when writes are scarce, as after an outage: users and claims of
 * parts wait for nobody; what work hangs on comes before mere bookkeeping.
 */
export type Turn = "now" | "soon" | "later";
const RANK: Record<Turn, number> = { now: 0, soon: 1, later: 2 };

const MAX_QUEUE = 2000;
/** Of the writes that may be saved up, what is kept for users: they come singly, and are not to wait for the next. */
const KEPT_FOR_USERS = 1 / 4;
/** Transactions under way at the same time, at most. */
const MAX_FLIGHTS = 4;
const MAX_BODY = 60 * 1024;

/**
 * Group commit. Intents are drafted against the newest mirror at the moment a
 * transaction is put together, so that each is conditional on what it has seen;
 * one that was sent without an answer is read back and drafted again until a
 * definite answer comes, since the first copy can still be applied late.
 */
export class Committer {
  private queue: Intent[] = [];
  private running = false;
  private readonly flights = new Set<Flight>();
  private wake: (() => void) | null = null;
  stats = { transactions: 0, writes: 0, conflicts: 0, unanswered: 0 };

  constructor(
    private readonly state: StateApi,
    private readonly mirror: Mirror,
    private readonly clock: Clock,
    private readonly requests: Rate,
    private readonly writes: Rate,
    /** How long transactions rest before they are repeated. */
    private readonly calls: Caller,
    /** `laneMs`: a transaction that takes longer keeps others waiting no more. */
    private readonly limits: { txnOps: number; laneMs: number },
    private readonly log: Log,
    private readonly costs = new Costs(),
  ) {}

  get backlog(): number {
    return this.queue.length + [...this.flights].reduce((n, { intents }) => n + intents.length, 0);
  }

  /** `alone`: shares its transaction, hence its stamp, with nothing else. `shedAfterMs`: give up if it could not be sent by then. `turn`: `later` if not given. */
  commit(label: string, draft: () => Draft | null, options: { shedAfterMs?: number; turn?: Turn; alone?: boolean } = {}): Promise<Outcome> {
    return new Promise((resolve) => {
      if (this.queue.length >= MAX_QUEUE) return resolve("shed");
      const shedAt = options.shedAfterMs === undefined ? Infinity : this.clock.now() + options.shedAfterMs;
      this.queue.push({
        label,
        draft,
        resolve,
        inDoubt: false,
        shedAt,
        rank: RANK[options.turn ?? "later"],
        alone: options.alone === true,
      });
      if (!this.running) void this.run();
      else if (options.turn === "now") this.wake?.();
    });
  }

  private async run(): Promise<void> {
    this.running = true;
    await Promise.resolve();
    try {
      while (this.queue.length > 0) await this.round();
    } finally {
      this.running = false;
    }
  }

  private async round(): Promise<void> {
    const now = this.clock.now();
    this.queue = this.queue.filter((intent) => {
      if (intent.inDoubt || now < intent.shedAt) return true;
      intent.resolve("shed");
      return false;
    });
    if (!this.mirror.loaded) return sleep(this.clock, this.calls.policy.firstMs);
    const laneMs = this.nextLaneMs();
    if (laneMs > 0) return this.pause(laneMs);
    // As many changes as there are writes for now: waiting until all that piled up
    // fits would keep the most urgent change waiting with it.
    const most = Math.min(this.limits.txnOps, Math.floor(this.writes.available()));
    const batch = this.costs.spend("transaction", () => this.assemble(most));
    if (batch === null) return this.queue.length > 0 ? this.pause(this.limits.laneMs) : undefined;
    const kept = Math.min(...batch.intents.map((intent) => this.keptFrom(intent)));
    const wait = Math.max(this.requests.waitMs(1), this.writes.waitMs(batch.apply.length + kept));
    // Drafted anew afterwards: more may have come to share the transaction.
    if (wait > 0) return this.pause(wait);
    this.requests.take(1);
    this.writes.take(batch.apply.length);
    this.stats.transactions++;
    this.stats.writes += batch.apply.length;
    const sent = new Set(batch.intents);
    this.queue = this.queue.filter((intent) => !sent.has(intent));
    const flight: Flight = { ...batch, since: now };
    this.flights.add(flight);
    const fault = (error: unknown): Intent[] => {
      this.log.error({ err: String(error) }, "unexpected fault of a transaction");
      return flight.intents;
    };
    void this.send(flight)
      .catch(fault)
      .then((back) => {
        this.flights.delete(flight);
        // First in line again, as they were.
        this.queue.unshift(...back);
        this.wake?.();
        if (this.queue.length > 0 && !this.running) void this.run();
      });
  }

  /** Writes that must be left when this one is sent. */
  private keptFrom({ rank }: Intent): number {
    return rank === RANK.now ? 0 : this.writes.burst * KEPT_FOR_USERS;
  }

  /**
   * One transaction at a time shares the most. But a service that now and then takes
   * seconds for one would keep every user waiting with it: once all that are under way
   * take longer than usual, another may go beside them, up to a few.
   */
  private nextLaneMs(): number {
    if (this.flights.size === 0) return 0;
    if (this.flights.size >= MAX_FLIGHTS) return Infinity;
    const last = Math.max(...[...this.flights].map(({ since }) => since));
    return Math.max(0, last + this.limits.laneMs - this.clock.now());
  }

  /** For so long, or until a transaction has come to its end or a user's write has come. */
  private pause(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const go = (): void => {
        cancel();
        this.wake = null;
        resolve();
      };
      const cancel = Number.isFinite(ms) ? this.clock.after(ms, go) : () => undefined;
      this.wake = go;
    });
  }

  /** Gives back the intents that have to be drafted anew. */
  private async send(flight: Flight): Promise<Intent[]> {
    const { intents, apply } = flight;
    try {
      const result = await this.state.txn(flight.conditions, apply);
      if (result.ok) {
        for (const op of apply) {
          if ("write" in op) this.mirror.put(op.write, op.v, result.ledger);
          else this.mirror.drop(op.remove, result.ledger);
        }
        const ms = Math.round(this.clock.now() - flight.since);
        this.log.debug({ ms, changes: apply.length, waiting: this.queue.length, flights: this.flights.size }, "transaction");
        for (const intent of intents) intent.resolve("done");
        return [];
      }
      this.stats.conflicts++;
      this.log.debug({ failed: result.failed }, "transaction conflicts; reading again");
      await this.readBack();
    } catch (error) {
      if (error instanceof OverRate) {
        this.writes.drain();
        await this.calls.rest();
        return intents;
      }
      if (!(error instanceof NoReply)) throw error;
      if (error instanceof TooLarge) return this.takeApart(intents, error);
      // Not executed, so not counted either: without this an outage ends with nothing left to write with.
      if (error.kind === "refused") this.writes.give(apply.length);
      if (this.calls.mayHaveActed(error)) {
        this.stats.unanswered++;
        for (const intent of intents) intent.inDoubt = true;
      }
      await this.calls.rest();
      await this.readBack();
    }
    return intents;
  }

  /**
   * The service will not take this, now or later. Sent again as it is, it would keep
   * everything behind it waiting for ever: so each goes by itself, and one that is
   * refused alone is given up.
   */
  private async takeApart(intents: Intent[], error: TooLarge): Promise<Intent[]> {
    for (const intent of intents) intent.alone = true;
    const [only] = intents;
    if (intents.length > 1 || only === undefined) return intents;
    if (only.inDoubt) {
      // An earlier copy may have been carried out while the limits were higher: only a read after this refusal tells.
      if (!(await this.readBack())) return intents;
      if (only.draft() === null) {
        only.resolve("settled");
        return [];
      }
    }
    this.log.error({ intent: only.label, err: error.message }, "the state service does not take this change");
    only.resolve("shed");
    return [];
  }

  /** False: the state service could not be read. */
  private async readBack(): Promise<boolean> {
    try {
      await this.mirror.fresh();
      return true;
    } catch {
      await this.calls.rest();
      return false;
    }
  }

  private assemble(room: number): Batch | null {
    const conditions = new Map<string, number>();
    const written = new Set<string>();
    // What is under way is not in the mirror yet: a draft that looks at it would only conflict.
    const busy = new Set([...this.flights].flatMap(({ apply }) => apply.map(keyOf)));
    const looked = new Set([...this.flights].flatMap((flight) => flight.conditions.map(({ k }) => k)));
    const apply: Op[] = [];
    const intents: Intent[] = [];
    let bytes = 64;
    const ordered = [...this.queue].sort((a, b) => a.rank - b.rank);
    const settled = new Set<Intent>();
    for (const intent of ordered) {
      if (apply.length >= Math.max(1, room)) break;
      if (intent.alone && intents.length > 0) continue;
      const draft = intent.draft();
      if (draft === null) {
        settled.add(intent);
        continue;
      }
      const size = JSON.stringify(draft).length;
      const clash =
        draft.apply.map(keyOf).some((k) => written.has(k) || conditions.has(k) || busy.has(k) || looked.has(k)) ||
        draft.conditions.some(({ k, stamp }) => written.has(k) || busy.has(k) || (conditions.has(k) && conditions.get(k) !== stamp));
      const merged = new Set([...conditions.keys(), ...draft.conditions.map((c) => c.k)]).size;
      const most = intents.length === 0 ? this.limits.txnOps : room - this.keptFrom(intent);
      if (clash || apply.length + draft.apply.length > most || merged > 4 * this.limits.txnOps || bytes + size > MAX_BODY) {
        if (intents.length === 0 && !clash) {
          this.log.error({ intent: intent.label }, "an intent exceeds a transaction's limits");
          settled.add(intent);
        }
        continue;
      }
      bytes += size;
      intents.push(intent);
      for (const c of draft.conditions) conditions.set(c.k, c.stamp);
      for (const op of draft.apply) {
        written.add(keyOf(op));
        apply.push(op);
      }
      if (intent.alone) break;
    }
    if (settled.size > 0) {
      this.queue = this.queue.filter((intent) => !settled.has(intent));
      for (const intent of settled) intent.resolve("settled");
    }
    if (intents.length === 0) return null;
    return { conditions: [...conditions].map(([k, stamp]) => ({ k, stamp })), apply, intents };
  }
}
