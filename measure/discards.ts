import { encodeJob } from "../packages/protocol/src/jobs.js";
import { encodeReport, type Report } from "../packages/protocol/src/worker.js";
import { defaultWorldOptions, VirtualWorld, type ControllerDependencies } from "../packages/emulator/src/entry.js";
import { spawnController, type RehearsedController } from "../src/rehearsal/spawn-controller.js";
import { specOf } from "../test/world/partitions.js";
import { LatencyHistogram, parseOptions, progress, report } from "./harness.js";

/**
 * Measures what it costs that exited attempts are listed until the worker's token is raised: reports and transactions a second,
 * entries and bytes of a report, and the time from the order of a start until the task runs. All machines are busy, with short or
 * with long tasks. In virtual time.
 */
const options = parseOptions({ repeats: 3, quickRepeats: 1 });
const MACHINES = options.quick ? 20 : 60;
const WARMUP_MS = 40_000;
const MEASURED_MS = options.quick ? 60_000 : 240_000;
const MACHINE_CPUS = 16;
/** CPUs and run time of the tasks of each workload. */
const WORKLOADS = { short: { cpus: 2, runS: 15 }, long: { cpus: 16, runS: 100 } } as const;
const TASKS_PER_JOB = 40;

interface Counters {
  reports: number;
  entries: LatencyHistogram;
  /** Sizes of reports in bytes. */
  bytes: LatencyHistogram;
  startMs: LatencyHistogram;
  transactions: number;
  tokensRaised: number;
}

function newCounters(): Counters {
  return {
    reports: 0,
    entries: new LatencyHistogram(),
    bytes: new LatencyHistogram(),
    startMs: new LatencyHistogram(),
    transactions: 0,
    tokensRaised: 0,
  };
}

/** Plays one workload and adds what was seen after the warm-up to the counters. */
async function play(workload: keyof typeof WORKLOADS, seed: number, counters: Counters): Promise<void> {
  let measuring = false;
  const countReport = (seen: Report): void => {
    if (!measuring) return;
    counters.reports++;
    counters.entries.add(seen.tasks.length);
    counters.bytes.add(JSON.stringify(encodeReport(seen)).length);
  };
  const spawn = (asked: ControllerDependencies): RehearsedController => {
    const controller = spawnController(asked);
    const { onReport } = controller;
    controller.onReport = (seen) => {
      countReport(seen);
      return onReport(seen);
    };
    return controller;
  };
  const type = { gpus: 0, ram: 100, cacheGb: 100, fetchGbPerS: 1, price: 1, spotPrice: 0.3, bootS: 2, zones: ["a"] };
  const world = new VirtualWorld<RehearsedController>(
    {
      ...defaultWorldOptions(),
      seed,
      teams: [{ name: "ops", cpus: 0, cpus_max: 100_000, gpus: 0, gpus_max: 0 }],
      types: [{ ...type, name: "m", cpus: MACHINE_CPUS }],
      capacity: new Map([["m/a/ordinary", MACHINES]]),
    },
    spawn,
  );
  world.observations$.subscribe(({ what, detail }) => {
    if (!measuring) return;
    if (what === "txn") counters.transactions++;
    else if (what === "running") counters.startMs.add(Number(detail["startMs"]));
  });
  for (const name of world.nodes.keys()) world.startController(name);
  const { cpus, runS } = WORKLOADS[workload];
  const endMs = WARMUP_MS + MEASURED_MS;
  // The jobs arrive as fast as the machines can run them, and a quarter faster at first, so that some always wait.
  const everyMs = (TASKS_PER_JOB / ((MACHINES * MACHINE_CPUS) / cpus)) * runS * 1000;
  const jobs = Math.ceil(endMs / everyMs) + Math.ceil((MACHINES * MACHINE_CPUS * 1.25) / cpus / TASKS_PER_JOB);
  for (let i = 0; i < jobs; i++) {
    const spec = specOf({ ref: `run-${String(i + 1).padStart(6, "0")}`, tasks: TASKS_PER_JOB, cpus, guessS: runS });
    world.runTimesMs.set(spec.ref, runS * 1000);
    world.clock.after(Math.max(1000, (i - (jobs - endMs / everyMs)) * everyMs), () => void world.submit(encodeJob(spec), spec));
  }
  const raised = (): number =>
    [...world.nodes.values()].reduce((sum, { controller }) => sum + (controller?.leader.stats.tokensRaised ?? 0), 0);
  await world.clock.run(WARMUP_MS);
  measuring = true;
  const raisedBefore = raised();
  await world.clock.run(endMs);
  counters.tokensRaised += raised() - raisedBefore;
  for (const name of world.nodes.keys()) world.killController(name);
}

const figures: Record<string, number> = {};
for (const workload of ["short", "long"] as const) {
  const counters = newCounters();
  for (let i = 0; i < options.repeats; i++) await play(workload, options.seed + i, counters);
  const seconds = (MEASURED_MS / 1000) * options.repeats;
  const { entries, bytes, startMs } = counters;
  Object.assign(figures, {
    [`${workload}_reports_per_machine_s`]: counters.reports / seconds / MACHINES,
    [`${workload}_transactions_per_s`]: counters.transactions / seconds,
    [`${workload}_tokens_raised_per_s`]: counters.tokensRaised / seconds,
    [`${workload}_entries_p50`]: Math.round(entries.percentileMs(50)),
    [`${workload}_entries_p99`]: Math.round(entries.percentileMs(99)),
    [`${workload}_entries_max`]: Math.round(entries.maxMs),
    [`${workload}_report_p50_bytes`]: Math.round(bytes.percentileMs(50)),
    [`${workload}_report_p99_bytes`]: Math.round(bytes.percentileMs(99)),
    [`${workload}_report_max_bytes`]: Math.round(bytes.maxMs),
    [`${workload}_start_p50_ms`]: startMs.percentileMs(50),
    [`${workload}_start_p99_ms`]: startMs.percentileMs(99),
    [`${workload}_starts`]: startMs.count,
  });
  progress(`${workload}: ${counters.reports} reports, ${startMs.count} starts`);
}
report("discards", options, { machines: MACHINES, ...figures });
