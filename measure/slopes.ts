import { writeFileSync } from "node:fs";
import { cpus } from "node:os";
import { parseOptions, progress, report } from "./harness.js";
import { measureLoadedStart } from "./full.js";
import { measureMemory } from "./memory.js";
import { runForkedRole } from "./scale/roles.js";
import { decisionSlopes } from "./slopes/decisions.js";
import type { Point } from "./slopes/line.js";
import { controllerSlopes, quotaSlopes, teamSlopes } from "./slopes/clusters.js";
import { arraySlopes, machineSlopes, pollSlopes, rentalSlopes, startSlopes, submissionSlopes, taskSlopes } from "./slopes/processes.js";
import { recoverySlopes } from "./slopes/recovery.js";
import { fitSlope, type Slope } from "./slopes/slope.js";

/**
 * Measures what an additional machine, task, team, controller and so on costs while everything else is held constant: at
 * three sizes or more, with slope, intercept and largest deviation from the line. `--out FILE` writes the slopes that
 * docs/CAPACITY.md is computed from; `--only GROUP` measures one group only.
 */

/** Time, processor time and memory of a controller's start by number of records in the state service. */
async function startUpSlopes(sizes: number[], memMb: number): Promise<Slope[]> {
  const seconds: Point[] = [];
  const processor: Point[] = [];
  const memory: Point[] = [];
  for (const size of sizes) {
    const start = await measureLoadedStart(Math.round(size / 7), size - Math.round(size / 7), memMb);
    seconds.push({ x: size, y: start.readS });
    processor.push({ x: size, y: start.processorMs });
    memory.push({ x: size, y: start.peakMb });
  }
  return [
    fitSlope("start_up_seconds", "s", "record in the state service", seconds),
    fitSlope("start_up_processor", "ms of processor", "record in the state service", processor),
    fitSlope("start_up_memory", "MB", "record in the state service", memory),
  ];
}

async function measure(): Promise<void> {
  const outIndex = process.argv.indexOf("--out");
  const outFile = outIndex < 0 ? null : process.argv.splice(outIndex, 2)[1]!;
  const onlyIndex = process.argv.indexOf("--only");
  const onlyGroup = onlyIndex < 0 ? null : process.argv.splice(onlyIndex, 2)[1]!;
  const options = parseOptions({ repeats: 1, quickRepeats: 1 });
  const windowS = options.quick ? 8 : 20;
  const slopes: Slope[] = [];
  const addGroup = async (groupName: string, measureGroup: () => Slope[] | Promise<Slope[]>): Promise<void> => {
    if (onlyGroup !== null && onlyGroup !== groupName) return;
    progress(`-- ${groupName}`);
    slopes.push(...(await measureGroup()));
  };
  // Groups that read the traffic of the loopback interface run first, with nothing beside them.
  await addGroup("controllers", () => controllerSlopes(options.quick ? [2, 4, 6] : [2, 4, 8, 12], windowS));
  await addGroup("teams", () => teamSlopes(options.quick ? [20, 60, 120] : [20, 120, 340], windowS));
  await addGroup("quota transfers", () => quotaSlopes(options.quick ? [2, 4, 6] : [2, 4, 8], options.quick ? 10 : 20));
  await addGroup("machines", () => machineSlopes(options.quick ? [30, 60, 120] : [40, 100, 200], windowS));
  await addGroup("running tasks", () => taskSlopes([1, 4, 16], options.quick ? 30 : 60, windowS));
  await addGroup("starts", () => startSlopes([20_000, 8000, 3000], options.quick ? 20 : 40, windowS));
  await addGroup("arrays", () => arraySlopes([1, 4, 16], options.quick ? 20 : 40, windowS));
  await addGroup("submissions", () => submissionSlopes(options.quick ? [2, 5, 10] : [2, 8, 20], windowS));
  await addGroup("rentals", () => rentalSlopes(options.quick ? [20, 40, 80] : [40, 100, 200]));
  await addGroup("polls", () => pollSlopes(options.quick ? [20, 80, 160] : [50, 200, 400], windowS));
  await addGroup("decisions", decisionSlopes);
  await addGroup("recovery", () => recoverySlopes([8, 16, 32]));
  await addGroup("start-up", () => startUpSlopes(options.quick ? [2000, 4000, 8000] : [10_000, 30_000, 60_000], 178));
  progress("-- bytes per item, heap and buffers after garbage collection");
  const bytes = await measureMemory(options.quick);
  for (const [name, each] of Object.entries(bytes)) progress(`${name}: ${each.toFixed(0)}`);
  if (outFile !== null)
    writeFileSync(outFile, `${JSON.stringify({ quick: options.quick, cores: cpus().length, bytes, slopes }, null, 1)}\n`);
  const notStraight = slopes.filter(({ straight }) => !straight).map(({ name }) => name);
  const figures = Object.fromEntries(slopes.map(({ name, slope }) => [name, slope]));
  report("slopes", options, { ...figures, ...bytes, not_a_line: notStraight.join(" ") });
}

if (!runForkedRole()) await measure();
