import { randomBytes } from "node:crypto";
import { QuotaShares } from "./partitions/quota-shares.js";
import { Fitness } from "./partitions/fitness.js";
import { Guarantees } from "./partitions/guarantees.js";
import { Leader } from "./partitions/leader.js";
import { Ownership } from "./partitions/ownership.js";
import { Configuration } from "./configuration/configuration.js";
import { GroupCommitter } from "./ledger/group-committer.js";
import { StateReplica } from "./ledger/state-replica.js";
import type { PresenceRecord } from "./ledger/records.js";
import { RentalIndex } from "./ledger/rentals.js";
import type { Calls } from "./calls/calls.js";
import { cloudWithPolicies, stateWithPolicies, workersWithPolicy } from "./calls/policy-clients.js";
import type { CloudApi } from "@thorntrail/protocol/cloud";
import { TokenBucket } from "@thorntrail/protocol/token-bucket";
import type { StateApi } from "@thorntrail/protocol/state";
import type { WorkerApi } from "@thorntrail/protocol/worker";
import { Exchange } from "./exchange/exchange.js";
import { Fleet } from "./fleet/fleet.js";
import { Admission } from "./intake/admission.js";
import { Jobs } from "./intake/jobs.js";
import { Submissions } from "./intake/submissions.js";
import { Relay } from "./intake/relay.js";
import { FailureDetector } from "./membership/failure-detector.js";
import { Presence } from "./membership/presence.js";
import { JobDependencies } from "./pipelines/job-dependencies.js";
import { OverloadMonitor, type MemoryUsage } from "./overload/overload.js";
import type { PeerApi } from "./peers/links.js";
import type { Scope } from "./platform/scope.js";
import type { Settings } from "./settings/derived.js";
import { CommandDispatcher } from "./workers/command-dispatcher.js";

/** A controller whose timers are late by more than this share of the presence timeout raises no suspicions: it may itself be at fault. */
const LATE_TIMER_SHARE = 1 / 8;

/** What a controller needs from outside: clients of the other processes, and the time limits and retry rules for calls to them. */
export interface ControllerDependencies {
  state: StateApi;
  cloud: CloudApi;
  workers: WorkerApi;
  peers: PeerApi;
  /** Applies time limits and retry rules to all calls to other processes. */
  calls: Calls;
  /** Memory usage of this process; left out in virtual time, where it is not modelled. */
  memory?: () => MemoryUsage;
}

/** One controller: creates, connects and starts all its components. */
export class Controller {
  readonly replica: StateReplica;
  readonly configuration: Configuration;
  readonly rentals: RentalIndex;
  readonly needs: JobDependencies;
  readonly committer: GroupCommitter;
  readonly presence: Presence;
  readonly detector: FailureDetector;
  readonly ownership: Ownership;
  readonly fitness: Fitness;
  readonly quotaShares: QuotaShares;
  readonly guarantees: Guarantees;
  readonly leader: Leader;
  readonly dispatch: CommandDispatcher;
  readonly fleet: Fleet;
  readonly exchange: Exchange;
  readonly jobs: Jobs;
  readonly relay: Relay;
  readonly overload: OverloadMonitor;
  readonly stalls = { count: 0, ms: 0 };
  readonly calls: Calls;
  private stateReportedAt = new Map<string, number>();

  constructor(
    readonly settings: Settings,
    private readonly deps: ControllerDependencies,
    private readonly scope: Scope,
    incarnation = randomBytes(6).toString("hex"),
  ) {
    const { clock, log } = scope;
    const { cloud } = settings.platform.deployment;
    const { state } = settings;
    const share = 1 / settings.nodes.length;
    const requests = new TokenBucket(clock, state.rps * share);
    const writes = new TokenBucket(clock, state.writeRps * share, Math.max(state.txnOps, state.writeRps * share));
    const { timing } = settings;
    const { calls } = deps;
    this.calls = calls;
    const service = stateWithPolicies(deps.state, calls, clock);
    // A blocking read of the state service proves contact only as of the time it began, so two in a
    // row must take much less than the replica age at which this node counts as cut off.
    const pace = { readGapMs: 3000 / (state.rps * share), blockMs: Math.min(timing.contactMs, timing.silentAfterMs / 2) / 4 };
    this.replica = new StateReplica(service, clock, requests, pace, calls.of("state.read"), scope.costs);
    this.configuration = new Configuration(settings, this.replica, scope);
    this.rentals = new RentalIndex(this.replica);
    this.needs = new JobDependencies(this.replica);
    this.committer = new GroupCommitter(
      service,
      this.replica,
      clock,
      requests,
      writes,
      calls.of("state.txn"),
      { txnOps: state.txnOps, slowAfterMs: timing.stateTimeoutMs / 20 },
      log,
      scope.costs,
    );
    this.overload = new OverloadMonitor({
      settings,
      scope,
      memory: deps.memory ?? (() => ({ resident: 0, heap: 0, heapMax: 0 })),
      backlog: () => this.committer.backlog,
    });
    this.presence = new Presence({
      settings,
      incarnation,
      state: service,
      replica: this.replica,
      rate: requests,
      calls: calls.of("state.lease"),
      scope,
      cutOff: () => this.fitness.unfit,
      acts: () => this.presenceActs(),
    });
    this.detector = new FailureDetector({
      settings,
      presence: this.presence,
      replica: this.replica,
      committer: this.committer,
      peers: deps.peers,
      scope,
      lagging: () => this.overload.measured.lagMs > timing.presenceMs * LATE_TIMER_SHARE,
    });
    this.ownership = new Ownership({
      settings,
      incarnation,
      presence: this.presence,
      detector: this.detector,
      replica: this.replica,
      committer: this.committer,
      scope,
      onTaken: (partition, term, reason, silentMs) => {
        if (reason === "own ended term") this.leader.newerTokenRefuted(partition);
        this.leader.recovery.recordClaim(partition, term, reason, silentMs);
      },
      termEnded: (partition, term) => this.leader.termEnded(partition, term),
      canReachMachines: (partition) => this.fitness.canReachMachines(partition),
    });
    this.quotaShares = new QuotaShares(settings, this.configuration, () => this.leader.partitions, this.replica, this.committer, scope);
    this.guarantees = new Guarantees(settings, this.configuration, this.replica, this.needs, scope);
    this.leader = new Leader(
      settings,
      incarnation,
      this.replica,
      this.rentals,
      this.needs,
      this.committer,
      this.quotaShares,
      this.guarantees,
      this.overload,
      scope,
    );
    const probes = workersWithPolicy(deps.workers, calls.of("worker.probe"));
    this.fitness = new Fitness(
      settings,
      this.leader.partitions,
      this.rentals,
      probes,
      () => this.stateReachable(),
      (report) => this.leader.onProbeReply(report),
      scope,
    );
    this.dispatch = new CommandDispatcher(this.leader, deps.workers, calls, scope);
    const { leader, ownership, quotaShares, replica, rentals, needs, committer } = this;
    const { peers } = deps;
    this.fleet = new Fleet({
      settings,
      cloud: cloudWithPolicies(deps.cloud, calls),
      leader,
      quotaShares,
      replica,
      rentals,
      committer,
      rate: new TokenBucket(clock, cloud.rps * share, Math.max(1, cloud.rps * share * 2)),
      calls,
      peers,
      overload: this.overload,
      scope,
    });
    const { overload } = this;
    this.exchange = new Exchange({
      settings,
      incarnation,
      leader,
      ownership,
      quotaShares,
      replica,
      needs,
      committer,
      peers,
      overload,
      scope,
    });
    const admission = new Admission(this.configuration, leader);
    const submissions = new Submissions({
      settings,
      configuration: this.configuration,
      admission,
      leader,
      ownership,
      replica,
      rentals,
      needs,
      committer,
      scope,
    });
    this.jobs = new Jobs(settings, leader, replica, needs, submissions, admission, committer, overload, scope);
    this.relay = new Relay(settings, this.jobs, deps.peers, () => this.peersReachingState(), scope, incarnation);
  }

