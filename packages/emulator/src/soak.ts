/**
 * Soak runs: for each of several seeds in turn, faults of all kinds hit real processes at times that depend on the seed, and the
 * events that workers and users observe are checked against the rules. The logs and the history of a run that breaks a rule or
 * logs an error are kept.
 */
import { spawn, type ChildProcess } from "node:child_process";
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { HistoryEvent } from "./checker.js";
import type { InjectionPointOf } from "./scenario-driver.js";
import { soakPlan } from "./random-plans.js";
import type { Timing } from "./environment.js";
import type { RehearsalPlan } from "./plan.js";
import { formatCopies, hadSplitWhileRefused, type Report } from "./report.js";
import { playReal } from "./real/play.js";

/** The result of the run of one seed. */
export interface SoakRun {
  seed: number;
  seconds: number;
  /** Kinds of the faults that affected at least one target. */
  faults: string[];
  /** Whether a split affected machines of a controller while the state service refused just that controller for longer than a lease. */
  splitWhileRefused: boolean;
  takeovers: number;
  started: number;
  jobs: { submitted: number; over: number };
  broken: string[];
  /** Errors in the logs, and processes that exited on their own. */
  trouble: string[];
  /** Reports that the emulated workers sent late; many of them mean that this machine is too slow for the run. */
  lateReports: number;
  reports: number;
  /** Copies of messages that were carried out before, by the kind of message. */
  copies: Report["copies"];
  /** Whether a signal ended the run early. */
  partial: boolean;
}

/** Matches the broken rules whose result does not depend on the speed of this machine. */
const TIMING_INDEPENDENT = /^(ran_twice|quota|wrong_place|invented|not_done|went_back|forgotten|accepted_wrongly|too_early)\b/;

/** Returns the broken rules that are meaningful on a busy machine too. */
export function timingIndependent(broken: readonly string[]): string[] {
  return broken.filter((line) => TIMING_INDEPENDENT.test(line));
}

/** Options of a soak. */
export interface SoakOptions {
  /** The command that starts the program, such as `[node, main.js]`. */
  program: readonly string[];
  plan: RehearsalPlan;
  timing: Timing;
  injectionPointOf: InjectionPointOf;
  /** Folder for the logs and the history of seeds that broke a rule or logged an error. */
  artifactsDir: string;
  /** Keeps the logs and the history of every seed. */
  keepAll?: boolean;
  stop?: AbortSignal;
}

/** Maximum number of log lines kept for the run of one seed; beyond it, the oldest are dropped. */
const MAX_LOG_LINES = 200_000;

/** Runs the plan of one seed on real processes and returns its result. Rejects if the processes cannot be started. */
export async function runSoakSeed(options: SoakOptions, seed: number): Promise<SoakRun> {
  const { program, timing, injectionPointOf, stop } = options;
  const plan = soakPlan(options.plan, seed);
  const lines: string[] = [];
  const history: HistoryEvent[] = [];
  const report = await playReal({
    program,
    plan,
    timing,
    seed,
    injectionPointOf,
    settleMs: plan.settle * 1000,
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
    splitWhileRefused: hadSplitWhileRefused(report.faults, timing.leaseMs / 1000),
    takeovers: report.takeovers,
    started: history.filter(({ kind }) => kind === "on").length,
    jobs: { submitted, over: done + withdrawn },
    broken: report.broken,
    trouble: report.trouble,
    lateReports: report.reports?.late ?? 0,
    reports: report.reports?.sent ?? 0,
    copies: report.copies,
    partial: stop?.aborted === true,
  };
  if (run.broken.length > 0 || run.trouble.length > 0 || options.keepAll === true)
    writeArtifacts(options.artifactsDir, run, plan, lines, history);
  return run;
}

function writeArtifacts(
  folder: string,
  run: SoakRun,
  plan: RehearsalPlan,
  lines: readonly string[],
  history: readonly HistoryEvent[],
): void {
  const dir = join(folder, `seed-${run.seed}`);
  mkdirSync(dir, { recursive: true });
  writeFileSync(join(dir, "run.json"), `${JSON.stringify({ ...run, plan }, null, 2)}\n`);
  writeFileSync(join(dir, "controllers.log"), `${lines.join("\n")}\n`);
  writeFileSync(join(dir, "history.jsonl"), `${history.map((event) => JSON.stringify(event)).join("\n")}\n`);
}

/** Formats the result of one seed as a line for the terminal. */
export function formatSoakRun({
  seed,
  seconds,
  faults,
  splitWhileRefused,
  takeovers,
  started,
  jobs,
  broken,
  trouble: errors,
  lateReports,
  reports,
  copies,
  partial,
}: SoakRun): string {
  const latePercent = reports === 0 ? 0 : (100 * lateReports) / reports;
  const facts = [
    `${faults.length} faults (${[...new Set(faults)].sort().join(" ")})`,
    ...(splitWhileRefused ? ["split while refused"] : []),
    `${takeovers} takeovers`,
    `${started} tasks started`,
    `${jobs.over} of ${jobs.submitted} jobs over`,
    `${latePercent.toFixed(1)}% of reports late`,
    `copies: ${formatCopies(copies) || "none"}`,
    `${errors.length} errors`,
    `${broken.length} rules broken`,
  ];
  return `seed ${seed}: ${seconds.toFixed(0)} s${partial ? ", PARTIAL" : ""}, ${facts.join(", ")}`;
}

/**
 * Divides the seeds between child processes and returns their results. Children are ended with SIGTERM, so that each can end its own
 * processes. Rejects if a child writes no report.
 */
export async function runSoakInProcesses(
  options: {
    program: readonly string[];
    args: (turn: string, report: string) => string[];
    processes: number;
    print: (text: string) => void;
  },
  stop: AbortSignal,
): Promise<SoakRun[]> {
  const dir = mkdtempSync(join(tmpdir(), "thorntrail-soak-"));
  const [file, ...programArgs] = options.program as [string, ...string[]];
  const running = new Set<ChildProcess>();
  stop.addEventListener("abort", () => running.forEach((child) => child.kill("SIGTERM")));
  const runShare = (i: number): Promise<SoakRun[]> => {
    const reportFile = join(dir, `${i}.json`);
    const child = spawn(file, [...programArgs, ...options.args(`${i}/${options.processes}`, reportFile)], {
      stdio: ["ignore", "pipe", "inherit"],
    });
    running.add(child);
    child.stdout.on("data", (data: Buffer) => options.print(data.toString().trimEnd()));
    return new Promise((resolve, reject) => {
      child.once("error", reject);
      child.once("exit", (code) => {
        running.delete(child);
        try {
          resolve(JSON.parse(readFileSync(reportFile, "utf8")) as SoakRun[]);
        } catch {
          reject(new Error(`process ${i} of the soak exited with ${code} and wrote no report`));
        }
      });
    });
  };
  try {
    return (await Promise.all(Array.from({ length: options.processes }, (_, i) => runShare(i)))).flat();
  } finally {
    running.forEach((child) => child.kill("SIGTERM"));
    rmSync(dir, { recursive: true, force: true });
  }
}
