/** Fast path for workers' reports: parses plain HTTP/1.1 report requests without Node's HTTP server. */
import type { Server as HttpServer } from "node:http";
import type { Server, Socket } from "node:net";
import type { Clock } from "../platform/clock.js";
import type { Scope } from "../platform/scope.js";
import {
  answerReport,
  MAX_REPORT_BYTES,
  REPORT_PATH,
  REPORT_TOO_LARGE,
  type ReportResponse,
  type ReportEndpointDependencies,
} from "./report-endpoint.js";

const REQUEST_LINE = Buffer.from(`POST ${REPORT_PATH} HTTP/1.1\r\n`, "latin1");
const HEAD_END = "\r\n\r\n";
const MAX_HEAD_BYTES = 8 * 1024;
/**
 * Limit in bytes on answers that a worker has not read, twice the length of the longest; a connection that exceeds it
 * is closed.
 */
const MAX_UNREAD_ANSWER_BYTES = 2 * 64 * 1024;
const HEADER_FIELD = /^([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\0\r\n]*?)[ \t]*$/;
/**
 * Headers that the fast path does not support, because the request then is more than a head and a body of known
 * length. Such requests are left to Node's HTTP parser.
 */
const UNSUPPORTED_HEADERS = new Set(["transfer-encoding", "expect", "upgrade", "trailer"]);
const REASON_PHRASES: Record<number, string> = { 200: "OK", 400: "Bad Request", 421: "Misdirected Request", 503: "Service Unavailable" };

/** Result of parsing the beginning of a connection's unprocessed bytes. */
export type ParseResult =
  /** The bytes are the beginning of a request that is incomplete. */
  | { kind: "more" }
  /** Anything other than a plain report request; Node's HTTP server must parse it. */
  | { kind: "other" }
  /** A plain report whose declared length exceeds `MAX_REPORT_BYTES`. */
  | { kind: "too-long" }
  /** A complete report with its body from `bodyStart` to `bodyEnd`; `close` if the sender asks to close the connection after the answer. */
  | { kind: "report"; bodyStart: number; bodyEnd: number; close: boolean };

/** Parses the next request of a connection. `bytes` holds everything received on it that has not been processed. */
export function parseRequest(bytes: Buffer): ParseResult {
  const compared = Math.min(bytes.length, REQUEST_LINE.length);
  if (bytes.compare(REQUEST_LINE, 0, compared, 0, compared) !== 0) return { kind: "other" };
  const headEnd = bytes.indexOf(HEAD_END, 0, "latin1");
  if (headEnd < 0) return { kind: bytes.length > MAX_HEAD_BYTES ? "other" : "more" };
  if (headEnd > MAX_HEAD_BYTES) return { kind: "other" };
  let contentLength = -1;
  let close = false;
  for (const line of bytes.toString("latin1", REQUEST_LINE.length, headEnd).split("\r\n")) {
    const header = HEADER_FIELD.exec(line);
    if (header === null) return { kind: "other" };
    const name = header[1]!.toLowerCase();
    const value = header[2]!;
    if (UNSUPPORTED_HEADERS.has(name)) return { kind: "other" };
    if (name === "connection") close = value.toLowerCase() !== "keep-alive";
    if (name === "content-length") {
      if (contentLength >= 0 || !/^\d{1,9}$/.test(value)) return { kind: "other" };
      contentLength = Number(value);
    }
  }
  if (contentLength < 0) return { kind: "other" };
  if (contentLength > MAX_REPORT_BYTES) return { kind: "too-long" };
  const start = headEnd + HEAD_END.length;
  return bytes.length < start + contentLength
    ? { kind: "more" }
    : { kind: "report", bodyStart: start, bodyEnd: start + contentLength, close };
}

function responseHead({ status, retryAfterS }: ReportResponse, length: number, close: boolean): string {
  const retryHeader = retryAfterS === undefined ? "" : `retry-after: ${retryAfterS}\r\n`;
  const closeHeader = close ? "connection: close\r\n" : "";
  return `HTTP/1.1 ${status} ${REASON_PHRASES[status]}\r\ncontent-type: application/json\r\ncontent-length: ${length}\r\n${retryHeader}${closeHeader}\r\n`;
}

