import type { PresenceRecord } from "../ledger/records.js";

/** Young lives in a row that ended, after which a node leaves its parts to others for a while. */
const MOST_ENDS = 3;
/** Of a worker's lease: the shortest such rest; it doubles with each further end, up to the longest. */
const SHORTEST_REST = 1 / 2;
const LONGEST_REST = 2;

/**
 * How many lives before this one ended young, in a row. A life that is older than a lease says so
 * by leaving `ends` out; a record that vanished before this life began counts for nothing, and
 * neither does one of a version that knows no `ends`.
 */
export function endsBefore(former: PresenceRecord | undefined): number {
  return former?.ends === undefined ? 0 : former.ends + 1;
}

/**
 * How long after its start, in ms, a node that keeps ending leaves its parts to others. Each of its
 * lives would raise the terms, and have all machines accounted for anew, without ever placing anything.
 */
export function restMs(ends: number, leaseMs: number): number {
  if (ends < MOST_ENDS) return 0;
  return leaseMs * Math.min(LONGEST_REST, SHORTEST_REST * 2 ** Math.min(ends - MOST_ENDS, 10));
}

/** What a node shows of itself. */
export function shown(
  life: string,
  unfit: boolean,
  ends: number,
  young: boolean,
  refutes = 0,
  acts: PresenceRecord["acts"] | null = null,
): PresenceRecord {
  return {
    life,
    ...(unfit ? { unfit } : {}),
    ...(young ? { ends } : {}),
    refutes,
    ...(acts === null || acts === undefined ? {} : { acts }),
  };
}
