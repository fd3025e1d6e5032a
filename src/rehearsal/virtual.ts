import type { RehearseVirtual } from "@thorntrail/emulator/entry";
import { momentOf } from "./moments.js";
import { spawnController, type Rehearsed } from "./spawn.js";

/** Rehearses this very controller in virtual time. */
export async function rehearseVirtual(options: Omit<RehearseVirtual<Rehearsed>, "spawn" | "momentOf">): Promise<void> {
  await (await import("@thorntrail/emulator/entry")).rehearseVirtual({ ...options, spawn: spawnController, momentOf });
}
