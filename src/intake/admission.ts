import type { MachineType } from "@thorntrail/protocol/cloud";
import type { JobSpec } from "@thorntrail/protocol/jobs";
import type { Leader } from "../partitions/leader.js";
import { limitExceeded } from "../configuration/teams.js";
import type { Configuration } from "../configuration/configuration.js";
import type { TeamSettings } from "../settings/platform-file.js";

/** Returns why a job can never run with these teams and machine types; null if it can. A limit of 0 means that there is no limit. */
export function neverRuns(spec: JobSpec, teams: readonly TeamSettings[], types: MachineType[]): string | null {
  const team = teams.find((t) => t.name === spec.team);
  if (team === undefined) return `unknown team ${spec.team}`;
  const slack = 1e-6;
  const fitsSomeType = types.some(
    (type) =>
      (spec.types === null || spec.types.includes(type.name)) &&
      (spec.zone === null || type.zones.includes(spec.zone)) &&
      spec.cpus <= type.cpus + slack &&
      spec.gpus <= type.gpus + slack &&
      spec.ram <= type.ram + slack,
  );
  if (!fitsSomeType) return "a task fits no allowed machine type";
  return limitExceeded(spec, team);
}

/** Decides by the current configuration whether a submission is accepted. */
export class Admission {
  constructor(
    private readonly configuration: Configuration,
    private readonly leader: Leader,
  ) {}

  /** Returns why the job can never run with the current teams and machine types; null if it can. */
  rejectionReason(spec: JobSpec): string | null {
    return neverRuns(spec, this.configuration.acceptingTeams, this.leader.types);
  }

  /** Whether the job would exceed its team's limits under a configuration change that is prepared but not decided yet. */
  affectedByPreparedChange(spec: JobSpec): boolean {
    const team = this.configuration.prepared?.teams.find(({ name }) => name === spec.team);
    return team !== undefined && limitExceeded(spec, team) !== null;
  }
}
