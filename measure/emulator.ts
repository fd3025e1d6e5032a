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
import { parseOptions, progress, report } from "./harness.js";

/**
 * Measures how many emulated workers one process can run while their reports stay on time. The
 * workers report at the default interval to a stub controller in this process, which keeps four
 * tasks of 10 s running on each worker by commands sent to it, as controllers do, and orders them
 * to discard ended tasks in its answers to reports.
 */
const TASKS_PER_WORKER = 4;
const TASK_RUN_MS = 10_000;
const WARM_UP_MS = 6000;
/** Largest share of reports that may be late or unanswered. */
const MAX_LATE_SHARE = 0.01;
/** Environment variables that pass the parameters to the worker process. */
const WORKERS_VARIABLE = "MEASURE_WORKERS";
const CONTROLLER_VARIABLE = "MEASURE_FRONT";
const DURATION_VARIABLE = "MEASURE_MS";

/** Counts and resource use of the worker process over the measured time, as it prints them. */
interface WorkerProcessStats {
  reports: number;
  late: number;
  unanswered: number;
  started: number;
  /** Processor time used, in cores. */
  core: number;
  loop_p99_ms: number;
  rss_mb: number;
}

const SPEC: JobSpec = {
  ...{ ref: "run-000001", klass: "c", team: "t", kind: "array", urgency: "normal", tasks: 1000, cpus: 1, gpus: 0, ram: 1 },
  ...{ types: null, zone: null, oneZone: false, spread: false, spot: false, image: "img", imageGb: 1, guessS: 10 },
  ...{ checkpointS: 0, flushS: 0, deadlineS: null },
};

/** Main function of the worker process: runs the workers and prints the statistics as one line of JSON. */
async function runWorkers(count: number, controllerAddr: string, durationMs: number): Promise<void> {
  const startedAt = performance.now();
  const counters = { started: 0 };
  const host = new WorkerHost(new NetworkRules(), new Map([["nest-0", controllerAddr]]), {
    clock: {
      now: () => performance.now() - startedAt,
      after: (ms, fn) => {
        const timer = setTimeout(fn, ms);
        return () => clearTimeout(timer);
      },
    },
    ...DEFAULT_TIMING,
    random: seededRandom(1),
    nodes: ["nest-0"],
    spec: () => SPEC,
    runMs: () => TASK_RUN_MS,
    fetchMs: () => 500,
    slowdown: () => 1,
    failsTasks: () => false,
    savedProgress: new Map(),
    onTaskStarted: () => void counters.started++,
    onTaskEnded: () => undefined,
  });
  const capacity = { cpus: TASKS_PER_WORKER, gpus: 0, ram: TASKS_PER_WORKER };
  for (let i = 0; i < count; i++) await host.boot(`i-${String(i).padStart(6, "0")}`, { type: "m", zone: "a", spot: false }, capacity);
  await new Promise((resolve) => setTimeout(resolve, WARM_UP_MS));
  const before = { ...host.stats, ...counters };
  const cpuBefore = process.cpuUsage();
  const measuredFrom = performance.now();
  const loopDelay = monitorEventLoopDelay({ resolution: 10 });
  loopDelay.enable();
  await new Promise((resolve) => setTimeout(resolve, durationMs));
  const cpuUsed = process.cpuUsage(cpuBefore);
  const stats: WorkerProcessStats = {
    reports: host.stats.reports - before.reports,
    late: host.stats.late - before.late,
    unanswered: host.stats.unanswered - before.unanswered,
    started: counters.started - before.started,
    core: (cpuUsed.user + cpuUsed.system) / 1000 / (performance.now() - measuredFrom),
    loop_p99_ms: loopDelay.percentile(99) / 1e6 - 10,
    rss_mb: process.memoryUsage.rss() / 2 ** 20,
  };
  process.stdout.write(`${JSON.stringify(stats)}\n`);
  process.exit(0);
}

