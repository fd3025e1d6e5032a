/** Carries out the faults of a scale run, and says what the checker and the controllers' own figures make of it. */
import { findViolations } from "../../packages/emulator/src/checker.js";
import { progress, LatencyHistogram } from "../harness.js";
import type { Cell } from "./cell.js";
import type { ScaleFault } from "./faults.js";

/** A controller that was started again is not touched for so long. */
const START_MS = 3000;

/** Faults that were carried out, as said in the end. */
const carriedOut: string[] = [];

export function schedule(cell: Cell, faults: readonly ScaleFault[]): void {
  /** Controllers that are ended or paused just now: nothing else is done to them. */
  const away = new Set<string>();
  for (const fault of faults) {
    setTimeout(() => {
      const { kind, forMs } = fault;
      if (kind !== "rule") {
        if (away.has(fault.controller)) return;
        away.add(fault.controller);
        setTimeout(() => away.delete(fault.controller), forMs + START_MS).unref();
      }
      const whom = kind === "rule" ? fault.what : `${kind} ${fault.controller}`;
      carriedOut.push(`${whom} ${(forMs / 1000).toFixed(1)} s`);
      progress(`fault: ${carriedOut.at(-1)}`);
      if (kind === "rule") return cell.addRule(fault.rule, forMs);
      if (kind === "restart") {
        void cell.killController(fault.controller).then(() => setTimeout(() => void cell.startController(fault.controller), forMs).unref());
        return;
      }
      cell.pauseController(fault.controller, true);
      setTimeout(() => cell.pauseController(fault.controller, false), forMs).unref();
    }, fault.atMs).unref();
  }
}

/** What the checker and the controllers' own figures say of a run with faults. */
export async function faultFigures(cell: Cell): Promise<Record<string, number | string>> {
  const history = [...cell.happenings].sort((a, b) => a.at - b.at);
  const broken = findViolations(history, { cancelMs: Infinity, teams: new Map() });
  const fences = new LatencyHistogram();
  for (const { ms } of cell.fences) fences.add(ms);
  const figures: Record<string, number | string> = {
    faults: carriedOut.join(", ") || "none",
    rules_broken: broken.length,
    first_broken: broken[0] ?? "none",
    fences: fences.count,
    fence_p50_ms: fences.percentileMs(50),
    fence_worst_ms: fences.maxMs,
    fence_most_machines: Math.max(0, ...cell.fences.map(({ machines: count }) => count)),
    invariant_violations: await cell.controllerFigure("invariant_violations_total"),
  };
  for (const operation of ["worker.order", "worker.fence"])
    for (const what of ["asked", "answered", "refused", "unanswered", "expired"])
      figures[`${operation.replace(".", "_")}_${what}`] = await cell.controllerFigure(
        `calls_total{operation="${operation}",what="${what}"}`,
      );
  return figures;
}
