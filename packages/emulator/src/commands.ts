/** The commands of the emulator: `demo`, `rehearse`, `emulator serve` and `fault`. */
import { spawn, type ChildProcess } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { CommandFailed, selectTurn, abortOnSignal, progressLine } from "./cli.js";
import { FAST_TIMING, DEFAULT_TIMING } from "./environment.js";
import type { InjectionPointOf } from "./scenario-driver.js";
import { pairwiseCases, formatCoverageTable, planForCase, type CoverageCase, type CaseResult } from "./campaign.js";
import { randomPlan, soakPlan } from "./random-plans.js";
import { loadPlan, type RehearsalPlan } from "./plan.js";
import { decodeFault } from "./faults.js";
import { serveAdmin } from "./real/admin.js";
import { sendRequest, parseObject } from "./real/http.js";
import { playReal } from "./real/play.js";
import { TestEnvironment } from "./real/test-environment.js";
import { hadSplitWhileRefused, formatCopies, formatTable, type Report } from "./report.js";
import { minimisePlan } from "./minimise-plan.js";
import { runVirtual, type VirtualRunOptions } from "./virtual/play.js";
import type { ControllerPort } from "./virtual/world.js";

const passed = (report: Report): boolean => report.broken.length === 0 && report.jobs.unfinished.length === 0;

/**
 * `npm run demo`: runs the demonstration plan on real processes of this machine, within a minute. Exits with 4 if a rule of the protocol
 * was broken, a job is not done, a fault affected nothing, no takeover occurred or a process ended by itself.
 */
export async function demo(options: { plan: string; program: string[]; seed: number; injectionPointOf: InjectionPointOf }): Promise<void> {
  const plan = await loadPlan(options.plan);
  const { showProgress, endProgress } = progressLine();
  const stop = abortOnSignal();
  const report = await playReal({
    program: options.program,
    plan,
    timing: FAST_TIMING,
    seed: options.seed,
    injectionPointOf: options.injectionPointOf,
    progress: showProgress,
    settleMs: 20_000,
    stop: stop.signal,
  });
  endProgress();
  if (stop.signal.aborted) {
    process.exitCode = 130;
    return;
  }
  process.stdout.write(`${formatTable(report)}\n`);
  for (const { at, kind, met } of report.faults) process.stdout.write(`at ${at.toFixed(0)} s: ${kind} ${met.join(", ")}\n`);
  for (const line of [...report.broken, ...report.trouble]) process.stdout.write(`${line}\n`);
  const { done, submitted, unfinished } = report.jobs;
  if (unfinished.length > 0) process.stdout.write(`unfinished: ${unfinished.join(", ")}\n`);
  process.stdout.write(`demo: ${done} jobs done, ${report.broken.length} rules broken, ${report.takeovers} takeovers\n`);
  const asPlanned = report.faults.length === plan.fault.length && report.faults.every(({ met }) => met.length > 0) && report.takeovers > 0;
  if (!passed(report) || done !== submitted || !asPlanned || report.trouble.some((line) => line.startsWith("ended"))) process.exitCode = 4;
}

/** `thorntrail rehearse`: runs a plan on real processes, prints its result and writes the report. Throws `CommandFailed` if interrupted. */
export async function rehearseReal(options: {
  plan: string;
  program: string[];
  seed: number | undefined;
  report: string | undefined;
  injectionPointOf: InjectionPointOf;
  /** Runs a plan in virtual time; used to minimise a plan that broke a rule of the protocol. */
  runVirtual: (plan: RehearsalPlan, seed: number) => ReturnType<typeof runVirtual>;
}): Promise<void> {
  const plan = await loadPlan(options.plan);
  const { showProgress, endProgress } = progressLine();
  const stop = abortOnSignal();
  const seed = options.seed ?? plan.seed;
  const report = await playReal({
    program: options.program,
    plan,
    timing: DEFAULT_TIMING,
    seed,
    injectionPointOf: options.injectionPointOf,
    progress: showProgress,
    settleMs: plan.settle * 1000,
    stop: stop.signal,
  });
  endProgress();
  if (stop.signal.aborted) throw new CommandFailed("interrupted; nothing was left behind");
  if (report.broken.length > 0) await reportMinimisedPlan(plan, report, (one) => options.runVirtual(one, seed), showProgress, endProgress);
  finishRehearsal(report, options.report);
}

