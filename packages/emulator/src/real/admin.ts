import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import express from "express";
import { decodeJob } from "@thorntrail/protocol/jobs";
import { carryOut, decodeFault } from "../faults.js";
import type { Rig } from "./rig.js";

const MOST_BODY = "64kb";
/** True run time of uploaded jobs, where nobody says: what their owner guesses. */
const LEAST_RUN_S = 0.1;

/** For whoever rehearses by hand: how things stand, faults on command, jobs to submit. */
export function serveAdmin(rig: Rig, host: string, port: number): Promise<{ server: Server; addr: string }> {
  const app = express();
  app.disable("x-powered-by");
  app.use(express.json({ limit: MOST_BODY }));
  app.get("/status", (_req, res) => void res.json(rig.status()));
  app.post("/faults", async (req, res) => {
    const asked = decodeFault(req.body);
    if ("wrong" in asked) return void res.status(400).json({ error: asked.wrong });
    await rig.findLeader();
    res.json({ kind: asked.fault.kind, met: carryOut(rig, asked.fault, rig.crowd) });
  });
  app.post("/jobs", (req, res) => {
    const asked = decodeJob(req.body);
    if ("fault" in asked) return void res.status(400).json({ error: asked.fault });
    const { spec } = asked;
    if (rig.jobs.has(spec.ref)) return void res.status(409).json({ error: `${spec.ref}: was submitted already` });
    void rig.submit({ atMs: 0, spec, runMs: Math.max(LEAST_RUN_S, spec.guessS) * 1000, cancelMs: null });
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
