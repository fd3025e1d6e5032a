import type { JobSpec } from "@thorntrail/protocol/jobs";
import type { TeamRecord } from "../ledger/records.js";
import type { TeamSettings } from "../settings/platform-file.js";

/** Teams of a configuration version: those of the platform's file with the recorded changes applied. Pure functions. */

/** A team's guaranteed resources and limits. A removed team keeps only its limits, for its jobs that were already accepted. */
export interface Team extends TeamSettings {
  removed: boolean;
}

/** A configuration change: teams to add or to give other limits, and names of teams to remove. */
export interface TeamChange {
  set: TeamSettings[];
  remove: string[];
}

type LimitName = "cpus_max" | "gpus_max";
const LIMITS: readonly LimitName[] = ["cpus_max", "gpus_max"];

/** Tolerance for rounding errors in sums of amounts. */
const SLACK = 1e-6;

/** Merges the teams of the platform's file with the recorded changes: the file's teams in their order, then added ones. */
export function mergeTeams(base: readonly TeamSettings[], records: Iterable<TeamRecord>): Team[] {
  const teams = new Map<string, Team>(base.map((team) => [team.name, { ...team, removed: false }]));
  for (const { version: _version, removed, ...limits } of records)
    teams.set(limits.name, removed === true ? { ...limits, cpus: 0, gpus: 0, removed: true } : { ...limits, removed: false });
  return [...teams.values()];
}

/** Errors of a configuration change, each with its field and the expected value; empty if the change is valid. */
export function changeErrors({ set, remove }: TeamChange, teams: readonly Team[], maxTeams: number): string[] {
  const errors: string[] = [];
  const existing = new Set(teams.filter(({ removed }) => !removed).map(({ name }) => name));
  const named = new Set<string>();
  if (set.length + remove.length === 0) errors.push("(top): expected teams to set or to remove");
  if (set.length + remove.length > maxTeams)
    errors.push(`(top): ${set.length + remove.length} teams: expected at most ${maxTeams} in one change, by the state service's limits`);
  set.forEach((team, i) => {
    if (named.has(team.name)) errors.push(`teams.${i}.name: ${team.name}: expected each team once`);
    named.add(team.name);
    if (team.cpus_max > 0 && team.cpus > team.cpus_max)
      errors.push(`teams.${i}.cpus: ${team.cpus}: expected at most cpus_max, ${team.cpus_max}`);
    if (team.gpus_max > 0 && team.gpus > team.gpus_max)
      errors.push(`teams.${i}.gpus: ${team.gpus}: expected at most gpus_max, ${team.gpus_max}`);
  });
  remove.forEach((name, i) => {
    if (named.has(name)) errors.push(`remove.${i}: ${name}: expected a team that is not set or removed elsewhere in the change`);
    else if (!existing.has(name)) errors.push(`remove.${i}: ${name}: expected the name of a team that exists`);
    named.add(name);
  });
  return errors;
}

/** Team records that a configuration change writes. The record of a removed team keeps the former limits. */
export function changeRecords({ set, remove }: TeamChange, teams: readonly Team[], version: number): TeamRecord[] {
  const removalRecord = (name: string): TeamRecord => {
    const { cpus_max, gpus_max } = teams.find((team) => team.name === name)!;
    return { name, cpus: 0, cpus_max, gpus: 0, gpus_max, version, removed: true };
  };
  return [...set.map((team) => ({ ...team, version })), ...remove.map(removalRecord)];
}

/** Whether the limit `after` is lower than the limit `before`; 0 means no limit. */
function isLower(after: number, before: number): boolean {
  return after > 0 && (before <= 0 || after < before);
}

/** Whether the change lowers a limit of any existing team. */
export function lowersLimits({ set }: TeamChange, teams: readonly Team[]): boolean {
  return set.some((team) => {
    const before = teams.find(({ name }) => name === team.name);
    return before !== undefined && LIMITS.some((limit) => isLower(team[limit], before[limit]));
  });
}

/** Returns why a job can never run within the team's limits; null if it can. */
export function limitExceeded(spec: JobSpec, team: TeamSettings): string | null {
  const concurrentTasks = spec.kind === "array" ? 1 : spec.tasks;
  if (team.cpus_max > 0 && spec.cpus * concurrentTasks > team.cpus_max + SLACK) return "needs more CPUs than the team's limit";
  if (team.gpus_max > 0 && spec.gpus * concurrentTasks > team.gpus_max + SLACK) return "needs more accelerators than the team's limit";
  return null;
}

/** First open job that could never run within the changed limits, with the reason; null if there is none. */
export function unrunnableJob({ set }: TeamChange, open: Iterable<JobSpec>): string | null {
  const limits = new Map(set.map((team) => [team.name, team]));
  for (const spec of open) {
    const team = limits.get(spec.team);
    const reason = team === undefined ? null : limitExceeded(spec, team);
    if (reason !== null) return `${spec.ref} of team ${spec.team} was accepted and ${reason}`;
  }
  return null;
}
