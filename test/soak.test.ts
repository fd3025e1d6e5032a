import assert from "node:assert/strict";
import { spawn, spawnSync } from "node:child_process";
import { existsSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { FAST_TIMING, loadPlan, runSoakSeed, timingIndependent, type RehearsalPlan, type SoakRun } from "@thorntrail/emulator/entry";
import { injectionPointOf } from "../src/rehearsal/injection-points.js";

/**
 * Duration of a run. Runs this short are checked only by rules that do not depend on the computer's speed. For long runs see
 * docs/operations/rehearsals.md.
 */
const SECONDS = 24;
const SETTLE_SECONDS = 6;
const base = await loadPlan("deploy/soak.hcl");
const short: RehearsalPlan = { ...base, seconds: SECONDS, settle: SETTLE_SECONDS };
const MAIN = "target/main.js";
const program = [process.execPath, MAIN];

async function soak(plan: RehearsalPlan, seed: number): Promise<SoakRun & { artifacts: string[] }> {
  const artifactsDir = mkdtempSync(join(tmpdir(), "soak-test-"));
  try {
    const run = await runSoakSeed({ program, plan, timing: FAST_TIMING, injectionPointOf, artifactsDir }, seed);
    const dir = join(artifactsDir, `seed-${seed}`);
    return { ...run, artifacts: existsSync(dir) ? readdirSync(dir).sort() : [] };
  } finally {
    rmSync(artifactsDir, { recursive: true, force: true });
  }
}

test("soak, short form: faults at random times on real processes break no safety rule", async () => {
  const runs = await Promise.all([11, 12, 22].map((seed) => soak(short, seed)));
  for (const run of runs) {
    assert.deepEqual(timingIndependent(run.broken), [], `seed ${run.seed}`);
    const violations = run.trouble.filter((line) => line.includes("invariant violated"));
    assert.deepEqual(violations, [], `seed ${run.seed}`);
    assert.ok(run.started > 0, `seed ${run.seed}: ${run.started} tasks started`);
  }
});

test("soak: a task that is started on a second machine without an order of the controllers is detected, and the seed leaves its logs", async () => {
  const fault = [8, 11, 14, 17, 20].map((at) => ({ at, fault: { kind: "start-twice" } as const }));
  // Without an image to fetch, a task that is started a second time runs at once. Otherwise the controllers' next answer might stop
  // it while it fetches its image, and no task would run twice.
  const work = short.work.map((workload) => ({ ...workload, image_gb: 0 }));
  const run = await soak({ ...short, work, fault }, 1);
  assert.ok(run.faults.includes("start-twice"), `a task was running when a fault was due: ${JSON.stringify(run)}`);
  assert.ok(
    run.broken.some((line) => line.startsWith("ran_twice")),
    JSON.stringify(run),
  );
  assert.deepEqual(run.artifacts, ["controllers.log", "history.jsonl", "run.json"]);
});

test("soak: an invalid plan is refused before anything starts, with file, field and expectation", () => {
  const dir = mkdtempSync(join(tmpdir(), "soak-test-"));
  const text = readFileSync("deploy/soak.hcl", "utf8");
  const file = join(dir, "plan.hcl");
  try {
    for (const [invalid, expected] of [
      [text.replace("controllers = 3", "controllers = 0"), /plan\.hcl: controllers: .*>=1/],
      [text.replace("seconds     = 75", "seconds     = -4"), /plan\.hcl: seconds: /],
      [`${text}\nfault {\n  kind = "explode"\n  at   = 3\n}\n`, /plan\.hcl: fault\.0/],
      [`${text}\nfault {\n  kind  = "late-commands"\n  at    = 3\n  hosts = 2\n}\n`, /plan\.hcl: fault\.0.*hosts/],
      [`${text}\nfault {\n  kind = "freeze"\n  at   = 3\n  for  = -1\n}\n`, /plan\.hcl: fault\.0\.for: /],
    ] as const) {
      writeFileSync(file, invalid);
      const { status, stderr, stdout } = spawnSync(process.execPath, [MAIN, "rehearse", file, "--soak", "1"], { encoding: "utf8" });
      assert.equal(stdout, "");
      assert.equal(stderr.trim().split("\n").length, 1, stderr);
      assert.match(stderr, expected);
      assert.equal(status, 3, stderr);
    }
  } finally {
    rmSync(dir, { recursive: true, force: true });
  }
});

test("soak: an interrupted run leaves no process and no folder, and reports itself as partial", async () => {
  const dir = mkdtempSync(join(tmpdir(), "soak-test-"));
  const env = { ...process.env, TMPDIR: dir, LOG_LEVEL: "error" };
  const args = [MAIN, "rehearse", "deploy/soak.hcl", "--soak", "4", "--processes", "2", "--keep", join(dir, "keep")];
  const child = spawn(process.execPath, args, { stdio: ["ignore", "pipe", "inherit"], env });
  let out = "";
  child.stdout.on("data", (data: Buffer) => (out += data.toString()));
  const ownProcesses = (): string[] =>
    readdirSync("/proc")
      .filter((pid) => /^\d+$/.test(pid))
      .filter((pid) => {
        try {
          return readFileSync(`/proc/${pid}/environ`, "utf8").includes(`TMPDIR=${dir}`);
        } catch {
          return false;
        }
      });
  try {
    for (let i = 0; i < 300 && ownProcesses().length < 9; i++) await new Promise((resolve) => setTimeout(resolve, 100));
    assert.ok(ownProcesses().length >= 9, "two environments, each with a store and three controllers");
    const exited = new Promise((resolve) => child.once("exit", resolve));
    child.kill("SIGINT");
    assert.equal(await exited, 130);
    for (let i = 0; i < 50 && ownProcesses().length > 0; i++) await new Promise((resolve) => setTimeout(resolve, 100));
    assert.deepEqual([ownProcesses(), readdirSync(dir)], [[], []]);
    assert.match(out, /soak: 0 of 4 seeds to their end, \d partial/);
  } finally {
    child.kill("SIGKILL");
    rmSync(dir, { recursive: true, force: true });
  }
});
