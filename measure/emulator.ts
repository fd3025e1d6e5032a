import { spawn } from "node:child_process";
import { createServer, Agent, request, type IncomingMessage } from "node:http";
import type { AddressInfo } from "node:net";
import { monitorEventLoopDelay, performance } from "node:perf_hooks";
import { fileURLToPath } from "node:url";
import { NetworkRules } from "@thorntrail/emulator/network-rules";
import { seededRandom } from "@thorntrail/emulator/random";
import { DEFAULT_TIMING } from "@thorntrail/emulator/environment";
import { WorkerHost } from "../packages/emulator/src/real/worker-host.js";
import type { JobSpec } from "../packages/protocol/src/jobs.js";
import { options, progress, report } from "./harness.js";

/**
 * Workers that one process carries with their reports on time: a process of emulated workers
 * reports at the usual interval to a stand-in controller in this one, which keeps four tasks of
 * 10 s on each by direct commands, as controllers do, and clears what has ended.
 */
const TASKS = 4;
const RUN_MS = 10_000;
const WARM_MS = 6000;
/** Of reports, how many may be late. */
const MOST_LATE = 0.01;
const COUNT = "MEASURE_WORKERS";
const FRONT = "MEASURE_FRONT";
const LENGTH = "MEASURE_MS";

interface Seen {
  reports: number;
  late: number;
  unanswered: number;
  started: number;
  core: number;
  loop_p99_ms: number;
  rss_mb: number;
}

const SPEC: JobSpec = {
  ...{ ref: "run-000001", klass: "c", team: "t", kind: "array", urgency: "normal", tasks: 1000, cpus: 1, gpus: 0, ram: 1 },
  ...{ types: null, zone: null, oneZone: false, spread: false, spot: false, image: "img", imageGb: 1, guessS: 10 },
  ...{ checkpointS: 0, flushS: 0, deadlineS: null },
};

/** The process of workers: prints what it saw as one line of JSON. */
async function carry(count: number, front: string, lengthMs: number): Promise<void> {
  const began = performance.now();
  const seen = { started: 0 };
  const host = new WorkerHost(new NetworkRules(), new Map([["nest-0", front]]), {
    clock: {
      now: () => performance.now() - began,
      after: (ms, fn) => {
        const timer = setTimeout(fn, ms);
        return () => clearTimeout(timer);
      },
    },
    ...DEFAULT_TIMING,
    random: seededRandom(1),
    nodes: ["nest-0"],
    spec: () => SPEC,
    runMs: () => RUN_MS,
    fetchMs: () => 500,
    slowdown: () => 1,
    failsTasks: () => false,
    savedProgress: new Map(),
    onTaskStarted: () => void seen.started++,
    onTaskEnded: () => undefined,
  });
  const room = { cpus: TASKS, gpus: 0, ram: TASKS };
  for (let i = 0; i < count; i++) await host.boot(`i-${String(i).padStart(6, "0")}`, { type: "m", zone: "a", spot: false }, room);
  await new Promise((resolve) => setTimeout(resolve, WARM_MS));
  const before = { ...host.stats, ...seen };
  const cpu = process.cpuUsage();
  const from = performance.now();
  const loop = monitorEventLoopDelay({ resolution: 10 });
  loop.enable();
  await new Promise((resolve) => setTimeout(resolve, lengthMs));
  const used = process.cpuUsage(cpu);
  const said: Seen = {
    reports: host.stats.reports - before.reports,
    late: host.stats.late - before.late,
    unanswered: host.stats.unanswered - before.unanswered,
    started: seen.started - before.started,
    core: (used.user + used.system) / 1000 / (performance.now() - from),
    loop_p99_ms: loop.percentile(99) / 1e6 - 10,
    rss_mb: process.memoryUsage.rss() / 2 ** 20,
  };
  process.stdout.write(`${JSON.stringify(said)}\n`);
  process.exit(0);
}

