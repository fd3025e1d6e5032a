/** Journal that stores the final outcomes of a task graph's tasks in the state service. */
import type { Condition, Op, Row } from "@thorntrail/protocol/state";

/** Final outcome of a task, as the journal records it. */
export type Outcome = "done" | "failed" | "cancelled";
/** An outcome is stored as its index here plus 1; 0 means no outcome. */
const CODES: Outcome[] = ["done", "failed", "cancelled"];

/**
 * Number of consecutive tasks of one client whose outcomes share a stored record (a page). At two bits per outcome, the
 * record fits the smallest permitted value size.
 */
export const TASKS_PER_PAGE = 4096;
const BITS_PER_OUTCOME = 2;
const OUTCOMES_PER_BYTE = 8 / BITS_PER_OUTCOME;
/** Maximum size of a page's record without its packed outcomes, in bytes. */
const MAX_RECORD_OVERHEAD_BYTES = 200;
/**
 * A batch is due once its outcomes number `outcomesPerRecord` times the records that it has to write, or once the oldest of
 * them has waited for `maxWaitMs`.
 */
const BATCHING = { outcomesPerRecord: 250, maxWaitMs: 30_000 };

/** Keys, ownership term and limits with which a journal writes to the state service. */
export interface JournalOptions {
  /** Prefix of the graph's own keys, such as `t/g/flow-7/`. */
  prefix: string;
  /**
   * Key of the ownership record of the graph's partition. The record's revision (`stamp`, assigned by its last write) is the
   * owner's term.
   */
  ownerKey: string;
  /** Term of the owner that writes; a transaction under an earlier term is rejected. */
  term: number;
  /** Maximum size of a value in the state service, in KiB. */
  valueKb: number;
  /** Maximum number of changes in one transaction of the state service. */
  txnOps: number;
  now: () => number;
}

/** A transaction for the state service: conditions and the changes to apply if they hold. */
export interface Draft {
  conditions: Condition[];
  apply: Op[];
}

/** Value stored for one page: the outcomes of `TASKS_PER_PAGE` consecutive tasks of a client. */
interface PageRecord {
  /** Packed outcomes, two bits each, in base64. */
  a: string;
}

/** Value stored for one client: how far it has acknowledged the outcomes of its tasks. */
interface ClientRecord {
  /** The client has acknowledged the outcomes of all its tasks below this sequence number. */
  base: number;
}

/** Outcomes of `TASKS_PER_PAGE` consecutive tasks of one client, and how many of them are not yet durable. */
class Page {
  readonly bytes = new Uint8Array(TASKS_PER_PAGE / OUTCOMES_PER_BYTE);
  /** Revision at which the page's record in the state service was last written; 0 if there is no record. */
  stamp = 0;
  /** Number of outcomes that are in neither a stored record nor the batch in flight. */
  unwritten = 0;
  /** Number of the page's outcomes that the batch in flight makes durable; null if the page is not in the batch. */
  inFlight: number | null = null;

  get(index: number): Outcome | null {
    const code = (this.bytes[Math.floor(index / OUTCOMES_PER_BYTE)]! >> ((index % OUTCOMES_PER_BYTE) * BITS_PER_OUTCOME)) & 3;
    return code === 0 ? null : CODES[code - 1]!;
  }

  set(index: number, outcome: Outcome): void {
    const i = Math.floor(index / OUTCOMES_PER_BYTE);
    this.bytes[i] = this.bytes[i]! | ((CODES.indexOf(outcome) + 1) << ((index % OUTCOMES_PER_BYTE) * BITS_PER_OUTCOME));
  }
}

/** The batch being written: its pages to write or remove, and the clients whose base (first unacknowledged task) it writes. */
interface BatchInFlight {
  pages: { page: Page; client: string; pageNo: number; drop: boolean }[];
  bases: { state: ClientState; base: number }[];
}

/** State of one client in the journal: its acknowledged tasks and its pages of outcomes. */
interface ClientState {
  /** The client has acknowledged the outcomes of all its tasks below this sequence number. */
  base: number;
  /** Value of `base` in the client's stored record; 0 if there is none. */
  durableBase: number;
  /** Revision at which the client's record in the state service was last written; 0 if there is no record. */
  stamp: number;
  pages: Map<number, Page>;
}

/**
 * Durable state of a graph: the final outcome of each task of each client, two bits each, in
 * records of 4,096 sequence numbers. Task specs are not stored: clients keep them until they
 * have received the outcome, and submit them again to the next owner. Outcomes are written in
 * batches, each conditional on the term and on the records it replaces; a record is removed
 * once the client has acknowledged all its outcomes.
 *
 * An outcome may be reported to the task's own client at once, because that client acknowledges
 * it again to the next owner. Before an outcome is reported to anybody else, `checkDurable` must
 * have returned true.
 */
