import assert from "node:assert/strict";
import { test } from "node:test";
import { playTakeovers } from "./world/takeover-model.js";

/**
 * Guards against two concurrent attempts (runs) of a task after a takeover, when a new owner adopts attempts from reports that
 * arrive late, repeatedly or out of order.
 */
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
  // The runs must produce the situation that is guarded against: an attempt adopted beside another attempt of the same task.
  assert.ok(surplus >= runs / 4, `in ${surplus} of ${runs} runs an attempt was adopted beside another`);
  assert.ok(started > runs * 12, `${started} started`);
});
