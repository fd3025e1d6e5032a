import { seeded } from "../luck.js";
import { carryOut } from "../faults.js";
import type { Timing } from "../place.js";
import { submissions, type Planned, type RehearsalPlan } from "../plan.js";
import { Recoveries } from "../recovery.js";
import { classFigures, type Report } from "../report.js";
import { Rig } from "./rig.js";

export interface PlayOptions {
  program: readonly string[];
  plan: RehearsalPlan;
  timing: Timing;
  seed: number;
  /** Told once a second how things stand. */
  progress?: (text: string) => void;
  /** After all was submitted, how long to wait for the last. */
  patienceMs: number;
  stop?: AbortSignal;
}

/** Plays a plan on real processes. Whatever ends it, no process and no folder stays. */
export async function playReal(options: PlayOptions): Promise<Report> {
  const { seed } = options;
  const recoveries = new Recoveries();
  const trouble: string[] = [];
  const rig = new Rig({
    ...options,
    onLog: (node, entry) => {
      const what = String(entry["msg"] ?? "");
      recoveries.hear({ at: rig.clock.now(), node, what, detail: entry });
      if (entry["level"] === "error" || entry["level"] === 50) trouble.push(`${node}: ${JSON.stringify(entry).slice(0, 300)}`);
    },
  });
  const stop = (): void => rig.close();
  options.stop?.addEventListener("abort", stop);
  try {
    options.progress?.("starting store, cloud and controllers");
    await rig.start();
    return await perform(rig, recoveries, trouble, options, seed);
  } finally {
    options.stop?.removeEventListener("abort", stop);
    rig.close();
  }
}

async function perform(rig: Rig, recoveries: Recoveries, trouble: string[], options: PlayOptions, seed: number): Promise<Report> {
  const { plan, progress } = options;
  const planned = submissions(plan, seeded(seed));
  const began = rig.clock.now();
  const faults: Report["faults"] = [];
  const byRef = new Map<string, Planned>(planned.map((one) => [one.spec.ref, one]));
  const waiting: Promise<void>[] = [];
  const accepted = (ref: string): boolean => rig.jobs.get(ref)?.acceptedMs != null;
  for (const one of planned) {
    waiting.push(
      new Promise((resolve) => {
        const go = (): void => {
          // Users name only jobs that were accepted.
          if ((one.spec.needs ?? []).every(accepted)) void rig.submit(one).then(resolve);
          else rig.after(250, go);
        };
        rig.after(one.atMs, go);
      }),
    );
  }
  for (const { fault, ...when } of plan.fault) {
    if (!("at" in when)) throw new Error(`${plan.name}: faults at a moment are for --virtual; give at in seconds`);
    rig.after(when.at * 1000, () => {
      void rig.findLeader().then(() => {
        const met = carryOut(rig, fault);
        faults.push({ at: Math.round(rig.clock.now() - began) / 1000, kind: fault.kind, met });
        if (fault.kind === "restart" || fault.kind === "freeze") for (const node of met) recoveries.lost(node, rig.clock.now());
        progress?.(`fault: ${fault.kind} met ${met.join(", ") || "nobody"}`);
      });
    });
  }
  const last = plan.seconds * 1000 + options.patienceMs;
  let over = false;
  void Promise.all(waiting).then(() => (over = true));
  while (!over && rig.clock.now() - began < last && options.stop?.aborted !== true) {
    await new Promise((resolve) => setTimeout(resolve, 1000));
    const all = [...rig.jobs.values()];
    const done = all.filter(({ final }) => final !== null).length;
    progress?.(
      `${Math.round((rig.clock.now() - began) / 1000)} s: ${done} of ${planned.length} jobs over, ${rig.cloud.rented} machines, ${rig.takeovers} takeovers`,
    );
  }
  // A last look: what was called over must have stayed so, and cancelled tasks must be gone.
  const jobs = [...rig.jobs.values()];
  return {
    plan: plan.name,
    mode: "real",
    seed,
    seconds: Math.round(rig.clock.now() - began) / 1000,
    jobs: {
      submitted: planned.length,
      accepted: jobs.filter(({ acceptedMs }) => acceptedMs !== null).length,
      done: jobs.filter(({ final }) => final === "done").length,
      withdrawn: jobs.filter(({ final }) => final === "withdrawn").length,
      unfinished: planned.map(({ spec }) => spec.ref).filter((ref) => (rig.jobs.get(ref)?.final ?? null) === null),
    },
    broken: rig.broken(),
    faults,
    takeovers: rig.takeovers,
    recoveries: recoveries.all,
    classes: classFigures(rig.history, byRef),
    trouble: [...trouble, ...rig.ended.map((name) => `ended by itself: ${name}`)],
    cost: rig.cloud.cost,
  };
}
