/**
 * Explicit-state model of gangs in several partitions that each need machines of the same offering. The production functions
 * decide which gang gives way. The model explores every order in which partitions rent and return machines, record claims,
 * read each other's claims, and start and end gangs, while reads are late, writes get no answer and are applied late or not at
 * all, and a rental request is carried out a second time.
 *
 * A state is a deadlock if a gang waits and nothing can change any more. Faults are bounded by a number; a path that goes on
 * for ever without one is a livelock, and would show as a cycle.
 */
import { claimsOf, givesWay, precedes, type GangIdentity } from "../../src/fleet/gang-precedence.js";

/** Rules of who gives way. `order` is the production rule; the others break it on purpose. */
export type Rule =
  | "order"
  /** No gang gives way. */
  | "keep"
  /** Each gang gives way to any other one. */
  | "both"
  /** A gang gives up its machines, but rents again although the claim stands. */
  | "rents-again"
  /** Each partition puts its own gang first. */
  | "own-first";

/** Size of the model: `needs` lists how many machines the gang of each partition needs, in the order of submission. */
export interface Bounds {
  machines: number;
  needs: readonly number[];
  /** How many messages may be lost, carried out late or carried out twice. */
  faults: number;
}

const OFFERING = "m/a/ordinary";

type Phase = "waiting" | "running" | "done";

interface State {
  phase: Phase[];
  /** Machines that each partition holds. */
  held: number[];
  /** Machines that the cloud has left. */
  free: number;
  /** Whether the partition's claim is recorded; `stamp` counts its writes. */
  claimed: boolean[];
  stamp: number[];
  /** The claims of each partition as each partition has last read them, by reader. */
  read: boolean[][];
  /** A write of a claim that got no answer, and the stamp that it is conditional on. */
  late: { partition: number; claimed: boolean; stamp: number } | null;
  /** A copy of a rental request that the cloud may still carry out. */
  lateRental: number | null;
  faults: number;
}

const replaced = <T>(list: readonly T[], i: number, value: T): T[] => list.map((x, j) => (j === i ? value : x));

const gangOf = (partition: number): GangIdentity => ({ ref: `run-${partition}`, urgency: "urgent", submittedAt: partition });

/** Whether the partition's gang gives way, by the claims that the partition has read. */
function mustGiveWay(state: State, partition: number, rule: Rule): boolean {
  if (rule === "keep" || rule === "own-first") return false;
  const others = state.phase.map((_, i) => i).filter((i) => i !== partition && state.read[partition]![i]!);
  if (rule === "both") return others.length > 0;
  return givesWay(gangOf(partition), others.map(gangOf));
}

/** All states that can follow, other than the state itself. */
function successors(state: State, { needs }: Bounds, rule: Rule): State[] {
  const next: State[] = [];
  const add = (change: Partial<State>): void => void next.push({ ...state, ...change });
  needs.forEach((need, i) => {
    const held = state.held[i]!;
    const waits = state.phase[i] === "waiting";
    const incomplete = waits && held < need;
    // A gang that needs one machine never keeps a part.
    const gives = need > 1 && mustGiveWay(state, i, rule);
    // Rents one machine at a time, so that every division of the machines is reached.
    if (incomplete && state.free > 0 && (!gives || rule === "rents-again")) {
      const rented = { held: replaced(state.held, i, held + 1), free: state.free - 1 };
      add(rented);
      // The cloud carries out a copy of the request later, when the partition may not want the machine any more.
      if (state.faults > 0 && state.lateRental === null) add({ ...rented, lateRental: i, faults: state.faults - 1 });
    }
    if (waits && !incomplete) add({ phase: replaced(state.phase, i, "running") });
    if (state.phase[i] === "running") add({ phase: replaced(state.phase, i, "done") });
    const given = (incomplete && gives) || (waits && held > need);
    const idle = state.phase[i] === "done";
    if (held > 0 && (given || idle)) add({ held: replaced(state.held, i, held - 1), free: state.free + 1 });
    addClaimSteps(state, i, incomplete && held > 0, add);
    for (let j = 0; j < needs.length; j++)
      if (state.read[i]![j] !== state.claimed[j]) add({ read: replaced(state.read, i, replaced(state.read[i]!, j, state.claimed[j]!)) });
  });
  if (state.late !== null) {
    const { partition, claimed, stamp } = state.late;
    add({ late: null });
    if (stamp === state.stamp[partition])
      add({ late: null, claimed: replaced(state.claimed, partition, claimed), stamp: replaced(state.stamp, partition, stamp + 1) });
  }
  if (state.lateRental !== null) {
    const i = state.lateRental;
    add({ lateRental: null });
    if (state.free > 0) add({ lateRental: null, held: replaced(state.held, i, state.held[i]! + 1), free: state.free - 1 });
  }
  return next;
}

