import { encodeJob } from "../packages/protocol/src/jobs.js";
import { defaultWorldOptions, VirtualWorld, type ControllerDependencies } from "../packages/emulator/src/entry.js";
import { DurationHistogram } from "../packages/emulator/src/report.js";
import { spawnController, type RehearsedController } from "../src/rehearsal/spawn-controller.js";
import { specOf } from "../test/world/partitions.js";
import { parseOptions, progress, report } from "./harness.js";

/**
 * What waiting for proof of ownership costs: machines die around the beginning of an outage of the state service for all,
 * with room for their tasks elsewhere. Time in seconds from a machine's end until its tasks run again, by how long before
 * (or after) the beginning of the outage it died.
 */
const given = parseOptions({ repeats: 6, quickRepeats: 1 });
const OUTAGE_AT_S = 60;
const OUTAGE_S = 35;
/** Seconds from a machine's end to the beginning of the outage. */
const DIED_BEFORE_S = [20, 17, 14, 11, 8, 5, 2, 0, -3];
const TASKS = "run-000001";
const ROOMY = "run-000002";

function place(seed: number): VirtualWorld<RehearsedController> {
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

/** Seconds until the tasks of the machine that died run again, each; none: they did not within the run. */
async function play(seed: number, diedBeforeS: number): Promise<number[]> {
  const world = place(seed);
  const submit = (ref: string, tasks: number, types: string[], runS: number): void => {
    const spec = specOf({ ref, tasks, cpus: 8, types });
    world.runTimesMs.set(ref, runS * 1000);
    void world.submit(encodeJob(spec), spec, "nest-1");
  };
  for (const name of world.nodes.keys()) world.startController(name);
  // The large machine comes once the small ones are full, and has room for all that is lost.
  const { restore } = world.cloud.setCapacity("large", "*", 0, 0);
  await world.clock.run(5000);
  submit(TASKS, 8, ["small", "large"], 300);
  await world.clock.run(20_000);
  restore();
  submit(ROOMY, 1, ["large"], 300);
  const diesAt = (OUTAGE_AT_S - diedBeforeS) * 1000;
  let died = "";
  world.clock.after(diesAt - world.clock.now(), () => {
    const host = [...world.workers.values()].find(({ offer, tasks }) => offer.type === "small" && tasks.size > 0)?.host;
    if (host !== undefined) world.cloud.remove((died = host));
  });
  world.clock.after(OUTAGE_AT_S * 1000 - world.clock.now(), () => (world.state.outage = true));
  world.clock.after((OUTAGE_AT_S + OUTAGE_S) * 1000 - world.clock.now(), () => world.state.endOutage());
  await world.clock.run(200_000);
  for (const name of world.nodes.keys()) world.killController(name);
  const lost = world.history.flatMap((one) => (one.kind === "on" && one.host === died ? [one.piece] : []));
  return lost.flatMap((piece) => {
    const again = world.history.find((one) => one.kind === "on" && one.piece === piece && one.at > diesAt);
    return again === undefined ? [] : [(again.at - diesAt) / 1000];
  });
}

const figures: Record<string, number> = {};
for (const diedBeforeS of DIED_BEFORE_S) {
  const spread = new DurationHistogram();
  for (let i = 0; i < given.repeats; i++) for (const seconds of await play(given.seed + i, diedBeforeS)) spread.add(seconds * 1000);
  const name = diedBeforeS < 0 ? `died_${-diedBeforeS}_s_after` : `died_${diedBeforeS}_s_before`;
  figures[`${name}_again_p50_s`] = spread.percentileS(50) ?? NaN;
  figures[`${name}_again_worst_s`] = spread.maxS ?? NaN;
  progress(`${name}: ${spread.count} tasks run again, p50 ${spread.percentileS(50)} s, worst ${spread.maxS} s`);
}
report("state-outage", given, { outage_s: OUTAGE_S, ...figures });
