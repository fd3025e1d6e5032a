import { Subject } from "rxjs";
import type { MachineType } from "@thorntrail/protocol/cloud";
import type { Report, ReportAnswer } from "@thorntrail/protocol/worker";
import type { Committer } from "../ledger/committer.js";
import type { Mirror } from "../ledger/mirror.js";
import type { Rentals } from "../ledger/rentals.js";
import type { Needs } from "../pipelines/needs.js";
import type { Overload } from "../overload/overload.js";
import type { Scope } from "../platform/scope.js";
import { RunHistory } from "../queue/history.js";
import type { LocalOrder } from "../queue/order.js";
import type { Shortage } from "../queue/pass.js";
import { Account } from "../served/account.js";
import { Shares } from "../served/shares.js";
import type { Settings } from "../settings/derived.js";
import type { Machine } from "../workers/machine.js";
import type { QuotaShares } from "./quota-shares.js";
import { Audit } from "./audit.js";
import type { NewerToken } from "./ended-terms.js";
import { MachineStartup } from "./machine-startup.js";
import { FindingEffects } from "./finding-effects.js";
import type { Guarantees, TeamUsage } from "./guarantees.js";
import type { LeaderStats, LeaderContext } from "./leader-context.js";
import { OwnedPartitions } from "./owned-partitions.js";
import type { Part } from "./part.js";
import { Scheduler } from "./scheduler.js";
import { Progress } from "./progress.js";
import { Recovery } from "./recovery.js";
import { ReportHandler } from "./report-handler.js";
import { StartGuard } from "./start-guard.js";
import { summarize } from "./summary.js";
import { LeaseWatch } from "./lease-watch.js";

/** Leads the parts this node holds: hands records, reports, time and passes to the duties beside it. */
export class Leader implements LeaderContext {
  readonly parts = new Map<number, Part>();
  readonly history: RunHistory;
  /** Machines with orders that should not wait for the next report. */
  readonly dispatch$ = new Subject<{ part: Part; machine: Machine }>();
  /** Teams short of allotment in a part. */
  readonly short$ = new Subject<{ part: Part; team: string; want: Shortage }>();
  /** Tasks that began to run, with their wait since submission. */
  readonly began$ = new Subject<{ klass: string; waitS: number }>();
  types: MachineType[] = [];
  readonly recovery = new Recovery(this);
  private readonly leaseWatch: LeaseWatch;
  private readonly scheduler: Scheduler;
  private readonly reportHandler: ReportHandler;
  private readonly ownedPartitions: OwnedPartitions;
  /** When the last stall ended in which this node's presence may have run out. */
  private stallEndedAt = -Infinity;
  readonly account = new Account();
  readonly audit: Audit;
  readonly startGuard: StartGuard;
  private wasSilent = false;
  private readonly classShares: Shares;
  readonly stats: LeaderStats = { starts: 0, takeovers: 0, preemptions: 0, fencedMs: 0, superseded: 0 };

  constructor(
    readonly settings: Settings,
    incarnation: string,
    private readonly mirror: Mirror,
    rentals: Rentals,
    needs: Needs,
    committer: Committer,
    private readonly quotaShares: QuotaShares,
    readonly guarantees: Guarantees,
    overload: Overload,
    readonly scope: Scope,
  ) {
    this.audit = new Audit(scope.clock, scope.log, () => mirror.ageMs(), settings.timing.contactMs);
    this.startGuard = new StartGuard(scope);
    this.history = new RunHistory(settings.operators.queue.guesses);
    const progress = new Progress(this, mirror, committer);
    const effects = new FindingEffects(this, progress, this.recovery);
    this.leaseWatch = new LeaseWatch(this, progress, effects, this.recovery);
    this.classShares = new Shares(settings, mirror, scope);
    this.scheduler = new Scheduler(this, quotaShares, guarantees, overload, this.classShares);
    const machineStartup = new MachineStartup(this, mirror, rentals, committer);
    this.reportHandler = new ReportHandler(this, mirror, rentals, progress, machineStartup, effects, this.leaseWatch);
    this.ownedPartitions = new OwnedPartitions(this, incarnation, mirror, rentals, needs, progress, effects, this.leaseWatch);
  }

  start(): void {
    this.classShares.start();
    this.ownedPartitions.start();
    this.scope.routine(
      "summary",
      () => this.settings.operators.exchange.sigma * 1000,
      () => {
        for (const partition of this.parts.values()) summarize(this, this.quotaShares, partition);
      },
    );
    this.scope.routine(
      "watchdog",
      () => this.settings.timing.reportMs / 5,
      () => {
        this.logSilenceChange();
        this.scope.costs.spend("watch", () => this.leaseWatch.look());
      },
    );
  }

  get now(): number {
    return this.scope.clock.now();
  }

