import { writeFileSync } from "node:fs";
import { cpus } from "node:os";
import { parseOptions, progress, report } from "./harness.js";
import { startFull } from "./full.js";
import { memoryEach } from "./memory.js";
import { playRole } from "./scale/roles.js";
import { decisionSlopes } from "./slopes/decisions.js";
import type { Point } from "./slopes/line.js";
import { controllerSlopes, quotaSlopes, teamSlopes } from "./slopes/clusters.js";
import { arraySlopes, machineSlopes, pollSlopes, rentalSlopes, startSlopes, submissionSlopes, taskSlopes } from "./slopes/processes.js";
import { recoverySlopes } from "./slopes/recovery.js";
import { slopeOf, type Slope } from "./slopes/slope.js";

/**
 * What one more of each thing costs, everything else held: at three sizes or more, with slope, intercept and
 * largest deviation from the line. `--out FILE` writes them for docs/CAPACITY.md; `--only GROUP`: one group of them.
 */

/** Controllers that start among so many records, all else as in production. */
async function startUpSlopes(sizes: number[], memMb: number): Promise<Slope[]> {
  const seconds: Point[] = [];
  const processor: Point[] = [];
  const memory: Point[] = [];
  for (const size of sizes) {
    const full = await startFull(Math.round(size / 7), size - Math.round(size / 7), memMb);
    seconds.push({ x: size, y: full.readS });
    processor.push({ x: size, y: full.processorMs });
    memory.push({ x: size, y: full.peakMb });
  }
  return [
    slopeOf("start_up_seconds", "s", "record in the state service", seconds),
    slopeOf("start_up_processor", "ms of processor", "record in the state service", processor),
    slopeOf("start_up_memory", "MB", "record in the state service", memory),
  ];
}

async function measure(): Promise<void> {
  const at = process.argv.indexOf("--out");
  const out = at < 0 ? null : process.argv.splice(at, 2)[1]!;
  const onlyAt = process.argv.indexOf("--only");
  const only = onlyAt < 0 ? null : process.argv.splice(onlyAt, 2)[1]!;
  const given = parseOptions({ repeats: 1, quickRepeats: 1 });
  const seconds = given.quick ? 8 : 20;
  const slopes: Slope[] = [];
  const add = async (what: string, work: () => Slope[] | Promise<Slope[]>): Promise<void> => {
    if (only !== null && only !== what) return;
    progress(`-- ${what}`);
    slopes.push(...(await work()));
  };
  // Those that read the loopback interface come alone and first.
  await add("controllers", () => controllerSlopes(given.quick ? [2, 4, 6] : [2, 4, 8, 12], seconds));
  await add("teams", () => teamSlopes(given.quick ? [20, 60, 120] : [20, 120, 340], seconds));
  await add("quota transfers", () => quotaSlopes(given.quick ? [2, 4, 6] : [2, 4, 8], given.quick ? 10 : 20));
  await add("machines", () => machineSlopes(given.quick ? [30, 60, 120] : [40, 100, 200], seconds));
  await add("running tasks", () => taskSlopes([1, 4, 16], given.quick ? 30 : 60, seconds));
  await add("starts", () => startSlopes([20_000, 8000, 3000], given.quick ? 20 : 40, seconds));
  await add("arrays", () => arraySlopes([1, 4, 16], given.quick ? 20 : 40, seconds));
  await add("submissions", () => submissionSlopes(given.quick ? [2, 5, 10] : [2, 8, 20], seconds));
  await add("rentals", () => rentalSlopes(given.quick ? [20, 40, 80] : [40, 100, 200]));
  await add("polls", () => pollSlopes(given.quick ? [20, 80, 160] : [50, 200, 400], seconds));
  await add("decisions", decisionSlopes);
  await add("recovery", () => recoverySlopes([8, 16, 32]));
  await add("start-up", () => startUpSlopes(given.quick ? [2000, 4000, 8000] : [10_000, 30_000, 60_000], 178));
  progress("-- bytes of one more, heap and buffers after collection");
  const bytes = await memoryEach(given.quick);
  for (const [name, each] of Object.entries(bytes)) progress(`${name}: ${each.toFixed(0)}`);
  if (out !== null) writeFileSync(out, `${JSON.stringify({ quick: given.quick, cores: cpus().length, bytes, slopes }, null, 1)}\n`);
  const crooked = slopes.filter(({ straight }) => !straight).map(({ name }) => name);
  const figures = Object.fromEntries(slopes.map(({ name, slope }) => [name, slope]));
  report("slopes", given, { ...figures, ...bytes, not_a_line: crooked.join(" ") });
}

if (!playRole()) await measure();
