import type { NetworkRule } from "@thorntrail/emulator/network-rules";
import { seededRandom } from "@thorntrail/emulator/random";

/** Faults of a scale run: controllers end, stand still, and lose their workers, at moments drawn by seed. */
export type ScaleFault =
  | { atMs: number; kind: "restart" | "pause"; controller: string; forMs: number }
  /** Carried out where the hollow workers are. */
  | { atMs: number; kind: "rule"; what: string; rule: NetworkRule; forMs: number };

const KINDS = ["restart", "back at once", "pause", "cut", "late commands", "late reports", "kept reports", "split"] as const;

export function drawFaults(seed: number, count: number, controllers: number, fromMs: number, toMs: number): ScaleFault[] {
  const random = seededRandom(seed);
  const between = (least: number, most: number): number => least + random() * (most - least);
  return Array.from({ length: count }, (_, i): ScaleFault => {
    const atMs = between(fromMs, toMs);
    // The first is lost at a moment of its own.
    const controller = `nest-${1 + Math.floor(random() * (controllers - 1))}`;
    // Each kind in turn, so that a short run meets them all.
    switch (KINDS[i % KINDS.length]!) {
      case "restart":
        return { atMs, kind: "restart", controller, forMs: between(2000, 10_000) };
      case "back at once":
        return { atMs, kind: "restart", controller, forMs: between(50, 300) };
      case "pause":
        return { atMs, kind: "pause", controller, forMs: between(2000, 14_000) };
      case "cut":
        return ruleFault(atMs, "cut", { from: controller, to: "workers", effect: { kind: "cut" } }, between(4000, 15_000));
      case "late commands": {
        const effect = { kind: "late", leastMs: 2000, ms: 16_000 } as const;
        return ruleFault(atMs, "late commands", { from: "controllers", to: "workers", what: "command", effect, share: 0.3 }, 15_000);
      }
      case "late reports": {
        const effect = { kind: "again", share: 0.2, mostMs: 20_000 } as const;
        return ruleFault(atMs, "late reports", { from: "workers", to: "controllers", what: "report", effect }, 20_000);
      }
      case "split": {
        // A third of the machines goes on without this controller, whoever leads them.
        const machines = { least: 2 / 3, most: 1 };
        return ruleFault(atMs, "split", { from: machines, to: controller, effect: { kind: "cut" } }, between(19_000, 30_000));
      }
      case "kept reports": {
        const effect = { kind: "keep", share: 0.1 } as const;
        return ruleFault(atMs, "kept reports", { from: "workers", to: "controllers", what: "report", effect }, 20_000);
      }
    }
  });
}

function ruleFault(atMs: number, what: string, rule: NetworkRule, forMs: number): ScaleFault {
  return { atMs, kind: "rule", what, rule, forMs };
}
