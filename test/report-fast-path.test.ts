import assert from "node:assert/strict";
import { createServer as createHttpServer } from "node:http";
import { connect, createServer, type AddressInfo } from "node:net";
import { test } from "node:test";
import fc from "fast-check";
import { CpuAccounting } from "../src/platform/cpu-accounting.js";
import { InboundConnections } from "../src/platform/inbound-connections.js";
import type { Log } from "../src/platform/log.js";
import { Scope } from "../src/platform/scope.js";
import { systemClock } from "../src/platform/clock.js";
import { parseRequest, ReportFastPath } from "../src/workers/report-fast-path.js";
import { handleReportRequest, type ReportEndpointDependencies } from "../src/workers/report-endpoint.js";

// Workers' reports are parsed without Node's HTTP server. Every request that is not a plain report must reach that server byte for
// byte, wherever the stream is split into chunks.

const silentLog = {
  error: () => undefined,
  warn: () => undefined,
  info: () => undefined,
  debug: () => undefined,
  isLevelEnabled: () => false,
} as unknown as Log;
const reportBody = (host: string, extra = ""): string => JSON.stringify({ host, shift: 1, tick: 1, baton: 0, pieces: [], extra });
const plainReport = (host: string, more = ""): string => {
  const text = reportBody(host);
  return `POST /v1/report HTTP/1.1\r\nHost: x\r\n${more}Content-Length: ${Buffer.byteLength(text)}\r\n\r\n${text}`;
};

interface TestEnvironment {
  port: number;
  reportedHosts: string[];
  requestsToHttpServer: string[];
  inbound: InboundConnections;
  close: () => void;
}

async function startEnvironment(options: { sockets?: number; idleMs?: number } = {}): Promise<TestEnvironment> {
  const reportedHosts: string[] = [];
  const requestsToHttpServer: string[] = [];
  const endpoint: ReportEndpointDependencies = {
    costs: new CpuAccounting(),
    onInvalidReport: () => undefined,
    countResponse: () => undefined,
    onReport: ({ host }) => {
      reportedHosts.push(host);
      if (host === "i-far") return { kind: "elsewhere", boss: "nest-1" };
      return host === "i-quiet" ? { kind: "silent" } : { kind: "orders", token: 7, orders: [] };
    },
  };
  const scope = new Scope(systemClock, silentLog);
  const others = createHttpServer((req, res) => {
    requestsToHttpServer.push(`${req.method} ${req.url}`);
    if (req.url === "/v1/report") return handleReportRequest(endpoint, req, res);
    req.resume().on("end", () => res.end(`http ${req.url}`));
  });
  const server = createServer({ noDelay: true, allowHalfOpen: true });
  const inbound = new InboundConnections(server, options.sockets ?? 1000);
  new ReportFastPath({
    endpoint,
    httpServer: others,
    isNearSocketLimit: () => inbound.closesAfterAnswer(),
    scope,
    idleMs: options.idleMs ?? 60_000,
  }).start(server);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    port: (server.address() as AddressInfo).port,
    reportedHosts,
    requestsToHttpServer,
    inbound,
    close: () => {
      scope.close();
      server.close();
      others.close();
    },
  };
}

/** Sends the chunks one by one. Resolves with the bytes received, once `isComplete` accepts them or the server closes the connection. */
function sendChunks(port: number, chunks: (string | Buffer)[], isComplete: (received: string) => boolean): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = connect({ port, host: "127.0.0.1", noDelay: true });
    let received = "";
    const done = (): void => {
      socket.destroy();
      resolve(received);
    };
    socket.on("data", (chunk: Buffer) => {
      received += chunk.toString("utf8");
      if (isComplete(received)) done();
    });
    socket.on("end", done);
    socket.on("error", reject);
    const next = (i: number): void => {
      if (i < chunks.length && !socket.destroyed) socket.write(chunks[i]!, () => setImmediate(() => next(i + 1)));
    };
    socket.on("connect", () => next(0));
  });
}

