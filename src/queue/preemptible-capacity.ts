import type { JobSpec } from "@thorntrail/protocol/jobs";
import type { Partition, Usage } from "../partitions/partition.js";
import type { Capacity } from "../workers/machine.js";
import { rank } from "./queue-order.js";
import { isAllowed, copiesThatFit, type CandidateMachine } from "./placement.js";
import { isBeyondGuarantee } from "./preempt.js";
import { addCapacity } from "./capacity.js";
import type { TaskSet } from "./task-set.js";

/** A machine in the simulation that estimates waits, with the numbers of its zone and of itself. */
export interface SimulatedMachine extends CandidateMachine {
  zone: number;
  index: number;
}

/**
 * What decides which running work may be stopped for waiting work: whether the waiting work is within its team's
 * guarantee, and what each team uses beyond its guarantee.
 */
export interface PreemptionRights {
  guaranteed: (taskSet: TaskSet) => boolean;
  excess: ReadonlyMap<string, Usage>;
}

/**
 * Capacity of the partition's machines that could be made free by stopping lower-priority work. If this were ignored,
 * urgent jobs would migrate from partitions full of low-priority work to partitions where nothing may be stopped for
 * them, and stay there.
 */
export class PreemptibleCapacity {
  private readonly lists = new Map<string, { simulated: SimulatedMachine; free: Capacity }[]>();
  private readonly lowest: number;

  constructor(
    partition: Partition,
    private readonly machines: SimulatedMachine[],
    private readonly context: PreemptionRights,
  ) {
    let lowest = -1;
    for (const taskSet of partition.taskSets.values()) {
      if (taskSet.placements.size > 0 && taskSet.spec.kind !== "gang") lowest = Math.max(lowest, rank(taskSet.urgency));
    }
    this.lowest = lowest;
  }

  private candidatesFor(taskSet: TaskSet, level: number, claims: boolean): { simulated: SimulatedMachine; free: Capacity }[] {
    const name = `${level}|${claims ? taskSet.spec.team : ""}`;
    let list = this.lists.get(name);
    if (list === undefined) {
      list = [];
      for (const simulated of this.machines) {
        if (!simulated.machine.fenced || !simulated.machine.up) continue;
        const free = { ...simulated.free };
        for (const placement of simulated.machine.placements.values()) {
          const { spec, urgency } = placement.taskSet;
          const lower = spec.kind !== "gang" && rank(urgency) > level;
          if (lower || (claims && isBeyondGuarantee(placement, taskSet, this.context.excess))) addCapacity(free, spec, 1);
        }
        list.push({ simulated, free });
      }
      this.lists.set(name, list);
    }
    return list;
  }

  /**
   * Returns true if that many tasks of the job fit once the work that they may preempt is stopped, and deducts them,
   * so that the capacity is not counted for another job as well.
   */
  reserve(taskSet: TaskSet, tasks: number): boolean {
    const { spec } = taskSet;
    const level = rank(taskSet.urgency);
    const claims = this.context.guaranteed(taskSet);
    if (spec.spread || (!claims && level >= this.lowest)) return false;
    const list = this.candidatesFor(taskSet, level, claims);
    const zones = spec.oneZone ? new Set(list.map(({ simulated }) => simulated.machine.zone)) : [null];
    for (const zone of zones) if (this.reserveInZone(zone, spec, tasks, list)) return true;
    return false;
  }

  private reserveInZone(
    zone: string | null,
    spec: JobSpec,
    tasks: number,
    list: { simulated: SimulatedMachine; free: Capacity }[],
  ): boolean {
    const chosen: { free: Capacity; n: number }[] = [];
    let missing = tasks;
    for (const { simulated, free } of list) {
      if (missing === 0) break;
      if (zone !== null && simulated.machine.zone !== zone) continue;
      const n = isAllowed(spec, simulated.machine) ? Math.min(missing, copiesThatFit(spec, free)) : 0;
      if (n > 0) chosen.push({ free, n });
      missing -= n;
    }
    if (missing > 0) return false;
    for (const { free, n } of chosen) addCapacity(free, spec, -n);
    return true;
  }
}
