import type { Urgency } from "../ledger/records.js";
import type { Unit } from "./unit.js";

const RANK: Record<Urgency, number> = { critical: 0, urgent: 1, normal: 2, low: 3 };

export function rank(urgency: Urgency): number {
  return RANK[urgency];
}

/** The local order: first come within a priority, or first come over all. */
export function inOrder(units: Iterable<Unit>, order: "urgency" | "arrival"): Unit[] {
  const byArrival = (a: Unit, b: Unit): number => a.submittedWall - b.submittedWall || (a.key < b.key ? -1 : 1);
  return [...units].sort((a, b) => (order === "urgency" ? rank(a.spec.urgency) - rank(b.spec.urgency) : 0) || byArrival(a, b));
}
