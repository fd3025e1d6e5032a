/** The in-memory state of an owned partition: its machines, task sets, attempts and resource usage. */
import type { JobSpec } from "@thorntrail/protocol/jobs";
import type { QuotaShareRecord } from "../ledger/records.js";
import type { FenceProof, Machine, Usage } from "../workers/machine.js";
import { AttemptRegistry } from "../queue/attempts.js";
import { removeWaiting, type Placement, type TaskSet } from "../queue/task-set.js";

/**
 * State of a partition that its owner keeps in memory: machines, queue and resource usage. It is rebuilt from the
 * state service's records and from workers' reports at the start of each term.
 */
export interface Partition {
  id: number;
  term: number;
  /** Highest token that this owner has granted to any worker; a worker that shows a higher one has, or had, a newer owner. */
  newestToken: number;
  /**
   * `fencing`: no task starts, no task set migrates and no quota is transferred until every machine is fenced, so
   * that no start ordered by a former owner can take effect on it. `serving`: all machines are fenced.
   */
  phase: "fencing" | "serving";
  /** When this node took the partition over, in ms of the monotonic clock; moved forward by the length of each stall of this process. */
  takenOverAt: number;
  machines: Map<string, Machine>;
  taskSets: Map<string, TaskSet>;
  taskSetsByJob: Map<string, Set<TaskSet>>;
  /** Every attempt that may be running on one of the partition's machines. */
  attempts: AttemptRegistry<Placement>;
  /** Number of attempt numbers assigned in this term, modulo `ATTEMPTS_PER_TERM`. */
  attemptCounter: number;
  /** Number of machines fenced in this term, by kind of proof. */
  fencedBy: Record<FenceProof, number>;
  /** Resource usage by team, counting every attempt that may be on a machine. */
  usage: Map<string, Usage>;
}

/** Resource usage in cores and accelerators. */
export type { Usage };

/** Creates an empty partition in the `fencing` phase. `now` is in ms of the monotonic clock. */
export function newPartition(id: number, term: number, now: number): Partition {
  return {
    id,
    term,
    newestToken: term,
    phase: "fencing",
    takenOverAt: now,
    machines: new Map(),
    taskSets: new Map(),
    taskSetsByJob: new Map(),
    attempts: new AttemptRegistry(),
    attemptCounter: 0,
    fencedBy: { token: 0, lease: 0, unused: 0, deleted: 0 },
    usage: new Map(),
  };
}

/** Attempt numbers reserved for one term; the numbers of consecutive terms do not overlap. */
const ATTEMPTS_PER_TERM = 2 ** 20;

/** Returns the next attempt number. Terms are unique over all partitions and increase, so attempt numbers do too. */
export function nextAttemptNumber(partition: Partition): number {
  partition.attemptCounter = (partition.attemptCounter + 1) % ATTEMPTS_PER_TERM;
  return partition.term * ATTEMPTS_PER_TERM + partition.attemptCounter;
}

/** Returns whether this owner assigned the attempt number in its present term. */
export function isOwnAttempt(partition: Partition, attempt: number): boolean {
  return Math.floor(attempt / ATTEMPTS_PER_TERM) === partition.term;
}

/** Adds a machine, grants it the term as its token, and counts its resource usage and attempts towards those of the partition. */
export function addMachine(partition: Partition, machine: Machine): void {
  machine.grantedToken = partition.term;
  machine.teamUsage = partition.usage;
  machine.attempts = partition.attempts;
  partition.machines.set(machine.host, machine);
}

/**
 * Raises the token of the messages to a worker. `revision` is a revision of the state service at which this owner held the
 * partition: a later owner's term is higher, so the worker obeys that owner, and no command sent under a lower token.
 */
export function raiseToken(partition: Partition, machine: Machine, revision: number): void {
  machine.grantedToken = Math.max(machine.grantedToken, revision);
  partition.newestToken = Math.max(partition.newestToken, revision);
}

/**
 * Adds a task set to the queue. Tasks of which an attempt was already seen on a machine are withheld, so that they do
 * not start a second time.
 */
export function addTaskSet(partition: Partition, taskSet: TaskSet): void {
  taskSet.attempts = partition.attempts;
  for (const number of partition.attempts.tasksOf(taskSet.spec.ref)) removeWaiting(taskSet, number - taskSet.lo);
  partition.taskSets.set(taskSet.key, taskSet);
  const same = partition.taskSetsByJob.get(taskSet.spec.ref);
  if (same === undefined) partition.taskSetsByJob.set(taskSet.spec.ref, new Set([taskSet]));
  else same.add(taskSet);
}

/** Finds the task set in this partition that contains a task of a job, and the task's index in it; null if there is none. */
export function findTaskSet(partition: Partition, ref: string, number: number): { taskSet: TaskSet; task: number } | null {
  for (const taskSet of partition.taskSetsByJob.get(ref) ?? [])
    if (number >= taskSet.lo && number < taskSet.hi) return { taskSet, task: number - taskSet.lo };
  return null;
}

/** Removes a task set from the queue and from the index by job. */
export function removeTaskSet(partition: Partition, taskSet: TaskSet): void {
  partition.taskSets.delete(taskSet.key);
  const same = partition.taskSetsByJob.get(taskSet.spec.ref);
  same?.delete(taskSet);
  if (same?.size === 0) partition.taskSetsByJob.delete(taskSet.spec.ref);
}

/** Returns the resource usage of a team in this partition. */
export function usageOfTeam(partition: Partition, team: string): Usage {
  return partition.usage.get(team) ?? { cpus: 0, gpus: 0 };
}

/** Returns a copy of the partition's resource usage by team, which a placement calculation may change. */
export function copyUsageByTeam(partition: Partition): Map<string, Usage> {
  return new Map([...partition.usage].map(([team, { cpus, gpus }]) => [team, { cpus, gpus }]));
}

/** Returns the partition's share of a team's quota: nothing without a record, infinite where the team has no limit. */
export function quotaShareOf(record: QuotaShareRecord | undefined, partition: number): Usage {
  if (record === undefined) return { cpus: 0, gpus: 0 };
  return { cpus: record.cpus[partition] ?? Infinity, gpus: record.gpus[partition] ?? Infinity };
}

/** Returns how many tasks of the job fit into the given capacity. */
export function tasksThatFit(spec: JobSpec, capacity: Usage): number {
  const tolerance = 1e-6;
  const byCpus = spec.cpus > 0 ? Math.floor((capacity.cpus + tolerance) / spec.cpus) : Infinity;
  const byGpus = spec.gpus > 0 ? Math.floor((capacity.gpus + tolerance) / spec.gpus) : Infinity;
  return Math.max(0, Math.min(byCpus, byGpus));
}
