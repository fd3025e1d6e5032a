import { fork, type ChildProcess } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer, type Server } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import type { HistoryEvent } from "../../packages/emulator/src/checker.js";
import { CloudModel } from "../../packages/emulator/src/cloud-model.js";
import type { NetworkRule } from "@thorntrail/emulator/network-rules";
import { isTakeover } from "../../packages/emulator/src/recovery.js";
import { sendRequest, parseObject, readBody, sendResponse } from "../../packages/emulator/src/real/http.js";
import { Processes } from "../../packages/emulator/src/real/processes.js";
import { CloudStub } from "@thorntrail/emulator/real/stub-servers";
import { runArguments } from "../start.js";
import { controllerSettings, storeSettings, TIMING, type ClusterPlan } from "./cluster-plan.js";
import {
  monotonicMs,
  type ClientsStats,
  type ClientsToCoordinator,
  type WorkersToCoordinator,
  type TaskEvent,
  type CoordinatorToClients,
  type CoordinatorToWorkers,
  type WorkersStats,
} from "./messages.js";
import { readStateCounters, sumControllerMetric, type StateCounters } from "./metrics.js";
import { reservePorts } from "./ports.js";
import { readLoopbackTraffic, readMemoryMb, readProcessorMs, type Traffic } from "./usage.js";

/** Environment variable with the role of a forked process: `workers` or `clients`. */
export const ROLE_VARIABLE = "MEASURE_SCALE_ROLE";

const FORK_HEAP_LIMIT_MB = 900;
const START_TIMEOUT_MS = 60_000;

/** Resource use of one role over an interval. */
export interface RoleUsage {
  processes: number;
  /** Cores used by all processes of the role, and by the process that used the most. */
  cores: number;
  maxCores: number;
  /** Memory of the largest process, in MB, at the time of the call of `usage`. */
  maxMemoryMb: number;
}

/** All counters at one point in time. */
export interface Snapshot {
  /** In ms of the monotonic clock. */
  at: number;
  /** Processor time so far, by process. */
  processorMs: Map<string, number>;
  traffic: Traffic;
  state: StateCounters;
  /** Machines rented so far, and how many of them have been removed again. */
  machinesRented: number;
  machinesRemoved: number;
  workers: WorkersStats[];
  clients: ClientsStats;
}

/** Role of a process of the test cluster. */
export type Role = "controller" | "store" | "workers" | "clients" | "cloud";

const roleOfProcess = (name: string): Role =>
  name.startsWith("nest-") ? "controller" : name.startsWith("workers-") ? "workers" : (name as "store" | "clients" | "cloud");

/** Leaves the machine offering empty: the only rule checked here, that no task runs on two machines, does not need it. */
function toHistoryEvent([at, taskId, host, cause]: TaskEvent): HistoryEvent {
  if (cause !== null) return { at, kind: "off", piece: taskId, host, cause };
  return { at, kind: "on", piece: taskId, host, type: "", zone: "", spot: false };
}

/**
 * A complete cluster for measurements. The store and the controllers are real processes, workers and clients are emulated in
 * forked processes, and the cloud is emulated in this process. `close` ends all that it started.
 */
export class TestCluster {
  readonly cloud: CloudModel;
  /** Processes that exited without being stopped, with the exit code or signal. */
  readonly unexpectedExits: string[] = [];
  /** Log lines at error level, and lines that are not JSON. */
  readonly errorLines: string[] = [];
  /** By controller: the newest logged processor time of each duty. */
  readonly processorTimeByDuty = new Map<string, Record<string, [runs: number, ms: number]>>();
  /** Number of log lines by message. */
  readonly logLineCounts = new Map<string, number>();
  /** Starts and ends of tasks on the hollow workers. */
  readonly taskHistory: HistoryEvent[] = [];
  /** For each takeover: the time from the claim until all machines of the partition were fenced, and their number. */
  readonly fencings: { ms: number; machines: number }[] = [];
  private readonly directory = mkdtempSync(join(tmpdir(), "thorntrail-scale-"));
  private readonly processes: Processes;
  private readonly forks = new Map<string, ChildProcess>();
  private readonly workerAddresses = new Map<string, string>();
  private readonly processIndexByHost = new Map<string, number>();
  private readonly servers: Server[] = [];
  private readonly pids = new Map<string, number>();
  private controllerNames: string[] = [];
  private apiAddresses: string[] = [];
  /** Address of the state service; empty before `start`. */
  stateAddress = "";
  private adminAddress = "";
  private closing = false;
  private readonly onExit = (): void => this.close();

