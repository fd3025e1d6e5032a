/**
 * Explicit-state model of a team's limit that changes while its tasks run in two partitions, each with a quota share (its part
 * of the limit). The production functions decide on the shares. The model explores every order in which the partitions' owners
 * read versions of the limit, start and end tasks, adjust and transfer shares, are replaced by a new owner, and in which
 * unanswered writes are applied late. Once all owners have read the newest version, no start of a task may raise the usage
 * above the limit of that version.
 */
import { adjustedShares, startsAllowed, totalShares, type Shares } from "../../src/configuration/quota-shares.js";

/** Switches that each break one rule on purpose; the exploration has to find a violation with each of them. */
export interface FaultyVariant {
  /** Faulty variant: an owner starts tasks within its share although the sum of all shares is above the limit. */
  startsAboveLimit?: boolean;
  /** Faulty variant: an owner lowers its share below what its running tasks use. */
  ignoresUse?: boolean;
  /** Faulty variant: a late write is applied even if the shares or the limit's version have changed since it was sent. */
  unconditional?: boolean;
  /** Faulty variant: an owner still uses quota that it tried to transfer in a write that was not answered. */
  forgetsCeded?: boolean;
  /** Faulty variant: an owner transfers quota that its own running tasks use. */
  cedesUsed?: boolean;
}

const PARTITIONS = 2;
/** The team's quota limit in each version of the configuration. */
const LIMITS = [4, 2, 3] as const;

interface State {
  /** Newest version of the team's limit; `known` holds the version that each partition's owner has read. */
  version: number;
  known: number[];
  shares: number[];
  /** Revision of the stored shares, raised by each write. */
  stamp: number;
  used: number[];
  /**
   * An unanswered write of the shares: its content, the revision and the limit's version that it is conditional on, and the partition
   * whose quota it transfers (null if it transfers none). Null if there is no such write.
   */
  late: { shares: number[]; stamp: number; version: number; cededBy: number | null } | null;
  /** How often a partition may still get a new owner, which reads the newest version and counts the running tasks. */
  takeovers: number;
  /** How many tasks may still be started. */
  starts: number;
}

const total = (used: readonly number[]): number => used.reduce((a, b) => a + b, 0);
const replaced = (list: readonly number[], i: number, value: number): number[] => list.map((x, j) => (j === i ? value : x));

function inForce(state: State): boolean {
  return state.known.every((version) => version === state.version);
}

/** Returns all possible next states; `fault` names a start of a task that exceeds the limit in force, or is null. */
function successors(state: State, wrong: FaultyVariant): { next: State; fault: string | null }[] {
  const results: { next: State; fault: string | null }[] = [];
  const add = (next: Partial<State>, fault: string | null = null): void => void results.push({ next: { ...state, ...next }, fault });
  if (state.version + 1 < LIMITS.length) add({ version: state.version + 1 });
  for (let i = 0; i < PARTITIONS; i++) {
    const limit = LIMITS[state.known[i]!]!;
    // Quota that the owner tried to transfer in an unanswered write counts as given away.
    const ceding = state.late?.cededBy === i && wrong.forgetsCeded !== true ? 1 : 0;
    const [used, share] = [state.used[i]!, state.shares[i]! - ceding];
    if (state.known[i]! < state.version) add({ known: replaced(state.known, i, state.version) });
    if (used > 0) add({ used: replaced(state.used, i, used - 1) });
    const allowed = wrong.startsAboveLimit === true || startsAllowed(state.shares, limit);
    if (state.starts > 0 && allowed && used + 1 <= share) {
      const after = replaced(state.used, i, used + 1);
      const exceeds = inForce(state) && total(after) > LIMITS[state.version]!;
      add({ used: after, starts: state.starts - 1 }, exceeds ? `a start above ${LIMITS[state.version]}` : null);
    }
    const counted = wrong.ignoresUse === true ? 0 : used;
    const written =
      state.known[i] === state.version ? adjustedShares(state.shares, limit, { partition: i, used: counted, raises: i === 0 }) : null;
    if (written !== null) addWrite(state, written, null, add);
    const transferable = wrong.cedesUsed === true ? share : startsAllowed(state.shares, limit) ? share - used : 0;
    if (transferable > 0 && ceding === 0)
      addWrite(state, replaced(replaced(state.shares, i, share - 1), 1 - i, state.shares[1 - i]! + 1), i, add);
    if (state.takeovers > 0)
      add({
        takeovers: state.takeovers - 1,
        known: replaced(state.known, i, state.version),
        late: wrong.unconditional === true ? state.late : null,
      });
  }
  if (state.late !== null) {
    const conditionHolds = wrong.unconditional === true || (state.late.stamp === state.stamp && state.late.version === state.version);
    add(conditionHolds ? { shares: state.late.shares, stamp: state.stamp + 1, late: null } : { late: null });
  }
  return results;
}

/** Adds the states that a write of the shares can lead to: applied and answered, or not answered and applied later or never. */
function addWrite(state: State, shares: Shares, cededBy: number | null, add: (next: Partial<State>) => void): void {
  const written = shares.map((share) => share ?? 0);
  add({ shares: written, stamp: state.stamp + 1 });
  if (state.late === null) add({ late: { shares: written, stamp: state.stamp, version: state.version, cededBy } });
}

/**
 * Explores all states until a fault is found or `maxStates` are reached. `sums` is the largest sum of shares in any state.
 */
export function exploreQuota(
  wrong: FaultyVariant,
  starts: number,
  maxStates: number,
): { states: number; faults: Set<string>; sums: number } {
  const first: State = {
    ...{ version: 0, known: [0, 0], shares: [2, 2], stamp: 0, used: [0, 0], late: null, takeovers: 1, starts },
  };
  const seen = new Set<string>();
  const faults = new Set<string>();
  let sums = 0;
  const pending = [first];
  while (pending.length > 0 && seen.size < maxStates && faults.size === 0) {
    const state = pending.pop()!;
    // Revisions affect only whether the late write's condition still holds, so the key contains this instead of the revisions.
    const current = state.late !== null && state.late.stamp === state.stamp;
    const key = JSON.stringify([{ ...state, stamp: 0, late: state.late === null ? null : { ...state.late, stamp: current } }]);
    if (seen.has(key)) continue;
    seen.add(key);
    sums = Math.max(sums, totalShares(state.shares));
    for (const { next, fault } of successors(state, wrong)) {
      if (fault !== null) faults.add(fault);
      else pending.push(next);
    }
  }
  return { states: seen.size, faults, sums };
}
