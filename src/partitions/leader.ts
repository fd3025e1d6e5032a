/** Owns partitions on behalf of this node and connects the components that operate them. */
import { Subject } from "rxjs";
import type { MachineType } from "@thorntrail/protocol/cloud";
import type { Report, ReportAnswer } from "@thorntrail/protocol/worker";
import type { GroupCommitter } from "../ledger/group-committer.js";
import type { StateReplica } from "../ledger/state-replica.js";
import type { RentalIndex } from "../ledger/rentals.js";
import type { JobDependencies } from "../pipelines/job-dependencies.js";
import type { OverloadMonitor } from "../overload/overload.js";
import type { Scope } from "../platform/scope.js";
import { RunTimeHistory } from "../queue/history.js";
import type { QueueOrder } from "../queue/queue-order.js";
import type { QuotaShortage } from "../queue/scheduling-cycle.js";
import { ClassAccounting } from "../job-classes/class-accounting.js";
import { ClassShares } from "../job-classes/class-shares.js";
import type { Settings } from "../settings/derived.js";
import type { Machine } from "../workers/machine.js";
import type { QuotaShares } from "../partitions/quota-shares.js";
import { Audit } from "../partitions/audit.js";
import type { NewerToken } from "../partitions/ended-terms.js";
import { MachineStartup } from "../partitions/machine-startup.js";
import { FindingEffects } from "../partitions/finding-effects.js";
import type { Guarantees, TeamUsage } from "../partitions/guarantees.js";
import type { LeaderStats, LeaderContext } from "../partitions/leader-context.js";
import { OwnedPartitions } from "../partitions/owned-partitions.js";
import type { Partition } from "../partitions/partition.js";
import { Scheduler } from "../partitions/scheduler.js";
import { Progress } from "../partitions/progress.js";
import { Recovery } from "../partitions/recovery.js";
import { ReportHandler } from "../partitions/report-handler.js";
import { StartGuard } from "../partitions/start-guard.js";
import { TokenRaiser } from "../partitions/token-raiser.js";
import { summarize } from "../partitions/summary.js";
import { LeaseWatch } from "../partitions/lease-watch.js";

/**
 * Operates the partitions that this node owns. It starts the components that handle changes in the state service,
 * workers' reports, lease expiry and scheduling, and is their interface to the rest of the controller.
 */
export class Leader implements LeaderContext {
  readonly partitions = new Map<number, Partition>();
  readonly history: RunTimeHistory;
  /** Emits each machine to which a command should be sent without waiting for its next report. */
  readonly dispatch$ = new Subject<{ partition: Partition; machine: Machine }>();
  /** Emits teams whose quota share in a partition is too small for their queued tasks. */
  readonly quotaShortage$ = new Subject<{ partition: Partition; team: string; want: QuotaShortage }>();
  /** Emits the job class of each task that starts to run, and its wait since submission in seconds. */
  readonly taskStarted$ = new Subject<{ klass: string; waitS: number }>();
  types: MachineType[] = [];
  readonly recovery = new Recovery(this);
  private readonly leaseWatch: LeaseWatch;
  private readonly scheduler: Scheduler;
  private readonly reportHandler: ReportHandler;
  private readonly ownedPartitions: OwnedPartitions;
  /** When the last stall of this process ended that was long enough for the node's presence key to expire, in ms of the monotonic clock. */
  private stallEndedAt = -Infinity;
  readonly account = new ClassAccounting();
  readonly audit: Audit;
  readonly startGuard: StartGuard;
  private wasSilent = false;
  private readonly classShares: ClassShares;
  readonly stats: LeaderStats = {
    starts: 0,
    takeovers: 0,
    preemptions: 0,
    fencedMs: 0,
    superseded: 0,
    tokensRaised: 0,
    startsRefused: 0,
    seenAgain: 0,
  };

