import type { IncomingMessage, ServerResponse } from "node:http";
import type { Response } from "./jobs.js";
import type { Relay } from "./relay.js";

/** Handling of users' requests and health checks, with a path that bypasses Express for the most frequent ones. */

/** Dependencies of the HTTP handlers for users and health checks. */
export interface UserApiDependencies {
  relay: Relay;
  /** Why this node cannot take requests, or null if it can. */
  unreadyReason: () => string | null;
  countResponse: (status: number) => void;
  /** Records a request that was answered with a retry time, and why. */
  onShed: (path: string, status: number, why: unknown) => void;
  /** While `/cluster` and `/metrics` are refused because of overload, the seconds after which to retry; otherwise null. */
  viewsRetryAfterS: () => number | null;
  view: () => Record<string, unknown>;
  metrics: () => Promise<string>;
}

/** Sends a response, counts it, and reports it as shed if it has a retry time. */
export function send(deps: UserApiDependencies, res: ServerResponse, { status, body, retryAfterS }: Response): void {
  if (res.headersSent || res.destroyed) return;
  deps.countResponse(status);
  const retry = retryAfterS === undefined ? {} : { "retry-after": String(retryAfterS) };
  if (retryAfterS !== undefined) deps.onShed(`${res.req.method} ${res.req.url}`, status, body["error"]);
  const text = JSON.stringify(body);
  res.writeHead(status, { "content-type": "application/json; charset=utf-8", "content-length": Buffer.byteLength(text), ...retry });
  res.end(text);
}

/** Response to a request that failed unexpectedly. */
export const INTERNAL_FAULT: Response = { status: 503, body: { error: "internal fault" }, retryAfterS: 1 };
const POLL = /^\/v2\/runs\/([A-Za-z0-9._-]+)$/;

/**
 * Answers polls and health checks without Express, whose routing and helpers cost more than the answer:
 * a poll for each open job and a health check from each load balancer arrive every few seconds. Returns false
 * for any other request or spelling of the path, which Express then handles.
 */
export function answerWithoutExpress(deps: UserApiDependencies, req: IncomingMessage, res: ServerResponse): boolean {
  if (req.method !== "GET" || req.url === undefined) return false;
  if (req.url === "/up") {
    send(deps, res, readiness(deps));
    return true;
  }
  const ref = POLL.exec(req.url)?.[1];
  if (ref === undefined) return false;
  deps.relay.answer("poll", ref).then(
    (answer) => send(deps, res, answer),
    () => send(deps, res, INTERNAL_FAULT),
  );
  return true;
}

/** Returns the response to a health check. */
export function readiness(deps: UserApiDependencies): Response {
  const reason = deps.unreadyReason();
  return reason === null ? { status: 200, body: { ok: true } } : { status: 503, body: { error: reason }, retryAfterS: 1 };
}