  constructor(private readonly plan: ClusterPlan) {
    process.once("exit", this.onExit);
    this.processes = new Processes(
      [process.execPath, ...runArguments(".").filter((word) => !["serve", "--config"].includes(word))],
      (name, line) => this.handleLogLine(name, line),
      (name, how) => this.closing || this.unexpectedExits.push(`${name} (${how})`),
    );
    const clock = {
      now: monotonicMs,
      after: (ms: number, fn: () => void) => {
        const timer = setTimeout(() => this.closing || fn(), ms);
        timer.unref();
        return () => clearTimeout(timer);
      },
    };
    this.cloud = new CloudModel(clock, { types: plan.types, capacity: plan.capacity, lagMs: TIMING.listLagMs });
    this.cloud.addrOf = (host) => this.workerAddresses.get(host) ?? "127.0.0.1:1";
    this.cloud.onRemoved = (host) => this.sendToWorkers(host, { kind: "remove", host });
    this.cloud.onBoot = (host, { type, zone, spot }) => {
      const { cpus, gpus, ram } = plan.types.find((machineType) => machineType.name === type)!;
      this.sendToWorkers(host, { kind: "boot", host, type, zone, spot, capacity: { cpus, gpus, ram } });
    };
  }

  /** Evaluates a line that the store or a controller logged. */
  private handleLogLine(name: string, line: string): void {
    let entry: { level?: unknown; msg?: unknown; ms?: unknown; machines?: unknown; spent?: Record<string, [number, number]> } = {};
    try {
      entry = JSON.parse(line) as typeof entry;
    } catch {
      this.errorLines.push(`${name}: ${line.slice(0, 300)}`);
    }
    if (entry.spent !== undefined) this.processorTimeByDuty.set(name, entry.spent);
    const text = String(entry.msg ?? "");
    if (text === "all machines accounted for; placing") this.fencings.push({ ms: Number(entry.ms), machines: Number(entry.machines) });
    if (isTakeover(text)) this.sendToAllWorkers({ kind: "takeover" });
    this.logLineCounts.set(text, (this.logLineCounts.get(text) ?? 0) + 1);
    if (entry.level === "error" || entry.level === 50) this.errorLines.push(`${name}: ${line.slice(0, 300)}`);
  }

  private sendToAllWorkers(message: CoordinatorToWorkers): void {
    for (const [name, child] of this.forks) if (name.startsWith("workers-")) child.send(message);
  }

  /** Sends a message to the process that a machine is assigned to. */
  private sendToWorkers(host: string, message: CoordinatorToWorkers): void {
    const child = this.forks.get(`workers-${this.processIndexByHost.get(host) ?? 0}`);
    if (child?.connected === true) child.send(message);
  }

  /** Starts all processes, and the clients only once every controller is healthy. Submission times of jobs count from then. */
  async start(): Promise<void> {
    const { plan } = this;
    const { controllers } = plan;
    this.controllerNames = Array.from({ length: controllers }, (_, i) => `nest-${i}`);
    const ports = await reservePorts(controllers * 3 + 2);
    // Three ports for each controller: its HTTP API, its peer listener, and its cloud endpoint.
    const addressOf = (i: number, port: 0 | 1 | 2): string => `127.0.0.1:${ports[i * 3 + port]!}`;
    this.apiAddresses = this.controllerNames.map((_, i) => addressOf(i, 0));
    this.stateAddress = await this.startStore(ports.at(-1)!, ports.at(-2)!);
    for (let i = 0; i < controllers; i++) await this.startCloudServer(ports[i * 3 + 2]!);
    const namedAddresses = this.controllerNames.map((name, i): [string, string] => [name, this.apiAddresses[i]!]);
    const timing = TIMING;
    for (let i = 0; i < plan.workerProcesses; i++)
      await this.forkProcess<WorkersToCoordinator>(`workers-${i}`, {
        kind: "init",
        controllers: namedAddresses,
        jobs: plan.jobs,
        timing,
        seed: plan.seed + i,
      });
    for (let i = 0; i < controllers; i++) {
      const known = this.controllerNames
        .map((host_name, j) => ({ host_name, area: "a", peer_addr: addressOf(j, 1) }))
        .filter((_, j) => j !== i);
      const endpoints = { cloud: addressOf(i, 2), state: this.stateAddress };
      const name = this.controllerNames[i]!;
      const settings = controllerSettings(this.plan, name, { front: addressOf(i, 0), peer_listen: addressOf(i, 1), known, endpoints });
      writeFileSync(join(this.directory, `${name}.toml`), settings);
      await this.startController(name);
    }
    await this.waitUntilHealthy();
    const { jobs, pollsPerS, seed, pollUntilDone = true } = plan;
    await this.forkProcess<ClientsToCoordinator>("clients", {
      kind: "init",
      apiAddresses: this.apiAddresses,
      jobs,
      pollUntilDone,
      pollsPerS,
      seed,
    });
  }

