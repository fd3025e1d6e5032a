import type { Clock } from "../platform/clock.js";
import { sleep } from "../platform/clock.js";
import type { Caller } from "../calls/calls.js";
import { CallError } from "@thorntrail/protocol/errors";
import type { TokenBucket } from "@thorntrail/protocol/token-bucket";
import { RateLimitError, RequestTooLargeError, type StateApi } from "@thorntrail/protocol/state";
import { assembleBatch, type Batch, type CommitOutcome, type Draft, type PendingWrite } from "./batch.js";
import { CpuAccounting } from "../platform/cpu-accounting.js";
import type { Log } from "../platform/log.js";
import type { StateReplica } from "./state-replica.js";

/** A batch that was sent and has no final result yet. */
interface InFlightTransaction extends Batch {
  sentAt: number;
}

/**
 * Order of writes while more of them wait than the write rate allows, as after an outage. `now`: users' requests and
 * claims of partitions, never delayed by others. `soon`: writes that other work waits for. `later`: bookkeeping.
 */
export type WritePriority = "now" | "soon" | "later";
const RANK: Record<WritePriority, number> = { now: 0, soon: 1, later: 2 };

/** Maximum number of pending writes in the queue; further ones are rejected as `shed`. */
const MAX_QUEUE = 2000;
/** Share of the rate limiter's burst of writes that is reserved for priority `now`: users' writes arrive one by one and must not wait for the next token. */
const USER_WRITE_RESERVE = 1 / 4;
/** Maximum number of transactions in flight at the same time. */
const MAX_CONCURRENT_TRANSACTIONS = 4;
/**
 * Group commit: combines pending writes into few transactions within the rate limits. Each write is drafted against
 * the newest replica when its transaction is assembled, so its conditions match the state it was derived from. After
 * a transaction without a definite answer, the replica is refreshed and the writes are drafted again until their
 * outcome is known, since the first copy can still be applied late.
 */
export class GroupCommitter {
  private queue: PendingWrite[] = [];
  private running = false;
  private readonly inFlight = new Set<InFlightTransaction>();
  private wake: (() => void) | null = null;
  stats = { transactions: 0, writes: 0, conflicts: 0, unanswered: 0 };

  constructor(
    private readonly state: StateApi,
    private readonly replica: StateReplica,
    private readonly clock: Clock,
    private readonly requests: TokenBucket,
    private readonly writes: TokenBucket,
    /** Sets the pauses before a transaction is repeated. */
    private readonly calls: Caller,
    /** Maximum number of changes in one transaction, and the time in ms after which a transaction in flight no longer holds back the next one. */
    private readonly limits: { txnOps: number; slowAfterMs: number },
    private readonly log: Log,
    private readonly costs = new CpuAccounting(),
  ) {}

  /** Writes that are queued or in flight. */
  get backlog(): number {
    return this.queue.length + [...this.inFlight].reduce((n, { pendingWrites }) => n + pendingWrites.length, 0);
  }

  /**
   * Queues a write; `draft` returns null when nothing is left to write. An exclusive write shares its transaction, hence
   * its stored revision, with no other write. A write not sent within `shedAfterMs` is given up as `shed`. The default
   * priority is `later`.
   */
  commit(
    label: string,
    draft: () => Draft | null,
    options: { shedAfterMs?: number; priority?: WritePriority; exclusive?: boolean } = {},
  ): Promise<CommitOutcome> {
    return new Promise((resolve) => {
      if (this.queue.length >= MAX_QUEUE) return resolve("shed");
      const shedAt = options.shedAfterMs === undefined ? Infinity : this.clock.now() + options.shedAfterMs;
      this.queue.push({
        label,
        draft,
        resolve,
        outcomeUnknown: false,
        shedAt,
        rank: RANK[options.priority ?? "later"],
        exclusive: options.exclusive === true,
      });
      if (!this.running) void this.run();
      else if (options.priority === "now") this.wake?.();
    });
  }

  private async run(): Promise<void> {
    this.running = true;
    await Promise.resolve();
    try {
      while (this.queue.length > 0) await this.runOnce();
    } finally {
      this.running = false;
    }
  }

  private async runOnce(): Promise<void> {
    const now = this.clock.now();
    this.queue = this.queue.filter((pendingWrite) => {
      if (pendingWrite.outcomeUnknown || now < pendingWrite.shedAt) return true;
      pendingWrite.resolve("shed");
      return false;
    });
    if (!this.replica.loaded) return sleep(this.clock, this.calls.policy.initialMs);
    const delayMs = this.concurrencyDelayMs();
    if (delayMs > 0) return this.pause(delayMs);
    // A transaction gets only as many changes as the write rate allows now: waiting until the
    // whole backlog fits would delay the most urgent change as well.
    const maxOps = Math.min(this.limits.txnOps, Math.floor(this.writes.available()));
    const batch = this.costs.charge("transaction", () => this.assembleBatch(maxOps));
    if (batch === null) return this.queue.length > 0 ? this.pause(this.limits.slowAfterMs) : undefined;
    const reserved = Math.min(...batch.pendingWrites.map((pendingWrite) => this.reservedWrites(pendingWrite)));
    const waitMs = Math.max(this.requests.waitMs(1), this.writes.waitMs(batch.apply.length + reserved));
    // The batch is assembled again after the pause, since more writes may have arrived to share the transaction.
    if (waitMs > 0) return this.pause(waitMs);
    this.requests.take(1);
    this.writes.take(batch.apply.length);
    this.stats.transactions++;
    this.stats.writes += batch.apply.length;
    const sent = new Set(batch.pendingWrites);
    this.queue = this.queue.filter((pendingWrite) => !sent.has(pendingWrite));
    const transaction: InFlightTransaction = { ...batch, sentAt: now };
    this.inFlight.add(transaction);
    const onFault = (error: unknown): PendingWrite[] => {
      this.log.error({ err: String(error) }, "unexpected fault of a transaction");
      return transaction.pendingWrites;
    };
    void this.send(transaction)
      .catch(onFault)
      .then((retries) => {
        this.inFlight.delete(transaction);
        // Writes to be sent again return to the front of the queue in their original order.
        this.queue.unshift(...retries);
        this.wake?.();
        if (this.queue.length > 0 && !this.running) void this.run();
      });
  }

