import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { adjusted, startsAllowed, sumOf } from "../src/configuration/quota-shares.js";
import { exploreQuota, type Wrong } from "./world/quota-model.js";

const MOST = 400_000;

test("model of a limit that changes: no start above a limit in force, in every state", () => {
  const { states, faults, sums } = exploreQuota({}, 4, MOST);
  assert.ok(states > 5000 && states < MOST, `${states} states`);
  assert.deepEqual([[...faults], sums], [[], 4]);
});

const wrong: Wrong[] = [
  { startsAboveLimit: true },
  { ignoresUse: true },
  { unconditional: true },
  { forgetsCeded: true },
  { cedesUsed: true },
];
for (const variant of wrong)
  test(`model of a limit that changes: found when it is wrong, ${Object.keys(variant).join()}`, () => {
    assert.match([...exploreQuota(variant, 4, MOST).faults].join(), /a start above/);
  });

test("shares come to the limit from whatever they were, as tasks end, and never below what runs", () => {
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
              const next = adjusted(shares, limit, { partition, used: used[partition]!, raises: partition === 0 });
              if (next !== null) shares = [...next];
              if (limit !== null) for (const [i, one] of used.entries()) assert.ok((shares[i] ?? Infinity) >= one);
            });
        };
        settle();
        if (limit === null) return assert.ok(shares.every((one) => one === null));
        const runs = used.reduce((a, b) => a + b, 0);
        assert.ok(Math.abs(sumOf(shares) - Math.max(limit, runs)) < 1e-6, JSON.stringify([shares, used, limit]));
        used.fill(0);
        settle();
        assert.ok(startsAllowed(shares, limit) && Math.abs(sumOf(shares) - limit) < 1e-6);
      },
    ),
  );
});
