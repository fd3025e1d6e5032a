import type { JobSpec } from "@thorntrail/protocol/jobs";
import type { Partition } from "../partitions/partition.js";
import { freeCapacity, isUsable, type Capacity, type Machine } from "../workers/machine.js";
import { sortTaskSets, type QueueOrder } from "./queue-order.js";
import type { RunTimeHistory } from "./history.js";
import { isAllowed, copiesThatFit } from "./placement.js";
import { isReady } from "./scheduling-cycle.js";
import { addCapacity } from "./capacity.js";
import { PreemptibleCapacity, type SimulatedMachine, type PreemptionRights } from "./preemptible-capacity.js";
import { failsRepeatedly, type TaskSet } from "./task-set.js";

/** Estimates when the jobs of a partition's queue will start, by a simulation of the queue. */

/** Inputs of the wait estimate. */
export interface EstimateContext extends PreemptionRights {
  now: number;
  silentMs: number;
  order: QueueOrder;
  history: RunTimeHistory;
  bootMs: (machine: Machine) => number;
  /** How long a job waits before work of lower priority is stopped for it, in ms. */
  preemptAfterMs: number;
}

/** Capacity that becomes free on a machine at a time: `freed`, multiplied by `times`. */
interface CapacityEvent {
  at: number;
  machine: SimulatedMachine;
  freed: Capacity;
  times: number;
}

/**
 * Time step of the queue simulation, as a fraction of the time without reports after which a machine gets no new
 * tasks. Capacity that becomes free within one step is handled together.
 */
const STEP_FRACTION = 1 / 5;
const MAX_STEPS = 400;
const MAX_QUEUE = 60;

/** Returns the share of the partition's CPUs or of its accelerators that is in use, whichever is higher; 1 if it has no CPUs. */
export function utilization(partition: Partition): number {
  const all = { cpus: 0, gpus: 0 };
  const used = { cpus: 0, gpus: 0 };
  for (const machine of partition.machines.values()) {
    if (machine.lost || machine.deleting) continue;
    all.cpus += machine.capacity.cpus;
    all.gpus += machine.capacity.gpus;
    used.cpus += machine.used.cpus;
    used.gpus += machine.used.gpus;
  }
  if (all.cpus === 0) return 1;
  return Math.max(used.cpus / all.cpus, all.gpus > 0 ? used.gpus / all.gpus : 0);
}

/** Upper bound on the number of copies of a task that a machine is counted to hold; no job has as many tasks. */
const MAX_COPIES = 1e6;

/**
 * Number of tasks of one shape (resource requirements and placement constraints) that each machine and zone can hold,
 * updated as free capacity changes. It is shared by all gangs of that shape: users submit many identical gangs, and
 * with one instance per waiting gang, every change of a machine would cost an update for each of them.
 */
class ShapeCapacity {
  private readonly tasksPerMachine: Float64Array;
  private readonly tasksPerZone: Float64Array;

  constructor(
    private readonly spec: JobSpec,
    private readonly machines: SimulatedMachine[],
    zones: number,
  ) {
    this.tasksPerMachine = new Float64Array(machines.length);
    this.tasksPerZone = new Float64Array(zones);
    for (let i = 0; i < machines.length; i++) {
      if (isAllowed(spec, machines[i]!.machine)) this.update(i);
      else this.tasksPerMachine[i] = -1;
    }
  }

  /** Updates the counts after the free capacity of machine number `i` has changed. */
  update(i: number): void {
    const before = this.tasksPerMachine[i]!;
    if (before < 0) return;
    const simulated = this.machines[i]!;
    const now = Math.min(MAX_COPIES, copiesThatFit(this.spec, simulated.free));
    this.tasksPerZone[this.spec.oneZone ? simulated.zone : 0]! += now - before;
    this.tasksPerMachine[i] = now;
  }

  /** Returns the number of a zone that can hold that many tasks now; -1 if they fit and need not share a zone, null if they do not fit. */
  zoneFor(tasks: number): number | null {
    if (!this.spec.oneZone) return this.tasksPerZone[0]! >= tasks ? -1 : null;
    const zone = this.tasksPerZone.findIndex((n) => n >= tasks);
    return zone < 0 ? null : zone;
  }

