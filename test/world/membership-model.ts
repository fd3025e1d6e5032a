/**
 * Explicit-state model of one partition, two controllers and the state service. The production functions decide on
 * suspicions (a peer may have failed), their refutation by the suspect, verdicts (a peer counts as gone) and claims of the
 * partition. Time is not modelled: a suspicion may be old enough for a verdict as soon as it is read, and a write may arrive
 * late, twice or never.
 */
import type { OwnerRecord, PresenceRecord, SuspicionRecord } from "../../src/ledger/records.js";
import {
  requiredRefutation,
  isUnrefuted,
  nextSuspicion,
  peerStatus,
  type Evidence,
  type SuspicionLimits,
  type OwnHealth,
} from "../../src/membership/suspicion.js";
import { claimConditions, reasonToClaim, type ClaimReason } from "../../src/partitions/claims.js";

const NODES = ["a", "b"] as const;
type Node = (typeof NODES)[number];

interface Entry<T> {
  v: T;
  stamp: number;
}
interface Store {
  ledger: number;
  /** The partition's owner record. `by` is the number of restarts of the claiming node; only the model reads it, not the controllers. */
  owner: (Entry<OwnerRecord> & { by: number }) | null;
  alive: Partial<Record<Node, Entry<PresenceRecord>>>;
  suspicion: Partial<Record<Node, Entry<SuspicionRecord>>>;
}
type Write = { what: "owner"; v: OwnerRecord } | { what: "alive"; v: PresenceRecord } | { what: "suspicion"; of: Node; v: SuspicionRecord };
interface Sent {
  from: Node;
  by: number;
  conditions: { k: string; stamp: number }[];
  write: Write;
  reason: ClaimReason | null;
}
/** State of the model. It is plain data, so that states can be copied and compared as JSON. */
export interface State {
  store: Store;
  /** The incarnation (run of the controller process) that is up on each node; null if the node is down. */
  up: Record<Node, string | null>;
  incarnations: number;
  /** How often each node's process has been restarted. */
  starts: Record<Node, number>;
  /** Contents of the state service as each node has last read them. */
  seen: Record<Node, Store>;
  /** The node to which its peers cannot connect, although it may be healthy; null if there is none. */
  refused: Node | null;
  /** Writes in transit to the state service. */
  sent: Sent[];
  /** How many process ends, suspicions, repeated writes and connection refusals may still happen in this exploration. */
  left: { ends: number; suspicions: number; late: number; refusals: number };
}

/** Switches that each break one decision on purpose; the exploration has to find a violation with each of them. */
export interface FaultyVariant {
  /** Faulty variant: a claim of the partition is not conditional on the former owner's presence record, which its refutations change. */
  claimsBlindly?: boolean;
  /** Faulty variant: a suspicion counts although the suspect has refuted it. */
  ignoresRefutations?: boolean;
  /** Faulty variant: a restarted process keeps the incarnation of the process before it. */
  reusesIncarnation?: boolean;
  /** Faulty variant: a node takes a peer for gone because of another node's suspicion, without evidence of its own. */
  needsNoEvidence?: boolean;
}

const LIMITS: SuspicionLimits = { suspectMs: 1, verdictMs: 1, repeatMs: 0 };
const HEALTHY: OwnHealth = { upToDate: true, lagging: false };
const MAX_SUSPICIONS = 2;

/** Deep copy of plain data. */
const clone = <T>(value: T): T => JSON.parse(JSON.stringify(value)) as T;
const copy = (state: State): State => clone(state);
const stampOf = (store: Store, k: string): number => {
  const [kind, node] = k.split("/") as [string, Node];
  const entry = kind === "owner" ? store.owner : kind === "alive" ? store.alive[node] : store.suspicion[node];
  return entry?.stamp ?? 0;
};

function apply(state: State, sent: Sent, faults: string[]): void {
  const { store } = state;
  if (sent.conditions.some(({ k, stamp }) => stampOf(store, k) !== stamp)) return;
  const stamp = ++store.ledger;
  const { write } = sent;
  if (write.what === "alive") store.alive[sent.from] = { v: write.v, stamp };
  else if (write.what === "suspicion") store.suspicion[write.of] = { v: write.v, stamp };
  else {
    const former = store.owner?.v.owner as Node | undefined;
    if (sent.reason === "owner suspected" && former !== undefined && !isUnrefuted(store.suspicion[former]?.v, store.alive[former]?.v))
      faults.push("a partition is taken from one that has answered");
    store.owner = { v: write.v, stamp, by: sent.by };
  }
}

function evidenceOf(state: State, node: Node): Evidence {
  return { unlinkedMs: state.up[node] === null || state.refused === node ? 2 : null, statelessMs: null };
}

