/** Virtual world: the whole environment of the controllers, simulated in virtual time. */
import type { CloudApi, MachineType, MachineOffering } from "@thorntrail/protocol/cloud";
import { CallError } from "@thorntrail/protocol/errors";
import type { JobSpec } from "@thorntrail/protocol/jobs";
import { TokenBucket } from "@thorntrail/protocol/token-bucket";
import type { StateApi } from "@thorntrail/protocol/state";
import type { CommandReply, Report, ReportAnswer, WorkerApi } from "@thorntrail/protocol/worker";
import type { StoreLimits } from "@thorntrail/store/store";
import { Subject } from "rxjs";
import { type HistoryEvent, type CheckLimits } from "../checker.js";
import { SimulatedUsers } from "../simulated-users.js";
import { CloudModel, type CloudModelOptions } from "../cloud-model.js";
import type { Observation } from "../scenario-driver.js";
import { MessageCopies } from "../message-copies.js";
import { NetworkRules } from "../network-rules.js";
import { seededRandom } from "../random.js";
import { isTakeover } from "../recovery.js";
import { Worker, type WorkerDependencies } from "../worker-model.js";
import { VirtualClock } from "./clock.js";
import { NodeClock } from "./node-clock.js";
import { connectCloud, VirtualState, type RunInProcess } from "./service-links.js";
import { VirtualUsers, type Answer, type SendRequest, type RequestKind } from "./users.js";

export type { Answer, RequestKind };

/** Teams, machine types, controllers, limits and clock drift of a virtual world. */
export interface WorldOptions {
  seed: number;
  teams: TeamSettings[];
  types: MachineType[];
  capacity: Map<string, number>;
  controllers: number;
  state: StoreLimits;
  /** The announced future limits of the state service, as in the settings. */
  next: { rps?: number; write_rps?: number; value_kb?: number; txn_ops?: number };
  sockets?: number;
  /**
   * Fraction by which the monotonic clocks of controllers and workers all run slow. This is the worst case for leases, because
   * their holders notice the end of a lease late.
   */
  clockDrift?: number;
  objectives?: { kind: string; class?: string; within_s?: number; share?: number }[];
  /** Shares of machines that never boot, boot late or early. If it is absent, all boot in their nominal time. */
  boots?: NonNullable<CloudModelOptions["boots"]>;
}

/** Quotas of a team, as in the settings. */
export interface TeamSettings {
  name: string;
  cpus: number;
  cpus_max: number;
  gpus: number;
  gpus_max: number;
}

type LogLine = (entry: unknown, text?: string) => void;

/** Settings, clock, services and connections that a controller is given in virtual time. */
export interface ControllerDependencies {
  /** The platform's settings, as parsed from its file. */
  platform: Record<string, unknown>;
  clock: NodeClock;
  state: StateApi;
  cloud: CloudApi;
  workers: WorkerApi;
  peers: {
    incoming$: Subject<{ from: string; message: unknown }>;
    send: (to: string, message: unknown) => boolean;
    unreachableSince: (to: string) => number | null;
  };
  log: { error: LogLine; warn: LogLine; info: LogLine; debug: LogLine };
  incarnation: string;
}

/** The interface by which the virtual world calls a controller. */
export interface ControllerPort {
  onReport(report: Report): ReportAnswer;
  answer(kind: RequestKind, body: unknown): Promise<Answer>;
  close(): void;
}

/** Returns a configuration with three controllers, the usual limits of the state service, and no teams or machines. */
export function defaultWorldOptions(): WorldOptions {
  return {
    seed: 1,
    teams: [],
    types: [],
    capacity: new Map(),
    controllers: 3,
    state: { rps: 100, writeRps: 25, valueKb: 32, txnOps: 16 },
    next: {},
  };
}

interface ControllerNode<C> {
  name: string;
  controller: C | null;
  clock: NodeClock | null;
  incoming$: Subject<{ from: string; message: unknown }>;
}

/** Run time of tasks for which no run time is given, in ms. */
const DEFAULT_RUN_MS = 10_000;
/**
 * Combined with the seed of the run into seeds of separate random sequences for simulated users and for faults, so that a run without
 * them stays the same for each seed.
 */
