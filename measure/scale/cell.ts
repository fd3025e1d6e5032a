import { fork, type ChildProcess } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer, type Server } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { stringify } from "smol-toml";
import type { HistoryEvent } from "../../packages/emulator/src/checker.js";
import { CloudModel } from "../../packages/emulator/src/cloud-model.js";
import type { NetworkRule } from "@thorntrail/emulator/network-rules";
import { isTakeover } from "../../packages/emulator/src/recovery.js";
import { sendRequest, parseObject, readBody, sendResponse } from "../../packages/emulator/src/real/http.js";
import { Processes } from "../../packages/emulator/src/real/processes.js";
import { CloudStub } from "@thorntrail/emulator/real/stub-servers";
import type { MachineType } from "../../packages/protocol/src/cloud.js";
import type { TeamSettings } from "../../src/settings/platform-file.js";
import { runArguments } from "../start.js";
import {
  steadyMs,
  type ClientsSeen,
  type FromClients,
  type FromWorkers,
  type PlannedJob,
  type TaskEvent,
  type ToClients,
  type ToWorkers,
  type WorkersSeen,
} from "./messages.js";
import { reservePorts } from "./ports.js";
import { loopbackTraffic, memoryMbOf, processorMsOf, type Traffic } from "./usage.js";

/** The environment variable that says which part a process of a scale run plays. */
export const ROLE = "MEASURE_SCALE_ROLE";

const WORKER_PROCESS_HEAP_MB = 900;
const START_LIMIT_MS = 60_000;
const TIMING = { reportMs: 2500, leaseMs: 18_000, gangWaitMs: 35_000, gangPeerMs: 4000, cancelMs: 43_000, listLagMs: 3000 };

export interface CellPlan {
  controllers: number;
  teams: TeamSettings[];
  objectives: { kind: string; class?: string; within_s: number; share: number }[];
  types: MachineType[];
  /** Machines there are, by `type/zone/ordinary` and `type/zone/spot`. */
  capacity: Map<string, number>;
  jobs: PlannedJob[];
  workerProcesses: number;
  state: { rps: number; writeRps: number; valueKb: number; txnOps: number };
  cloudRps: number;
  /** Of each controller. */
  sockets: number;
  memMb: number;
  pollsPerS: number;
  /** Each job is polled until it is done; so it is if nothing else is said. */
  followed?: boolean;
  seed: number;
}

/** Figures of one role over a span of time. */
export interface RoleUsage {
  processes: number;
  /** Cores, over all processes of the role, and of the one that used most. */
  cores: number;
  mostCores: number;
  /** Memory of the largest process, in MB. */
  mostMb: number;
}

/** What the state service has counted. */
export interface StateCounters {
  changes: number;
  conflicts: number;
  refused: number;
  ledger: number;
  answers: number;
}

/** Everything that is counted at one moment. */
export interface Snapshot {
  at: number;
  processorMs: Map<string, number>;
  traffic: Traffic;
  state: StateCounters;
  /** Machines asked for so far, and those of them that are gone. */
  machinesRented: number;
  machinesGone: number;
  workers: WorkersSeen[];
  clients: ClientsSeen;
}

export type Role = "controller" | "store" | "workers" | "clients" | "cloud";

const roleOf = (name: string): Role =>
  name.startsWith("nest-") ? "controller" : name.startsWith("workers-") ? "workers" : (name as "store" | "clients" | "cloud");

function metricsOf(text: string, prefix: string): Map<string, number> {
  const found = new Map<string, number>();
  for (const line of text.split("\n")) {
    const match = /^([a-z_]+)(\{[^}]*\})? ([-0-9.e+]+)$/.exec(line);
    if (match !== null && match[1]!.startsWith(prefix)) found.set(match[1]!.slice(prefix.length) + (match[2] ?? ""), Number(match[3]));
  }
  return found;
}

/** Offers do not matter to what is judged here: that no task is on two machines. */
function happeningOf([at, piece, host, cause]: TaskEvent): HistoryEvent {
  if (cause !== null) return { at, kind: "off", piece, host, cause };
  return { at, kind: "on", piece, host, type: "", zone: "", spot: false };
}

/**
 * A whole cluster for measurements: store and controllers as the real processes, workers and clients
 * hollow in processes of their own, the cloud in this one. Everything it starts ends with it.
 */