export class Journal {
  private readonly clients = new Map<string, ClientState>();
  /** Outcomes that are not known to be durable, including those in flight. */
  private pendingOutcomes = 0;
  /** Number of pages with outcomes that are in neither a stored record nor the batch in flight. */
  private dirtyPages = 0;
  /**
   * Time of the first pending outcome or, if later, of the last commit; Infinity if no outcome is pending, -Infinity if a
   * batch should be written at once.
   */
  private pendingSince = Infinity;
  /** The batch in flight; there is at most one. */
  private inFlight: BatchInFlight | null = null;
  readonly stats = { outcomes: 0, changes: 0, batches: 0 };

  /** Throws if `valueKb` is too small for a page's record, or `txnOps` for a batch. */
  constructor(private readonly options: JournalOptions) {
    const recordBytes = Math.ceil(TASKS_PER_PAGE / OUTCOMES_PER_BYTE / 3) * 4 + MAX_RECORD_OVERHEAD_BYTES;
    if (recordBytes > options.valueKb * 1024)
      throw new Error(`value_kb ${options.valueKb}: a record of outcomes takes up to ${recordBytes} bytes`);
    if (options.txnOps < 2) throw new Error(`txn_ops ${options.txnOps}: expected at least 2`);
  }

  /** Restores a journal from the records of the previous owner. `options.term` is the new owner's term. */
  static restore(options: JournalOptions, rows: readonly Row[]): Journal {
    const journal = new Journal(options);
    for (const { k, v, stamp } of rows) {
      if (!k.startsWith(options.prefix)) continue;
      const [client, pageNo] = k.slice(options.prefix.length).split("/") as [string, string | undefined];
      const state = journal.clientState(client);
      if (pageNo === undefined) Object.assign(state, { base: (v as ClientRecord).base, durableBase: (v as ClientRecord).base, stamp });
      else {
        const page = new Page();
        page.bytes.set(Buffer.from((v as PageRecord).a, "base64"));
        page.stamp = stamp;
        state.pages.set(Number(pageNo), page);
      }
    }
    return journal;
  }

  private clientState(client: string): ClientState {
    let state = this.clients.get(client);
    if (state === undefined) this.clients.set(client, (state = { base: 0, durableBase: 0, stamp: 0, pages: new Map() }));
    return state;
  }

  /** Records the final outcome of a client's task. Returns false and changes nothing if the task already has one. */
  record(client: string, seq: number, outcome: Outcome): boolean {
    if (this.outcome(client, seq) !== null) return false;
    const { pages } = this.clientState(client);
    const pageNo = Math.floor(seq / TASKS_PER_PAGE);
    let page = pages.get(pageNo);
    if (page === undefined) pages.set(pageNo, (page = new Page()));
    page.set(seq % TASKS_PER_PAGE, outcome);
    if (page.unwritten++ === 0) this.dirtyPages++;
    this.pendingOutcomes++;
    this.pendingSince = Math.min(this.pendingSince, this.options.now());
    this.stats.outcomes++;
    return true;
  }

  /** Returns the outcome of a task, `acknowledged` if its client has acknowledged it, or null if there is none. */
  outcome(client: string, seq: number): Outcome | "acknowledged" | null {
    const state = this.clients.get(client);
    if (state === undefined) return null;
    if (seq < state.base) return "acknowledged";
    return state.pages.get(Math.floor(seq / TASKS_PER_PAGE))?.get(seq % TASKS_PER_PAGE) ?? null;
  }

  /** Records that the client has received the outcomes of all its tasks below this sequence number. */
  acknowledge(client: string, below: number): void {
    const state = this.clientState(client);
    state.base = Math.max(state.base, below);
  }

  /**
   * Returns whether the outcome of a task is durable and may be reported to others than its client. If it is recorded but
   * not durable, the next batch becomes due at once.
   */
  checkDurable(client: string, seq: number): boolean {
    const state = this.clients.get(client);
    if (state === undefined) return false;
    const page = state.pages.get(Math.floor(seq / TASKS_PER_PAGE));
    if (seq < state.durableBase) return true;
    if (page === undefined || page.get(seq % TASKS_PER_PAGE) === null) return false;
    const durable = page.unwritten === 0 && page.inFlight === null;
    if (!durable) this.pendingSince = -Infinity;
    return durable;
  }

  /**
   * Whether a batch should be written, because there are enough outcomes for the number of records that it has to write or
   * one has waited long enough. False while a batch is in flight.
   */
  isBatchDue(): boolean {
    if (this.inFlight !== null) return false;
    return (
      (this.pendingOutcomes > 0 && this.pendingOutcomes >= BATCHING.outcomesPerRecord * this.dirtyPages) ||
      this.options.now() - this.pendingSince >= BATCHING.maxWaitMs
    );
  }

