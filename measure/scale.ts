import { parseArgs } from "node:util";
import { existsSync } from "node:fs";
import { progress, report, LatencyHistogram } from "./harness.js";
import { Cell, type Role, type Snapshot } from "./scale/cell.js";
import { faultFigures, schedule } from "./scale/fault-run.js";
import { drawFaults, type ScaleFault } from "./scale/faults.js";
import { fleetOf, type Fleet } from "./scale/fleet.js";
import { loadSlopes, loadsOf, slopeNamed, type Loads } from "./scale/model.js";
import { playRole } from "./scale/roles.js";
import { loadTarget, TargetFault } from "./scale/target.js";

/**
 * The target's fleet on this machine: real controllers and a real store, everything else hollow. Fills the
 * fleet, lets it rest, has a burst of starts, and loses a controller with a zone's workers.
 * `--share 0.0625`: of the target's size; `--machines 4000`: so many, whatever the share; `--faults 14 --seed 1`: controllers
 * killed, paused and cut meanwhile, reports and commands late, judged by the checker of rehearsals. A run whose stand-ins were late is called invalid.
 */

const TARGET_FILE = "docs/capacity/target.json";
const SLOPES_FILE = "docs/capacity/slopes.json";
/** Later than this, the loops of a stand-in are what was measured. */
const MOST_LATE_MS = 250;
const MOST_LATE_REPORTS = 0.01;
/** Of the state service, at full size; a cell takes them whatever its share. */
const STATE = { rps: 3000, writeRps: 1000, valueKb: 32, txnOps: 64 };
const BACK_AFTER_MS = 20_000;
/** No fault begins so close before the end that nothing of what follows would be seen. */
const QUIET_AT_THE_END_MS = 25_000;

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
const sum = (list: readonly number[]): number => list.reduce((a, b) => a + b, 0);

interface Phase {
  name: string;
  from: Snapshot;
  to: Snapshot;
}

type Figures = Record<string, number | string>;

const running = (seen: Snapshot): number => sum(seen.workers.map((one) => one.running));
const starts = (seen: Snapshot): number => sum(seen.workers.map((one) => one.starts));
/** Rented, and gone again. */
const machines = (seen: Snapshot): number => seen.machinesRented + seen.machinesGone;
const workersUp = (seen: Snapshot): number => sum(seen.workers.map((one) => one.workers));

/** Tasks that began in the busiest second, and over the five busiest in a row. */
function peakStarts(seen: Snapshot): { second: number; fiveSeconds: number } {
  const bySecond = new Map<number, number>();
  for (const { startsBySecond } of seen.workers)
    for (const [second, count] of startsBySecond) bySecond.set(second, (bySecond.get(second) ?? 0) + count);
  const seconds = [...bySecond.keys()];
  const five = (from: number): number => sum([0, 1, 2, 3, 4].map((i) => bySecond.get(from + i) ?? 0)) / 5;
  return { second: Math.max(0, ...bySecond.values()), fiveSeconds: Math.max(0, ...seconds.map(five)) };
}

/** From a job's submission until all its tasks have begun, of those submitted within a phase. */
function waits(
  refs: ReadonlySet<string>,
  last: Snapshot,
  tasksOf: ReadonlyMap<string, number>,
  from: number,
  to: number,
): { times: LatencyHistogram; never: number } {
  const begun = new Map<string, { count: number; lastAt: number }>();
  for (const { jobs } of last.workers)
    for (const [ref, count, lastAt] of jobs) {
      const known = begun.get(ref) ?? { count: 0, lastAt: 0 };
      begun.set(ref, { count: known.count + count, lastAt: Math.max(known.lastAt, lastAt) });
    }
  const times = new LatencyHistogram();
  let never = 0;
  for (const { ref, at } of last.clients.submissions) {
    if (!refs.has(ref) || at < from || at >= to) continue;
    const seen = begun.get(ref);
    if (seen === undefined || seen.count < tasksOf.get(ref)!) never++;
    else times.add(seen.lastAt - at);
  }
  return { times, never };
}

/** Why the run says nothing; empty: it does. */
function invalid({ from, to }: Phase): string[] {
  const why: string[] = [];
  to.workers.forEach((one, i) => {
    if (one.loopP99Ms > MOST_LATE_MS) why.push(`workers-${i}: loop p99 ${one.loopP99Ms.toFixed(0)} ms`);
  });
  if (to.clients.loopP99Ms > MOST_LATE_MS) why.push(`clients: loop p99 ${to.clients.loopP99Ms.toFixed(0)} ms`);
  const reports = sum(to.workers.map((one) => one.reports)) - sum(from.workers.map((one) => one.reports));
  const late = sum(to.workers.map((one) => one.late)) - sum(from.workers.map((one) => one.late));
  if (late > reports * MOST_LATE_REPORTS) why.push(`${late} of ${reports} reports were late`);
  return why;
}

