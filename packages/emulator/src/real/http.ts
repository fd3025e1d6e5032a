/** HTTP helpers of the emulator. */
import { Agent, request, type IncomingMessage, type ServerResponse } from "node:http";

/** An HTTP response with an undecoded body, so that it can be forwarded, truncated or withheld. */
export interface RawResponse {
  status: number;
  text: string;
  retryAfter: string | undefined;
}

const MAX_BODY_BYTES = 64 * 1024 * 1024;

/** Creates an agent with persistent connections, at most `maxSockets` per host. */
export const createAgent = (maxSockets: number): Agent => new Agent({ keepAlive: true, maxSockets, scheduling: "lifo" });

/** Sends a request; resolves with null if there is no complete answer within `timeoutMs` or the connection fails. Never rejects. */
export function sendRequest(
  agent: Agent | false,
  addr: string,
  method: string,
  path: string,
  body: string | undefined,
  timeoutMs: number,
): Promise<RawResponse | null> {
  return new Promise((resolve) => {
    const colon = addr.lastIndexOf(":");
    const headers = body === undefined ? {} : { "content-type": "application/json", "content-length": Buffer.byteLength(body) };
    const req = request({ host: addr.slice(0, colon), port: Number(addr.slice(colon + 1)), method, path, agent, headers }, (res) => {
      const chunks: Buffer[] = [];
      res.on("data", (chunk: Buffer) => chunks.push(chunk));
      res.on("end", () => {
        clearTimeout(timer);
        const retryAfter = res.headers["retry-after"];
        resolve({ status: res.statusCode ?? 0, text: Buffer.concat(chunks).toString("utf8"), retryAfter: retryAfter?.toString() });
      });
      res.on("error", () => resolve(null));
      res.on("close", () => resolve(null));
    });
    const timer = setTimeout(() => {
      req.destroy();
      resolve(null);
    }, timeoutMs);
    req.on("error", () => {
      clearTimeout(timer);
      resolve(null);
    });
    req.end(body);
  });
}

/** Reads a request body; rejects if it exceeds `MAX_BODY_BYTES` or the connection fails. */
export function readBody(req: IncomingMessage): Promise<string> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    req.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size > MAX_BODY_BYTES) reject(new Error("too large"));
      else chunks.push(chunk);
    });
    req.on("end", () => resolve(Buffer.concat(chunks).toString("utf8")));
    req.on("error", reject);
  });
}

/** Sends a response, unless one was sent already or the connection is closed. */
export function sendResponse(res: ServerResponse, { status, text, retryAfter }: RawResponse): void {
  if (res.headersSent || res.destroyed) return;
  res.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
    ...(retryAfter === undefined ? {} : { "retry-after": retryAfter }),
  });
  res.end(text);
}

/** Parses a JSON object; returns an empty object if the text is not valid JSON or not an object. */
export function parseObject(text: string): Record<string, unknown> {
  try {
    const value = JSON.parse(text) as unknown;
    return value !== null && typeof value === "object" ? (value as Record<string, unknown>) : {};
  } catch {
    return {};
  }
}
