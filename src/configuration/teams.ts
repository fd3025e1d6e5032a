import type { JobSpec } from "@thorntrail/protocol/jobs";
import type { TeamRecord } from "../ledger/records.js";
import type { TeamSettings } from "../settings/platform-file.js";

/** Teams as a version of the configuration has them: the platform's file, and over it what changes have written. Pure. */

/** A removed team keeps its limit, without a guarantee, for the jobs of its that were accepted. */
export interface Team extends TeamSettings {
  removed: boolean;
}

/** Teams to add or to give other limits, and names of teams to remove. */
export interface TeamChange {
  set: TeamSettings[];
  remove: string[];
}

type LimitName = "cpus_max" | "gpus_max";
const LIMITS: readonly LimitName[] = ["cpus_max", "gpus_max"];

/** Rounding of sums of amounts. */
const SLACK = 1e-6;

/** The file's teams in their order, then those that changes have added. */
export function mergeTeams(base: readonly TeamSettings[], records: Iterable<TeamRecord>): Team[] {
  const teams = new Map<string, Team>(base.map((team) => [team.name, { ...team, removed: false }]));
  for (const { version: _version, removed, ...limits } of records)
    teams.set(limits.name, removed === true ? { ...limits, cpus: 0, gpus: 0, removed: true } : { ...limits, removed: false });
  return [...teams.values()];
}

/** What is wrong with a change, a line a fault, each with its field and what was expected; empty: nothing. */
export function changeErrors({ set, remove }: TeamChange, teams: readonly Team[], mostTeams: number): string[] {
  const faults: string[] = [];
  const known = new Set(teams.filter(({ removed }) => !removed).map(({ name }) => name));
  const named = new Set<string>();
  if (set.length + remove.length === 0) faults.push("(top): expected teams to set or to remove");
  if (set.length + remove.length > mostTeams)
    faults.push(`(top): ${set.length + remove.length} teams: expected at most ${mostTeams} in one change, by the state service's limits`);
  set.forEach((team, i) => {
    if (named.has(team.name)) faults.push(`teams.${i}.name: ${team.name}: expected each team once`);
    named.add(team.name);
    if (team.cpus_max > 0 && team.cpus > team.cpus_max)
      faults.push(`teams.${i}.cpus: ${team.cpus}: expected at most cpus_max, ${team.cpus_max}`);
    if (team.gpus_max > 0 && team.gpus > team.gpus_max)
      faults.push(`teams.${i}.gpus: ${team.gpus}: expected at most gpus_max, ${team.gpus_max}`);
  });
  remove.forEach((name, i) => {
    if (named.has(name)) faults.push(`remove.${i}: ${name}: expected a team that is not set or removed elsewhere in the change`);
    else if (!known.has(name)) faults.push(`remove.${i}: ${name}: expected the name of a team that is there`);
    named.add(name);
  });
  return faults;
}

/** The records that a change writes. A removed team keeps the limits it had. */
export function changeRecords({ set, remove }: TeamChange, teams: readonly Team[], version: number): TeamRecord[] {
  const kept = (name: string): TeamRecord => {
    const { cpus_max, gpus_max } = teams.find((team) => team.name === name)!;
    return { name, cpus: 0, cpus_max, gpus: 0, gpus_max, version, removed: true };
  };
  return [...set.map((team) => ({ ...team, version })), ...remove.map(kept)];
}

/** 0 is no limit. */
function isLower(after: number, before: number): boolean {
  return after > 0 && (before <= 0 || after < before);
}

/** Does any team that is there have a lower limit afterwards? */
export function lowersLimits({ set }: TeamChange, teams: readonly Team[]): boolean {
  return set.some((team) => {
    const before = teams.find(({ name }) => name === team.name);
    return before !== undefined && LIMITS.some((limit) => isLower(team[limit], before[limit]));
  });
}

/** Why a job of the team can never run within its limits, or null. */
export function beyondLimits(spec: JobSpec, team: TeamSettings): string | null {
  const atOnce = spec.kind === "array" ? 1 : spec.tasks;
  if (team.cpus_max > 0 && spec.cpus * atOnce > team.cpus_max + SLACK) return "needs more CPUs than the team's limit";
  if (team.gpus_max > 0 && spec.gpus * atOnce > team.gpus_max + SLACK) return "needs more accelerators than the team's limit";
  return null;
}

/** An open job that a change would leave without the means to run, with the reason; null: none. */
export function unrunnableJob({ set }: TeamChange, open: Iterable<JobSpec>): string | null {
  const limits = new Map(set.map((team) => [team.name, team]));
  for (const spec of open) {
    const team = limits.get(spec.team);
    const why = team === undefined ? null : beyondLimits(spec, team);
    if (why !== null) return `${spec.ref} of team ${spec.team} was accepted and ${why}`;
  }
  return null;
}