  /** Number of tasks that machine number `i` can hold. */
  tasksOn(i: number): number {
    return Math.max(0, this.tasksPerMachine[i]!);
  }
}

/** A waiting job in the simulation of the queue, with the number of its tasks that are not placed yet. */
interface QueueEntry {
  taskSet: TaskSet;
  tasks: number;
  /** For a gang, which needs capacity for all of its tasks at once, how many of them each machine and zone can hold; otherwise null. */
  shape: ShapeCapacity | null;
}

/**
 * Simulates the queue: running tasks release capacity when they are expected to end, and booting machines count from
 * the time at which they should be up. Returns the wait in ms of each requested task set (`wanted`; all if not given),
 * Infinity if the partition cannot hold it. Of the jobs up to the last requested one, only the first `MAX_QUEUE` are
 * simulated; others have no entry in the result. The simulation ends once all requested waits are known. Both limits
 * keep estimates cheap during a burst of submissions. `atOnce` receives, for each task set that has to wait, the number
 * of tasks for which there is free capacity now.
 */
export function estimateWaits(
  partition: Partition,
  context: EstimateContext,
  extra: TaskSet[] = [],
  wanted: ((taskSet: TaskSet) => boolean) | null = null,
  atOnce: Map<string, number> = new Map(),
): Map<string, number> {
  const { now, history } = context;
  const stepMs = context.silentMs * STEP_FRACTION;
  const machines: SimulatedMachine[] = [];
  const zones = new Map<string, number>();
  const events: CapacityEvent[] = [];
  const runMs = new Map<JobSpec, number>();
  const expectedRunMs = (spec: JobSpec): number => {
    let ms = runMs.get(spec);
    if (ms === undefined) runMs.set(spec, (ms = history.remainingRunS(spec, 0) * 1000));
    return ms;
  };
  const due = (at: number): number => now + Math.ceil((at - now) / stepMs) * stepMs;
  for (const machine of partition.machines.values()) {
    if (machine.deleting || machine.draining || machine.lost || machine.noticeAt !== null) continue;
    if (!zones.has(machine.zone)) zones.set(machine.zone, zones.size);
    const simulated: SimulatedMachine = { machine, free: freeCapacity(machine), zone: zones.get(machine.zone)!, index: machines.length };
    if (!isUsable(machine, now, context.silentMs)) {
      const readyAt = machine.up
        ? Math.max(now + 1000, machine.avoidUntil)
        : Math.max(now + 1000, machine.rentedAt + context.bootMs(machine));
      events.push({ at: due(readyAt), machine: simulated, freed: { ...simulated.free }, times: 1 });
      simulated.free = { cpus: 0, gpus: 0, ram: 0 };
    }
    machines.push(simulated);
    for (const { taskSet, runningAt } of machine.placements.values()) {
      const left = runningAt === null ? expectedRunMs(taskSet.spec) : history.remainingRunS(taskSet.spec, (now - runningAt) / 1000) * 1000;
      events.push({ at: due(now + left), machine: simulated, freed: taskSet.spec, times: 1 });
    }
  }
  events.sort((a, b) => a.at - b.at);
  const all = [...extra];
  for (const u of partition.taskSets.values()) {
    if (!u.ended && !u.migrating && u.waiting.length > 0 && !failsRepeatedly(u) && (isReady(u, now) || u.notBefore > now)) all.push(u);
  }
  const queue = sortTaskSets(all, context.order);
  let length = Math.min(queue.length, MAX_QUEUE);
  if (wanted !== null) while (length > 0 && !wanted(queue[length - 1]!)) length--;
  const waits = new Map<string, number>();
  const shapes = new Map<string, ShapeCapacity>();
  const shapeOf = (taskSet: TaskSet): ShapeCapacity => {
    let shape = shapes.get(taskSet.shape);
    if (shape === undefined) shapes.set(taskSet.shape, (shape = new ShapeCapacity(taskSet.spec, machines, Math.max(1, zones.size))));
    return shape;
  };
  const entryOf = (taskSet: TaskSet): QueueEntry => ({
    taskSet,
    tasks: taskSet.waiting.length,
    shape: taskSet.spec.kind === "gang" ? shapeOf(taskSet) : null,
  });
  let left = queue.slice(0, length).map(entryOf);
  let openCount = wanted === null ? left.length : left.filter((entry) => wanted(entry.taskSet)).length;
  const setWait = (entry: QueueEntry, ms: number): void => {
    waits.set(entry.taskSet.key, ms);
    if (wanted === null || wanted(entry.taskSet)) openCount--;
  };

  const occupyMachine = (simulated: SimulatedMachine, entry: QueueEntry, n: number, at: number): void => {
    const { spec } = entry.taskSet;
    addCapacity(simulated.free, spec, -n);
    entry.tasks -= n;
    insert(events, { at: due(at + expectedRunMs(spec)), machine: simulated, freed: spec, times: n });
    for (const shape of shapes.values()) shape.update(simulated.index);
  };
  /**
   * Places as many tasks of the entry as possible on the machines in `only`, whose free capacity may have changed, and
   * returns whether all are placed. A gang is placed as a whole or not at all, whatever `only` holds.
   */
  const placeEntry = (entry: QueueEntry, at: number, only: Iterable<SimulatedMachine>): boolean => {
    const { shape } = entry;
    if (shape !== null) {
      const zone = shape.zoneFor(entry.tasks);
      if (zone === null) return false;
      for (let i = 0; i < machines.length && entry.tasks > 0; i++) {
        const n = Math.min(entry.tasks, shape.tasksOn(i));
        if (n > 0 && (zone < 0 || machines[i]!.zone === zone)) occupyMachine(machines[i]!, entry, n, at);
      }
    } else {
      for (const simulated of only) {
        const n = isAllowed(entry.taskSet.spec, simulated.machine)
          ? Math.min(entry.tasks, copiesThatFit(entry.taskSet.spec, simulated.free))
          : 0;
        if (n > 0) occupyMachine(simulated, entry, n, at);
        if (entry.tasks === 0) break;
      }
    }
    if (entry.tasks > 0) return false;
    setWait(entry, Math.max(0, at - now));
    return true;
  };
  left = left.filter((entry) => !placeEntry(entry, now, machines));
  for (const entry of left) atOnce.set(entry.taskSet.key, entry.taskSet.waiting.length - entry.tasks);
  const preemptible = new PreemptibleCapacity(partition, machines, context);
  left = left.filter((entry) => {
    if (!preemptible.reserve(entry.taskSet, entry.tasks)) return true;
    setWait(entry, context.preemptAfterMs);
    return false;
  });
  for (let i = 0, steps = 0; steps < MAX_STEPS && i < events.length && openCount > 0; steps++) {
    const { at } = events[i]!;
    const changed: SimulatedMachine[] = [];
    // Capacity that becomes free in the same step is assigned together; otherwise the first small job would take
    // capacity that is sufficient for a whole gang.
    for (; i < events.length && events[i]!.at === at; i++) {
      const { machine: simulated, freed, times } = events[i]!;
      addCapacity(simulated.free, freed, times);
      if (changed.at(-1) !== simulated && !changed.includes(simulated)) changed.push(simulated);
    }
    for (const shape of shapes.values()) for (const simulated of changed) shape.update(simulated.index);
    let placedCount = 0;
    for (const entry of left) if (placeEntry(entry, at, changed)) placedCount++;
    if (placedCount > 0) left = left.filter((entry) => entry.tasks > 0);
  }
  for (const entry of left) waits.set(entry.taskSet.key, Infinity);
  return waits;
}

/** Inserts an event into `events`, which stay sorted by time. */
function insert(events: CapacityEvent[], event: CapacityEvent): void {
  let low = 0;
  let high = events.length;
  while (low < high) {
    const mid = (low + high) >> 1;
    if (events[mid]!.at <= event.at) low = mid + 1;
    else high = mid;
  }
  events.splice(low, 0, event);
}