  start(): void {
    this.scope.listen(this.scope.clock.stall$, (ms) => this.onStall(ms));
    this.scope.routine(
      "awake",
      () => this.settings.timing.stallMs / 5,
      () => void this.scope.clock.now(),
    );
    this.overload.start();
    this.leader.start();
    this.fitness.start();
    this.dispatch.start();
    this.replica.start(this.scope);
    this.presence.start();
    this.detector.start();
    this.ownership.start();
    this.quotaShares.start();
    this.guarantees.start();
    this.fleet.start();
    this.exchange.start();
    this.relay.start();
    this.scope.listen(this.deps.peers.incoming$, ({ from, message }) => {
      if (!("Health" in message)) return;
      if (message.Health.stateOk) this.stateReportedAt.set(from, this.scope.clock.now());
      this.guarantees.noteReport(from, message.Health.use);
      this.fitness.notePeerReport(from, message.Health.hears);
    });
    this.scope.routine(
      "health",
      () => this.settings.timing.reportMs / 4,
      () => {
        const message = {
          Health: { stateOk: this.stateReachable(), hears: this.fitness.ownReachability(), use: this.leader.usageByTeam() },
        };
        for (const node of this.settings.nodes) if (node !== this.settings.self) this.deps.peers.send(node, message);
      },
    );
  }

  /**
   * Returns what this controller's presence record publishes: the configuration version that it applies, and the newest
   * ownership term up to which all its partitions are fenced, since the former owner of a partition may act until it is
   * fenced. Null if the configuration was never changed.
   */
  private presenceActs(): PresenceRecord["acts"] | null {
    const { version } = this.configuration;
    if (version === 0) return null;
    const partitions = [...this.leader.partitions.values()];
    const fencing = partitions.filter(({ phase }) => phase === "fencing").map(({ term }) => term - 1);
    return { version, term: fencing.length > 0 ? Math.min(...fencing) : Math.max(0, ...partitions.map(({ term }) => term)) };
  }

  /** Counts a stall (time in which this process was not scheduled) and notifies the components that have to react. */
  private onStall(ms: number): void {
    this.stalls.count++;
    this.stalls.ms += Math.round(ms);
    this.leader.onStall(ms);
    this.presence.onStall(ms);
    this.detector.onStall(ms);
    this.fleet.onStall(ms);
    this.scope.log.warn(
      { ms: Math.round(ms), parts: [...this.leader.partitions.keys()] },
      "this process stood still while its clocks ran on",
    );
  }

  /** Whether the replica's age proves recent contact with the state service. */
  private stateReachable(): boolean {
    return this.replica.loaded && this.replica.ageMs() < this.settings.timing.contactMs;
  }

  /** Peers that reported within the last report interval that they reach the state service. */
  private peersReachingState(): string[] {
    const now = this.scope.clock.now();
    return [...this.stateReportedAt].filter(([, at]) => now - at < this.settings.timing.reportMs).map(([node]) => node);
  }

  /**
   * Returns why this node should get no users' requests; null if it may get them. The node reports unready only if
   * another node is better: in an outage of the state service all nodes are equal, and being marked unhealthy would
   * delay users after the outage ends.
   */
  unreadyReason(): string | null {
    if (!this.replica.loaded) return "starting";
    if (this.leader.types.length === 0) return "machine types are not known yet";
    if (this.stateReachable()) return null;
    if (this.peersReachingState().length > 0) return "the state service refuses this node";
    return null;
  }
}
