import type { IncomingMessage, ServerResponse } from "node:http";
import type { Costs } from "../platform/costs.js";
import { type ReportAnswer, decodeReport, encodeOrders, type Report } from "@thorntrail/protocol/worker";

export const REPORT_PATH = "/v1/report";
const MAX_BODY = 64 * 1024;

export interface ReportDoor {
  onReport: (report: Report) => ReportAnswer;
  count: (status: number) => void;
  costs: Costs;
}

function send(door: ReportDoor, res: ServerResponse, status: number, body: unknown, headers: Record<string, string> = {}): void {
  if (res.headersSent) return;
  door.count(status);
  const text = JSON.stringify(body);
  res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text), ...headers });
  res.end(text);
}

/**
 * Takes in one report. Workers send hundreds of these a second, most of the
 * requests there are, so they do not pass through express, whose routing and
 * body parsing cost more processor time than the report itself.
 */
export function serveReport(door: ReportDoor, req: IncomingMessage, res: ServerResponse): void {
  const chunks: Buffer[] = [];
  let size = 0;
  req.on("data", (chunk: Buffer) => {
    size += chunk.length;
    if (size <= MAX_BODY) chunks.push(chunk);
    else {
      chunks.length = 0;
      // The rest is not read: whoever sends this much is no worker.
      send(door, res, 400, { error: "a report has at most 64 KiB" }, { connection: "close" });
      req.removeAllListeners("data").resume();
      res.on("finish", () => req.destroy());
    }
  });
  req.on("error", () => undefined);
  const answer = (): void => {
    if (res.headersSent) return;
    let raw: unknown;
    try {
      raw = JSON.parse((chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)).toString("utf8"));
    } catch {
      return send(door, res, 400, { error: "not JSON" });
    }
    const report = decodeReport(raw);
    if (report === null) return send(door, res, 400, { error: "not a report" });
    const said = door.onReport(report);
    if (said.kind === "silent") return send(door, res, 503, { error: "not entitled to lead" }, { "retry-after": "1" });
    if (said.kind === "elsewhere") return send(door, res, 421, said.boss === null ? {} : { boss: said.boss });
    send(door, res, 200, { baton: said.token, orders: encodeOrders(said.orders) });
  };
  req.on("end", () => door.costs.spend("report", answer));
}
