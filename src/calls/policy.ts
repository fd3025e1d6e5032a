import type { Timing } from "../settings/derived.js";

/** What this controller asks of others, by what it may do there. */
export type Operation =
  | "state.read"
  | "state.txn"
  | "state.lease"
  | "cloud.read"
  | "cloud.hire"
  | "cloud.delete"
  | "worker.order"
  | "worker.fence"
  | "worker.probe"
  | "peer.link";

/** Who is asked. Calls to one target share a budget, and what is learned of its condition. */
export type Target = "state" | "cloud" | "worker" | "peer";

/**
 * What a call may have done that was sent and not answered, now or later, and hence
 * what has to come before it is repeated.
 * - `nothing`: it only reads. Ask again.
 * - `once`: repeated as it was it does nothing a second time: a rental under its name,
 *   a deletion, a renewal. Ask again with the same words, never with others.
 * - `conditional`: it may be applied late. Read back first and draft anew, so that the
 *   conditions of one copy rule out the other.
 * - `told`: whether an order was executed only the worker's next report says. Until
 *   then it counts as executed; it is repeated under the same attempt.
 */
export type UnansweredEffect = "nothing" | "once" | "conditional" | "told";

export interface CallPolicy {
  target: Target;
  unanswered: UnansweredEffect;
  /** A call is given up after this long, in ms, or at the asker's deadline if that is sooner. */
  limitMs: number;
  /** Pause before the first repetition, in ms, before jitter; each further one doubles. */
  initialMs: number;
  /** The longest pause, in ms, before jitter; also the pause once the target's budget is spent. */
  maxMs: number;
}

export interface CallPolicyInputs {
  timing: Timing;
  /** Changes a second that the state service takes of all controllers. */
  writeRps: number;
}

/**
 * The one table of time limits and pauses for everything outside this process. Each is
 * a ratio to a setting. What is lost by waiting longer decides `mostMs`: users wait for
 * the state service, so its pauses stay below the age at which this node counts itself
 * cut off; a fence keeps a whole part waiting, so it is asked for more often than an
 * order, which the answer to the next report brings anyway.
 */
export function callPolicies({ timing, writeRps }: CallPolicyInputs): Record<Operation, CallPolicy> {
  const { contactMs, leaseMs, presenceMs, reportMs, stateTimeoutMs, workerTimeoutMs } = timing;
  const state = { target: "state", limitMs: stateTimeoutMs } as const;
  const cloud = { target: "cloud", limitMs: reportMs * 2 } as const;
  const worker = { target: "worker", limitMs: workerTimeoutMs } as const;
  return {
    "state.read": { ...state, unanswered: "nothing", initialMs: contactMs / 16, maxMs: contactMs / 4 },
    "state.txn": { ...state, unanswered: "conditional", initialMs: 5000 / writeRps, maxMs: stateTimeoutMs / 2 },
    "state.lease": { ...state, unanswered: "once", initialMs: presenceMs / 32, maxMs: presenceMs / 4 },
    "cloud.read": { ...cloud, unanswered: "nothing", initialMs: reportMs / 5, maxMs: reportMs },
    "cloud.hire": { ...cloud, unanswered: "once", initialMs: reportMs / 10, maxMs: reportMs / 2 },
    "cloud.delete": { ...cloud, unanswered: "once", initialMs: reportMs / 4, maxMs: reportMs },
    // No longer with each failure: where commands wait for their turn, most of them fail for want of it.
    "worker.order": { ...worker, unanswered: "told", initialMs: leaseMs / 3, maxMs: leaseMs / 3 },
    "worker.fence": { ...worker, unanswered: "told", initialMs: reportMs / 10, maxMs: reportMs / 4 },
    "worker.probe": { ...worker, unanswered: "nothing", initialMs: reportMs / 4, maxMs: reportMs },
    "peer.link": { target: "peer", unanswered: "nothing", limitMs: reportMs, initialMs: reportMs / 10, maxMs: reportMs * 4 },
  };
}
