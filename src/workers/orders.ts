/**
 * Builds the orders for a machine, to start, stop or discard attempts, for answers to reports and for direct commands.
 */
import type { Order, ReportedTask } from "@thorntrail/protocol/worker";
import { taskId, type Placement } from "../queue/task-set.js";
import type { Machine } from "./machine.js";
import { MAX_REPORT_BYTES } from "./report-endpoint.js";

/** Inputs that determine the orders for a machine besides the state of the machine itself. */
export interface WorkerOrderContext {
  now: number;
  leaseMs: number;
  /** Returns whether the result of an exited attempt is no longer needed on the worker. */
  isClearable: (task: ReportedTask) => boolean;
  /** Called instead of sending a start when other attempts at the task may be on machines. */
  onStartRefused: (placement: Placement, others: readonly Placement[]) => void;
  /** Limit on the number of orders: once it is reached, no further attempt is considered. */
  max: number;
}

/** Size in bytes of the longest entry of a report for one attempt, with the separators. */
const MAX_ENTRY_BYTES = 128;
/** Share of a report for exited attempts that cannot be discarded yet; the rest is for the attempts that use the machine. */
const EXITED_SHARE = 1 / 4;
/**
 * Number of exited attempts on a machine from which its starts are sent in answers to reports only. An attempt started that way
 * can be discarded whatever token the worker has seen, so the list does not outgrow a report.
 */
export const MAX_EXITED_WITH_DIRECT_STARTS = Math.floor((MAX_REPORT_BYTES * EXITED_SHARE) / MAX_ENTRY_BYTES);

/**
 * Returns whether the worker may not yet discard an exited attempt that is no longer needed, because a copy of its direct start
 * could still take effect under the token granted to the worker.
 */
export function hasHeldClear(machine: Machine, isClearable: WorkerOrderContext["isClearable"]): boolean {
  const { directStarts, exited, session, grantedToken } = machine;
  for (const [key, task] of exited) if (directStarts.spentBy(key, session, grantedToken) === null && isClearable(task)) return true;
  return false;
}

/**
 * Returns whether a start and a stop are sent together to resolve a start order that was sent in a direct command
 * (not in the answer to a report) and got no reply. Such a start may arrive for as long as the session lasts:
 * possibly after the user received the answer that the task will not start, and until then the attempt uses capacity
 * and its team's quota. After a start and a stop in one answer to a report, the worker has the attempt registered and
 * ignores a start that arrives later. This is done only while the order is younger than a lease. If the job was
 * cancelled meanwhile without this controller's knowledge, the deadline for a cancellation has then not passed: this
 * controller answers reports for at most `silentAfterMs` after the cancellation, and `silentAfterMs` and a lease
 * together are shorter than `cancel_s`.
 */
function resolvesDirectStart(placement: Placement, { now, leaseMs }: WorkerOrderContext): boolean {
  return placement.directStart === "unresolved" && now - placement.orderedAt < leaseMs;
}

/**
 * Checks, immediately before a start is sent, that no other attempt at the task may be on a machine; if one may be,
 * calls `onStartRefused`.
 */
function canSendStart({ attempts }: Machine, placement: Placement, { onStartRefused }: WorkerOrderContext): boolean {
  const others = attempts.otherAttempts(placement);
  if (others.length > 0) onStartRefused(placement, others);
  return others.length === 0;
}

/**
 * Returns the orders for one machine: starts and stops first, then `clear` orders. `channel` is how they will be sent:
 * in the answer to a report or in a direct command.
 */
export function ordersFor(machine: Machine, channel: "report" | "direct", context: WorkerOrderContext): Order[] {
  const { isClearable, max } = context;
  const orders: Order[] = [];
  for (const placement of machine.placements.values()) {
    if (orders.length >= max) return orders;
    const id = taskId(placement.taskSet, placement.task);
    if (placement.stop !== null) {
      if (channel === "report" && placement.state === null && resolvesDirectStart(placement, context)) {
        if (!canSendStart(machine, placement, context)) continue;
        orders.push(
          { verb: "start", taskId: id, attempt: placement.attempt },
          { verb: "stop", taskId: id, attempt: placement.attempt, graceS: 0 },
        );
      } else if (placement.state !== null && !(placement.state === "saving" && placement.stop.graceS > 0)) {
        orders.push({ verb: "stop", taskId: id, attempt: placement.attempt, graceS: placement.stop.graceS });
      }
    } else if (placement.state === null && !placement.taskSet.ended) {
      if (channel === "direct" && (placement.directStart !== "none" || machine.exited.size >= MAX_EXITED_WITH_DIRECT_STARTS)) continue;
      if (!canSendStart(machine, placement, context)) continue;
      orders.push({ verb: "start", taskId: id, attempt: placement.attempt });
    }
  }
  // `clear` orders, which discard an exited attempt, are sent only in answers to reports, since these cannot overtake
  // each other: after a `clear`, a repeated `start` of the attempt that arrives later would run it again.
  if (channel === "report") {
    const { directStarts, exited, session, grantedToken } = machine;
    for (const [key, task] of exited) {
      if (orders.length >= max) break;
      if (directStarts.spentBy(key, session, grantedToken) !== null && isClearable(task))
        orders.push({ verb: "clear", taskId: task.taskId, attempt: task.attempt });
    }
  }
  return orders;
}
