import type { Timing } from "../settings/derived.js";

/** Policies of the calls to other processes: time limits, retries and the effect of unanswered calls. */

/** Operations that a controller calls on other processes. */
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

/** Kinds of processes that are called. All calls to one target share its retry budget and the information whether it is failing. */
export type Target = "state" | "cloud" | "worker" | "peer";

/**
 * Possible effect of a call that was sent but not answered, and hence how it is retried.
 * - `nothing`: the call only reads, so it is simply retried.
 * - `once`: the call is idempotent (a rental under its name, a deletion, a renewal). It is retried unchanged, never
 *   with other arguments.
 * - `conditional`: the call may be applied late. The state is read again and the call rebuilt from it, so that once
 *   the first or the rebuilt call is applied, the conditions of the other one fail.
 * - `reported`: only the worker's next report shows whether an order was executed. Until then it counts as executed, and
 *   it is retried under the same attempt.
 */
export type UnansweredEffect = "nothing" | "once" | "conditional" | "reported";

/** Time limit and retry rules of one operation. */
export interface CallPolicy {
  target: Target;
  unanswered: UnansweredEffect;
  /** Time limit of a call in ms; the caller's deadline applies if it is sooner. */
  limitMs: number;
  /** Pause before the first retry, in ms, before jitter; doubled for each further one. */
  initialMs: number;
  /** Maximum pause, in ms, before jitter; also the pause once the target's retry budget is spent. */
  maxMs: number;
}

/** Settings from which the call policies are derived. */
export interface CallPolicyInputs {
  timing: Timing;
  /** Changes per second that the state service accepts from all controllers together. */
  writeRps: number;
}

/**
 * Time limits and pauses of all calls to other processes, each as a ratio to a setting. The cost of waiting
 * determines `maxMs`: users wait for the state service, so its pauses stay below the replica age at which this node
 * considers itself cut off. A machine that is not fenced yet delays a whole partition, so fencing is retried more often
 * than an order, which the answer to the worker's next report delivers anyway.
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
    // The pause does not grow with failures: while many commands wait to be sent, most fail only because their time limit ends before that.
    "worker.order": { ...worker, unanswered: "reported", initialMs: leaseMs / 3, maxMs: leaseMs / 3 },
    "worker.fence": { ...worker, unanswered: "reported", initialMs: reportMs / 10, maxMs: reportMs / 4 },
    "worker.probe": { ...worker, unanswered: "nothing", initialMs: reportMs / 4, maxMs: reportMs },
    "peer.link": { target: "peer", unanswered: "nothing", limitMs: reportMs, initialMs: reportMs / 10, maxMs: reportMs * 4 },
  };
}
