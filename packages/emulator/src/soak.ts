/**
 * A soak: seed after seed, faults of the whole vocabulary at random moments against real processes, judged from outside by
 * what workers and users see. A seed that breaks a rule leaves its logs and its history.
 */
import { spawn, type ChildProcess } from "node:child_process";
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { Happening } from "./checker.js";
import type { MomentOf } from "./conductor.js";
import { soakPlan } from "./drawn.js";
import type { Timing } from "./place.js";
import type { RehearsalPlan } from "./plan.js";
import { metSplitWhileRefused } from "./report.js";
import { playReal } from "./real/play.js";

/** What one seed came to. */
export interface SoakRun {
  seed: number;
  seconds: number;
  /** Kinds of faults that met somebody. */
  faults: string[];
  /** A split met machines of a controller that the state service refused alone for longer than a lease. */
  splitWhileRefused: boolean;
  takeovers: number;
  started: number;
  jobs: { submitted: number; over: number };
  broken: string[];
  /** Errors that the controllers logged, and processes that ended by themselves. */
  trouble: string[];
  /** Reports of the emulated workers that were sent late: the machine was too slow for the run. */
  lateReports: number;
  reports: number;
  /** Ended before its time, by a signal. */
  partial: boolean;
}

/** Rules whose verdict does not hang on how fast the machine is. */
const TIMING_INDEPENDENT = /^(ran_twice|quota|wrong_place|invented|not_done|went_back|forgotten|accepted_wrongly|too_early)\b/;

/** Broken rules that say something on a busy machine too. */
export function timingIndependent(broken: readonly string[]): string[] {
  return broken.filter((line) => TIMING_INDEPENDENT.test(line));
}

export interface SoakOptions {
  /** The program that serves, as `[node, main.js]`. */
  program: readonly string[];
  plan: RehearsalPlan;
  timing: Timing;
  momentOf: MomentOf;
  /** Where a seed that broke a rule leaves its logs and its history. */
  artifactsDir: string;
  /** Every seed leaves them. */
  keepAll?: boolean;
  stop?: AbortSignal;
}

/** Lines of logs that a seed keeps; the oldest make room. */
const MAX_LOG_LINES = 200_000;

export async function runSoakSeed(options: SoakOptions, seed: number): Promise<SoakRun> {
  const { program, timing, momentOf, stop } = options;
  const plan = soakPlan(options.plan, seed);
  const lines: string[] = [];
  const history: Happening[] = [];
  const report = await playReal({
    program,
    plan,
    timing,
    seed,
    momentOf,
    patienceMs: plan.settle * 1000,
    onLogLine: (node, entry) => {
      lines.push(JSON.stringify({ node, ...entry }));
      if (lines.length > MAX_LOG_LINES) lines.shift();
    },
    onHistory: (all) => history.push(...all),
    ...(stop === undefined ? {} : { stop }),
  });
  const { submitted, done, withdrawn } = report.jobs;
  const run: SoakRun = {
    seed,
    seconds: report.seconds,
    faults: report.faults.filter(({ met }) => met.length > 0).map(({ kind }) => kind),
    splitWhileRefused: metSplitWhileRefused(report.faults, timing.leaseMs / 1000),
    takeovers: report.takeovers,
    started: history.filter(({ kind }) => kind === "on").length,
    jobs: { submitted, over: done + withdrawn },
    broken: report.broken,
    trouble: report.trouble,
    lateReports: report.reports?.late ?? 0,
    reports: report.reports?.sent ?? 0,
    partial: stop?.aborted === true,
  };
  if (run.broken.length > 0 || run.trouble.length > 0 || options.keepAll === true) writeArtifacts(options.artifactsDir, run, plan, lines, history);
  return run;
}

function writeArtifacts(folder: string, run: SoakRun, plan: RehearsalPlan, lines: readonly string[], history: readonly Happening[]): void {
  const dir = join(folder, `seed-${run.seed}`);
  mkdirSync(dir, { recursive: true });
  writeFileSync(join(dir, "run.json"), `${JSON.stringify({ ...run, plan }, null, 2)}\n`);
  writeFileSync(join(dir, "controllers.log"), `${lines.join("\n")}\n`);
  writeFileSync(join(dir, "history.jsonl"), `${history.map((event) => JSON.stringify(event)).join("\n")}\n`);
}

/** One line a seed: what it met and what it broke. */
export function formatSoakRun({
  seed,
  seconds,
  faults,
  splitWhileRefused,
  takeovers,
  started,
  jobs,
  broken,
  trouble,
  lateReports,
  reports,
  partial,
}: SoakRun): string {
  const late = reports === 0 ? 0 : (100 * lateReports) / reports;
  const facts = [
    `${faults.length} faults (${[...new Set(faults)].sort().join(" ")})`,
    ...(splitWhileRefused ? ["split while refused"] : []),
    `${takeovers} takeovers`,
    `${started} tasks started`,
    `${jobs.over} of ${jobs.submitted} jobs over`,
    `${late.toFixed(1)}% of reports late`,
    `${trouble.length} errors`,
    `${broken.length} rules broken`,
  ];
  return `seed ${seed}: ${seconds.toFixed(0)} s${partial ? ", PARTIAL" : ""}, ${facts.join(", ")}`;
}

/** Children that share the seeds; each is asked to end, and takes its own processes along. */
export async function runSoakInProcesses(
  asked: { program: readonly string[]; args: (turn: string, report: string) => string[]; processes: number; say: (text: string) => void },
  stop: AbortSignal,
): Promise<SoakRun[]> {
  const dir = mkdtempSync(join(tmpdir(), "thorntrail-soak-"));
  const [file, ...programArgs] = asked.program as [string, ...string[]];
  const running = new Set<ChildProcess>();
  stop.addEventListener("abort", () => running.forEach((child) => child.kill("SIGTERM")));
  const runShare = (i: number): Promise<SoakRun[]> => {
    const reportFile = join(dir, `${i}.json`);
    const child = spawn(file, [...programArgs, ...asked.args(`${i}/${asked.processes}`, reportFile)], { stdio: ["ignore", "pipe", "inherit"] });
    running.add(child);
    child.stdout.on("data", (data: Buffer) => asked.say(data.toString().trimEnd()));
    return new Promise((resolve, reject) => {
      child.once("error", reject);
      child.once("exit", (code) => {
        running.delete(child);
        try {
          resolve(JSON.parse(readFileSync(reportFile, "utf8")) as SoakRun[]);
        } catch {
          reject(new Error(`process ${i} of the soak ended with ${code} and told nothing`));
        }
      });
    });
  };
  try {
    return (await Promise.all(Array.from({ length: asked.processes }, (_, i) => runShare(i)))).flat();
  } finally {
    running.forEach((child) => child.kill("SIGTERM"));
    rmSync(dir, { recursive: true, force: true });
  }
}
