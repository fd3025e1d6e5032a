import type { NetworkRule } from "@thorntrail/emulator/network-rules";
import { seededRandom } from "@thorntrail/emulator/random";

/** A fault of a scale run: a controller is restarted or paused, or a network rule applies to workers and controllers. */
export type ScaleFault =
  | { atMs: number; kind: "restart" | "pause"; controller: string; forMs: number }
  /** Applied in the processes of the hollow workers. */
  | { atMs: number; kind: "networkRule"; label: string; rule: NetworkRule; forMs: number };

/** Kinds of faults in the order in which they are used. */
const FAULT_KINDS = ["restart", "quick restart", "pause", "cut", "late commands", "late reports", "kept reports", "split"] as const;

/** Generates `count` faults that begin between `fromMs` and `toMs`, repeatable by seed. */
export function randomFaults(seed: number, count: number, controllers: number, fromMs: number, toMs: number): ScaleFault[] {
  const random = seededRandom(seed);
  const between = (min: number, max: number): number => min + random() * (max - min);
  return Array.from({ length: count }, (_, i): ScaleFault => {
    const atMs = between(fromMs, toMs);
    // Controller 0 is excluded: the loss phase of the run kills it.
    const controller = `nest-${1 + Math.floor(random() * (controllers - 1))}`;
    // The kinds take turns, so that a short run has all of them.
    switch (FAULT_KINDS[i % FAULT_KINDS.length]!) {
      case "restart":
        return { atMs, kind: "restart", controller, forMs: between(2000, 10_000) };
      case "quick restart":
        return { atMs, kind: "restart", controller, forMs: between(50, 300) };
      case "pause":
        return { atMs, kind: "pause", controller, forMs: between(2000, 14_000) };
      case "cut":
        return networkFault(atMs, "cut", { from: controller, to: "workers", effect: { kind: "cut" } }, between(4000, 15_000));
      case "late commands": {
        const effect = { kind: "late", leastMs: 2000, ms: 16_000 } as const;
        return networkFault(atMs, "late commands", { from: "controllers", to: "workers", what: "command", effect, share: 0.3 }, 15_000);
      }
      case "late reports": {
        const effect = { kind: "again", share: 0.2, mostMs: 20_000 } as const;
        return networkFault(atMs, "late reports", { from: "workers", to: "controllers", what: "report", effect }, 20_000);
      }
      case "split": {
        // A third of the machines has no connection to this controller, whoever owns their partitions.
        const machines = { least: 2 / 3, most: 1 };
        return networkFault(atMs, "split", { from: machines, to: controller, effect: { kind: "cut" } }, between(19_000, 30_000));
      }
      case "kept reports": {
        const effect = { kind: "keep", share: 0.1 } as const;
        return networkFault(atMs, "kept reports", { from: "workers", to: "controllers", what: "report", effect }, 20_000);
      }
    }
  });
}

function networkFault(atMs: number, label: string, rule: NetworkRule, forMs: number): ScaleFault {
  return { atMs, kind: "networkRule", label, rule, forMs };
}
