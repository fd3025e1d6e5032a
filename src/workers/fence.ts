/** When a machine counts as fenced: nothing that a former owner ordered can begin there any more. */
import type { Part } from "../parts/part.js";
import type { FenceProof, Machine } from "./machine.js";

/** The only place where a machine becomes fenced. */
export function fence(part: Part, machine: Machine, proof: FenceProof, fenced: { machine: Machine; proof: FenceProof }[]): void {
  if (machine.fenced) return;
  machine.fenced = true;
  part.fencedBy[proof]++;
  fenced.push({ machine, proof });
}
