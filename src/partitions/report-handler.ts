/** Handles workers' reports, replies to direct commands and replies to probes. */
import type { JobSpec } from "@thorntrail/protocol/jobs";
import type { Order, ReportAnswer, Report, ReportedTask } from "@thorntrail/protocol/worker";
import type { StateReplica } from "../ledger/state-replica.js";
import { keys, type JobRecord, type OwnerRecord } from "../ledger/records.js";
import type { RentalIndex } from "../ledger/rentals.js";
import { RateLimitedLog } from "../platform/rate-limited-log.js";
import { Bits } from "../platform/bits.js";
import { newTaskSet, type TaskSet } from "../queue/task-set.js";
import type { Machine } from "../workers/machine.js";
import { newFindings } from "../workers/findings.js";
import { applyReport, type ReportContext } from "../workers/report-intake.js";
import { recordLeaseRenewal } from "../workers/lease.js";
import { hasHeldClear, ordersFor } from "../workers/orders.js";
import { ClearGuard } from "../partitions/clear-guard.js";
import type { MachineStartup } from "../partitions/machine-startup.js";
import type { FindingEffects } from "../partitions/finding-effects.js";
import type { NewerToken } from "../partitions/ended-terms.js";
import type { LeaderContext } from "../partitions/leader-context.js";
import type { Partition } from "../partitions/partition.js";
import type { Progress } from "../partitions/progress.js";
import type { LeaseWatch } from "../partitions/lease-watch.js";
import type { TokenRaiser } from "../partitions/token-raiser.js";

/** Maximum number of orders in one answer to a worker's report. */
const MAX_ORDERS = 250;

/** Applies what workers report to the owned partitions and determines the answers. */
export class ReportHandler {
  private readonly anomalies: RateLimitedLog;
  private readonly clearGuard: ClearGuard;

  constructor(
    private readonly context: LeaderContext,
    private readonly replica: StateReplica,
    private readonly rentals: RentalIndex,
    private readonly progress: Progress,
    private readonly machineStartup: MachineStartup,
    private readonly effects: FindingEffects,
    private readonly leaseWatch: LeaseWatch,
    private readonly tokens: TokenRaiser,
  ) {
    const { clock, log } = context.scope;
    this.clearGuard = new ClearGuard(context.scope, context.audit);
    this.anomalies = new RateLimitedLog(clock, log, context.settings.timing.leaseMs);
  }

  /**
   * Handles a report that a worker sent and returns the answer: orders, a redirect to another controller, or a
   * refusal that renews no lease (`silent`).
   */
  onReport(report: Report): ReportAnswer {
    if (!this.replica.loaded || this.context.isSilent()) return { kind: "silent" };
    const record = this.rentals.get(report.host);
    if (record === undefined) {
      this.anomalies.info({ host: report.host, addr: report.addr, tasks: report.tasks.length }, "report from an unregistered machine");
      return { kind: "elsewhere", boss: null };
    }
    const partition = this.context.partitions.get(record.partition);
    if (partition === undefined)
      return { kind: "elsewhere", boss: this.replica.get<OwnerRecord>(keys.owner(record.partition))?.v.owner ?? null };
    if (report.token > partition.newestToken) {
      this.handleNewerToken(partition, report, "report");
      const owner = this.replica.get<OwnerRecord>(keys.owner(record.partition))?.v.owner ?? null;
      return { kind: "elsewhere", boss: owner === this.context.settings.self ? null : owner };
    }
    const machine = partition.machines.get(report.host);
    if (machine === undefined || machine.deleting) return { kind: "silent" };
    const newer = this.applyReport(partition, machine, report, true);
    if (!machine.up) this.machineStartup.record(partition, machine);
    const free = newer && machine.fenced;
    if (free && hasHeldClear(machine, this.isClearable)) this.tokens.raise(partition, machine);
    else if (free) machine.clearHeldSince = null;
    if (newer) machine.exitedSinceReport = false;
    const orders = machine.up ? this.orders(partition, machine) : [];
    if (free) for (const placement of machine.placements.values()) if (placement.state === null) placement.startSentSeq = report.seq;
    recordLeaseRenewal(machine, newer, this.context.now);
    // Every answer renews the lease, so each contains the stop orders: a machine that receives nothing more would
    // otherwise run tasks of cancelled jobs for another lease. Other orders are sent only to a fenced machine and only in
    // answer to its newest report.
    const allowed = free ? this.clearGuard.check(partition, machine, orders) : orders.filter(({ verb }) => verb === "stop");
    return { kind: "orders", token: machine.grantedToken, orders: allowed };
  }

