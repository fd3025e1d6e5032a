/** Injects the faults of a scale run and evaluates their effect with the checker of rehearsals and the controllers' metrics. */
import { findViolations } from "../../packages/emulator/src/checker.js";
import { progress, LatencyHistogram } from "../harness.js";
import type { TestCluster } from "./test-cluster.js";
import type { ScaleFault } from "./faults.js";

/** A controller is not given another fault for this long after its restart. */
const RESTART_GRACE_MS = 3000;

/** Descriptions of the injected faults, for the report. */
const injectedFaults: string[] = [];

/** Schedules the faults; their times count from this call. A fault of an unavailable controller is skipped. */
export function scheduleFaults(cluster: TestCluster, faults: readonly ScaleFault[]): void {
  /** Controllers that are stopped, paused, or have just restarted. */
  const unavailable = new Set<string>();
  for (const fault of faults) {
    setTimeout(() => {
      const { kind, forMs } = fault;
      if (kind !== "networkRule") {
        if (unavailable.has(fault.controller)) return;
        unavailable.add(fault.controller);
        setTimeout(() => unavailable.delete(fault.controller), forMs + RESTART_GRACE_MS).unref();
      }
      const description = kind === "networkRule" ? fault.label : `${kind} ${fault.controller}`;
      injectedFaults.push(`${description} ${(forMs / 1000).toFixed(1)} s`);
      progress(`fault: ${injectedFaults.at(-1)}`);
      if (kind === "networkRule") return cluster.addNetworkRule(fault.rule, forMs);
      if (kind === "restart") {
        void cluster
          .killController(fault.controller)
          .then(() => setTimeout(() => void cluster.startController(fault.controller), forMs).unref());
        return;
      }
      cluster.pauseController(fault.controller, true);
      setTimeout(() => cluster.pauseController(fault.controller, false), forMs).unref();
    }, fault.atMs).unref();
  }
}

/** Returns the report's figures on faults: violations that the checker found, and metrics of the controllers. */
export async function faultFigures(cluster: TestCluster): Promise<Record<string, number | string>> {
  const history = [...cluster.taskHistory].sort((a, b) => a.at - b.at);
  const violations = findViolations(history, { cancelMs: Infinity, teams: new Map() });
  const fencingTimes = new LatencyHistogram();
  for (const { ms } of cluster.fencings) fencingTimes.add(ms);
  const figures: Record<string, number | string> = {
    faults: injectedFaults.join(", ") || "none",
    rules_broken: violations.length,
    first_broken: violations[0] ?? "none",
    fences: fencingTimes.count,
    fence_p50_ms: fencingTimes.percentileMs(50),
    fence_worst_ms: fencingTimes.maxMs,
    fence_most_machines: Math.max(0, ...cluster.fencings.map(({ machines }) => machines)),
    invariant_violations: await cluster.controllerMetricSum("invariant_violations_total"),
  };
  for (const operation of ["worker.order", "worker.fence"])
    for (const what of ["asked", "answered", "refused", "unanswered", "expired"])
      figures[`${operation.replace(".", "_")}_${what}`] = await cluster.controllerMetricSum(
        `calls_total{operation="${operation}",what="${what}"}`,
      );
  return figures;
}
