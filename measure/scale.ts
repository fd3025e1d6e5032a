import { parseArgs } from "node:util";
import { existsSync } from "node:fs";
import { progress, report, LatencyHistogram } from "./harness.js";
import { TestCluster, type Snapshot } from "./scale/test-cluster.js";
import { faultFigures, scheduleFaults } from "./scale/fault-run.js";
import { randomFaults, type ScaleFault } from "./scale/faults.js";
import { planFleet, type Fleet } from "./scale/fleet.js";
import { loadSlopes, predictLoads, findSlope, type Loads } from "./scale/model.js";
import { runForkedRole } from "./scale/roles.js";
import { loadTarget, TargetFileError } from "./scale/target.js";

/**
 * Measures a share of the target's fleet on this machine. Controllers and the store are real; workers, clients and the cloud are
 * emulated. The run fills the fleet, keeps it steady, starts a burst of tasks, and loses a controller together with the workers of a zone.
 *
 * - `--share 0.0625`: share of the target's size
 * - `--machines 4000`: number of machines, independent of the share
 * - `--faults 14 --seed 1`: faults during the run (controllers killed, paused and partitioned, reports and commands late); the
 *   checker of rehearsals then checks the history of the tasks
 *
 * The report marks a run as invalid if the processes that emulate workers and clients were themselves too slow.
 */

const TARGET_FILE = "docs/capacity/target.json";
const SLOPES_FILE = "docs/capacity/slopes.json";
/** Above this event loop delay (p99), the run measures the emulating process instead of the controllers. */
const MAX_LOOP_DELAY_MS = 250;
const MAX_LATE_REPORT_SHARE = 0.01;
/** Limits of the state service at full size; a run of any share uses them. */
const STATE_LIMITS = { rps: 3000, writeRps: 1000, valueKb: 32, txnOps: 64 };
/** Time after which the killed controller of the loss phase is started again. */
const RESTART_DELAY_MS = 20_000;
/** No fault begins in this time before the end, so that the run covers the recovery from each. */
const FAULT_FREE_END_MS = 25_000;

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
const sum = (list: readonly number[]): number => list.reduce((a, b) => a + b, 0);

/** A phase of the run and the snapshots at its start and end. */
interface Phase {
  name: string;
  from: Snapshot;
  to: Snapshot;
}

/** Figures of the report by name. */
type Figures = Record<string, number | string>;

const runningTasks = (snapshot: Snapshot): number => sum(snapshot.workers.map((stats) => stats.running));
const taskStarts = (snapshot: Snapshot): number => sum(snapshot.workers.map((stats) => stats.starts));
/** Machines rented and machines removed so far, added up. */
const rentalsAndRemovals = (snapshot: Snapshot): number => snapshot.machinesRented + snapshot.machinesRemoved;
const workersUp = (snapshot: Snapshot): number => sum(snapshot.workers.map((stats) => stats.workers));

/** Task starts per second, in the busiest second and on average over the five busiest consecutive seconds. */
function peakStarts(snapshot: Snapshot): { second: number; fiveSeconds: number } {
  const bySecond = new Map<number, number>();
  for (const { startsBySecond } of snapshot.workers)
    for (const [second, count] of startsBySecond) bySecond.set(second, (bySecond.get(second) ?? 0) + count);
  const seconds = [...bySecond.keys()];
  const fiveSecondMean = (from: number): number => sum([0, 1, 2, 3, 4].map((i) => bySecond.get(from + i) ?? 0)) / 5;
  return { second: Math.max(0, ...bySecond.values()), fiveSeconds: Math.max(0, ...seconds.map(fiveSecondMean)) };
}

/** Returns the times from submission until all tasks of a job have started, for the jobs in `refs` that were submitted from `from` until `to`. */
function startWaits(
  refs: ReadonlySet<string>,
  last: Snapshot,
  tasksOf: ReadonlyMap<string, number>,
  from: number,
  to: number,
): { times: LatencyHistogram; neverStarted: number } {
  const started = new Map<string, { count: number; lastAt: number }>();
  for (const { jobStarts } of last.workers)
    for (const [ref, count, lastAt] of jobStarts) {
      const others = started.get(ref) ?? { count: 0, lastAt: 0 };
      started.set(ref, { count: others.count + count, lastAt: Math.max(others.lastAt, lastAt) });
    }
  const times = new LatencyHistogram();
  let neverStarted = 0;
  for (const { ref, at } of last.clients.submissions) {
    if (!refs.has(ref) || at < from || at >= to) continue;
    const starts = started.get(ref);
    if (starts === undefined || starts.count < tasksOf.get(ref)!) neverStarted++;
    else times.add(starts.lastAt - at);
  }
  return { times, neverStarted };
}

