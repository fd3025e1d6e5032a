import assert from "node:assert/strict";
import { test } from "node:test";
import { exploreCopies, type Bounds, type FaultyVariant } from "./world/late-copy-model.js";

/** `COPIES=all` also explores more revisions with fewer attempts. */
const BOUNDS: readonly Bounds[] = [
  { revision: 3, attempts: 3 },
  ...(process.env["COPIES"] === "all" ? [{ revision: 4, attempts: 2 }] : []),
];

for (const bounds of BOUNDS)
  test(`starts that arrive any number of times at any time: no interleaving of two owners puts the task on two machines (${bounds.revision} revisions, ${bounds.attempts} attempts)`, (t) => {
    const startedAt = performance.now();
    const { states, broken } = exploreCopies({}, bounds);
    assert.equal(broken, null);
    assert.ok(states > 10_000, `${states} states`);
    t.diagnostic(`${states} states in ${Math.round(performance.now() - startedAt)} ms`);
  });

for (const [what, wrong] of [
  ["an attempt discarded under the token of its own start", { clearsUnderStartToken: true }],
  ["a token raised without proof of ownership", { raisesWithoutProof: true }],
  ["a token raised to the revision of a write whose answer was lost", { raisesByLostAnswer: true }],
  ["an answer below a raised token", { answersBelowRaisedToken: true }],
  ["an attempt that is not listed taken as gone while its start may arrive", { notListedIsProof: true }],
] as [string, FaultyVariant][])
  test(`faulty variant is detected: ${what}`, () => {
    assert.match(exploreCopies(wrong, { revision: 3, attempts: 3 }).broken ?? "nothing", /^the task is on two machines/);
  });