  /** Number of tokens that must remain in the write rate limiter after this write is sent. */
  private reservedWrites({ rank }: PendingWrite): number {
    return rank === RANK.now ? 0 : this.writes.burst * USER_WRITE_RESERVE;
  }

  /**
   * Time in ms until another transaction may be sent; Infinity while the maximum number is in flight. One transaction at
   * a time groups the most writes, but a state service that sometimes takes seconds for one would delay all users. So
   * once every transaction in flight takes longer than usual, another one is sent.
   */
  private concurrencyDelayMs(): number {
    if (this.inFlight.size === 0) return 0;
    if (this.inFlight.size >= MAX_CONCURRENT_TRANSACTIONS) return Infinity;
    const lastSentAt = Math.max(...[...this.inFlight].map(({ sentAt }) => sentAt));
    return Math.max(0, lastSentAt + this.limits.slowAfterMs - this.clock.now());
  }

  /** Pauses for `ms`, or until a transaction finishes or a write with priority `now` arrives. */
  private pause(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const resume = (): void => {
        cancel();
        this.wake = null;
        resolve();
      };
      const cancel = Number.isFinite(ms) ? this.clock.after(ms, resume) : () => undefined;
      this.wake = resume;
    });
  }

  /** Sends a transaction; resolves with the writes that have to be drafted and sent again. */
  private async send(transaction: InFlightTransaction): Promise<PendingWrite[]> {
    const { pendingWrites, apply } = transaction;
    try {
      const result = await this.state.txn(transaction.conditions, apply);
      if (result.ok) {
        for (const op of apply) {
          if ("write" in op) this.replica.put(op.write, op.v, result.ledger);
          else this.replica.drop(op.remove, result.ledger);
        }
        const ms = Math.round(this.clock.now() - transaction.sentAt);
        this.log.debug({ ms, changes: apply.length, waiting: this.queue.length, flights: this.inFlight.size }, "transaction");
        for (const pendingWrite of pendingWrites) pendingWrite.resolve("done");
        return [];
      }
      this.stats.conflicts++;
      this.log.debug({ failed: result.failed }, "transaction conflicts; reading again");
      await this.readBack();
    } catch (error) {
      if (error instanceof RateLimitError) {
        this.writes.drain();
        await this.calls.backOff();
        return pendingWrites;
      }
      if (!(error instanceof CallError)) throw error;
      if (error instanceof RequestTooLargeError) return this.splitOversized(pendingWrites, error);
      // A refused transaction was not executed, so its tokens are returned; otherwise no write tokens would be left when an outage ends.
      if (error.kind === "refused") this.writes.refund(apply.length);
      if (this.calls.mayHaveActed(error)) {
        this.stats.unanswered++;
        for (const pendingWrite of pendingWrites) pendingWrite.outcomeUnknown = true;
      }
      await this.calls.backOff();
      await this.readBack();
    }
    return pendingWrites;
  }

  /**
   * Handles a transaction that is permanently refused for its size. Sent again unchanged, it would block all writes
   * behind it for ever, so each of its writes is sent alone, and a write that is refused alone is given up.
   */
  private async splitOversized(pendingWrites: PendingWrite[], error: RequestTooLargeError): Promise<PendingWrite[]> {
    for (const pendingWrite of pendingWrites) pendingWrite.exclusive = true;
    const [only] = pendingWrites;
    if (pendingWrites.length > 1 || only === undefined) return pendingWrites;
    if (only.outcomeUnknown) {
      // An earlier copy may have been applied while the limits were higher; only a read after this refusal shows it.
      if (!(await this.readBack())) return pendingWrites;
      if (only.draft() === null) {
        only.resolve("settled");
        return [];
      }
    }
    this.log.error({ intent: only.label, err: error.message }, "the state service does not take this change");
    only.resolve("shed");
    return [];
  }

  /** Brings the replica up to date; false if the state service could not be read. */
  private async readBack(): Promise<boolean> {
    try {
      await this.replica.refresh();
      return true;
    } catch {
      await this.calls.backOff();
      return false;
    }
  }

  /** Builds the next batch from at most `maxOps` changes, and settles the writes with nothing left to write; null if no write can be sent now. */
  private assembleBatch(maxOps: number): Batch | null {
    const { batch, settled, oversized } = assembleBatch(this.queue, this.inFlight, {
      maxOps,
      txnOps: this.limits.txnOps,
      reservedWrites: (pendingWrite) => this.reservedWrites(pendingWrite),
    });
    for (const { label } of oversized) this.log.error({ intent: label }, "a write exceeds a transaction's limits");
    const resolved = new Set([...settled, ...oversized]);
    if (resolved.size > 0) {
      this.queue = this.queue.filter((pendingWrite) => !resolved.has(pendingWrite));
      for (const pendingWrite of resolved) pendingWrite.resolve("settled");
    }
    return batch;
  }
}