function phaseFigures(cell: Cell, { name, from, to }: Phase): Figures {
  const seconds = (to.at - from.at) / 1000;
  const figures: Figures = {
    [`${name}_running_tasks`]: running(to),
    [`${name}_workers`]: workersUp(to),
    [`${name}_machines_rented`]: to.machinesRented - from.machinesRented,
    [`${name}_machines_gone`]: to.machinesGone - from.machinesGone,
    [`${name}_starts_per_s`]: (starts(to) - starts(from)) / seconds,
    [`${name}_state_changes_per_s`]: (to.state.changes - from.state.changes) / seconds,
    [`${name}_state_conflicts`]: to.state.conflicts - from.state.conflicts,
    [`${name}_state_refused`]: to.state.refused - from.state.refused,
    [`${name}_loopback_bytes_per_s`]: (to.traffic.bytes - from.traffic.bytes) / seconds,
    [`${name}_loopback_packets_per_s`]: (to.traffic.packets - from.traffic.packets) / seconds,
  };
  const bytes = (seen: Snapshot): number => sum(seen.workers.map((one) => one.sent + one.received));
  figures[`${name}_worker_bytes_per_s`] = (bytes(to) - bytes(from)) / seconds / Math.max(1, workersUp(to));
  for (const [role, use] of cell.usage(from, to) as Map<Role, { cores: number; mostCores: number; mostMb: number; processes: number }>) {
    figures[`${name}_${role}_cores`] = use.cores;
    figures[`${name}_${role}_most_cores`] = use.mostCores;
    figures[`${name}_${role}_most_mb`] = use.mostMb;
  }
  return figures;
}

/** Ratios of what was seen to what the slopes say of the same amounts. */
function besidePrediction(fleet: Fleet, { name, from, to }: Phase, seen: Figures): Figures {
  if (!existsSync(SLOPES_FILE)) return {};
  const { named, bytes } = loadSlopes(SLOPES_FILE);
  const seconds = (to.at - from.at) / 1000;
  const predicted: Loads = loadsOf(named, bytes, {
    controllers: fleet.plan.controllers,
    machines: workersUp(to),
    tasks: (running(from) + running(to)) / 2,
    teams: fleet.plan.teams.length,
    startsPerS: (starts(to) - starts(from)) / seconds,
    smallJobsPerS: 1,
    pollsPerS: (to.clients.polls - from.clients.polls) / seconds,
    arraysEnding: name === "burst" ? fleet.plan.jobs.filter(({ spec }) => spec.klass === "burst").length : 0,
    rentalsPerS: (machines(to) - machines(from)) / seconds,
    openJobs: fleet.plan.jobs.length,
    finishedJobs: 0,
  });
  // The process itself, which real workers have one of each, is shared by thousands of hollow ones.
  const shared = (slopeNamed(named, "worker_idle_processor").intercept * fleet.plan.workerProcesses) / 1000 / workersUp(to);
  predicted.worker_cores += shared;
  const measured = {
    controller_cores: Number(seen[`${name}_controller_cores`]) / fleet.plan.controllers,
    controller_mb: Number(seen[`${name}_controller_most_mb`]),
    worker_cores: Number(seen[`${name}_workers_cores`]) / workersUp(to),
    state_changes_per_s: Number(seen[`${name}_state_changes_per_s`]),
  };
  const figures: Figures = {};
  for (const [what, value] of Object.entries(measured)) {
    figures[`${name}_predicted_${what}`] = predicted[what as keyof Loads];
    figures[`${name}_ratio_${what}`] = value / predicted[what as keyof Loads];
  }
  return figures;
}

/** The most workers that were up at any look. */
let mostWorkers = 0;

/** Processor time of all controllers so far, by duty, as they logged it last. */
function dutiesOf(cell: Cell): Map<string, number> {
  const total = new Map<string, number>();
  for (const spent of cell.duties.values())
    for (const [duty, [, ms]] of Object.entries(spent)) total.set(duty, (total.get(duty) ?? 0) + ms);
  return total;
}

async function until(cell: Cell, beganAt: number, ms: number): Promise<Snapshot> {
  let seen = await cell.snapshot();
  while (seen.at - beganAt < ms) {
    await sleep(Math.min(5000, Math.max(0, ms - (seen.at - beganAt))));
    seen = await cell.snapshot();
    mostWorkers = Math.max(mostWorkers, workersUp(seen));
    const { conflicts, changes } = seen.state;
    progress(
      `${((seen.at - beganAt) / 1000).toFixed(0)} s: ${workersUp(seen)} workers, ${running(seen)} tasks running, ${starts(seen)} starts, ${changes} changes, ${conflicts} conflicts`,
    );
  }
  return seen;
}