/** Minimises a plan that broke a rule of the protocol, in virtual time; prints the result and adds it to the report. */
async function reportMinimisedPlan(
  plan: RehearsalPlan,
  report: Report,
  play: (one: RehearsalPlan) => ReturnType<typeof runVirtual>,
  showProgress: (text: string) => void,
  endProgress: () => void,
): Promise<void> {
  showProgress("a rule broke: looking for the shortest plan that still breaks it in virtual time");
  const breaks = async (one: RehearsalPlan): Promise<boolean> => (await play(one)).broken.length > 0;
  if (report.mode === "real" && !(await breaks(plan))) {
    endProgress();
    process.stdout.write("in virtual time, with the same seed, the plan breaks no rule: repeat the run on real processes\n");
    return;
  }
  const found = await minimisePlan(plan, breaks, MAX_MINIMISE_RUNS);
  Object.assign(report, { shortest: found.plan, shrinkRuns: found.runs });
  endProgress();
  process.stdout.write(
    `shortest plan that still breaks: ${JSON.stringify({ work: found.plan.work.map(({ name }) => name), fault: found.plan.fault })}\n`,
  );
}

/** Writes the report to `file`, prints the result, and sets exit code 4 if a rule of the protocol was broken or jobs are unfinished. */
export function finishRehearsal(report: Report, file: string | undefined): void {
  if (file !== undefined) writeFileSync(file, `${JSON.stringify(report, null, 2)}\n`);
  process.stdout.write(`${formatTable(report)}\n`);
  for (const line of [...report.broken, ...report.trouble]) process.stdout.write(`${line}\n`);
  if (Object.keys(report.copies).length > 0) process.stdout.write(`copies: ${formatCopies(report.copies)}\n`);
  const { done, withdrawn, unfinished } = report.jobs;
  process.stdout.write(
    `${report.plan}: ${done} jobs done, ${withdrawn} withdrawn, ${unfinished.length} unfinished, ${report.broken.length} rules broken, ${report.takeovers} takeovers\n`,
  );
  if (!passed(report)) process.exitCode = 4;
}

/** Options of a rehearsal in virtual time. */
export interface RehearseVirtualOptions<C extends ControllerPort> extends Pick<VirtualRunOptions<C>, "spawn" | "injectionPointOf"> {
  plan: string;
  seed: number | undefined;
  report: string | undefined;
  /** Maximum number of cases of a campaign to run, each with a fault at an injection point instead of the plan's own faults. */
  campaign: number | undefined;
  /** Number of seeds to run, from `seed` on. For each seed, two or three randomly generated faults replace the plan's own. */
  drawn?: number | undefined;
  /** Number of seeds to run, from `seed` on. For each seed, the many random faults of a soak run are added to the plan's own. */
  soak?: number | undefined;
  /** Share of the cases or seeds to run: `2/8` is every eighth, from the third on. Set for child processes that divide a campaign. */
  turn?: string | undefined;
  /** Number of child processes between which the cases or seeds are divided. */
  processes?: number | undefined;
  /**
   * Command and leading arguments that start `thorntrail` as one of the child processes of `processes`. If absent, all cases or
   * seeds run in this process.
   */
  program?: string[];
}

/** Maximum number of runs for minimising one plan. */
const MAX_MINIMISE_RUNS = 60;

/**
 * `thorntrail rehearse --virtual`: runs the plan in virtual time, either once, for each case of a campaign (a combination of a fault,
 * an injection point, a duration and a second fault), or with randomly generated faults. Prints the broken rules of the protocol and a
 * minimised plan that still breaks one; a campaign's cases are not minimised.
 */
