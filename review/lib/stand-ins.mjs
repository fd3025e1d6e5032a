/**
 * Stand-ins for the platform around the controllers, after the users' protocol page: a cloud, its workers, and users. The state
 * service is the project's own (`store serve`). Everything listens on 127.0.0.1 and on free ports.
 */
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer, request as httpRequest, Agent } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { performance } from "node:perf_hooks";
import { fileURLToPath } from "node:url";

/** Root of the repository. */
export const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
const HOST = "127.0.0.1";
/** Whether the case plays its disruption. */
export const TROUBLE = process.env["TROUBLE"] !== "0";

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Writes what was sent, answered and run, with the time since the start of the case in seconds. */
export class Record {
  constructor(file) {
    this.file = file;
    this.began = performance.now();
    writeFileSync(file, `# ${TROUBLE ? "with" : "without"} the disruption; times in seconds since the start\n`);
  }

  now() {
    return (performance.now() - this.began) / 1000;
  }

  line(text) {
    appendFileSync(this.file, `${this.now().toFixed(2).padStart(7)} ${text}\n`);
  }
}

/** Returns a port of 127.0.0.1 that is free now. */
export function freePort() {
  return new Promise((resolve, reject) => {
    const server = createTcpServer();
    server.on("error", reject);
    server.listen(0, HOST, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** Sends one HTTP request; resolves with status and JSON body, or with null if there is no answer in time. */
export function call(agent, address, method, path, body, limitMs) {
  return new Promise((resolve) => {
    const text = body === undefined ? "" : JSON.stringify(body);
    const [host, port] = address.split(":");
    const headers = body === undefined ? {} : { "content-type": "application/json", "content-length": Buffer.byteLength(text) };
    const req = httpRequest({ agent, host, port, method, path, headers }, (res) => {
      const chunks = [];
      res.on("data", (chunk) => chunks.push(chunk));
      res.on("error", () => finish(null));
      res.on("end", () => {
        let parsed = {};
        try {
          parsed = JSON.parse(Buffer.concat(chunks).toString("utf8"));
        } catch {
          parsed = {};
        }
        finish({ status: res.statusCode, body: parsed, retryAfter: Number(res.headers["retry-after"] ?? 0) });
      });
    });
    const timer = setTimeout(() => {
      finish(null);
      req.destroy();
    }, limitMs);
    const finish = (answer) => {
      clearTimeout(timer);
      resolve(answer);
    };
    req.on("error", () => finish(null));
    req.end(text);
  });
}

function readJson(req) {
  return new Promise((resolve) => {
    const chunks = [];
    req.on("data", (chunk) => chunks.push(chunk));
    req.on("error", () => resolve(null));
    req.on("end", () => {
      try {
        resolve(JSON.parse(Buffer.concat(chunks).toString("utf8")));
      } catch {
        resolve(null);
      }
    });
  });
}

function reply(res, status, body) {
  const text = JSON.stringify(body);
  res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
  res.end(text);
}

/** What all workers share: the jobs that users uploaded, results that were kept, and the record. */
export class World {
  constructor(record, timing) {
    this.record = record;
    this.timing = timing;
    /** Jobs by reference: `{ wire, runS }`. */
    this.jobs = new Map();
    /** Tasks whose result is kept. */
    this.results = new Set();
    /** Every start and end of a task on a machine: `{ at, kind, piece, host }`. */
    this.events = [];
    this.nodes = new Map();
  }

  on(piece, attempt, host) {
    this.events.push({ at: this.record.now(), kind: "on", piece, host });
    this.record.line(`machine ${host}: ${piece} try ${attempt} is on the machine`);
  }

  off(piece, attempt, host, cause) {
    this.events.push({ at: this.record.now(), kind: "off", piece, host });
    this.record.line(`machine ${host}: ${piece} try ${attempt} is gone (${cause})`);
  }
}

const jobOf = (piece) => piece.slice(0, piece.lastIndexOf("/"));

/** A worker as the protocol page describes it. Gangs have one task here. */
export class Worker {
  constructor(world, machine) {
    this.world = world;
    this.machine = machine;
    this.shift = 1;
    this.tick = 0;
    this.baton = 0;
    this.tasks = new Map();
    this.images = new Set();
    this.gone = false;
    // The first report is due at once.
    this.changed = true;
    this.takenAt = null;
    /** Called after each report that was answered with 200. */
    this.onAnswered = () => undefined;
    this.lastSentAnswered = performance.now();
    this.agent = new Agent({ keepAlive: true, maxSockets: 1 });
    this.server = createServer((req, res) => void this.serve(req, res));
  }

  /** Listens on a port, a free one if none is given, and begins to report. */
  async start(port = 0) {
    await new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(port, HOST, resolve);
    });
    this.addr = `${HOST}:${this.server.address().port}`;
    this.lastSentAnswered = performance.now();
    this.leaseTimer = setInterval(() => this.checkLease(), 50);
    void this.reportLoop();
    return this.addr;
  }

  /**
   * The machine hangs: it reports nothing and answers nothing, and then goes on. What reached it meanwhile and was given up by its
   * sender is not executed.
   */
  async hang(ms) {
    this.hanging = true;
    this.world.record.line(`machine ${this.machine.ref}: hangs for ${ms / 1000} s`);
    await sleep(ms);
    this.hanging = false;
    this.world.record.line(`machine ${this.machine.ref}: goes on`);
  }

  /** The cloud takes the machine away in so many seconds, which the worker reports. */
  warn(seconds) {
    this.takenAt = performance.now() + seconds * 1000;
    this.changed = true;
    this.world.record.line(`machine ${this.machine.ref}: notice, taken in ${seconds} s`);
  }

  /** The machine is gone with everything on it. */
  remove() {
    if (this.gone) return;
    this.gone = true;
    clearInterval(this.leaseTimer);
    this.dropAll("machine gone");
    this.server.close();
    this.server.closeAllConnections();
    this.agent.destroy();
  }

  dropAll(cause) {
    for (const task of this.tasks.values()) {
      clearTimeout(task.timer);
      if (task.on) this.world.off(task.piece, task.attempt, this.machine.ref, cause);
    }
    this.tasks.clear();
  }

  checkLease() {
    if (this.gone || performance.now() - this.lastSentAnswered <= this.world.timing.lease_s * 1000) return;
    this.world.record.line(`machine ${this.machine.ref}: lease over, session ${this.shift + 1} begins`);
    this.dropAll("lease over");
    this.shift++;
    this.lastSentAnswered = performance.now();
    this.changed = true;
  }

  report() {
    this.tick++;
    return {
      host: this.machine.ref,
      addr: this.addr,
      build: this.machine.build.label,
      yard: this.machine.yard,
      loaner: this.machine.loaner,
      shift: this.shift,
      tick: this.tick,
      baton: this.baton,
      warningS: this.takenAt === null ? null : Math.max(0, (this.takenAt - performance.now()) / 1000),
      pieces: [...this.tasks.values()].map(({ piece, attempt, status, cause, kept }) => ({
        piece,
        try: attempt,
        status,
        ...(cause === null ? {} : { cause }),
        ...(kept ? { kept: true } : {}),
      })),
    };
  }

  async reportLoop() {
    const names = [...this.world.nodes.keys()];
    let index = Math.floor(Math.random() * names.length);
    while (!this.gone) {
      const interval = this.world.timing.report_s * 1000 * (0.75 + Math.random() / 2);
      const from = performance.now();
      const due = () => performance.now() - from >= (this.changed ? Math.min(500, interval) : interval);
      while (!this.gone && (this.hanging || !due())) await sleep(20);
      if (this.gone) return;
      this.changed = false;
      const sentAt = performance.now();
      const { shift } = this;
      const answer = await call(this.agent, this.world.nodes.get(names[index]), "POST", "/v1/report", this.report(), 4000);
      if (this.gone) return;
      const boss = answer?.status === 421 ? names.indexOf(answer.body.boss) : -1;
      if (answer?.status === 200) {
        if (typeof answer.body.baton !== "number" || answer.body.baton < this.baton || shift !== this.shift) continue;
        if (performance.now() - sentAt > 4000) continue;
        this.baton = answer.body.baton;
        this.lastSentAnswered = sentAt;
        const orders = answer.body.orders ?? [];
        if (orders.length > 0)
          this.world.record.line(`machine ${this.machine.ref}: answer to report ${this.shift}.${this.tick}: ${JSON.stringify(orders)}`);
        this.execute(orders);
        this.onAnswered();
      } else if (boss >= 0 && boss !== index) {
        index = boss;
        this.changed = true;
      } else {
        await sleep(1000);
        index = (index + 1) % names.length;
        this.changed = true;
      }
    }
  }

  async serve(req, res) {
    const body = await readJson(req);
    while (this.hanging && !this.gone && !res.destroyed) await sleep(20);
    if (this.gone || res.destroyed) return req.destroy();
    if (req.method === "GET" && req.url === "/show") return reply(res, 200, this.report());
    if (req.method !== "POST" || req.url !== "/commands" || typeof body?.baton !== "number" || typeof body.shift !== "number")
      return reply(res, 400, { error: "expected baton and shift" });
    const { baton, shift, orders = [] } = body;
    const ok = baton >= this.baton && shift === this.shift;
    if (orders.length > 0)
      this.world.record.line(
        `machine ${this.machine.ref}: command at ${this.addr}, baton ${baton}, shift ${shift}, ${ok ? "executed" : "refused"}: ${JSON.stringify(orders)}`,
      );
    if (ok) {
      if (baton > this.baton) this.changed = true;
      this.baton = baton;
      this.execute(orders);
    }
    reply(res, ok ? 200 : 409, this.report());
  }

  execute(orders) {
    for (const { verb, piece, try: attempt, windDownS = 0 } of orders) {
      const task = this.tasks.get(`${piece}#${attempt}`);
      if (verb === "start") this.startTask(piece, attempt);
      else if (verb === "clear" && task?.status === "exited") this.tasks.delete(`${piece}#${attempt}`);
      else if (verb === "stop" && task !== undefined && task.status !== "exited") this.stopTask(task, windDownS);
    }
  }

  startTask(piece, attempt) {
    const key = `${piece}#${attempt}`;
    if (this.tasks.has(key)) return;
    const task = { piece, attempt, status: "fetching", cause: null, kept: false, on: false, timer: undefined, job: undefined };
    const live = [...this.tasks.values()].filter(({ status }) => status !== "exited");
    this.tasks.set(key, task);
    this.changed = true;
    const job = this.world.jobs.get(jobOf(piece));
    const refuse = (cause) => Object.assign(task, { status: "exited", cause });
    if (job === undefined) return void refuse("no_such");
    if (live.some((other) => other.piece === piece)) return void refuse("busy");
    task.job = job;
    const { build } = this.machine;
    const used = (field) => live.reduce((sum, other) => sum + other.job.wire[field], job.wire[field]);
    if (used("cpus") > build.cpus + 1e-6 || used("accelerators") > build.accelerators + 1e-6 || used("ramGb") > build.ramGb + 1e-6)
      return void refuse("no_room");
    const fetchMs = this.images.has(job.wire.bundle) ? 0 : (job.wire.imageGb / build.fetchGbPerS) * 1000;
    task.timer = setTimeout(() => this.run(task), fetchMs);
  }

  run(task) {
    this.images.add(task.job.wire.bundle);
    task.status = "running";
    task.on = true;
    this.changed = true;
    this.world.on(task.piece, task.attempt, this.machine.ref);
    if (this.world.results.has(task.piece)) return this.exit(task, "done");
    if (task.job.wire.shape !== "daemon") task.timer = setTimeout(() => this.exit(task, "done"), task.job.runS * 1000);
  }

  exit(task, cause, kept = false) {
    clearTimeout(task.timer);
    if (cause === "done") this.world.results.add(task.piece);
    if (task.on) this.world.off(task.piece, task.attempt, this.machine.ref, cause);
    Object.assign(task, { status: "exited", cause, kept, on: false });
    this.changed = true;
  }

  stopTask(task, windDownS) {
    const { snapshotS, flushS } = task.job.wire;
    if (task.status === "running" && snapshotS > 0 && windDownS >= flushS) {
      clearTimeout(task.timer);
      task.status = "saving";
      this.changed = true;
      task.timer = setTimeout(() => this.exit(task, "stopped", true), flushS * 1000);
    } else if (task.status !== "saving" || windDownS === 0) this.exit(task, "stopped");
  }
}

/** A cloud as the protocol page describes it. `capacity`: machines by `label/yard/spot` or `label/yard/ordinary`. */
export class Cloud {
  constructor(world, builds, capacity, { bootS, listLagS }) {
    Object.assign(this, { world, builds, capacity, bootS, listLagS });
    this.machines = new Map();
    this.hires = new Map();
    this.views = [];
    /** Chooses the port of a machine that boots; 0 for a free one. */
    this.portOf = () => 0;
    /** Called when a machine is up. */
    this.onUp = () => undefined;
  }

  async start() {
    this.server = createServer((req, res) => void this.serve(req, res));
    await new Promise((resolve) => this.server.listen(0, HOST, resolve));
    this.addr = `${HOST}:${this.server.address().port}`;
    this.viewTimer = setInterval(() => this.takeView(), 250);
    return this.addr;
  }

  /** The list as of now, which is served after the lag. */
  takeView() {
    const at = performance.now();
    this.views.push({ at, hosts: [...this.machines.values()].map((machine) => this.listed(machine, at)) });
    while (this.views.length > 2 && this.views[1].at < at - this.listLagS * 1000) this.views.shift();
  }

  listed(machine, at) {
    const status = machine.worker?.addr === undefined ? "booting" : "running";
    const { ref, yard, loaner } = machine;
    return { ref, addr: machine.addr ?? "", build: machine.build.label, yard, loaner, status, ageS: (at - machine.rentedAt) / 1000 };
  }

  async serve(req, res) {
    const body = req.method === "POST" ? await readJson(req) : null;
    const url = new URL(req.url, `http://${HOST}`);
    if (url.pathname === "/machine_types") return reply(res, 200, { builds: this.builds });
    if (url.pathname === "/hosts" && req.method === "POST") return this.hire(res, body);
    if (url.pathname === "/hosts/delete") {
      for (const ref of body.hosts) this.take(ref, "returned");
      return reply(res, 200, {});
    }
    const from = url.searchParams.get("from") ?? "";
    const hosts = (this.views[0]?.hosts ?? []).filter(({ ref }) => ref > from).slice(0, 500);
    reply(res, 200, { hosts, truncated: false });
  }

  hire(res, { hire, build: label, yard, loaner, count }) {
    const before = this.hires.get(hire);
    if (before !== undefined) return reply(res, 200, { hosts: before });
    const kind = `${label}/${yard}/${loaner ? "spot" : "ordinary"}`;
    const build = this.builds.find((one) => one.label === label);
    const n = Math.min(count, this.capacity.get(kind) ?? 0);
    if (n === 0) return reply(res, 503, { error: "no capacity" });
    this.capacity.set(kind, this.capacity.get(kind) - n);
    const hosts = [];
    for (let i = 0; i < n; i++) {
      const ref = `i-${String(this.hires.size * 100 + i + 1).padStart(6, "0")}`;
      const machine = { ref, build, yard, loaner, kind, rentedAt: performance.now(), worker: null, addr: null };
      this.machines.set(ref, machine);
      machine.bootTimer = setTimeout(() => void this.boot(machine), this.bootS * 1000);
      hosts.push(ref);
    }
    this.hires.set(hire, hosts);
    this.world.record.line(`cloud: rented ${hosts.join(", ")} (${kind})`);
    reply(res, 200, { hosts });
  }

  async boot(machine) {
    const worker = new Worker(this.world, machine);
    machine.addr = await worker.start(this.portOf(machine));
    machine.worker = worker;
    this.world.record.line(`cloud: ${machine.ref} (${machine.kind}) is up at ${machine.addr}`);
    if (!this.machines.has(machine.ref)) worker.remove();
    else this.onUp(machine);
  }

  /** Ends a machine; `back`: whether the cloud can rent it again. */
  take(ref, why, back = true) {
    const machine = this.machines.get(ref);
    if (machine === undefined) return;
    this.machines.delete(ref);
    clearTimeout(machine.bootTimer);
    machine.worker?.remove();
    if (back) this.capacity.set(machine.kind, (this.capacity.get(machine.kind) ?? 0) + 1);
    this.world.record.line(`cloud: ${ref} is gone (${why})`);
  }

  close() {
    clearInterval(this.viewTimer);
    for (const ref of [...this.machines.keys()]) this.take(ref, "end of the case");
    this.server?.close();
    this.server?.closeAllConnections();
  }
}

/** A small deployment: the project's state service and controllers as processes, and the stand-ins around them. */
export class Deployment {
  constructor(caseDir, { builds, capacity, teams, bootS = 2, controllers = 3, restartS = 0, site }) {
    this.record = new Record(join(caseDir, "record.txt"));
    this.site = site;
    this.teams = teams;
    /** Seconds after which the platform starts a controller again that ended by itself; 0: never. */
    this.restartS = restartS;
    this.world = new World(this.record, site.workers);
    this.cloud = new Cloud(this.world, builds, capacity, { bootS, listLagS: site.cloud.list_lag_s });
    this.names = Array.from({ length: controllers }, (_, i) => `nest-${i}`);
    process.on("exit", () => this.killAll());
    this.dir = mkdtempSync(join(tmpdir(), "thorntrail-review-"));
    this.processes = new Map();
    this.children = [];
    this.agents = new Map();
    this.exits = [];
    this.closing = false;
  }

  /** Starts a process; its standard error goes to a file of the temporary folder. */
  spawn(name, command) {
    const child = spawn(command[0], command.slice(1), {
      cwd: ROOT,
      env: { ...process.env, LOG_LEVEL: process.env["LOG_LEVEL"] ?? "info" },
    });
    this.processes.set(name, child);
    this.children.push(child);
    child.stderr.on("data", (chunk) => appendFileSync(join(this.dir, `${name}.log`), chunk));
    child.on("exit", (code, signal) => {
      if (this.closing || child.ended === true) return;
      this.exits.push({ name, code, signal });
      this.record.line(`process ${name} ended by itself (code ${code}, signal ${signal})`);
      if (this.restartS > 0 && name !== "store") setTimeout(() => this.closing || this.startController(name), this.restartS * 1000);
    });
    return child;
  }

  async start() {
    const { state } = this.site;
    const storeConfig = join(this.dir, "store.hcl");
    writeFileSync(
      storeConfig,
      `limits {\n requests_per_second = ${state.rps}\n changes_per_second = ${state.write_rps}\n value_kb = ${state.value_kb}\n changes_per_transaction = ${state.txn_ops}\n}\n`,
    );
    const storePort = await freePort();
    this.stateAddr = `${HOST}:${storePort}`;
    this.storeAdmin = `${HOST}:${await freePort()}`;
    const main = join(ROOT, "target", "main.js");
    const store = this.spawn("store", [
      process.execPath,
      main,
      ...["store", "serve", "--listen", this.stateAddr, "--data", join(this.dir, "state"), "--config", storeConfig],
      ...["--admin", this.storeAdmin],
    ]);
    await new Promise((resolve, reject) => {
      store.stdout.once("data", resolve);
      store.once("exit", () => reject(new Error("the state service did not start")));
    });
    const cloudAddr = await this.cloud.start();
    const peers = new Map();
    for (const name of this.names) {
      this.world.nodes.set(name, `${HOST}:${await freePort()}`);
      peers.set(name, `${HOST}:${await freePort()}`);
      this.agents.set(name, new Agent({ keepAlive: true }));
    }
    for (const name of this.names) {
      writeFileSync(join(this.dir, `${name}.toml`), this.settings(name, peers, cloudAddr));
      this.startController(name);
    }
    await this.until("all controllers are up", 25, async () => {
      const answers = await Promise.all(
        this.names.map((name) => call(undefined, this.world.nodes.get(name), "GET", "/up", undefined, 1000)),
      );
      return answers.every((answer) => answer?.status === 200);
    });
  }

  /** Starts a controller with the command of the deploy file. */
  startController(name) {
    const text = readFileSync(join(ROOT, "deploy", "service.toml"), "utf8");
    const command = /^run = "(.*)"$/m.exec(text)[1].split(" ");
    this.record.line(`start ${name}: ${command.join(" ")} SETTINGS`);
    this.spawn(name, [...command, join(this.dir, `${name}.toml`)]);
  }

  /** Kills a process that this case started. */
  kill(name) {
    const child = this.processes.get(name);
    child.ended = true;
    child.kill("SIGKILL");
    this.record.line(`kill ${name}`);
  }

  settings(name, peers, cloudAddr) {
    const { workers, state, cloud, quota, zones } = this.site;
    const table = (head, values) =>
      `[${head}]\n${Object.entries(values)
        .map(([key, value]) => `${key} = ${typeof value === "number" ? value : JSON.stringify(value)}\n`)
        .join("")}\n`;
    let text = `host_name = "${name}"\narea = "${zones[0]}"\nfront = "${this.world.nodes.get(name)}"\npeer_listen = "${peers.get(name)}"\n\n`;
    for (const other of this.names)
      if (other !== name) text += table("[known]", { host_name: other, area: zones[0], peer_addr: peers.get(other) });
    text += table("endpoints", { cloud: cloudAddr, state: this.stateAddr });
    text += table("deployment", { size: this.names.length, zones, clock_off_ms: 1000 });
    for (const team of this.teams) text += table("[deployment.teams]", team);
    text += table("deployment.workers", workers) + table("deployment.state", state) + table("deployment.cloud", cloud);
    return text + table("deployment.quota", quota);
  }

  /** Changes the limits of the state service by its admin address. */
  async setStoreLimits(limits) {
    const answer = await call(undefined, this.storeAdmin, "PUT", "/limits", limits, 2000);
    if (answer?.status !== 200) throw new Error(`the limits of the state service were not changed: ${JSON.stringify(answer)}`);
  }

  /** Waits until the condition holds; throws if it does not within `withinS`. */
  async until(what, withinS, holds) {
    const end = performance.now() + withinS * 1000;
    while (!(await holds())) {
      if (performance.now() > end) throw new Error(`not within ${withinS} s: ${what}`);
      await sleep(100);
    }
    this.record.line(`now: ${what}`);
  }

  async ask(node, method, path, body, limitMs) {
    const answer = await call(this.agents.get(node), this.world.nodes.get(node), method, path, body, limitMs);
    this.record.line(
      `user -> ${node}: ${method} ${path}${body === undefined ? "" : ` ${JSON.stringify(body)}`} -> ${answer === null ? "no answer" : `${answer.status} ${JSON.stringify(answer.body)}`}`,
    );
    return answer;
  }

  /** Submits a job as users do, with repetitions for up to 60 s; true if it was accepted. */
  async submit(node, wire, runS) {
    this.world.jobs.set(wire.ref, { wire, runS });
    const end = performance.now() + 60_000;
    while (performance.now() < end) {
      const answer = await this.ask(node, "POST", "/v2/runs", wire, 5000);
      if (answer?.status === 200 || answer?.status === 201) return true;
      if (answer?.status === 400 || answer?.status === 422) return false;
      await sleep(Math.max(1000, (answer?.retryAfter ?? 0) * 1000));
    }
    return false;
  }

  /** Tasks of a job that are on machines now, with their machines. */
  running(ref) {
    const now = new Map();
    for (const { kind, piece, host } of this.world.events) {
      if (jobOf(piece) !== ref) continue;
      if (kind === "on") now.set(`${piece} on ${host}`, { piece, host });
      else now.delete(`${piece} on ${host}`);
    }
    return [...now.values()];
  }

  killAll() {
    this.closing = true;
    for (const child of this.children) child.kill("SIGKILL");
  }

  close() {
    this.killAll();
    this.cloud.close();
    for (const agent of this.agents.values()) agent.destroy();
    if (process.env["KEEP"] === undefined) rmSync(this.dir, { recursive: true, force: true });
    else this.record.line(`kept ${this.dir}`);
  }
}

/** Runs a command of the project, as an operator does; resolves with its standard output. */
export function command(record, ...args) {
  return new Promise((resolve, reject) => {
    const child = spawn(process.execPath, [join(ROOT, "target", "main.js"), ...args], { cwd: ROOT });
    let text = "";
    let notes = "";
    child.stdout.on("data", (chunk) => (text += chunk));
    child.stderr.on("data", (chunk) => (notes += chunk));
    child.on("exit", (code) => {
      record.line(`operator: ${args[0]} ${args[1]} -> exit code ${code}: ${text.trim()} ${notes.trim()}`);
      if (code === 0) resolve(text);
      else reject(new Error(`${args[0]} ${args[1]} failed`));
    });
  });
}

/** The machine type `redaccion` of the deployment `austro-prensa`. */
export const REDACCION = {
  ...{ label: "redaccion", cpus: 16, accelerators: 0, ramGb: 64, localGb: 60, fetchGbPerS: 0.2 },
  ...{ rate: 0.86, marketPrice: 0.2, bootS: 20, yards: ["sala-cuenca"] },
};

/** The machine type `fotolab` of the deployment `austro-prensa`. */
export const FOTOLAB = {
  ...{ label: "fotolab", cpus: 96, accelerators: 8, ramGb: 384, localGb: 80, fetchGbPerS: 0.6 },
  ...{ rate: 27.16, marketPrice: 6.91, bootS: 25, yards: ["sala-cuenca"] },
};

/** Teams of the deployment `austro-prensa`. */
export const TEAMS = [
  { name: "mesa-azuay", cpus: 520, cpus_max: 1744, gpus: 40, gpus_max: 88 },
  { name: "mesa-loja", cpus: 584, cpus_max: 1456, gpus: 48, gpus_max: 144 },
];

/** A job in the form of the protocol page, with ordinary values for what is not given. */
export function job(ref, fields) {
  return {
    ref,
    ...{ lane: "fotos", desk: "mesa-azuay", shape: "sweep", urgency: "low", pieces: 1, cpus: 4, accelerators: 0, ramGb: 8 },
    ...{ bundle: "img-01", imageGb: 0.1, builds: null, yard: null, samePlace: false, spread: false, loaner: false },
    ...{ guessS: 40, snapshotS: 0, flushS: 0, closeS: null },
    ...fields,
  };
}

/** Settings of the deployment `austro-prensa`, as its site file and the deploy page give them. */
export const AUSTRO = {
  zones: ["sala-cuenca"],
  workers: { report_s: 2.5, lease_s: 18, gang_wait_s: 35, gang_peer_s: 4, cancel_s: 43 },
  state: { rps: 100, write_rps: 25, value_kb: 32, txn_ops: 16 },
  cloud: { rps: 5, list_lag_s: 3 },
  quota: { core_share: 0.3, mem_mb: 178, sockets: 1500 },
};

/**
 * Runs a case: `steps` are an optional preparation before the deployment starts, and its play, which resolves with the broken rules,
 * none if they held. Sets the exit code and ends all processes.
 */
export async function runCase(deployment, ...steps) {
  const play = steps.at(-1);
  const limit = setTimeout(() => end(2, "the case took longer than 118 s"), 118_000);
  const end = (code, text) => {
    clearTimeout(limit);
    deployment.killAll();
    try {
      deployment.record.line(`result: ${text}`);
      deployment.close();
    } finally {
      process.stdout.write(`${text}\n`);
      process.exit(code);
    }
  };
  for (const signal of ["SIGINT", "SIGTERM"]) process.on(signal, () => end(2, "interrupted"));
  for (const fault of ["uncaughtException", "unhandledRejection"]) process.on(fault, (error) => end(2, `could not run: ${error}`));
  try {
    if (steps.length > 1) await steps[0]();
    await deployment.start();
    const broken = await play();
    if (broken.length > 0) end(1, `rule broken: ${broken.join("; ")}`);
    else end(0, "the rule held");
  } catch (error) {
    end(2, `could not run: ${error.message}`);
  }
}
