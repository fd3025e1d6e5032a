import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { nextLevel, sheds, overloadThresholds, type Level, type OverloadMetrics, type SheddableWork } from "../src/overload/levels.js";

const thresholds = overloadThresholds({ reportMs: 2500 }, 5);
const idle: OverloadMetrics = { lagMs: 0, memory: 0.3, backlogS: 0 };
const ORDER: SheddableWork[] = ["view", "volunteering", "growth", "submission", "urgent submission"];
const measured = fc.record({
  lagMs: fc.double({ min: 0, max: 10_000, noNaN: true }),
  memory: fc.double({ min: 0, max: 1.2, noNaN: true }),
  backlogS: fc.double({ min: 0, max: 100, noNaN: true }),
});
const level = fc.integer({ min: 0, max: 4 }) as fc.Arbitrary<Level>;

test("higher levels shed more kinds of work in a fixed order, urgent submissions last", () => {
  for (let at = 0 as Level; at <= 4; at++) {
    const shed = ORDER.map((what) => sheds(at, what));
    assert.deepEqual(
      shed,
      [...shed].sort((a, b) => Number(b) - Number(a)),
      `level ${at}`,
    );
  }
  assert.ok(ORDER.every((what) => !sheds(0, what)) && ORDER.every((what) => sheds(4, what)));
});

test("each cause alone raises the level at once, as far as its value requires", () => {
  assert.equal(nextLevel(0, { ...idle, memory: 0.96 }, thresholds), 4);
  assert.equal(nextLevel(0, { ...idle, lagMs: 2500 }, thresholds), 4);
  assert.equal(nextLevel(0, { ...idle, backlogS: 20 }, thresholds), 3);
  assert.equal(nextLevel(4, idle, thresholds), 0);
});

test("a level is kept while its cause stays near the threshold: no flapping", () => {
  fc.assert(
    fc.property(level, measured, (before, seen) => {
      const up = nextLevel(0, seen, thresholds);
      const now = nextLevel(before, seen, thresholds);
      // The new overload level is at least the level that the measurements require, and at most the higher of that and the previous level.
      assert.ok(now >= up && now <= Math.max(before, up));
      // The same measurements again do not change the level.
      assert.equal(nextLevel(now, seen, thresholds), now);
      // Slightly lower measurements keep the level.
      const less = { lagMs: seen.lagMs * 0.97, memory: seen.memory * 0.97, backlogS: seen.backlogS * 0.97 };
      assert.equal(nextLevel(now, less, thresholds), now);
    }),
    { seed: 31, numRuns: 2000 },
  );
});

test("worse measurements never lead to a lower level", () => {
  fc.assert(
    fc.property(level, measured, measured, (before, a, b) => {
      const worse = { lagMs: Math.max(a.lagMs, b.lagMs), memory: Math.max(a.memory, b.memory), backlogS: Math.max(a.backlogS, b.backlogS) };
      assert.ok(nextLevel(before, worse, thresholds) >= nextLevel(before, a, thresholds));
    }),
    { seed: 32, numRuns: 2000 },
  );
});