export async function rehearseVirtual<C extends ControllerPort>(options: RehearseVirtualOptions<C>): Promise<void> {
  const plan = await loadPlan(options.plan);
  const seed = options.seed ?? plan.seed;
  const { spawn, injectionPointOf } = options;
  const play = (one: RehearsalPlan): ReturnType<typeof runVirtual> => runVirtual({ plan: one, seed, spawn, injectionPointOf });
  const { showProgress, endProgress } = progressLine();
  const seedCount = options.drawn ?? options.soak;
  if (seedCount !== undefined) {
    const planOfSeed = options.soak === undefined ? randomPlan : soakPlan;
    const seeds = selectTurn(
      Array.from({ length: seedCount }, (_, i) => seed + i),
      options.turn,
    );
    const { processes = 1, program } = options;
    const shared = processes > 1 && program !== undefined;
    const played = shared
      ? await runInProcesses<RandomisedResult>(
          { ...options, seed, processes: Math.min(processes, seeds.length), program, count: seeds.length, showProgress },
          [options.soak === undefined ? "--drawn" : "--soak", String(seedCount)],
        )
      : [
          await runRandomised(
            plan,
            planOfSeed,
            seeds,
            (one, caseSeed) => runVirtual({ plan: one, seed: caseSeed, spawn, injectionPointOf }),
            showProgress,
          ),
        ];
    endProgress();
    return printRandomisedSummary(
      plan,
      seed,
      { played: played.flatMap((one) => one.played), bad: played.flatMap((one) => one.bad) },
      options.report,
    );
  }
  if (options.campaign === undefined) {
    const report = await play(plan);
    if (report.broken.length > 0) await reportMinimisedPlan(plan, report, play, showProgress, endProgress);
    return finishRehearsal(report, options.report);
  }
  const chosen = selectTurn(pairwiseCases(seed).slice(0, options.campaign), options.turn);
  const { processes = 1, program } = options;
  const played =
    processes > 1 && program !== undefined
      ? mergeCampaigns(
          await runInProcesses<CampaignResult>(
            { ...options, seed, processes: Math.min(processes, chosen.length), program, count: chosen.length, showProgress },
            ["--campaign", String(options.campaign)],
          ),
        )
      : await runCampaign(plan, chosen, play, showProgress);
  endProgress();
  printCampaignSummary(plan, seed, played, options.report);
}

interface CampaignResult {
  covered: CaseResult[];
  bad: { name: string; broken: string[]; unfinished: string[]; trouble: string[] }[];
}

async function runCampaign(
  plan: RehearsalPlan,
  chosen: CoverageCase[],
  play: (one: RehearsalPlan) => ReturnType<typeof runVirtual>,
  showProgress: (text: string) => void,
): Promise<CampaignResult> {
  const covered: CaseResult[] = [];
  const bad: CampaignResult["bad"] = [];
  for (const [i, one] of chosen.entries()) {
    const rehearsal = planForCase(plan, one);
    showProgress(`${i + 1} of ${chosen.length}: ${rehearsal.name}`);
    const report = await play(rehearsal);
    const met = report.moments.some(({ moment: point, met: targets }) => point === one.moment && targets.length > 0);
    covered.push({
      fault: one.fault,
      moment: one.moment,
      seen: met,
      broken: report.broken.length,
      unfinished: report.jobs.unfinished.length,
    });
    if (report.broken.length + report.jobs.unfinished.length > 0)
      bad.push({ name: rehearsal.name, broken: report.broken, unfinished: report.jobs.unfinished, trouble: report.trouble });
  }
  return { covered, bad };
}

const mergeCampaigns = (results: CampaignResult[]): CampaignResult => ({
  covered: results.flatMap(({ covered }) => covered),
  bad: results.flatMap(({ bad }) => bad),
});

interface RandomisedResult {
  /** One entry for each seed that was run; `met` is the number of its faults that affected at least one target. */
  played: { seed: number; met: number; splitWhileRefused: boolean }[];
  bad: { seed: number; broken: string[]; unfinished: string[]; trouble: string[]; shortest: { work: string[]; fault: unknown } }[];
}