export class Cell {
  readonly cloud: CloudModel;
  /** Controllers that ended though nobody asked, and why. */
  readonly ended: string[] = [];
  /** Lines of controllers at error level. */
  readonly errors: string[] = [];
  /** Of each controller, the newest line on where its processor time went: turns and ms by duty. */
  readonly duties = new Map<string, Record<string, [turns: number, ms: number]>>();
  /** Log lines by their message. */
  readonly lines = new Map<string, number>();
  /** What happened to tasks on the hollow workers' machines. */
  readonly happenings: HistoryEvent[] = [];
  /** From a claim until all machines of the partition were accounted for, in ms, and how many machines. */
  readonly fences: { ms: number; machines: number }[] = [];
  private readonly dir = mkdtempSync(join(tmpdir(), "thorntrail-scale-"));
  private readonly processes: Processes;
  private readonly forks = new Map<string, ChildProcess>();
  private readonly addresses = new Map<string, string>();
  private readonly processOf = new Map<string, number>();
  private readonly servers: Server[] = [];
  private readonly pids = new Map<string, number>();
  private names: string[] = [];
  private fronts: string[] = [];
  stateAddress = "";
  private adminAddress = "";
  private closing = false;
  private readonly onExit = (): void => this.close();

  constructor(private readonly plan: CellPlan) {
    process.once("exit", this.onExit);
    this.processes = new Processes(
      [process.execPath, ...runArguments(".").filter((word) => !["serve", "--config"].includes(word))],
      (name, line) => this.hear(name, line),
      (name, how) => this.closing || this.ended.push(`${name} (${how})`),
    );
    const clock = {
      now: steadyMs,
      after: (ms: number, fn: () => void) => {
        const timer = setTimeout(() => this.closing || fn(), ms);
        timer.unref();
        return () => clearTimeout(timer);
      },
    };
    this.cloud = new CloudModel(clock, { types: plan.types, capacity: plan.capacity, lagMs: TIMING.listLagMs });
    this.cloud.addrOf = (host) => this.addresses.get(host) ?? "127.0.0.1:1";
    this.cloud.onRemoved = (host) => this.toWorkers(host, { kind: "end", host });
    this.cloud.onBoot = (host, { type, zone, spot }) => {
      const { cpus, gpus, ram } = plan.types.find((one) => one.name === type)!;
      this.toWorkers(host, { kind: "boot", host, type, zone, spot, room: { cpus, gpus, ram } });
    };
  }

  private hear(name: string, line: string): void {
    let entry: { level?: unknown; msg?: unknown; ms?: unknown; machines?: unknown; spent?: Record<string, [number, number]> } = {};
    try {
      entry = JSON.parse(line) as typeof entry;
    } catch {
      this.errors.push(`${name}: ${line.slice(0, 300)}`);
    }
    if (entry.spent !== undefined) this.duties.set(name, entry.spent);
    const text = String(entry.msg ?? "");
    if (text === "all machines accounted for; placing") this.fences.push({ ms: Number(entry.ms), machines: Number(entry.machines) });
    if (isTakeover(text)) for (const [role, child] of this.forks) if (role.startsWith("workers-")) child.send({ kind: "taken" });
    this.lines.set(text, (this.lines.get(text) ?? 0) + 1);
    if (entry.level === "error" || entry.level === 50) this.errors.push(`${name}: ${line.slice(0, 300)}`);
  }

  private toWorkers(host: string, message: ToWorkers): void {
    const child = this.forks.get(`workers-${this.processOf.get(host) ?? 0}`);
    if (child?.connected === true) child.send(message);
  }

  /** Starts everything; resolves once every controller is healthy. The jobs' times count from then. */
  async start(): Promise<void> {
    const { plan } = this;
    const { controllers } = plan;
    this.names = Array.from({ length: controllers }, (_, i) => `nest-${i}`);
    const ports = await reservePorts(controllers * 3 + 2);
    const of = (i: number, what: number): string => `127.0.0.1:${ports[i * 3 + what]!}`;
    this.fronts = this.names.map((_, i) => of(i, 0));
    this.stateAddress = await this.startStore(ports.at(-1)!, ports.at(-2)!);
    for (let i = 0; i < controllers; i++) await this.openCloud(ports[i * 3 + 2]!);
    const fronts = this.names.map((name, i): [string, string] => [name, this.fronts[i]!]);
    const timing = TIMING;
    for (let i = 0; i < plan.workerProcesses; i++)
      await this.startFork<FromWorkers>(`workers-${i}`, { kind: "init", fronts, jobs: plan.jobs, timing, seed: plan.seed + i });
    for (let i = 0; i < controllers; i++) {
      const known = this.names.map((host_name, j) => ({ host_name, area: "a", peer_addr: of(j, 1) })).filter((_, j) => j !== i);
      this.writeSettings(i, { front: of(i, 0), peer_listen: of(i, 1), known, endpoints: { cloud: of(i, 2), state: this.stateAddress } });
      await this.startController(this.names[i]!);
    }
    await this.allHealthy();
    const { jobs, pollsPerS, seed, followed = true } = plan;
    await this.startFork<FromClients>("clients", { kind: "init", fronts: this.fronts, jobs, followed, pollsPerS, seed });
  }

