import type { runVirtual, RehearsalPlan, RehearseVirtualOptions } from "@thorntrail/emulator/entry";
import { injectionPointOf } from "./injection-points.js";
import { spawnController, type RehearsedController } from "./spawn-controller.js";

/** Plays one rehearsal plan (workload and faults) in virtual time with this build's controller. */
export async function playVirtually(plan: RehearsalPlan, seed: number): ReturnType<typeof runVirtual> {
  return (await import("@thorntrail/emulator/entry")).runVirtual({ plan, seed, spawn: spawnController, injectionPointOf });
}

/** Runs the command `rehearse --virtual` with this build's controller. */
export async function rehearseVirtual(
  options: Omit<RehearseVirtualOptions<RehearsedController>, "spawn" | "injectionPointOf">,
): Promise<void> {
  await (await import("@thorntrail/emulator/entry")).rehearseVirtual({ ...options, spawn: spawnController, injectionPointOf });
}
