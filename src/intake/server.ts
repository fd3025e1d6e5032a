import express, { type ErrorRequestHandler, type Express, type Response as HttpResponse } from "express";
import type { Response } from "./jobs.js";
import type { Relay } from "./relay.js";

const MAX_BODY = 64 * 1024;

export interface FrontDoor {
  relay: Relay;
  /** Null: this node can take requests; otherwise why it cannot. */
  unready: () => string | null;
  count: (status: number) => void;
  /** Requests that were not taken, and why. */
  shed: (path: string, status: number, why: unknown) => void;
  view: () => Record<string, unknown>;
  metrics: () => Promise<string>;
}

/** The HTTP face for users and health checks. */
export function buildApp(door: FrontDoor): Express {
  const app = express();
  app.disable("x-powered-by");
  app.disable("etag");
  app.set("query parser", "simple");
  const body = express.json({ limit: MAX_BODY, type: () => true, strict: false, inflate: false });

  const send = (res: HttpResponse, answer: Response): void => {
    door.count(answer.status);
    if (answer.retryAfterS !== undefined) door.shed(`${res.req.method} ${res.req.path}`, answer.status, answer.body["error"]);
    if (answer.retryAfterS !== undefined) res.set("retry-after", String(answer.retryAfterS));
    res.status(answer.status).json(answer.body);
  };

  app.get("/v2/runs/:ref", async (req, res) => send(res, await door.relay.answer("poll", req.params.ref)));
  app.post("/v2/runs", body, async (req, res) => send(res, await door.relay.answer("submit", req.body)));
  app.post("/v2/runs/:ref/cancel", async (req, res) => send(res, await door.relay.answer("cancel", req.params.ref)));
  app.get("/up", (_req, res) => {
    const reason = door.unready();
    send(res, reason === null ? { status: 200, body: { ok: true } } : { status: 503, body: { error: reason }, retryAfterS: 1 });
  });
  app.get("/cluster", (_req, res) => send(res, { status: 200, body: door.view() }));
  app.get("/metrics", async (_req, res) => {
    res.type("text/plain").send(await door.metrics());
  });
  app.use((_req, res) => send(res, { status: 404, body: { error: "no such path" } }));
  const fault: ErrorRequestHandler = (error, _req, res, next) => {
    if (res.headersSent) return next(error);
    const status = Number(error?.status);
    const bad = status >= 400 && status < 500;
    send(
      res,
      bad
        ? { status: 400, body: { error: String(error.message).slice(0, 200) } }
        : { status: 503, body: { error: "internal fault" }, retryAfterS: 1 },
    );
  };
  app.use(fault);
  return app;
}
