/** `thorntrail rehearse --soak`: runs a plan with random faults for several seeds, in one or more processes, and prints the results. */
import { writeFileSync } from "node:fs";
import { selectTurn, abortOnSignal } from "./cli.js";
import type { InjectionPointOf } from "./scenario-driver.js";
import { DEFAULT_TIMING } from "./environment.js";
import { loadPlan } from "./plan.js";
import { formatSoakRun, runSoakSeed, runSoakInProcesses, type SoakRun } from "./soak.js";

/** Time in ms after a termination signal for writing the report and waiting for the child processes. */
const SOAK_GRACE_MS = 8000;

/** Options of a soak, as given on the command line. */
export interface RehearseSoakOptions {
  plan: string;
  program: string[];
  /** Number of seeds to run. */
  seeds: number;
  /** The first seed; undefined for the plan's own. */
  first: number | undefined;
  report: string | undefined;
  keep: string;
  keepAll: boolean;
  processes: number;
  turn: string | undefined;
  injectionPointOf: InjectionPointOf;
}

/**
 * `thorntrail rehearse --soak N`: runs N seeds with faults at random times on real processes. Sets exit code 4 if a rule of the
 * protocol was broken and 130 if interrupted.
 */
export async function rehearseSoak(options: RehearseSoakOptions): Promise<void> {
  const { program, keep, keepAll, injectionPointOf } = options;
  const plan = await loadPlan(options.plan);
  const stop = abortOnSignal(SOAK_GRACE_MS);
  const first = options.first ?? plan.seed;
  const seeds = selectTurn(
    Array.from({ length: options.seeds }, (_, i) => first + i),
    options.turn,
  );
  const print = (line: string): void => void process.stdout.write(`${line}\n`);
  let runs: SoakRun[] = [];
  if (options.processes > 1 && options.turn === undefined) {
    const args = (turn: string, report: string): string[] => [
      ...["rehearse", options.plan, "--soak", String(options.seeds), "--seed", String(first), "--keep", keep],
      ...["--turn", turn, "--report", report, ...(keepAll ? ["--keep-all"] : [])],
    ];
    runs = await runSoakInProcesses({ program, args, processes: Math.min(options.processes, seeds.length), print }, stop.signal);
  } else {
    for (const seed of seeds) {
      if (stop.signal.aborted) break;
      const run = await runSoakSeed(
        { program, plan, timing: DEFAULT_TIMING, injectionPointOf, artifactsDir: keep, keepAll, stop: stop.signal },
        seed,
      ).catch((error: unknown) => {
        // A signal interrupted the run before all of its processes were running.
        if (stop.signal.aborted) return null;
        throw error;
      });
      if (run === null) break;
      runs.push(run);
      print(formatSoakRun(run));
      for (const line of [...run.broken, ...run.trouble]) print(`  ${line}`);
    }
  }
  if (options.report !== undefined) writeFileSync(options.report, `${JSON.stringify(runs, null, 2)}\n`);
  if (options.turn === undefined) printSoakSummary(runs, options.seeds);
  if (runs.some(({ broken }) => broken.length > 0)) process.exitCode = 4;
  if (stop.signal.aborted) process.exitCode = 130;
}

function printSoakSummary(runs: readonly SoakRun[], seedCount: number): void {
  const complete = runs.filter(({ partial }) => !partial);
  const sum = (read: (run: SoakRun) => number): number => runs.reduce((n, run) => n + read(run), 0);
  const failedSeeds = runs.filter(({ broken }) => broken.length > 0).map(({ seed }) => seed);
  process.stdout.write(
    `soak: ${complete.length} of ${seedCount} seeds to their end, ${runs.length - complete.length} partial, ${seedCount - runs.length} not begun; ` +
      `${sum(({ faults }) => faults.length)} faults met, ${sum(({ takeovers }) => takeovers)} takeovers, ` +
      `${sum(({ started }) => started)} tasks started, ${runs.filter(({ splitWhileRefused }) => splitWhileRefused).length} seeds met a split while refused, ${sum(({ trouble: errors }) => errors.length)} errors, ` +
      `rules broken in ${failedSeeds.length} seeds${failedSeeds.length === 0 ? "" : ` (${failedSeeds.join(", ")})`}\n`,
  );
}