  /** Returns the next batch as one transaction within the limits, or null if there is nothing to write or a batch is in flight. */
  draftBatch(): Draft | null {
    if (this.inFlight !== null) return null;
    const { prefix, ownerKey, term, txnOps } = this.options;
    const conditions: Condition[] = [{ k: ownerKey, stamp: term }];
    const apply: Op[] = [];
    const batch: BatchInFlight = { pages: [], bases: [] };
    for (const [client, state] of this.clients) {
      // A page of acknowledged outcomes is removed only if the client's base is stored, in the same batch or before: otherwise, its tasks
      // would seem to have no outcome.
      const acknowledged = [...state.pages].filter(([pageNo]) => (pageNo + 1) * TASKS_PER_PAGE <= state.base);
      if (acknowledged.length > 0 && apply.length + 2 <= txnOps) {
        if (state.base !== state.durableBase) {
          conditions.push({ k: prefix + client, stamp: state.stamp });
          apply.push({ write: prefix + client, v: { base: state.base } satisfies ClientRecord });
          batch.bases.push({ state, base: state.base });
        }
        for (const [pageNo, page] of acknowledged.slice(0, txnOps - apply.length)) {
          if (page.stamp > 0) {
            conditions.push({ k: `${prefix}${client}/${pageNo}`, stamp: page.stamp });
            apply.push({ remove: `${prefix}${client}/${pageNo}` });
          }
          batch.pages.push({ page, client, pageNo, drop: true });
        }
      }
    }
    // Pages with the most unwritten outcomes come first, so that one that receives single outcomes all the time doesn't starve others.
    const unwritten = [...this.clients].flatMap(([client, { base, pages }]) =>
      [...pages]
        .filter(([pageNo, page]) => page.unwritten > 0 && (pageNo + 1) * TASKS_PER_PAGE > base)
        .map(([pageNo, page]) => ({ client, pageNo, page })),
    );
    unwritten.sort((a, b) => b.page.unwritten - a.page.unwritten);
    for (const { client, pageNo, page } of unwritten.slice(0, txnOps - apply.length)) {
      const k = `${prefix}${client}/${pageNo}`;
      conditions.push({ k, stamp: page.stamp });
      apply.push({ write: k, v: { a: Buffer.from(page.bytes).toString("base64") } satisfies PageRecord });
      page.inFlight = page.unwritten;
      page.unwritten = 0;
      this.dirtyPages--;
      batch.pages.push({ page, client, pageNo, drop: false });
    }
    if (apply.length === 0) {
      // The pages of the batch were acknowledged before they were ever written, so there is no record to remove.
      for (const entry of batch.pages) this.dropPage(entry);
      return null;
    }
    this.inFlight = batch;
    this.stats.changes += apply.length;
    this.stats.batches++;
    return { conditions, apply };
  }

  /** Forgets a page whose record is removed or was never written. */
  private dropPage({ client, pageNo, page }: BatchInFlight["pages"][number]): void {
    this.pendingOutcomes -= page.unwritten;
    if (page.unwritten > 0) this.dirtyPages--;
    this.clients.get(client)?.pages.delete(pageNo);
  }

  /** Records that the batch in flight was committed at this revision (`stamp`). */
  batchCommitted(stamp: number): void {
    const { inFlight: batch } = this;
    if (batch === null) return;
    this.inFlight = null;
    for (const entry of batch.pages) {
      if (entry.drop) {
        this.dropPage(entry);
        continue;
      }
      const { page } = entry;
      this.pendingOutcomes -= page.inFlight ?? 0;
      page.inFlight = null;
      page.stamp = stamp;
    }
    for (const { state, base } of batch.bases) {
      state.durableBase = base;
      state.stamp = stamp;
    }
    this.pendingSince = this.pendingOutcomes > 0 ? this.options.now() : Infinity;
  }

  /**
   * Ends a batch whose transaction failed or got no response. `rows` are the graph's records, read
   * after that. The next batches write the same pages again, conditional on the revisions in `rows`.
   */
  reconcile(rows: readonly Row[]): void {
    const { inFlight: batch } = this;
    if (batch === null) return;
    this.inFlight = null;
    const stamps = new Map(rows.map(({ k, stamp }) => [k, stamp]));
    for (const { page } of batch.pages)
      if (page.inFlight !== null) {
        if (page.unwritten === 0 && page.inFlight > 0) this.dirtyPages++;
        page.unwritten += page.inFlight;
        page.inFlight = null;
      }
    for (const [client, state] of this.clients) {
      state.stamp = stamps.get(this.options.prefix + client) ?? 0;
      const record = rows.find(({ k }) => k === this.options.prefix + client)?.v as ClientRecord | undefined;
      state.durableBase = record?.base ?? 0;
      for (const [pageNo, page] of state.pages) page.stamp = stamps.get(`${this.options.prefix}${client}/${pageNo}`) ?? 0;
    }
  }
}
