import { adjustedShares, startsAllowed, totalShares, type Shares } from "../../src/configuration/quota-shares.js";

/**
 * A team's limit that changes while its tasks run, over two partitions, by the very functions that decide it: every
 * order in which owners learn of the versions, start and end tasks, adjust and cede shares, change hands, and in which
 * copies of their writes are applied late. Once all owners act by a version, no start may bring what runs above its limit.
 */
export interface Wrong {
  /** Starts within its share although the sum of shares is above the limit. */
  startsAboveLimit?: boolean;
  /** Lowers its share below what its tasks use. */
  ignoresUse?: boolean;
  /** Late copies are applied whatever has been written since. */
  unconditional?: boolean;
  /** What was ceded without an answer counts as still there. */
  forgetsCeded?: boolean;
  /** Gives another partition what its own tasks use. */
  cedesUsed?: boolean;
}

const PARTITIONS = 2;
/** Limits by version. */
const LIMITS = [4, 2, 3] as const;

interface State {
  /** Newest version, and what each partition's owner has learned. */
  version: number;
  known: number[];
  shares: number[];
  /** Counts every write of the shares. */
  stamp: number;
  used: number[];
  /** A write that was not answered: what it says, and on what it is conditional. */
  late: { shares: number[]; stamp: number; version: number; cededBy: number | null } | null;
  /** Changes of owner that are left: the heir learns all there is and counts what runs. */
  takeovers: number;
  starts: number;
}

const total = (used: readonly number[]): number => used.reduce((a, b) => a + b, 0);
const replaced = (list: readonly number[], i: number, value: number): number[] => list.map((x, j) => (j === i ? value : x));

function inForce(state: State): boolean {
  return state.known.every((version) => version === state.version);
}

/** What may happen next; a fault is a start that passes a limit in force. */
function successors(state: State, wrong: Wrong): { next: State; fault: string | null }[] {
  const found: { next: State; fault: string | null }[] = [];
  const add = (next: Partial<State>, fault: string | null = null): void => void found.push({ next: { ...state, ...next }, fault });
  if (state.version + 1 < LIMITS.length) add({ version: state.version + 1 });
  for (let i = 0; i < PARTITIONS; i++) {
    const limit = LIMITS[state.known[i]!]!;
    // What is being ceded without an answer counts as gone.
    const ceding = state.late?.cededBy === i && wrong.forgetsCeded !== true ? 1 : 0;
    const [used, share] = [state.used[i]!, state.shares[i]! - ceding];
    if (state.known[i]! < state.version) add({ known: replaced(state.known, i, state.version) });
    if (used > 0) add({ used: replaced(state.used, i, used - 1) });
    const allowed = wrong.startsAboveLimit === true || startsAllowed(state.shares, limit);
    if (state.starts > 0 && allowed && used + 1 <= share) {
      const after = replaced(state.used, i, used + 1);
      const passes = inForce(state) && total(after) > LIMITS[state.version]!;
      add({ used: after, starts: state.starts - 1 }, passes ? `a start above ${LIMITS[state.version]}` : null);
    }
    const counted = wrong.ignoresUse === true ? 0 : used;
    const written =
      state.known[i] === state.version ? adjustedShares(state.shares, limit, { partition: i, used: counted, raises: i === 0 }) : null;
    if (written !== null) addWrite(state, written, null, add);
    const spare = wrong.cedesUsed === true ? share : startsAllowed(state.shares, limit) ? share - used : 0;
    if (spare > 0 && ceding === 0) addWrite(state, replaced(replaced(state.shares, i, share - 1), 1 - i, state.shares[1 - i]! + 1), i, add);
    if (state.takeovers > 0)
      add({
        takeovers: state.takeovers - 1,
        known: replaced(state.known, i, state.version),
        late: wrong.unconditional === true ? state.late : null,
      });
  }
  if (state.late !== null) {
    const holds = wrong.unconditional === true || (state.late.stamp === state.stamp && state.late.version === state.version);
    add(holds ? { shares: state.late.shares, stamp: state.stamp + 1, late: null } : { late: null });
  }
  return found;
}

/** Applied and answered; or not answered, to be applied later or never. */
function addWrite(state: State, shares: Shares, cededBy: number | null, add: (next: Partial<State>) => void): void {
  const written = shares.map((share) => share ?? 0);
  add({ shares: written, stamp: state.stamp + 1 });
  if (state.late === null) add({ late: { shares: written, stamp: state.stamp, version: state.version, cededBy } });
}

/** Goes through all states, or until a fault is found; `most` bounds them. */
export function exploreQuota(wrong: Wrong, starts: number, most: number): { states: number; faults: Set<string>; sums: number } {
  const first: State = {
    ...{ version: 0, known: [0, 0], shares: [2, 2], stamp: 0, used: [0, 0], late: null, takeovers: 1, starts },
  };
  const seen = new Set<string>();
  const faults = new Set<string>();
  let sums = 0;
  const open = [first];
  while (open.length > 0 && seen.size < most && faults.size === 0) {
    const state = open.pop()!;
    // Stamps matter only in whether a late write still holds.
    const current = state.late !== null && state.late.stamp === state.stamp;
    const key = JSON.stringify([{ ...state, stamp: 0, late: state.late === null ? null : { ...state.late, stamp: current } }]);
    if (seen.has(key)) continue;
    seen.add(key);
    sums = Math.max(sums, totalShares(state.shares));
    for (const { next, fault } of successors(state, wrong)) {
      if (fault !== null) faults.add(fault);
      else open.push(next);
    }
  }
  return { states: seen.size, faults, sums };
}