const SIMULATED_USERS_SEED = 0x5eed;
const FAULT_SEED = 0xfa17;
/** Maximum delay in ms between a takeover of a partition and the delivery of the copies of worker reports stored for it. */
const STORED_REPORT_DELAY_MS = 500;

/** State service, cloud, workers, users and network in virtual time, with a seeded random source. */
export class VirtualWorld<C extends ControllerPort> {
  readonly clock = new VirtualClock();
  readonly history: HistoryEvent[] = [];
  /** Called for each event of the history as it occurs, except unanswered polls and requests to cancel. */
  onEvent: (event: HistoryEvent) => void = () => undefined;
  readonly links = new NetworkRules(() => this.faultRandom());
  readonly copies = new MessageCopies(this.links, this.clock, () => this.faultRandom());
  readonly state: VirtualState;
  readonly cloud: CloudModel;
  readonly nodes = new Map<string, ControllerNode<C>>();
  readonly workers = new Map<string, Worker>();
  readonly specs = new Map<string, JobSpec>();
  readonly runTimesMs = new Map<string, number>();
  readonly failingHosts = new Set<string>();
  /** Ids of jobs with a defect of their own, whose tasks fail on every machine. */
  readonly defectiveJobs = new Set<string>();
  readonly errors: string[] = [];
  /** The texts of the controllers' log lines, without their other fields. */
  readonly logMessages: string[] = [];
  /** Log lines of controllers and requests to services, which can mark an injection point (an event that a fault waits for). */
  readonly observations$ = new Subject<Observation>();
  private readonly savedProgress = new Map<string, number>();
  private readonly slowdowns = new Map<string, number>();
  private cloudDown = false;
  /**
   * Seeded random source of everything but simulated users and faults. Among the faults, only repeated worker reports (effect
   * `again`) use it.
   */
  readonly random: () => number;
  /** Random source of all other faults. It is separate, so that runs without faults stay the same for each seed. */
  private readonly faultRandom: () => number;
  private incarnations = 0;
  fetchMs = 1000;
  private readonly virtualUsers: VirtualUsers;
  /** Simulated users, in addition to those of the scenario or plan. */
  readonly simulatedUsers: SimulatedUsers;
  /** Copies of worker reports that are delivered to all controllers when any controller takes over a partition. */
  private storedReports: Report[] = [];
  /** Number of copies of worker reports that were delivered after a takeover. */
  storedReportsDelivered = 0;

  constructor(
    readonly options: WorldOptions,
    private readonly spawn: (asked: ControllerDependencies) => C,
  ) {
    this.random = seededRandom(options.seed);
    this.faultRandom = seededRandom(options.seed ^ FAULT_SEED);
    this.state = new VirtualState(this.clock, () => 2 + this.random() * 6, options.state, this.links, this.copies);
    this.state.onRequest = (node, what, detail) => this.observations$.next({ at: this.clock.now(), node, what, detail: { apply: detail } });
    const { types, capacity, boots } = options;
    this.cloud = new CloudModel(this.clock, {
      types,
      capacity: new Map(capacity),
      lagMs: 3000,
      ...(boots === undefined ? {} : { boots, random: () => this.random() }),
    });
    this.virtualUsers = new VirtualUsers({
      clock: this.clock,
      history: this.history,
      specs: this.specs,
      connect: (name) => this.connect(name),
      recordEvent: (event) => this.recordEvent(event),
    });
    this.simulatedUsers = new SimulatedUsers(
      {
        controllers: () => [...this.nodes.keys()],
        submit: (wire, spec, node, never) => this.submit(wire, spec, node, never),
        poll: (ref, node) => this.poll(ref, node),
        cancel: (ref, node) => this.cancel(ref, node),
        runMs: (ref) => this.runTimesMs.get(ref) ?? DEFAULT_RUN_MS,
      },
      this.clock,
      seededRandom(options.seed ^ SIMULATED_USERS_SEED),
    );
    this.observations$.subscribe(({ what }) => {
      if (!isTakeover(what)) return;
      this.clock.after(STORED_REPORT_DELAY_MS * this.faultRandom(), () => this.deliverStoredReports());
      this.copies.releaseAll();
    });
    this.cloud.onBoot = (host, offer) => this.bootMachine(host, offer);
    this.cloud.onRemoved = (host) => {
      if (this.workers.has(host)) this.recordEvent({ at: this.clock.now(), kind: "gone", host });
      this.workers.get(host)?.remove();
      this.workers.delete(host);
    };
    for (let i = 0, name = "nest-0"; i < options.controllers; name = `nest-${++i}`)
      this.nodes.set(name, { name, controller: null, clock: null, incoming$: new Subject() });
  }