function bodyOf(req: IncomingMessage): Promise<Record<string, unknown>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    req.on("data", (some: Buffer) => chunks.push(some));
    req.on("end", () => resolve(JSON.parse(Buffer.concat(chunks).toString()) as Record<string, unknown>));
  });
}

interface Task {
  piece: string;
  try: number;
  status: string;
}

/** A controller that does nothing but keep machines busy. */
function standIn(): Promise<{ addr: string; close: () => void }> {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  let attempt = 0;
  const command = (addr: string, session: number, orders: unknown[]): void => {
    const body = JSON.stringify({ baton: 1, shift: session, orders });
    const colon = addr.lastIndexOf(":");
    const headers = { "content-length": Buffer.byteLength(body) };
    const req = request({
      host: addr.slice(0, colon),
      port: Number(addr.slice(colon + 1)),
      method: "POST",
      path: "/commands",
      agent,
      headers,
    });
    req.on("response", (res) => res.resume());
    req.on("error", () => undefined);
    req.end(body);
  };
  const server = createServer((req, res) => {
    void bodyOf(req).then((told) => {
      const pieces = told["pieces"] as Task[];
      const ended = pieces.filter(({ status }) => status === "exited");
      const clears = ended.map(({ piece, try: n }) => ({ verb: "clear", piece, try: n }));
      const free = TASKS - (pieces.length - ended.length);
      const text = JSON.stringify({ baton: 1, orders: clears });
      res.writeHead(200, { "content-type": "application/json", "content-length": Buffer.byteLength(text) }).end(text);
      if (free > 0)
        command(
          String(told["addr"]),
          Number(told["shift"]),
          Array.from({ length: free }, () => ({ verb: "start", piece: `run-000001/${++attempt % SPEC.tasks}`, try: attempt })),
        );
    });
  });
  server.keepAliveTimeout = 0;
  return new Promise((resolve) =>
    server.listen(0, "127.0.0.1", () =>
      resolve({
        addr: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        close: () => {
          server.close();
          server.closeAllConnections();
          agent.destroy();
        },
      }),
    ),
  );
}

function play(count: number, front: string, lengthMs: number): Promise<Seen> {
  const child = spawn(process.execPath, [fileURLToPath(import.meta.url)], {
    stdio: ["ignore", "pipe", "inherit"],
    env: { ...process.env, [COUNT]: String(count), [FRONT]: front, [LENGTH]: String(lengthMs) },
  });
  return new Promise((resolve, reject) => {
    let text = "";
    child.stdout.on("data", (some: Buffer) => (text += some.toString()));
    child.once("exit", (code) =>
      code === 0 ? resolve(JSON.parse(text) as Seen) : reject(new Error(`the workers' process ended with ${code}`)),
    );
  });
}

async function measure(): Promise<void> {
  const given = options({ repeats: 1, quickRepeats: 1 });
  const { addr, close } = await standIn();
  const figures: Record<string, number> = {};
  let most = 0;
  for (const count of given.quick ? [250, 1000] : [250, 500, 1000, 1500, 2000, 3000]) {
    const seen = await play(count, addr, given.quick ? 8000 : 20_000);
    const late = (seen.late + seen.unanswered) / seen.reports;
    progress(
      `${count} workers: ${seen.reports} reports, ${(late * 100).toFixed(2)}% late or unanswered, ${seen.started} starts, ${seen.core.toFixed(2)} of a core`,
    );
    if (late <= MOST_LATE && seen.core <= 1) most = count;
    figures[`late_share_${count}`] = late;
    figures[`core_share_${count}`] = seen.core;
    figures[`loop_p99_ms_${count}`] = seen.loop_p99_ms;
    figures[`rss_mb_${count}`] = seen.rss_mb;
    figures[`starts_${count}`] = seen.started;
  }
  close();
  report("emulator", given, { report_interval_s: DEFAULT_TIMING.reportMs / 1000, workers_on_time: most, ...figures });
}

const count = process.env[COUNT];
if (count === undefined) await measure();
else await carry(Number(count), process.env[FRONT]!, Number(process.env[LENGTH]));
