import type { Server as HttpServer } from "node:http";
import type { Server, Socket } from "node:net";
import type { Clock } from "../platform/clock.js";
import type { Scope } from "../platform/scope.js";
import { answerReport, MAX_REPORT, REPORT_PATH, TOO_LONG, type Reply, type ReportDoor } from "./report-endpoint.js";

const REQUEST = Buffer.from(`POST ${REPORT_PATH} HTTP/1.1\r\n`, "latin1");
const HEAD_END = "\r\n\r\n";
const MAX_HEAD = 8 * 1024;
/** Answers a connection may hold unread: two of the longest. A sender that does not read waits for nothing of ours. */
const MOST_UNREAD = 2 * 64 * 1024;
const HEADER = /^([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\0\r\n]*?)[ \t]*$/;
/** What makes a request more than a head and so many bytes: left to Node's parser. */
const NOT_OURS = new Set(["transfer-encoding", "expect", "upgrade", "trailer"]);
const REASONS: Record<number, string> = { 200: "OK", 400: "Bad Request", 421: "Misdirected Request", 503: "Service Unavailable" };

/** What stands at the beginning of a connection's bytes. */
export type Reading =
  /** Not enough of it yet to tell. */
  | { kind: "more" }
  /** Anything but a plain report: Node's HTTP server is to read it. */
  | { kind: "other" }
  | { kind: "too-long" }
  /** A report, body from `from` to `to`; `close`: the sender wants no further answer after this one. */
  | { kind: "report"; from: number; to: number; close: boolean };

/** Reads the next request of a connection, of which all bytes not yet dealt with are given. */
export function readRequest(bytes: Buffer): Reading {
  const shown = Math.min(bytes.length, REQUEST.length);
  if (bytes.compare(REQUEST, 0, shown, 0, shown) !== 0) return { kind: "other" };
  const end = bytes.indexOf(HEAD_END, 0, "latin1");
  if (end < 0) return { kind: bytes.length > MAX_HEAD ? "other" : "more" };
  if (end > MAX_HEAD) return { kind: "other" };
  let length = -1;
  let close = false;
  for (const line of bytes.toString("latin1", REQUEST.length, end).split("\r\n")) {
    const header = HEADER.exec(line);
    if (header === null) return { kind: "other" };
    const name = header[1]!.toLowerCase();
    const value = header[2]!;
    if (NOT_OURS.has(name)) return { kind: "other" };
    if (name === "connection") close = value.toLowerCase() !== "keep-alive";
    if (name === "content-length") {
      if (length >= 0 || !/^\d{1,9}$/.test(value)) return { kind: "other" };
      length = Number(value);
    }
  }
  if (length < 0) return { kind: "other" };
  if (length > MAX_REPORT) return { kind: "too-long" };
  const from = end + HEAD_END.length;
  return bytes.length < from + length ? { kind: "more" } : { kind: "report", from, to: from + length, close };
}

function head({ status, retryAfterS }: Reply, length: number, close: boolean): string {
  const retry = retryAfterS === undefined ? "" : `retry-after: ${retryAfterS}\r\n`;
  const end = close ? "connection: close\r\n" : "";
  return `HTTP/1.1 ${status} ${REASONS[status]}\r\ncontent-type: application/json\r\ncontent-length: ${length}\r\n${retry}${end}\r\n`;
}

/** Whom the report lane works with. */
export interface LaneAround {
  door: ReportDoor;
  /** Reads whatever is not a plain report; it does not listen itself. */
  others: HttpServer;
  /** Connections are closed after an answer while this holds. */
  crowded: () => boolean;
  scope: Scope;
  /** A connection on which nothing came for so long is closed. */
  idleMs: number;
}

interface Lane {
  socket: Socket;
  /** Takes this lane's own listeners off the connection. */
  leave: () => void;
  pending: Buffer | null;
  heardAt: number;
}

/**
 * HTTP/1.1 on bare connections, for the one kind of request of which there are hundreds a
 * second. Node's HTTP server makes some dozen objects, streams and events of each, which costs
 * several times what a report does. Whatever is not a plain report to the letter, from the first
 * byte of any request on, goes to that server together with its connection and stays there.
 */
export class ReportLanes {
  private readonly lanes = new Set<Lane>();

  constructor(private readonly around: LaneAround) {}

  start(server: Server): void {
    server.on("connection", (socket) => this.accept(socket));
    this.around.scope.routine(
      "idle connections",
      () => this.around.idleMs / 2,
      () => this.sweep(),
    );
  }

  private get clock(): Clock {
    return this.around.scope.clock;
  }

  /** Machines that died never close theirs: without this, every one would hold a socket for ever. */
  private sweep(): void {
    const now = this.clock.now();
    for (const { socket, heardAt } of this.lanes) if (now - heardAt > this.around.idleMs) socket.destroy();
  }

  private accept(socket: Socket): void {
    const data = (chunk: Buffer): void => this.take(lane, chunk);
    const end = (): void => void socket.end();
    const error = (): void => void socket.destroy();
    const leave = (): void => {
      socket.off("data", data).off("end", end).off("error", error).off("close", leave);
      this.lanes.delete(lane);
    };
    const lane: Lane = { socket, leave, pending: null, heardAt: this.clock.now() };
    this.lanes.add(lane);
    socket.on("data", data).on("end", end).on("error", error).on("close", leave);
  }

  private take(lane: Lane, chunk: Buffer): void {
    lane.heardAt = this.clock.now();
    if (lane.socket.writableLength > MOST_UNREAD) {
      lane.socket.destroy();
      return;
    }
    let bytes = lane.pending === null ? chunk : Buffer.concat([lane.pending, chunk]);
    lane.pending = null;
    while (bytes.length > 0 && !lane.socket.destroyed) {
      const reading = readRequest(bytes);
      if (reading.kind === "more") {
        lane.pending = bytes;
        return;
      }
      if (reading.kind === "other") return this.handOver(lane, bytes);
      // The rest is not read: whoever sends this much is no worker.
      if (reading.kind === "too-long") return this.send(lane, TOO_LONG, true);
      const close = reading.close || this.around.crowded();
      this.send(lane, answerReport(this.around.door, bytes.subarray(reading.from, reading.to)), close);
      if (close) return;
      bytes = bytes.subarray(reading.to);
    }
  }

  private send(lane: Lane, answer: Reply, close: boolean): void {
    const { socket } = lane;
    this.around.door.count(answer.status);
    const length = Buffer.byteLength(answer.text);
    const text = head(answer, length, close) + answer.text;
    const encoding = length === answer.text.length ? "latin1" : "utf8";
    if (!close) {
      socket.write(text, encoding);
      return;
    }
    // What comes after it is not read.
    lane.leave();
    socket.on("error", () => socket.destroy());
    socket.resume();
    socket.end(text, encoding, () => socket.destroySoon());
  }

  private handOver(lane: Lane, bytes: Buffer): void {
    const { socket } = lane;
    lane.leave();
    this.around.others.emit("connection", socket);
    socket.unshift(bytes);
  }
}
