/** Marks machines as fenced: no start that a former owner ordered can take effect on a fenced machine. */
import type { Partition } from "../partitions/partition.js";
import type { FenceProof, Machine } from "./machine.js";

/**
 * Marks a machine as fenced and adds it to `fenced` together with the proof; does nothing if it is fenced already.
 * No other code sets `machine.fenced`.
 */
export function fence(partition: Partition, machine: Machine, proof: FenceProof, fenced: { machine: Machine; proof: FenceProof }[]): void {
  if (machine.fenced) return;
  machine.fenced = true;
  partition.fencedBy[proof]++;
  fenced.push({ machine, proof });
}
