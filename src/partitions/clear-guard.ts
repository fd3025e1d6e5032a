/** Checks the orders to discard attempts immediately before they are sent to a worker. */
import type { Order } from "@thorntrail/protocol/worker";
import type { Scope } from "../platform/scope.js";
import { attemptKey, type Machine } from "../workers/machine.js";
import type { Audit } from "./audit.js";
import type { Partition } from "./partition.js";

/**
 * Leaves out orders to discard an attempt (`clear`) that a copy of a direct start could start again afterwards, and reports a
 * violated invariant. `ordersFor` builds no such order, so one is due to a defect.
 */
export class ClearGuard {
  constructor(
    private readonly scope: Scope,
    private readonly audit: Audit,
  ) {}

  /** Returns the orders without the unsafe ones. They are sent under the token that is granted to the machine. */
  check(partition: Partition, machine: Machine, orders: readonly Order[]): Order[] {
    return orders.filter((order) => order.verb !== "clear" || this.isSafe(partition, machine, order));
  }

  private isSafe(partition: Partition, machine: Machine, { taskId, attempt }: Order): boolean {
    const { directStarts, host, session, grantedToken } = machine;
    const spent = directStarts.spentBy(attemptKey(taskId, attempt), session, grantedToken);
    if (spent !== null) {
      this.audit.logCleared(partition, machine, taskId, attempt, spent);
      return true;
    }
    this.scope.invariants.reportViolation("an attempt is discarded only if no copy of its start can take effect", {
      ...{ part: partition.id, term: partition.term, host, session, token: grantedToken },
      ...{ piece: taskId, attempt },
    });
    return false;
  }
}
