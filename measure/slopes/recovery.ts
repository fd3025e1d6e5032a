import { runVirtual, DurationHistogram, loadPlan } from "../../packages/emulator/src/entry.js";
import { injectionPointOf } from "../../src/rehearsal/injection-points.js";
import { spawnController } from "../../src/rehearsal/spawn-controller.js";
import type { Point } from "./line.js";
import { slopeOf, type Slope } from "./slope.js";

/** From the loss of a controller until its partition is back, by the machines that its plan has, in virtual time. */

const SEEDS = [1, 2, 3, 4];
const LOST_AT_S = 30;
const AWAY_S = 40;

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
      fault: [{ at: LOST_AT_S, fault: { kind: "restart" as const, target: "leader", for: AWAY_S } }],
    };
    const spreads = { fenced: new DurationHistogram(), back: new DurationHistogram() };
    for (const seed of SEEDS) {
      const { recoveries } = await runVirtual({ plan, seed, spawn: spawnController, injectionPointOf });
      for (const span of recoveries) {
        if (span.fenced !== null) spreads.fenced.add(span.fenced);
        if (span.back !== null) spreads.back.add(span.back);
      }
    }
    fenced.push({ x: count, y: spreads.fenced.maxS ?? NaN });
    back.push({ x: count, y: spreads.back.maxS ?? NaN });
  }
  return [
    slopeOf("recovery_fenced", "s, worst", "machine of the plan", fenced),
    slopeOf("recovery_back", "s, worst", "machine of the plan", back),
  ];
}
