/** What a machine is told: starts, stops and clears, for answers to reports and for direct commands. */
import type { Order, ReportedTask } from "@thorntrail/protocol/worker";
import { pieceName, type Placement } from "../queue/unit.js";
import type { Machine } from "./machine.js";

/** What an order may depend on. */
export interface OrderContext {
  now: number;
  leaseMs: number;
  clearable: (task: ReportedTask) => boolean;
  /** A start that must not leave: other attempts of its task may be on machines. */
  refused: (placement: Placement, others: readonly Placement[]) => void;
  /** Orders at most. */
  max: number;
}

/**
 * A direct start without an answer may come as long as the session lasts, which for one that should no longer start
 * may be after its user was told so, and keeps its room and its team's limit until then. Told both at once, in
 * an answer to a report, the worker knows the attempt, and a start that comes later does nothing. Only while the
 * order is young: where its job was cancelled meanwhile without our knowing, the time for that is not over (an
 * answer is given at most a silence after the cancellation, and silence and lease together are within `cancel_s`).
 */
function settlesStart(placement: Placement, { now, leaseMs }: OrderContext): boolean {
  return placement.direct === "unresolved" && now - placement.orderedAt < leaseMs;
}

/** Asserted where starts leave, whatever decided on them. */
function mayLeave({ attempts }: Machine, placement: Placement, { refused }: OrderContext): boolean {
  const others = attempts.others(placement);
  if (others.length > 0) refused(placement, others);
  return others.length === 0;
}

/** Orders for one machine, most urgent first. */
export function ordersFor(machine: Machine, channel: "report" | "direct", context: OrderContext): Order[] {
  const { clearable, max } = context;
  const orders: Order[] = [];
  for (const placement of machine.placements.values()) {
    if (orders.length >= max) return orders;
    const piece = pieceName(placement.unit, placement.task);
    if (placement.stop !== null) {
      if (channel === "report" && placement.state === null && settlesStart(placement, context)) {
        if (!mayLeave(machine, placement, context)) continue;
        orders.push({ verb: "start", piece, attempt: placement.attempt }, { verb: "stop", piece, attempt: placement.attempt, graceS: 0 });
      } else if (placement.state !== null && !(placement.state === "saving" && placement.stop.graceS > 0)) {
        orders.push({ verb: "stop", piece, attempt: placement.attempt, graceS: placement.stop.graceS });
      }
    } else if (placement.state === null && !placement.unit.ended) {
      if (channel === "direct" && placement.direct !== "none") continue;
      if (!mayLeave(machine, placement, context)) continue;
      orders.push({ verb: "start", piece, attempt: placement.attempt });
    }
  }
  // Only in answers to reports, which cannot overtake one another: a `clear`
  // that came before a repeated `start` of the attempt would start it anew.
  if (channel === "report") {
    for (const [key, task] of machine.exited) {
      if (orders.length >= max) break;
      if (!machine.unsettledStarts.has(key) && clearable(task)) orders.push({ verb: "clear", piece: task.piece, attempt: task.attempt });
    }
  }
  return orders;
}
