/** Test environment: a whole cluster on this machine, for rehearsals and for manual use. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import { stringify } from "smol-toml";
import { findViolations, type HistoryEvent, type CheckLimits } from "../checker.js";
import { CloudModel } from "../cloud-model.js";
import type { UserClient } from "../scenario-driver.js";
import { SimulatedUsers } from "../simulated-users.js";
import type { CapacityOverride, FaultEnvironment } from "../faults.js";
import { MessageCopies } from "../message-copies.js";
import { NetworkRules } from "../network-rules.js";
import { seededRandom } from "../random.js";
import { buildPlatform, type Timing } from "../environment.js";
import type { PlannedSubmission, RehearsalPlan } from "../plan.js";
import { isTakeover, isTakeoverAfterLoss } from "../recovery.js";
import { startDuplicate } from "../worker-model.js";
import { Balancer } from "./balancer.js";
import { startFaultProxy } from "./fault-proxy.js";
import { sendRequest, parseObject } from "./http.js";
import { startPeerProxy } from "./peer-proxy.js";
import { PortAllocator } from "./ports.js";
import { Processes } from "./processes.js";
import { CloudStub, StateForwarder } from "./stub-servers.js";
import { Users } from "./users.js";
import { WorkerHost } from "./worker-host.js";

const STORE = "store";
/** Maximum delay in ms between a takeover of a partition and the delivery of the copies of worker reports kept for it. */
const MAX_KEPT_REPORT_DELAY_MS = 500;

/** Options of a test environment. */
export interface TestEnvironmentOptions {
  /** The command that starts the program, such as `[node, main.js]`. */
  program: readonly string[];
  plan: RehearsalPlan;
  timing: Timing;
  seed: number;
  /** Receives each log line of the store and the controllers; a line that is not JSON arrives as `msg`. */
  onLog?: (node: string, entry: Record<string, unknown>) => void;
  /** Receives the transactions (`txn`) and rentals (`hire`) that controllers send to the services. */
  onCall?: (node: string, what: string, detail: Record<string, unknown>) => void;
  /** Receives each event that workers and users observe. */
  onEvent?: (event: HistoryEvent) => void;
}

/** Runs a whole cluster on this machine: the store and the controllers as child processes; cloud, workers and users in this process. */
export class TestEnvironment implements FaultEnvironment {
  readonly history: HistoryEvent[] = [];
  readonly links = new NetworkRules(() => this.random());
  readonly copies = new MessageCopies(this.links, { after: (ms, fn) => this.clock.after(ms, fn) }, () => this.random());
  readonly dir = mkdtempSync(join(tmpdir(), "thorntrail-"));
  readonly cloud: CloudModel;
  /** Processes that exited on their own or could not be restarted, with the reason. */
  readonly unexpectedExits: string[] = [];
  /** Simulated users whose behaviour is set by faults; they call the controllers directly, not through the load balancer. */
  readonly simulatedUsers: SimulatedUsers;
  takeovers = 0;
  /** Controllers that were killed and are not restarted yet. */
  private readonly down = new Set<string>();
  private readonly random: () => number;
  /** Submitted jobs with their actual run times, by job id (`ref`). */
  private readonly specs = new Map<string, PlannedSubmission>();
  private readonly processes: Processes;
  private readonly portAllocator = new PortAllocator();
  private readonly fronts = new Map<string, string>();
  private readonly failingHosts = new Set<string>();
  private readonly slowness = new Map<string, number>();
  private readonly addrs = new Map<string, string>();
  private readonly closers: (() => void)[] = [];
  private readonly timers = new Set<NodeJS.Timeout>();
  private hosts!: WorkerHost;
  private cloudStub!: CloudStub;
  private stateForwarder!: StateForwarder;
  private storeAddr: string | null = null;
  private adminPort = 0;
  private storePort = 0;
  /** Address of the load balancer, to which users send their requests. */
  private balancerAddr = "";
  private users!: Users;
  private balancer!: Balancer;
  private began = performance.now();
  private closing = false;