function readJsonBody(req: IncomingMessage): Promise<Record<string, unknown>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    req.on("data", (chunk: Buffer) => chunks.push(chunk));
    req.on("end", () => resolve(JSON.parse(Buffer.concat(chunks).toString()) as Record<string, unknown>));
  });
}

/** A task attempt in a worker's report. */
interface ReportedTask {
  piece: string;
  try: number;
  status: string;
}

/** Starts a stub controller that keeps all workers busy and does nothing else. */
function startStubController(): Promise<{ addr: string; close: () => void }> {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  let attempt = 0;
  const sendCommands = (addr: string, session: number, orders: unknown[]): void => {
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
    void readJsonBody(req).then((workerReport) => {
      const tasks = workerReport["pieces"] as ReportedTask[];
      const endedTasks = tasks.filter(({ status }) => status === "exited");
      const clearOrders = endedTasks.map(({ piece, try: n }) => ({ verb: "clear", piece, try: n }));
      const freeTasks = TASKS_PER_WORKER - (tasks.length - endedTasks.length);
      const text = JSON.stringify({ baton: 1, orders: clearOrders });
      res.writeHead(200, { "content-type": "application/json", "content-length": Buffer.byteLength(text) }).end(text);
      if (freeTasks > 0)
        sendCommands(
          String(workerReport["addr"]),
          Number(workerReport["shift"]),
          Array.from({ length: freeTasks }, () => ({ verb: "start", piece: `run-000001/${++attempt % SPEC.tasks}`, try: attempt })),
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

/** Runs a process with `count` workers and returns its statistics. */
function measureWorkers(count: number, controllerAddr: string, durationMs: number): Promise<WorkerProcessStats> {
  const child = spawn(process.execPath, [fileURLToPath(import.meta.url)], {
    stdio: ["ignore", "pipe", "inherit"],
    env: {
      ...process.env,
      [WORKERS_VARIABLE]: String(count),
      [CONTROLLER_VARIABLE]: controllerAddr,
      [DURATION_VARIABLE]: String(durationMs),
    },
  });
  return new Promise((resolve, reject) => {
    let text = "";
    child.stdout.on("data", (chunk: Buffer) => (text += chunk.toString()));
    child.once("exit", (code) =>
      code === 0 ? resolve(JSON.parse(text) as WorkerProcessStats) : reject(new Error(`the worker process exited with code ${code}`)),
    );
  });
}

async function measure(): Promise<void> {
  const options = parseOptions({ repeats: 1, quickRepeats: 1 });
  const { addr, close } = await startStubController();
  const figures: Record<string, number> = {};
  let workersOnTime = 0;
  for (const count of options.quick ? [250, 1000] : [250, 500, 1000, 1500, 2000, 3000]) {
    const stats = await measureWorkers(count, addr, options.quick ? 8000 : 20_000);
    const lateShare = (stats.late + stats.unanswered) / stats.reports;
    progress(
      `${count} workers: ${stats.reports} reports, ${(lateShare * 100).toFixed(2)}% late or unanswered, ${stats.started} starts, ${stats.core.toFixed(2)} cores`,
    );
    if (lateShare <= MAX_LATE_SHARE && stats.core <= 1) workersOnTime = count;
    figures[`late_share_${count}`] = lateShare;
    figures[`core_share_${count}`] = stats.core;
    figures[`loop_p99_ms_${count}`] = stats.loop_p99_ms;
    figures[`rss_mb_${count}`] = stats.rss_mb;
    figures[`starts_${count}`] = stats.started;
  }
  close();
  report("emulator", options, { report_interval_s: DEFAULT_TIMING.reportMs / 1000, workers_on_time: workersOnTime, ...figures });
}

const workerCount = process.env[WORKERS_VARIABLE];
if (workerCount === undefined) await measure();
else await runWorkers(Number(workerCount), process.env[CONTROLLER_VARIABLE]!, Number(process.env[DURATION_VARIABLE]));