/** Plays all phases; everything it started is over when it returns. */
async function play(fleet: Fleet, faults: readonly ScaleFault[]): Promise<Figures> {
  const cell = new Cell(fleet.plan);
  const { phases } = fleet;
  try {
    await cell.start();
    const began = await cell.snapshot();
    progress(`${fleet.plan.controllers} controllers healthy; ${fleet.plan.jobs.length} jobs, ${fleet.lasting} lasting tasks`);
    schedule(cell, faults);
    const steadyFrom = await until(cell, began.at, phases.steadyMs);
    const burstFrom = await until(cell, began.at, phases.burstMs);
    const lossFrom = await until(cell, began.at, phases.lossMs);
    const [zone] = fleet.plan.types[0]!.zones as [string];
    const lost = cell.machinesIn(zone);
    progress(`lost: nest-0 and ${lost.length} machines of ${zone}`);
    await cell.killController("nest-0");
    for (const host of lost) cell.cloud.fail(host);
    setTimeout(() => void cell.startController("nest-0"), BACK_AFTER_MS).unref();
    const end = await until(cell, began.at, phases.endMs);
    const spans: Phase[] = [
      { name: "steady", from: steadyFrom, to: burstFrom },
      { name: "burst", from: burstFrom, to: lossFrom },
      { name: "loss", from: lossFrom, to: end },
    ];
    const figures: Figures = { lost_machines: lost.length };
    const tasksOf = new Map(fleet.plan.jobs.map(({ spec }) => [spec.ref, spec.tasks]));
    for (const span of spans) {
      const seen = phaseFigures(cell, span);
      Object.assign(figures, seen, besidePrediction(fleet, span, seen));
      const { times, never } = waits(fleet.urgent, end, tasksOf, span.from.at, span.to.at);
      const name = `${span.name}_urgent`;
      Object.assign(figures, { [`${name}_jobs`]: times.count + never, [`${name}_never_begun`]: never });
      Object.assign(figures, {
        [`${name}_p50_ms`]: times.percentileMs(50),
        [`${name}_p99_ms`]: times.percentileMs(99),
        [`${name}_worst_ms`]: times.maxMs,
      });
    }
    for (const [duty, ms] of dutiesOf(cell)) figures[`duty_${duty}_ms`] = ms;
    const peak = peakStarts(end);
    const why = [...invalid(spans[0]!), ...invalid(spans[1]!)];
    Object.assign(figures, {
      ...{ peak_starts_per_s: peak.second, peak_starts_per_s_over_5_s: peak.fiveSeconds },
      ...{ submit_p50_ms: end.clients.submitMs.p50, submit_p99_ms: end.clients.submitMs.p99, submit_worst_ms: end.clients.submitMs.worst },
      ...{ poll_p99_ms: end.clients.pollMs.p99, quota_transfers: cell.lines.get("quota transferred") ?? 0 },
      answers: end.clients.answers.map(([status, count]) => `${status}: ${count}`).join(", "),
      most_workers: mostWorkers,
      most_running_tasks: sum(end.workers.map((one) => one.mostRunning)),
      error_lines: cell.errors.length,
      first_error: cell.errors[0] ?? "none",
      ...(await faultFigures(cell)),
      ended_by_itself: cell.ended.filter((what) => !what.startsWith("nest-0 (SIGKILL")).join(", ") || "none",
      worker_loop_worst_ms: Math.max(...end.workers.map((one) => one.loopWorstMs)),
      valid: why.length === 0 ? "yes" : `no: ${why.join("; ")}`,
    });
    return figures;
  } finally {
    cell.close();
  }
}

function wholeNumber(option: string, text: string): number {
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
    if (values.machines !== undefined) target.workers = Math.round(wholeNumber("machines", values.machines) / share);
    const seed = values.seed === undefined ? 1 : wholeNumber("seed", values.seed);
    const workerProcesses = values.workers === undefined ? Math.max(1, Math.round(6 * share)) : Number(values.workers);
    const fleet = fleetOf(target, share, workerProcesses, STATE);
    const count = values.faults === undefined ? 0 : wholeNumber("faults", values.faults);
    const { steadyMs, endMs } = fleet.phases;
    const faults = drawFaults(seed, count, fleet.plan.controllers, steadyMs, endMs - QUIET_AT_THE_END_MS);
    const figures = await play(fleet, faults);
    for (const [name, value] of Object.entries(figures))
      progress(`${name}: ${typeof value === "number" ? Number(value.toPrecision(4)) : value}`);
    report("scale", { quick: share < 1, seed, repeats: 1 }, { share, ...figures });
  } catch (error) {
    if (!(error instanceof TargetFault)) throw error;
    process.stderr.write(`measure: ${error.message}\n`);
    process.exit(3);
  }
}

if (!playRole()) await measure();
