/** The HTTP interface of the state service. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { CallError } from "@thorntrail/protocol/errors";
import { RateLimitError } from "@thorntrail/protocol/state";
import { decodeGrant, decodeTxn, keyFault, STATE_BOUNDS } from "@thorntrail/protocol/state-wire";
import type { Change } from "./core.js";
import { CorruptDataError, type StoredEvent } from "./engine.js";
import { LimitExceededError, type Store } from "./store.js";

/** Thrown if a request does not conform to the protocol; the request is answered with 400. */
class BadRequestError extends Error {}

/** Maximum time for receiving a complete request. */
const REQUEST_TIMEOUT_MS = 30_000;

function send(res: ServerResponse, status: number, body: string, headers: Record<string, string> = {}): void {
  if (res.headersSent || res.destroyed) return;
  res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(body), ...headers });
  res.end(body);
}

const errorBody = (error: string): string => JSON.stringify({ error });

/** Reads a request body as JSON; throws `BadRequestError` if it is too large or not JSON. */
function readBody(req: IncomingMessage): Promise<unknown> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    req.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size <= STATE_BOUNDS.bodyBytes) chunks.push(chunk);
      else reject(new BadRequestError(`a request has at most ${STATE_BOUNDS.bodyBytes} bytes`));
    });
    req.on("error", reject);
    req.on("end", () => {
      try {
        resolve(JSON.parse((chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)).toString("utf8")));
      } catch {
        reject(new BadRequestError("not JSON"));
      }
    });
  });
}

/** Returns a whole number of at most `max` from the query, or the default if it is absent; throws `BadRequestError` if it is invalid. */
function wholeNumber(query: URLSearchParams, name: string, defaultValue: number, max: number): number {
  const text = query.get(name);
  if (text === null) return defaultValue;
  const n = Number(text);
  if (!/^\d+$/.test(text) || n > max) throw new BadRequestError(`${name}: expected a whole number up to ${max}`);
  return n;
}

/** Returns `text` if it is a valid key; otherwise throws `BadRequestError`. */
function validKey(text: string, what: string): string {
  const fault = keyFault(text);
  if (fault !== null) throw new BadRequestError(`${what}: expected ${fault}`);
  return text;
}

/** Returns the key prefix from the query; an absent or empty prefix matches every key. */
const parsePrefix = (query: URLSearchParams): string => {
  const text = query.get("prefix") ?? "";
  return text === "" ? "" : validKey(text, "prefix");
};

function encodeEvent({ key, text, stamp }: StoredEvent): string {
  return text === null
    ? `{"remove":${JSON.stringify(key)},"stamp":${stamp}}`
    : `{"write":${JSON.stringify(key)},"v":${text},"stamp":${stamp}}`;
}

/**
 * HTTP server of the state service. Values are stored as JSON text and sent as such, without
 * decoding and encoding them. Requests are routed by hand rather than by express, whose
 * routing costs more than a whole transaction here (`npm run measure -- store`).
 */
export class StoreServer {
  readonly server: Server;

  constructor(
    private readonly store: Store,
    private readonly options: { connections: number; onUnexpectedError: (error: Error) => void; diskShortage: () => string | null },
  ) {
    this.server = createServer((req, res) => void this.serve(req, res));
    this.server.maxConnections = options.connections;
    this.server.requestTimeout = REQUEST_TIMEOUT_MS;
    // Controllers hold connections open permanently, so idle ones are not closed; `maxConnections` bounds their number.
    this.server.keepAliveTimeout = 0;
  }

