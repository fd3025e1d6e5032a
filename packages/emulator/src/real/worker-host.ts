/** Emulated workers on real sockets. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { decodeOrders, encodeReport, type Report, type ReportAnswer } from "@thorntrail/protocol/worker";
import type { MessageCopies } from "../message-copies.js";
import type { NetworkRules } from "../network-rules.js";
import { Worker, type WorkerDependencies } from "../worker-model.js";
import { createAgent, sendRequest, parseObject, readBody, sendResponse, type RawResponse } from "./http.js";

const RESPONSE_TIMEOUT_MS = 4000;
const MAX_ANSWER_LENGTH = 64 * 1024;
/** Maximum number of copies of reports kept until a controller takes over a partition; beyond it, the oldest are dropped. */
const MAX_KEPT_REPORTS = 2000;

/** Decodes a controller's answer to a report as a worker does; null if there is none, it is too long or it cannot be decoded. */
function decodeAnswer(raw: RawResponse | null): ReportAnswer | null {
  if (raw === null || raw.text.length > MAX_ANSWER_LENGTH) return null;
  const body = parseObject(raw.text);
  if (raw.status === 421) return { kind: "elsewhere", boss: typeof body["boss"] === "string" ? body["boss"] : null };
  if (raw.status !== 200) return { kind: "silent" };
  const decoded = decodeOrders(body);
  // An answer without a token counts as having the lowest one, so the worker drops it.
  return decoded === null ? null : { kind: "orders", token: decoded.token ?? -1, orders: decoded.orders };
}

/** Returns the name of the controller that sent a command, from its user agent; `controllers` (any of them) if it has none. */
function senderOf(req: IncomingMessage): string {
  return /\(([^()]+)\)/.exec(req.headers["user-agent"] ?? "")?.[1] ?? "controllers";
}

type GangMember = ReturnType<WorkerDependencies["gangMembers"]>[number];

const gangKey = (ref: string, attempt: number): string => `${ref}#${attempt}`;

/** Whether the gang member's worker still lists this attempt; the command `clear` makes it discard an attempt that has exited. */
function isRegistered({ worker, task }: GangMember): boolean {
  return worker.tasks.get(`${task.taskId}#${task.attempt}`) === task;
}

/** Connects emulated workers to real sockets: one listener for each machine, and reports to the controllers' HTTP listeners. */
export class WorkerHost {
  /** Machines that are up, by name. */
  readonly workers = new Map<string, Worker>();
  private readonly servers = new Map<string, Server>();
  private readonly agent = createAgent(2000);
  /** Numbers of reports sent, of those not answered and of those sent late, and of kept copies that were delivered. */
  readonly stats = { reports: 0, unanswered: 0, late: 0, kept: 0 };
  private readonly reportedAt = new Map<string, number>();
  /** Copies of reports that are sent to every controller when any controller takes over a partition (fault `late-reports`). */
  private keptReports: string[] = [];
  /** Gang members that have fetched their image, by job and attempt; an index, because each looks up the others ten times a second. */
  private readonly gangs = new Map<string, GangMember[]>();

  constructor(
    private readonly links: NetworkRules,
    private readonly fronts: ReadonlyMap<string, string>,
    private readonly world: Omit<WorkerDependencies, "report" | "gangMembers">,
    private readonly copies: MessageCopies | null = null,
  ) {}

