import type { IncomingMessage, ServerResponse } from "node:http";
import express, { type ErrorRequestHandler, type Express } from "express";
import type { Response } from "./jobs.js";
import type { Relay } from "./relay.js";

const MAX_BODY = 64 * 1024;

export interface FrontDoor {
  relay: Relay;
  /** Null: this node can take requests; otherwise why it cannot. */
  unready: () => string | null;
  count: (status: number) => void;
  /** Requests that were not taken, and why. */
  shed: (path: string, status: number, why: unknown) => void;
  view: () => Record<string, unknown>;
  metrics: () => Promise<string>;
}

/** Answers a request, and says of it what the figures and the log need. */
function send(door: FrontDoor, res: ServerResponse, { status, body, retryAfterS }: Response): void {
  if (res.headersSent || res.destroyed) return;
  door.count(status);
  const retry = retryAfterS === undefined ? {} : { "retry-after": String(retryAfterS) };
  if (retryAfterS !== undefined) door.shed(`${res.req.method} ${res.req.url}`, status, body["error"]);
  const text = JSON.stringify(body);
  res.writeHead(status, { "content-type": "application/json; charset=utf-8", "content-length": Buffer.byteLength(text), ...retry });
  res.end(text);
}

const FAULT: Response = { status: 503, body: { error: "internal fault" }, retryAfterS: 1 };
const POLL = /^\/v2\/runs\/([A-Za-z0-9._-]+)$/;

/**
 * Polls and health checks, of which every open job and every balancer send one every few seconds,
 * are answered without express: its routing and helpers cost more than the answer. Says whether it
 * was one of these; whatever is spelled otherwise goes the long way.
 */
export function answersShortly(door: FrontDoor, req: IncomingMessage, res: ServerResponse): boolean {
  if (req.method !== "GET" || req.url === undefined) return false;
  if (req.url === "/up") {
    send(door, res, readiness(door));
    return true;
  }
  const ref = POLL.exec(req.url)?.[1];
  if (ref === undefined) return false;
  door.relay.answer("poll", ref).then(
    (answer) => send(door, res, answer),
    () => send(door, res, FAULT),
  );
  return true;
}

function readiness(door: FrontDoor): Response {
  const reason = door.unready();
  return reason === null ? { status: 200, body: { ok: true } } : { status: 503, body: { error: reason }, retryAfterS: 1 };
}

/** The HTTP face for users and health checks. */
export function buildApp(door: FrontDoor): Express {
  const app = express();
  app.disable("x-powered-by");
  app.disable("etag");
  app.set("query parser", "simple");
  const body = express.json({ limit: MAX_BODY, type: () => true, strict: false, inflate: false });

  app.get("/v2/runs/:ref", async (req, res) => send(door, res, await door.relay.answer("poll", req.params.ref)));
  app.post("/v2/runs", body, async (req, res) => send(door, res, await door.relay.answer("submit", req.body)));
  app.post("/v2/runs/:ref/cancel", async (req, res) => send(door, res, await door.relay.answer("cancel", req.params.ref)));
  app.get("/up", (_req, res) => send(door, res, readiness(door)));
  app.get("/cluster", (_req, res) => send(door, res, { status: 200, body: door.view() }));
  app.get("/metrics", async (_req, res) => {
    res.type("text/plain").send(await door.metrics());
  });
  app.use((_req, res) => send(door, res, { status: 404, body: { error: "no such path" } }));
  const fault: ErrorRequestHandler = (error, _req, res, next) => {
    if (res.headersSent) return next(error);
    const status = Number(error?.status);
    const bad = status >= 400 && status < 500;
    send(door, res, bad ? { status: 400, body: { error: String(error.message).slice(0, 200) } } : FAULT);
  };
  app.use(fault);
  return app;
}
