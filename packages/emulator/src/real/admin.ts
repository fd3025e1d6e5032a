/** Administration interface of a running emulator. */
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import express from "express";
import { decodeJob } from "@thorntrail/protocol/jobs";
import { injectFault, decodeFault } from "../faults.js";
import type { TestEnvironment } from "./test-environment.js";

const MAX_BODY = "64kb";
/** Minimum run time in seconds of a job submitted through this interface. The job runs for its estimate (`guessS`) if that is longer. */
const MIN_RUN_S = 0.1;

/**
 * Serves the administration interface of an emulator: `GET /status`, `POST /faults` (carries out one fault at once) and `POST /jobs`.
 * Rejects if the address cannot be listened on.
 */
export function serveAdmin(environment: TestEnvironment, host: string, port: number): Promise<{ server: Server; addr: string }> {
  const app = express();
  app.disable("x-powered-by");
  app.use(express.json({ limit: MAX_BODY }));
  app.get("/status", (_req, res) => void res.json(environment.status()));
  app.post("/faults", async (req, res) => {
    const decoded = decodeFault(req.body);
    if ("wrong" in decoded) return void res.status(400).json({ error: decoded.wrong });
    await environment.findLargestOwner();
    res.json({ kind: decoded.fault.kind, met: injectFault(environment, decoded.fault, environment.simulatedUsers) });
  });
  app.post("/jobs", (req, res) => {
    const decoded = decodeJob(req.body);
    if ("fault" in decoded) return void res.status(400).json({ error: decoded.fault });
    const { spec } = decoded;
    if (environment.jobs.has(spec.ref)) return void res.status(409).json({ error: `${spec.ref}: was submitted already` });
    void environment.submit({ atMs: 0, spec, runMs: Math.max(MIN_RUN_S, spec.guessS) * 1000, cancelMs: null });
    res.status(202).json({ ref: spec.ref });
  });
  app.use((_req, res) => void res.status(404).json({ error: "expected GET /status, POST /faults or POST /jobs" }));
  app.use(((error, _req, res, next) => {
    if (res.headersSent) return next(error);
    res.status(400).json({ error: String(error?.message ?? error).slice(0, 200) });
  }) as express.ErrorRequestHandler);
  return new Promise((resolve, reject) => {
    const server = app.listen(port, host, () => resolve({ server, addr: `${host}:${(server.address() as AddressInfo).port}` }));
    server.once("error", reject);
  });
}
