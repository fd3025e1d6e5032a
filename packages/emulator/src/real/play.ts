import { Conductor, type MetMoment, type MomentOf } from "../conductor.js";
import type { Happening } from "../checker.js";
import type { Timing } from "../place.js";
import type { RehearsalPlan } from "../plan.js";
import type { Report } from "../report.js";
import { Rig } from "./rig.js";

export interface PlayOptions {
  program: readonly string[];
  plan: RehearsalPlan;
  timing: Timing;
  seed: number;
  momentOf: MomentOf;
  /** Told once a second how things stand. */
  progress?: (text: string) => void;
  /** After all was submitted, how long to wait for the last. */
  patienceMs: number;
  stop?: AbortSignal;
  /** Each line that a controller logs. */
  onLine?: (node: string, entry: Record<string, unknown>) => void;
  /** Told in the end what workers and users saw. */
  onHistory?: (history: readonly Happening[]) => void;
}

/** Plays a plan on real processes. Whatever ends it, no process and no folder stays. */
export async function playReal(options: PlayOptions): Promise<Report & { moments: MetMoment[] }> {
  const { plan, seed, progress } = options;
  const trouble: string[] = [];
  const rig: Rig = new Rig({
    ...options,
    onLog: (node, entry) => {
      options.onLine?.(node, entry);
      conductor.hear({ at: rig.clock.now(), node, what: String(entry["msg"] ?? ""), detail: entry });
      if (entry["level"] === "error" || entry["level"] === 50) trouble.push(`${node}: ${JSON.stringify(entry).slice(0, 300)}`);
    },
    onCall: (node, what, detail) => conductor.hear({ at: rig.clock.now(), node, what, detail }),
    onHappening: (event) => conductor.happened(event),
  });
  const conductor: Conductor = new Conductor({
    plan,
    seed,
    stage: rig,
    users: rig.port,
    crowd: rig.crowd,
    clock: rig.clock,
    momentOf: options.momentOf,
    pollMs: () => rig.pollMs(),
    history: () => rig.history,
    ...(progress === undefined ? {} : { say: progress }),
  });
  const stop = (): void => rig.close();
  options.stop?.addEventListener("abort", stop);
  try {
    progress?.("starting store, cloud and controllers");
    await rig.start();
    conductor.begin();
    const began = rig.clock.now();
    const last = plan.seconds * 1000 + options.patienceMs;
    while (!conductor.allOver && rig.clock.now() - began < last && options.stop?.aborted !== true) {
      await new Promise((resolve) => setTimeout(resolve, 1000));
      const seconds = Math.round((rig.clock.now() - began) / 1000);
      const over = `${conductor.countOver} of ${conductor.planned.length} jobs over`;
      progress?.(`${seconds} s: ${over}, ${rig.cloud.rented} machines, ${conductor.takeovers} takeovers`);
    }
    conductor.stop();
    options.onHistory?.(rig.history);
    const { reports: sent, late } = rig.reports;
    return conductor.report({
      reports: { sent, late },
      mode: "real",
      broken: rig.broken(),
      trouble: [...trouble, ...rig.ended.map((name) => `ended by itself: ${name}`)],
      cost: rig.cloud.cost,
    });
  } finally {
    options.stop?.removeEventListener("abort", stop);
    rig.close();
  }
}
