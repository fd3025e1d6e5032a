import { connect, type Socket } from "node:net";
import { performance } from "node:perf_hooks";
import { CallError } from "@thorntrail/protocol/errors";
import { ResponseParser } from "./http-response-parser.js";

/** Response of an HTTP server; a body that is not a JSON object becomes an empty one. */
export interface Reply {
  status: number;
  body: Record<string, unknown>;
}

const MAX_REPLY_BYTES = 64 * 1024 * 1024;
/** Maximum number of idle connections kept to one host. */
const MAX_IDLE_PER_HOST = 4;

/** A request in progress: waiting for a connection, or written to one. */
interface PendingRequest {
  text: string;
  deadline: number;
  /** Whether bytes of the request may have reached the server. */
  written: boolean;
  connection: Connection | null;
  settle: (outcome: Reply | CallError) => void;
}

/** A client connection to one host; carries one request at a time. */
interface Connection {
  socket: Socket;
  host: Host;
  connected: boolean;
  request: PendingRequest | null;
  parser: ResponseParser | null;
}

interface Host {
  addr: string;
  open: number;
  idle: Connection[];
  waiting: PendingRequest[];
}

/**
 * HTTP/1.1 client on `net` with a few kept-alive connections per host. Node's own client creates
 * dozens of streams and events per call, which was a large part of the processor time that a
 * controller spends on a command to a worker or a transaction in the state service (docs/measured.md).
 */
export class HttpClient {
  private readonly hosts = new Map<string, Host>();
  private idleCount = 0;

  /** `maxSockets`: connections per host; `maxIdle`: idle connections in total; `userAgent`: the client's name in the User-Agent header. */
  constructor(
    private readonly maxSockets: number,
    private readonly maxIdle = maxSockets,
    private readonly userAgent = "controller",
  ) {}

  /**
   * Sends a request. Rejects with CallError: "refused" if no byte of the request left this process, so that it cannot have
   * taken effect; "unanswered" if it may have taken effect.
   */
  call(addr: string, method: string, path: string, body: unknown, timeoutMs: number): Promise<Reply> {
    return new Promise((resolve, reject) => {
      const payload = body === undefined ? "" : JSON.stringify(body);
      // Addresses come from other processes and must not be able to inject headers into the request.
      if (!/^[\x21-\x7e]+:\d{1,5}$/.test(addr) || !/^[\x21-\x7e]+$/.test(path)) {
        reject(new CallError("refused", "invalid address or path"));
        return;
      }
      const content = body === undefined ? "" : `content-type: application/json\r\ncontent-length: ${Buffer.byteLength(payload)}\r\n`;
      const request: PendingRequest = {
        text: `${method} ${path} HTTP/1.1\r\nhost: ${addr}\r\nuser-agent: thorntrail (${this.userAgent})\r\n${content}\r\n${payload}`,
        deadline: performance.now() + timeoutMs,
        written: false,
        connection: null,
        settle: (outcome) => {
          clearTimeout(timer);
          if (outcome instanceof CallError) reject(outcome);
          else resolve(outcome);
        },
      };
      const timer = setTimeout(() => this.timeOut(request, addr), timeoutMs);
      this.dispatch(this.host(addr), request);
    });
  }

  private host(addr: string): Host {
    let host = this.hosts.get(addr);
    if (host === undefined) this.hosts.set(addr, (host = { addr, open: 0, idle: [], waiting: [] }));
    return host;
  }

  private timeOut(request: PendingRequest, addr: string): void {
    const { connection } = request;
    const host = this.hosts.get(addr);
    if (host !== undefined) host.waiting = host.waiting.filter((one) => one !== request);
    request.settle(new CallError(request.written ? "unanswered" : "refused", "timeout"));
    if (connection === null) return;
    connection.request = null;
    // The server may still answer the request, so the connection must not be reused.
    connection.socket.destroy();
  }

  private dispatch(host: Host, request: PendingRequest): void {
    const connection = this.takeIdle(host);
    if (connection !== null) this.send(connection, request);
    else if (host.open < this.maxSockets) this.open(host, request);
    else host.waiting.push(request);
  }

