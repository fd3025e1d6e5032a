/**
 * Guaranteed resources of teams: which jobs they cover, and which teams use less or more than theirs over all
 * partitions.
 */
import type { JobSpec } from "@thorntrail/protocol/jobs";
import type { Configuration } from "../configuration/configuration.js";
import type { StateReplica } from "../ledger/state-replica.js";
import type { JobRecord } from "../ledger/records.js";
import type { JobDependencies } from "../pipelines/job-dependencies.js";
import type { Scope } from "../platform/scope.js";
import { objectiveS, type Settings } from "../settings/derived.js";
import type { TeamSettings } from "../settings/platform-file.js";
import type { Usage } from "../partitions/partition.js";

/** Resource usage of one team. */
export interface TeamUsage extends Usage {
  team: string;
}

/** Returns the resources that all tasks of a job use together. */
function demand(spec: JobSpec): Usage {
  return { cpus: spec.cpus * spec.tasks, gpus: spec.gpus * spec.tasks };
}

/** Returns whether the job uses a resource for which its team has a guarantee; a guarantee of 0 is none. */
function usesGuaranteedResource(spec: JobSpec, team: TeamSettings): boolean {
  return (team.cpus > 0 && spec.cpus > 0) || (team.gpus > 0 && spec.gpus > 0);
}

function fitsGuarantee(sum: Usage, team: TeamSettings): boolean {
  const tolerance = 1e-6;
  return (team.cpus <= 0 || sum.cpus <= team.cpus + tolerance) && (team.gpus <= 0 || sum.gpus <= team.gpus + tolerance);
}

/**
 * Returns the jobs that fit into their team's guaranteed resources together with the team's earlier unfinished jobs. A
 * job in `granted`, the previous result, stays covered whatever is submitted later.
 */
export function grantGuarantees(jobs: Iterable<JobRecord>, teams: readonly TeamSettings[], granted: Set<string>): Set<string> {
  const byTeam = new Map<string, JobRecord[]>();
  for (const job of jobs) {
    if (job.end !== undefined) continue;
    const list = byTeam.get(job.spec.team);
    if (list === undefined) byTeam.set(job.spec.team, [job]);
    else list.push(job);
  }
  const result = new Set<string>();
  for (const team of teams) {
    const sum = { cpus: 0, gpus: 0 };
    for (const { spec } of (byTeam.get(team.name) ?? []).sort((a, b) => a.at - b.at)) {
      if (!usesGuaranteedResource(spec, team)) continue;
      const { cpus, gpus } = demand(spec);
      sum.cpus += cpus;
      sum.gpus += gpus;
      if (granted.has(spec.ref) || fitsGuarantee(sum, team)) result.add(spec.ref);
    }
  }
  return result;
}

/** Returns the teams that use less than their guarantee of every resource for which they have one. */
export function teamsBelowGuarantee(teams: readonly TeamSettings[], total: ReadonlyMap<string, Usage>): Set<string> {
  const less = (used: number, guaranteed: number): boolean => guaranteed <= 0 || used < guaranteed;
  const owed = teams.filter(({ name, cpus, gpus }) => {
    const used = total.get(name) ?? { cpus: 0, gpus: 0 };
    return (cpus > 0 || gpus > 0) && less(used.cpus, cpus) && less(used.gpus, gpus);
  });
  return new Set(owed.map(({ name }) => name));
}

/**
 * Tracks which jobs lie within their team's guaranteed resources and which teams exceed theirs, over all partitions.
 * Peers report the usage of their partitions periodically. A peer without a recent report counts as using nothing, so
 * that too few tasks are preempted rather than too many.
 */
export class Guarantees {
  private granted = new Set<string>();
  private readonly reportsByNode = new Map<string, { use: TeamUsage[]; at: number }>();
  /** Sum of the peers' unexpired usage reports, and the time at which the first of them expires; null if the sum must be recomputed. */
  private remoteUsageCache: { use: ReadonlyMap<string, Usage>; until: number } | null = null;

