import assert from "node:assert/strict";
import { createServer, request, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { buildApp } from "../src/intake/app.js";
import { answerWithoutExpress, type UserApiDependencies } from "../src/intake/server.js";
import type { Relay } from "../src/intake/relay.js";

// Polls and health checks are answered without Express; the responses must be the same as with Express.

function depsWith(unready: string | null, shed: string[]): UserApiDependencies {
  const answer = (kind: string, body: unknown) => {
    if (body === "run-000009") return Promise.reject(new Error("fault"));
    if (body === "run-000404") return Promise.resolve({ status: 404, body: { error: "no such job" } });
    if (body === "run-000503") return Promise.resolve({ status: 503, body: { error: "wait" }, retryAfterS: 2 });
    return Promise.resolve({ status: 200, body: { kind, ref: body } });
  };
  return {
    relay: { answer } as unknown as Relay,
    unreadyReason: () => unready,
    countResponse: () => undefined,
    onShed: (path, status) => shed.push(`${path} ${status}`),
    viewsRetryAfterS: () => null,
    view: () => ({}),
    metrics: () => Promise.resolve(""),
  };
}

async function ask(server: Server, method: string, path: string): Promise<string> {
  const { port } = server.address() as AddressInfo;
  return new Promise((resolve, reject) => {
    const req = request({ host: "127.0.0.1", port, method, path, agent: false }, (res) => {
      let text = "";
      res.on("data", (chunk: Buffer) => (text += chunk.toString()));
      res.on("end", () => resolve([res.statusCode, res.headers["retry-after"] ?? "-", res.headers["content-type"], text].join(" ")));
    });
    req.on("error", reject);
    req.end();
  });
}

test("polls and health checks are answered the same with and without express", async () => {
  for (const unready of [null, "starting"]) {
    const shed: [string[], string[]] = [[], []];
    let withoutExpress = 0;
    const dependencies = shed.map((list) => depsWith(unready, list));
    const apps = dependencies.map(buildApp);
    const servers = [
      createServer((req, res) => void apps[0]!(req, res)),
      createServer((req, res) => {
        if (answerWithoutExpress(dependencies[1]!, req, res)) withoutExpress++;
        else void apps[1]!(req, res);
      }),
    ];
    for (const server of servers) await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const refs = ["run-000001", "run-000404", "run-000503", "run-000009", "odd%20one", "a/b", "", "run-000001?x=1"];
    const paths = ["/up", "/up?x", "/cluster", "/nowhere", ...refs.map((ref) => `/v2/runs/${ref}`)];
    try {
      for (const method of ["GET", "POST"])
        for (const path of paths)
          assert.equal(await ask(servers[1]!, method, path), await ask(servers[0]!, method, path), `${method} ${path}`);
      assert.deepEqual(shed[1], shed[0]);
      assert.equal(withoutExpress, 5, "only requests in the plain spelling bypass Express");
    } finally {
      for (const server of servers) server.close().closeAllConnections();
    }
  }
});
