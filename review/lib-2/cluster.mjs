/**
 * Shared by the cases 4 to 8: starts the project's state service and controllers as separate processes, and plays the
 * cloud, the workers and the users on loopback addresses.
 */
import { spawn } from "node:child_process";
import { appendFileSync, createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import { connect, createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { Platform } from "./platform.mjs";

/** Root of the repository. */
export const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Sends one request; resolves to `{ status, body }`, or null if there is no answer within `timeoutMs`. */
export function request(addr, method, path, body, timeoutMs = 5000) {
  const [host, port] = addr.split(":");
  return new Promise((resolve) => {
    const text = body === undefined ? undefined : typeof body === "string" ? body : JSON.stringify(body);
    const headers = text === undefined ? {} : { "content-type": "application/json", "content-length": Buffer.byteLength(text) };
    const req = http.request({ host, port, method, path, headers, agent: false }, (res) => {
      const chunks = [];
      res.on("data", (chunk) => chunks.push(chunk));
      res.on("error", () => resolve(null));
      res.on("end", () => {
        const answer = Buffer.concat(chunks).toString("utf8");
        let parsed = {};
        try {
          parsed = JSON.parse(answer);
        } catch {
          parsed = { text: answer };
        }
        resolve({ status: res.statusCode, body: parsed, retryAfter: res.headers["retry-after"] });
      });
    });
    const timer = setTimeout(() => req.destroy(new Error("timeout")), timeoutMs);
    req.on("error", () => resolve(null));
    req.on("close", () => {
      clearTimeout(timer);
      resolve(null);
    });
    if (text !== undefined) req.write(text);
    req.end();
  });
}

/** Ports below those that systems usually give to outgoing connections, one of which could take a chosen port before it is used. */
const PORTS = { first: 20_000, count: 12_000 };

/** Whether the loopback port can be listened on. */
function isFree(port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}

/** Returns a free loopback port, chosen at random so that cases that run at the same time rarely choose the same. */
async function freePort() {
  for (;;) {
    const port = PORTS.first + Math.floor(Math.random() * PORTS.count);
    if (await isFree(port)) return port;
  }
}

/** The command of the deploy file that starts a controller, without the settings file. */
function runCommand() {
  const text = readFileSync(join(ROOT, "deploy", "service.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

/** Writes a value as TOML, for the few types that a settings file has. */
function toml(value) {
  if (Array.isArray(value)) return `[${value.map(toml).join(", ")}]`;
  if (typeof value === "object") return `{ ${Object.entries(value).map(([k, v]) => `${k} = ${toml(v)}`).join(", ")} }`; // prettier-ignore
  return typeof value === "string" ? JSON.stringify(value) : String(value);
}

/** A small deployment on this machine. `site` holds the figures of a site of the users' pages. */
export class Cluster {
  constructor(folder, site) {
    this.site = site;
    this.folder = folder;
    this.dir = mkdtempSync(join(tmpdir(), "thorntrail-review-"));
    this.recordFile = join(folder, "record.txt");
    writeFileSync(this.recordFile, "");
    this.startedAt = Date.now();
    this.processes = new Map();
    this.names = Array.from({ length: site.controllers ?? 3 }, (_, i) => `nest-${i}`);
    this.fronts = new Map();
    this.peers = new Map();
    this.exits = [];
  }

  /** Writes a line with the time in seconds since the start to `record.txt`. */
  note(text) {
    appendFileSync(this.recordFile, `${((Date.now() - this.startedAt) / 1000).toFixed(3)} ${text}\n`);
  }

  spawn(name, command, env = {}) {
    const child = spawn(command[0], command.slice(1), {
      cwd: ROOT,
      env: { ...process.env, LOG_LEVEL: "info", ...env },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const log = createWriteStream(join(this.dir, `${name}.log`), { flags: "a" });
    child.stderr.pipe(log);
    child.output = "";
    child.stdout.on("data", (chunk) => (child.output += chunk));
    child.once("exit", (code, signal) => {
      this.note(`${name}: process ${child.pid} ended, code ${code}, signal ${signal}`);
      if (!child.expected) this.exits.push({ name, code, signal, at: Date.now() });
      child.ended = true;
    });
    this.note(`${name}: process ${child.pid} started`);
    this.processes.set(name, child);
    return child;
  }

  /** Ends a process and waits until it is gone. */
  async kill(name, signal = "SIGKILL") {
    const child = this.processes.get(name);
    if (child === undefined || child.ended) return;
    child.expected = true;
    const gone = new Promise((resolve) => child.once("exit", resolve));
    child.kill(signal);
    await gone;
  }

  /** Starts the project's state service with the limits of the site, or with others. */
  async startStore(limits = this.site.state) {
    this.statePort ??= await freePort();
    this.adminPort ??= await freePort();
    const config = join(this.dir, "store.hcl");
    writeFileSync(
      config,
      `limits {\n requests_per_second = ${limits.rps}\n changes_per_second = ${limits.write_rps}\n value_kb = ${limits.value_kb}\n changes_per_transaction = ${limits.txn_ops}\n}\n`,
    );
    const child = this.spawn("store", [
      ...["node", "target/main.js", "store", "serve", "--listen", `127.0.0.1:${this.statePort}`],
      ...["--data", join(this.dir, "state"), "--config", config, "--admin", `127.0.0.1:${this.adminPort}`],
    ]);
    for (let i = 0; i < 200 && !child.output.includes("\n"); i++) await sleep(50);
    if (!child.output.includes("listening")) throw new Error("the state service did not start");
    this.state = `127.0.0.1:${this.statePort}`;
  }

  /** Starts the cloud and the workers, which are played by this process. */
  async startPlatform() {
    for (const name of this.names) {
      this.fronts.set(name, `127.0.0.1:${await freePort()}`);
      this.peers.set(name, `127.0.0.1:${await freePort()}`);
    }
    this.platform = new Platform(this);
    this.cloud = await this.platform.start();
  }

  /** Starts one controller by the command of the deploy file. */
  startController(name, { state = this.state } = {}) {
    const { site } = this;
    const lines = [
      `host_name = "${name}"`,
      `area = "${site.zone}"`,
      `front = "${this.fronts.get(name)}"`,
      `peer_listen = "${this.peers.get(name)}"`,
      ...this.names
        .filter((other) => other !== name)
        .map((other) => `[[known]]\nhost_name = "${other}"\narea = "${site.zone}"\npeer_addr = "${this.peers.get(other)}"`),
      `[endpoints]\ncloud = "${this.cloud}"\nstate = "${state}"`,
      `[deployment]\nsize = ${this.names.length}\nzones = ["${site.zone}"]\nclock_off_ms = 1000.0`,
      ...site.teams.map((team) => `[[deployment.teams]]\n${Object.entries(team).map(([k, v]) => `${k} = ${toml(v)}`).join("\n")}`), // prettier-ignore
      ...site.objectives.map((one) => `[[deployment.objectives]]\n${Object.entries(one).map(([k, v]) => `${k} = ${toml(v)}`).join("\n")}`), // prettier-ignore
      ...["workers", "state", "cloud", "quota"].map(
        (part) =>
          `[deployment.${part}]\n${Object.entries(part === "cloud" ? site.cloud : site[part])
            .map(([k, v]) => `${k} = ${toml(v)}`)
            .join("\n")}`,
      ),
    ];
    const file = join(this.dir, `${name}.toml`);
    writeFileSync(file, `${lines.join("\n")}\n`);
    return this.spawn(name, [...runCommand(), file]);
  }

  /** Starts all controllers; resolves once each answers its health check with 200, or throws after 30 s. */
  async startControllers() {
    for (const name of this.names) this.startController(name);
    await this.healthy(this.names, 30_000);
  }

  async healthy(names, withinMs) {
    const until = Date.now() + withinMs;
    for (const name of names)
      for (;;) {
        const answer = await request(this.fronts.get(name), "GET", "/up", undefined, 1000);
        if (answer?.status === 200) break;
        if (Date.now() > until) throw new Error(`${name} is not healthy`);
        await sleep(200);
      }
  }

  /** Submits a job at one controller like a user: repeated after 1 s or `Retry-After`, for 60 s at most. Resolves to the last answer. */
  async submit(name, job, withinMs = 60_000) {
    this.platform.jobs.set(job.ref, job);
    const until = Date.now() + withinMs;
    for (;;) {
      const answer = await request(this.fronts.get(name), "POST", "/v2/runs", job, 5000);
      this.note(`submit ${job.ref} at ${name}: ${answer === null ? "no answer" : `${answer.status} ${JSON.stringify(answer.body)}`}`);
      if (answer !== null && [200, 201, 400, 422].includes(answer.status)) return answer;
      const pauseMs = Math.min(30, Math.max(1, Number(answer?.retryAfter ?? 1))) * 1000;
      if (Date.now() + pauseMs > until) return answer;
      await sleep(pauseMs);
    }
  }

  async poll(name, ref) {
    const answer = await request(this.fronts.get(name), "GET", `/v2/runs/${ref}`, undefined, 2000);
    this.note(`poll ${ref} at ${name}: ${answer === null ? "no answer" : `${answer.status} ${JSON.stringify(answer.body)}`}`);
    return answer;
  }

  /** The log of a process so far. */
  log(name) {
    return readFileSync(join(this.dir, `${name}.log`), "utf8");
  }

  /** Ends all processes and listeners and removes the folder. */
  async close() {
    for (const child of this.processes.values()) {
      child.expected = true;
      if (!child.ended) child.kill("SIGKILL");
    }
    for (let i = 0; i < 100 && [...this.processes.values()].some((child) => !child.ended); i++) await sleep(20);
    this.platform?.close();
    if (process.env.KEEP !== "1") rmSync(this.dir, { recursive: true, force: true });
  }
}

/** Runs a case: exits with 1 if `play` returns what broke the rule, 0 if it returns null, and 2 if it could not run. */
export async function runCase(folder, site, play) {
  const cluster = new Cluster(folder, site);
  const trouble = process.env.TROUBLE !== "0";
  let code = 2;
  const stop = setTimeout(() => {
    cluster.note("could not run: 118 s are over");
    void cluster.close().then(() => process.exit(2));
  }, 118_000);
  try {
    const broken = await play(cluster, trouble);
    cluster.note(broken === null ? "the rule held" : `the rule was broken: ${broken}`);
    code = broken === null ? 0 : 1;
  } catch (error) {
    cluster.note(`could not run: ${error.stack}`);
  }
  clearTimeout(stop);
  await cluster.close();
  process.exit(code);
}

/** A proxy on loopback in front of `target` whose answers take `delayMs()` longer. Resolves to its address and a function that ends it. */
export function slowProxy(target, delayMs) {
  const [host, port] = target.split(":");
  const sockets = new Set();
  const server = createServer((client) => {
    const upstream = connect({ host, port: Number(port), noDelay: true });
    client.setNoDelay(true);
    for (const socket of [client, upstream]) {
      sockets.add(socket);
      socket.on("error", () => undefined);
      socket.on("close", () => {
        sockets.delete(socket);
        client.destroy();
        upstream.destroy();
      });
    }
    client.on("data", (chunk) => upstream.write(chunk));
    let sendAt = 0;
    upstream.on("data", (chunk) => {
      // Chunks keep their order also while the delay changes.
      sendAt = Math.max(sendAt, Date.now() + delayMs());
      setTimeout(() => client.destroyed || client.write(chunk), sendAt - Date.now());
    });
  });
  return new Promise((resolve) => {
    server.listen(0, "127.0.0.1", () => {
      const close = () => {
        server.close();
        for (const socket of sockets) socket.destroy();
      };
      resolve({ addr: `127.0.0.1:${server.address().port}`, close });
    });
  });
}
