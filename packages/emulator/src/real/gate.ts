import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { Links, WrongForm } from "../links.js";
import { readBody, send, type Raw } from "./http.js";

/** One request on its way from a controller to a service. */
export interface Passing {
  method: string;
  path: string;
  body: string;
}

/**
 * A door to a service for one controller, so that it is known who asks. Every request
 * passes the same rules as in virtual time.
 */
export interface GateOptions {
  links: Links;
  from: string;
  to: "state" | "cloud";
  /** What is asked for, in the words of the rules. */
  what: (passing: Passing) => string;
  /** Null: no answer came. */
  execute: (passing: Passing) => Promise<Raw | null>;
  /** A wrong answer that only this service can give; undefined: none. */
  spoil?: (passing: Passing, form: WrongForm) => Raw | undefined;
}

const wait = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

async function pass(options: GateOptions, req: IncomingMessage, res: ServerResponse): Promise<void> {
  const { links, from, to } = options;
  const passing: Passing = { method: req.method ?? "GET", path: req.url ?? "/", body: await readBody(req) };
  const call = { from, to, what: options.what(passing) };
  const delayMs = links.delayMs(call);
  if (delayMs > 0) await wait(delayMs);
  // No answer: whoever asked hears nothing until its own time is over.
  if (links.hold(call, () => void options.execute(passing))) return;
  if (links.loses(call)) return;
  const effect = links.judge(call);
  if (effect?.kind === "refuse") return send(res, { status: 503, text: '{"error":"trouble"}', retryAfter: "1" });
  if (effect?.kind === "late") return void setTimeout(() => void options.execute(passing), effect.ms);
  const answer = await options.execute(passing);
  if (effect?.kind === "twice") await options.execute(passing);
  if (effect?.kind === "drop" || links.blocked(call)) return;
  if (answer === null) return void req.destroy();
  if (effect?.kind !== "wrong") return send(res, answer);
  if (effect.form === "error-after") return send(res, { status: 500, text: '{"error":"internal"}', retryAfter: undefined });
  const spoiled = options.spoil?.(passing, effect.form);
  if (spoiled !== undefined) return send(res, spoiled);
  // The length is said of the whole, and half of it comes.
  res.writeHead(answer.status, { "content-type": "application/json", "content-length": Buffer.byteLength(answer.text) });
  res.write(answer.text.slice(0, Math.floor(answer.text.length / 2)), () => req.destroy());
}

export function openGate(options: GateOptions): Promise<{ server: Server; addr: string }> {
  const server = createServer((req, res) => {
    pass(options, req, res).catch(() => req.destroy());
  });
  server.keepAliveTimeout = 0;
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(0, "127.0.0.1", () => resolve({ server, addr: `127.0.0.1:${(server.address() as AddressInfo).port}` }));
  });
}
