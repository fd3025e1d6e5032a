import type { IncomingMessage, ServerResponse } from "node:http";
import type { Response } from "./jobs.js";
import type { Relay } from "./relay.js";

export interface FrontDoor {
  relay: Relay;
  /** Null: this node can take requests; otherwise why it cannot. */
  unready: () => string | null;
  count: (status: number) => void;
  /** Requests that were not taken, and why. */
  shed: (path: string, status: number, why: unknown) => void;
  /** Seconds after which to ask for views again; null: they are given. */
  viewsShed: () => number | null;
  view: () => Record<string, unknown>;
  metrics: () => Promise<string>;
}

/** Answers a request, and says of it what the figures and the log need. */
export function send(door: FrontDoor, res: ServerResponse, { status, body, retryAfterS }: Response): void {
  if (res.headersSent || res.destroyed) return;
  door.count(status);
  const retry = retryAfterS === undefined ? {} : { "retry-after": String(retryAfterS) };
  if (retryAfterS !== undefined) door.shed(`${res.req.method} ${res.req.url}`, status, body["error"]);
  const text = JSON.stringify(body);
  res.writeHead(status, { "content-type": "application/json; charset=utf-8", "content-length": Buffer.byteLength(text), ...retry });
  res.end(text);
}

export const FAULT: Response = { status: 503, body: { error: "internal fault" }, retryAfterS: 1 };
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

export function readiness(door: FrontDoor): Response {
  const reason = door.unready();
  return reason === null ? { status: 200, body: { ok: true } } : { status: 503, body: { error: reason }, retryAfterS: 1 };
}
