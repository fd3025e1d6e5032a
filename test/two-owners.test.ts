import assert from "node:assert/strict";
import { test } from "node:test";
import { exploreOwners, splits, type Exploration, type LinkMode, type FaultyVariant } from "./world/two-owners-model.js";

/** By default, network splits with two of the four links are explored; `OWNERS=all` explores all with at most three links. */
const ALL = process.env["OWNERS"] === "all";
const ways = splits(ALL ? [0, 1, 2, 3] : [2]);
/**
 * Network split in which the old owner reaches both machines and the new owner only the machine with the task. The new owner
 * records the task as done and orders the machine to discard it, while the old owner still counts it as running.
 */
const SUCCESSOR_REACHES_ONE: LinkMode[][] = [["both", "both", "both", "none"]];

const EXPLORATIONS: [string, Exploration][] = [
  ["an owner that serves", { ways }],
  ["a new owner that fences", { fencing: true, ways }],
  ...(ALL ? ([["a task that ends", { ends: true, ways: SUCCESSOR_REACHES_ONE }]] as [string, Exploration][]) : []),
];

for (const [what, exploration] of EXPLORATIONS)
  test(`two owners, two machines, split: the task is on one machine at most, and not started again after its result was cleared (${what})`, (t) => {
    const startedAt = performance.now();
    const { states, broken } = exploreOwners({}, exploration);
    assert.equal(broken, null);
    t.diagnostic(`${states} states in ${Math.round(performance.now() - startedAt)} ms`);
  });

const FAULTY_VARIANTS: [string, FaultyVariant, Exploration, RegExp][] = [
  ["a lease expired by the clock alone", { clockLease: true }, {}, /^none both both none: the task is on two machines/],
  ["a proof dated by the end of a read", { provenAtEnd: true }, {}, /on two machines.*reads slowly/],
  ["a machine fenced by the clock alone", { clockFence: true }, { fencing: true }, /on two machines/],
  ["a new owner that does not wait for the former one's silence", { noSilence: true }, { fencing: true }, /on two machines/],
  [
    "a newer owner's token that does not end the term",
    { newerTokenKeepsTerm: true },
    { ends: true, ways: SUCCESSOR_REACHES_ONE },
    /started again after it was done/,
  ],
];

for (const [what, wrong, exploration, expected] of FAULTY_VARIANTS)
  test(`faulty variant is detected: ${what}`, () => assert.match(exploreOwners(wrong, exploration).broken ?? "nothing", expected));
