import type { Capacity, Machine } from "../workers/machine.js";

/** Arithmetic on the capacity of machines. */

/** Adds `by`, multiplied by `times`, to `capacity` in place. */
export function addCapacity(capacity: Capacity, by: Capacity, times: number): void {
  capacity.cpus += by.cpus * times;
  capacity.gpus += by.gpus * times;
  capacity.ram += by.ram * times;
}

/** Capacity that becomes free on the machine when the tasks that were ordered to stop have exited. */
export function stoppingCapacity(machine: Machine): Capacity {
  const released = { cpus: 0, gpus: 0, ram: 0 };
  for (const { stop, taskSet } of machine.placements.values()) if (stop !== null) addCapacity(released, taskSet.spec, 1);
  return released;
}