  private async startStore(port: number, admin: number): Promise<string> {
    const { rps, writeRps, valueKb, txnOps } = this.plan.state;
    const limits = { requests_per_second: rps, changes_per_second: writeRps, value_kb: valueKb, changes_per_transaction: txnOps };
    const block = Object.entries(limits).map(([name, value]) => `  ${name} = ${value}\n`);
    writeFileSync(join(this.dir, "store.hcl"), `limits {\n${block.join("")}}\nconnections = 8000\n`);
    this.adminAddress = `127.0.0.1:${admin}`;
    const args = ["--listen", `127.0.0.1:${port}`, "--data", join(this.dir, "state"), "--config", join(this.dir, "store.hcl")];
    const line = await this.processes.start(
      "store",
      ["store", "serve", ...args, "--admin", this.adminAddress],
      { LOG_LEVEL: "error" },
      true,
    );
    this.pids.set("store", this.processes.pid("store")!);
    return String(parseObject(line)["listening"]);
  }

  /** Each controller has a door of its own to the cloud. */
  private async openCloud(port: number): Promise<void> {
    const face = new CloudStub(this.cloud, { now: steadyMs }, this.plan.cloudRps);
    const server = createServer((req, res) => {
      void readBody(req).then(async (body) => {
        const passing = { method: req.method ?? "GET", path: req.url ?? "/", body };
        const answer = await face.execute(passing);
        const hosts = parseObject(answer.text)["hosts"];
        // Gangs find each other within a process: machines of a partition share one.
        if (face.operationOf(passing) === "hire" && answer.status === 200)
          for (const host of hosts as string[]) this.assign(host, String(parseObject(body)["hire"]));
        sendResponse(res, answer);
      });
    });
    this.servers.push(server);
    await new Promise<void>((resolve) => server.listen(port, "127.0.0.1", resolve));
  }

  /** Names of rentals begin with the partition that they are for. */
  private assign(host: string, hire: string): void {
    if (!this.processOf.has(host)) this.processOf.set(host, Number.parseInt(hire, 10) % this.plan.workerProcesses);
  }

  private startFork<Said extends { kind: string }>(name: string, init: ToWorkers | ToClients): Promise<void> {
    const role = roleOf(name);
    const child = fork(fileURLToPath(import.meta.url), [], {
      execArgv: [`--max-old-space-size=${WORKER_PROCESS_HEAP_MB}`],
      env: { ...process.env, [ROLE]: role },
      stdio: ["ignore", "ignore", "inherit", "ipc"],
    });
    this.forks.set(name, child);
    this.pids.set(name, child.pid!);
    child.on("message", (message: FromWorkers) => {
      if (message.kind === "booted") this.addresses.set(message.host, message.address);
      if (message.kind === "tasks") for (const event of message.events) this.happenings.push(happeningOf(event));
    });
    return new Promise((resolve, reject) => {
      child.once("exit", (code, signal) => {
        if (!this.closing) this.ended.push(`${name} (${code ?? signal})`);
        reject(new Error(`${name} ended with ${code ?? signal}`));
      });
      child.on("message", (message: Said) => message.kind === "ready" && resolve());
      child.send(init);
    });
  }

  private writeSettings(i: number, own: Record<string, unknown>): void {
    const { plan } = this;
    const zones = [...new Set(plan.types.flatMap((type) => type.zones))];
    const seconds = Object.fromEntries(
      (["report", "lease", "gangWait", "gangPeer", "cancel"] as const).map((name) => [
        `${name.replace(/[A-Z]/, (c) => `_${c.toLowerCase()}`)}_s`,
        TIMING[`${name}Ms`] / 1000,
      ]),
    );
    const { rps, writeRps, valueKb, txnOps } = plan.state;
    const deployment = {
      size: plan.controllers,
      zones,
      clock_off_ms: 1000,
      teams: plan.teams,
      objectives: plan.objectives,
      workers: seconds,
      state: { rps, write_rps: writeRps, value_kb: valueKb, txn_ops: txnOps },
      cloud: { rps: plan.cloudRps * plan.controllers, list_lag_s: TIMING.listLagMs / 1000 },
      quota: { core_share: 1, mem_mb: plan.memMb, sockets: plan.sockets },
    };
    const name = this.names[i]!;
    writeFileSync(join(this.dir, `${name}.toml`), stringify({ host_name: name, area: "a", ...own, deployment }));
  }

