/** Whether a failed task counts against its machine or its job. */
import type { Part } from "../parts/part.js";
import { suspect, type Unit } from "../queue/unit.js";
import type { Machine } from "./machine.js";

/** Times in ms. */
export interface BlameTiming {
  now: number;
  leaseMs: number;
  coolMs: number;
}

/** The job was at fault, not the machines that it failed on. */
export function clearBlame(part: Part, unit: Unit): void {
  for (const host of unit.failedOn.keys()) {
    const machine = part.machines.get(host);
    if (machine?.errors.delete(unit.spec.ref) === true) machine.avoidUntil = -Infinity;
  }
}

/**
 * A failure is either the machine's or the job's. A job that fails on several
 * machines and never gets a task done is held to be at fault: its machines are
 * cleared, and it tries again ever less often. Otherwise jobs with a mistake would
 * have good machines set aside one after the other. A machine that fails several
 * jobs which are not at fault, with none done in between, is sick.
 */
export function blame(part: Part, machine: Machine, unit: Unit, { now, leaseMs, coolMs }: BlameTiming): void {
  unit.failedOn.set(machine.host, (unit.failedOn.get(machine.host) ?? 0) + 1);
  if (suspect(unit)) {
    unit.notBefore = now + Math.min(leaseMs * 3, coolMs * 2 ** Math.min(unit.failedOn.size, 8));
    clearBlame(part, unit);
    return;
  }
  machine.errors.set(unit.spec.ref, (machine.errors.get(unit.spec.ref) ?? 0) + 1);
  if (machine.errors.size > 1) machine.draining = true;
  else machine.avoidUntil = now + coolMs * 2;
}
