import type { JobSpec } from "@thorntrail/protocol/jobs";
import type { AllotmentRecord } from "../ledger/records.js";
import type { FenceProof, Machine, Usage } from "../workers/machine.js";
import { AttemptRegistry } from "../queue/attempts.js";
import { withhold, type Placement, type Unit } from "../queue/unit.js";

/**
 * A part as its leader holds it: machines, queue and what they use. All of it
 * is rebuilt from records and reports whenever a new term begins.
 */
export interface Part {
  id: number;
  term: number;
  /** `fencing`: nothing is started, moved or ceded until every machine is accounted for. */
  phase: "fencing" | "serving";
  since: number;
  machines: Map<string, Machine>;
  units: Map<string, Unit>;
  byRef: Map<string, Set<Unit>>;
  /** Every attempt that may be on one of its machines. */
  attempts: AttemptRegistry<Placement>;
  /** Attempt numbers handed out in this term. */
  attemptCounter: number;
  /** How many of its machines became fenced by which proof, this term. */
  fencedBy: Record<FenceProof, number>;
  /** What each team's tasks use here, counting all that may be on a machine. */
  usage: Map<string, Usage>;
}

export type { Usage };

export function newPart(id: number, term: number, now: number): Part {
  return {
    id,
    term,
    phase: "fencing",
    since: now,
    machines: new Map(),
    units: new Map(),
    byRef: new Map(),
    attempts: new AttemptRegistry(),
    attemptCounter: 0,
    fencedBy: { token: 0, lease: 0, unused: 0, deleted: 0 },
    usage: new Map(),
  };
}

/** Attempts one term may hand out to a slice before numbers would meet the next term's. */
const ATTEMPTS_PER_TERM = 2 ** 20;

/** Terms are unique over all parts, so attempts made from them are too, and they grow. */
export function nextAttempt(partition: Part): number {
  partition.attemptCounter = (partition.attemptCounter + 1) % ATTEMPTS_PER_TERM;
  return partition.term * ATTEMPTS_PER_TERM + partition.attemptCounter;
}

/** The machine's use and its attempts are counted with the part's from now on. */
export function addMachine(partition: Part, machine: Machine): void {
  machine.teamUsage = partition.usage;
  machine.attempts = partition.attempts;
  partition.machines.set(machine.host, machine);
}

/** The unit queues here. Attempts of its tasks may have been seen on machines before. */
export function addUnit(partition: Part, taskSet: Unit): void {
  taskSet.attempts = partition.attempts;
  for (const number of partition.attempts.tasksOf(taskSet.spec.ref)) withhold(taskSet, number - taskSet.lo);
  partition.units.set(taskSet.key, taskSet);
  const same = partition.byRef.get(taskSet.spec.ref);
  if (same === undefined) partition.byRef.set(taskSet.spec.ref, new Set([taskSet]));
  else same.add(taskSet);
}

/** The unit that a task of a job belongs to here, and the task's number within it. */
export function findUnit(partition: Part, ref: string, number: number): { unit: Unit; task: number } | null {
  for (const taskSet of partition.byRef.get(ref) ?? [])
    if (number >= taskSet.lo && number < taskSet.hi) return { unit: taskSet, task: number - taskSet.lo };
  return null;
}

export function removeTaskSet(partition: Part, taskSet: Unit): void {
  partition.units.delete(taskSet.key);
  const same = partition.byRef.get(taskSet.spec.ref);
  same?.delete(taskSet);
  if (same?.size === 0) partition.byRef.delete(taskSet.spec.ref);
}

export function usageOf(partition: Part, team: string): Usage {
  return partition.usage.get(team) ?? { cpus: 0, gpus: 0 };
}

/** A copy to plan with. */
export function usageByTeam(partition: Part): Map<string, Usage> {
  return new Map([...partition.usage].map(([team, { cpus, gpus }]) => [team, { cpus, gpus }]));
}

/** Of the team's limit, what this part holds. */
export function allotted(record: AllotmentRecord | undefined, partition: number): Usage {
  if (record === undefined) return { cpus: 0, gpus: 0 };
  return { cpus: record.cpus[partition] ?? Infinity, gpus: record.gpus[partition] ?? Infinity };
}

export function tasksWithin(spec: JobSpec, capacity: Usage): number {
  const tolerance = 1e-6;
  const byCpus = spec.cpus > 0 ? Math.floor((capacity.cpus + tolerance) / spec.cpus) : Infinity;
  const byGpus = spec.gpus > 0 ? Math.floor((capacity.gpus + tolerance) / spec.gpus) : Infinity;
  return Math.max(0, Math.min(byCpus, byGpus));
}
