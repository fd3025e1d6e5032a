import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { PresenceRecord, SuspicionRecord } from "../src/ledger/records.js";
import {
  requiredRefutation,
  isUnrefuted,
  nextSuspicion,
  peerStatus,
  type Evidence,
  type SuspicionLimits,
  type OwnHealth,
} from "../src/membership/suspicion.js";

const limits: SuspicionLimits = { suspectMs: 300, verdictMs: 2250, repeatMs: 9000 };
const healthy: OwnHealth = { upToDate: true, lagging: false };
const unlinked: Evidence = { unlinkedMs: 500, statelessMs: null };
const noEvidence: Evidence = { unlinkedMs: null, statelessMs: null };

const evidence = fc.record({
  unlinkedMs: fc.option(fc.integer({ min: 0, max: 60_000 })),
  statelessMs: fc.option(fc.integer({ min: 0, max: 60_000 })),
});
const health = fc.record({ upToDate: fc.boolean(), lagging: fc.boolean() });

test("an observer that is unhealthy or has no evidence of its own never suspects a peer or takes it for gone", () => {
  fc.assert(
    fc.property(evidence, health, fc.option(fc.integer({ min: 0, max: 60_000 })), (seen, own, unrefutedMs) => {
      const status = peerStatus(unrefutedMs, seen, own, limits);
      const unhealthy = !own.upToDate || own.lagging;
      const withoutEvidence = seen.unlinkedMs === null && seen.statelessMs === null;
      if (unhealthy || withoutEvidence || unrefutedMs === null || unrefutedMs < limits.verdictMs) assert.notEqual(status, "gone");
      else assert.equal(status, "gone");
      const suspicion = nextSuspicion(undefined, { life: "a", refutes: 0 }, seen, own, Infinity, limits);
      if (unhealthy || withoutEvidence) assert.equal(suspicion, null);
    }),
    { seed: 28 },
  );
});

test("a version without refutation, a former incarnation and an absent node are never suspected", () => {
  assert.equal(nextSuspicion(undefined, { life: "a" }, unlinked, healthy, Infinity, limits), null);
  assert.equal(nextSuspicion(undefined, undefined, unlinked, healthy, Infinity, limits), null);
  assert.equal(isUnrefuted({ life: "a", n: 3, by: "x" }, { life: "b", refutes: 0 }), false);
  assert.equal(isUnrefuted({ life: "a", n: 3, by: "x" }, { life: "a" }), false);
  assert.deepEqual(nextSuspicion({ life: "a", n: 3, by: "x" }, { life: "b", refutes: 0 }, unlinked, healthy, 0, limits), {
    life: "b",
    n: 1,
  });
  assert.equal(nextSuspicion(undefined, { life: "a", refutes: 0 }, noEvidence, healthy, Infinity, limits), null);
});

test("an incarnation that refutes every suspicion is suspected ever less often, and no suspicion outlasts its refutation", () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 600 }), fc.integer({ min: 50, max: 2000 }), (seconds, answerMs) => {
      let recorded: SuspicionRecord | undefined;
      let presence: PresenceRecord = { life: "a", refutes: 0 };
      let lastAt = -Infinity;
      let suspicions = 0;
      for (let now = 1000; now < seconds * 1000; now += 250) {
        const suspicion = nextSuspicion(recorded, presence, { unlinkedMs: now, statelessMs: null }, healthy, now - lastAt, limits);
        if (suspicion !== null) {
          recorded = { ...suspicion, by: "x" };
          lastAt = now;
          suspicions++;
          assert.ok(isUnrefuted(recorded, presence));
        }
        if (recorded !== undefined && now - lastAt >= answerMs) presence = { life: "a", refutes: requiredRefutation(recorded, "a") };
        if (isUnrefuted(recorded, presence)) assert.equal(peerStatus(now - lastAt, unlinked, healthy, limits), "suspected");
      }
      // The pauses between suspicions are 1, 2, 4, 8 and then always 16 times `repeatMs` (9 s, half a lease), so 144 s at most.
      assert.ok(suspicions <= 5 + seconds / 144, `${suspicions} in ${seconds} s`);
    }),
    { seed: 28, numRuns: 50 },
  );
});