  /** Starts the state service; returns the address that it listens on. */
  private async startStore(port: number, adminPort: number): Promise<string> {
    writeFileSync(join(this.directory, "store.hcl"), storeSettings(this.plan));
    this.adminAddress = `127.0.0.1:${adminPort}`;
    const args = ["--listen", `127.0.0.1:${port}`, "--data", join(this.directory, "state"), "--config", join(this.directory, "store.hcl")];
    const line = await this.processes.start(
      "store",
      ["store", "serve", ...args, "--admin", this.adminAddress],
      { LOG_LEVEL: "error" },
      true,
    );
    this.pids.set("store", this.processes.pid("store")!);
    return String(parseObject(line)["listening"]);
  }

  /** Starts an endpoint of the emulated cloud. Each controller has one of its own, with its own rate limit. */
  private async startCloudServer(port: number): Promise<void> {
    const stub = new CloudStub(this.cloud, { now: monotonicMs }, this.plan.cloudRps);
    const server = createServer((req, res) => {
      void readBody(req).then(async (body) => {
        const request = { method: req.method ?? "GET", path: req.url ?? "/", body };
        const response = await stub.execute(request);
        const hosts = parseObject(response.text)["hosts"];
        // Members of a gang find each other only within a process, so all machines of a partition are assigned to the same one.
        if (stub.operationOf(request) === "hire" && response.status === 200)
          for (const host of hosts as string[]) this.assignToProcess(host, String(parseObject(body)["hire"]));
        sendResponse(res, response);
      });
    });
    this.servers.push(server);
    await new Promise<void>((resolve) => server.listen(port, "127.0.0.1", resolve));
  }

  /** Assigns a machine to a worker process by its partition, whose number is at the beginning of the rental's name. */
  private assignToProcess(host: string, hire: string): void {
    if (!this.processIndexByHost.has(host)) this.processIndexByHost.set(host, Number.parseInt(hire, 10) % this.plan.workerProcesses);
  }

  /** Forks this program in the role that the name stands for; resolves once it reports that it is ready. */
  private forkProcess<Message extends { kind: string }>(name: string, init: CoordinatorToWorkers | CoordinatorToClients): Promise<void> {
    const role = roleOfProcess(name);
    const child = fork(fileURLToPath(import.meta.url), [], {
      execArgv: [`--max-old-space-size=${FORK_HEAP_LIMIT_MB}`],
      env: { ...process.env, [ROLE_VARIABLE]: role },
      stdio: ["ignore", "ignore", "inherit", "ipc"],
    });
    this.forks.set(name, child);
    this.pids.set(name, child.pid!);
    child.on("message", (message: WorkersToCoordinator) => {
      if (message.kind === "booted") this.workerAddresses.set(message.host, message.address);
      if (message.kind === "taskEvents") for (const event of message.events) this.taskHistory.push(toHistoryEvent(event));
    });
    return new Promise((resolve, reject) => {
      child.once("exit", (code, signal) => {
        if (!this.closing) this.unexpectedExits.push(`${name} (${code ?? signal})`);
        reject(new Error(`${name} exited with ${code ?? signal}`));
      });
      child.on("message", (message: Message) => message.kind === "ready" && resolve());
      child.send(init);
    });
  }

  /** Starts a controller, or starts it again after it was killed. */
  async startController(name: string): Promise<void> {
    await this.processes.start(name, ["serve", "--config", join(this.directory, `${name}.toml`)], { LOG_LEVEL: "info" }, false);
    this.pids.set(name, this.processes.pid(name)!);
  }