async function runRandomised(
  base: RehearsalPlan,
  planOfSeed: (base: RehearsalPlan, seed: number) => RehearsalPlan,
  seeds: number[],
  play: (one: RehearsalPlan, seed: number) => ReturnType<typeof runVirtual>,
  showProgress: (text: string) => void,
): Promise<RandomisedResult> {
  const result: RandomisedResult = { played: [], bad: [] };
  for (const [i, seed] of seeds.entries()) {
    showProgress(`${i + 1} of ${seeds.length}: drawn ${seed}`);
    const plan = planOfSeed(base, seed);
    const report = await play(plan, seed);
    const { broken, trouble: errors, jobs } = report;
    result.played.push({
      seed,
      met: report.faults.filter(({ met }) => met.length > 0).length,
      splitWhileRefused: hadSplitWhileRefused(report.faults, DEFAULT_TIMING.leaseMs / 1000),
    });
    if (broken.length + errors.length + jobs.unfinished.length === 0) continue;
    const fails = async (one: RehearsalPlan): Promise<boolean> => {
      const again = await play(one, seed);
      return broken.length > 0 ? again.broken.length > 0 : again.jobs.unfinished.length + again.trouble.length > 0;
    };
    const { plan: shortest } = await minimisePlan(plan, fails, MAX_MINIMISE_RUNS / 3);
    const minimised = { work: shortest.work.map(({ name }) => name), fault: shortest.fault };
    result.bad.push({ seed, broken, unfinished: jobs.unfinished, trouble: errors, shortest: minimised });
  }
  return result;
}

function printRandomisedSummary(plan: RehearsalPlan, seed: number, { played, bad }: RandomisedResult, report: string | undefined): void {
  if (report !== undefined) writeFileSync(report, `${JSON.stringify({ plan: plan.name, seed, played, bad }, null, 2)}\n`);
  for (const { seed: one, broken, unfinished, trouble: errors, shortest } of bad) {
    const what = [...broken, ...errors].join("; ") || `unfinished: ${unfinished.join(", ")}`;
    process.stdout.write(`drawn ${one}: ${what}\n  ${JSON.stringify(shortest)}\n`);
  }
  const splits = played.filter(({ splitWhileRefused }) => splitWhileRefused).length;
  const compound = played.filter(({ met }) => met > 1).length;
  process.stdout.write(
    `drawn: ${played.length} rehearsals, in ${compound} two or more faults affected something, in ${splits} a split while refused, ${bad.filter((one) => one.broken.length > 0).length} broke a rule, ${bad.length} left work, logged an error or broke a rule\n`,
  );
  if (bad.length > 0) process.exitCode = 4;
}

/** Divides independent runs between child processes and returns the report of each child. Rejects if a child fails. */
async function runInProcesses<T>(
  options: {
    plan: string;
    seed: number;
    processes: number;
    program: string[];
    count: number;
    showProgress: (text: string) => void;
  },
  caseArgs: string[],
): Promise<T[]> {
  const dir = mkdtempSync(join(tmpdir(), "thorntrail-campaign-"));
  let started = 0;
  const [file, ...programArgs] = options.program as [string, ...string[]];
  const running = new Set<ChildProcess>();
  const killAll = (): void => running.forEach((child) => child.kill("SIGKILL"));
  process.once("exit", killAll);
  const runShare = (i: number): Promise<T> => {
    const reportFile = join(dir, `${i}.json`);
    const args = ["rehearse", options.plan, "--virtual", "--seed", String(options.seed), "--report", reportFile];
    args.push(...caseArgs, "--turn", `${i}/${options.processes}`);
    const child = spawn(file, [...programArgs, ...args], { stdio: ["ignore", "ignore", "pipe"] });
    running.add(child);
    let errors = "";
    child.stderr.on("data", (data: Buffer) => {
      errors = (errors + data.toString()).slice(-2000);
      // Each child writes one line to standard error before each rehearsal.
      started += data.toString().split("\n").length - 1;
      options.showProgress(`${Math.min(started, options.count)} of ${options.count}, in ${options.processes} processes`);
    });
    return new Promise((resolve, reject) => {
      child.once("error", reject);
      child.once("exit", (code, signal) => {
        running.delete(child);
        // Exit code 4 means that a rule of the protocol was broken or jobs are unfinished; the report has the details.
        if (code === 0 || code === 4) resolve(JSON.parse(readFileSync(reportFile, "utf8")) as T);
        else reject(new CommandFailed(`process ${i} of the campaign ended with ${code ?? signal}: ${errors.trim().split("\n").at(-1)}`));
      });
    });
  };
  try {
    return await Promise.all(Array.from({ length: options.processes }, (_, i) => runShare(i)));
  } finally {
    killAll();
    process.off("exit", killAll);
    rmSync(dir, { recursive: true, force: true });
  }
}

