import { runVirtual, DurationHistogram, loadPlan } from "../../packages/emulator/src/entry.js";
import { injectionPointOf } from "../../src/rehearsal/injection-points.js";
import { spawnController } from "../../src/rehearsal/spawn-controller.js";
import type { Point } from "./line.js";
import { fitSlope, type Slope } from "./slope.js";

/** Time from the crash of a controller until its partition is fenced and served again, by number of machines, in virtual time. */

const SEEDS = [1, 2, 3, 4];
const CRASH_AT_S = 30;
const DOWNTIME_S = 40;

/** Scales the machines, teams and jobs of the rehearsal plan to each number of machines and measures the longest recoveries. */
export async function recoverySlopes(machines: number[]): Promise<Slope[]> {
  const base = await loadPlan("deploy/rehearsal.hcl");
  const fenced: Point[] = [];
  const back: Point[] = [];
  for (const count of machines) {
    const factor = count / base.machine.reduce((sum, one) => sum + one.count + one.spot, 0);
    const plan = {
      ...base,
      machine: base.machine.map((one) => ({ ...one, count: Math.ceil(one.count * factor), spot: Math.ceil(one.spot * factor) })),
      team: base.team.map((one) => ({ ...one, cpus: one.cpus * factor, most_cpus: one.most_cpus * factor })),
      work: base.work.map((one) => ({ ...one, jobs: Math.ceil(one.jobs * factor), every: one.every / factor })),
      fault: [{ at: CRASH_AT_S, fault: { kind: "restart" as const, target: "leader", for: DOWNTIME_S } }],
    };
    const histograms = { fenced: new DurationHistogram(), back: new DurationHistogram() };
    for (const seed of SEEDS) {
      const { recoveries } = await runVirtual({ plan, seed, spawn: spawnController, injectionPointOf });
      for (const recovery of recoveries) {
        if (recovery.fenced !== null) histograms.fenced.add(recovery.fenced);
        if (recovery.back !== null) histograms.back.add(recovery.back);
      }
    }
    fenced.push({ x: count, y: histograms.fenced.maxS ?? NaN });
    back.push({ x: count, y: histograms.back.maxS ?? NaN });
  }
  return [
    fitSlope("recovery_fenced", "s, worst", "machine of the plan", fenced),
    fitSlope("recovery_back", "s, worst", "machine of the plan", back),
  ];
}