  constructor(private readonly options: TestEnvironmentOptions) {
    this.random = seededRandom(options.seed);
    const { types, capacity } = buildPlatform(options.plan, options.timing);
    this.cloud = new CloudModel(this.clock, {
      types,
      capacity,
      lagMs: options.timing.listLagMs,
      ...(options.plan.boots === undefined ? {} : { random: this.random, boots: options.plan.boots }),
    });
    const frontOf = (node: string): string => this.fronts.get(node) ?? this.balancerAddr;
    this.simulatedUsers = new SimulatedUsers(
      {
        controllers: () => this.controllers(),
        submit: (wire, spec, node, never) => this.users.submitRaw(wire, spec, frontOf(node), never),
        poll: (ref, node) => this.users.poll(ref, frontOf(node)),
        cancel: (ref, node) => this.users.cancel(ref, frontOf(node)),
        runMs: (ref) => this.specs.get(ref)?.runMs ?? 0,
      },
      this.clock,
      this.random,
    );
    this.processes = new Processes(
      options.program,
      (name, line) => this.handleLogLine(name, line),
      (name, how) => this.closing || this.unexpectedExits.push(`${name} (${how})`),
    );
  }

  readonly clock = {
    now: (): number => performance.now() - this.began,
    after: (ms: number, fn: () => void): (() => void) => {
      const timer = setTimeout(() => {
        this.timers.delete(timer);
        if (!this.closing) fn();
      }, ms);
      this.timers.add(timer);
      return () => {
        clearTimeout(timer);
        this.timers.delete(timer);
      };
    },
  };

  private recordEvent(event: HistoryEvent): void {
    this.history.push(event);
    this.simulatedUsers.observe(event);
    this.options.onEvent?.(event);
  }

  private handleLogLine(node: string, line: string): void {
    let entry: Record<string, unknown>;
    try {
      entry = JSON.parse(line) as Record<string, unknown>;
    } catch {
      entry = { msg: line };
    }
    const what = String(entry["msg"]);
    if (isTakeoverAfterLoss(what, entry)) this.takeovers++;
    if (isTakeover(what)) {
      this.clock.after(MAX_KEPT_REPORT_DELAY_MS * this.random(), () => this.hosts.deliverKeptReports());
      this.copies.releaseAll();
    }
    this.options.onLog?.(node, entry);
  }

