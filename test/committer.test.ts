import assert from "node:assert/strict";
import { test } from "node:test";
import { Committer } from "../src/ledger/committer.js";
import { Links } from "@thorntrail/emulator/links";
import { Mirror } from "../src/ledger/mirror.js";
import { Rate } from "@thorntrail/protocol/rate";
import { Scope } from "../src/platform/scope.js";
import { VirtualState } from "@thorntrail/emulator/virtual/service-links";
import { callsFor } from "./world/calls.js";
import { stateThrough } from "../src/calls/through.js";
import { VirtualClock } from "@thorntrail/emulator/virtual/clock";

const quiet = { error: () => undefined, warn: () => undefined, info: () => undefined, debug: () => undefined, isLevelEnabled: () => false };

async function place() {
  const clock = new VirtualClock();
  const links = new Links();
  const service = new VirtualState(clock, () => latency.ms, { rps: 100, writeRps: 25, valueKb: 32, txnOps: 16 }, links);
  const latency = { ms: 2 };
  const client = service.client("n", (fn) => fn());
  const rate = new Rate(clock, 100);
  const calls = callsFor(clock);
  const through = stateThrough(client, calls, clock);
  const mirror = new Mirror(through, clock, rate, { readGapMs: 10, blockMs: 500 }, calls.of("state.read"));
  const scope = new Scope(clock, quiet);
  mirror.start(scope);
  await clock.run(100);
  const writes = new Rate(clock, 5, 16);
  const committer = new Committer(through, mirror, clock, rate, writes, calls.of("state.txn"), { txnOps: 16, laneMs: 100 }, quiet);
  const write =
    (key: string, v: unknown = {}) =>
    () =>
      mirror.get(key) === undefined ? { conditions: [{ k: key, stamp: 0 }], apply: [{ write: key, v }] } : null;
  return { clock, service, links, latency, mirror, write, committer, scope };
}

test("users' writes do not wait behind what piled up in an outage", async () => {
  const { clock, service, write, committer, scope } = await place();
  service.outage = true;
  for (let i = 0; i < 60; i++) void committer.commit("done", write(`t/x/${i}`), { turn: "soon" });
  await clock.run(10_000);
  service.endOutage();
  let tookMs = -1;
  const from = clock.now();
  void committer.commit("submit", write("t/x/user"), { turn: "now" }).then(() => (tookMs = clock.now() - from));
  await clock.run(from + 2000);
  assert.ok(tookMs >= 0 && tookMs < 600, `took ${tookMs} ms`);
  // Nothing starves: the rest follows at the rate there is.
  await clock.run(from + 20_000);
  assert.equal(committer.backlog, 0);
  scope.close();
});

test("one transaction that takes long keeps no others waiting, and nothing is written twice", async () => {
  const { clock, latency, write, mirror, committer, scope } = await place();
  latency.ms = 800;
  const from = clock.now();
  const took = new Map<string, number>();
  const commit = (key: string): void =>
    void committer.commit("submit", write(key), { turn: "now" }).then((how) => took.set(`${key} ${how}`, clock.now() - from));
  commit("t/x/slow");
  await clock.run(from + 5);
  latency.ms = 2;
  commit("t/x/quick");
  commit("t/x/slow");
  await clock.run(from + 3000);
  assert.ok((took.get("t/x/quick done") ?? Infinity) < 200, [...took].join());
  assert.ok((took.get("t/x/slow done") ?? 0) >= 800);
  // The same key again waited for the first, and then found nothing left to do.
  assert.ok(took.has("t/x/slow settled"));
  assert.equal(mirror.stamp("t/x/slow"), 2);
  assert.equal(committer.stats.conflicts, 0);
  scope.close();
});

test("what the service refuses for its size is sent by itself, and given up alone", async () => {
  const { clock, service, write, committer, scope } = await place();
  service.limit({ valueKb: 1 });
  const outcomes: string[] = [];
  for (const [key, v] of [
    ["a", {}],
    ["b", "x".repeat(2000)],
    ["c", {}],
  ] as const)
    void committer.commit("submit", write(`t/x/${key}`, v)).then((how) => outcomes.push(`${key} ${how}`));
  await clock.run(clock.now() + 5000);
  assert.deepEqual(outcomes.sort(), ["a done", "b shed", "c done"]);
  assert.equal(committer.backlog, 0);
  scope.close();
});

test("a change that may have been carried out is not called unsent when the service then refuses its size", async () => {
  // Guards against: a migration whose answer was lost, taken for one that never left; its job would run in two partitions.
  const { clock, service, committer, write, scope, links } = await place();
  const outcomes: string[] = [];
  const end = links.add({ from: "n", to: "state", what: "txn", effect: { kind: "drop" }, count: 1 });
  const endReads = links.add({ from: "n", to: "state", what: "follow", effect: { kind: "refuse" } });
  // Watches that are open now still tell of changes; the next ones are refused.
  await clock.run(clock.now() + 1000);
  void committer.commit("move", write("t/x/job", "x".repeat(2000))).then((how) => outcomes.push(how));
  await clock.run(clock.now() + 200);
  service.limit({ valueKb: 1 });
  await clock.run(clock.now() + 4000);
  end();
  assert.deepEqual(
    outcomes.filter((how) => how === "shed"),
    [],
  );
  endReads();
  await clock.run(clock.now() + 8000);
  assert.deepEqual(outcomes, ["settled"]);
  assert.equal(committer.backlog, 0);
  scope.close();
});
