import type { Urgency } from "../ledger/records.js";
import type { Unit } from "./unit.js";

const RANK: Record<Urgency, number> = { critical: 0, urgent: 1, normal: 2, low: 3 };

export function rank(urgency: Urgency): number {
  return RANK[urgency];
}

export type OrderMode = "aims" | "urgency" | "arrival";

/** How a part's queue is ordered; the lesser first. */
export interface LocalOrder {
  rank: (unit: Unit) => number;
  /** When the job counts as having come, in ms. */
  arrival: (unit: Unit) => number;
}

export interface OrderContext {
  mode: OrderMode;
  nowWall: number;
  /** Within how many seconds jobs of a class should be done; infinite: no such aim. */
  finishS: (klass: string) => number;
  expectS: (unit: Unit) => number;
  /** Within its team's guarantee: such work need not wait for other teams. */
  guaranteed: (unit: Unit) => boolean;
}

/** Longer than anything waits: what is guaranteed comes before the rest of its priority. */
const AGES_MS = 1e9;

/** Tasks that may be expected to run at the same time; a wider gang takes as much as several. */
const USUAL_WIDTH = 4;

/**
 * First come within a priority. With `aims`, among classes that should be done
 * in time, a large job counts as having come later by the time its work takes, so
 * that several small ones make it instead; and one that can no longer make it
 * yields to those that can. Both are bounded: nothing waits for ever.
 */
export function localOrder(context: OrderContext): LocalOrder {
  return {
    rank: (unit) => (context.mode === "arrival" ? 0 : rank(unit.spec.urgency)),
    arrival: (unit) => {
      if (context.mode !== "arrival" && context.guaranteed(unit)) return unit.submittedWall - AGES_MS;
      const within = context.mode === "aims" ? context.finishS(unit.spec.klass) : Infinity;
      if (!Number.isFinite(within)) return unit.submittedWall;
      const run = context.expectS(unit);
      const work = run * Math.ceil(unit.waiting.length / USUAL_WIDTH);
      const late = (context.nowWall - unit.submittedWall) / 1000 + run > within;
      return unit.submittedWall + 1000 * (Math.min(work, within) + (late ? within : 0));
    },
  };
}

export function inOrder(units: Iterable<Unit>, order: LocalOrder): Unit[] {
  const keyed = [...units].map((unit) => ({ unit, rank: order.rank(unit), arrival: order.arrival(unit) }));
  keyed.sort((a, b) => a.rank - b.rank || a.arrival - b.arrival || (a.unit.key < b.unit.key ? -1 : 1));
  return keyed.map(({ unit }) => unit);
}
