/** The HTTP interface of the store for operators: health, metrics, limits and snapshots. */
import type { Server } from "node:http";
import express from "express";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { z } from "zod";
import { writeSnapshot } from "./snapshot-file.js";
import type { LevelEngine } from "./level-engine.js";
import type { Store, StoreLimits } from "./store.js";

const positive = z.number().finite().positive();
const limitsSchema = z
  .strictObject({ rps: positive, writeRps: positive, valueKb: positive.max(64), txnOps: z.number().int().min(1).max(1000) })
  .partial();
const snapshotRequestSchema = z.strictObject({ file: z.string().min(1) });

/** Creates the registry of the store's Prometheus metrics. */
export function storeMetrics(store: Store): Registry {
  const registry = new Registry();
  const registers = [registry];
  const gauge = (name: string, help: string, read: () => number): void => {
    new Gauge({
      name: `thorntrail_store_${name}`,
      help,
      registers,
      collect() {
        this.set(read());
      },
    });
  };
  gauge("ledger", "Newest durable revision", () => store.ledger);
  gauge("leases", "Leases that have not ended", () => store.status.leases);
  gauge("watches", "Watches that wait for a change", () => store.status.watches);
  gauge("waiting", "Requests that wait for the disk", () => store.status.waiting);
  gauge("trouble", "1 while storage does not take writes", () => Number(store.status.trouble !== null));
  gauge("groups_total", "Groups of changes made durable", () => store.stats.groups);
  gauge("changes_total", "Requested changes that were decided", () => store.stats.changes);
  gauge("conflicts_total", "Transactions whose conditions failed", () => store.stats.conflicts);
  gauge("refused_total", "Requests refused before they were decided", () => store.stats.refused);
  const commit = new Histogram({
    name: "thorntrail_store_commit_seconds",
    help: "Time for a group to become durable",
    buckets: [0.0005, 0.001, 0.002, 0.005, 0.01, 0.05, 0.2, 1],
    registers,
  });
  const answers = new Counter({
    name: "thorntrail_store_group_answers_total",
    help: "Answers sent once their group was durable",
    registers,
  });
  store.onGroupDurable = (ms, count) => {
    commit.observe(ms / 1000);
    answers.inc(count);
  };
  return registry;
}

/** Serves the operators' HTTP interface on an address of its own; rejects if the address cannot be bound. */
export function serveAdmin(store: Store, engine: LevelEngine, host: string, port: number): Promise<Server> {
  const registry = storeMetrics(store);
  const app = express();
  app.disable("x-powered-by");
  app.use(express.json({ limit: "16kb" }));
  app.get(
    "/health",
    (_req, res) => void res.status(store.status.trouble === null ? 200 : 503).json({ ledger: store.ledger, ...store.status }),
  );
  app.get("/metrics", async (_req, res) => void res.type("text/plain").send(await registry.metrics()));
  app.put("/limits", (req, res) => {
    const parsed = limitsSchema.safeParse(req.body);
    if (parsed.success) res.json(store.setLimits(parsed.data as Partial<StoreLimits>));
    else res.status(400).json({ error: parsed.error.issues.map((i) => `${i.path.join(".") || "body"}: ${i.message}`).join("; ") });
  });
  app.post("/snapshot", async (req, res) => {
    const parsed = snapshotRequestSchema.safeParse(req.body);
    if (!parsed.success) return void res.status(400).json({ error: 'expected {"file":"..."}' });
    try {
      res.json(await writeSnapshot(engine, parsed.data.file));
    } catch (error) {
      res
        .status(503)
        .set("retry-after", "5")
        .json({ error: (error as Error).message });
    }
  });
  app.use(((error, _req, res, next) => {
    if (res.headersSent) return next(error);
    res.status(400).json({ error: String(error?.message ?? error).slice(0, 200) });
  }) as express.ErrorRequestHandler);
  return new Promise((resolve, reject) => {
    const server = app.listen(port, host, () => resolve(server));
    server.once("error", reject);
  });
}
