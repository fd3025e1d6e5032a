import type { Capacity, Machine } from "../workers/machine.js";

export function shift(room: Capacity, by: Capacity, times: number): void {
  room.cpus += by.cpus * times;
  room.gpus += by.gpus * times;
  room.ram += by.ram * times;
}

/** What comes free on the machine as tasks that were told to stop exit. */
export function stoppingRoom(machine: Machine): Capacity {
  const room = { cpus: 0, gpus: 0, ram: 0 };
  for (const { stop, unit } of machine.placements.values()) if (stop !== null) shift(room, unit.spec, 1);
  return room;
}
