import assert from "node:assert/strict";
import { createServer, request } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { CpuAccounting } from "../src/platform/cpu-accounting.js";
import { handleReportRequest } from "../src/workers/report-endpoint.js";

const report = { host: "i-1", addr: "10.0.0.1:1", shift: 1, tick: 1, baton: 0, pieces: [] };

test("reports are answered immediately, including malformed and oversized ones", async () => {
  const reportedHosts: string[] = [];
  const refused: string[] = [];
  const server = createServer((req, res) =>
    handleReportRequest(
      {
        countResponse: () => undefined,
        onInvalidReport: (why, bodyStart) => void refused.push(`${why}: ${bodyStart}`),
        costs: new CpuAccounting(),
        onReport: ({ host }) => {
          reportedHosts.push(host);
          if (host === "i-2") return { kind: "elsewhere", boss: "nest-1" };
          return host === "i-3" ? { kind: "silent" } : { kind: "orders", token: 7, orders: [] };
        },
      },
      req,
      res,
    ),
  );
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const post = (body: string): Promise<{ status: number; body: string; retry: string | undefined }> =>
    new Promise((resolve, reject) => {
      const req = request({ host: "127.0.0.1", port, method: "POST", path: "/v1/report", agent: false }, (res) => {
        let text = "";
        res.on("data", (chunk: Buffer) => (text += chunk.toString()));
        res.on("end", () => resolve({ status: res.statusCode ?? 0, body: text, retry: res.headers["retry-after"] }));
      });
      req.on("error", reject);
      req.end(body);
    });
  try {
    assert.deepEqual(await post(JSON.stringify(report)), { status: 200, body: '{"baton":7,"orders":[]}', retry: undefined });
    assert.deepEqual((await post(JSON.stringify({ ...report, host: "i-2" }))).body, '{"boss":"nest-1"}');
    assert.equal((await post(JSON.stringify({ ...report, host: "i-3" }))).retry, "1");
    for (const bad of ["", "{", "null", "[]", '"x"', JSON.stringify({ ...report, shift: -1 }), JSON.stringify({ ...report, pieces: 5 })]) {
      assert.equal((await post(bad)).status, 400, bad);
    }
    assert.equal((await post(JSON.stringify({ ...report, more: "x".repeat(70_000) }))).status, 400);
    assert.deepEqual([refused.length, refused[1], refused[6]!.slice(0, 12)], [7, "not JSON: {", "not a report"]);
    assert.deepEqual(reportedHosts, ["i-1", "i-2", "i-3"]);
  } finally {
    server.close();
  }
});
