import assert from "node:assert/strict";
import { test } from "node:test";
import { explore, type FaultyVariant } from "./world/membership-model.js";

/** Maximum number of states explored, more than any test below needs; an exploration that reaches it is incomplete. */
const MAX_STATES = 30_000;

const budgets = [
  { ends: 0, suspicions: 1, late: 0, refusals: 1 },
  { ends: 1, suspicions: 1, late: 0, refusals: 0 },
  { ends: 1, suspicions: 0, late: 1, refusals: 0 },
  { ends: 2, suspicions: 0, late: 0, refusals: 0 },
];

for (const left of budgets) {
  test(`model of suspicions and claims, every state: ${JSON.stringify(left)}`, () => {
    const { states, faults, ownerless } = explore({}, left, MAX_STATES);
    assert.ok(states < MAX_STATES, `${states} states`);
    assert.deepEqual([[...faults], ownerless], [[], 0]);
  });
}

const wrongVariants: [FaultyVariant, (typeof budgets)[number], RegExp][] = [
  [{ claimsBlindly: true }, budgets[0]!, /taken from one that has answered/],
  [{ ignoresRefutations: true }, budgets[0]!, /taken from one that has answered/],
  [{ needsNoEvidence: true }, budgets[0]!, /without evidence/],
  [{ reusesIncarnation: true }, { ends: 1, suspicions: 0, late: 0, refusals: 0 }, /term of the one before it/],
];

for (const [variant, left, expectedFault] of wrongVariants) {
  test(`model of suspicions and claims: finds the fault of the variant ${Object.keys(variant).join()}`, () => {
    assert.match([...explore(variant, left, MAX_STATES).faults].join(), expectedFault);
  });
}
