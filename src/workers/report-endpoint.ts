import type { IncomingMessage, ServerResponse } from "node:http";
import type { Costs } from "../platform/costs.js";
import { type ReportAnswer, decodeReport, encodeOrders, type Report } from "@thorntrail/protocol/worker";

export const REPORT_PATH = "/v1/report";
/** Of a body that is refused, what the log shows. */
const SHOWN = 120;
export const MAX_REPORT = 64 * 1024;

export interface ReportDoor {
  onReport: (report: Report) => ReportAnswer;
  count: (status: number) => void;
  /** A body that is no report, and how it begins. */
  refused: (why: string, begins: string) => void;
  costs: Costs;
}

export interface Reply {
  status: number;
  /** JSON. */
  text: string;
  retryAfterS?: number;
}

const reply = (status: number, body: unknown): Reply => ({ status, text: JSON.stringify(body) });

export const TOO_LONG = reply(400, { error: "a report has at most 64 KiB" });

/** What a body that was posted to the report path is answered, whichever way it came. */
export function answerReport(door: ReportDoor, body: Buffer): Reply {
  return door.costs.spend("report", () => {
    const refuse = (error: string): Reply => {
      door.refused(error, body.toString("utf8", 0, SHOWN));
      return reply(400, { error });
    };
    let raw: unknown;
    try {
      raw = JSON.parse(body.toString("utf8"));
    } catch {
      return refuse("not JSON");
    }
    const report = decodeReport(raw);
    if (report === null) return refuse("not a report");
    const said = door.onReport(report);
    if (said.kind === "silent") return { ...reply(503, { error: "not entitled to lead" }), retryAfterS: 1 };
    if (said.kind === "elsewhere") return reply(421, said.boss === null ? {} : { boss: said.boss });
    return reply(200, { baton: said.token, orders: encodeOrders(said.orders) });
  });
}

function send(door: ReportDoor, res: ServerResponse, { status, text, retryAfterS }: Reply, headers: Record<string, string> = {}): void {
  if (res.headersSent) return;
  door.count(status);
  const retry = retryAfterS === undefined ? {} : { "retry-after": String(retryAfterS) };
  res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text), ...retry, ...headers });
  res.end(text);
}

/**
 * Takes in one report that came through Node's HTTP server: those whose form the
 * report lane leaves to it. They do not pass through express, whose routing and
 * body parsing cost more processor time than the report itself.
 */
export function serveReport(door: ReportDoor, req: IncomingMessage, res: ServerResponse): void {
  const chunks: Buffer[] = [];
  let size = 0;
  req.on("data", (chunk: Buffer) => {
    size += chunk.length;
    if (size <= MAX_REPORT) chunks.push(chunk);
    else {
      chunks.length = 0;
      // The rest is not read: whoever sends this much is no worker.
      send(door, res, TOO_LONG, { connection: "close" });
      req.removeAllListeners("data").resume();
      res.on("finish", () => req.destroy());
    }
  });
  req.on("error", () => undefined);
  req.on("end", () => {
    if (!res.headersSent) send(door, res, answerReport(door, chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)));
  });
}
