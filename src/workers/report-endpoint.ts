/** Decodes workers' reports and encodes the answers, independently of the HTTP server that received them. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { CpuAccounting } from "../platform/cpu-accounting.js";
import { type ReportAnswer, decodeReport, encodeOrders, type Report } from "@thorntrail/protocol/worker";

/** HTTP path to which workers post their reports. */
export const REPORT_PATH = "/v1/report";
/** Number of bytes of an invalid body that are logged. */
const MAX_LOGGED_BYTES = 120;
/** Maximum size of a report body in bytes. */
export const MAX_REPORT_BYTES = 64 * 1024;

/** Dependencies of the report endpoint. */
export interface ReportEndpointDependencies {
  /** Applies a report and returns the answer. */
  onReport: (report: Report) => ReportAnswer;
  /** Counts a response by its HTTP status. */
  countResponse: (status: number) => void;
  /** Called for a body that is not a valid report, with the reason and the beginning of the body. */
  onInvalidReport: (why: string, bodyStart: string) => void;
  costs: CpuAccounting;
}

/** HTTP response to a report. */
export interface ReportResponse {
  status: number;
  /** JSON body. */
  text: string;
  retryAfterS?: number;
}

const jsonResponse = (status: number, body: unknown): ReportResponse => ({ status, text: JSON.stringify(body) });

/** Response to a report that exceeds `MAX_REPORT_BYTES`. */
export const REPORT_TOO_LARGE = jsonResponse(400, { error: "a report has at most 64 KiB" });

/** Decodes the body of a request to the report path, has the report applied and returns the response. */
export function answerReport(dependencies: ReportEndpointDependencies, body: Buffer): ReportResponse {
  return dependencies.costs.charge("report", () => {
    const refuse = (error: string): ReportResponse => {
      dependencies.onInvalidReport(error, body.toString("utf8", 0, MAX_LOGGED_BYTES));
      return jsonResponse(400, { error });
    };
    let raw: unknown;
    try {
      raw = JSON.parse(body.toString("utf8"));
    } catch {
      return refuse("not JSON");
    }
    const report = decodeReport(raw);
    if (report === null) return refuse("not a report");
    const answer = dependencies.onReport(report);
    if (answer.kind === "silent") return { ...jsonResponse(503, { error: "not entitled to lead" }), retryAfterS: 1 };
    if (answer.kind === "elsewhere") return jsonResponse(421, answer.boss === null ? {} : { boss: answer.boss });
    return jsonResponse(200, { baton: answer.token, orders: encodeOrders(answer.orders) });
  });
}

function send(
  dependencies: ReportEndpointDependencies,
  res: ServerResponse,
  { status, text, retryAfterS }: ReportResponse,
  headers: Record<string, string> = {},
): void {
  if (res.headersSent) return;
  dependencies.countResponse(status);
  const retry = retryAfterS === undefined ? {} : { "retry-after": String(retryAfterS) };
  res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text), ...retry, ...headers });
  res.end(text);
}

/**
 * Handles a report that was received by Node's HTTP server, to which the fast path (`ReportFastPath`) passes every
 * connection with a request that it does not parse itself. Express is bypassed because its routing and body parsing
 * cost more processor time than the report itself.
 */
export function handleReportRequest(dependencies: ReportEndpointDependencies, req: IncomingMessage, res: ServerResponse): void {
  const chunks: Buffer[] = [];
  let size = 0;
  req.on("data", (chunk: Buffer) => {
    size += chunk.length;
    if (size <= MAX_REPORT_BYTES) chunks.push(chunk);
    else {
      chunks.length = 0;
      // The rest of the body is discarded, because no worker sends a report of this size.
      send(dependencies, res, REPORT_TOO_LARGE, { connection: "close" });
      req.removeAllListeners("data").resume();
      res.on("finish", () => req.destroy());
    }
  });
  req.on("error", () => undefined);
  req.on("end", () => {
    if (!res.headersSent) send(dependencies, res, answerReport(dependencies, chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)));
  });
}