  limits(): CheckLimits {
    return {
      cancelMs: 43_000,
      historyEndAt: this.clock.now(),
      teams: new Map(this.options.teams.map((t) => [t.name, { cpus: t.cpus_max, gpus: t.gpus_max }])),
    };
  }

  private settingsOf(name: string): Record<string, unknown> {
    return {
      host_name: name,
      area: "a",
      front: "127.0.0.1:1",
      peer_listen: "127.0.0.1:1",
      known: [...this.nodes.keys()].filter((n) => n !== name).map((n) => ({ host_name: n, area: "a", peer_addr: "127.0.0.1:1" })),
      endpoints: { cloud: "127.0.0.1:1", state: "127.0.0.1:1" },
      deployment: {
        size: this.nodes.size,
        zones: ["a", "b"],
        clock_off_ms: 1000,
        teams: this.options.teams,
        objectives: this.options.objectives ?? [],
        workers: { report_s: 2.5, lease_s: 18, gang_wait_s: 35, gang_peer_s: 4, cancel_s: 43 },
        state: {
          rps: this.options.state.rps,
          write_rps: this.options.state.writeRps,
          value_kb: this.options.state.valueKb,
          txn_ops: this.options.state.txnOps,
          next: this.options.next,
        },
        cloud: { rps: 5, list_lag_s: 3 },
        quota: { core_share: 0.3, mem_mb: 178, sockets: this.options.sockets ?? 1500 },
      },
    };
  }

  startController(name: string): void {
    const node = this.nodes.get(name)!;
    if (node.controller !== null) return;
    const log = (entry: unknown, text?: string): void => {
      if (text === undefined) return;
      this.logMessages.push(text);
      this.observations$.next({ at: this.clock.now(), node: name, what: text, detail: entry as Record<string, unknown> });
      if (process.env["SCENARIO_LOG"] !== undefined) console.log((this.clock.now() / 1000).toFixed(2), name, text, JSON.stringify(entry));
    };
    const clock = new NodeClock(this.clock, 1 - (this.options.clockDrift ?? 0));
    node.clock = clock;
    // Responses and timeouts for a controller process that has ended are dropped.
    const runInProcess: RunInProcess = (fn) => {
      if (node.clock === clock) clock.deliver(() => (node.clock === clock ? fn() : undefined));
    };
    const send = (to: string, message: unknown): boolean => {
      const receive = (): boolean => {
        this.runnerFor(to)(() => this.nodes.get(to)?.incoming$.next({ from: name, message }));
        return this.nodes.get(to)?.controller !== null;
      };
      const receiveAndCopy = (): void => {
        receive();
        this.copies.carriedOut({ from: name, to, what: "peer" }, receive);
      };
      // During a cut, messages between controllers are dropped and not held, because controllers give up a stalled connection.
      this.deliver(name, to, "peer", receiveAndCopy, false);
      return true;
    };
    // A controller that has ended refuses connections; one that is stalled or cut off keeps them open.
    const connected = new Set<string>();
    const lostSince = new Map<string, number>();
    const unreachableSince = (to: string): number | null => {
      const down = this.nodes.get(to)?.controller === null || this.links.isRefused({ from: name, to, what: "peer" });
      if (!down) connected.add(to);
      if (!down || !connected.has(to)) lostSince.delete(to);
      else if (!lostSince.has(to)) lostSince.set(to, this.clock.now());
      return lostSince.get(to) ?? null;
    };
    const cloudRate = new TokenBucket(this.clock, 5, 10);
    node.controller = this.spawn({
      platform: this.settingsOf(name),
      clock,
      state: this.state.client(name, runInProcess),
      cloud: connectCloud(
        this.cloud,
        {
          clock: this.clock,
          links: this.links,
          node: name,
          runInProcess,
          latencyMs: () => 50,
          isDown: () => this.cloudDown,
          copies: this.copies,
          onRequest: (what, detail) => this.observations$.next({ at: this.clock.now(), node: name, what, detail: { hire: detail } }),
        },
        () => cloudRate.take(),
        2000,
      ),
      workers: {
        command: (addr, token, session, orders) =>
          this.command(name, addr, (worker) => worker.command(token, session, orders), runInProcess),
      },
      peers: { incoming$: node.incoming$, send, unreachableSince },
      log: {
        info: log,
        warn: log,
        debug: log,
        error: (entry) => void this.errors.push(JSON.stringify(entry)),
      },
      incarnation: `life-${++this.incarnations}`,
    });
  }

