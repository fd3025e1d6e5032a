import type { Urgency } from "@thorntrail/protocol/jobs";
import type { Unit } from "./unit.js";

const RANK: Record<Urgency, number> = { critical: 0, urgent: 1, normal: 2, low: 3 };

export function rank(urgency: Urgency): number {
  return RANK[urgency];
}

export type OrderMode = "aims" | "urgency" | "arrival";

/** Its urgency is that of work which needs it. */
const lifted = (unit: Unit): boolean => unit.urgency !== unit.spec.urgency;

/** How a part's queue is ordered; the lesser first. */
export interface LocalOrder {
  rank: (unit: Unit) => number;
  /** When the job counts as having come, in ms. */
  arrival: (unit: Unit) => number;
  /** How many of its tasks may start in its turn: of one that comes first only to begin, a single one. */
  atOnce: (unit: Unit) => number;
}

export interface OrderContext {
  mode: OrderMode;
  nowWall: number;
  /** Within how many seconds jobs of a class should be done; infinite: no such aim. */
  finishS: (klass: string) => number;
  /** Within how many seconds they should start; infinite: no such aim. */
  startS: (klass: string) => number;
  expectS: (unit: Unit) => number;
  /** What a job of a class without an aim for its end is put back for its size, at most, in seconds. */
  yieldS: number;
  /** An array that has waited for so long, in seconds, without any of its tasks begun, begins. */
  beginS: number;
  /** Within its team's guarantee, and has seconds to start for that: such work need not wait for other teams. */
  guaranteed: (unit: Unit) => boolean;
  /** Of a team that runs less than its guarantee, or of a class served least: it comes before others', in its own order. */
  owed: (unit: Unit) => boolean;
}

/** Of a step between priorities: how far behind those that have it work comes that has it from others. */
const LIFTED = 0.5;

/** Longer than anything waits: what is guaranteed comes before the rest of its priority. */
const AGES_MS = 1e9;

/**
 * What is put back for its size may wait behind all that is smaller for longer than a user's day. So it begins
 * after a while, with one task, which takes next to nothing from the others; the rest keeps its turn.
 */
function beginsNow(unit: Unit, { mode, nowWall, beginS }: OrderContext): boolean {
  const begun = unit.started || unit.done.count > 0 || unit.lo > 0;
  return mode === "aims" && unit.spec.kind === "array" && !begun && nowWall - unit.submittedWall > beginS * 1000;
}

/** Tasks that may be expected to run at the same time; a wider gang takes as much as several. */
const USUAL_WIDTH = 4;

/** Saturates at `most`: nothing is put back further than that, so nothing waits for ever. */
const upTo = (most: number, seconds: number): number => (most * seconds) / (seconds + most);

/**
 * First come within a priority. With `aims`, among classes that should be done
 * in time, a large job counts as having come later, so that several small ones make
 * it instead: by the time its work takes, the less for each further task, up to the
 * time in which it should be done. What is late for its start yields by as much as
 * that aim to what can still make it, and what can no longer be done in time by as
 * much as the other. All are bounded: nothing waits for ever.
 *
 * Jobs of classes without such an aim are put back for all that is left of them: on a day
 * that is too full for all, first come begins everything and finishes little, and an array that is
 * half done serves nobody. What has few tasks left comes first, so what is begun is finished.
 */
export function localOrder(context: OrderContext): LocalOrder {
  return {
    // What only others need in a hurry must not crowd out what is urgent itself.
    rank: (unit) => (context.mode === "arrival" ? 0 : rank(unit.urgency) + (lifted(unit) ? LIFTED : 0)),
    atOnce: (unit) => (beginsNow(unit, context) ? 1 : Infinity),
    arrival: (unit) => {
      if (beginsNow(unit, context)) return unit.submittedWall - 2 * AGES_MS;
      if (context.mode !== "arrival" && context.guaranteed(unit)) return unit.submittedWall - AGES_MS;
      const first = context.mode !== "arrival" && context.owed(unit) ? AGES_MS : 0;
      if (context.mode !== "aims") return unit.submittedWall - first;
      return unit.submittedWall - first + 1000 * putBackS(unit, context);
    },
  };
}

/**
 * By how many seconds a job counts as having come later than it did. What urgent work waits for keeps its turn: the
 * jobs before one deadline are to be over together, not the small ones of many.
 */
function putBackS(unit: Unit, context: OrderContext): number {
  const within = context.finishS(unit.spec.klass);
  const start = context.startS(unit.spec.klass);
  const run = context.expectS(unit);
  if (!Number.isFinite(within) && lifted(unit)) return 0;
  // A class that should start in time is put back by less than that time.
  if (!Number.isFinite(within)) return upTo(Math.min(context.yieldS, start), run * unit.waiting.length);
  const work = run * Math.ceil(unit.waiting.length / USUAL_WIDTH);
  const age = (context.nowWall - unit.submittedWall) / 1000;
  return upTo(within, work) + (age > start ? start : 0) + (age + run > within ? within : 0);
}

export function inOrder(units: Iterable<Unit>, order: LocalOrder): Unit[] {
  const keyed = [...units].map((unit) => ({ unit, rank: order.rank(unit), arrival: order.arrival(unit) }));
  keyed.sort((a, b) => a.rank - b.rank || a.arrival - b.arrival || (a.unit.key < b.unit.key ? -1 : 1));
  return keyed.map(({ unit }) => unit);
}