/** A partition records a claim while it keeps a part of its gang's machines and the cloud refuses the others; else it removes it. */
function addClaimSteps(state: State, i: number, holdsPart: boolean, add: (change: Partial<State>) => void): void {
  const blocked = holdsPart && state.free === 0 ? [{ gang: gangOf(i), refusedOfferings: [OFFERING] }] : [];
  const isClaim = OFFERING in claimsOf(blocked);
  // A recorded claim stands as long as that is so: the cloud was asked and refused before.
  const wanted = isClaim || (holdsPart && state.claimed[i]!);
  if (wanted === state.claimed[i]) return;
  add({ claimed: replaced(state.claimed, i, wanted), stamp: replaced(state.stamp, i, state.stamp[i]! + 1) });
  if (state.faults > 0 && state.late === null)
    add({ late: { partition: i, claimed: wanted, stamp: state.stamp[i]! }, faults: state.faults - 1 });
}

function firstState({ machines, needs, faults }: Bounds): State {
  const none = needs.map(() => false);
  return {
    phase: needs.map((): Phase => "waiting"),
    held: needs.map(() => 0),
    free: machines,
    claimed: none,
    stamp: needs.map(() => 0),
    read: needs.map(() => [...none]),
    late: null,
    lateRental: null,
    faults,
  };
}

/** Identity of a state: stamps count only as far as they decide whether the late write still applies. */
function keyOf(state: State): string {
  const { late } = state;
  const lateKey = late === null ? null : [late.partition, late.claimed, late.stamp === state.stamp[late.partition]];
  return JSON.stringify([state.phase, state.held, state.free, state.claimed, state.read, lateKey, state.lateRental, state.faults]);
}

/** What an exploration found. */
export interface Exploration {
  states: number;
  /** A state in which a gang waits and nothing can change; null if there is none. */
  deadlock: string | null;
  /** A state that can be reached from itself, so that a path may go on for ever; null if there is none. */
  cycle: string | null;
}

/** Explores all states depth first. */
export function exploreGangs(bounds: Bounds, rule: Rule): Exploration {
  const result: Exploration = { states: 0, deadlock: null, cycle: null };
  const finished = new Set<string>();
  const onPath = new Set<string>();
  interface Frame {
    key: string;
    next: State[];
  }
  const open = (state: State): Frame => {
    const key = keyOf(state);
    const next = successors(state, bounds, rule);
    result.states++;
    onPath.add(key);
    if (next.length === 0 && state.phase.some((phase) => phase !== "done")) result.deadlock ??= key;
    return { key, next };
  };
  const stack = [open(firstState(bounds))];
  while (stack.length > 0) {
    const frame = stack[stack.length - 1]!;
    const state = frame.next.pop();
    if (state === undefined) {
      stack.pop();
      onPath.delete(frame.key);
      finished.add(frame.key);
      continue;
    }
    const key = keyOf(state);
    if (onPath.has(key)) result.cycle ??= key;
    else if (!finished.has(key)) stack.push(open(state));
  }
  return result;
}

/** Whether the first gang of the order is never the one that gives way, whatever claims are read. */
export function firstNeverGivesWay(gangs: readonly GangIdentity[]): boolean {
  const first = gangs.reduce((a, b) => (precedes(b, a) ? b : a));
  return !givesWay(first, gangs);
}