  /** Starts a machine with its worker and its listener; resolves with the listening address. */
  async boot(
    host: string,
    offer: { type: string; zone: string; spot: boolean },
    capacity: { cpus: number; gpus: number; ram: number },
  ): Promise<string> {
    const server = createServer((req, res) => {
      this.serve(host, req, res).catch(() => req.destroy());
    });
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(0, "127.0.0.1", resolve);
    });
    this.servers.set(host, server);
    const worker = new Worker(host, offer, capacity, {
      ...this.world,
      report: (node, from, report) => this.sendReport(node, from, report),
      gangMembers: (ref, attempt) => this.registeredMembers(ref, attempt),
      onTaskStarted: (startedOn, taskId) => {
        this.joinGang(startedOn, taskId);
        this.world.onTaskStarted(startedOn, taskId);
      },
    });
    worker.addr = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    this.workers.set(host, worker);
    return worker.addr;
  }

  /** Adds a started task to the members of its gang. */
  private joinGang(worker: Worker, taskId: string): void {
    for (const task of worker.tasks.values()) {
      if (task.taskId !== taskId || task.state === "exited") continue;
      if (this.world.spec(task.ref)?.kind !== "gang") return;
      const key = gangKey(task.ref, task.attempt);
      const members = this.gangs.get(key);
      if (members !== undefined) members.push({ worker, task });
      else {
        this.removeFinishedGangs();
        this.gangs.set(key, [{ worker, task }]);
      }
    }
  }

  /** Removes gangs of which no machine lists a member any more. */
  private removeFinishedGangs(): void {
    for (const [key, members] of this.gangs) if (!members.some(isRegistered)) this.gangs.delete(key);
  }

  /** Returns the gang members that their machines still list. */
  private registeredMembers(ref: string, attempt: number): GangMember[] {
    const key = gangKey(ref, attempt);
    const members = this.gangs.get(key);
    if (members === undefined) return [];
    if (members.every(isRegistered)) return members;
    const remaining = members.filter(isRegistered);
    if (remaining.length === 0) this.gangs.delete(key);
    else this.gangs.set(key, remaining);
    return remaining;
  }

  /** Sends a worker's report, subject to the network rules (injected faults); null if no answer arrives. */
  private async sendReport(node: string, host: string, report: Report): Promise<ReportAnswer | null> {
    this.stats.reports++;
    const now = this.world.clock.now();
    const last = this.reportedAt.get(host);
    if (last !== undefined && now - last > this.world.reportMs * 1.25 + 250) this.stats.late++;
    this.reportedAt.set(host, now);
    const front = this.fronts.get(node);
    const call = { from: host, to: node, what: "report" };
    const body = JSON.stringify(encodeReport(report));
    if (this.links.shouldStoreCopy(call)) this.keepCopy(body);
    const post = (): Promise<RawResponse | null> =>
      front === undefined ? Promise.resolve(null) : sendRequest(this.agent, front, "POST", "/v1/report", body, RESPONSE_TIMEOUT_MS);
    if (this.links.holdIfCut(call, () => void post()))
      return new Promise((resolve) => this.world.clock.after(RESPONSE_TIMEOUT_MS, () => resolve(null)));
    const delayMs = this.links.delayMs(call);
    if (delayMs > 0) await new Promise<void>((resolve) => this.world.clock.after(delayMs, resolve));
    // The report is lost: the worker waits for its timeout.
    if (this.links.isLost(call)) return new Promise((resolve) => this.world.clock.after(RESPONSE_TIMEOUT_MS, () => resolve(null)));
    const againMs = this.links.copyDelayMs(call, this.world.random);
    if (againMs !== null) this.world.clock.after(againMs, () => void post());
    const answer = decodeAnswer(await post());
    if (answer === null) this.stats.unanswered++;
    return this.links.isCut(call) || this.links.isLost({ from: node, to: host, what: "answer" }) ? null : answer;
  }

  /** Keeps a copy of a report for the next takeover of a partition. */
  private keepCopy(report: string): void {
    this.keptReports.push(report);
    if (this.keptReports.length > MAX_KEPT_REPORTS) this.keptReports.shift();
  }

  /** Sends the kept copies of old reports to all controllers, after one has taken over a partition. Their answers are ignored. */
  deliverKeptReports(): void {
    for (const report of this.keptReports.splice(0)) {
      for (const front of this.fronts.values()) {
        this.stats.kept++;
        void sendRequest(this.agent, front, "POST", "/v1/report", report, RESPONSE_TIMEOUT_MS);
      }
    }
  }

  /** Answers `GET /show` and `POST /commands` of one machine. */
  private async serve(host: string, req: IncomingMessage, res: ServerResponse): Promise<void> {
    const body = await readBody(req);
    const worker = this.workers.get(host);
    // A machine that hangs or has been removed does not answer.
    if (worker === undefined || worker.hanging) return;
    if (req.method === "GET" && req.url === "/show")
      return sendResponse(res, { status: 200, text: JSON.stringify(encodeReport(worker.snapshot())), retryAfter: undefined });
    const decoded = decodeOrders(parseObject(body));
    if (req.method !== "POST" || req.url !== "/commands" || decoded === null || decoded.token === null || decoded.session === null)
      return sendResponse(res, { status: 400, text: '{"error":"expected baton, shift and orders"}', retryAfter: undefined });
    const { token, session, orders } = decoded;
    const call = { from: senderOf(req), to: host, what: "command" };
    const run = (): RawResponse => {
      const { executed, report } = worker.command(token, session, orders);
      return { status: executed ? 200 : 409, text: JSON.stringify(encodeReport(report)), retryAfter: undefined };
    };
    // Executes a command late, or a copy of one; nobody waits for the answer.
    const runUnanswered = (): boolean => !worker.removed && !worker.hanging && worker.command(token, session, orders).executed;
    if (this.links.holdIfCut(call, () => void (worker.removed || run())) || this.links.isLost(call)) return;
    const delayMs = this.links.delayMs(call);
    if (delayMs > 0) await new Promise<void>((resolve) => this.world.clock.after(delayMs, resolve));
    if (worker.removed || worker.hanging) return;
    const effect = this.links.takeEffect(call);
    // The command is executed late and not answered.
    if (effect?.kind === "late") return void this.world.clock.after(effect.ms, () => void runUnanswered());
    const answer = run();
    this.copies?.carriedOut(call, runUnanswered);
    // The command is executed, but its answer may be lost.
    const response = { from: host, to: call.from, what: "answer" };
    if (!this.links.isCut(response) && !this.links.isLost(response)) sendResponse(res, answer);
  }

  /** Removes a machine: stops its worker and closes its listener. */
  removeMachine(host: string): void {
    this.workers.get(host)?.remove();
    this.workers.delete(host);
    this.reportedAt.delete(host);
    const server = this.servers.get(host);
    this.servers.delete(host);
    server?.close();
    server?.closeAllConnections();
  }

  /** Removes all machines and closes the connections to the controllers. */
  close(): void {
    for (const host of [...this.servers.keys()]) this.removeMachine(host);
    this.agent.destroy();
  }
}
