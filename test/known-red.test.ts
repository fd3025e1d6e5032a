import assert from "node:assert/strict";
import { test } from "node:test";
// @ts-expect-error: a script of the project, without types
import { findProblems, parseKnownFailures } from "../scripts/known-red.mjs";

const FILE = "a | b ends | late by a lease | issue 40\nsecond | cause | issue 41\n";
const run = (text: string, results: Record<string, boolean>, complete?: boolean): string[] =>
  findProblems(
    parseKnownFailures(text),
    Object.entries(results).map(([name, passed]) => ({ name, passed })),
    complete,
  ) as string[];

test("known failures: only listed failures are tolerated", () => {
  assert.deepEqual(run(FILE, { "a | b ends": false, second: false, third: true }), []);
  assert.deepEqual(run("", { third: true }), []);
  assert.deepEqual(run("", { third: false }), ["failed and not listed: third"]);
  assert.deepEqual(run(FILE, { "a | b ends": false, second: false, third: false }), ["failed and not listed: third"]);
});

test("known failures: an entry whose test passes, does not exist or is listed twice fails the run", () => {
  assert.match(run(FILE, { "a | b ends": true, second: false }).join(), /^KNOWN-RED.txt:1: .* passes: remove this entry$/);
  assert.match(run(FILE, { "a | b ends": false }).join(), /^KNOWN-RED.txt:2: no test has the name "second"$/);
  assert.deepEqual(run(FILE, { "a | b ends": false }, false), [], "a run of some of the tests does not check the entries of the others");
  assert.match(run(FILE + "second | again | issue 1", { "a | b ends": false, second: false }).join(), /:3: "second" is listed twice/);
  const twice = ["second", "second"].map((name) => ({ name, passed: false }));
  assert.match(
    (findProblems(parseKnownFailures("second | cause | issue 41"), twice) as string[]).join(),
    /more than one test has the name/,
  );
});

test("known failures: a fourth entry and malformed lines are reported with their line number", () => {
  const four = ["a", "b", "c", "d"].map((name) => `${name} | cause | issue 4`).join("\n");
  assert.match(run(four, { a: false, b: false, c: false, d: false }).join(), /^KNOWN-RED.txt:4: at most 3 tests/);
  for (const line of ["only a name", "a | issue 4", "a |  | issue 4", "a | cause | 4", "a | cause | issue x", " | cause | issue 4"])
    assert.match(run(line, {}).join(), /^KNOWN-RED.txt:1: expected "test \| cause \| issue N"/, line);
});
