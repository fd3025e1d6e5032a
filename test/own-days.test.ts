import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, test } from "node:test";

const folder = mkdtempSync(join(tmpdir(), "own-days-"));
after(() => rmSync(folder, { recursive: true }));

/** Writes the report of a day that passes the evaluation, with the members in `change` replaced, and returns the file's path. */
function report(change: Record<string, unknown>): string {
  const served = { jobs: 100, started: 90, done: 80, cancelled: 4 };
  const day = {
    rules_broken: { total: 0 },
    classes: { cierre: served, fotos: { ...served, done: 49, cancelled: 4 } },
    teams: { "mesa-loja": { jobs: 100, started: 90 } },
    fleet: { tasks_started: 1000, tasks_done: 900, useful: 0.7, price: 3 },
    users: { submitted: 200, accepted: 200 },
    spent: { world: [20, 3], processes: [200, 5] },
    node_stats: [{ memory_peak_mb: 50, connections_peak: 300, restarts: [{ at_s: 160, why: "fault" }] }],
    targets: [{ kind: "submit", value: 0.95 }],
    ...change,
  };
  const file = join(folder, `${Object.keys(change).join()}-${Math.random()}.json`);
  writeFileSync(file, JSON.stringify(day));
  return file;
}

const runScript = (...args: string[]): { status: number | null; out: string; err: string } => {
  const { status, stdout, stderr } = spawnSync(process.execPath, ["scripts/own-days.mjs", ...args], { encoding: "utf8" });
  return { status, out: stdout, err: stderr };
};

test("a day on which at least half of the jobs were served and no rule was broken passes, and prints its table row", () => {
  const { status, out } = runScript(report({}));
  assert.equal(status, 0, out);
  assert.match(out, /\| 228 \| 50 \| 300 \| 1\.00 \| 0\.95 \| 0\.70 \| cierre 0\.90\/0\.83, fotos 0\.90\/0\.51 \| - \|/);
});

test("each condition that fails a day is detected and named", () => {
  const served = { jobs: 100, started: 90, done: 80, cancelled: 0 };
  const cases: [Record<string, unknown>, RegExp][] = [
    [{ rules_broken: { total: 1 } }, /1 times a rule was broken/],
    [{ classes: { cierre: served, fotos: { ...served, done: 49 } } }, /fotos: 0\.49 done/],
    [{ teams: { "mesa-loja": { jobs: 100, started: 49 } } }, /team mesa-loja: 0\.49 started/],
    [{ largest: { cierre: { jobs: 9, started: 9 }, fotos: { jobs: 8, started: 3 } } }, /largest of fotos: 0\.38 started/],
    [{ spent: { world: [20, 3], processes: [380, 5] } }, /408 processor seconds/],
    [{ node_stats: [{ memory_peak_mb: 50, connections_peak: 3, restarts: [{ at_s: 9, why: "memory" }] }] }, /1 processes ended/],
    [{ users: { submitted: 200, accepted: 90 } }, /most submissions stayed unanswered/],
  ];
  for (const [change, expected] of cases) {
    const { status, out } = runScript(report({}), report(change));
    assert.equal(status, 1, out);
    assert.match(out, expected);
  }
});

test("a file that is no report is rejected with one line that names it", () => {
  const broken = join(folder, "broken.json");
  writeFileSync(broken, '{"rules_broken":');
  const cases: [string[], RegExp][] = [
    [[], /^no file given: expected one or more reports of days/],
    [[join(folder, "none.json")], /none\.json: cannot read the report \(ENOENT\)/],
    [[broken], /broken\.json: expected the report of a day, found invalid JSON/],
    [[report({ teams: 7 })], /expected the report of a day, but teams is not of type object/],
    [["--wide", broken], /--wide/],
  ];
  for (const [args, expected] of cases) {
    const { status, err } = runScript(...args);
    assert.equal(status, 2);
    assert.match(err, expected);
    assert.equal(err.trim().split("\n").length, 1, err);
  }
});
