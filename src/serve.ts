import { createServer as createHttpServer } from "node:http";
import { createServer } from "node:net";
import { randomInt } from "node:crypto";
import { getHeapStatistics } from "node:v8";
import { Calls } from "./calls/calls.js";
import { callPolicies } from "./calls/policy.js";
import { Controller } from "./controller.js";
import { HttpCloud } from "./fleet/cloud-client.js";
import { answerWithoutExpress, INTERNAL_FAULT, send, type UserApiDependencies } from "./intake/server.js";
import { HttpState } from "./ledger/state-client.js";
import { PeerLinks } from "./peers/links.js";
import { systemClock } from "./platform/clock.js";
import { commandsAtOnce, Doors } from "./platform/doors.js";
import { luckOf } from "./platform/luck.js";
import { openLog } from "./platform/log.js";
import { Scope } from "./platform/scope.js";
import { WatchfulClock } from "./platform/stall.js";
import { Metrics } from "./status/metrics.js";
import { clusterView } from "./status/view.js";
import type { Settings } from "./settings/derived.js";
import { REPORT_PATH, serveReport, type ReportDoor } from "./workers/report-endpoint.js";
import { ReportLanes } from "./workers/report-lane.js";
import { HttpWorkers } from "./workers/worker-client.js";

/** Leases after which a silent connection is closed: whoever reports on it has none left by then. */
const IDLE_LEASES = 2;
/** Leases between two lines on where the processor time went. */
const COSTS_LEASES = 3;

/** Made when it is asked for, once. */
function later<T>(make: () => Promise<T>): () => Promise<T> {
  let made: Promise<T> | null = null;
  return () => (made ??= make());
}

/** Runs one controller until the process is ended. */
export function serve(settings: Settings): void {
  const log = openLog(settings.self);
  const scope = new Scope(new WatchfulClock(systemClock, settings.timing.stallMs), log);
  const { endpoints, deployment, front } = settings.platform;
  const { timing } = settings;
  const calls = new Calls(scope.clock, callPolicies({ timing, writeRps: settings.state.writeRps }), luckOf(randomInt(2 ** 31)));
  const peers = new PeerLinks(settings, scope, calls.of("peer.link"));
  const controller = new Controller(
    settings,
    {
      state: new HttpState(endpoints.state, calls.of("state.read").policy.limitMs),
      cloud: new HttpCloud(endpoints.cloud, calls.of("cloud.read").policy.limitMs),
      workers: new HttpWorkers(calls.of("worker.order").policy.limitMs, commandsAtOnce(deployment.quota.sockets), settings.self),
      peers,
      calls,
      memory: () => {
        const { used_heap_size: heap, heap_size_limit: heapMost } = getHeapStatistics();
        return { resident: process.memoryUsage.rss(), heap, heapMost };
      },
    },
    scope,
  );
  const metrics = new Metrics(controller);
  scope.listen(controller.leader.began$, ({ klass, waitS }) => metrics.countWait(klass, waitS));
  const door: UserApiDependencies = {
    relay: controller.relay,
    unreadyReason: () => controller.unready(),
    countResponse: (status) => metrics.countAnswer(status),
    onShed: (path, status, why) => log.debug({ path, status, why }, "not taken"),
    viewsRetryAfterS: () => (controller.overload.sheds("view") ? controller.overload.retryAfterS() : null),
    view: () => clusterView(controller),
    metrics: () => metrics.text(),
  };
  const app = later(async () => (await import("./intake/app.js")).buildApp(door));
  let refusals = 0;
  let refusedAt = -Infinity;
  const reports: ReportDoor = {
    onReport: (report) => controller.leader.onReport(report),
    count: (status) => metrics.countAnswer(status),
    refused: (why, begins) => {
      // Workers of an unknown version report every few seconds, each of them: one line an interval says enough.
      const now = scope.clock.now();
      refusals++;
      if (now - refusedAt < timing.reportMs) return;
      refusedAt = now;
      log.warn({ why, begins, refusals }, "not a report");
    },
    costs: scope.costs,
  };
  const others = createHttpServer((req, res) => {
    if (doors.crowded()) res.shouldKeepAlive = false;
    if (req.url === REPORT_PATH && req.method === "POST") serveReport(reports, req, res);
    else
      scope.costs.spend("users", () => {
        if (!answerWithoutExpress(door, req, res))
          void app().then(
            (handle) => handle(req, res),
            () => send(door, res, INTERNAL_FAULT),
          );
      });
  });
  // Peers, workers and clients close connections; we keep them, within the quota.
  others.keepAliveTimeout = 0;
  // It does not listen itself, but has to watch over requests that do not come to an end.
  others.emit("listening");
  const server = createServer({ noDelay: true, allowHalfOpen: true });
  const doors = new Doors(server, deployment.quota.sockets);
  new ReportLanes({ door: reports, others, crowded: () => doors.crowded(), scope, idleMs: timing.expiryMs * IDLE_LEASES }).start(server);
  server.on("error", (error) => {
    log.error({ front, err: error.message }, "cannot listen");
    process.exit(1);
  });
  const [host, port] = front.split(":") as [string, string];
  server.listen(Number(port), host);
  scope.onEnd(() => {
    server.close();
    others.close();
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
      const spent = Object.fromEntries(costs.all().map(({ duty, turns, ms }) => [duty, [turns, Math.round(ms)]]));
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
  // While the first reads are on their way, and before any user is sent here.
  setImmediate(() => void app());
}