const hasAnswers = (n: number) => (received: string) => received.split("HTTP/1.1 ").length > n && /\r\n\r\n.+$/s.test(received);

test("a request is parsed identically wherever the stream is split", () => {
  const valid = Buffer.from(plainReport("i-1", "X-Other: é\r\n"));
  fc.assert(
    fc.property(fc.nat(valid.length), (cut) => {
      const reading = parseRequest(valid.subarray(0, cut));
      assert.equal(reading.kind, cut === valid.length ? "report" : "more");
    }),
    { seed: 1, numRuns: 300 },
  );
});

test("arbitrary bytes are parsed as a complete plain report, as an incomplete request, or are left to Node's server", () => {
  const head = fc.constantFrom("POST /v1/report HTTP/1.1\r\n", "POST /v1/report HTTP/1.0\r\n", "GET /up HTTP/1.1\r\n", "");
  const line = fc.oneof(
    fc.constantFrom("Content-Length: 2", "content-length: 02", "Content-Length: -1", "Content-Length: 2, 2", "Content-Length : 2"),
    fc.constantFrom("Transfer-Encoding: chunked", "Expect: 100-continue", " folded", "no colon", ": empty", "A: b\rc", "Connection: close"),
    fc.string({ minLength: 1, maxLength: 12 }),
  );
  fc.assert(
    fc.property(head, fc.array(line, { maxLength: 5 }), fc.string({ maxLength: 6 }), (first, lines, rest) => {
      const bytes = Buffer.from(`${first}${lines.map((one) => `${one}\r\n`).join("")}\r\n${rest}`, "latin1");
      const reading = parseRequest(bytes);
      if (reading.kind === "report") {
        const lengths = lines.filter((one) => /^content-length:/i.test(one));
        assert.equal(first, "POST /v1/report HTTP/1.1\r\n");
        assert.equal(lengths.length, 1);
        assert.equal(reading.bodyEnd - reading.bodyStart, Number(lengths[0]!.split(":")[1]));
        assert.ok(reading.bodyEnd <= bytes.length);
        assert.ok(!lines.some((one) => /^(transfer-encoding|expect)/i.test(one)));
      } else if (reading.kind === "more") assert.ok(bytes.length < 8 * 1024);
    }),
    { seed: 2, numRuns: 3000 },
  );
});

test("reports are answered on their connection in order, wherever the stream is split", async () => {
  const environment = await startEnvironment();
  try {
    const stream = Buffer.from(plainReport("i-1") + plainReport("i-far") + plainReport("i-quiet"));
    for (const cut of [1, 30, 60, 120, stream.length - 1]) {
      const received = await sendChunks(environment.port, [stream.subarray(0, cut), stream.subarray(cut)], hasAnswers(3));
      assert.match(
        received,
        /^HTTP\/1\.1 200 OK\r\n.*\{"baton":7,"orders":\[\]\}HTTP\/1\.1 421 .*\{"boss":"nest-1"\}HTTP\/1\.1 503 .*retry-after: 1\r\n/s,
      );
    }
    assert.equal(environment.requestsToHttpServer.length, 0);
    assert.equal(environment.reportedHosts.length, 15);
  } finally {
    environment.close();
  }
});

test("any other request goes to Node's server with the bytes read so far, also after reports", async () => {
  const environment = await startEnvironment();
  try {
    const get = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
    for (const chunks of [
      [get],
      [get.slice(0, 2), get.slice(2)],
      [plainReport("i-1"), get],
      [plainReport("i-1") + get.slice(0, 9), get.slice(9)],
    ]) {
      assert.match(await sendChunks(environment.port, chunks, (received) => received.includes("http /up")), /200 OK.*http \/up/s);
    }
    const chunked = `POST /v1/report HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n${reportBody("i-9").length.toString(16)}\r\n${reportBody("i-9")}\r\n0\r\n\r\n`;
    assert.match(await sendChunks(environment.port, [chunked.slice(0, 70), chunked.slice(70)], hasAnswers(1)), /"baton":7/);
    assert.ok(environment.reportedHosts.includes("i-9"));
    // A connection that was passed to Node's HTTP server stays there; that server answers later reports on it, too.
    assert.match(
      await sendChunks(environment.port, [get, plainReport("i-8")], (received) => received.includes('"baton":7')),
      /http \/up.*"baton":7/s,
    );
  } finally {
    environment.close();
  }
});

