/** HTTP proxy between one controller and one service, which applies the network rules (injected network faults). */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { MessageCopies } from "../message-copies.js";
import type { NetworkRules, WrongResponseForm } from "../network-rules.js";
import { readBody, sendResponse, type RawResponse } from "./http.js";

/** A request from a controller to a service. */
export interface ProxiedRequest {
  method: string;
  path: string;
  body: string;
}

/**
 * Configures the proxy of one service for one controller. Each controller has its own proxy, so the caller of a request is known.
 * Requests are subject to the same fault rules as in virtual time.
 */
export interface FaultProxyOptions {
  links: NetworkRules;
  copies?: MessageCopies;
  from: string;
  to: "state" | "cloud";
  /** Returns the name of the operation, as used in network rules (`NetworkCall.what`). */
  operationOf: (passing: ProxiedRequest) => string;
  /** Executes the request at the service; null if no answer was received. */
  forward: (passing: ProxiedRequest) => Promise<RawResponse | null>;
  /** Builds an answer of this service that is wrong as `form` says; undefined if there is none. */
  wrongAnswer?: (passing: ProxiedRequest, form: WrongResponseForm) => RawResponse | undefined;
}

const OK = 200;

const wait = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

async function handle(options: FaultProxyOptions, req: IncomingMessage, res: ServerResponse): Promise<void> {
  const { links, from, to } = options;
  const request: ProxiedRequest = { method: req.method ?? "GET", path: req.url ?? "/", body: await readBody(req) };
  const call = { from, to, what: options.operationOf(request) };
  const delayMs = links.delayMs(call);
  if (delayMs > 0) await wait(delayMs);
  // Requests that are held by a cut or lost get no answer: the controller waits for its own timeout.
  if (links.holdIfCut(call, () => void options.forward(request))) return;
  if (links.isLost(call)) return;
  const effect = links.takeEffect(call);
  if (effect?.kind === "refuse") return sendResponse(res, { status: 503, text: '{"error":"trouble"}', retryAfter: "1" });
  if (effect?.kind === "late") return void setTimeout(() => void options.forward(request), effect.ms);
  const answer = await options.forward(request);
  if (answer !== null) options.copies?.carriedOut(call, async () => (await options.forward(request))?.status === OK);
  if (effect?.kind === "twice") await options.forward(request);
  if (effect?.kind === "drop" || links.isCut(call)) return;
  if (answer === null) return void req.destroy();
  if (effect?.kind !== "wrong") return sendResponse(res, answer);
  if (effect.form === "error-after") return sendResponse(res, { status: 500, text: '{"error":"internal"}', retryAfter: undefined });
  const wrong = options.wrongAnswer?.(request, effect.form);
  if (wrong !== undefined) return sendResponse(res, wrong);
  // Truncated answer: the header declares the full length, but only half of the body is sent.
  res.writeHead(answer.status, { "content-type": "application/json", "content-length": Buffer.byteLength(answer.text) });
  res.write(answer.text.slice(0, Math.floor(answer.text.length / 2)), () => req.destroy());
}

/** Starts the proxy on a free port of 127.0.0.1; rejects if it cannot listen. */
export function startFaultProxy(options: FaultProxyOptions): Promise<{ server: Server; addr: string }> {
  const server = createServer((req, res) => {
    handle(options, req, res).catch(() => req.destroy());
  });
  server.keepAliveTimeout = 0;
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(0, "127.0.0.1", () => resolve({ server, addr: `127.0.0.1:${(server.address() as AddressInfo).port}` }));
  });
}
