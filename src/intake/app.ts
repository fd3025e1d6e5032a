import express, { type ErrorRequestHandler, type Express } from "express";
import { INTERNAL_FAULT, readiness, send, type UserApiDependencies } from "./server.js";

const MAX_BODY_BYTES = 64 * 1024;

/** Builds the Express application that serves users, health checks, the cluster view and metrics. */
export function buildApp(deps: UserApiDependencies): Express {
  const app = express();
  app.disable("x-powered-by");
  app.disable("etag");
  app.set("query parser", "simple");
  const body = express.json({ limit: MAX_BODY_BYTES, type: () => true, strict: false, inflate: false });

  app.get("/v2/runs/:ref", async (req, res) => send(deps, res, await deps.relay.answer("poll", req.params.ref)));
  app.post("/v2/runs", body, async (req, res) => send(deps, res, await deps.relay.answer("submit", req.body)));
  app.post("/v2/runs/:ref/cancel", async (req, res) => send(deps, res, await deps.relay.answer("cancel", req.params.ref)));
  app.get("/up", (_req, res) => send(deps, res, readiness(deps)));
  app.use(["/cluster", "/metrics"], (_req, res, next) => {
    const retryAfterS = deps.viewsRetryAfterS();
    if (retryAfterS === null) next();
    else send(deps, res, { status: 503, body: { error: "busy" }, retryAfterS });
  });
  app.get("/cluster", (_req, res) => send(deps, res, { status: 200, body: deps.view() }));
  app.get("/metrics", async (_req, res) => {
    res.type("text/plain").send(await deps.metrics());
  });
  app.use((_req, res) => send(deps, res, { status: 404, body: { error: "no such path" } }));
  const errorHandler: ErrorRequestHandler = (error, _req, res, next) => {
    if (res.headersSent) return next(error);
    const status = Number(error?.status);
    const clientError = status >= 400 && status < 500;
    send(deps, res, clientError ? { status: 400, body: { error: String(error.message).slice(0, 200) } } : INTERNAL_FAULT);
  };
  app.use(errorHandler);
  return app;
}