  private runnerFor(name: string): RunInProcess {
    return (fn) => this.nodes.get(name)?.clock?.deliver(fn);
  }

  /** Stalls a controller's process for `ms` while its clock continues to run. */
  freeze(name: string, ms: number): void {
    const clock = this.nodes.get(name)!.clock;
    clock?.freeze();
    this.clock.after(ms, () => clock?.thaw());
  }

  killController(name: string): void {
    const node = this.nodes.get(name)!;
    node.controller?.close();
    node.controller = null;
    node.clock = null;
    node.incoming$ = new Subject();
    this.copies.releaseFrom(name);
  }

  set cloudOutage(on: boolean) {
    this.cloudDown = on;
  }

  /** Sets the factor by which tasks run longer on the machine from now on. */
  slowDown(host: string, factor: number): void {
    this.slowdowns.set(host, factor);
    this.workers.get(host)?.update();
  }

  /** Delivers a message after its latency. Messages held by a cut arrive in order after it ends, even if the sender has given up. */
  private deliver(from: string, to: string, what: string, run: () => void, hold = true): void {
    const call = { from, to, what };
    this.clock.after(0.5 + this.random() * 2 + this.links.delayMs(call), () => {
      if (!hold && (this.links.isCut(call) || this.links.isRefused(call))) return;
      if (hold && this.links.holdIfCut(call, () => this.clock.after(1, run))) return;
      if (this.links.isLost(call)) return;
      run();
    });
  }

  private command(node: string, host: string, act: (worker: Worker) => CommandReply, runInProcess: RunInProcess): Promise<CommandReply> {
    return new Promise((resolve, reject) => {
      const cancelTimeout = this.clock.after(2000, () => runInProcess(() => reject(new CallError("unanswered", "timeout"))));
      const execute = (): void => {
        const worker = this.workers.get(host);
        if (worker === undefined || worker.hanging) return;
        const call = { from: node, to: host, what: "command" };
        const effect = this.links.takeEffect(call);
        if (effect?.kind === "refuse") return;
        if (effect?.kind === "late") return void this.clock.after(effect.ms, () => this.executeLate(host, act));
        const reply = act(worker);
        this.copies.carriedOut(call, () => this.executeLate(host, act));
        if (effect?.kind === "twice") act(worker);
        if (effect?.kind === "drop") return;
        this.deliver(host, node, "answer", () =>
          runInProcess(() => {
            cancelTimeout();
            resolve(reply);
          }),
        );
      };
      this.deliver(node, host, "command", execute);
    });
  }

  /**
   * Executes a command that was delayed in transit, or a copy of one; nobody waits for the response. Returns whether the
   * worker accepted it.
   */
  private executeLate(host: string, act: (worker: Worker) => CommandReply): boolean {
    const worker = this.workers.get(host);
    return worker !== undefined && !worker.hanging && act(worker).executed;
  }

  /** Delivers the stored reports to all controllers after a takeover. */
  private deliverStoredReports(): void {
    for (const report of this.storedReports.splice(0))
      for (const { name } of this.nodes.values())
        this.runnerFor(name)(() => {
          if (this.nodes.get(name)?.controller?.onReport(report) !== undefined) this.storedReportsDelivered++;
        });
  }