function statusOf(state: State, observer: Node, node: Node, variant: FaultyVariant): "sound" | "suspected" | "gone" {
  const seen = state.seen[observer];
  const [suspicion, shown] = [seen.suspicion[node]?.v, seen.alive[node]?.v];
  const unrefuted =
    variant.ignoresRefutations === true ? suspicion !== undefined && suspicion.life === shown?.life : isUnrefuted(suspicion, shown);
  const evidence = variant.needsNoEvidence === true ? { unlinkedMs: 2, statelessMs: null } : evidenceOf(state, node);
  return peerStatus(unrefuted ? 2 : null, evidence, HEALTHY, LIMITS);
}

/** Returns all possible next states; adds to `faults` each rule that one of these steps breaks. */
function successors(state: State, variant: FaultyVariant, faults: string[]): State[] {
  const next: State[] = [];
  const step = (change: (to: State) => void): void => {
    const to = copy(state);
    change(to);
    next.push(to);
  };
  const send = (to: State, sent: Sent): void => {
    // A node has one write of each kind in transit at a time.
    if (!to.sent.some((other) => other.from === sent.from && other.write.what === sent.write.what)) to.sent.push(sent);
  };
  state.sent.forEach((sent, i) => {
    step((to) => {
      to.sent.splice(i, 1);
      apply(to, sent, faults);
    });
    // The write is applied now but stays in transit, so that it is applied once more later.
    if (state.left.late > 0)
      step((to) => {
        to.left.late--;
        apply(to, sent, faults);
      });
  });
  if (state.left.refusals > 0 && state.refused === null)
    for (const node of NODES)
      step((to) => {
        to.left.refusals--;
        to.refused = node;
      });
  if (state.refused !== null) step((to) => (to.refused = null));
  for (const node of NODES) {
    const life = state.up[node];
    if (life === null) {
      step((to) => {
        to.starts[node]++;
        const fresh = variant.reusesIncarnation === true ? node : `${node}${++to.incarnations}`;
        to.up[node] = fresh;
        to.seen[node] = clone(to.store);
      });
      // The presence record of the node that is down expires.
      if (state.store.alive[node] !== undefined)
        step((to) => {
          to.store.ledger++;
          delete to.store.alive[node];
        });
      continue;
    }
    if (state.left.ends > 0)
      step((to) => {
        to.left.ends--;
        to.up[node] = null;
      });
    const seen = state.seen[node];
    if (JSON.stringify(seen) !== JSON.stringify(state.store)) step((to) => (to.seen[node] = clone(to.store)));
    const shown = seen.alive[node];
    const refutes = requiredRefutation(seen.suspicion[node]?.v, life);
    if (shown?.v.life !== life || (shown.v.refutes ?? 0) < refutes)
      step((to) =>
        send(to, {
          from: node,
          by: state.starts[node],
          conditions: [{ k: `alive/${node}`, stamp: shown?.stamp ?? 0 }],
          write: { what: "alive", v: { life, refutes } },
          reason: null,
        }),
      );
    // A node that has read no presence record of its own incarnation neither suspects peers nor claims the partition.
    if (shown?.v.life !== life) continue;
    for (const other of NODES) {
      if (other === node || state.left.suspicions === 0) continue;
      const current = seen.suspicion[other];
      const proposed = nextSuspicion(current?.v, seen.alive[other]?.v, evidenceOf(state, other), HEALTHY, Infinity, LIMITS);
      if (proposed === null || proposed.n > MAX_SUSPICIONS) continue;
      step((to) => {
        to.left.suspicions--;
        const conditions = [
          { k: `suspicion/${other}`, stamp: current?.stamp ?? 0 },
          { k: `alive/${other}`, stamp: seen.alive[other]!.stamp },
        ];
        send(to, {
          from: node,
          by: state.starts[node],
          conditions,
          write: { what: "suspicion", of: other, v: { ...proposed, by: "x" } },
          reason: null,
        });
      });
    }
    const record = seen.owner?.v;
    const canOwn = (one: string): boolean =>
      seen.alive[one as Node] !== undefined && (one === node || statusOf(state, node, one as Node, variant) !== "gone");
    const reason = reasonToClaim({
      termEnded: false,
      self: node,
      incarnation: life,
      home: "a",
      record,
      canOwn,
      isPresent: (one) => seen.alive[one as Node] !== undefined,
      reportsUnfit: () => false,
      successor: () => NODES.find(canOwn),
      ownerOverdue: true,
      presenceSettled: true,
      unfit: false,
    });
    if (reason === null) continue;
    if (
      reason === "owner suspected" &&
      state.up[record!.owner as Node] === record!.life &&
      evidenceOf(state, record!.owner as Node).unlinkedMs === null
    )
      faults.push("concluded without evidence of its own");
    step((to) => {
      const owner = record?.owner as Node | undefined;
      const presence =
        owner === undefined || variant.claimsBlindly === true ? null : { key: `alive/${owner}`, stamp: stampOf(seen, `alive/${owner}`) };
      const conditions = claimConditions({ key: "owner/0", stamp: seen.owner?.stamp ?? 0 }, presence, reason);
      send(to, { from: node, by: state.starts[node], conditions, write: { what: "owner", v: { owner: node, life } }, reason });
    });
  }
  return next;
}