  /**
   * Starts all processes, stubs and proxies; resolves when the load balancer finds every controller healthy. Rejects if that takes
   * longer than 30 s, if a process cannot be started, or if the environment is closed meanwhile.
   */
  async start(): Promise<void> {
    const { plan, timing } = this.options;
    const names = Array.from({ length: plan.controllers }, (_, i) => `nest-${i}`);
    const ports = new Map<string, { front: number; peer: number }>();
    for (const name of names) ports.set(name, { front: await this.portAllocator.allocate(), peer: await this.portAllocator.allocate() });
    for (const [name, { front }] of ports) this.fronts.set(name, `127.0.0.1:${front}`);
    this.adminPort = await this.portAllocator.allocate();
    this.storePort = await this.portAllocator.allocate();
    writeFileSync(
      join(this.dir, "store.hcl"),
      `limits {\n requests_per_second = ${plan.state.rps}\n changes_per_second = ${plan.state.writes}\n value_kb = ${plan.state.value_kb}\n changes_per_transaction = ${plan.state.changes}\n}\n`,
    );
    await this.startStore();
    this.cloudStub = new CloudStub(this.cloud, this.clock, timing.cloudRps);
    this.stateForwarder = new StateForwarder(() => this.storeAddr);
    this.hosts = new WorkerHost(
      this.links,
      this.fronts,
      {
        clock: this.clock,
        reportMs: timing.reportMs,
        leaseMs: timing.leaseMs,
        gangPeerMs: timing.gangPeerMs,
        gangWaitMs: timing.gangWaitMs,
        random: this.random,
        nodes: names,
        spec: (ref) => this.specs.get(ref)?.spec,
        runMs: (ref) => this.specs.get(ref)?.runMs ?? 10_000,
        fetchMs: (ref) => (this.specs.get(ref)?.spec.imageGb ?? 1) * 1000,
        slowdown: (host) => this.slowness.get(host) ?? 1,
        failsTasks: (host) => this.failingHosts.has(host),
        savedProgress: new Map(),
        onTaskStarted: (worker, taskId) =>
          this.recordEvent({ at: this.clock.now(), kind: "on", piece: taskId, host: worker.host, ...worker.offer }),
        onTaskEnded: (worker, taskId, cause) =>
          this.recordEvent({ at: this.clock.now(), kind: "off", piece: taskId, host: worker.host, cause }),
      },
      this.copies,
    );
    this.cloud.addrOf = (host) => this.addrs.get(host) ?? "127.0.0.1:1";
    this.cloud.onRemoved = (host) => this.hosts.removeMachine(host);
    this.cloud.onBoot = (host, offer) => {
      const type = this.cloud.types().find((one) => one.name === offer.type)!;
      void this.hosts.boot(host, offer, type).then((addr) => {
        this.addrs.set(host, addr);
        // The machine may have been removed while its listener was being opened.
        if (this.cloud.machines.get(host)?.removedAt !== null) this.hosts.removeMachine(host);
      });
    };
    for (const name of names) await this.startProxies(name, names, ports);
    this.balancer = new Balancer(this.fronts, this.random);
    this.closers.push(() => this.balancer.close());
    this.balancerAddr = await this.balancer.start();
    this.users = new Users(
      this.balancerAddr,
      () => this.clock.now(),
      (event) => this.recordEvent(event),
      this.random,
      this.copies,
    );
    this.closers.push(() => this.users.close());
    for (const name of names) await this.startController(name);
    const until = this.clock.now() + 30_000;
    while (this.balancer.healthy.length < names.length) {
      if (this.closing) throw new Error("closed while its processes were starting");
      if (this.clock.now() > until)
        throw new Error(`only ${this.balancer.healthy.join(", ") || "none"} of the controllers became healthy in 30 s`);
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
  }

  private async startStore(): Promise<void> {
    const line = await this.processes.start(
      STORE,
      [
        ...["store", "serve", "--listen", `127.0.0.1:${this.storePort}`, "--data", join(this.dir, "state")],
        ...["--config", join(this.dir, "store.hcl"), "--admin", `127.0.0.1:${this.adminPort}`],
      ],
      { LOG_LEVEL: "info" },
      true,
    );
    this.storeAddr = String(parseObject(line)["listening"]);
  }

  /** Starts the controller's own proxies to the services and to its peers, and writes its settings file. */
  private async startProxies(name: string, names: string[], ports: Map<string, { front: number; peer: number }>): Promise<void> {
    const state = await startFaultProxy({
      links: this.links,
      copies: this.copies,
      from: name,
      to: "state",
      operationOf: (request) => this.stateForwarder.operationOf(request),
      forward: (request) => {
        if (this.stateForwarder.operationOf(request) === "txn") this.options.onCall?.(name, "txn", parseObject(request.body));
        return this.stateForwarder.forward(request);
      },
    });
    const cloud = await startFaultProxy({
      links: this.links,
      copies: this.copies,
      from: name,
      to: "cloud",
      operationOf: (request) => this.cloudStub.operationOf(request),
      forward: (request) => {
        if (this.cloudStub.operationOf(request) === "hire") this.options.onCall?.(name, "hire", parseObject(request.body));
        return this.cloudStub.execute(request);
      },
      wrongAnswer: (request, form) => this.cloudStub.wrongAnswer(request, form),
    });
    const known: Record<string, unknown>[] = [];
    for (const other of names) {
      if (other === name) continue;
      const proxy = await startPeerProxy(this.links, name, other, () => `127.0.0.1:${ports.get(other)!.peer}`);
      this.closers.push(proxy.close);
      known.push({ host_name: other, area: "a", peer_addr: proxy.addr });
    }
    for (const { server } of [state, cloud])
      this.closers.push(() => {
        server.close();
        server.closeAllConnections();
      });
    const { front, peer } = ports.get(name)!;
    const settings = {
      host_name: name,
      area: "a",
      front: `127.0.0.1:${front}`,
      peer_listen: `127.0.0.1:${peer}`,
      known,
      endpoints: { cloud: cloud.addr, state: state.addr },
      deployment: buildPlatform(this.options.plan, this.options.timing).deployment,
    };
    writeFileSync(join(this.dir, `${name}.toml`), stringify(settings));
  }

  private async startController(name: string): Promise<void> {
    await this.processes.start(
      name,
      ["serve", "--config", join(this.dir, `${name}.toml`)],
      { LOG_LEVEL: process.env["LOG_LEVEL"] ?? "info" },
      false,
    );
  }

  /** Submits a job and polls it until it is done or withdrawn. */
  submit(planned: PlannedSubmission): Promise<void> {
    this.specs.set(planned.spec.ref, planned);
    return this.users.follow(planned);
  }

  /** The users' operations, as `ScenarioDriver` calls them. */
  get userPort(): UserClient {
    return {
      submit: (one) => {
        this.specs.set(one.spec.ref, one);
        return this.users.submit(one);
      },
      poll: (ref) => this.users.poll(ref),
      cancel: (ref) => this.users.cancel(ref),
    };
  }

  /** Returns a randomised pause before the next poll of a job, in ms. */
  pollMs(): number {
    return this.users.pollMs();
  }

  /** Submitted jobs as their users see them, by job id (`ref`). */
  get jobs(): Users["jobs"] {
    return this.users.jobs;
  }

  /** Returns the body of the response to `GET /status`. */
  status(): Record<string, unknown> {
    const finished = [...this.jobs.values()].filter(({ terminalState }) => terminalState !== null).length;
    return {
      seconds: Math.round(this.clock.now() / 1000),
      balancer: this.balancerAddr,
      controllers: Object.fromEntries(this.fronts),
      healthy: this.balancer.healthy,
      machines: this.cloud.rentedCount,
      jobs: this.jobs.size,
      over: finished,
      takeovers: this.takeovers,
      broken: this.broken(),
      reports: this.hosts.stats,
      ended: this.unexpectedExits,
    };
  }

  /** Numbers of worker reports: sent, not answered, sent late, and copies that were kept and delivered after a takeover. */
  get reports(): WorkerHost["stats"] {
    return this.hosts.stats;
  }

  /** Returns a description of each violation of the rules in the events recorded so far. */
  broken(): string[] {
    const teams: CheckLimits["teams"] = new Map(this.options.plan.team.map((t) => [t.name, { cpus: t.most_cpus, gpus: t.most_gpus }]));
    return findViolations(this.history, { cancelMs: this.options.timing.cancelMs, teams });
  }

  // ---- Operations that faults call (`FaultEnvironment`)

  after(ms: number, fn: () => void): void {
    this.clock.after(ms, fn);
  }

  controllers(): string[] {
    return [...this.fronts.keys()];
  }

  /** The controller that owned the most machines when `findLargestOwner` last found one. */
  private lastOwner = "nest-0";
  leader(): string {
    return this.lastOwner;
  }

  async prepare(): Promise<void> {
    await this.findLargestOwner();
  }

  /** Asks the controllers in turn for `/cluster` until one names the owner of the most machines. Keeps the last result if none does. */
  async findLargestOwner(): Promise<string> {
    for (const front of this.fronts.values()) {
      const answer = await sendRequest(false, front, "GET", "/cluster", undefined, 1000);
      const partitions = answer?.status === 200 ? (parseObject(answer.text)["parts"] as { owner: string | null; machines: number }[]) : [];
      const counts = new Map<string, number>();
      for (const { owner, machines } of partitions) if (owner !== null) counts.set(owner, (counts.get(owner) ?? 0) + machines);
      const [largest] = [...counts].sort((a, b) => b[1] - a[1]);
      if (largest !== undefined) return (this.lastOwner = largest[0]);
    }
    return this.lastOwner;
  }

  machines(): string[] {
    const live = (name: string): number =>
      [...this.hosts.workers.get(name)!.tasks.values()].filter((task) => task.state !== "exited").length;
    return [...this.hosts.workers.keys()].sort((a, b) => live(b) - live(a) || (a < b ? -1 : 1));
  }

  reportingTo(controller: string): string[] {
    return [...this.hosts.workers.values()].filter(({ reportsTo }) => reportsTo === controller).map(({ host }) => host);
  }

  /**
   * Kills the controller's process and starts it again after `downMs`. Does nothing if the controller is down already, because a second
   * process of the same name would replace the first.
   */
  restart(controller: string, downMs: number): void {
    if (this.down.has(controller)) return;
    this.down.add(controller);
    const start = (): void => {
      this.down.delete(controller);
      void this.startController(controller).catch((error: Error) => this.unexpectedExits.push(`${controller}: ${error.message}`));
    };
    void this.processes.kill(controller).then(() => {
      this.copies.releaseFrom(controller);
      this.after(downMs, start);
    });
  }

  freeze(controller: string, ms: number): void {
    this.processes.freeze(controller, true);
    this.after(ms, () => this.processes.freeze(controller, false));
  }

  restartStore(downMs: number): void {
    if (this.storeAddr === null) return;
    this.storeAddr = null;
    void this.processes
      .kill(STORE)
      .then(() =>
        this.after(downMs, () => void this.startStore().catch((error: Error) => this.unexpectedExits.push(`store: ${error.message}`))),
      );
  }

  outage(of: "state" | "cloud", on: boolean): void {
    if (of === "cloud") this.cloudStub.down = on;
    else this.stateForwarder.down = on;
  }

  rule(rule: Parameters<NetworkRules["add"]>[0]): () => void {
    return this.links.add(rule);
  }

  limits(limits: { writeRps?: number; valueKb?: number; txnOps?: number }): void {
    void sendRequest(false, `127.0.0.1:${this.adminPort}`, "PUT", "/limits", JSON.stringify(limits), 1000);
  }

  lose(machine: string): void {
    this.cloud.remove(machine);
  }

  warn(machine: string, seconds: number): void {
    this.hosts.workers.get(machine)?.announceRemoval(seconds);
  }

  fail(machine: string): void {
    this.cloud.fail(machine);
  }

  hang(machine: string, on: boolean): void {
    const worker = this.hosts.workers.get(machine);
    if (worker !== undefined) worker.hanging = on;
  }

  slow(machine: string, factor: number): void {
    this.slowness.set(machine, factor);
    this.hosts.workers.get(machine)?.update();
  }

  sicken(machine: string): void {
    this.failingHosts.add(machine);
  }

  startTwice(): string | null {
    return startDuplicate(this.hosts.workers.values());
  }

  capacity(type: string, zone: string, ordinary: number | undefined, spot: number | undefined): CapacityOverride {
    return this.cloud.setCapacity(type, zone, ordinary, spot);
  }

  prices(factor: number): void {
    this.cloud.spotFactor = factor;
  }

  /** Kills all processes, closes all listeners and deletes the folder. */
  close(): void {
    if (this.closing) return;
    this.closing = true;
    this.processes.killAll();
    for (const timer of this.timers) clearTimeout(timer);
    for (const close of this.closers) close();
    this.hosts?.close();
    rmSync(this.dir, { recursive: true, force: true });
  }
}
