/**
 * The audit log: why a start, a stop or a restart was allowed. One line an event, with the same field names everywhere, so
 * that the life of one task can be put together from the logs of all controllers (docs/operations.md).
 */
import { Rate, type SteadyClock } from "@thorntrail/protocol/rate";
import type { Log } from "../platform/log.js";
import { pieceName, type Placement } from "../queue/unit.js";
import type { Ended } from "../served/account.js";
import type { FenceProof, Machine } from "../workers/machine.js";
import type { Part } from "./part.js";

/** Of starts under old proof so many are told a second, with this many at once; the counter counts all. */
const STALE_START_LINES_PER_SECOND = 5;
const STALE_START_LINES_BURST = 200;

export class Audit {
  /** Tasks that were started again while the proof of ownership was old. */
  staleRestarts = 0;
  private readonly staleStartLines: Rate;

  constructor(
    clock: SteadyClock,
    private readonly log: Log,
    /** Age of what is known of the state service, in ms: ownership was proven that long ago. */
    private readonly proofAgeMs: () => number,
    /** A proof that is older is no fresh one. */
    private readonly maxFreshMs: number,
  ) {
    this.staleStartLines = new Rate(clock, STALE_START_LINES_PER_SECOND, STALE_START_LINES_BURST);
  }

  /** Fields that say which attempt it is, and by which right it is spoken of. */
  private attemptFields(partition: Part, placement: Placement): Record<string, unknown> {
    return {
      part: partition.id,
      term: partition.term,
      piece: pieceName(placement.unit, placement.task),
      attempt: placement.attempt,
      host: placement.host,
      session: partition.machines.get(placement.host)?.session,
      readAgoMs: Math.round(this.proofAgeMs()),
    };
  }

  private get verbose(): boolean {
    return this.log.isLevelEnabled("debug");
  }

  /**
   * The scheduling cycle gave the task to the machine; no other attempt of it may be on one. `former`: the last attempt of
   * it that is gone, and by which proof. A task that starts again while the proof of ownership is old is told at info.
   */
  logOrdered(partition: Part, placement: Placement): void {
    const former = placement.unit.lastGone.get(placement.task);
    const stale = former !== undefined && this.proofAgeMs() > this.maxFreshMs;
    if (stale) this.staleRestarts++;
    if (stale && this.staleStartLines.take())
      this.log.info({ ...this.attemptFields(partition, placement), former }, "attempt ordered again without fresh proof of ownership");
    else if (this.verbose) this.log.debug({ ...this.attemptFields(partition, placement), former }, "attempt ordered");
  }

  logAdopted(partition: Part, placement: Placement, wanted: boolean): void {
    if (wanted) {
      if (this.verbose) this.log.debug({ ...this.attemptFields(partition, placement), state: placement.state }, "attempt adopted");
      return;
    }
    if (!this.log.isLevelEnabled("info")) return;
    const others = placement.unit.attempts.others(placement).map(({ attempt, host }) => ({ attempt, host }));
    this.log.info(
      { ...this.attemptFields(partition, placement), state: placement.state, others },
      "attempt adopted, not wanted: told to stop, its task waits",
    );
  }

  /** Proven gone: `end` says by what. */
  logGone(partition: Part, { placement, end, kept, proof }: Ended): void {
    if (this.verbose)
      this.log.debug({ ...this.attemptFields(partition, placement), state: placement.state, end, kept, proof }, "attempt gone");
  }

  logFenced(partition: Part, machine: Machine, proof: FenceProof): void {
    if (!this.verbose) return;
    const { host, session, token } = machine;
    this.log.debug({ part: partition.id, term: partition.term, host, session, token, proof }, "machine fenced");
  }

  /** The worker is told to forget a result that is durable, or an attempt without one. */
  logCleared(partition: Part, machine: Machine, piece: string, attempt: number): void {
    if (!this.verbose) return;
    const { host, session } = machine;
    this.log.debug({ part: partition.id, term: partition.term, piece, attempt, host, session }, "attempt cleared");
  }
}
