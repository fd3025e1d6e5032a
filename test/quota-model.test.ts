import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { adjustedShares, startsAllowed, totalShares } from "../src/configuration/quota-shares.js";
import { exploreQuota, type FaultyVariant } from "./world/quota-model.js";

const MAX_STATES = 400_000;

test("model of a changing limit: no start above a limit in force, in any state", () => {
  const { states, faults, sums } = exploreQuota({}, 4, MAX_STATES);
  assert.ok(states > 5000 && states < MAX_STATES, `${states} states`);
  assert.deepEqual([[...faults], sums], [[], 4]);
});

const faultyVariants: FaultyVariant[] = [
  { startsAboveLimit: true },
  { ignoresUse: true },
  { unconditional: true },
  { forgetsCeded: true },
  { cedesUsed: true },
];
for (const variant of faultyVariants)
  test(`model of a changing limit: faulty variant is detected, ${Object.keys(variant).join()}`, () => {
    assert.match([...exploreQuota(variant, 4, MAX_STATES).faults].join(), /a start above/);
  });

test("shares converge to the limit from any start as tasks end, and never fall below the usage", () => {
  const amount = fc.integer({ min: 0, max: 40 });
  const share = fc.option(amount, { nil: null, freq: 5 });
  fc.assert(
    fc.property(
      fc.array(fc.tuple(share, amount), { minLength: 1, maxLength: 6 }),
      fc.option(fc.integer({ min: 1, max: 90 })),
      (own, limit) => {
        let shares = own.map(([held, used]) => (held === null ? null : Math.max(held, used)));
        const used = own.map((one) => one[1]);
        const settle = (): void => {
          for (let round = 0; round < 4; round++)
            shares.forEach((_, partition) => {
              const next = adjustedShares(shares, limit, { partition, used: used[partition]!, raises: partition === 0 });
              if (next !== null) shares = [...next];
              if (limit !== null) for (const [i, one] of used.entries()) assert.ok((shares[i] ?? Infinity) >= one);
            });
        };
        settle();
        if (limit === null) return assert.ok(shares.every((one) => one === null));
        const runs = used.reduce((a, b) => a + b, 0);
        assert.ok(Math.abs(totalShares(shares) - Math.max(limit, runs)) < 1e-6, JSON.stringify([shares, used, limit]));
        used.fill(0);
        settle();
        assert.ok(startsAllowed(shares, limit) && Math.abs(totalShares(shares) - limit) < 1e-6);
      },
    ),
  );
});
