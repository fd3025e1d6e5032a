import type { LeaderContext } from "./leader-context.js";
import type { Part } from "./part.js";

/** One part's way back after it changed hands. Times in ms from the claim; null: not yet. */
export interface Span {
  part: number;
  term: number;
  reason: string;
  /** Silence of the former leader before the claim, in ms. */
  silentMs: number | null;
  claimedAt: number;
  machines: number;
  fencedMs: number | null;
  placedMs: number | null;
  backMs: number | null;
  /** What kept the part from placing for longest. */
  waitedFor: string | null;
}

const MAX_SPANS = 100;
/** Work that waits longer than this multiple of the shortest boot does so for other reasons. */
const MAX_WAIT_BOOTS = 1;

/**
 * Recovery as a duty that is observed: each part that changes hands is followed through
 * claim, fence and first placement until no work waits that has room, and written down
 * with what it waited for. Whoever is on call sees in one line what a loss has cost.
 */
export class Recovery {
  readonly spans: Span[] = [];
  private readonly open = new Map<number, Span>();

  constructor(private readonly context: LeaderContext) {}

  claimed(partition: number, term: number, reason: string, silentMs: number | null): void {
    const span: Span = {
      part: partition,
      term,
      reason,
      silentMs,
      claimedAt: this.context.now,
      machines: 0,
      fencedMs: null,
      placedMs: null,
      backMs: null,
      waitedFor: null,
    };
    this.open.set(partition, span);
    this.spans.push(span);
    if (this.spans.length > MAX_SPANS) this.spans.shift();
  }

  private openSpan(partition: Part): Span | undefined {
    const span = this.open.get(partition.id);
    return span?.term === partition.term ? span : undefined;
  }

  /** `last`: the machine that was accounted for last, and how. */
  recordFenced(partition: Part, last: string | null): void {
    const span = this.openSpan(partition);
    if (span === undefined || span.fencedMs !== null) return;
    span.machines = partition.machines.size;
    span.fencedMs = Math.round(this.context.now - span.claimedAt);
    span.waitedFor = last;
  }

  recordTaskStart(partition: Part): void {
    const span = this.openSpan(partition);
    if (span !== undefined) span.placedMs ??= Math.round(this.context.now - span.claimedAt);
  }

  /** Looked at as time passes: is all back that a takeover kept waiting? */
  checkCompletion(partition: Part): void {
    const span = this.openSpan(partition);
    if (span === undefined || span.fencedMs === null || span.backMs !== null) return;
    const maxWaitMs = Math.min(Infinity, ...this.context.types.map((type) => type.bootS * 1000)) * MAX_WAIT_BOOTS;
    const sinceFence = this.context.now - span.claimedAt - span.fencedMs;
    const waits = [...partition.units.values()].some(
      (taskSet) => taskSet.waiting.length > 0 && taskSet.arrivedAt <= span.claimedAt + span.fencedMs!,
    );
    if (waits && span.placedMs === null && sinceFence < maxWaitMs) return;
    span.backMs = Math.round(this.context.now - span.claimedAt);
    this.open.delete(partition.id);
    const { claimedAt: _claimedAt, ...fields } = span;
    this.context.scope.log.info(fields, "recovered");
  }
}
