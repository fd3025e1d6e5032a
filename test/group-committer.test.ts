import assert from "node:assert/strict";
import { test } from "node:test";
import { GroupCommitter } from "../src/ledger/group-committer.js";
import { NetworkRules } from "@thorntrail/emulator/network-rules";
import { StateReplica } from "../src/ledger/state-replica.js";
import { TokenBucket } from "@thorntrail/protocol/token-bucket";
import { Scope } from "../src/platform/scope.js";
import { VirtualState } from "@thorntrail/emulator/virtual/service-links";
import { callsFor } from "./world/calls.js";
import { stateWithPolicies } from "../src/calls/policy-clients.js";
import { VirtualClock } from "@thorntrail/emulator/virtual/clock";

const quiet = { error: () => undefined, warn: () => undefined, info: () => undefined, debug: () => undefined, isLevelEnabled: () => false };

/** Creates a group committer and a replica on a virtual state service. The committer may send 5 writes a second, in bursts of up to 16. */
async function createEnvironment() {
  const clock = new VirtualClock();
  const links = new NetworkRules();
  const service = new VirtualState(clock, () => latency.ms, { rps: 100, writeRps: 25, valueKb: 32, txnOps: 16 }, links);
  const latency = { ms: 2 };
  const client = service.client("n", (fn) => fn());
  const rate = new TokenBucket(clock, 100);
  const calls = callsFor(clock);
  const callClient = stateWithPolicies(client, calls, clock);
  const replica = new StateReplica(callClient, clock, rate, { readGapMs: 10, blockMs: 500 }, calls.of("state.read"));
  const scope = new Scope(clock, quiet);
  replica.start(scope);
  await clock.run(100);
  const writes = new TokenBucket(clock, 5, 16);
  const committer = new GroupCommitter(
    callClient,
    replica,
    clock,
    rate,
    writes,
    calls.of("state.txn"),
    { txnOps: 16, slowAfterMs: 100 },
    quiet,
  );
  const write =
    (key: string, v: unknown = {}) =>
    () =>
      replica.get(key) === undefined ? { conditions: [{ k: key, stamp: 0 }], apply: [{ write: key, v }] } : null;
  return { clock, service, links, latency, replica, write, committer, scope };
}

test("users' writes do not wait behind the backlog of an outage", async () => {
  const { clock, service, write, committer, scope } = await createEnvironment();
  service.outage = true;
  for (let i = 0; i < 60; i++) void committer.commit("done", write(`t/x/${i}`), { priority: "soon" });
  await clock.run(10_000);
  service.endOutage();
  let tookMs = -1;
  const from = clock.now();
  void committer.commit("submit", write("t/x/user"), { priority: "now" }).then(() => (tookMs = clock.now() - from));
  await clock.run(from + 2000);
  assert.ok(tookMs >= 0 && tookMs < 600, `took ${tookMs} ms`);
  // No write starves: the remaining backlog is written at the available rate.
  await clock.run(from + 20_000);
  assert.equal(committer.backlog, 0);
  scope.close();
});

test("a slow transaction does not delay others, and nothing is written twice", async () => {
  const { clock, latency, write, replica, committer, scope } = await createEnvironment();
  latency.ms = 800;
  const from = clock.now();
  const finished = new Map<string, number>();
  const commit = (key: string): void =>
    void committer
      .commit("submit", write(key), { priority: "now" })
      .then((outcome) => finished.set(`${key} ${outcome}`, clock.now() - from));
  commit("t/x/slow");
  await clock.run(from + 5);
  latency.ms = 2;
  commit("t/x/quick");
  commit("t/x/slow");
  await clock.run(from + 3000);
  assert.ok((finished.get("t/x/quick done") ?? Infinity) < 200, [...finished].join());
  assert.ok((finished.get("t/x/slow done") ?? 0) >= 800);
  // The second write of the key `t/x/slow` waited for the first and then had nothing left to write.
  assert.ok(finished.has("t/x/slow settled"));
  assert.equal(replica.stamp("t/x/slow"), 2);
  assert.equal(committer.stats.conflicts, 0);
  scope.close();
});

test("a write that the service refuses for its size is sent alone, and only that write is given up", async () => {
  const { clock, service, write, committer, scope } = await createEnvironment();
  service.changeLimits({ valueKb: 1 });
  const outcomes: string[] = [];
  for (const [key, v] of [
    ["a", {}],
    ["b", "x".repeat(2000)],
    ["c", {}],
  ] as const)
    void committer.commit("submit", write(`t/x/${key}`, v)).then((outcome) => outcomes.push(`${key} ${outcome}`));
  await clock.run(clock.now() + 5000);
  assert.deepEqual(outcomes.sort(), ["a done", "b shed", "c done"]);
  assert.equal(committer.backlog, 0);
  scope.close();
});

test("a write that may have been applied is not reported as shed when the service then refuses its size", async () => {
  // If a migration's write whose answer was lost were reported as shed (never sent), the job would run in two partitions.
  const { clock, service, committer, write, scope, links } = await createEnvironment();
  const outcomes: string[] = [];
  const removeDrop = links.add({ from: "n", to: "state", what: "txn", effect: { kind: "drop" }, count: 1 });
  const removeRefusal = links.add({ from: "n", to: "state", what: "follow", effect: { kind: "refuse" } });
  // The watch request that is open now ends within this time; later ones are refused, so the replica sees no more changes.
  await clock.run(clock.now() + 1000);
  void committer.commit("move", write("t/x/job", "x".repeat(2000))).then((outcome) => outcomes.push(outcome));
  await clock.run(clock.now() + 200);
  service.changeLimits({ valueKb: 1 });
  await clock.run(clock.now() + 4000);
  removeDrop();
  assert.deepEqual(
    outcomes.filter((outcome) => outcome === "shed"),
    [],
  );
  removeRefusal();
  await clock.run(clock.now() + 8000);
  assert.deepEqual(outcomes, ["settled"]);
  assert.equal(committer.backlog, 0);
  scope.close();
});
