import assert from "node:assert/strict";
import { Agent, createServer, get, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { InboundConnections } from "../src/platform/inbound-connections.js";
import { CallError } from "@thorntrail/protocol/errors";
import { HttpWorkerClient } from "../src/workers/worker-client.js";

async function listen(server: Server): Promise<number> {
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return (server.address() as AddressInfo).port;
}

function closeServer(server: Server): void {
  server.close();
  server.closeAllConnections();
}

test("more clients than sockets are all served, because connections are closed after the answer above the threshold", async () => {
  const server = createServer((_req, res) => {
    if (connections.closesAfterAnswer()) res.shouldKeepAlive = false;
    res.end("ok");
  });
  const connections = new InboundConnections(server, 20);
  const port = await listen(server);
  const ask = (agent: Agent): Promise<string | undefined> =>
    new Promise((resolve, reject) => {
      get({ host: "127.0.0.1", port, agent }, (res) => {
        res.resume();
        res.on("end", () => resolve(res.headers.connection));
      }).on("error", reject);
    });
  const agents = Array.from({ length: 40 }, () => new Agent({ keepAlive: true }));
  const connectionHeaders: (string | undefined)[] = [];
  for (let round = 0; round < 2; round++) for (const agent of agents) connectionHeaders.push(await ask(agent));
  assert.ok(connectionHeaders.slice(0, 10).every((header) => header !== "close"));
  assert.ok(connectionHeaders.filter((header) => header === "close").length >= 50);
  assert.ok(connections.count <= 17, String(connections.count));
  for (const agent of agents) agent.destroy();
  closeServer(server);
});

test("concurrent commands to workers are limited; a command that waits too long is not sent", async () => {
  let active = 0;
  let maxActive = 0;
  let served = 0;
  const report = JSON.stringify({ host: "i-1", shift: 1, tick: 1 });
  const answer = (_req: unknown, res: ServerResponse): void => {
    served++;
    maxActive = Math.max(maxActive, ++active);
    setTimeout(() => {
      active--;
      res.end(report);
    }, 30);
  };
  const servers = Array.from({ length: 5 }, () => createServer(answer));
  const ports = await Promise.all(servers.map(listen));
  const workers = new HttpWorkerClient(2000, 2, "n");
  const replies = await Promise.all(ports.map((port) => workers.command(`127.0.0.1:${port}`, 1, 1, [])));
  assert.ok(replies.every((reply) => reply.executed));
  assert.equal(maxActive, 2);
  const before = served;
  const impatient = new HttpWorkerClient(45, 1, "n");
  const settled = await Promise.allSettled(ports.map((port) => impatient.command(`127.0.0.1:${port}`, 1, 1, [])));
  const refused = settled.filter((one) => one.status === "rejected" && one.reason instanceof CallError && one.reason.kind === "refused");
  assert.ok(refused.length >= 2, String(refused.length));
  assert.ok(served - before < ports.length);
  servers.forEach(closeServer);
});
