import type { CloudApi } from "@thorntrail/protocol/cloud";
import type { StateApi } from "@thorntrail/protocol/state";
import type { WorkerApi } from "@thorntrail/protocol/worker";
import type { Clock } from "../platform/clock.js";
import type { Caller, Calls } from "./calls.js";

/** Wrappers that apply the call policies to the clients of the state service, the cloud and the workers. */

/** Wraps a client of the state service so that every call gets the time limit of its operation and is counted in the statistics. */
export function stateWithPolicies(state: StateApi, calls: Calls, clock: Clock): StateApi {
  const read = calls.of("state.read");
  const lease = calls.of("state.lease");
  const txn = calls.of("state.txn");
  const until = (limitMs: number | undefined): number => clock.now() + (limitMs ?? Infinity);
  return {
    txn: (conditions, apply, limitMs) => txn.call((ms) => state.txn(conditions, apply, ms), until(limitMs)),
    follow: (prefix, from, blockMs, limitMs) => read.call((ms) => state.follow(prefix, from, blockMs, ms), until(limitMs)),
    range: (prefix, from, limit, limitMs) => read.call((ms) => state.range(prefix, from, limit, ms), until(limitMs)),
    grant: (ttlMs) => lease.call((ms) => state.grant(ttlMs, ms)),
    renew: (permit) => lease.call((ms) => state.renew(permit, ms)),
  };
}

/** Wraps a client of the cloud so that every call gets the time limit of its operation and is counted in the statistics. */
export function cloudWithPolicies(cloud: CloudApi, calls: Calls): CloudApi {
  const read = calls.of("cloud.read");
  return {
    types: () => read.call((ms) => cloud.types(ms)),
    list: (from, limit) => read.call((ms) => cloud.list(from, limit, ms)),
    rent: (name, offer, count) => calls.of("cloud.hire").call((ms) => cloud.rent(name, offer, count, ms)),
    remove: (hosts) => calls.of("cloud.delete").call((ms) => cloud.remove(hosts, ms)),
  };
}

/** Wraps a worker client so that its commands get the time limit of one operation (orders, fencing under a new ownership term, or probes) and are counted under it. */
export function workersWithPolicy(workers: WorkerApi, caller: Caller): WorkerApi {
  return { command: (addr, token, session, orders) => caller.call((ms) => workers.command(addr, token, session, orders, ms)) };
}
