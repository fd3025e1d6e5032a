import type { JobSpec } from "@thorntrail/protocol/jobs";
import type { Configuration } from "../configuration/current.js";
import type { Mirror } from "../ledger/mirror.js";
import type { JobRecord } from "../ledger/records.js";
import type { Needs } from "../pipelines/needs.js";
import type { Scope } from "../platform/scope.js";
import { aimS, type Settings } from "../settings/derived.js";
import type { TeamSettings } from "../settings/platform-file.js";
import type { Usage } from "./part.js";

export interface TeamUsage extends Usage {
  team: string;
}

/** What all of a job's tasks would use at once. */
function demand(spec: JobSpec): Usage {
  return { cpus: spec.cpus * spec.tasks, gpus: spec.gpus * spec.tasks };
}

/** Does the job use what its team has a guarantee of? A guarantee of 0 is none. */
function usesGuaranteedResource(spec: JobSpec, team: TeamSettings): boolean {
  return (team.cpus > 0 && spec.cpus > 0) || (team.gpus > 0 && spec.gpus > 0);
}

function fitsGuarantee(sum: Usage, team: TeamSettings): boolean {
  const tolerance = 1e-6;
  return (team.cpus <= 0 || sum.cpus <= team.cpus + tolerance) && (team.gpus <= 0 || sum.gpus <= team.gpus + tolerance);
}

/**
 * Jobs that fit into their team's guarantee together with the team's earlier
 * unfinished ones. Once granted it stays: what came later does not take it away.
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

/** Teams that run less than they are guaranteed, of everything that they have a guarantee of. */
export function teamsBelowGuarantee(teams: readonly TeamSettings[], total: ReadonlyMap<string, Usage>): Set<string> {
  const less = (used: number, guaranteed: number): boolean => guaranteed <= 0 || used < guaranteed;
  const owed = teams.filter(({ name, cpus, gpus }) => {
    const used = total.get(name) ?? { cpus: 0, gpus: 0 };
    return (cpus > 0 || gpus > 0) && less(used.cpus, cpus) && less(used.gpus, gpus);
  });
  return new Set(owed.map(({ name }) => name));
}

/**
 * Which work lies within a guarantee, and which teams run beyond theirs, over
 * all parts: peers say now and then what their parts run. A peer that has not been
 * heard of lately counts as running nothing, so too little is stopped, never too much.
 */
export class Guarantees {
  private granted = new Set<string>();
  private readonly reportsByNode = new Map<string, { use: TeamUsage[]; at: number }>();
  /** The sum of what was reported, and when the first of it is too old to count; null: to be made. */
  private remoteUsageCache: { use: ReadonlyMap<string, Usage>; until: number } | null = null;

  constructor(
    private readonly settings: Settings,
    private readonly configuration: Configuration,
    private readonly mirror: Mirror,
    private readonly needs: Needs,
    private readonly scope: Scope,
  ) {}

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
    // What waits for other jobs holds no part of its team's guarantee.
    const jobs: JobRecord[] = [];
    for (const { v } of this.mirror.openJobs().values()) if (!this.needs.waits(v.spec.ref)) jobs.push(v);
    this.granted = grantGuarantees(jobs, this.teams, this.granted);
  }

  within(ref: string): boolean {
    return this.granted.has(ref);
  }

  hear(node: string, use: TeamUsage[]): void {
    this.reportsByNode.set(node, { use, at: this.scope.clock.now() });
    this.remoteUsageCache = null;
  }

  /**
   * Whose work comes before the rest of its priority. Where a guarantee is an aim of its own, each job within one
   * (`job`): it has seconds to start. Elsewhere the work of teams that run less than their guarantee (`team`), in its own
   * order: the earliest that fit it, first come, would all be begun on a full day, and few ended.
   */
  priorityTests(own: TeamUsage[]): { job: (spec: JobSpec) => boolean; team: (spec: JobSpec) => boolean } {
    if (Number.isFinite(aimS(this.settings.platform, "guarantee", undefined)))
      return { job: (spec) => this.within(spec.ref), team: () => false };
    const owed = teamsBelowGuarantee(this.teams, this.totalUsage(own));
    return { job: () => false, team: (spec) => owed.has(spec.team) };
  }

  /** What teams run beyond their guarantee, with what this node itself runs given. */
  excess(own: TeamUsage[]): Map<string, Usage> {
    const total = this.totalUsage(own);
    const beyond = new Map<string, Usage>();
    for (const { name, cpus, gpus } of this.teams) {
      const used = total.get(name);
      if (used !== undefined) beyond.set(name, { cpus: Math.max(0, used.cpus - cpus), gpus: Math.max(0, used.gpus - gpus) });
    }
    return beyond;
  }

  /** What teams run over all partitions. */
  private totalUsage(own: TeamUsage[]): Map<string, Usage> {
    const total = new Map(this.remoteUsage());
    for (const use of own) addUsage(total, use);
    return total;
  }

  /** What teams run in the partitions of others: asked for with every scheduling cycle, made anew once any of it changed. */
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
