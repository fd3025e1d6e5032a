import assert from "node:assert/strict";
import { test } from "node:test";
import { Committer } from "../src/ledger/committer.js";
import { Mirror } from "../src/ledger/mirror.js";
import { Rate } from "../src/platform/rate.js";
import { Scope } from "../src/platform/scope.js";
import { StateService } from "./world/state-service.js";
import { VirtualClock } from "./world/virtual-clock.js";

const quiet = { error: () => undefined, warn: () => undefined, info: () => undefined, debug: () => undefined, isLevelEnabled: () => false };

test("users' writes do not wait behind what piled up in an outage", async () => {
  const clock = new VirtualClock();
  const service = new StateService(clock, () => 2, { rps: 100, writeRps: 25, valueKb: 32, txnOps: 16 });
  const client = service.client("n", (fn) => fn());
  const rate = new Rate(clock, 100);
  const mirror = new Mirror(client, clock, rate, { readGapMs: 10, blockMs: 500 });
  const scope = new Scope(clock, quiet);
  mirror.start(scope);
  await clock.run(100);
  const writes = new Rate(clock, 5, 16);
  const committer = new Committer(client, mirror, clock, rate, writes, { txnOps: 16, retryMs: 200 }, quiet);
  const write = (key: string) => () =>
    mirror.get(key) === undefined ? { conditions: [{ k: key, stamp: 0 }], apply: [{ write: key, v: {} }] } : null;
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
