import type { JobSpec } from "@thorntrail/protocol/jobs";
import type { Capacity } from "../workers/machine.js";

function fitsWithin(a: Capacity, b: Capacity): boolean {
  return a.cpus <= b.cpus && a.gpus <= b.gpus && a.ram <= b.ram;
}

/**
 * Sizes of tasks for which one scheduling cycle found no capacity. Free capacity only shrinks during a cycle: a task
 * that needs at least as much of every resource, under the same constraints, finds none either. A team's hundreds of
 * small jobs each need slightly different amounts, so without this every machine would be examined for every job.
 */
export class UnschedulableShapes {
  private readonly minimalSizes = new Map<string, Capacity[]>();

  private key({ types, zone, spot }: JobSpec): string {
    return `${types?.join() ?? ""}|${zone ?? ""}|${spot}`;
  }

  private applies({ oneZone, spread }: JobSpec): boolean {
    return !oneZone && !spread;
  }

  /** Records that a task of this size found no capacity. Jobs that must stay in one zone or spread over zones are ignored. */
  add(spec: JobSpec): void {
    if (!this.applies(spec)) return;
    const key = this.key(spec);
    const known = (this.minimalSizes.get(key) ?? []).filter((one) => !fitsWithin(spec, one));
    known.push({ cpus: spec.cpus, gpus: spec.gpus, ram: spec.ram });
    this.minimalSizes.set(key, known);
  }

  /** True if a task that needs no more than this one has found no capacity. */
  has(spec: JobSpec): boolean {
    return this.applies(spec) && (this.minimalSizes.get(this.key(spec))?.some((one) => fitsWithin(one, spec)) ?? false);
  }
}
