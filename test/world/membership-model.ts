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
import { claimConditions, reasonToClaim, type ClaimReason } from "../../src/parts/claims.js";

/**
 * One part, three controllers and the state service, explored state by state with the very functions that
 * decide: who suspects, answers, concludes and claims. Time has no length here: a doubt may have stood for
 * long enough as soon as it is seen, and anything sent may arrive late, twice or never.
 */
const NODES = ["a", "b"] as const;
type Node = (typeof NODES)[number];

interface Entry<T> {
  v: T;
  stamp: number;
}
interface Store {
  ledger: number;
  /** `by`: which start of the owner's process claimed it; the record itself says only what a controller can know. */
  owner: (Entry<OwnerRecord> & { by: number }) | null;
  alive: Partial<Record<Node, Entry<PresenceRecord>>>;
  doubt: Partial<Record<Node, Entry<SuspicionRecord>>>;
}
type Write = { what: "owner"; v: OwnerRecord } | { what: "alive"; v: PresenceRecord } | { what: "doubt"; of: Node; v: SuspicionRecord };
interface Sent {
  from: Node;
  by: number;
  conditions: { k: string; stamp: number }[];
  write: Write;
  reason: ClaimReason | null;
}
export interface State {
  store: Store;
  /** Which life is up; null: none. */
  up: Record<Node, string | null>;
  lives: number;
  /** How often each has been started. */
  starts: Record<Node, number>;
  /** What each has read last. */
  seen: Record<Node, Store>;
  /** Peers cannot connect to it, though it may be well. */
  refused: Node | null;
  sent: Sent[];
  left: { ends: number; doubts: number; late: number; refusals: number };
}

/** Ways in which the decisions could be wrong; each has to be found. */
export interface Variant {
  /** A claim does not depend on the presence of the one it is taken from. */
  claimsBlindly?: boolean;
  /** A doubt counts whatever the suspect answered. */
  deaf?: boolean;
  /** A life goes on under the record of the one before it. */
  sameLife?: boolean;
  /** What others doubt is concluded without seeing anything oneself. */
  gullible?: boolean;
}

const LIMITS: SuspicionLimits = { suspectMs: 1, verdictMs: 1, repeatMs: 0 };
const WELL: OwnHealth = { upToDate: true, lagging: false };
const MOST_DOUBTS = 2;

/** All of it is plain data. */
const clone = <T>(value: T): T => JSON.parse(JSON.stringify(value)) as T;
const copy = (state: State): State => clone(state);
const stampOf = (store: Store, k: string): number => {
  const [kind, node] = k.split("/") as [string, Node];
  const entry = kind === "owner" ? store.owner : kind === "alive" ? store.alive[node] : store.doubt[node];
  return entry?.stamp ?? 0;
};

function apply(state: State, sent: Sent, faults: string[]): void {
  const { store } = state;
  if (sent.conditions.some(({ k, stamp }) => stampOf(store, k) !== stamp)) return;
  const stamp = ++store.ledger;
  const { write } = sent;
  if (write.what === "alive") store.alive[sent.from] = { v: write.v, stamp };
  else if (write.what === "doubt") store.doubt[write.of] = { v: write.v, stamp };
  else {
    const former = store.owner?.v.owner as Node | undefined;
    if (sent.reason === "owner suspected" && former !== undefined && !isUnrefuted(store.doubt[former]?.v, store.alive[former]?.v))
      faults.push("a part is taken from one that has answered");
    store.owner = { v: write.v, stamp, by: sent.by };
  }
}

function evidenceOf(state: State, node: Node): Evidence {
  return { unlinkedMs: state.up[node] === null || state.refused === node ? 2 : null, statelessMs: null };
}

function standing(state: State, observer: Node, node: Node, variant: Variant): "sound" | "suspected" | "gone" {
  const seen = state.seen[observer];
  const [doubt, shown] = [seen.doubt[node]?.v, seen.alive[node]?.v];
  const stood = variant.deaf === true ? doubt !== undefined && doubt.life === shown?.life : isUnrefuted(doubt, shown);
  const evidence = variant.gullible === true ? { unlinkedMs: 2, statelessMs: null } : evidenceOf(state, node);
  return peerStatus(stood ? 2 : null, evidence, WELL, LIMITS);
}

