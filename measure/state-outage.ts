import { encodeJob } from "../packages/protocol/src/jobs.js";
import { defaultWorldOptions, VirtualWorld, type ControllerDependencies } from "../packages/emulator/src/entry.js";
import { DurationHistogram } from "../packages/emulator/src/report.js";
import { spawnController, type RehearsedController } from "../src/rehearsal/spawn-controller.js";
import { specOf } from "../test/world/partitions.js";
import { parseOptions, progress, report } from "./harness.js";

/**
 * Measures how long tasks wait because controllers have to wait for proof of ownership: a machine fails around the start of
 * an outage of the state service for all controllers, while another machine has free capacity for its tasks. Reports the
 * seconds from the failure until the tasks run again, by the time from the failure to the start of the outage.
 */
const options = parseOptions({ repeats: 6, quickRepeats: 1 });
const OUTAGE_AT_S = 60;
const OUTAGE_S = 35;
/** Seconds from the failure of the machine to the start of the outage; negative if the machine fails after that start. */
const FAILED_BEFORE_S = [20, 17, 14, 11, 8, 5, 2, 0, -3];
const JOB = "run-000001";
const LARGE_MACHINE_JOB = "run-000002";

/** Returns a world with eight small machines and a large one that can take the tasks of any small one. */
function createWorld(seed: number): VirtualWorld<RehearsedController> {
  const type = { gpus: 0, ram: 100, cacheGb: 100, fetchGbPerS: 1, price: 1, spotPrice: 0.3, bootS: 2, zones: ["a"] };
  return new VirtualWorld<RehearsedController>(
    {
      ...defaultWorldOptions(),
      seed,
      teams: [{ name: "ops", cpus: 0, cpus_max: 400, gpus: 0, gpus_max: 0 }],
      types: [
        { ...type, name: "small", cpus: 16 },
        { ...type, name: "large", cpus: 96 },
      ],
      capacity: new Map([
        ["small/a/ordinary", 8],
        ["large/a/ordinary", 1],
      ]),
    },
    (asked: ControllerDependencies) => spawnController(asked),
  );
}

/** Returns for each task of the failed machine the seconds until it runs again; tasks that do not within the run are left out. */
async function simulateFailure(seed: number, failedBeforeS: number): Promise<number[]> {
  const world = createWorld(seed);
  const submit = (ref: string, tasks: number, types: string[], runS: number): void => {
    const spec = specOf({ ref, tasks, cpus: 8, types });
    world.runTimesMs.set(ref, runS * 1000);
    void world.submit(encodeJob(spec), spec, "nest-1");
  };
  for (const name of world.nodes.keys()) world.startController(name);
  // The large machine is rented once the tasks are on the small ones, and then has free capacity for all lost tasks.
  const { restore } = world.cloud.setCapacity("large", "*", 0, 0);
  await world.clock.run(5000);
  submit(JOB, 8, ["small", "large"], 300);
  await world.clock.run(20_000);
  restore();
  submit(LARGE_MACHINE_JOB, 1, ["large"], 300);
  const failsAtMs = (OUTAGE_AT_S - failedBeforeS) * 1000;
  let failedHost = "";
  world.clock.after(failsAtMs - world.clock.now(), () => {
    const host = [...world.workers.values()].find(({ offer, tasks }) => offer.type === "small" && tasks.size > 0)?.host;
    if (host !== undefined) world.cloud.remove((failedHost = host));
  });
  world.clock.after(OUTAGE_AT_S * 1000 - world.clock.now(), () => (world.state.outage = true));
  world.clock.after((OUTAGE_AT_S + OUTAGE_S) * 1000 - world.clock.now(), () => world.state.endOutage());
  await world.clock.run(200_000);
  for (const name of world.nodes.keys()) world.killController(name);
  const lostTasks = world.history.flatMap((one) => (one.kind === "on" && one.host === failedHost ? [one.piece] : []));
  return lostTasks.flatMap((piece) => {
    const restart = world.history.find((one) => one.kind === "on" && one.piece === piece && one.at > failsAtMs);
    return restart === undefined ? [] : [(restart.at - failsAtMs) / 1000];
  });
}

const figures: Record<string, number> = {};
for (const failedBeforeS of FAILED_BEFORE_S) {
  const histogram = new DurationHistogram();
  for (let i = 0; i < options.repeats; i++)
    for (const seconds of await simulateFailure(options.seed + i, failedBeforeS)) histogram.add(seconds * 1000);
  const name = failedBeforeS < 0 ? `died_${-failedBeforeS}_s_after` : `died_${failedBeforeS}_s_before`;
  figures[`${name}_again_p50_s`] = histogram.percentileS(50) ?? NaN;
  figures[`${name}_again_worst_s`] = histogram.maxS ?? NaN;
  progress(`${name}: ${histogram.count} tasks run again, p50 ${histogram.percentileS(50)} s, worst ${histogram.maxS} s`);
}
report("state-outage", options, { outage_s: OUTAGE_S, ...figures });