  constructor(
    readonly settings: Settings,
    incarnation: string,
    private readonly replica: StateReplica,
    rentals: RentalIndex,
    needs: JobDependencies,
    committer: GroupCommitter,
    private readonly quotaShares: QuotaShares,
    readonly guarantees: Guarantees,
    overload: OverloadMonitor,
    readonly scope: Scope,
  ) {
    this.audit = new Audit(scope.clock, scope.log, () => replica.ageMs(), settings.timing.contactMs);
    this.startGuard = new StartGuard(scope);
    this.history = new RunTimeHistory(settings.operators.queue.guesses);
    const progress = new Progress(this, replica, committer);
    const effects = new FindingEffects(this, progress, this.recovery);
    this.leaseWatch = new LeaseWatch(this, progress, effects, this.recovery);
    this.classShares = new ClassShares(settings, replica, scope);
    this.scheduler = new Scheduler(this, quotaShares, guarantees, overload, this.classShares);
    const machineStartup = new MachineStartup(this, replica, rentals, committer);
    const tokens = new TokenRaiser(this, replica, committer);
    this.reportHandler = new ReportHandler(this, replica, rentals, progress, machineStartup, effects, this.leaseWatch, tokens);
    this.ownedPartitions = new OwnedPartitions(this, incarnation, replica, rentals, needs, progress, effects, this.leaseWatch);
  }

  /** Starts the components and the periodic routines. */
  start(): void {
    this.classShares.start();
    this.ownedPartitions.start();
    this.scope.routine(
      "summary",
      () => this.settings.operators.exchange.sigma * 1000,
      () => {
        for (const partition of this.partitions.values()) summarize(this, this.quotaShares, partition);
      },
    );
    this.scope.routine(
      "watchdog",
      () => this.settings.timing.reportMs / 5,
      () => {
        this.logSilenceChange();
        this.scope.costs.charge("watch", () => this.leaseWatch.check());
      },
    );
  }

  get now(): number {
    return this.scope.clock.now();
  }

  get provenAt(): number {
    return this.replica.currentAsOf;
  }

  proveOwnership(): Promise<void> {
    return this.replica.refresh();
  }

  /**
   * Returns whether this node must not answer workers. Without a recent read of the state service it may not know of
   * cancellations and takeovers. Tasks of a cancelled job must end within `cancel_s`, so this node stops renewing
   * workers' leases early enough for them to expire by then. A read from before a stall in which the partition may have
   * been lost does not count: this node would consider machines lost whose leases a new owner renews, and return them
   * to the cloud.
   */
  isSilent(): boolean {
    return this.replica.ageMs() > this.settings.timing.silentAfterMs || this.replica.currentAsOf < this.stallEndedAt;
  }

  /** Logs the beginning and the end of the time in which this node answers no worker and orders nothing. */
  private logSilenceChange(): void {
    const silent = this.isSilent();
    if (silent === this.wasSilent || this.partitions.size === 0) return;
    this.wasSilent = silent;
    const terms = Object.fromEntries([...this.partitions.values()].map(({ id, term }) => [id, term]));
    const readAgoMs = Math.round(Math.min(this.replica.ageMs(), Number.MAX_SAFE_INTEGER));
    this.scope.log.info(
      { terms, readAgoMs, silentAfterMs: Math.round(this.settings.timing.silentAfterMs) },
      silent ? "silence begun: no proof of authority" : "silence ended",
    );
  }

  /**
   * Returns whether no other node can own this node's partitions yet: its presence key existed at the newest read of
   * the state service and lasts longer than the time since that read. Later, machines that do not report to this node
   * may report to a new owner, and returning them as lost or idle would end everything that runs on them.
   */
  isSoleOwner(): boolean {
    return !this.isSilent() && this.replica.ageMs() < this.settings.timing.presenceMs / 2;
  }