test("malformed and oversized reports are answered immediately and their sockets are released", async () => {
  const environment = await startEnvironment();
  try {
    const post = (text: string): string => `POST /v1/report HTTP/1.1\r\nContent-Length: ${text.length}\r\n\r\n${text}`;
    assert.match(await sendChunks(environment.port, [post("{")], hasAnswers(1)), /^HTTP\/1\.1 400 .*not JSON/s);
    assert.match(await sendChunks(environment.port, [post('{"host":1}')], hasAnswers(1)), /^HTTP\/1\.1 400 .*not a report/s);
    // The response is sent before the body arrives, so the announced 900 MB are never read.
    const huge = "POST /v1/report HTTP/1.1\r\nContent-Length: 900000000\r\n\r\n";
    assert.match(await sendChunks(environment.port, [huge], hasAnswers(1)), /^HTTP\/1\.1 400 .*connection: close.*64 KiB/s);
    assert.match(
      await sendChunks(environment.port, [`POST /v1/report HTTP/1.1\r\nX: ${"y".repeat(20_000)}`], hasAnswers(1)),
      /^HTTP\/1\.1 431/,
    );
    assert.match(
      await sendChunks(environment.port, ["POST /v1/report HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}"], hasAnswers(1)),
      /^HTTP\/1\.1 400/,
    );
    assert.deepEqual(environment.reportedHosts, []);
    await new Promise((resolve) => setTimeout(resolve, 20));
    assert.equal(environment.inbound.count, 0, "their sockets are released");
  } finally {
    environment.close();
  }
});

test("a connection is closed after its answer on request and when sockets run short, and when it is idle", async () => {
  const environment = await startEnvironment({ sockets: 4, idleMs: 40 });
  try {
    const closed = (chunks: string[]): Promise<string> => sendChunks(environment.port, chunks, () => false);
    assert.match(await closed([plainReport("i-1", "Connection: close\r\n")]), /connection: close/);
    // Failed machines never close their connections. The server closes idle ones so that these do not hold sockets for ever.
    assert.equal(await closed([]), "");
    const [a, b, c] = await Promise.all(["i-1", "i-2", "i-3"].map((host) => closed([plainReport(host)])));
    assert.ok(
      [a, b, c].some((received) => received!.includes("connection: close")),
      "three of four sockets in use exceeds the threshold",
    );
    await new Promise((resolve) => setTimeout(resolve, 20));
    assert.equal(environment.inbound.count, 0);
  } finally {
    environment.close();
  }
});

// Memory is limited, so answers must not accumulate for a worker that sends reports without reading the answers.
test("a sender that never reads its answers is disconnected, and others are not", async () => {
  const environment = await startEnvironment();
  const slow = connect({ host: "127.0.0.1", port: environment.port });
  slow.pause();
  let cut = false;
  slow.on("error", () => (cut = true)).on("close", () => (cut = true));
  await new Promise<void>((resolve) => slow.once("connect", resolve));
  const burst = plainReport("i-slow").repeat(500);
  for (let i = 0; i < 400 && !cut; i++) {
    slow.write(burst);
    await new Promise((resolve) => setImmediate(resolve));
  }
  // Reads the data that the kernel has buffered, since the close of the connection is observed only after it.
  slow.resume();
  for (let i = 0; i < 300 && !cut; i++) await new Promise((resolve) => setTimeout(resolve, 10));
  assert.ok(cut);
  const other = connect({ host: "127.0.0.1", port: environment.port });
  const answer = new Promise<string>((resolve) => other.once("data", (data: Buffer) => resolve(data.toString())));
  other.write(plainReport("i-000001"));
  assert.match(await answer, /^HTTP\/1.1 200 /);
  other.destroy();
  environment.close();
});