/** Returns the reasons why the run is invalid; none if it is valid. */
function invalidReasons({ from, to }: Phase): string[] {
  const reasons: string[] = [];
  to.workers.forEach((stats, i) => {
    if (stats.loopP99Ms > MAX_LOOP_DELAY_MS) reasons.push(`workers-${i}: loop p99 ${stats.loopP99Ms.toFixed(0)} ms`);
  });
  if (to.clients.loopP99Ms > MAX_LOOP_DELAY_MS) reasons.push(`clients: loop p99 ${to.clients.loopP99Ms.toFixed(0)} ms`);
  const reports = sum(to.workers.map((stats) => stats.reports)) - sum(from.workers.map((stats) => stats.reports));
  const late = sum(to.workers.map((stats) => stats.lateReports)) - sum(from.workers.map((stats) => stats.lateReports));
  if (late > reports * MAX_LATE_REPORT_SHARE) reasons.push(`${late} of ${reports} reports were late`);
  return reasons;
}

/** Returns the report's figures on one phase. */
function phaseFigures(cluster: TestCluster, { name, from, to }: Phase): Figures {
  const seconds = (to.at - from.at) / 1000;
  const figures: Figures = {
    [`${name}_running_tasks`]: runningTasks(to),
    [`${name}_workers`]: workersUp(to),
    [`${name}_machines_rented`]: to.machinesRented - from.machinesRented,
    [`${name}_machines_gone`]: to.machinesRemoved - from.machinesRemoved,
    [`${name}_starts_per_s`]: (taskStarts(to) - taskStarts(from)) / seconds,
    [`${name}_state_changes_per_s`]: (to.state.changes - from.state.changes) / seconds,
    [`${name}_state_conflicts`]: to.state.conflicts - from.state.conflicts,
    [`${name}_state_refused`]: to.state.refused - from.state.refused,
    [`${name}_loopback_bytes_per_s`]: (to.traffic.bytes - from.traffic.bytes) / seconds,
    [`${name}_loopback_packets_per_s`]: (to.traffic.packets - from.traffic.packets) / seconds,
  };
  const bytes = (snapshot: Snapshot): number => sum(snapshot.workers.map((stats) => stats.sent + stats.received));
  figures[`${name}_worker_bytes_per_s`] = (bytes(to) - bytes(from)) / seconds / Math.max(1, workersUp(to));
  for (const [role, use] of cluster.usage(from, to)) {
    figures[`${name}_${role}_cores`] = use.cores;
    figures[`${name}_${role}_most_cores`] = use.maxCores;
    figures[`${name}_${role}_most_mb`] = use.maxMemoryMb;
  }
  return figures;
}

/** Returns the figures that the slopes predict for the amounts of a phase, and the ratios of the measured figures to them. */
function compareWithPrediction(fleet: Fleet, { name, from, to }: Phase, phase: Figures): Figures {
  if (!existsSync(SLOPES_FILE)) return {};
  const { slopes, bytes } = loadSlopes(SLOPES_FILE);
  const seconds = (to.at - from.at) / 1000;
  const predicted: Loads = predictLoads(slopes, bytes, {
    controllers: fleet.plan.controllers,
    machines: workersUp(to),
    tasks: (runningTasks(from) + runningTasks(to)) / 2,
    teams: fleet.plan.teams.length,
    startsPerS: (taskStarts(to) - taskStarts(from)) / seconds,
    smallJobsPerS: 1,
    pollsPerS: (to.clients.polls - from.clients.polls) / seconds,
    arraysEnding: name === "burst" ? fleet.plan.jobs.filter(({ spec }) => spec.klass === "burst").length : 0,
    rentalsPerS: (rentalsAndRemovals(to) - rentalsAndRemovals(from)) / seconds,
    openJobs: fleet.plan.jobs.length,
    finishedJobs: 0,
  });
  // Each real worker is a process with the idle cost of one. Here, thousands of emulated workers share that cost in one process.
  const processCoresPerWorker = (findSlope(slopes, "worker_idle_processor").intercept * fleet.plan.workerProcesses) / 1000 / workersUp(to);
  predicted.worker_cores += processCoresPerWorker;
  const measured = {
    controller_cores: Number(phase[`${name}_controller_cores`]) / fleet.plan.controllers,
    controller_mb: Number(phase[`${name}_controller_most_mb`]),
    worker_cores: Number(phase[`${name}_workers_cores`]) / workersUp(to),
    state_changes_per_s: Number(phase[`${name}_state_changes_per_s`]),
  };
  const figures: Figures = {};
  for (const [figure, value] of Object.entries(measured)) {
    figures[`${name}_predicted_${figure}`] = predicted[figure as keyof Loads];
    figures[`${name}_ratio_${figure}`] = value / predicted[figure as keyof Loads];
  }
  return figures;
}