/** Adds a fault if a controller considers itself the owner by a term of its previous incarnation, or if two do so by the same term. */
function checkInvariants(state: State, faults: string[]): void {
  const owners = NODES.filter(
    (node) => state.up[node] !== null && state.seen[node].owner?.v.owner === node && state.seen[node].owner?.v.life === state.up[node],
  );
  if (owners.some((node) => state.seen[node].owner!.by !== state.starts[node]))
    faults.push("an incarnation owns by the term of the one before it");
  const terms = owners.map((node) => state.seen[node].owner!.stamp);
  if (new Set(terms).size < terms.length) faults.push("two controllers own by one term");
}

const START: State = (() => {
  const store: Store = { ledger: 4, owner: { v: { owner: "a", life: "a0" }, stamp: 4, by: 0 }, alive: {}, suspicion: {} };
  NODES.forEach((node, i) => (store.alive[node] = { v: { life: `${node}0`, refutes: 0 }, stamp: i + 1 }));
  const seen = Object.fromEntries(NODES.map((node) => [node, clone(store)])) as Record<Node, Store>;
  return {
    store,
    up: { a: "a0", b: "b0" },
    incarnations: 0,
    starts: { a: 0, b: 0 },
    seen,
    refused: null,
    sent: [],
    left: { ends: 2, suspicions: 2, late: 1, refusals: 1 },
  };
})();

/** Key by which equal states are recognised. Revisions (`stamp`) and incarnations are renumbered, as their exact numbers do not matter. */
function stateKey(state: State): string {
  const text = JSON.stringify(state);
  const stamps = [...new Set([...text.matchAll(/"(?:stamp|ledger)":(\d+)/g)].map((m) => Number(m[1])))].sort((a, b) => a - b);
  const incarnations = [...new Set([...text.matchAll(/"([abc]\d+)"/g)].map((m) => m[1]!))];
  return text
    .replace(/"(stamp|ledger)":(\d+)/g, (_, k: string, n: string) => `"${k}":${Number(n) === 0 ? 0 : stamps.indexOf(Number(n)) + 1}`)
    .replace(/"([abc]\d+)"/g, (_, l: string) => `"${l[0]}#${incarnations.indexOf(l)}"`)
    .replace(/"incarnations":\d+/, "");
}

/** What an exploration found: number of states, broken rules, and states in which nobody can take the partition. */
export interface Explored {
  states: number;
  faults: Set<string>;
  /**
   * Number of states in which a controller is up and the partition has no running owner, but no controller can take the partition:
   * only steps that need never happen, such as faults and restarts, are possible.
   */
  ownerless: number;
}

/** Explores all states, up to `maxStates`; `left` overrides how many faults of each kind may happen. */
export function explore(variant: FaultyVariant, left: Partial<State["left"]>, maxStates: number): Explored {
  const first = copy(START);
  Object.assign(first.left, left);
  if (variant.reusesIncarnation === true) {
    for (const node of NODES) first.up[node] = node;
    for (const store of [first.store, ...NODES.map((node) => first.seen[node])]) {
      store.owner!.v.life = "a";
      for (const node of NODES) store.alive[node]!.v.life = node;
    }
  }
  const visited = new Set([stateKey(first)]);
  const queue = [first];
  const faults = new Set<string>();
  let ownerless = 0;
  let states = 0;
  while (queue.length > 0 && states < maxStates) {
    const state = queue.pop()!;
    states++;
    const found: string[] = [];
    checkInvariants(state, found);
    const next = successors(state, variant, found);
    for (const fault of found) faults.add(fault);
    // Steps that need never happen are left out: a process ends or restarts, a write is repeated, or connections begin or cease to
    // be refused. If no other step is possible, the state is final.
    const unforced = next.filter(
      (to) =>
        to.left.ends === state.left.ends &&
        to.incarnations === state.incarnations &&
        to.left.late === state.left.late &&
        to.refused === state.refused,
    );
    const up = NODES.filter((node) => state.up[node] !== null);
    const owner = state.store.owner?.v;
    if (unforced.length === 0 && up.length > 0 && (owner === undefined || state.up[owner.owner as Node] !== owner.life)) ownerless++;
    for (const to of next) {
      const key = stateKey(to);
      if (visited.has(key)) continue;
      visited.add(key);
      queue.push(to);
    }
  }
  return { states, faults, ownerless };
}