  private orders(partition: Partition, machine: Machine): Order[] {
    return ordersFor(machine, "report", {
      now: this.context.now,
      leaseMs: this.context.settings.timing.leaseMs,
      isClearable: this.isClearable,
      onStartRefused: (placement, others) => this.context.startGuard.reportRefusal(partition, placement, others),
      max: MAX_ORDERS,
    });
  }

  /**
   * Returns whether the worker may be ordered to discard the exited attempt; a finished one only after its result is
   * durable.
   */
  private readonly isClearable = (task: ReportedTask): boolean => task.cause !== "done" || this.progress.isRecordedDone(task.taskId);

  /** Handles the report in a worker's reply to a direct command. */
  onCommandReply(partition: Partition, machine: Machine, report: Report): void {
    if (this.context.partitions.get(partition.id) !== partition || partition.machines.get(machine.host) !== machine) return;
    if (report.token > partition.newestToken) return this.handleNewerToken(partition, report, "command reply");
    this.applyReport(partition, machine, report, false);
  }

  /** Handles a worker's reply to a probe. Only the token in it is used. */
  onProbeReply(report: Report): void {
    const partition = this.context.partitions.get(this.rentals.get(report.host)?.partition ?? -1);
    if (partition !== undefined && report.token > partition.newestToken) this.handleNewerToken(partition, report, "probe");
  }

  /**
   * Handles a worker's report whose token is above all that this owner granted. The rest of the report is ignored, as a newer
   * owner may have had tasks stopped, discarded and restarted.
   */
  private handleNewerToken(partition: Partition, { host, token }: Report, seenIn: NewerToken["seenIn"]): void {
    if (this.context.endSupersededTerm(partition, { host, token, seenIn })) return;
    this.anomalies.info({ part: partition.id, term: partition.term, host, token, seenIn }, "a worker shows a token that nobody was given");
  }

  /** Applies a report to the partition. Returns whether it was newer than every earlier report from this machine. */
  private applyReport(partition: Partition, machine: Machine, report: Report, viaReport: boolean): boolean {
    const findings = newFindings();
    const context: ReportContext = {
      now: this.context.now,
      viaReport,
      leaseMs: this.context.settings.timing.leaseMs,
      coolMs: this.context.settings.timing.reportMs,
      placeholderFor: (ref) => this.placeholder(ref),
    };
    const wasDraining = machine.draining;
    const newer = applyReport(partition, machine, report, context, findings);
    if (!wasDraining && machine.draining)
      this.context.scope.log.info({ part: partition.id, host: machine.host }, "machine set aside: it failed tasks of several jobs");
    this.effects.apply(partition, findings);
    if (newer && partition.phase === "fencing") this.leaseWatch.checkFence(partition);
    return newer;
  }

  /** Returns a task set that stands in for a job that does not run in this partition, so that its resource usage counts. */
  private placeholder(ref: string): TaskSet {
    const job = this.replica.get<JobRecord>(keys.job(ref))?.v;
    const spec: JobSpec =
      job?.spec ??
      ({
        ref,
        klass: "",
        team: "",
        kind: "array",
        urgency: "low",
        tasks: 1,
        cpus: 0,
        gpus: 0,
        ram: 0,
        types: null,
        zone: null,
        oneZone: false,
        spread: false,
        spot: true,
        image: "",
        imageGb: 0,
        guessS: 0,
        checkpointS: 0,
        flushS: 0,
        deadlineS: null,
      } satisfies JobSpec);
    const taskSet = newTaskSet(`placeholder/${ref}`, { ...spec }, 0, 0, new Bits(0), 0, this.context.now);
    taskSet.ended = true;
    return taskSet;
  }
}