  /** Kills a controller; resolves once it has exited. */
  async killController(name: string): Promise<void> {
    await this.processes.kill(name);
  }

  /** Stops a controller with SIGSTOP if `paused`, else lets it continue. */
  pauseController(name: string, paused: boolean): void {
    this.processes.freeze(name, paused);
  }

  /** Applies a network fault between all hollow workers and the controllers for `forMs`. */
  addNetworkRule(rule: NetworkRule, forMs: number): void {
    this.sendToAllWorkers({ kind: "networkRule", rule, forMs });
  }

  private async waitUntilHealthy(): Promise<void> {
    const deadline = monotonicMs() + START_TIMEOUT_MS;
    for (;;) {
      const responses = await Promise.all(this.apiAddresses.map((address) => sendRequest(false, address, "GET", "/up", undefined, 1000)));
      const healthy = responses.filter((response) => response?.status === 200).length;
      if (healthy === this.apiAddresses.length) return;
      if (monotonicMs() > deadline || this.unexpectedExits.length > 0)
        throw new Error(
          `${healthy} of ${this.apiAddresses.length} controllers are healthy; exited: ${this.unexpectedExits.join(", ") || "none"}`,
        );
      await new Promise((resolve) => setTimeout(resolve, 200));
    }
  }

  private requestStats<Stats>(name: string): Promise<Stats> {
    const child = this.forks.get(name)!;
    return new Promise((resolve) => {
      const onMessage = (message: { kind: string; stats: Stats }): void => {
        if (message.kind !== "stats") return;
        child.off("message", onMessage);
        resolve(message.stats);
      };
      child.on("message", onMessage);
      child.send({ kind: "requestStats" } satisfies CoordinatorToWorkers & CoordinatorToClients);
    });
  }

  /** Returns the sum of a metric over all controllers; one without the metric counts as 0. */
  async controllerMetricSum(name: string): Promise<number> {
    return sumControllerMetric(this.apiAddresses, name);
  }

  /** Reads all counters now. */
  async snapshot(): Promise<Snapshot> {
    const workers = await Promise.all(
      Array.from({ length: this.plan.workerProcesses }, (_, i) => this.requestStats<WorkersStats>(`workers-${i}`)),
    );
    const clients = await this.requestStats<ClientsStats>("clients");
    const state = await readStateCounters(this.adminAddress);
    const processorMs = new Map([...this.pids].map(([name, pid]) => [name, readProcessorMs(pid)]));
    processorMs.set("cloud", readProcessorMs(process.pid));
    const machineCounts = { machinesRented: this.cloud.machines.size, machinesRemoved: this.cloud.machines.size - this.cloud.rentedCount };
    return { at: monotonicMs(), processorMs, traffic: readLoopbackTraffic(), state, ...machineCounts, workers, clients };
  }

  /** Returns the resource use of each role between two snapshots. */
  usage(from: Snapshot, to: Snapshot): Map<Role, RoleUsage> {
    const roles = new Map<Role, RoleUsage>();
    for (const [name, after] of to.processorMs) {
      const role = roleOfProcess(name);
      const before = from.processorMs.get(name) ?? 0;
      // The processor time of a restarted process begins at 0.
      const cores = (after >= before ? after - before : after) / (to.at - from.at);
      const total = roles.get(role) ?? { processes: 0, cores: 0, maxCores: 0, maxMemoryMb: 0 };
      roles.set(role, total);
      if (!Number.isFinite(cores)) continue;
      total.processes++;
      total.cores += cores;
      total.maxCores = Math.max(total.maxCores, cores);
      total.maxMemoryMb = Math.max(total.maxMemoryMb, readMemoryMb(name === "cloud" ? process.pid : this.pids.get(name)!));
    }
    return roles;
  }

  /** Returns the names of the machines of a zone that are up. */
  hostsUpIn(zone: string): string[] {
    return [...this.cloud.machines.values()]
      .filter((machine) => machine.removedAt === null && machine.bootedAt !== null && machine.offer.zone === zone)
      .map(({ host }) => host);
  }

  /** Kills all processes and removes the temporary directory. */
  close(): void {
    if (this.closing) return;
    this.closing = true;
    process.off("exit", this.onExit);
    this.processes.killAll();
    for (const child of this.forks.values()) child.kill("SIGKILL");
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
    rmSync(this.directory, { recursive: true, force: true });
  }
}