  get provenAt(): number {
    return this.mirror.provenAt;
  }

  proveOwnership(): Promise<void> {
    return this.mirror.fresh();
  }

  /**
   * Without proof that we know all cancellations and takeovers, we must stop
   * answering workers early enough that their leases end within `cancel_s`. After a
   * stall in which the part may have been lost, proof from before it counts for nothing:
   * to one that wakes, another's live machines would seem lost, and be returned.
   */
  silent(): boolean {
    return this.mirror.ageMs() > this.settings.timing.silentAfterMs || this.mirror.provenAt < this.stallEndedAt;
  }

  /** Between these two lines this node answered no worker and ordered nothing. */
  private logSilenceChange(): void {
    const silent = this.silent();
    if (silent === this.wasSilent || this.parts.size === 0) return;
    this.wasSilent = silent;
    const terms = Object.fromEntries([...this.parts.values()].map(({ id, term }) => [id, term]));
    const readAgoMs = Math.round(Math.min(this.mirror.ageMs(), Number.MAX_SAFE_INTEGER));
    this.scope.log.info(
      { terms, readAgoMs, silentAfterMs: Math.round(this.settings.timing.silentAfterMs) },
      silent ? "silence begun: no proof of authority" : "silence ended",
    );
  }

  /**
   * Nobody else can lead our parts yet: our presence was there at the last proof, and lasts
   * longer than this. Later, machines that do not report may do so to another, who
   * leads them; returning them as lost or idle would end all that runs on them.
   */
  sure(): boolean {
    return !this.silent() && this.mirror.ageMs() < this.settings.timing.presenceMs / 2;
  }

  /**
   * This process stood still: machines, boots and idle times are given that time
   * again, and run times that may have ended meanwhile teach nothing. Leases are not:
   * workers' clocks ran on.
   */
  stoodStill(ms: number): void {
    if (ms > this.settings.timing.presenceMs / 2) {
      this.stallEndedAt = this.now;
      void this.mirror.fresh().catch(() => undefined);
    }
    for (const partition of this.parts.values()) {
      partition.since += ms;
      for (const machine of partition.machines.values()) {
        machine.heardAt += ms;
        machine.reportedAt += ms;
        machine.hiredAt += ms;
        machine.idleSince += ms;
        for (const placement of machine.placements.values()) placement.timed = false;
      }
    }
  }

  /** Confirmed gone, with everything on it. */
  forgetMachine(partition: Part, machine: Machine): void {
    this.ownedPartitions.forgetMachine(partition, machine);
  }

  supersede(partition: Part, seen: NewerToken): boolean {
    return this.ownedPartitions.endSupersededTerm(partition, seen);
  }

  /** Machines whose lease is over by the clock and not by proof. */
  get unprovenLeases(): number {
    return this.leaseWatch.unprovenLeases;
  }

  /** Since when ownership is not proven anew, in ms. */
  get proofAgeMs(): number {
    return this.mirror.ageMs();
  }

  termEnded(partition: number, term: number): boolean {
    return this.ownedPartitions.endedTerms.hasEnded(partition, term);
  }

  /** This node has claimed the record of the term that it ended: the worker's token was nobody's. */
  newerTokenRefuted(partition: number): void {
    this.ownedPartitions.endedTerms.refuteToken(partition);
  }

  typeOf(name: string): MachineType | undefined {
    return this.types.find((type) => type.name === name);
  }

  /** Types become known, or known anew, from the cloud. */
  setTypes(types: MachineType[]): void {
    this.types = types;
    for (const partition of this.parts.values()) {
      for (const machine of partition.machines.values()) {
        const type = this.typeOf(machine.type);
        if (type !== undefined) machine.capacity = { cpus: type.cpus, gpus: type.gpus, ram: type.ram };
      }
    }
  }

  priceOf(machine: Machine): number {
    const type = this.typeOf(machine.type);
    return type === undefined ? 0 : machine.spot ? type.spotPrice : type.price;
  }

  // ---- what others ask of the duties

  onReport(report: Report): ReportAnswer {
    return this.reportHandler.onReport(report);
  }

  onCommandReply(partition: Part, machine: Machine, report: Report): void {
    this.reportHandler.onCommandReply(partition, machine, report);
  }

  /** What a worker answered to a command with the lowest token, which says what token it has seen. */
  onProbeReply(report: Report): void {
    this.reportHandler.onProbeReply(report);
  }

  wake(): void {
    this.scheduler.requestCycle();
  }

  order(): LocalOrder {
    return this.scheduler.queueOrder();
  }

  use(): TeamUsage[] {
    return this.scheduler.usageByTeam();
  }

  bootMs(machine: Machine): number {
    return this.scheduler.bootMs(machine);
  }
}