/** All that may happen next. */
function steps(state: State, variant: Variant, faults: string[]): State[] {
  const next: State[] = [];
  const step = (change: (to: State) => void): void => {
    const to = copy(state);
    change(to);
    next.push(to);
  };
  const send = (to: State, sent: Sent): void => {
    // A node has one word of each kind under way at a time, of one life.
    if (!to.sent.some((other) => other.from === sent.from && other.write.what === sent.write.what)) to.sent.push(sent);
  };
  state.sent.forEach((sent, i) => {
    step((to) => {
      to.sent.splice(i, 1);
      apply(to, sent, faults);
    });
    // Applied now, and once more later.
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
        const fresh = variant.sameLife === true ? node : `${node}${++to.lives}`;
        to.up[node] = fresh;
        to.seen[node] = clone(to.store);
      });
      // Its key runs out.
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
    const refutes = requiredRefutation(seen.doubt[node]?.v, life);
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
    // Whoever is not seen to be there draws no conclusions.
    if (shown?.v.life !== life) continue;
    for (const other of NODES) {
      if (other === node || state.left.doubts === 0) continue;
      const known = seen.doubt[other];
      const word = nextSuspicion(known?.v, seen.alive[other]?.v, evidenceOf(state, other), WELL, Infinity, LIMITS);
      if (word === null || word.n > MOST_DOUBTS) continue;
      step((to) => {
        to.left.doubts--;
        const conditions = [
          { k: `doubt/${other}`, stamp: known?.stamp ?? 0 },
          { k: `alive/${other}`, stamp: seen.alive[other]!.stamp },
        ];
        send(to, {
          from: node,
          by: state.starts[node],
          conditions,
          write: { what: "doubt", of: other, v: { ...word, by: "x" } },
          reason: null,
        });
      });
    }
    const record = seen.owner?.v;
    const able = (one: string): boolean =>
      seen.alive[one as Node] !== undefined && (one === node || standing(state, node, one as Node, variant) !== "gone");
    const reason = reasonToClaim({
      termEnded: false,
      self: node,
      incarnation: life,
      home: "a",
      record,
      canOwn: able,
      alive: (one) => seen.alive[one as Node] !== undefined,
      reportsUnfit: () => false,
      successor: () => NODES.find(able),
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
      faults.push("concluded without evidence of one's own");
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

/** What may never be, whatever has happened. */
function judge(state: State, faults: string[]): void {
  const leads = NODES.filter(
    (node) => state.up[node] !== null && state.seen[node].owner?.v.owner === node && state.seen[node].owner?.v.life === state.up[node],
  );
  if (leads.some((node) => state.seen[node].owner!.by !== state.starts[node])) faults.push("a life leads by the term of the one before it");
  const terms = leads.map((node) => state.seen[node].owner!.stamp);
  if (new Set(terms).size < terms.length) faults.push("two lead by one term");
}

const START: State = (() => {
  const store: Store = { ledger: 4, owner: { v: { owner: "a", life: "a0" }, stamp: 4, by: 0 }, alive: {}, doubt: {} };
  NODES.forEach((node, i) => (store.alive[node] = { v: { life: `${node}0`, refutes: 0 }, stamp: i + 1 }));
  const seen = Object.fromEntries(NODES.map((node) => [node, clone(store)])) as Record<Node, Store>;
  return {
    store,
    up: { a: "a0", b: "b0" },
    lives: 0,
    starts: { a: 0, b: 0 },
    seen,
    refused: null,
    sent: [],
    left: { ends: 2, doubts: 2, late: 1, refusals: 1 },
  };
})();

/** Stamps only matter by their order: numbered anew, states that differ in nothing else are one. */
function nameOf(state: State): string {
  const text = JSON.stringify(state);
  const stamps = [...new Set([...text.matchAll(/"(?:stamp|ledger)":(\d+)/g)].map((m) => Number(m[1])))].sort((a, b) => a - b);
  const lives = [...new Set([...text.matchAll(/"([abc]\d+)"/g)].map((m) => m[1]!))];
  return text
    .replace(/"(stamp|ledger)":(\d+)/g, (_, k: string, n: string) => `"${k}":${Number(n) === 0 ? 0 : stamps.indexOf(Number(n)) + 1}`)
    .replace(/"([abc]\d+)"/g, (_, l: string) => `"${l[0]}#${lives.indexOf(l)}"`)
    .replace(/"lives":\d+/, "");
}

export interface Explored {
  states: number;
  faults: Set<string>;
  /** States in which nothing more can happen by itself, and a controller is up, but the part has no live owner. */
  stuck: number;
}

/** Goes through all states there are, up to `most`. `ends`, `late`, `refusals`: how many of each may happen. */
export function explore(variant: Variant, left: Partial<State["left"]>, most: number): Explored {
  const first = copy(START);
  Object.assign(first.left, left);
  if (variant.sameLife === true) {
    for (const node of NODES) first.up[node] = node;
    for (const store of [first.store, ...NODES.map((node) => first.seen[node])]) {
      store.owner!.v.life = "a";
      for (const node of NODES) store.alive[node]!.v.life = node;
    }
  }
  const known = new Set([nameOf(first)]);
  const queue = [first];
  const faults = new Set<string>();
  let stuck = 0;
  let states = 0;
  while (queue.length > 0 && states < most) {
    const state = queue.pop()!;
    states++;
    const found: string[] = [];
    judge(state, found);
    const next = steps(state, variant, found);
    for (const fault of found) faults.add(fault);
    // Ends, new lives, refusals and doubts are not owed to anybody; without them everything comes to rest.
    const calm = next.filter(
      (to) =>
        to.left.ends === state.left.ends && to.lives === state.lives && to.left.late === state.left.late && to.refused === state.refused,
    );
    const up = NODES.filter((node) => state.up[node] !== null);
    const owner = state.store.owner?.v;
    if (calm.length === 0 && up.length > 0 && (owner === undefined || state.up[owner.owner as Node] !== owner.life)) stuck++;
    for (const to of next) {
      const name = nameOf(to);
      if (known.has(name)) continue;
      known.add(name);
      queue.push(to);
    }
  }
  return { states, faults, stuck };
}
