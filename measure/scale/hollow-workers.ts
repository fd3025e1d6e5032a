import diagnostics from "node:diagnostics_channel";
import type { Socket } from "node:net";
import { monitorEventLoopDelay } from "node:perf_hooks";
import { NetworkRules } from "@thorntrail/emulator/network-rules";
import { seededRandom } from "@thorntrail/emulator/random";
import { WorkerHost } from "../../packages/emulator/src/real/worker-host.js";
import { steadyMs, type FromWorkers, type PlannedJob, type TaskEvent, type ToWorkers, type WorkersSeen } from "./messages.js";

/**
 * A process of hollow workers: each keeps the workers' protocol to the letter on sockets of its own, and its
 * tasks only take time. Booted and ended on the coordinator's word.
 */

const LOOP_RESOLUTION_MS = 10;
const EVENTS_EVERY_MS = 500;

const say = (message: FromWorkers): void => void process.send!(message);

/** Counts what begins and ends on the machines of this process. */
class Tally {
  starts = 0;
  running = 0;
  mostRunning = 0;
  private readonly events: TaskEvent[] = [];
  private readonly bySecond = new Map<number, number>();
  /** By job: tasks that have begun at least once, and when the last of them did. */
  private readonly jobs = new Map<string, { begun: Set<string>; lastAt: number }>();

  on(piece: string, host: string): void {
    const now = steadyMs();
    this.events.push([now, piece, host, null]);
    const second = Math.floor(now / 1000);
    this.starts++;
    this.running++;
    this.mostRunning = Math.max(this.mostRunning, this.running);
    this.bySecond.set(second, (this.bySecond.get(second) ?? 0) + 1);
    const ref = piece.slice(0, piece.lastIndexOf("/"));
    const job = this.jobs.get(ref) ?? { begun: new Set<string>(), lastAt: now };
    this.jobs.set(ref, job);
    if (job.begun.has(piece)) return;
    job.begun.add(piece);
    job.lastAt = now;
  }

  off(piece: string, host: string, cause: string): void {
    this.events.push([steadyMs(), piece, host, cause]);
    this.running--;
  }

  /** What happened since this was last asked for. */
  newEvents(): TaskEvent[] {
    return this.events.splice(0);
  }

  view(): Pick<WorkersSeen, "starts" | "running" | "mostRunning" | "startsBySecond" | "jobs"> {
    const { starts, running, mostRunning } = this;
    const jobs = [...this.jobs].map(([ref, { begun, lastAt }]): [string, number, number] => [ref, begun.size, lastAt]);
    return { starts, running, mostRunning, startsBySecond: [...this.bySecond], jobs };
  }
}

/** Bytes of all TCP connections of this process, open and closed. */
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

function openHost({ fronts, jobs, timing, seed }: Extract<ToWorkers, { kind: "init" }>, tally: Tally, links: NetworkRules): WorkerHost {
  const began = steadyMs();
  const planned = new Map<string, PlannedJob>(jobs.map((job) => [job.spec.ref, job]));
  return new WorkerHost(links, new Map(fronts), {
    clock: {
      now: () => steadyMs() - began,
      after: (ms, fn) => {
        const timer = setTimeout(fn, ms);
        return () => clearTimeout(timer);
      },
    },
    ...timing,
    random: seededRandom(seed),
    nodes: fronts.map(([name]) => name),
    spec: (ref) => planned.get(ref)?.spec,
    runMs: (ref) => planned.get(ref)?.runMs ?? 0,
    fetchMs: (ref) => planned.get(ref)?.fetchMs ?? 0,
    slowdown: () => 1,
    failsTasks: () => false,
    savedProgress: new Map(),
    onTaskStarted: ({ host }, piece) => tally.on(piece, host),
    onTaskEnded: ({ host }, piece, cause) => tally.off(piece, host, cause),
  });
}

/** Runs until the coordinator is gone. */
export function runHollowWorkers(): void {
  const tally = new Tally();
  const bytes = new ConnectionBytes();
  const loop = monitorEventLoopDelay({ resolution: LOOP_RESOLUTION_MS });
  loop.enable();
  const links = new NetworkRules();
  let host: WorkerHost | null = null;
  const tell = (): void => {
    const events = tally.newEvents();
    if (events.length > 0) say({ kind: "tasks", events });
  };
  setInterval(tell, EVENTS_EVERY_MS);
  const ended = new Set<string>();
  const boot = async (asked: Extract<ToWorkers, { kind: "boot" }>): Promise<void> => {
    const { type, zone, spot, room } = asked;
    const address = await host!.boot(asked.host, { type, zone, spot }, room);
    if (ended.has(asked.host)) host!.removeMachine(asked.host);
    else say({ kind: "booted", host: asked.host, address });
  };
  process.on("disconnect", () => process.exit(0));
  process.on("message", (message: ToWorkers) => {
    if (message.kind === "init") {
      host = openHost(message, tally, links);
      say({ kind: "ready" });
    } else if (message.kind === "boot") void boot(message);
    else if (message.kind === "end") {
      ended.add(message.host);
      host!.removeMachine(message.host);
    } else if (message.kind === "rule") {
      const end = links.add(message.rule);
      setTimeout(end, message.forMs);
    } else if (message.kind === "taken") host?.deliverKeptReports();
    else {
      tell();
      const { reports, late, unanswered } = host!.stats;
      const lateness = { loopP99Ms: loop.percentile(99) / 1e6 - LOOP_RESOLUTION_MS, loopWorstMs: loop.max / 1e6 - LOOP_RESOLUTION_MS };
      say({
        kind: "seen",
        seen: { workers: host!.workers.size, reports, late, unanswered, ...tally.view(), ...bytes.total(), ...lateness },
      });
    }
  });
}
