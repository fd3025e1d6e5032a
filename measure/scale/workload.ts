import type { MachineType } from "../../packages/protocol/src/cloud.js";
import type { JobSpec } from "../../packages/protocol/src/jobs.js";
import type { TeamSettings } from "../../src/settings/platform-file.js";
import type { PlannedJob } from "./messages.js";

/** Builds the jobs, teams and machines of measurements from a few numbers. */

/** GPUs of a GPU machine. */
export const GPUS_PER_MACHINE = 8;
/** Machine type without GPUs. */
export const CPU_MACHINE: Omit<MachineType, "zones"> = {
  ...{ name: "plain", cpus: 16, gpus: 0, ram: 64, cacheGb: 100, fetchGbPerS: 1, price: 1, spotPrice: 0.4, bootS: 2 },
};
/** Machine type with GPUs. */
export const GPU_MACHINE: Omit<MachineType, "zones"> = {
  ...{ name: "graphics", cpus: 16, gpus: GPUS_PER_MACHINE, ram: 256, cacheGb: 100, fetchGbPerS: 1, price: 10, spotPrice: 4, bootS: 2 },
};

const IMAGE_FETCH_MS = 300;

/** Builds job `run-i` with the defaults of most measurements, changed by `change`. */
export function buildJob(i: number, change: Partial<JobSpec>, times: Pick<PlannedJob, "submitAtMs" | "runMs">): PlannedJob {
  const spec: JobSpec = {
    ...{ ref: `run-${String(i).padStart(6, "0")}`, klass: "batch", team: teamName(0), kind: "array", urgency: "normal", tasks: 1 },
    ...{ cpus: 1, gpus: 0, ram: 2, types: null, zone: null, oneZone: false, spread: false, spot: false, image: "img-1", imageGb: 0.3 },
    ...{ guessS: times.runMs / 1000, checkpointS: 0, flushS: 0, deadlineS: null },
    ...change,
  };
  return { spec: spec.kind === "service" ? { ...spec, guessS: 0 } : spec, ...times, fetchMs: IMAGE_FETCH_MS };
}

/** Returns the name of team `i`, which sorts by its number. */
export function teamName(i: number): string {
  return `team-${String(i).padStart(3, "0")}`;
}

/** Builds `count` teams with the same guaranteed and maximum quota. */
export function equalTeams(count: number, each: Omit<TeamSettings, "name">): TeamSettings[] {
  return Array.from({ length: count }, (_, i) => ({ name: teamName(i), ...each }));
}

/** Returns the names of `count` zones. */
export function zoneNames(count: number): string[] {
  return Array.from({ length: count }, (_, i) => `zone-${i + 1}`);
}

/** Spreads on-demand machines evenly over the zones; there are no spot machines. Keys are `type/zone/ordinary` and `type/zone/spot`. */
export function capacityByOffering(machines: Record<string, number>, zones: string[]): Map<string, number> {
  const capacity = new Map<string, number>();
  for (const [type, count] of Object.entries(machines))
    zones.forEach((zone, i) => {
      const inZone = Math.floor(count / zones.length) + (i < count % zones.length ? 1 : 0);
      capacity.set(`${type}/${zone}/ordinary`, inZone);
      capacity.set(`${type}/${zone}/spot`, 0);
    });
  return capacity;
}
