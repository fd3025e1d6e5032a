/** Runs rehearsal plans (workload and faults) on real processes. */
import { ScenarioDriver, type InjectedAtPoint, type InjectionPointOf } from "../scenario-driver.js";
import type { HistoryEvent } from "../checker.js";
import type { Timing } from "../environment.js";
import type { RehearsalPlan } from "../plan.js";
import type { Report } from "../report.js";
import { TestEnvironment } from "./test-environment.js";

/** Options of one rehearsal on real processes. */
export interface PlayOptions {
  /** The command that starts the program, such as `[node, main.js]`. */
  program: readonly string[];
  plan: RehearsalPlan;
  timing: Timing;
  seed: number;
  injectionPointOf: InjectionPointOf;
  /** Receives a progress message at the start, once a second, and at each fault. */
  progress?: (text: string) => void;
  /** How long to wait for unfinished jobs after the plan's own duration, in ms. */
  settleMs: number;
  stop?: AbortSignal;
  /** Receives each log line of the store and the controllers. */
  onLogLine?: (node: string, entry: Record<string, unknown>) => void;
  /** Receives, at the end, all events that workers and users observed. */
  onHistory?: (history: readonly HistoryEvent[]) => void;
}

/**
 * Runs a plan on real processes and returns its report. All processes and temporary folders are removed, also after an error or an abort.
 * Rejects if the environment cannot be started.
 */
export async function playReal(options: PlayOptions): Promise<Report & { moments: InjectedAtPoint[] }> {
  const { plan, seed, progress } = options;
  const errors: string[] = [];
  const environment: TestEnvironment = new TestEnvironment({
    ...options,
    onLog: (node, entry) => {
      options.onLogLine?.(node, entry);
      driver.observe({ at: environment.clock.now(), node, what: String(entry["msg"] ?? ""), detail: entry });
      if (entry["level"] === "error" || entry["level"] === 50) errors.push(`${node}: ${JSON.stringify(entry).slice(0, 300)}`);
    },
    onCall: (node, what, detail) => driver.observe({ at: environment.clock.now(), node, what, detail }),
    onEvent: (event) => driver.recordEvent(event),
  });
  const driver: ScenarioDriver = new ScenarioDriver({
    plan,
    seed,
    environment,
    users: environment.userPort,
    simulatedUsers: environment.simulatedUsers,
    clock: environment.clock,
    injectionPointOf: options.injectionPointOf,
    pollMs: () => environment.pollMs(),
    history: () => environment.history,
    ...(progress === undefined ? {} : { log: progress }),
  });
  const stop = (): void => environment.close();
  options.stop?.addEventListener("abort", stop);
  try {
    progress?.("starting store, cloud and controllers");
    await environment.start();
    driver.start();
    const began = environment.clock.now();
    const limitMs = plan.seconds * 1000 + options.settleMs;
    while (!driver.allFinished && environment.clock.now() - began < limitMs && options.stop?.aborted !== true) {
      await new Promise((resolve) => setTimeout(resolve, 1000));
      const seconds = Math.round((environment.clock.now() - began) / 1000);
      const finished = `${driver.finishedCount} of ${driver.submissions.length} jobs over`;
      progress?.(`${seconds} s: ${finished}, ${environment.cloud.rentedCount} machines, ${driver.takeovers} takeovers`);
    }
    driver.stop();
    options.onHistory?.(environment.history);
    const { reports: sent, late } = environment.reports;
    return driver.report({
      reports: { sent, late },
      copies: environment.copies.counts,
      mode: "real",
      broken: environment.broken(),
      trouble: [...errors, ...environment.unexpectedExits.map((name) => `ended by itself: ${name}`)],
      cost: environment.cloud.cost,
    });
  } finally {
    options.stop?.removeEventListener("abort", stop);
    environment.close();
  }
}
