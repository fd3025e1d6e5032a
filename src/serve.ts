import { createServer as createHttpServer } from "node:http";
import { createServer } from "node:net";
import { randomInt } from "node:crypto";
import { getHeapStatistics } from "node:v8";
import { Calls } from "./calls/calls.js";
import { callPolicies } from "./calls/policy.js";
import { Controller } from "./controller.js";
import { HttpCloud } from "./fleet/cloud-client.js";
import { answerWithoutExpress, INTERNAL_FAULT, send, type UserApiDependencies } from "./intake/server.js";
import { HttpStateClient } from "./ledger/state-client.js";
import { PeerLinks } from "./peers/links.js";
import { systemClock } from "./platform/clock.js";
import { maxConcurrentCommands, InboundConnections } from "./platform/inbound-connections.js";
import { seededRandom } from "./platform/seeded-random.js";
import { openLog } from "./platform/log.js";
import { Scope } from "./platform/scope.js";
import { StallDetectingClock } from "./platform/stall.js";
import { Metrics } from "./status/metrics.js";
import { clusterView } from "./status/view.js";
import type { Settings } from "./settings/derived.js";
import { REPORT_PATH, handleReportRequest, type ReportEndpointDependencies } from "./workers/report-endpoint.js";
import { ReportFastPath } from "./workers/report-fast-path.js";
import { HttpWorkerClient } from "./workers/worker-client.js";

/** A connection without received data is closed after this many times `expiryMs`; the lease of a worker that reports on it has expired by then. */
const IDLE_EXPIRIES = 2;
/** Processor time by activity is logged once per this many lease durations. */
const COSTS_LEASES = 3;

/** Returns a function that calls `make` on first use and returns the same result from then on. */
function lazy<T>(make: () => Promise<T>): () => Promise<T> {
  let result: Promise<T> | null = null;
  return () => (result ??= make());
}

/** Runs one controller until the process is ended. */
export function serve(settings: Settings): void {
  const log = openLog(settings.self);
  const scope = new Scope(new StallDetectingClock(systemClock, settings.timing.stallMs), log);
  const { endpoints, deployment, front } = settings.platform;
  const { timing } = settings;
  const calls = new Calls(scope.clock, callPolicies({ timing, writeRps: settings.state.writeRps }), seededRandom(randomInt(2 ** 31)));
  const peers = new PeerLinks(settings, scope, calls.of("peer.link"));
  const controller = new Controller(
    settings,
    {
      state: new HttpStateClient(endpoints.state, calls.of("state.read").policy.limitMs),
      cloud: new HttpCloud(endpoints.cloud, calls.of("cloud.read").policy.limitMs),
      workers: new HttpWorkerClient(
        calls.of("worker.order").policy.limitMs,
        maxConcurrentCommands(deployment.quota.sockets),
        settings.self,
      ),
      peers,
      calls,
      memory: () => {
        const { used_heap_size: heap, heap_size_limit: heapMost } = getHeapStatistics();
        return { resident: process.memoryUsage.rss(), heap, heapMax: heapMost };
      },
    },
    scope,
  );
  const metrics = new Metrics(controller);
  scope.listen(controller.leader.taskStarted$, ({ klass, waitS }) => metrics.countWait(klass, waitS));
  const userApi: UserApiDependencies = {
    relay: controller.relay,
    unreadyReason: () => controller.unreadyReason(),
    countResponse: (status) => metrics.countAnswer(status),
    onShed: (path, status, why) => log.debug({ path, status, why }, "not taken"),
    viewsRetryAfterS: () => (controller.overload.sheds("view") ? controller.overload.retryAfterS() : null),
    view: () => clusterView(controller),
    metrics: () => metrics.text(),
  };
  const app = lazy(async () => (await import("./intake/app.js")).buildApp(userApi));
  let refusals = 0;
  let refusalLoggedAt = -Infinity;
  const reports: ReportEndpointDependencies = {
    onReport: (report) => controller.leader.onReport(report),
    countResponse: (status) => metrics.countAnswer(status),
    onInvalidReport: (why, begins) => {
      // Each worker of an unsupported version sends an invalid report every few seconds. Only one invalid report of all workers is
      // logged per report interval, with the number of all invalid reports so far.
      const now = scope.clock.now();
      refusals++;
      if (now - refusalLoggedAt < timing.reportMs) return;
      refusalLoggedAt = now;
      log.warn({ why, begins, refusals }, "not a report");
    },
    costs: scope.costs,
  };
  const httpServer = createHttpServer((req, res) => {
    if (inbound.closesAfterAnswer()) res.shouldKeepAlive = false;
    if (req.url === REPORT_PATH && req.method === "POST") handleReportRequest(reports, req, res);
    else
      scope.costs.charge("users", () => {
        if (!answerWithoutExpress(userApi, req, res))
          void app().then(
            (handle) => handle(req, res),
            () => send(userApi, res, INTERNAL_FAULT),
          );
      });
  });
  // The HTTP server closes no idle connections: clients close theirs, and `InboundConnections` limits the number.
  httpServer.keepAliveTimeout = 0;
  // The HTTP server gets its connections from the TCP server below and never listens; the event starts its timeout checks for incomplete requests.
  httpServer.emit("listening");
  const server = createServer({ noDelay: true, allowHalfOpen: true });
  const inbound = new InboundConnections(server, deployment.quota.sockets);
  new ReportFastPath({
    endpoint: reports,
    httpServer,
    isNearSocketLimit: () => inbound.closesAfterAnswer(),
    scope,
    idleMs: timing.expiryMs * IDLE_EXPIRIES,
  }).start(server);
  server.on("error", (error) => {
    log.error({ front, err: error.message }, "cannot listen");
    process.exit(1);
  });
  const [host, port] = front.split(":") as [string, string];
  server.listen(Number(port), host);
  scope.onClose(() => {
    server.close();
    httpServer.close();
  });
  process.on("uncaughtException", (error) => log.error({ err: String(error.stack ?? error) }, "unexpected fault"));
  process.on("unhandledRejection", (reason) => log.error({ err: String((reason as Error)?.stack ?? reason) }, "unexpected rejection"));
  const { costs } = scope;
  const startMs = process.cpuUsage();
  scope.routine(
    "costs",
    () => timing.leaseMs * COSTS_LEASES,
    () => {
      const { user, system } = process.cpuUsage();
      const spent = Object.fromEntries(costs.all().map(({ activity, runs, ms }) => [activity, [runs, Math.round(ms)]]));
      log.info(
        {
          userMs: Math.round(user / 1000),
          systemMs: Math.round(system / 1000),
          startMs: Math.round((startMs.user + startMs.system) / 1000),
          spent,
          overload: controller.overload.stats,
        },
        "processor by duty",
      );
      log.info({ classes: controller.leader.account.view() }, "served");
    },
  );
  for (const caution of settings.cautions) log.warn({ caution }, "settings leave little room");
  peers.start();
  controller.start();
  log.info({ parts: settings.nodes.length, timing }, "started");
  // Loads Express while the first reads of the state service are in progress, before any user's request arrives.
  setImmediate(() => void app());
}
