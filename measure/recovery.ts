import { loadPlan, runVirtual, DurationHistogram, type RehearsalPlan } from "../packages/emulator/src/entry.js";
import { injectionPointOf } from "../src/rehearsal/injection-points.js";
import { spawnController } from "../src/rehearsal/spawn-controller.js";
import { options, progress, report } from "./harness.js";

/**
 * How long recovery takes, over many rehearsals in virtual time: the same plan, seeds and
 * faults each time, so that two versions can be compared. Times in ms from the loss.
 */
const given = options({ repeats: 40, quickRepeats: 4 });
const base = await loadPlan("deploy/rehearsal.hcl");

/** What is lost, and what else goes wrong in the midst of it. */
const LOSSES: Record<string, RehearsalPlan["fault"]> = {
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
let broken = 0;
let unfinished = 0;
for (const [loss, fault] of Object.entries(LOSSES)) {
  const spreads = {
    claimed: new DurationHistogram(),
    fenced: new DurationHistogram(),
    back: new DurationHistogram(),
    done: new DurationHistogram(),
  };
  for (let i = 0; i < given.repeats; i++) {
    const played = await runVirtual({
      plan: { ...base, name: loss, fault },
      seed: given.seed + i,
      spawn: spawnController,
      injectionPointOf,
    });
    rehearsals++;
    broken += played.broken.length;
    unfinished += played.jobs.unfinished.length;
    for (const rule of played.broken) progress(`${loss}, seed ${given.seed + i}: ${rule}`);
    for (const span of played.recoveries) {
      if (span.claimed !== null) spreads.claimed.add(span.claimed);
      if (span.fenced !== null) spreads.fenced.add(span.fenced);
      if (span.back !== null) spreads.back.add(span.back);
    }
    const close = played.classes.find(({ name }) => name === "cierre");
    if (close?.done_p99_s != null) spreads.done.add(close.done_p99_s * 1000);
  }
  for (const [phase, spread] of Object.entries(spreads)) {
    figures[`${loss}_${phase}_p50_s`] = spread.percentileS(50) ?? NaN;
    figures[`${loss}_${phase}_p99_s`] = spread.percentileS(99) ?? NaN;
    figures[`${loss}_${phase}_worst_s`] = spread.maxS ?? NaN;
  }
  progress(
    `${loss}: claimed ${spreads.claimed.percentileS(50)} s, fenced p50 ${spreads.fenced.percentileS(50)} p99 ${spreads.fenced.percentileS(99)} s, back p50 ${spreads.back.percentileS(50)} p99 ${spreads.back.percentileS(99)} s, edition close done p99 ${spreads.done.percentileS(99)} s`,
  );
}
report("recovery", given, { rehearsals, broken_rules: broken, unfinished_jobs: unfinished, ...figures });
