/** `thorntrail rehearse --soak`: plays the seeds asked for, here or shared by processes, and says what they came to. */
import { writeFileSync } from "node:fs";
import { selectTurn, abortOnSignal } from "./cli.js";
import type { MomentOf } from "./conductor.js";
import { USUAL } from "./place.js";
import { loadPlan } from "./plan.js";
import { formatSoakRun, runSoakSeed, runSoakInProcesses, type SoakRun } from "./soak.js";

/** A soak still writes down what it came to, and waits for the processes that share it. */
const SOAK_GRACE_MS = 8000;

export interface RehearseSoakOptions {
  plan: string;
  program: string[];
  /** How many seeds, and the first of them. */
  seeds: number;
  first: number | undefined;
  report: string | undefined;
  keep: string;
  keepAll: boolean;
  processes: number;
  turn: string | undefined;
  momentOf: MomentOf;
}

/** `thorntrail rehearse --soak N`: N seeds of faults at random moments on real processes. */
export async function rehearseSoak(options: RehearseSoakOptions): Promise<void> {
  const { program, keep, keepAll, momentOf } = options;
  const plan = await loadPlan(options.plan);
  const stop = abortOnSignal(SOAK_GRACE_MS);
  const first = options.first ?? plan.seed;
  const seeds = selectTurn(
    Array.from({ length: options.seeds }, (_, i) => first + i),
    options.turn,
  );
  const say = (line: string): void => void process.stdout.write(`${line}\n`);
  let runs: SoakRun[] = [];
  if (options.processes > 1 && options.turn === undefined) {
    const args = (turn: string, report: string): string[] => [
      ...["rehearse", options.plan, "--soak", String(options.seeds), "--seed", String(first), "--keep", keep],
      ...["--turn", turn, "--report", report, ...(keepAll ? ["--keep-all"] : [])],
    ];
    runs = await runSoakInProcesses({ program, args, processes: Math.min(options.processes, seeds.length), say }, stop.signal);
  } else {
    for (const seed of seeds) {
      if (stop.signal.aborted) break;
      const run = await runSoakSeed({ program, plan, timing: USUAL, momentOf, artifactsDir: keep, keepAll, stop: stop.signal }, seed).catch(
        (error: unknown) => {
          // Interrupted before all of its processes were up.
          if (stop.signal.aborted) return null;
          throw error;
        },
      );
      if (run === null) break;
      runs.push(run);
      say(formatSoakRun(run));
      for (const line of [...run.broken, ...run.trouble]) say(`  ${line}`);
    }
  }
  if (options.report !== undefined) writeFileSync(options.report, `${JSON.stringify(runs, null, 2)}\n`);
  if (options.turn === undefined) printSoakSummary(runs, options.seeds);
  if (runs.some(({ broken }) => broken.length > 0)) process.exitCode = 4;
  if (stop.signal.aborted) process.exitCode = 130;
}

function printSoakSummary(runs: readonly SoakRun[], asked: number): void {
  const whole = runs.filter(({ partial }) => !partial);
  const sum = (read: (run: SoakRun) => number): number => runs.reduce((n, run) => n + read(run), 0);
  const bad = runs.filter(({ broken }) => broken.length > 0).map(({ seed }) => seed);
  process.stdout.write(
    `soak: ${whole.length} of ${asked} seeds to their end, ${runs.length - whole.length} partial, ${asked - runs.length} not begun; ` +
      `${sum(({ faults }) => faults.length)} faults met, ${sum(({ takeovers }) => takeovers)} takeovers, ` +
      `${sum(({ started }) => started)} tasks started, ${runs.filter(({ splitWhileRefused }) => splitWhileRefused).length} seeds met a split while refused, ${sum(({ trouble }) => trouble.length)} errors, ` +
      `rules broken in ${bad.length} seeds${bad.length === 0 ? "" : ` (${bad.join(", ")})`}\n`,
  );
}