function printCampaignSummary(plan: RehearsalPlan, seed: number, { covered, bad }: CampaignResult, report: string | undefined): void {
  if (report !== undefined) writeFileSync(report, `${JSON.stringify({ plan: plan.name, seed, covered, bad }, null, 2)}\n`);
  process.stdout.write(`${formatCoverageTable(covered)}\n`);
  for (const { name, broken, unfinished } of bad)
    process.stdout.write(`${name}: ${broken.join("; ") || `unfinished: ${unfinished.join(", ")}`}\n`);
  const met = covered.filter(({ seen }) => seen).length;
  process.stdout.write(
    `campaign: ${covered.length} rehearsals, ${met} met their moment, ${bad.filter((one) => one.broken.length > 0).length} broke a rule, ${bad.length} left work or broke a rule\n`,
  );
  if (bad.some((one) => one.broken.length > 0)) process.exitCode = 4;
}

/** Splits an IPv4 address with port; throws `CommandFailed` naming the option. */
function parseAddress(text: string, option: string): [string, number] {
  const match = /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/.exec(text);
  if (match === null || Number(match[2]) > 65_535) throw new CommandFailed(`${option} ${text}: give an address like 127.0.0.1:7070`);
  return [match[1]!, Number(match[2])];
}

/**
 * `thorntrail emulator serve`: runs the test environment of a plan with real processes until it is interrupted. The plan's jobs are
 * not submitted and its faults are not injected.
 */
export async function emulatorServe(options: { plan: string; program: string[]; admin: string; seed: number | undefined }): Promise<void> {
  const plan = await loadPlan(options.plan);
  const [host, port] = parseAddress(options.admin, "--admin");
  const stop = abortOnSignal();
  const environment = new TestEnvironment({ program: options.program, plan, timing: DEFAULT_TIMING, seed: options.seed ?? plan.seed });
  try {
    await environment.start();
    const { server, addr } = await serveAdmin(environment, host, port);
    process.stdout.write(`${JSON.stringify({ admin: addr, ...environment.status() })}\n`);
    await new Promise<void>((resolve) => stop.signal.addEventListener("abort", () => resolve()));
    server.close();
    server.closeAllConnections();
  } finally {
    environment.close();
  }
}

/**
 * `thorntrail fault KIND key=value...`: requests one fault from a running emulator. Throws `CommandFailed` if the fault is malformed or
 * the emulator rejects it.
 */
export async function faultCommand(options: { emulator: string; kind: string; fields: string[] }): Promise<Record<string, unknown>> {
  parseAddress(options.emulator, "--emulator");
  const request: Record<string, unknown> = { kind: options.kind };
  for (const field of options.fields) {
    const separator = field.indexOf("=");
    if (separator <= 0) throw new CommandFailed(`${field}: expected name=value, such as for=10`);
    const value = field.slice(separator + 1);
    request[field.slice(0, separator)] = /^-?\d+(\.\d+)?$/.test(value) ? Number(value) : value;
  }
  // The fault is validated here first, so that a mistake is reported without a running emulator.
  const decoded = decodeFault(request);
  if ("wrong" in decoded) throw new CommandFailed(`fault ${options.kind}: ${decoded.wrong}`);
  const answer = await sendRequest(false, options.emulator, "POST", "/faults", JSON.stringify(request), 5000);
  if (answer === null) throw new CommandFailed(`${options.emulator} does not answer: start 'thorntrail emulator serve' first`);
  if (answer.status !== 200) throw new CommandFailed(String(parseObject(answer.text)["error"] ?? `status ${answer.status}`));
  return parseObject(answer.text);
}
