import type { MachineType } from "@thorntrail/protocol/cloud";
import type { JobSpec } from "@thorntrail/protocol/jobs";
import type { Leader } from "../parts/leader.js";
import { beyondLimits } from "../configuration/teams.js";
import type { Configuration } from "../configuration/current.js";
import type { TeamSettings } from "../settings/platform-file.js";

/** Why a job can never run, or null. A limit of 0 means that there is none. */
export function neverRuns(spec: JobSpec, teams: readonly TeamSettings[], types: MachineType[]): string | null {
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
  return beyondLimits(spec, team);
}

/** Whether a submission is taken, by the configuration as it stands. */
export class Admission {
  constructor(
    private readonly configuration: Configuration,
    private readonly leader: Leader,
  ) {}

  /** Why the job can never run, or null. */
  refused(spec: JobSpec): string | null {
    return neverRuns(spec, this.configuration.accepting, this.leader.types);
  }

  /** A change is being decided that would leave the job without the means to run. */
  undecided(spec: JobSpec): boolean {
    const team = this.configuration.prepared?.teams.find(({ name }) => name === spec.team);
    return team !== undefined && beyondLimits(spec, team) !== null;
  }
}