  /** Starts listening and returns the port; rejects if the address cannot be bound. */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(port, host, () => {
        const address = this.server.address();
        resolve(address !== null && typeof address === "object" ? address.port : port);
      });
    });
  }

  /** Stops listening, closes the store and then all connections. */
  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => this.server.close(() => resolve()));
    this.server.closeIdleConnections();
    await this.store.close();
    this.server.closeAllConnections();
    await closed;
  }

  private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    try {
      await this.route(req, res);
    } catch (error) {
      this.sendError(error as Error, req, res);
    }
  }

  private sendError(error: Error, req: IncomingMessage, res: ServerResponse): void {
    if (error instanceof BadRequestError || error instanceof LimitExceededError) {
      // The connection is closed after the answer, so that the unread part of an oversized body is not read.
      send(res, 400, errorBody(error.message), { connection: "close" });
      res.once("finish", () => req.destroy());
    } else if (error instanceof RateLimitError) send(res, 429, errorBody("over the rate"), { "retry-after": "1" });
    else if (error instanceof CallError && error.kind === "refused") send(res, 503, errorBody(error.message), { "retry-after": "1" });
    // The outcome of the request is unknown, and every status code would imply one, so the connection is closed without an answer.
    else if (error instanceof CallError) req.destroy();
    else {
      if (!req.destroyed) this.options.onUnexpectedError(error);
      send(res, 503, errorBody(error instanceof CorruptDataError ? `storage: ${error.message}` : "internal fault"), { "retry-after": "1" });
    }
  }

  private async route(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = req.url ?? "/";
    const queryStart = url.indexOf("?");
    const path = queryStart < 0 ? url : url.slice(0, queryStart);
    const query = new URLSearchParams(queryStart < 0 ? "" : url.slice(queryStart + 1));
    const endpoint = `${req.method} ${path}`;
    if (endpoint === "POST /txn") return this.txn(req, res);
    if (endpoint === "GET /follow") return this.follow(req, res, query);
    if (endpoint === "GET /store") return this.range(res, query);
    if (req.method === "GET" && path.startsWith("/store/")) return this.read(res, path.slice("/store/".length));
    if (endpoint === "POST /leases") return this.grant(req, res);
    const lease = /^\/leases\/(\d{1,15})(\/renew)?$/.exec(path);
    if (lease !== null && req.method === "POST" && lease[2] !== undefined) {
      req.resume();
      const renewed = await this.store.renew(Number(lease[1]));
      return send(res, renewed ? 200 : 404, renewed ? `{"permit":${lease[1]}}` : errorBody("no such lease"));
    }
    if (lease !== null && req.method === "DELETE" && lease[2] === undefined) {
      const ended = await this.store.end(Number(lease[1]));
      return send(res, ended ? 200 : 404, ended ? "{}" : errorBody("no such lease"));
    }
    req.resume();
    send(res, 404, errorBody("no such path"));
  }

  /** Throws CallError as refused while there is too little disk space. Called for requests that need disk space. */
  private requireDiskSpace(): void {
    const shortage = this.options.diskShortage();
    if (shortage !== null) throw new CallError("refused", shortage);
  }

  private async txn(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const request = decodeTxn(await readBody(req));
    if ("fault" in request) throw new BadRequestError(request.fault);
    const changes = (request.apply ?? []).map((op): Change =>
      "write" in op ? { write: op.write, text: JSON.stringify(op.v), permit: op.permit ?? null } : op,
    );
    if (changes.length > 0) this.requireDiskSpace();
    const answer = await this.store.txn(request.if ?? [], changes);
    if (answer.kind === "applied") send(res, 200, `{"ledger":${answer.ledger}}`);
    else if (answer.kind === "conflict") send(res, 409, JSON.stringify({ failed: answer.failed, ledger: answer.ledger }));
    else send(res, 400, errorBody("no such lease"));
  }

  private async grant(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const request = decodeGrant(await readBody(req));
    if ("fault" in request) throw new BadRequestError(request.fault);
    this.requireDiskSpace();
    send(res, 200, `{"permit":${await this.store.grant(request.ttlMs)}}`);
  }

  private read(res: ServerResponse, raw: string): void {
    let key: string;
    try {
      key = decodeURIComponent(raw);
    } catch {
      throw new BadRequestError("the key is not valid percent-encoded text");
    }
    const { stored, ledger } = this.store.read(validKey(key, "key"));
    if (stored === undefined) return send(res, 404, `{"ledger":${ledger}}`);
    const permit = stored.permit === null ? "" : `,"permit":${stored.permit}`;
    send(res, 200, `{"k":${JSON.stringify(key)},"v":${stored.text},"stamp":${stored.stamp}${permit}}`);
  }

  private async range(res: ServerResponse, query: URLSearchParams): Promise<void> {
    const from = query.get("from");
    const limit = Math.max(1, wholeNumber(query, "limit", STATE_BOUNDS.pageItems, Number.MAX_SAFE_INTEGER));
    const { rows, more, ledger } = await this.store.range(parsePrefix(query), from === null ? undefined : validKey(from, "from"), limit);
    const texts = rows.map(({ key, stored }) => `{"k":${JSON.stringify(key)},"v":${stored.text},"stamp":${stored.stamp}}`);
    send(res, 200, `{"rows":[${texts.join()}],"truncated":${more},"ledger":${ledger}}`);
  }

  private async follow(req: IncomingMessage, res: ServerResponse, query: URLSearchParams): Promise<void> {
    const from = wholeNumber(query, "from", 0, Number.MAX_SAFE_INTEGER);
    const blockMs = wholeNumber(query, "blockMs", 0, STATE_BOUNDS.blockMs);
    const result = await this.store.follow(parsePrefix(query), from, blockMs, (cancelWatch) => req.once("close", cancelWatch));
    if (result === "too-old") return send(res, 410, errorBody("changes that old are not kept: read the keys again"));
    send(res, 200, `{"ledger":${result.ledger},"events":[${result.events.map(encodeEvent).join()}]}`);
  }
}
