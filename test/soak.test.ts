import assert from "node:assert/strict";
import { spawn, spawnSync } from "node:child_process";
import { existsSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { BRISK, loadPlan, soakSeed, timeless, type RehearsalPlan, type SoakRun } from "@thorntrail/emulator/entry";
import { momentOf } from "../src/rehearsal/moments.js";

/** Short, and judged by rules that a slow machine cannot break for the controllers. The long form: docs/operations/rehearsals.md. */
const SECONDS = 24;
const SETTLE = 6;
const base = await loadPlan("deploy/soak.hcl");
const short: RehearsalPlan = { ...base, seconds: SECONDS, settle: SETTLE };
const MAIN = "target/main.js";
const program = [process.execPath, MAIN];

async function soak(plan: RehearsalPlan, seed: number): Promise<SoakRun & { left: string[] }> {
  const keep = mkdtempSync(join(tmpdir(), "soak-test-"));
  try {
    const run = await soakSeed({ program, plan, timing: BRISK, momentOf, artifactsDir: keep }, seed);
    const dir = join(keep, `seed-${seed}`);
    return { ...run, left: existsSync(dir) ? readdirSync(dir).sort() : [] };
  } finally {
    rmSync(keep, { recursive: true, force: true });
  }
}

test("soak, short form: faults at random moments on real processes break no rule of safety", async () => {
  const runs = await Promise.all([11, 12].map((seed) => soak(short, seed)));
  for (const run of runs) {
    assert.deepEqual(timeless(run.broken), [], `seed ${run.seed}`);
    const violated = run.trouble.filter((line) => line.includes("invariant violated"));
    assert.deepEqual(violated, [], `seed ${run.seed}`);
    assert.ok(run.started > 0, `seed ${run.seed}: ${run.started} tasks started`);
  }
});

test("soak: a task that is started a second time behind the controllers' backs is seen, and the seed leaves its logs", async () => {
  const fault = [8, 11, 14, 17, 20].map((at) => ({ at, fault: { kind: "start-twice" } as const }));
  const run = await soak({ ...short, fault }, 1);
  assert.ok(
    run.broken.some((line) => line.startsWith("ran_twice")),
    JSON.stringify(run),
  );
  assert.deepEqual(run.left, ["controllers.log", "history.jsonl", "run.json"]);
});

test("soak: a plan that does not hold is refused before anything starts: file, field, what was expected", () => {
  const dir = mkdtempSync(join(tmpdir(), "soak-test-"));
  const text = readFileSync("deploy/soak.hcl", "utf8");
  const file = join(dir, "plan.hcl");
  try {
    for (const [wrong, said] of [
      [text.replace("controllers = 3", "controllers = 0"), /plan\.hcl: controllers: .*>=1/],
      [text.replace("seconds     = 75", "seconds     = -4"), /plan\.hcl: seconds: /],
      [`${text}\nfault {\n  kind = "explode"\n  at   = 3\n}\n`, /plan\.hcl: fault\.0/],
      [`${text}\nfault {\n  kind  = "late-commands"\n  at    = 3\n  hosts = 2\n}\n`, /plan\.hcl: fault\.0.*hosts/],
      [`${text}\nfault {\n  kind = "freeze"\n  at   = 3\n  for  = -1\n}\n`, /plan\.hcl: fault\.0\.for: /],
    ] as const) {
      writeFileSync(file, wrong);
      const { status, stderr, stdout } = spawnSync(process.execPath, [MAIN, "rehearse", file, "--soak", "1"], { encoding: "utf8" });
      assert.equal(stdout, "");
      assert.equal(stderr.trim().split("\n").length, 1, stderr);
      assert.match(stderr, said);
      assert.equal(status, 3, stderr);
    }
  } finally {
    rmSync(dir, { recursive: true, force: true });
  }
});

test("soak: one that is interrupted leaves no process and no folder, and says that it is partial", async () => {
  const dir = mkdtempSync(join(tmpdir(), "soak-test-"));
  const env = { ...process.env, TMPDIR: dir, LOG_LEVEL: "error" };
  const args = [MAIN, "rehearse", "deploy/soak.hcl", "--soak", "4", "--processes", "2", "--keep", join(dir, "keep")];
  const child = spawn(process.execPath, args, { stdio: ["ignore", "pipe", "inherit"], env });
  let out = "";
  child.stdout.on("data", (some: Buffer) => (out += some.toString()));
  const mine = (): string[] =>
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
    for (let i = 0; i < 300 && mine().length < 9; i++) await new Promise((resolve) => setTimeout(resolve, 100));
    assert.ok(mine().length >= 9, "two places, each with a store and three controllers");
    const gone = new Promise((resolve) => child.once("exit", resolve));
    child.kill("SIGINT");
    assert.equal(await gone, 130);
    for (let i = 0; i < 50 && mine().length > 0; i++) await new Promise((resolve) => setTimeout(resolve, 100));
    assert.deepEqual([mine(), readdirSync(dir)], [[], []]);
    assert.match(out, /soak: 0 of 4 seeds to their end, \d partial/);
  } finally {
    child.kill("SIGKILL");
    rmSync(dir, { recursive: true, force: true });
  }
});
