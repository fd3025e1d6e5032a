import express, { type ErrorRequestHandler, type Express } from "express";
import { FAULT, readiness, send, type FrontDoor } from "./server.js";

const MAX_BODY = 64 * 1024;

/** The HTTP face for users and health checks. */
export function buildApp(door: FrontDoor): Express {
  const app = express();
  app.disable("x-powered-by");
  app.disable("etag");
  app.set("query parser", "simple");
  const body = express.json({ limit: MAX_BODY, type: () => true, strict: false, inflate: false });

  app.get("/v2/runs/:ref", async (req, res) => send(door, res, await door.relay.answer("poll", req.params.ref)));
  app.post("/v2/runs", body, async (req, res) => send(door, res, await door.relay.answer("submit", req.body)));
  app.post("/v2/runs/:ref/cancel", async (req, res) => send(door, res, await door.relay.answer("cancel", req.params.ref)));
  app.get("/up", (_req, res) => send(door, res, readiness(door)));
  app.use(["/cluster", "/metrics"], (_req, res, next) => {
    const retryAfterS = door.viewsShed();
    if (retryAfterS === null) next();
    else send(door, res, { status: 503, body: { error: "busy" }, retryAfterS });
  });
  app.get("/cluster", (_req, res) => send(door, res, { status: 200, body: door.view() }));
  app.get("/metrics", async (_req, res) => {
    res.type("text/plain").send(await door.metrics());
  });
  app.use((_req, res) => send(door, res, { status: 404, body: { error: "no such path" } }));
  const fault: ErrorRequestHandler = (error, _req, res, next) => {
    if (res.headersSent) return next(error);
    const status = Number(error?.status);
    const bad = status >= 400 && status < 500;
    send(door, res, bad ? { status: 400, body: { error: String(error.message).slice(0, 200) } } : FAULT);
  };
  app.use(fault);
  return app;
}
