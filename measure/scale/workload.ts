import type { MachineType } from "../../packages/protocol/src/cloud.js";
import type { JobSpec } from "../../packages/protocol/src/jobs.js";
import type { TeamSettings } from "../../src/settings/platform-file.js";
import type { PlannedJob } from "./messages.js";

/** Jobs, teams and machines of measurements, made from a few numbers. */

export const GPUS_A_MACHINE = 8;
export const PLAIN: Omit<MachineType, "zones"> = {
  ...{ name: "plain", cpus: 16, gpus: 0, ram: 64, cacheGb: 100, fetchGbPerS: 1, price: 1, spotPrice: 0.4, bootS: 2 },
};
export const GRAPHICS: Omit<MachineType, "zones"> = {
  ...{ name: "graphics", cpus: 16, gpus: GPUS_A_MACHINE, ram: 256, cacheGb: 100, fetchGbPerS: 1, price: 10, spotPrice: 4, bootS: 2 },
};

const FETCH_MS = 300;

/** A job's description with what most measurements leave as it is. */
export function jobOf(i: number, change: Partial<JobSpec>, times: { atMs: number; runMs: number }): PlannedJob {
  const spec: JobSpec = {
    ...{ ref: `run-${String(i).padStart(6, "0")}`, klass: "batch", team: teamName(0), kind: "array", urgency: "normal", tasks: 1 },
    ...{ cpus: 1, gpus: 0, ram: 2, types: null, zone: null, oneZone: false, spread: false, spot: false, image: "img-1", imageGb: 0.3 },
    ...{ guessS: times.runMs / 1000, checkpointS: 0, flushS: 0, deadlineS: null },
    ...change,
  };
  return { spec: spec.kind === "service" ? { ...spec, guessS: 0 } : spec, ...times, fetchMs: FETCH_MS };
}

export function teamName(i: number): string {
  return `team-${String(i).padStart(3, "0")}`;
}

/** So many teams, each with the same guarantee and limit; 0: none. */
export function equalTeams(count: number, each: Omit<TeamSettings, "name">): TeamSettings[] {
  return Array.from({ length: count }, (_, i) => ({ name: teamName(i), ...each }));
}

export function zoneNames(count: number): string[] {
  return Array.from({ length: count }, (_, i) => `zone-${i + 1}`);
}

/** Capacity of ordinary machines, spread evenly over the zones. */
export function capacityOf(machines: Record<string, number>, zones: string[]): Map<string, number> {
  const capacity = new Map<string, number>();
  for (const [type, count] of Object.entries(machines))
    zones.forEach((zone, i) => {
      const each = Math.floor(count / zones.length) + (i < count % zones.length ? 1 : 0);
      capacity.set(`${type}/${zone}/ordinary`, each);
      capacity.set(`${type}/${zone}/spot`, 0);
    });
  return capacity;
}