  constructor(
    private readonly settings: Settings,
    private readonly configuration: Configuration,
    private readonly replica: StateReplica,
    private readonly needs: JobDependencies,
    private readonly scope: Scope,
  ) {}

  /** Starts the periodic update of the set of jobs that lie within their team's guaranteed resources. */
  start(): void {
    this.scope.routine(
      "guarantees",
      () => this.settings.timing.reportMs / 4,
      () => this.updateGranted(),
    );
  }

  private get teams(): readonly TeamSettings[] {
    return this.configuration.teams;
  }

  private updateGranted(): void {
    if (this.granted.size === 0 && this.teams.every((team) => team.cpus <= 0 && team.gpus <= 0)) return;
    // A job that waits for other jobs does not count towards its team's guaranteed resources.
    const jobs: JobRecord[] = [];
    for (const { v } of this.replica.openJobs().values()) if (!this.needs.isBlocked(v.spec.ref)) jobs.push(v);
    this.granted = grantGuarantees(jobs, this.teams, this.granted);
  }

  /** Returns whether the job lies within its team's guaranteed resources. */
  isGuaranteed(ref: string): boolean {
    return this.granted.has(ref);
  }

  /** Records the resource usage by team that a peer reports for its partitions. */
  noteReport(node: string, use: TeamUsage[]): void {
    this.reportsByNode.set(node, { use, at: this.scope.clock.now() });
    this.remoteUsageCache = null;
  }

  /**
   * Returns predicates that select the work to be placed before other work of its priority. If the settings have a
   * start objective for jobs within their team's guarantee, `job` selects these jobs, because they have to start within
   * seconds. Otherwise `team` selects the work of teams that use less than their guarantee, which keeps its usual
   * order: under full load, ordering jobs within the guarantee by arrival would start all of them and finish few.
   */
  priorityTests(own: TeamUsage[]): { job: (spec: JobSpec) => boolean; team: (spec: JobSpec) => boolean } {
    if (Number.isFinite(objectiveS(this.settings.platform, "guarantee", undefined)))
      return { job: (spec) => this.isGuaranteed(spec.ref), team: () => false };
    const owed = teamsBelowGuarantee(this.teams, this.totalUsage(own));
    return { job: () => false, team: (spec) => owed.has(spec.team) };
  }

  /** Returns what teams use beyond their guarantees; `own` is the usage of this node's partitions. */
  excessUsage(own: TeamUsage[]): Map<string, Usage> {
    const total = this.totalUsage(own);
    const beyond = new Map<string, Usage>();
    for (const { name, cpus, gpus } of this.teams) {
      const used = total.get(name);
      if (used !== undefined) beyond.set(name, { cpus: Math.max(0, used.cpus - cpus), gpus: Math.max(0, used.gpus - gpus) });
    }
    return beyond;
  }

  /** Returns the usage by team over all partitions. */
  private totalUsage(own: TeamUsage[]): Map<string, Usage> {
    const total = new Map(this.remoteUsage());
    for (const use of own) addUsage(total, use);
    return total;
  }

  /**
   * Returns the usage by team in the partitions of other nodes. Every scheduling cycle needs it, so it is cached until a
   * report changes or expires.
   */
  private remoteUsage(): ReadonlyMap<string, Usage> {
    const now = this.scope.clock.now();
    if (this.remoteUsageCache !== null && now < this.remoteUsageCache.until) return this.remoteUsageCache.use;
    const use = new Map<string, Usage>();
    let until = Infinity;
    for (const report of this.reportsByNode.values()) {
      const expiresAt = report.at + this.settings.timing.reportMs;
      if (now >= expiresAt) continue;
      until = Math.min(until, expiresAt);
      for (const one of report.use) addUsage(use, one);
    }
    this.remoteUsageCache = { use, until };
    return use;
  }
}

function addUsage(total: Map<string, Usage>, { team, cpus, gpus }: TeamUsage): void {
  const sum = total.get(team);
  total.set(team, sum === undefined ? { cpus, gpus } : { cpus: sum.cpus + cpus, gpus: sum.gpus + gpus });
}
