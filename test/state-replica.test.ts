import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { StateReplica } from "../src/ledger/state-replica.js";
import { TokenBucket } from "@thorntrail/protocol/token-bucket";
import { VirtualState } from "@thorntrail/emulator/virtual/service-links";
import { callsFor } from "./world/calls.js";
import { VirtualClock } from "@thorntrail/emulator/virtual/clock";

test("a refresh is never answered by a read that began before it was requested", async () => {
  const clock = new VirtualClock();
  const service = new VirtualState(clock, () => 5, { rps: 100, writeRps: 25, valueKb: 32, txnOps: 16 });
  const client = service.client("n", (fn) => fn());
  const replica = new StateReplica(
    client,
    clock,
    new TokenBucket(clock, 1000),
    { readGapMs: 0, blockMs: 1000 },
    callsFor(clock).of("state.read"),
  );
  void replica.refresh();
  await clock.run(100);
  for (let i = 1; i <= 3; i++) {
    void client.txn([], [{ write: "t/j/x", v: i }]);
    await clock.run(i * 100 + 50);
    let seen: unknown;
    void replica.refresh().then(() => (seen = replica.get("t/j/x")?.v));
    await clock.run(i * 100 + 99);
    assert.equal(seen, i);
  }
});

// Periodic work scans only the replica's open jobs: a job missing there would never run, and one never removed would count for ever.
test("open jobs are those whose record has no end, for any changes in any order", () => {
  const clock = new VirtualClock();
  const client = new VirtualState(clock, () => 5, { rps: 100, writeRps: 25, valueKb: 32, txnOps: 16 }).client("n", (fn) => fn());
  const change = fc.record({
    key: fc.constantFrom("t/j/a", "t/j/b", "t/j/c", "t/s/a/4", "t/m/1"),
    stamp: fc.integer({ min: 1, max: 30 }),
    what: fc.constantFrom("open", "done", "withdrawn", "remove"),
  });
  fc.assert(
    fc.property(fc.array(change, { maxLength: 40 }), (changes) => {
      const replica = new StateReplica(
        client,
        clock,
        new TokenBucket(clock, 1000),
        { readGapMs: 0, blockMs: 1000 },
        callsFor(clock).of("state.read"),
      );
      for (const { key, stamp, what } of changes) {
        if (what === "remove") replica.drop(key, stamp);
        else replica.put(key, what === "open" ? { ref: "a" } : { ref: "a", end: what }, stamp);
      }
      const rows = [...replica.rows<{ end?: string }>("t/j/")].filter(([, { v }]) => v.end === undefined);
      assert.deepEqual([...replica.openJobs().keys()].sort(), rows.map(([key]) => key).sort());
    }),
    { seed: 33, numRuns: 500 },
  );
});