/** Maximum number of workers that were up in any snapshot. */
let maxWorkers = 0;

/** Returns the processor time of all controllers by duty in ms, from the newest log line of each. */
function totalProcessorByDuty(cluster: TestCluster): Map<string, number> {
  const total = new Map<string, number>();
  for (const byDuty of cluster.processorTimeByDuty.values())
    for (const [duty, [, ms]] of Object.entries(byDuty)) total.set(duty, (total.get(duty) ?? 0) + ms);
  return total;
}

/** Takes snapshots and shows progress until `ms` after `startedAt`; returns the last snapshot. */
async function observeUntil(cluster: TestCluster, startedAt: number, ms: number): Promise<Snapshot> {
  let snapshot = await cluster.snapshot();
  while (snapshot.at - startedAt < ms) {
    await sleep(Math.min(5000, Math.max(0, ms - (snapshot.at - startedAt))));
    snapshot = await cluster.snapshot();
    maxWorkers = Math.max(maxWorkers, workersUp(snapshot));
    const { conflicts, changes } = snapshot.state;
    progress(
      `${((snapshot.at - startedAt) / 1000).toFixed(0)} s: ${workersUp(snapshot)} workers, ${runningTasks(snapshot)} tasks running, ${taskStarts(snapshot)} starts, ${changes} changes, ${conflicts} conflicts`,
    );
  }
  return snapshot;
}

