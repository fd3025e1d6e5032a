import type { MachineType } from "@thorntrail/protocol/cloud";
import type { JobSpec } from "@thorntrail/protocol/jobs";
import type { TeamSettings } from "../settings/platform-file.js";

/** Why a job can never run, or null. A limit of 0 means that there is none. */
export function neverRuns(spec: JobSpec, teams: TeamSettings[], types: MachineType[]): string | null {
  const team = teams.find((t) => t.name === spec.team);
  if (team === undefined) return `unknown team ${spec.team}`;
  const slack = 1e-6;
  const holds = types.some(
    (type) =>
      (spec.types === null || spec.types.includes(type.name)) &&
      (spec.zone === null || type.zones.includes(spec.zone)) &&
      spec.cpus <= type.cpus + slack &&
      spec.gpus <= type.gpus + slack &&
      spec.ram <= type.ram + slack,
  );
  if (!holds) return "a task fits no allowed machine type";
  const atOnce = spec.kind === "array" ? 1 : spec.tasks;
  if (team.cpus_max > 0 && spec.cpus * atOnce > team.cpus_max + slack) return "needs more CPUs than the team's limit";
  if (team.gpus_max > 0 && spec.gpus * atOnce > team.gpus_max + slack) return "needs more accelerators than the team's limit";
  return null;
}
