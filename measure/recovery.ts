import { loadPlan, runVirtual, DurationHistogram, type RehearsalPlan } from "../packages/emulator/src/entry.js";
import { injectionPointOf } from "../src/rehearsal/injection-points.js";
import { spawnController } from "../src/rehearsal/spawn-controller.js";
import { parseOptions, progress, report } from "./harness.js";

/**
 * Measures how long recovery takes over many rehearsals in virtual time. Plan, seeds and faults
 * are the same in each run, so that two versions can be compared. Times count from the loss of the
 * controller.
 */
const options = parseOptions({ repeats: 40, quickRepeats: 4 });
const base = await loadPlan("deploy/rehearsal.hcl");

/** The faults of each scenario: the loss of a controller, alone or with other faults during the recovery. */
const SCENARIOS: Record<string, RehearsalPlan["fault"]> = {
  crash: [{ at: 30, fault: { kind: "restart", target: "leader", for: 40 } }],
  crash_and_machine: [
    { at: 30, fault: { kind: "restart", target: "leader", for: 40 } },
    { at: 30, fault: { kind: "lose", target: "busiest", count: 1 } },
  ],
  crash_and_hang: [
    { at: 30, fault: { kind: "hang", target: "busiest", for: 60 } },
    { at: 30, fault: { kind: "restart", target: "leader", for: 40 } },
  ],
  frozen: [{ at: 30, fault: { kind: "freeze", target: "leader", for: 40 } }],
  cut: [{ at: 30, fault: { kind: "cut", target: "leader", from: "all", for: 40 } }],
  cut_from_state: [{ at: 30, fault: { kind: "cut", target: "leader", from: "state", for: 40 } }],
  crash_and_store: [
    { at: 30, fault: { kind: "restart", target: "leader", for: 40 } },
    { at: 38, fault: { kind: "restart-store", for: 2 } },
  ],
};

const figures: Record<string, number> = {};
let rehearsals = 0;
let violations = 0;
let unfinished = 0;
for (const [scenario, fault] of Object.entries(SCENARIOS)) {
  const histograms = {
    claimed: new DurationHistogram(),
    fenced: new DurationHistogram(),
    back: new DurationHistogram(),
    done: new DurationHistogram(),
  };
  for (let i = 0; i < options.repeats; i++) {
    const result = await runVirtual({
      plan: { ...base, name: scenario, fault },
      seed: options.seed + i,
      spawn: spawnController,
      injectionPointOf,
    });
    rehearsals++;
    violations += result.broken.length;
    unfinished += result.jobs.unfinished.length;
    for (const rule of result.broken) progress(`${scenario}, seed ${options.seed + i}: ${rule}`);
    for (const recovery of result.recoveries) {
      if (recovery.claimed !== null) histograms.claimed.add(recovery.claimed);
      if (recovery.fenced !== null) histograms.fenced.add(recovery.fenced);
      if (recovery.back !== null) histograms.back.add(recovery.back);
    }
    const closeClass = result.classes.find(({ name }) => name === "cierre");
    if (closeClass?.done_p99_s != null) histograms.done.add(closeClass.done_p99_s * 1000);
  }
  for (const [phase, histogram] of Object.entries(histograms)) {
    figures[`${scenario}_${phase}_p50_s`] = histogram.percentileS(50) ?? NaN;
    figures[`${scenario}_${phase}_p99_s`] = histogram.percentileS(99) ?? NaN;
    figures[`${scenario}_${phase}_worst_s`] = histogram.maxS ?? NaN;
  }
  progress(
    `${scenario}: claimed ${histograms.claimed.percentileS(50)} s, fenced p50 ${histograms.fenced.percentileS(50)} p99 ${histograms.fenced.percentileS(99)} s, back p50 ${histograms.back.percentileS(50)} p99 ${histograms.back.percentileS(99)} s, class cierre done p99 ${histograms.done.percentileS(99)} s`,
  );
}
report("recovery", options, { rehearsals, broken_rules: violations, unfinished_jobs: unfinished, ...figures });