  /** Returns a function that sends users' requests to the given controller, or to any that is up; null if there is none. */
  private connect(name: string | undefined): SendRequest | null {
    const up = [...this.nodes.values()].filter((node) => node.controller !== null);
    const node = name !== undefined ? this.nodes.get(name)! : up.length === 0 ? null : up[Math.floor(this.random() * up.length)]!;
    const controller = node?.controller;
    if (node === null || controller === null || controller === undefined) return null;
    const sendAgain = (kind: RequestKind, body: unknown): boolean => {
      const { controller: present } = node;
      this.runnerFor(node.name)(() => void present?.answer(kind, body).catch(() => undefined));
      return present !== null;
    };
    return (kind, body, then) =>
      this.runnerFor(node.name)(
        () =>
          void controller.answer(kind, body).then((answer) => {
            this.copies.carriedOut({ from: "users", to: node.name, what: "request" }, () => sendAgain(kind, body));
            then(answer);
          }),
      );
  }

  private recordEvent(event: HistoryEvent): void {
    this.history.push(event);
    this.simulatedUsers.observe(event);
    this.onEvent(event);
  }

  private bootMachine(host: string, offer: MachineOffering): void {
    const type = this.options.types.find((t) => t.name === offer.type)!;
    const dependencies: WorkerDependencies = {
      clock: this.clock,
      reportMs: 2500,
      leaseMs: 18_000 * (1 + (this.options.clockDrift ?? 0)),
      gangPeerMs: 4000,
      gangWaitMs: 35_000,
      random: () => this.random(),
      nodes: [...this.nodes.keys()],
      report: (node, from, report) =>
        new Promise<ReportAnswer | null>((resolve) => {
          const call = { from, to: node, what: "report" };
          if (this.links.shouldStoreCopy(call)) this.storedReports.push(report);
          const againMs = this.links.copyDelayMs(call, this.random);
          // The copy goes to the process of the controller that is running at the later time, and the response to it is discarded.
          if (againMs !== null)
            this.clock.after(againMs, () => this.runnerFor(node)(() => void this.nodes.get(node)?.controller?.onReport(report)));
          this.deliver(from, node, "report", () => {
            const target = this.nodes.get(node)?.controller;
            if (target === null || target === undefined) return resolve(null);
            this.runnerFor(node)(() => {
              const answer = target.onReport(report);
              this.deliver(node, from, "answer", () => resolve(answer));
            });
          });
        }),
      spec: (ref) => this.specs.get(ref),
      runMs: (ref) => this.runTimesMs.get(ref) ?? DEFAULT_RUN_MS,
      fetchMs: () => this.fetchMs,
      slowdown: (name) => this.slowdowns.get(name) ?? 1,
      failsTasks: (name, ref) => this.failingHosts.has(name) || this.defectiveJobs.has(ref),
      savedProgress: this.savedProgress,
      onTaskStarted: (worker, taskId) =>
        this.recordEvent({ at: this.clock.now(), kind: "on", piece: taskId, host: worker.host, ...worker.offer }),
      onTaskEnded: (worker, taskId, cause) =>
        this.recordEvent({ at: this.clock.now(), kind: "off", piece: taskId, host: worker.host, cause }),
      gangMembers: (ref, attempt) =>
        [...this.workers.values()].flatMap((worker) =>
          [...worker.tasks.values()].filter((t) => t.ref === ref && t.attempt === attempt).map((task) => ({ worker, task })),
        ),
    };
    const { cpus, gpus, ram } = type;
    this.workers.set(host, new Worker(host, offer, { cpus, gpus, ram }, dependencies));
    this.recordEvent({ at: this.clock.now(), kind: "up", host, ...offer, cpus, gpus, ram });
  }

  submit(wire: Record<string, unknown>, spec: JobSpec, node?: string, never?: string): Promise<boolean> {
    return this.virtualUsers.submit(wire, spec, node, never);
  }

  poll(ref: string, node?: string): Promise<string> {
    return this.virtualUsers.poll(ref, node);
  }

  cancel(ref: string, node?: string): Promise<void> {
    return this.virtualUsers.cancel(ref, node);
  }
}
