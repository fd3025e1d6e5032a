import type { Urgency } from "@thorntrail/protocol/jobs";
import { Subject } from "rxjs";
import type { StateReplica } from "../ledger/state-replica.js";
import { keys, type JobRecord, type NeedListRecord } from "../ledger/records.js";
import { rank } from "../queue/queue-order.js";

/** Terminal state of a job. */
export type JobOutcome = "done" | "withdrawn";

/** A job that depends on others or that others depend on. */
interface JobNode {
  ref: string;
  /** Urgency from the job's own record; null until that record has been received. */
  ownUrgency: Urgency | null;
  /** The job's own urgency, or that of a job that depends on it if that is higher. */
  urgency: Urgency;
  dependencies: string[];
  /** The jobs in `dependencies` that are not done. */
  pending: Set<string>;
  dependants: Set<string>;
  outcome: JobOutcome | undefined;
}

/**
 * Dependencies between jobs. Their state is not stored: whether a job may start, or is cancelled together with one
 * that it depends on, follows from the records of the jobs themselves. So every controller applies a cancellation to
 * all dependants as soon as it receives the cancelled job's record, and no second transaction is needed that an
 * outage could prevent.
 */
export class JobDependencies {
  /** Emits jobs whose last dependency is done: their tasks may start. */
  readonly ready$ = new Subject<string>();
  /** Emits jobs whose effective urgency has changed because of jobs that depend on them. */
  readonly urgencyChanged$ = new Subject<string>();
  private readonly nodes = new Map<string, JobNode>();

  constructor(private readonly replica: StateReplica) {
    replica.changes$.subscribe((key) => {
      if (key.startsWith(keys.jobs)) this.applyRecord(key);
      else if (key.startsWith(keys.needLists)) this.applyRecord(keys.job(replica.get<NeedListRecord>(key)?.v.ref ?? ""));
    });
  }

  private record(ref: string): JobRecord | undefined {
    return this.replica.get<JobRecord>(keys.job(ref))?.v;
  }

  /** Terminal state of the job, from its own record or that of a job it depends on; it never changes once set. */
  outcome(ref: string): JobOutcome | undefined {
    const node = this.nodes.get(ref);
    return node === undefined ? this.record(ref)?.end : node.outcome;
  }

  /** True if some dependency of the job is not done, so that none of the job's tasks may start. */
  isBlocked(ref: string): boolean {
    const node = this.nodes.get(ref);
    return node !== undefined && node.outcome !== "done" && node.pending.size > 0;
  }

  /** Number of jobs that wait for others, for the status view. */
  get blockedJobs(): number {
    let n = 0;
    for (const node of this.nodes.values()) if (node.outcome === undefined && node.pending.size > 0) n++;
    return n;
  }

  /** Effective urgency of the job: its own or inherited; `low` if the job is unknown. */
  urgency(ref: string): Urgency {
    return this.nodes.get(ref)?.urgency ?? this.record(ref)?.spec.urgency ?? "low";
  }

  /**
   * Wall-clock time from which the job's waiting time and time limits count, except for the deadline: its submission,
   * or the completion of the last job that it depends on.
   */
  eligibleSinceWall(job: JobRecord): number {
    let since = job.at;
    for (const ref of this.nodes.get(job.spec.ref)?.dependencies ?? []) {
      const dependency = this.record(ref);
      if (dependency !== undefined) since = Math.max(since, dependency.endedAt ?? dependency.at);
    }
    return since;
  }

  private node(ref: string): JobNode {
    let node = this.nodes.get(ref);
    if (node === undefined) {
      const record = this.record(ref);
      const own = record?.spec.urgency ?? null;
      node = {
        ref,
        ownUrgency: own,
        urgency: own ?? "low",
        dependencies: [],
        pending: new Set(),
        dependants: new Set(),
        outcome: record?.end,
      };
      this.nodes.set(ref, node);
    }
    return node;
  }

  private applyRecord(key: string): void {
    const record = this.replica.get<JobRecord>(key)?.v;
    if (record === undefined) return;
    const { ref, needs, urgency } = record.spec;
    const existing = this.nodes.get(ref);
    if (existing === undefined && needs === undefined) return;
    const node = existing ?? this.node(ref);
    if (existing === undefined || node.ownUrgency === null) {
      node.ownUrgency = urgency;
      const all = this.allDependencies(record);
      // Some of the job's dependency lists have not been received yet. Until they are, an entry for the job itself in
      // `pending` keeps it waiting.
      if (all === null) node.pending.add(ref);
      else this.addDependencies(node, all);
      this.updateUrgencies([ref, ...node.dependencies]);
    } else if (node.pending.has(ref)) {
      const all = this.allDependencies(record);
      if (all !== null) this.completeDependencies(node, all);
    }
    if (record.end !== undefined) this.setOutcome(node, record.end);
    else if (node.dependencies.some((need) => this.outcome(need) === "withdrawn")) this.setOutcome(node, "withdrawn");
  }

  /** All dependencies of a job; null if some list has not been received. */
  private allDependencies({ spec, needLists }: JobRecord): string[] | null {
    const all = [...(spec.needs ?? [])];
    for (let i = 0; i < (needLists?.count ?? 0); i++) {
      const list = this.replica.get<NeedListRecord>(keys.needList(spec.ref, needLists!.name, i))?.v;
      if (list === undefined) return null;
      all.push(...list.needs);
    }
    return all;
  }

  private completeDependencies(node: JobNode, dependencies: string[]): void {
    this.addDependencies(node, dependencies);
    node.pending.delete(node.ref);
    this.updateUrgencies(dependencies);
    if (node.pending.size === 0 && node.outcome === undefined) this.ready$.next(node.ref);
  }

  private addDependencies(node: JobNode, dependencies: string[]): void {
    node.dependencies = dependencies;
    for (const ref of dependencies) {
      const dependency = this.node(ref);
      dependency.dependants.add(node.ref);
      if (dependency.outcome !== "done") node.pending.add(ref);
    }
  }

  /**
   * Sets the outcome of a job, and for a cancellation that of all jobs that depend on it. Iterative, since a chain of
   * jobs may be arbitrarily long.
   */
  private setOutcome(first: JobNode, outcome: JobOutcome): void {
    if (first.outcome !== undefined) return;
    first.outcome = outcome;
    const ended = [first];
    const ready: string[] = [];
    for (const node of ended) {
      for (const ref of node.dependants) {
        const dependant = this.node(ref);
        if (dependant.outcome !== undefined) continue;
        if (outcome === "withdrawn") {
          dependant.outcome = outcome;
          ended.push(dependant);
        } else if (dependant.pending.delete(node.ref) && dependant.pending.size === 0) ready.push(ref);
      }
    }
    this.updateUrgencies(ended.flatMap((node) => node.dependencies));
    for (const ref of ready) this.ready$.next(ref);
  }

  /** Recomputes the effective urgencies of the jobs and, where one changes, those of the jobs that it depends on. */
  private updateUrgencies(refs: string[]): void {
    const due = new Set(refs);
    for (const ref of due) {
      due.delete(ref);
      const node = this.node(ref);
      let urgency = node.ownUrgency ?? "low";
      for (const dependantRef of node.dependants) {
        const dependant = this.node(dependantRef);
        if (dependant.outcome === undefined && rank(dependant.urgency) < rank(urgency)) urgency = dependant.urgency;
      }
      if (urgency === node.urgency) continue;
      node.urgency = urgency;
      this.urgencyChanged$.next(ref);
      for (const dependencyRef of node.dependencies) due.add(dependencyRef);
    }
  }
}