  /**
   * Compensates for a stall of this process of `ms` milliseconds. The recorded times of reports, rentals and the
   * start of idleness are moved forward by it, and run times measured across it are not used for estimates. Times of
   * lease renewals are not moved, as workers' clocks kept running.
   */
  onStall(ms: number): void {
    if (ms > this.settings.timing.presenceMs / 2) {
      this.stallEndedAt = this.now;
      void this.replica.refresh().catch(() => undefined);
    }
    for (const partition of this.partitions.values()) {
      partition.takenOverAt += ms;
      for (const machine of partition.machines.values()) {
        machine.lastReceivedAt += ms;
        machine.lastReportAt += ms;
        machine.rentedAt += ms;
        machine.idleSince += ms;
        for (const placement of machine.placements.values()) placement.timesReliable = false;
      }
    }
  }

  /** Removes a machine that the cloud has confirmed as deleted, with all attempts on it. */
  forgetMachine(partition: Partition, machine: Machine): void {
    this.ownedPartitions.forgetMachine(partition, machine);
  }

  endSupersededTerm(partition: Partition, seen: NewerToken): boolean {
    return this.ownedPartitions.endSupersededTerm(partition, seen);
  }

  /** Number of machines whose lease has expired by the clock but may have been renewed by a new owner. */
  get unprovenLeases(): number {
    return this.leaseWatch.unprovenLeases;
  }

  /** Age in ms of the newest read of the state service, which proves this node's ownership. */
  get proofAgeMs(): number {
    return this.replica.ageMs();
  }

  /** Returns whether this process ended the term itself because a worker reported a newer token. */
  termEnded(partition: number, term: number): boolean {
    return this.ownedPartitions.endedTerms.hasEnded(partition, term);
  }

  /**
   * Stops accepting tokens of the worker because of which this node ended its term. Called after this node has
   * claimed the partition again while that term was still recorded, which shows that the token was never issued.
   */
  newerTokenRefuted(partition: number): void {
    this.ownedPartitions.endedTerms.refuteToken(partition);
  }

  typeOf(name: string): MachineType | undefined {
    return this.types.find((type) => type.name === name);
  }

  /** Sets the machine types offered by the cloud and updates the capacity of the machines. */
  setTypes(types: MachineType[]): void {
    this.types = types;
    for (const partition of this.partitions.values()) {
      for (const machine of partition.machines.values()) {
        const type = this.typeOf(machine.type);
        if (type !== undefined) machine.capacity = { cpus: type.cpus, gpus: type.gpus, ram: type.ram };
      }
    }
  }

  /** Returns the price of the machine's type, spot or on-demand; 0 if the type is unknown. */
  priceOf(machine: Machine): number {
    const type = this.typeOf(machine.type);
    return type === undefined ? 0 : machine.spot ? type.spotPrice : type.price;
  }

  // ---- delegation to the components

  /** Handles a worker's report and returns the answer to send. */
  onReport(report: Report): ReportAnswer {
    return this.reportHandler.onReport(report);
  }

  /** Handles the report in a worker's reply to a direct command. */
  onCommandReply(partition: Partition, machine: Machine, report: Report): void {
    this.reportHandler.onCommandReply(partition, machine, report);
  }

  /** Handles a worker's reply to a probe (a command with the lowest token), which carries the highest token that it has seen. */
  onProbeReply(report: Report): void {
    this.reportHandler.onProbeReply(report);
  }

  /** Requests a scheduling cycle; requests within the gap between cycles share one. */
  requestSchedulingCycle(): void {
    this.scheduler.requestCycle();
  }

  /** Returns the order of the queues, which depends on the underserved job classes and on the teams' guarantees. */
  queueOrder(): QueueOrder {
    return this.scheduler.queueOrder();
  }

  /** Returns the resource usage by team over all owned partitions. */
  usageByTeam(): TeamUsage[] {
    return this.scheduler.usageByTeam();
  }

  /** Returns the boot time of the machine's type in ms; 0 if the type is unknown. */
  bootMs(machine: Machine): number {
    return this.scheduler.bootMs(machine);
  }
}
