import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { computeFigures, loadAssumptions } from "../measure/capacity/figures.js";
import { replaceTables, renderTables } from "../measure/capacity/page.js";
import { loadSlopes, predictLoads, findSlope, SlopesFileError, type Amounts } from "../measure/scale/model.js";
import { loadTarget, parseTarget, TargetFileError } from "../measure/scale/target.js";
import { perOrderedPair, fitLine } from "../measure/slopes/line.js";

const PAGE = "docs/CAPACITY.md";
const FOLDER = "docs/capacity";

test("a line fit gives slope and intercept, and points that are not on a line are reported as not straight", () => {
  const line = fitLine([2, 4, 8].map((x) => ({ x, y: 3 + 2 * x })));
  assert.deepEqual([line.slope.toFixed(6), line.intercept.toFixed(6), line.straight], ["2.000000", "3.000000", true]);
  const pairs = [2, 4, 8, 16].map((x) => ({ x, y: 5 * x * (x - 1) }));
  assert.equal(fitLine(pairs).straight, false);
  assert.equal(fitLine(perOrderedPair(pairs)).straight, true);
  assert.throws(() => fitLine(pairs.slice(0, 2)), /2 points: expected three or more/);
});

test("an invalid target is rejected with one line that names the file, the field and the expected value", () => {
  const text = readFileSync(`${FOLDER}/target.json`, "utf8");
  const errorOf = (change: string): string => {
    try {
      parseTarget("t.json", change);
    } catch (error) {
      assert.ok(error instanceof TargetFileError);
      return error.message;
    }
    return "";
  };
  assert.match(errorOf("{"), /^t\.json: not JSON$/);
  assert.match(errorOf(text.replace('"workers": 3500', '"workers": -1')), /^t\.json: workers: /);
  assert.match(errorOf(text.replace('"workers"', '"machines"')), /t\.json: workers: .*; t\.json: \(top\): .*machines/);
  assert.throws(() => loadSlopes(`${FOLDER}/target.json`), /target\.json: slopes: expected a list/);
  assert.throws(() => findSlope(new Map(), "nothing"), SlopesFileError);
});

test("the load of a role is slope times amount, and grows with the amounts", () => {
  const { slopes: named, bytes } = loadSlopes(`${FOLDER}/slopes.json`);
  const amounts: Amounts = {
    ...{ controllers: 4, machines: 1000, tasks: 10_000, teams: 340, startsPerS: 100, smallJobsPerS: 1, pollsPerS: 10, arraysEnding: 5 },
    ...{ rentalsPerS: 0, openJobs: 100, finishedJobs: 100 },
  };
  const base = predictLoads(named, bytes, amounts);
  const more = predictLoads(named, bytes, { ...amounts, startsPerS: 200 });
  const coresPerStart = findSlope(named, "controller_start").slope / 1000;
  assert.ok(Math.abs(more.controller_cores - base.controller_cores - (100 * coresPerStart) / 4) < 1e-9);
  assert.ok(predictLoads(named, bytes, { ...amounts, finishedJobs: 10_000 }).controller_mb > base.controller_mb);
  assert.ok(predictLoads(named, bytes, { ...amounts, controllers: 22 }).peer_bytes_per_s > 20 * base.peer_bytes_per_s);
});

test("the capacity page matches the figures computed from its input files", () => {
  const target = loadTarget(`${FOLDER}/target.json`);
  const assumptions = loadAssumptions(`${FOLDER}/assumptions.json`);
  const { slopes: named, bytes } = loadSlopes(`${FOLDER}/slopes.json`);
  const figures = computeFigures(target, assumptions, named, bytes);
  const page = readFileSync(PAGE, "utf8");
  assert.equal(replaceTables(page, renderTables(target, assumptions, figures)), page, "run: npm run capacity -- --write");
  assert.ok(figures.controlMachines <= target.control_machines);
  assert.throws(() => replaceTables("no markers", ""), /expected a line/);
});
