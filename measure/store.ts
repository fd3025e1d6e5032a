import { spawn, type ChildProcess } from "node:child_process";
import { mkdtempSync, readdirSync, rmSync, statSync } from "node:fs";
import { Agent, request } from "node:http";
import { connect, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import { ClassicLevel } from "classic-level";
import { LevelEngine } from "../packages/store/src/level-engine.js";
import { median, parseOptions, progress, report, LatencyHistogram } from "./harness.js";

/**
 * Measures the throughput and commit latency of the store under 64 clients, each with one
 * transaction of two changes in flight, relative to the storage engine alone with batches of the
 * same size and to a bare HTTP server in the same run. Also measures its start-up time and its
 * size on disk with many live keys.
 */
const CLIENTS = 64;
/** Text of each written value, 300 bytes. */
const PAYLOAD = "v".repeat(300);
const options = parseOptions({ repeats: 5, quickRepeats: 2 });
const LOAD_SECONDS = options.quick ? 2 : 5;
const rootDir = mkdtempSync(join(tmpdir(), "measure-store-"));
const children = new Set<ChildProcess>();
process.on("exit", () => {
  for (const child of children) child.kill("SIGKILL");
  rmSync(rootDir, { recursive: true, force: true });
});

/** Starts a store process on a data directory; `ms` is the time until it listens. */
function startStore(dir: string, admin: string): Promise<{ child: ChildProcess; port: number; ms: number }> {
  const startedAt = performance.now();
  const child = spawn(
    process.execPath,
    ["target/main.js", "store", "serve", "--listen", "127.0.0.1:0", "--data", dir, "--config", "measure/store.hcl", "--admin", admin],
    { stdio: ["ignore", "pipe", "inherit"], env: { ...process.env, LOG_LEVEL: "error" } },
  );
  children.add(child);
  return new Promise((resolve) => {
    child.stdout!.once("data", (line: Buffer) => {
      const { listening } = JSON.parse(line.toString()) as { listening: string };
      resolve({ child, port: Number(listening.split(":")[1]), ms: performance.now() - startedAt });
    });
  });
}

function stopProcess(child: ChildProcess): Promise<void> {
  return new Promise((resolve) => {
    child.once("exit", () => resolve());
    child.kill("SIGTERM");
  });
}

function sendRequest(agent: Agent, port: number, method: string, path: string, body?: string): Promise<{ status: number; text: string }> {
  return new Promise((resolve, reject) => {
    const headers = body === undefined ? {} : { "content-length": Buffer.byteLength(body) };
    const req = request({ host: "127.0.0.1", port, method, path, agent, headers }, (res) => {
      let text = "";
      res.on("data", (chunk: Buffer) => (text += chunk.toString()));
      res.on("end", () => resolve({ status: res.statusCode!, text }));
    });
    req.on("error", reject);
    req.end(body);
  });
}

/** Reads one metric of the store from its administration address. */
async function readMetric(port: number, name: string): Promise<number> {
  const { text } = await sendRequest(new Agent(), port, "GET", "/metrics");
  return Number(new RegExp(`^thorntrail_store_${name} (\\S+)$`, "m").exec(text)![1]);
}

/** A minimal HTTP/1.1 client on one connection, so that generating load takes less processor time than serving it. */
class RawHttpClient {
  private readonly socket: Socket;
  private buffer = "";
  /** Called with the status of the next response. */
  private onStatus: (status: number) => void = () => undefined;

  constructor(port: number) {
    this.socket = connect(port, "127.0.0.1");
    this.socket.setNoDelay(true);
    this.socket.setEncoding("latin1");
    this.socket.on("data", (chunk: string) => {
      this.buffer += chunk;
      const headEnd = this.buffer.indexOf("\r\n\r\n");
      if (headEnd < 0) return;
      const length = Number(/content-length: (\d+)/i.exec(this.buffer.slice(0, headEnd))![1]);
      if (this.buffer.length < headEnd + 4 + length) return;
      const status = Number(this.buffer.slice(9, 12));
      this.buffer = this.buffer.slice(headEnd + 4 + length);
      this.onStatus(status);
    });
  }

  /** Posts a transaction and returns the status of the response. */
  post(body: string): Promise<number> {
    return new Promise((resolve, reject) => {
      this.onStatus = resolve;
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

/** Runs all clients for the given time and returns the changes per second. Throws if a transaction is not answered with 200. */
async function runLoad(port: number, latencies: LatencyHistogram, seconds: number): Promise<number> {
  const deadline = performance.now() + seconds * 1000;
  let changes = 0;
  await Promise.all(
    Array.from({ length: CLIENTS }, async (_, c) => {
      const client = new RawHttpClient(port);
      for (let n = 0; performance.now() < deadline; n++) {
        const body = JSON.stringify({ apply: [0, 1].map((i) => ({ write: `t/j/${c}-${i}-${n % 50}`, v: { n, text: PAYLOAD } })) });
        const sentAt = performance.now();
        const status = await client.post(body);
        if (status !== 200) throw new Error(`a transaction was answered with status ${status}`);
        latencies.add(performance.now() - sentAt);
        changes += 2;
      }
      client.close();
    }),
  );
  return changes / seconds;
}

/** Writes the entries that a group of changes produces to the storage engine, one synced batch after another; returns changes per second. */
async function runEngineLoad(dir: string, changesPerGroup: number, seconds: number): Promise<number> {
  const db = new ClassicLevel<string, string>(dir);
  await db.open();
  const text = JSON.stringify({ n: 1, text: PAYLOAD });
  let stamp = 0;
  let changes = 0;
  let fractionalChanges = 0;
  const deadline = performance.now() + seconds * 1000;
  while (performance.now() < deadline) {
    fractionalChanges += changesPerGroup;
    const size = Math.max(1, Math.floor(fractionalChanges));
    fractionalChanges -= size;
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

/** Source of a server that only parses a transaction and answers it, as a baseline for the cost of HTTP. */
const BARE_HTTP_SERVER = `
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

/** Runs the load against the bare HTTP server and returns the changes per second. */
async function runBareHttpLoad(seconds: number): Promise<number> {
  const child = spawn(process.execPath, ["--input-type=module", "-e", BARE_HTTP_SERVER], { stdio: ["ignore", "pipe", "inherit"] });
  children.add(child);
  const port = await new Promise<number>((resolve) => child.stdout.once("data", (line: Buffer) => resolve(Number(line.toString()))));
  await runLoad(port, new LatencyHistogram(), seconds / 4);
  const changes = await runLoad(port, new LatencyHistogram(), seconds);
  await stopProcess(child);
  return changes;
}

const storeRates: number[] = [];
const httpRates: number[] = [];
const engineRates: number[] = [];
const groupSizes: number[] = [];
const commitLatencies = new LatencyHistogram();
const ADMIN_PORT = 23_790 + (process.pid % 1000);
for (let i = 0; i < options.repeats; i++) {
  const { child, port } = await startStore(join(rootDir, `served-${i}`), `127.0.0.1:${ADMIN_PORT}`);
  await runLoad(port, new LatencyHistogram(), LOAD_SECONDS / 4);
  const before = { groups: await readMetric(ADMIN_PORT, "groups_total"), changes: await readMetric(ADMIN_PORT, "changes_total") };
  storeRates.push(await runLoad(port, commitLatencies, LOAD_SECONDS));
  const size =
    ((await readMetric(ADMIN_PORT, "changes_total")) - before.changes) / ((await readMetric(ADMIN_PORT, "groups_total")) - before.groups);
  groupSizes.push(size);
  await stopProcess(child);
  httpRates.push(await runBareHttpLoad(LOAD_SECONDS));
  engineRates.push(await runEngineLoad(join(rootDir, `alone-${i}`), size, LOAD_SECONDS));
  progress(
    `${i + 1} of ${options.repeats}: ${Math.round(storeRates[i]!)} changes/s by the store, ${Math.round(engineRates[i]!)} by the engine alone, ${Math.round(httpRates[i]!)} by a bare HTTP server, ${size.toFixed(1)} changes per group`,
  );
}

// Start-up time and size on disk with many live keys, few leases and a short history.
const largeDir = join(rootDir, "large");
const keyCount = options.quick ? 100_000 : 1_000_000;
{
  const { child, port } = await startStore(largeDir, `127.0.0.1:${ADMIN_PORT}`);
  await sendRequest(new Agent(), port, "POST", "/txn", JSON.stringify({ apply: [{ write: "t/first", v: 1 }] }));
  await stopProcess(child);
  const large = await LevelEngine.open(join(largeDir, "db"));
  for (let n = 0; n < keyCount; n += 1000)
    await large.putEntries(
      Array.from({ length: 1000 }, (_, i) => [
        `k!t/j/run-${String(n + i).padStart(9, "0")}`,
        `1 - {"part":${(n + i) % 5},"text":"${PAYLOAD.slice(0, 150)}"}`,
      ]),
      n + 1000 >= keyCount,
    );
  await large.close();
}
const directoryBytes = (folder: string): number => readdirSync(folder).reduce((sum, name) => sum + statSync(join(folder, name)).size, 0);
const startupTimesS: number[] = [];
for (let i = 0; i < 3; i++) {
  const { child, ms } = await startStore(largeDir, `127.0.0.1:${ADMIN_PORT}`);
  startupTimesS.push(ms / 1000);
  await stopProcess(child);
}
const emptyStartupTimesS: number[] = [];
for (let i = 0; i < 3; i++) {
  const { child, ms } = await startStore(join(rootDir, `empty-${i}`), `127.0.0.1:${ADMIN_PORT}`);
  emptyStartupTimesS.push(ms / 1000);
  await stopProcess(child);
}
report("store", options, {
  clients: CLIENTS,
  changes_per_s: median(storeRates),
  engine_changes_per_s: median(engineRates),
  bare_http_changes_per_s: median(httpRates),
  ratio_to_bare_http: median(storeRates.map((n, i) => n / httpRates[i]!)),
  ratio_to_engine: median(storeRates.map((n, i) => n / engineRates[i]!)),
  changes_per_group: median(groupSizes),
  commit_p50_ms: commitLatencies.percentileMs(50),
  commit_p99_ms: commitLatencies.percentileMs(99),
  commit_worst_ms: commitLatencies.maxMs,
  live_keys: keyCount,
  startup_s: median(startupTimesS),
  startup_empty_s: median(emptyStartupTimesS),
  startup_s_per_million_keys: ((median(startupTimesS) - median(emptyStartupTimesS)) * 1e6) / keyCount,
  bytes_per_live_key: directoryBytes(join(largeDir, "db")) / keyCount,
});