  private takeIdle(host: Host): Connection | null {
    for (let connection = host.idle.pop(); connection !== undefined; connection = host.idle.pop()) {
      this.idleCount--;
      // Skips a connection that was destroyed but whose close event has not been handled yet.
      if (connection.socket.destroyed) continue;
      connection.socket.ref();
      return connection;
    }
    return null;
  }

  private open(host: Host, request: PendingRequest): void {
    const colon = host.addr.lastIndexOf(":");
    const port = Number(host.addr.slice(colon + 1));
    if (port > 65535) return request.settle(new CallError("refused", "port out of range"));
    const socket = connect({ host: host.addr.slice(0, colon), port, noDelay: true });
    const connection: Connection = { socket, host, connected: false, request, parser: null };
    request.connection = connection;
    host.open++;
    let fault: NodeJS.ErrnoException | null = null;
    socket.on("connect", () => {
      connection.connected = true;
      if (connection.request !== null) this.send(connection, connection.request);
    });
    socket.on("data", (chunk: Buffer) => this.onData(connection, chunk));
    socket.on("error", (error: NodeJS.ErrnoException) => (fault = error));
    socket.on("end", () => this.onEnd(connection));
    socket.on("close", () => this.onClose(connection, fault));
  }

  /** Writes the request to a free connection, or refuses it if its deadline has passed. */
  private send(connection: Connection, request: PendingRequest): void {
    connection.request = request;
    request.connection = connection;
    // If the process stalled before the connection was established, the request may no longer be
    // valid and must not be sent, even if this event is handled before the timeout's timer.
    if (performance.now() >= request.deadline) {
      connection.request = null;
      request.settle(new CallError("refused", "connected too late"));
      return this.release(connection);
    }
    connection.parser = new ResponseParser(MAX_REPLY_BYTES);
    request.written = true;
    connection.socket.write(request.text);
  }

  private onData(connection: Connection, chunk: Buffer): void {
    const { parser } = connection;
    if (parser === null || connection.request === null) {
      connection.socket.destroy();
      return;
    }
    try {
      parser.push(chunk);
    } catch (error) {
      this.fail(connection, (error as Error).message);
      connection.socket.destroy();
      return;
    }
    if (parser.done) this.complete(connection, parser);
  }

  private onEnd(connection: Connection): void {
    if (connection.request !== null && connection.parser?.end() === true) this.complete(connection, connection.parser);
    connection.socket.destroy();
  }

  private complete(connection: Connection, parser: ResponseParser): void {
    const request = connection.request!;
    connection.request = null;
    connection.parser = null;
    if (parser.closesConnection) connection.socket.destroy();
    else this.release(connection);
    try {
      const text = parser.body;
      const parsed: unknown = text === "" ? {} : JSON.parse(text);
      const body = parsed !== null && typeof parsed === "object" ? (parsed as Record<string, unknown>) : {};
      request.settle({ status: parser.status, body });
    } catch {
      request.settle(new CallError("unanswered", "reply is not JSON"));
    }
  }

  private fail(connection: Connection, message: string): void {
    const { request } = connection;
    connection.request = null;
    request?.settle(new CallError(request.written ? "unanswered" : "refused", message));
  }

  private release(connection: Connection): void {
    const { host } = connection;
    const next = host.waiting.shift();
    if (next !== undefined) this.send(connection, next);
    else if (host.idle.length < MAX_IDLE_PER_HOST && this.idleCount < this.maxIdle) {
      host.idle.push(connection);
      this.idleCount++;
      // An idle connection must not keep the process alive, or command-line commands would never exit.
      connection.socket.unref();
    } else connection.socket.destroy();
  }

  private onClose(connection: Connection, fault: NodeJS.ErrnoException | null): void {
    const { host } = connection;
    host.open--;
    const at = host.idle.indexOf(connection);
    if (at >= 0) {
      host.idle.splice(at, 1);
      this.idleCount--;
    }
    this.fail(connection, fault?.message ?? "reply cut short");
    const next = host.waiting.shift();
    if (next !== undefined) this.open(host, next);
    else if (host.open === 0) this.hosts.delete(host.addr);
  }
}