/** Dependencies of the fast path for reports. */
export interface ReportFastPathDependencies {
  /** Receives the reports and builds the answers. */
  endpoint: ReportEndpointDependencies;
  /** Server that handles connections with any other request; it does not listen itself. */
  httpServer: HttpServer;
  /** While this returns true, each connection is closed after its answer. */
  isNearSocketLimit: () => boolean;
  scope: Scope;
  /** Time without received data after which a connection is closed, in ms. */
  idleMs: number;
}

interface ReportConnection {
  socket: Socket;
  /** Removes the fast path's listeners from the socket. */
  detach: () => void;
  /** Received bytes of a request that is not complete yet; null if there are none. */
  pending: Buffer | null;
  lastReceivedAt: number;
}

/**
 * Handles HTTP/1.1 report requests directly on sockets, because they arrive at hundreds per
 * second. Node's HTTP server creates about a dozen objects, streams and events for each
 * request, which costs several times as much as processing the report. A connection with any
 * request that is not exactly a plain report is handed to that server, including the bytes
 * of that request received so far, and stays there.
 */
export class ReportFastPath {
  private readonly connections = new Set<ReportConnection>();

  constructor(private readonly dependencies: ReportFastPathDependencies) {}

  /** Handles the connections that `server` accepts and closes idle ones. */
  start(server: Server): void {
    server.on("connection", (socket) => this.accept(socket));
    this.dependencies.scope.routine(
      "idle connections",
      () => this.dependencies.idleMs / 2,
      () => this.closeIdleConnections(),
    );
  }

  private get clock(): Clock {
    return this.dependencies.scope.clock;
  }

  /** Closes idle connections. Machines that fail never close theirs, so each would otherwise hold a socket forever. */
  private closeIdleConnections(): void {
    const now = this.clock.now();
    for (const { socket, lastReceivedAt } of this.connections) if (now - lastReceivedAt > this.dependencies.idleMs) socket.destroy();
  }

  private accept(socket: Socket): void {
    const data = (chunk: Buffer): void => this.onData(connection, chunk);
    const end = (): void => void socket.end();
    const error = (): void => void socket.destroy();
    const detach = (): void => {
      socket.off("data", data).off("end", end).off("error", error).off("close", detach);
      this.connections.delete(connection);
    };
    const connection: ReportConnection = { socket, detach, pending: null, lastReceivedAt: this.clock.now() };
    this.connections.add(connection);
    socket.on("data", data).on("end", end).on("error", error).on("close", detach);
  }

  private onData(connection: ReportConnection, chunk: Buffer): void {
    connection.lastReceivedAt = this.clock.now();
    if (connection.socket.writableLength > MAX_UNREAD_ANSWER_BYTES) {
      connection.socket.destroy();
      return;
    }
    let bytes = connection.pending === null ? chunk : Buffer.concat([connection.pending, chunk]);
    connection.pending = null;
    while (bytes.length > 0 && !connection.socket.destroyed) {
      const request = parseRequest(bytes);
      if (request.kind === "more") {
        connection.pending = bytes;
        return;
      }
      if (request.kind === "other") return this.handOff(connection, bytes);
      // The rest of the request is discarded, because no worker sends a report of this size.
      if (request.kind === "too-long") return this.send(connection, REPORT_TOO_LARGE, true);
      const close = request.close || this.dependencies.isNearSocketLimit();
      this.send(connection, answerReport(this.dependencies.endpoint, bytes.subarray(request.bodyStart, request.bodyEnd)), close);
      if (close) return;
      bytes = bytes.subarray(request.bodyEnd);
    }
  }

  private send(connection: ReportConnection, answer: ReportResponse, close: boolean): void {
    const { socket } = connection;
    this.dependencies.endpoint.countResponse(answer.status);
    const length = Buffer.byteLength(answer.text);
    const text = responseHead(answer, length, close) + answer.text;
    const encoding = length === answer.text.length ? "latin1" : "utf8";
    if (!close) {
      socket.write(text, encoding);
      return;
    }
    // Data that the worker sends after this request is discarded, because the connection is being closed.
    connection.detach();
    socket.on("error", () => socket.destroy());
    socket.resume();
    socket.end(text, encoding, () => socket.destroySoon());
  }

  private handOff(connection: ReportConnection, bytes: Buffer): void {
    const { socket } = connection;
    connection.detach();
    this.dependencies.httpServer.emit("connection", socket);
    socket.unshift(bytes);
  }
}