/** Runs all phases and returns the figures of the report. All processes have been killed when it returns. */
async function runPhases(fleet: Fleet, faults: readonly ScaleFault[]): Promise<Figures> {
  const cluster = new TestCluster(fleet.plan);
  const { phases } = fleet;
  try {
    await cluster.start();
    const startSnapshot = await cluster.snapshot();
    progress(`${fleet.plan.controllers} controllers healthy; ${fleet.plan.jobs.length} jobs, ${fleet.longRunningTasks} long-running tasks`);
    scheduleFaults(cluster, faults);
    const steadyStart = await observeUntil(cluster, startSnapshot.at, phases.steadyStartMs);
    const burstStart = await observeUntil(cluster, startSnapshot.at, phases.burstStartMs);
    const lossStart = await observeUntil(cluster, startSnapshot.at, phases.lossStartMs);
    const [zone] = fleet.plan.types[0]!.zones as [string];
    const lostHosts = cluster.hostsUpIn(zone);
    progress(`killing nest-0 and failing ${lostHosts.length} machines of ${zone}`);
    await cluster.killController("nest-0");
    for (const host of lostHosts) cluster.cloud.fail(host);
    setTimeout(() => void cluster.startController("nest-0"), RESTART_DELAY_MS).unref();
    const end = await observeUntil(cluster, startSnapshot.at, phases.endMs);
    const measuredPhases: Phase[] = [
      { name: "steady", from: steadyStart, to: burstStart },
      { name: "burst", from: burstStart, to: lossStart },
      { name: "loss", from: lossStart, to: end },
    ];
    const figures: Figures = { lost_machines: lostHosts.length };
    const tasksOf = new Map(fleet.plan.jobs.map(({ spec }) => [spec.ref, spec.tasks]));
    for (const phase of measuredPhases) {
      const ofPhase = phaseFigures(cluster, phase);
      Object.assign(figures, ofPhase, compareWithPrediction(fleet, phase, ofPhase));
      const { times, neverStarted } = startWaits(fleet.urgentJobs, end, tasksOf, phase.from.at, phase.to.at);
      const name = `${phase.name}_urgent`;
      Object.assign(figures, { [`${name}_jobs`]: times.count + neverStarted, [`${name}_never_begun`]: neverStarted });
      Object.assign(figures, {
        [`${name}_p50_ms`]: times.percentileMs(50),
        [`${name}_p99_ms`]: times.percentileMs(99),
        [`${name}_worst_ms`]: times.maxMs,
      });
    }
    for (const [duty, ms] of totalProcessorByDuty(cluster)) figures[`duty_${duty}_ms`] = ms;
    const peak = peakStarts(end);
    const reasons = [...invalidReasons(measuredPhases[0]!), ...invalidReasons(measuredPhases[1]!)];
    Object.assign(figures, {
      ...{ peak_starts_per_s: peak.second, peak_starts_per_s_over_5_s: peak.fiveSeconds },
      ...{ submit_p50_ms: end.clients.submitMs.p50, submit_p99_ms: end.clients.submitMs.p99, submit_worst_ms: end.clients.submitMs.worst },
      ...{ poll_p99_ms: end.clients.pollMs.p99, quota_transfers: cluster.logLineCounts.get("quota transferred") ?? 0 },
      answers: end.clients.responses.map(([status, count]) => `${status}: ${count}`).join(", "),
      most_workers: maxWorkers,
      most_running_tasks: sum(end.workers.map((stats) => stats.maxRunning)),
      error_lines: cluster.errorLines.length,
      first_error: cluster.errorLines[0] ?? "none",
      ...(await faultFigures(cluster)),
      ended_by_itself: cluster.unexpectedExits.filter((exit) => !exit.startsWith("nest-0 (SIGKILL")).join(", ") || "none",
      worker_loop_worst_ms: Math.max(...end.workers.map((stats) => stats.loopMaxMs)),
      valid: reasons.length === 0 ? "yes" : `no: ${reasons.join("; ")}`,
    });
    return figures;
  } finally {
    cluster.close();
  }
}

function parseWholeNumber(option: string, text: string): number {
  if (/^\d{1,6}$/.test(text)) return Number(text);
  process.stderr.write(`measure: --${option} ${text}: expected a whole number\n`);
  process.exit(2);
}

async function measure(): Promise<void> {
  const { values } = parseArgs({
    options: {
      share: { type: "string", default: "0.0625" },
      workers: { type: "string" },
      machines: { type: "string" },
      faults: { type: "string" },
      seed: { type: "string" },
      quick: { type: "boolean", default: false },
    },
  });
  const share = Number(values.share);
  if (!(share > 0 && share <= 1)) {
    process.stderr.write(`measure: --share ${values.share}: expected a number above 0, at most 1\n`);
    process.exit(2);
  }
  try {
    const target = loadTarget(TARGET_FILE);
    if (values.machines !== undefined) target.workers = Math.round(parseWholeNumber("machines", values.machines) / share);
    const seed = values.seed === undefined ? 1 : parseWholeNumber("seed", values.seed);
    const workerProcesses = values.workers === undefined ? Math.max(1, Math.round(6 * share)) : Number(values.workers);
    const fleet = planFleet(target, share, workerProcesses, STATE_LIMITS);
    const count = values.faults === undefined ? 0 : parseWholeNumber("faults", values.faults);
    const { steadyStartMs, endMs } = fleet.phases;
    const faults = randomFaults(seed, count, fleet.plan.controllers, steadyStartMs, endMs - FAULT_FREE_END_MS);
    const figures = await runPhases(fleet, faults);
    for (const [name, value] of Object.entries(figures))
      progress(`${name}: ${typeof value === "number" ? Number(value.toPrecision(4)) : value}`);
    report("scale", { quick: share < 1, seed, repeats: 1 }, { share, ...figures });
  } catch (error) {
    if (!(error instanceof TargetFileError)) throw error;
    process.stderr.write(`measure: ${error.message}\n`);
    process.exit(3);
  }
}

if (!runForkedRole()) await measure();
