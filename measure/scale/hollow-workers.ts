import diagnostics from "node:diagnostics_channel";
import type { Socket } from "node:net";
import { monitorEventLoopDelay } from "node:perf_hooks";
import { NetworkRules } from "@thorntrail/emulator/network-rules";
import { seededRandom } from "@thorntrail/emulator/random";
import { WorkerHost } from "../../packages/emulator/src/real/worker-host.js";
import {
  monotonicMs,
  type WorkersToCoordinator,
  type PlannedJob,
  type TaskEvent,
  type CoordinatorToWorkers,
  type WorkersStats,
} from "./messages.js";

/**
 * A process of hollow workers. Each worker implements the full worker protocol on sockets of its own, but its tasks only
 * wait for their run time. The coordinator boots and removes the workers.
 */

const LOOP_RESOLUTION_MS = 10;
const EVENT_INTERVAL_MS = 500;

const sendToCoordinator = (message: WorkersToCoordinator): void => void process.send!(message);

/** Counts task starts and ends on the machines of this process. */
class TaskStats {
  starts = 0;
  running = 0;
  maxRunning = 0;
  private readonly events: TaskEvent[] = [];
  private readonly startsBySecond = new Map<number, number>();
  /** By job: the tasks that have started at least once, and when the last of them did for the first time. */
  private readonly jobs = new Map<string, { started: Set<string>; lastAt: number }>();

  recordStart(taskId: string, host: string): void {
    const now = monotonicMs();
    this.events.push([now, taskId, host, null]);
    const second = Math.floor(now / 1000);
    this.starts++;
    this.running++;
    this.maxRunning = Math.max(this.maxRunning, this.running);
    this.startsBySecond.set(second, (this.startsBySecond.get(second) ?? 0) + 1);
    const ref = taskId.slice(0, taskId.lastIndexOf("/"));
    const job = this.jobs.get(ref) ?? { started: new Set<string>(), lastAt: now };
    this.jobs.set(ref, job);
    if (job.started.has(taskId)) return;
    job.started.add(taskId);
    job.lastAt = now;
  }

  recordEnd(taskId: string, host: string, cause: string): void {
    this.events.push([monotonicMs(), taskId, host, cause]);
    this.running--;
  }

  /** Returns and removes the events since the last call. */
  takeEvents(): TaskEvent[] {
    return this.events.splice(0);
  }

  stats(): Pick<WorkersStats, "starts" | "running" | "maxRunning" | "startsBySecond" | "jobStarts"> {
    const { starts, running, maxRunning } = this;
    const jobStarts = [...this.jobs].map(([ref, { started, lastAt }]): [string, number, number] => [ref, started.size, lastAt]);
    return { starts, running, maxRunning, startsBySecond: [...this.startsBySecond], jobStarts };
  }
}

/** Counts the bytes of all TCP connections of this process, open and closed. */
class ConnectionBytes {
  private readonly open = new Set<Socket>();
  private closed = { sent: 0, received: 0 };

  constructor() {
    for (const channel of ["net.client.socket", "net.server.socket"])
      diagnostics.subscribe(channel, (message) => this.watch((message as { socket: Socket }).socket));
  }

  private watch(socket: Socket): void {
    this.open.add(socket);
    socket.once("close", () => {
      this.open.delete(socket);
      this.closed.sent += socket.bytesWritten;
      this.closed.received += socket.bytesRead;
    });
  }

  total(): { sent: number; received: number } {
    const total = { ...this.closed };
    for (const { bytesWritten, bytesRead } of this.open) {
      total.sent += bytesWritten;
      total.received += bytesRead;
    }
    return total;
  }
}

function createWorkerHost(
  { controllers, jobs, timing, seed }: Extract<CoordinatorToWorkers, { kind: "init" }>,
  taskStats: TaskStats,
  networkRules: NetworkRules,
): WorkerHost {
  const startedAt = monotonicMs();
  const jobByRef = new Map<string, PlannedJob>(jobs.map((job) => [job.spec.ref, job]));
  return new WorkerHost(networkRules, new Map(controllers), {
    clock: {
      now: () => monotonicMs() - startedAt,
      after: (ms, fn) => {
        const timer = setTimeout(fn, ms);
        return () => clearTimeout(timer);
      },
    },
    ...timing,
    random: seededRandom(seed),
    nodes: controllers.map(([name]) => name),
    spec: (ref) => jobByRef.get(ref)?.spec,
    runMs: (ref) => jobByRef.get(ref)?.runMs ?? 0,
    fetchMs: (ref) => jobByRef.get(ref)?.fetchMs ?? 0,
    slowdown: () => 1,
    failsTasks: () => false,
    savedProgress: new Map(),
    onTaskStarted: ({ host }, taskId) => taskStats.recordStart(taskId, host),
    onTaskEnded: ({ host }, taskId, cause) => taskStats.recordEnd(taskId, host, cause),
  });
}

/** Runs a process of hollow workers until the coordinator disconnects. */
export function runHollowWorkers(): void {
  const taskStats = new TaskStats();
  const bytes = new ConnectionBytes();
  const loop = monitorEventLoopDelay({ resolution: LOOP_RESOLUTION_MS });
  loop.enable();
  const networkRules = new NetworkRules();
  let workerHost: WorkerHost | null = null;
  const sendEvents = (): void => {
    const events = taskStats.takeEvents();
    if (events.length > 0) sendToCoordinator({ kind: "taskEvents", events });
  };
  setInterval(sendEvents, EVENT_INTERVAL_MS);
  const removed = new Set<string>();
  const boot = async (message: Extract<CoordinatorToWorkers, { kind: "boot" }>): Promise<void> => {
    const { type, zone, spot, capacity } = message;
    const address = await workerHost!.boot(message.host, { type, zone, spot }, capacity);
    // The machine may have been removed while it booted.
    if (removed.has(message.host)) workerHost!.removeMachine(message.host);
    else sendToCoordinator({ kind: "booted", host: message.host, address });
  };
  process.on("disconnect", () => process.exit(0));
  process.on("message", (message: CoordinatorToWorkers) => {
    if (message.kind === "init") {
      workerHost = createWorkerHost(message, taskStats, networkRules);
      sendToCoordinator({ kind: "ready" });
    } else if (message.kind === "boot") void boot(message);
    else if (message.kind === "remove") {
      removed.add(message.host);
      workerHost!.removeMachine(message.host);
    } else if (message.kind === "networkRule") {
      const removeRule = networkRules.add(message.rule);
      setTimeout(removeRule, message.forMs);
    } else if (message.kind === "takeover") workerHost?.deliverKeptReports();
    else {
      sendEvents();
      const { reports, late: lateReports, unanswered: unansweredReports } = workerHost!.stats;
      const loopDelay = { loopP99Ms: loop.percentile(99) / 1e6 - LOOP_RESOLUTION_MS, loopMaxMs: loop.max / 1e6 - LOOP_RESOLUTION_MS };
      sendToCoordinator({
        kind: "stats",
        stats: {
          workers: workerHost!.workers.size,
          reports,
          lateReports,
          unansweredReports,
          ...taskStats.stats(),
          ...bytes.total(),
          ...loopDelay,
        },
      });
    }
  });
}
