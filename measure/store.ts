import { spawn, type ChildProcess } from "node:child_process";
import { mkdtempSync, readdirSync, rmSync, statSync } from "node:fs";
import { Agent, request } from "node:http";
import { connect, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import { ClassicLevel } from "classic-level";
import { LevelEngine } from "../packages/store/src/level-engine.js";
import { median, options, progress, report, Times } from "./harness.js";

/**
 * The store under 64 clients, each with one transaction of two changes at a time, as a
 * share of what the engine alone does with batches of the same size in the same run.
 */
const CLIENTS = 64;
const VALUE = "v".repeat(300);
const given = options({ repeats: 5, quickRepeats: 2 });
const SECONDS = given.quick ? 2 : 5;
const root = mkdtempSync(join(tmpdir(), "measure-store-"));
const children = new Set<ChildProcess>();
process.on("exit", () => {
  for (const child of children) child.kill("SIGKILL");
  rmSync(root, { recursive: true, force: true });
});

function start(dir: string, admin: string): Promise<{ child: ChildProcess; port: number; ms: number }> {
  const began = performance.now();
  const child = spawn(
    process.execPath,
    ["target/main.js", "store", "serve", "--listen", "127.0.0.1:0", "--data", dir, "--config", "measure/store.hcl", "--admin", admin],
    { stdio: ["ignore", "pipe", "inherit"], env: { ...process.env, LOG_LEVEL: "error" } },
  );
  children.add(child);
  return new Promise((resolve) => {
    child.stdout!.once("data", (line: Buffer) => {
      const { listening } = JSON.parse(line.toString()) as { listening: string };
      resolve({ child, port: Number(listening.split(":")[1]), ms: performance.now() - began });
    });
  });
}

function stop(child: ChildProcess): Promise<void> {
  return new Promise((resolve) => {
    child.once("exit", () => resolve());
    child.kill("SIGTERM");
  });
}

function call(agent: Agent, port: number, method: string, path: string, body?: string): Promise<{ status: number; text: string }> {
  return new Promise((resolve, reject) => {
    const headers = body === undefined ? {} : { "content-length": Buffer.byteLength(body) };
    const req = request({ host: "127.0.0.1", port, method, path, agent, headers }, (res) => {
      let text = "";
      res.on("data", (some: Buffer) => (text += some.toString()));
      res.on("end", () => resolve({ status: res.statusCode!, text }));
    });
    req.on("error", reject);
    req.end(body);
  });
}

async function figure(port: number, name: string): Promise<number> {
  const { text } = await call(new Agent(), port, "GET", "/metrics");
  return Number(new RegExp(`^thorntrail_store_${name} (\\S+)$`, "m").exec(text)![1]);
}

/** One client's connection, spoken by hand: the load must cost less than what it is put on. */
class Client {
  private readonly socket: Socket;
  private got = "";
  private answered: (status: number) => void = () => undefined;

  constructor(port: number) {
    this.socket = connect(port, "127.0.0.1");
    this.socket.setNoDelay(true);
    this.socket.setEncoding("latin1");
    this.socket.on("data", (some: string) => {
      this.got += some;
      const head = this.got.indexOf("\r\n\r\n");
      if (head < 0) return;
      const length = Number(/content-length: (\d+)/i.exec(this.got.slice(0, head))![1]);
      if (this.got.length < head + 4 + length) return;
      const status = Number(this.got.slice(9, 12));
      this.got = this.got.slice(head + 4 + length);
      this.answered(status);
    });
  }

  post(body: string): Promise<number> {
    return new Promise((resolve, reject) => {
      this.answered = resolve;
      this.socket.once("error", reject);
      this.socket.write(
        `POST /txn HTTP/1.1\r\nhost: store\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
      );
      this.socket.off("error", reject);
    });
  }

  close(): void {
    this.socket.destroy();
  }
}

async function loaded(port: number, times: Times, seconds: number): Promise<number> {
  const until = performance.now() + seconds * 1000;
  let done = 0;
  await Promise.all(
    Array.from({ length: CLIENTS }, async (_, c) => {
      const client = new Client(port);
      for (let n = 0; performance.now() < until; n++) {
        const body = JSON.stringify({ apply: [0, 1].map((i) => ({ write: `t/j/${c}-${i}-${n % 50}`, v: { n, text: VALUE } })) });
        const at = performance.now();
        const status = await client.post(body);
        if (status !== 200) throw new Error(`answered ${status}`);
        times.add(performance.now() - at);
        done += 2;
      }
      client.close();
    }),
  );
  return done / seconds;
}

/** The engine alone: the entries that so many changes in one group make, one synced batch after another. */
async function alone(dir: string, changesPerGroup: number, seconds: number): Promise<number> {
  const db = new ClassicLevel<string, string>(dir);
  await db.open();
  const text = JSON.stringify({ n: 1, text: VALUE });
  let stamp = 0;
  let changes = 0;
  let carry = 0;
  const until = performance.now() + seconds * 1000;
  while (performance.now() < until) {
    carry += changesPerGroup;
    const size = Math.max(1, Math.floor(carry));
    carry -= size;
    const batch = db.batch();
    for (let i = 0; i < size; i++) {
      if (i % 2 === 0) stamp++;
      batch.put(`k!t/j/${changes % 6400}`, `00000000${stamp} - ${text}`);
      batch.put(`e!${String(stamp).padStart(16, "0")}!${i % 2}`, `00000000t/j/${changes} ${text}`);
      if (i % 2 === 0) batch.put(`r!${String(stamp).padStart(16, "0")}`, "000000002");
      changes++;
    }
    batch.put("m!", JSON.stringify({ stamp }));
    await batch.write({ sync: true });
  }
  await db.close();
  return changes / seconds;
}

/** A server that only reads a transaction as JSON and answers: what speaking HTTP costs, in the same run. */
const BARE = `
import { createServer } from "node:http";
let ledger = 0;
const server = createServer((req, res) => {
  const chunks = [];
  req.on("data", (some) => chunks.push(some));
  req.on("end", () => {
    JSON.parse(Buffer.concat(chunks).toString("utf8"));
    const text = '{"ledger":' + ++ledger + "}";
    res.writeHead(200, { "content-type": "application/json", "content-length": text.length });
    res.end(text);
  });
});
server.keepAliveTimeout = 0;
server.listen(0, "127.0.0.1", () => console.log(server.address().port));
`;

async function bare(seconds: number): Promise<number> {
  const child = spawn(process.execPath, ["--input-type=module", "-e", BARE], { stdio: ["ignore", "pipe", "inherit"] });
  children.add(child);
  const port = await new Promise<number>((resolve) => child.stdout.once("data", (line: Buffer) => resolve(Number(line.toString()))));
  await loaded(port, new Times(), seconds / 4);
  const changes = await loaded(port, new Times(), seconds);
  await stop(child);
  return changes;
}

const served: number[] = [];
const http: number[] = [];
const engine: number[] = [];
const groups: number[] = [];
const times = new Times();
const ADMIN = 23_790 + (process.pid % 1000);
for (let i = 0; i < given.repeats; i++) {
  const { child, port } = await start(join(root, `served-${i}`), `127.0.0.1:${ADMIN}`);
  await loaded(port, new Times(), SECONDS / 4);
  const before = { groups: await figure(ADMIN, "groups_total"), changes: await figure(ADMIN, "changes_total") };
  served.push(await loaded(port, times, SECONDS));
  const size = ((await figure(ADMIN, "changes_total")) - before.changes) / ((await figure(ADMIN, "groups_total")) - before.groups);
  groups.push(size);
  await stop(child);
  http.push(await bare(SECONDS));
  engine.push(await alone(join(root, `alone-${i}`), size, SECONDS));
  progress(
    `${i + 1} of ${given.repeats}: ${Math.round(served[i]!)} changes a second served, ${Math.round(engine[i]!)} by the engine alone, ${Math.round(http[i]!)} answered by a bare HTTP server, ${size.toFixed(1)} a group`,
  );
}

// Start-up and size: many live keys, few leases, a short history.
const dir = join(root, "large");
const keys = given.quick ? 100_000 : 1_000_000;
{
  const { child, port } = await start(dir, `127.0.0.1:${ADMIN}`);
  await call(new Agent(), port, "POST", "/txn", JSON.stringify({ apply: [{ write: "t/first", v: 1 }] }));
  await stop(child);
  const large = await LevelEngine.open(join(dir, "db"));
  for (let n = 0; n < keys; n += 1000)
    await large.putEntries(
      Array.from({ length: 1000 }, (_, i) => [
        `k!t/j/run-${String(n + i).padStart(9, "0")}`,
        `1 - {"part":${(n + i) % 5},"text":"${VALUE.slice(0, 150)}"}`,
      ]),
      n + 1000 >= keys,
    );
  await large.close();
}
const size = (folder: string): number => readdirSync(folder).reduce((sum, name) => sum + statSync(join(folder, name)).size, 0);
const starts: number[] = [];
for (let i = 0; i < 3; i++) {
  const { child, ms } = await start(dir, `127.0.0.1:${ADMIN}`);
  starts.push(ms / 1000);
  await stop(child);
}
const empty: number[] = [];
for (let i = 0; i < 3; i++) {
  const { child, ms } = await start(join(root, `empty-${i}`), `127.0.0.1:${ADMIN}`);
  empty.push(ms / 1000);
  await stop(child);
}
report("store", given, {
  clients: CLIENTS,
  changes_per_s: median(served),
  engine_changes_per_s: median(engine),
  bare_http_changes_per_s: median(http),
  ratio_to_bare_http: median(served.map((n, i) => n / http[i]!)),
  ratio_to_engine: median(served.map((n, i) => n / engine[i]!)),
  changes_per_group: median(groups),
  commit_p50_ms: times.at(50),
  commit_p99_ms: times.at(99),
  commit_worst_ms: times.worst,
  live_keys: keys,
  startup_s: median(starts),
  startup_empty_s: median(empty),
  startup_s_per_million_keys: ((median(starts) - median(empty)) * 1e6) / keys,
  bytes_per_live_key: size(join(dir, "db")) / keys,
});
