/** Combines pending writes into one transaction. Pure decisions: sending and repeating transactions is the group committer's. */
import type { Condition, Op } from "@thorntrail/protocol/state";

/** Conditions and changes that a pending write adds to a transaction. */
export interface Draft {
  conditions: Condition[];
  apply: Op[];
}

/**
 * Outcome of a pending write. `done`: applied. `settled`: nothing was left to write, or the write alone exceeds a
 * transaction's limits; the caller reads the replica for the current state. `shed`: never sent, or refused for its
 * size.
 */
export type CommitOutcome = "done" | "settled" | "shed";

/** Pending writes that share one transaction, with their merged conditions and changes. */
export interface Batch {
  conditions: Condition[];
  apply: Op[];
  pendingWrites: PendingWrite[];
}

/** A write that waits for its transaction. */
export interface PendingWrite {
  label: string;
  draft: () => Draft | null;
  resolve: (outcome: CommitOutcome) => void;
  /** Whether the write was sent without a definite answer, so that an earlier copy may still be applied late. */
  outcomeUnknown: boolean;
  shedAt: number;
  rank: number;
  exclusive: boolean;
}

/** What one call of `assembleBatch` decides. Writes that are in none of the members stay queued. */
export interface AssembledBatch {
  /** The next transaction; null if no write can be sent now. */
  batch: Batch | null;
  /** Writes that have nothing left to write. */
  settled: PendingWrite[];
  /** Writes that alone exceed a transaction's limits. */
  oversized: PendingWrite[];
}

/** Limits of the next transaction. */
export interface BatchLimits {
  /** Number of changes that the write rate allows now. */
  maxOps: number;
  /** Maximum number of changes in any transaction; four times as many conditions are allowed. */
  txnOps: number;
  /** Number of writes that must remain allowed after this write is sent. */
  reservedWrites: (pendingWrite: PendingWrite) => number;
}

/** Maximum size in bytes of a transaction's conditions and changes; the state service takes 64 KiB. */
const MAX_BODY_BYTES = 60 * 1024;
/** Size in bytes of a transaction without conditions and changes. */
const EMPTY_BODY_BYTES = 64;

const keyOf = (op: Op): string => ("write" in op ? op.write : op.remove);

/** The conditions and changes of a transaction while writes are added to it, one after another. */
class BatchBuilder {
  private readonly conditions = new Map<string, number>();
  private readonly written = new Set<string>();
  private readonly apply: Op[] = [];
  private readonly pendingWrites: PendingWrite[] = [];
  private bytes = EMPTY_BODY_BYTES;
  /** Keys written or compared by transactions in flight. Their changes are not in the replica yet, so a write that depends on one would only conflict. */
  private readonly inFlightWrites: ReadonlySet<string>;
  private readonly inFlightConditions: ReadonlySet<string>;

  constructor(
    inFlight: Iterable<Batch>,
    private readonly limits: BatchLimits,
  ) {
    const batches = [...inFlight];
    this.inFlightWrites = new Set(batches.flatMap(({ apply }) => apply.map(keyOf)));
    this.inFlightConditions = new Set(batches.flatMap(({ conditions }) => conditions.map(({ k }) => k)));
  }

  get isEmpty(): boolean {
    return this.pendingWrites.length === 0;
  }

  get isFull(): boolean {
    return this.apply.length >= Math.max(1, this.limits.maxOps);
  }

  /** Returns whether the draft depends on a key that this or a transaction in flight changes, or the other way round. */
  conflicts(draft: Draft): boolean {
    const { conditions, written, inFlightWrites, inFlightConditions } = this;
    return (
      draft.apply.map(keyOf).some((k) => written.has(k) || conditions.has(k) || inFlightWrites.has(k) || inFlightConditions.has(k)) ||
      draft.conditions.some(({ k, stamp }) => written.has(k) || inFlightWrites.has(k) || (conditions.has(k) && conditions.get(k) !== stamp))
    );
  }

  /** Returns whether the draft, of a size in bytes, fits beside the writes that were added. */
  fits(pendingWrite: PendingWrite, draft: Draft, bytes: number): boolean {
    const { maxOps, txnOps, reservedWrites } = this.limits;
    const mergedConditions = new Set([...this.conditions.keys(), ...draft.conditions.map(({ k }) => k)]).size;
    const remainingOps = this.isEmpty ? txnOps : maxOps - reservedWrites(pendingWrite);
    return this.apply.length + draft.apply.length <= remainingOps && mergedConditions <= 4 * txnOps && this.bytes + bytes <= MAX_BODY_BYTES;
  }

  add(pendingWrite: PendingWrite, draft: Draft, bytes: number): void {
    this.bytes += bytes;
    this.pendingWrites.push(pendingWrite);
    for (const { k, stamp } of draft.conditions) this.conditions.set(k, stamp);
    for (const op of draft.apply) {
      this.written.add(keyOf(op));
      this.apply.push(op);
    }
  }

  build(): Batch | null {
    if (this.isEmpty) return null;
    const conditions = [...this.conditions].map(([k, stamp]) => ({ k, stamp }));
    return { conditions, apply: this.apply, pendingWrites: this.pendingWrites };
  }
}

/** Builds the next transaction from the queued writes, in order of priority and then of arrival. */
export function assembleBatch(queue: readonly PendingWrite[], inFlight: Iterable<Batch>, limits: BatchLimits): AssembledBatch {
  const builder = new BatchBuilder(inFlight, limits);
  const settled: PendingWrite[] = [];
  const oversized: PendingWrite[] = [];
  for (const pendingWrite of [...queue].sort((a, b) => a.rank - b.rank)) {
    if (builder.isFull) break;
    if (pendingWrite.exclusive && !builder.isEmpty) continue;
    const draft = pendingWrite.draft();
    if (draft === null) {
      settled.push(pendingWrite);
      continue;
    }
    const bytes = JSON.stringify(draft).length;
    const conflicts = builder.conflicts(draft);
    if (conflicts || !builder.fits(pendingWrite, draft, bytes)) {
      if (builder.isEmpty && !conflicts) oversized.push(pendingWrite);
      continue;
    }
    builder.add(pendingWrite, draft, bytes);
    if (pendingWrite.exclusive) break;
  }
  return { batch: builder.build(), settled, oversized };
}
