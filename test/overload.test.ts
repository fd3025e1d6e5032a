import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { nextLevel, sheds, overloadThresholds, type Level, type OverloadMetrics, type SheddableWork } from "../src/overload/levels.js";

const from = overloadThresholds({ reportMs: 2500 }, 5);
const quiet: OverloadMetrics = { lagMs: 0, memory: 0.3, backlogS: 0 };
const ORDER: SheddableWork[] = ["view", "volunteering", "growth", "submission", "urgent submission"];
const measured = fc.record({
  lagMs: fc.double({ min: 0, max: 10_000, noNaN: true }),
  memory: fc.double({ min: 0, max: 1.2, noNaN: true }),
  backlogS: fc.double({ min: 0, max: 100, noNaN: true }),
});
const level = fc.integer({ min: 0, max: 4 }) as fc.Arbitrary<Level>;

test("what is shed is shed in one order, urgent submissions last", () => {
  for (let at = 0 as Level; at <= 4; at++) {
    const gone = ORDER.map((what) => sheds(at, what));
    assert.deepEqual(
      gone,
      [...gone].sort((a, b) => Number(b) - Number(a)),
      `level ${at}`,
    );
  }
  assert.ok(ORDER.every((what) => !sheds(0, what)) && ORDER.every((what) => sheds(4, what)));
});

test("each cause alone raises the level as far as it calls for, and at once", () => {
  assert.equal(nextLevel(0, { ...quiet, memory: 0.96 }, from), 4);
  assert.equal(nextLevel(0, { ...quiet, lagMs: 2500 }, from), 4);
  assert.equal(nextLevel(0, { ...quiet, backlogS: 20 }, from), 3);
  assert.equal(nextLevel(4, quiet, from), 0);
});

test("a level is not left by a cause that stays about where it began: no flapping", () => {
  fc.assert(
    fc.property(level, measured, (before, seen) => {
      const up = nextLevel(0, seen, from);
      const now = nextLevel(before, seen, from);
      // Never below what the figures call for, never above both that and what held before.
      assert.ok(now >= up && now <= Math.max(before, up));
      // The same figures again change nothing.
      assert.equal(nextLevel(now, seen, from), now);
      // A little less of everything keeps it.
      const less = { lagMs: seen.lagMs * 0.97, memory: seen.memory * 0.97, backlogS: seen.backlogS * 0.97 };
      assert.equal(nextLevel(now, less, from), now);
    }),
    { seed: 31, numRuns: 2000 },
  );
});

test("worse figures never make for a lower level", () => {
  fc.assert(
    fc.property(level, measured, measured, (before, a, b) => {
      const worse = { lagMs: Math.max(a.lagMs, b.lagMs), memory: Math.max(a.memory, b.memory), backlogS: Math.max(a.backlogS, b.backlogS) };
      assert.ok(nextLevel(before, worse, from) >= nextLevel(before, a, from));
    }),
    { seed: 32, numRuns: 2000 },
  );
});
