import assert from "node:assert/strict";
import { test } from "node:test";
import { playTakeovers } from "./world/takeover-model.js";

test("reports delayed, reordered and repeated across takeovers: no task is on two machines", async () => {
  const runs = Number(process.env["TAKEOVERS"] ?? 60);
  const first = Number(process.env["TAKEOVERS_SEED"] ?? 1);
  let [surplus, started] = [0, 0];
  for (let seed = first; seed < first + runs; seed++) {
    const run = await playTakeovers(seed);
    assert.deepEqual(run.broken, [], `seed ${seed}`);
    surplus += Number(run.surplus > 0);
    started += run.started;
  }
  // What is guarded against has to come about: attempts beside the one that is wanted.
  assert.ok(surplus >= runs / 4, `in ${surplus} of ${runs} runs an attempt was adopted beside another`);
  assert.ok(started > runs * 12, `${started} started`);
});
