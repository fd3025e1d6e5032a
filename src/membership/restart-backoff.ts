import type { PresenceRecord } from "../ledger/records.js";

/** Backoff of a node that keeps exiting shortly after its start. */

/** Minimum number of consecutive early exits after which a node leaves its partitions to others for a while. */
const EARLY_EXITS_BEFORE_BACKOFF = 3;
/**
 * Bounds of the time for which a node that keeps exiting leaves its partitions to others, as multiples of the worker
 * lease; the time doubles with each further early exit.
 */
const MIN_BACKOFF = 1 / 2;
const MAX_BACKOFF = 2;

/**
 * Returns the number of consecutive early exits before this incarnation, according to the presence record of the former
 * one. An incarnation older than a lease omits `ends`. A missing record, which expired before this incarnation started,
 * counts as no early exit, and so does a record by a version of this program without `ends`.
 */
export function precedingEarlyExits(former: PresenceRecord | undefined): number {
  return former?.ends === undefined ? 0 : former.ends + 1;
}

/**
 * Returns the time after its start, in ms, for which a node that keeps exiting leaves its partitions to others.
 * Otherwise each of its incarnations would raise the terms and have all machines fenced again without placing any
 * task.
 */
export function restartBackoffMs(earlyExits: number, leaseMs: number): number {
  if (earlyExits < EARLY_EXITS_BEFORE_BACKOFF) return 0;
  return leaseMs * Math.min(MAX_BACKOFF, MIN_BACKOFF * 2 ** Math.min(earlyExits - EARLY_EXITS_BEFORE_BACKOFF, 10));
}

/**
 * Builds the presence record of a node. `ends`, the number of consecutive early exits, is included only while the
 * incarnation is `young`, so that a later exit does not count as early.
 */
export function presenceRecord(
  incarnation: string,
  unfit: boolean,
  ends: number,
  young: boolean,
  refutes = 0,
  acts: PresenceRecord["acts"] | null = null,
): PresenceRecord {
  return {
    life: incarnation,
    ...(unfit ? { unfit } : {}),
    ...(young ? { ends } : {}),
    refutes,
    ...(acts === null || acts === undefined ? {} : { acts }),
  };
}
