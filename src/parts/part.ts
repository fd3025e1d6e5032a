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
  numbered: number;
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
    numbered: 0,
    fencedBy: { token: 0, lease: 0, unused: 0, deleted: 0 },
    usage: new Map(),
  };
}

/** Attempts one term may hand out to a slice before numbers would meet the next term's. */
const ATTEMPTS_PER_TERM = 2 ** 20;

/** Terms are unique over all parts, so attempts made from them are too, and they grow. */
export function nextAttempt(part: Part): number {
  part.numbered = (part.numbered + 1) % ATTEMPTS_PER_TERM;
  return part.term * ATTEMPTS_PER_TERM + part.numbered;
}

/** The machine's use and its attempts are counted with the part's from now on. */
export function addMachine(part: Part, machine: Machine): void {
  machine.teamUsage = part.usage;
  machine.attempts = part.attempts;
  part.machines.set(machine.host, machine);
}

/** The unit queues here. Attempts of its tasks may have been seen on machines before. */
export function addUnit(part: Part, unit: Unit): void {
  unit.attempts = part.attempts;
  for (const number of part.attempts.tasksOf(unit.spec.ref)) withhold(unit, number - unit.lo);
  part.units.set(unit.key, unit);
  const same = part.byRef.get(unit.spec.ref);
  if (same === undefined) part.byRef.set(unit.spec.ref, new Set([unit]));
  else same.add(unit);
}

/** The unit that a task of a job belongs to here, and the task's number within it. */
export function findUnit(part: Part, ref: string, number: number): { unit: Unit; task: number } | null {
  for (const unit of part.byRef.get(ref) ?? []) if (number >= unit.lo && number < unit.hi) return { unit, task: number - unit.lo };
  return null;
}

export function removeUnit(part: Part, unit: Unit): void {
  part.units.delete(unit.key);
  const same = part.byRef.get(unit.spec.ref);
  same?.delete(unit);
  if (same?.size === 0) part.byRef.delete(unit.spec.ref);
}

export function usageOf(part: Part, team: string): Usage {
  return part.usage.get(team) ?? { cpus: 0, gpus: 0 };
}

/** A copy to plan with. */
export function usageByTeam(part: Part): Map<string, Usage> {
  return new Map([...part.usage].map(([team, { cpus, gpus }]) => [team, { cpus, gpus }]));
}

/** Of the team's limit, what this part holds. */
export function allotted(record: AllotmentRecord | undefined, part: number): Usage {
  if (record === undefined) return { cpus: 0, gpus: 0 };
  return { cpus: record.cpus[part] ?? Infinity, gpus: record.gpus[part] ?? Infinity };
}

export function tasksWithin(spec: JobSpec, room: Usage): number {
  const slack = 1e-6;
  const byCpus = spec.cpus > 0 ? Math.floor((room.cpus + slack) / spec.cpus) : Infinity;
  const byGpus = spec.gpus > 0 ? Math.floor((room.gpus + slack) / spec.gpus) : Infinity;
  return Math.max(0, Math.min(byCpus, byGpus));
}
