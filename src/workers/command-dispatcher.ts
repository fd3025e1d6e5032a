/** Direct commands from a partition's owner to its workers. */
import type { Leader } from "../partitions/leader.js";
import type { Partition } from "../partitions/partition.js";
import { CallError } from "@thorntrail/protocol/errors";
import type { WorkerApi } from "@thorntrail/protocol/worker";
import type { Calls } from "../calls/calls.js";
import { workersWithPolicy } from "../calls/policy-clients.js";
import type { Scope } from "../platform/scope.js";
import { taskId } from "../queue/task-set.js";
import { attemptKey, type Machine } from "./machine.js";
import { ordersFor } from "./orders.js";

/** Maximum number of orders in one command. */
const MAX_DIRECT_ORDERS = 100;

/**
 * Sends orders directly to workers to reduce latency; every order is also part of the
 * answer to the worker's next report. While a machine is being fenced, the command
 * carries the new token and no orders.
 */
export class CommandDispatcher {
  constructor(
    private readonly leader: Leader,
    private readonly workers: WorkerApi,
    private readonly calls: Calls,
    private readonly scope: Scope,
  ) {}

  /** Sends a command whenever the partition owner requests one for a machine. */
  start(): void {
    this.scope.listen(
      this.leader.dispatch$,
      ({ partition, machine }) => void this.scope.costs.charge("order", () => this.send(partition, machine)),
    );
  }

  private async send(partition: Partition, machine: Machine): Promise<void> {
    const now = this.scope.clock.now();
    if (machine.commandInFlight || machine.addr === null || machine.deleting || this.leader.isSilent()) return;
    if (this.leader.partitions.get(partition.id) !== partition) return;
    const fencing = !machine.fenced;
    if (!machine.up || now < machine.nextCommandAt || (!fencing && machine.lost)) return;
    const orders = fencing
      ? []
      : ordersFor(machine, "direct", {
          now,
          leaseMs: this.leader.settings.timing.leaseMs,
          isClearable: () => false,
          onStartRefused: (placement, others) => this.leader.startGuard.reportRefusal(partition, placement, others),
          max: MAX_DIRECT_ORDERS,
        });
    if (!fencing && orders.length === 0) return;
    machine.commandInFlight = true;
    const caller = this.calls.of(fencing ? "worker.fence" : "worker.order");
    let failed = false;
    const recordFailure = (why: string): void => {
      failed = true;
      machine.lastCommandError = why;
      machine.nextCommandAt = this.scope.clock.now() + caller.nextPauseMs(++machine.failedCommands);
    };
    const session = Math.max(1, machine.session);
    const startKeys = orders.filter((order) => order.verb === "start").map((order) => attemptKey(order.taskId, order.attempt));
    const token = machine.grantedToken;
    for (const key of startKeys) {
      machine.directStarts.recordSent(key, session, token);
      machine.placements.get(key)!.directStart = "flying";
    }
    const resolveStarts = (resolution: "none" | "unresolved" | "answered"): void => {
      if (machine.session !== session) return; // a new session has begun, so the command can no longer take effect
      for (const key of startKeys) {
        if (resolution === "none") machine.directStarts.forget(key);
        const placement = machine.placements.get(key);
        if (placement !== undefined && placement.directStart === "flying") placement.directStart = resolution;
      }
    };
    let retryNow = false;
    try {
      const reply = await workersWithPolicy(this.workers, caller).command(machine.addr, token, session, orders);
      resolveStarts(reply.executed ? "answered" : "none");
      retryNow = fencing && !reply.executed && reply.report.session !== session;
      if (!reply.executed && startKeys.length > 0) {
        this.leader.stats.startsRefused += startKeys.length;
        this.leader.audit.logStartsRefused(partition, machine, { token, session }, reply.report, startKeys.length);
      }
      // The worker refused because it has a higher token or another session. An immediate
      // retry would be refused again; the next report carries the current state.
      if (!reply.executed && !retryNow) recordFailure(`refused: token ${reply.report.token}, session ${reply.report.session}`);
      else Object.assign(machine, { failedCommands: 0, lastCommandError: null });
      if (fencing && reply.executed && machine.answeredAt > now) machine.answeredAt = this.scope.clock.now();
      this.leader.onCommandReply(partition, machine, reply.report);
    } catch (error) {
      if (!(error instanceof CallError)) throw error;
      resolveStarts(caller.mayHaveActed(error) ? "unresolved" : "none");
      recordFailure(error.message);
    } finally {
      machine.commandInFlight = false;
    }
    const hasUnsentOrders = [...machine.placements.values()].some(
      (placement) =>
        (placement.state === null && placement.directStart === "none" && placement.stop === null) ||
        (placement.stop !== null &&
          !orders.some(
            (order) =>
              order.verb === "stop" &&
              attemptKey(order.taskId, order.attempt) === attemptKey(taskId(placement.taskSet, placement.task), placement.attempt),
          )),
    );
    if (retryNow || (hasUnsentOrders && !failed)) void this.send(partition, machine);
  }
}
