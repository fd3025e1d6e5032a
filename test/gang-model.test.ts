import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { claimsOf, givesWay, precedes, sameClaims, type GangIdentity } from "../src/fleet/gang-precedence.js";
import { exploreGangs, firstNeverGivesWay, type Bounds, type Rule } from "./world/gang-model.js";

/** `GANGS=all` also explores three partitions with a fault. */
const SIZES: readonly Bounds[] = [
  { machines: 2, needs: [2, 2], faults: 2 },
  { machines: 3, needs: [3, 2], faults: 2 },
  { machines: 3, needs: [2, 3], faults: 2 },
  { machines: 3, needs: [2, 2, 2], faults: 0 },
  { machines: 3, needs: [3, 1, 2], faults: 0 },
  ...(process.env["GANGS"] === "all"
    ? [
        { machines: 2, needs: [2, 2, 2], faults: 1 },
        { machines: 3, needs: [2, 2, 3], faults: 1 },
      ]
    : []),
];

for (const bounds of SIZES) {
  const size = `${bounds.needs.length} gangs of ${bounds.needs.join()} on ${bounds.machines} machines, ${bounds.faults} faults`;
  test(`model of gangs that wait for each other's machines: every gang runs, and no path goes on for ever (${size})`, (t) => {
    const { states, deadlock, cycle } = exploreGangs(bounds, "order");
    t.diagnostic(`${states} states`);
    assert.deepEqual([deadlock, cycle], [null, null]);
    assert.ok(states > 50, `${states} states`);
  });
}

const faultyRules: [Rule, "deadlock" | "cycle", string][] = [
  ["keep", "deadlock", "no gang gives way, the rule before"],
  ["own-first", "deadlock", "each partition puts its own gang first"],
  ["both", "cycle", "each gives way to the other"],
  ["rents-again", "cycle", "a gang that gave way rents again at once, and takes and returns in turns"],
];
for (const [rule, what, meaning] of faultyRules)
  test(`model of gangs that wait for each other's machines: a ${what} is found if ${meaning}`, () => {
    assert.notEqual(exploreGangs({ machines: 2, needs: [2, 2], faults: 0 }, rule)[what], null);
  });

const identity = fc.record<GangIdentity>({
  ref: fc.integer({ min: 0, max: 9 }).map((n) => `run-${n}`),
  urgency: fc.constantFrom("critical", "urgent", "normal", "low"),
  submittedAt: fc.integer({ min: 0, max: 3 }),
});
const gangs = fc.uniqueArray(identity, { minLength: 1, maxLength: 6, selector: ({ ref }) => ref });

test("of any gangs the order puts one first, which never gives way, and of any two just one comes later", () => {
  fc.assert(
    fc.property(gangs, (all) => {
      assert.ok(firstNeverGivesWay(all));
      for (const a of all) {
        assert.ok(!givesWay(a, [a]));
        for (const b of all) if (a !== b) assert.notEqual(precedes(a, b), precedes(b, a));
        for (const b of all) for (const c of all) if (precedes(a, b) && precedes(b, c)) assert.ok(precedes(a, c));
      }
    }),
    { seed: 68 },
  );
});

test("a partition claims each refused offering for the first gang that lacks it, in whatever order the gangs are listed", () => {
  const offerings = fc.subarray(["m/a/ordinary", "m/b/ordinary", "m/a/spot"]);
  fc.assert(
    fc.property(
      gangs.chain((all) => fc.tuple(...all.map((gang) => fc.record({ gang: fc.constant(gang), refusedOfferings: offerings })))),
      (blocked) => {
        const claims = claimsOf(blocked);
        assert.ok(sameClaims(claims, claimsOf([...blocked].reverse())));
        for (const { gang, refusedOfferings } of blocked)
          for (const offering of refusedOfferings) {
            const claimant = blocked.find((one) => one.gang.ref === claims[offering])!.gang;
            assert.ok(claimant === gang || precedes(claimant, gang));
          }
      },
    ),
    { seed: 68 },
  );
});