  async startController(name: string): Promise<void> {
    await this.processes.start(name, ["serve", "--config", join(this.dir, `${name}.toml`)], { LOG_LEVEL: "info" }, false);
    this.pids.set(name, this.processes.pid(name)!);
  }

  async killController(name: string): Promise<void> {
    await this.processes.kill(name);
  }

  pauseController(name: string, on: boolean): void {
    this.processes.freeze(name, on);
  }

  /** What goes wrong between all hollow workers and the controllers, for so long. */
  addRule(rule: NetworkRule, forMs: number): void {
    for (const [name, child] of this.forks) if (name.startsWith("workers-")) child.send({ kind: "rule", rule, forMs } satisfies ToWorkers);
  }

  private async allHealthy(): Promise<void> {
    const until = steadyMs() + START_LIMIT_MS;
    for (;;) {
      const answers = await Promise.all(this.fronts.map((front) => sendRequest(false, front, "GET", "/up", undefined, 1000)));
      const healthy = answers.filter((answer) => answer?.status === 200).length;
      if (healthy === this.fronts.length) return;
      if (steadyMs() > until || this.ended.length > 0)
        throw new Error(`${healthy} of ${this.fronts.length} controllers are healthy; ended: ${this.ended.join(", ") || "none"}`);
      await new Promise((resolve) => setTimeout(resolve, 200));
    }
  }

  private look<Seen>(name: string): Promise<Seen> {
    const child = this.forks.get(name)!;
    return new Promise((resolve) => {
      const hear = (message: { kind: string; seen: Seen }): void => {
        if (message.kind !== "seen") return;
        child.off("message", hear);
        resolve(message.seen);
      };
      child.on("message", hear);
      child.send({ kind: "look" });
    });
  }

  private async stateCounters(): Promise<StateCounters> {
    const answer = await sendRequest(false, this.adminAddress, "GET", "/metrics", undefined, 5000);
    const metrics = metricsOf(answer?.text ?? "", "thorntrail_store_");
    const read = (name: string): number => metrics.get(name) ?? NaN;
    return {
      changes: read("changes_total"),
      conflicts: read("conflicts_total"),
      refused: read("refused_total"),
      ledger: read("ledger"),
      answers: read("group_answers_total"),
    };
  }

  /** The sum over all controllers of a figure of theirs. */
  async controllerFigure(name: string): Promise<number> {
    const answers = await Promise.all(this.fronts.map((front) => sendRequest(false, front, "GET", "/metrics", undefined, 5000)));
    return answers.reduce((sum, answer) => sum + (metricsOf(answer?.text ?? "", "thorntrail_").get(name) ?? 0), 0);
  }

  async snapshot(): Promise<Snapshot> {
    const workers = await Promise.all(Array.from({ length: this.plan.workerProcesses }, (_, i) => this.look<WorkersSeen>(`workers-${i}`)));
    const clients = await this.look<ClientsSeen>("clients");
    const state = await this.stateCounters();
    const processorMs = new Map([...this.pids].map(([name, pid]) => [name, processorMsOf(pid)]));
    processorMs.set("cloud", processorMsOf(process.pid));
    const machines = { machinesRented: this.cloud.machines.size, machinesGone: this.cloud.machines.size - this.cloud.rentedCount };
    return { at: steadyMs(), processorMs, traffic: loopbackTraffic(), state, ...machines, workers, clients };
  }

  /** What each role used between two moments. */
  usage(from: Snapshot, to: Snapshot): Map<Role, RoleUsage> {
    const roles = new Map<Role, RoleUsage>();
    for (const [name, after] of to.processorMs) {
      const role = roleOf(name);
      const before = from.processorMs.get(name) ?? 0;
      // A process that was started anew counts from its start.
      const cores = (after >= before ? after - before : after) / (to.at - from.at);
      const sum = roles.get(role) ?? { processes: 0, cores: 0, mostCores: 0, mostMb: 0 };
      roles.set(role, sum);
      if (!Number.isFinite(cores)) continue;
      sum.processes++;
      sum.cores += cores;
      sum.mostCores = Math.max(sum.mostCores, cores);
      sum.mostMb = Math.max(sum.mostMb, memoryMbOf(name === "cloud" ? process.pid : this.pids.get(name)!));
    }
    return roles;
  }

  /** Machines that are up, by zone. */
  machinesIn(zone: string): string[] {
    return [...this.cloud.machines.values()]
      .filter((machine) => machine.removedAt === null && machine.bootedAt !== null && machine.offer.zone === zone)
      .map(({ host }) => host);
  }

  /** Ends every process, by its id, and takes the folder away. */
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
    rmSync(this.dir, { recursive: true, force: true });
  }
}
