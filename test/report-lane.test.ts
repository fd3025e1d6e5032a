import assert from "node:assert/strict";
import { createServer as createHttpServer } from "node:http";
import { connect, createServer, type AddressInfo } from "node:net";
import { test } from "node:test";
import fc from "fast-check";
import { Costs } from "../src/platform/costs.js";
import { Doors } from "../src/platform/doors.js";
import type { Log } from "../src/platform/log.js";
import { Scope } from "../src/platform/scope.js";
import { systemClock } from "../src/platform/clock.js";
import { readRequest, ReportLanes } from "../src/workers/report-lane.js";
import { serveReport, type ReportDoor } from "../src/workers/report-endpoint.js";

// Reports pass beside Node's HTTP server. Everything that is not a plain report must
// reach that server byte for byte, wherever the network cuts the stream in two.

const quiet = {
  error: () => undefined,
  warn: () => undefined,
  info: () => undefined,
  debug: () => undefined,
  isLevelEnabled: () => false,
} as unknown as Log;
const body = (host: string, extra = ""): string => JSON.stringify({ host, shift: 1, tick: 1, baton: 0, pieces: [], extra });
const plain = (host: string, more = ""): string => {
  const text = body(host);
  return `POST /v1/report HTTP/1.1\r\nHost: x\r\n${more}Content-Length: ${Buffer.byteLength(text)}\r\n\r\n${text}`;
};

interface Place {
  port: number;
  seen: string[];
  byHttp: string[];
  doors: Doors;
  close: () => void;
}

async function place(options: { sockets?: number; idleMs?: number } = {}): Promise<Place> {
  const seen: string[] = [];
  const byHttp: string[] = [];
  const door: ReportDoor = {
    costs: new Costs(),
    refused: () => undefined,
    count: () => undefined,
    onReport: ({ host }) => {
      seen.push(host);
      if (host === "i-far") return { kind: "elsewhere", boss: "nest-1" };
      return host === "i-quiet" ? { kind: "silent" } : { kind: "orders", token: 7, orders: [] };
    },
  };
  const scope = new Scope(systemClock, quiet);
  const others = createHttpServer((req, res) => {
    byHttp.push(`${req.method} ${req.url}`);
    if (req.url === "/v1/report") return serveReport(door, req, res);
    req.resume().on("end", () => res.end(`http ${req.url}`));
  });
  const server = createServer({ noDelay: true, allowHalfOpen: true });
  const doors = new Doors(server, options.sockets ?? 1000);
  new ReportLanes({ door, others, crowded: () => doors.crowded(), scope, idleMs: options.idleMs ?? 60_000 }).start(server);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    port: (server.address() as AddressInfo).port,
    seen,
    byHttp,
    doors,
    close: () => {
      scope.close();
      server.close();
      others.close();
    },
  };
}

/** Writes the chunks one by one and resolves with all that came back once `enough` of it has, or the other side closed. */
function talk(port: number, chunks: (string | Buffer)[], enough: (got: string) => boolean): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = connect({ port, host: "127.0.0.1", noDelay: true });
    let got = "";
    const done = (): void => {
      socket.destroy();
      resolve(got);
    };
    socket.on("data", (chunk: Buffer) => {
      got += chunk.toString("utf8");
      if (enough(got)) done();
    });
    socket.on("end", done);
    socket.on("error", reject);
    const next = (i: number): void => {
      if (i < chunks.length && !socket.destroyed) socket.write(chunks[i]!, () => setImmediate(() => next(i + 1)));
    };
    socket.on("connect", () => next(0));
  });
}

const answers = (n: number) => (got: string) => got.split("HTTP/1.1 ").length > n && /\r\n\r\n.+$/s.test(got);

test("a request is read alike however the stream is cut", () => {
  const valid = Buffer.from(plain("i-1", "X-Other: é\r\n"));
  fc.assert(
    fc.property(fc.nat(valid.length), (cut) => {
      const reading = readRequest(valid.subarray(0, cut));
      assert.equal(reading.kind, cut === valid.length ? "report" : "more");
    }),
    { seed: 1, numRuns: 300 },
  );
});

test("whatever bytes come, they are a whole plain report, wait for more, or go to Node's server", () => {
  const head = fc.constantFrom("POST /v1/report HTTP/1.1\r\n", "POST /v1/report HTTP/1.0\r\n", "GET /up HTTP/1.1\r\n", "");
  const line = fc.oneof(
    fc.constantFrom("Content-Length: 2", "content-length: 02", "Content-Length: -1", "Content-Length: 2, 2", "Content-Length : 2"),
    fc.constantFrom("Transfer-Encoding: chunked", "Expect: 100-continue", " folded", "no colon", ": empty", "A: b\rc", "Connection: close"),
    fc.string({ minLength: 1, maxLength: 12 }),
  );
  fc.assert(
    fc.property(head, fc.array(line, { maxLength: 5 }), fc.string({ maxLength: 6 }), (first, lines, rest) => {
      const bytes = Buffer.from(`${first}${lines.map((one) => `${one}\r\n`).join("")}\r\n${rest}`, "latin1");
      const reading = readRequest(bytes);
      if (reading.kind === "report") {
        const lengths = lines.filter((one) => /^content-length:/i.test(one));
        assert.equal(first, "POST /v1/report HTTP/1.1\r\n");
        assert.equal(lengths.length, 1);
        assert.equal(reading.to - reading.from, Number(lengths[0]!.split(":")[1]));
        assert.ok(reading.to <= bytes.length);
        assert.ok(!lines.some((one) => /^(transfer-encoding|expect)/i.test(one)));
      } else if (reading.kind === "more") assert.ok(bytes.length < 8 * 1024);
    }),
    { seed: 2, numRuns: 3000 },
  );
});

test("reports are answered on their connection, one after the other, cut anywhere", async () => {
  const here = await place();
  try {
    const stream = Buffer.from(plain("i-1") + plain("i-far") + plain("i-quiet"));
    for (const cut of [1, 30, 60, 120, stream.length - 1]) {
      const got = await talk(here.port, [stream.subarray(0, cut), stream.subarray(cut)], answers(3));
      assert.match(
        got,
        /^HTTP\/1\.1 200 OK\r\n.*\{"baton":7,"orders":\[\]\}HTTP\/1\.1 421 .*\{"boss":"nest-1"\}HTTP\/1\.1 503 .*retry-after: 1\r\n/s,
      );
    }
    assert.equal(here.byHttp.length, 0);
    assert.equal(here.seen.length, 15);
  } finally {
    here.close();
  }
});

test("anything else goes to Node's server with what was read of it, also after reports", async () => {
  const here = await place();
  try {
    const get = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
    for (const chunks of [[get], [get.slice(0, 2), get.slice(2)], [plain("i-1"), get], [plain("i-1") + get.slice(0, 9), get.slice(9)]]) {
      assert.match(await talk(here.port, chunks, (got) => got.includes("http /up")), /200 OK.*http \/up/s);
    }
    const chunked = `POST /v1/report HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n${body("i-9").length.toString(16)}\r\n${body("i-9")}\r\n0\r\n\r\n`;
    assert.match(await talk(here.port, [chunked.slice(0, 70), chunked.slice(70)], answers(1)), /"baton":7/);
    assert.ok(here.seen.includes("i-9"));
    // Once there, a connection stays: reports on it are answered as well.
    assert.match(await talk(here.port, [get, plain("i-8")], (got) => got.includes('"baton":7')), /http \/up.*"baton":7/s);
  } finally {
    here.close();
  }
});

test("malformed and oversized reports are answered at once, and nothing of theirs is kept", async () => {
  const here = await place();
  try {
    const post = (text: string): string => `POST /v1/report HTTP/1.1\r\nContent-Length: ${text.length}\r\n\r\n${text}`;
    assert.match(await talk(here.port, [post("{")], answers(1)), /^HTTP\/1\.1 400 .*not JSON/s);
    assert.match(await talk(here.port, [post('{"host":1}')], answers(1)), /^HTTP\/1\.1 400 .*not a report/s);
    // Answered before the body has come: nobody reads 900 MB.
    const huge = "POST /v1/report HTTP/1.1\r\nContent-Length: 900000000\r\n\r\n";
    assert.match(await talk(here.port, [huge], answers(1)), /^HTTP\/1\.1 400 .*connection: close.*64 KiB/s);
    assert.match(await talk(here.port, [`POST /v1/report HTTP/1.1\r\nX: ${"y".repeat(20_000)}`], answers(1)), /^HTTP\/1\.1 431/);
    assert.match(
      await talk(here.port, ["POST /v1/report HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}"], answers(1)),
      /^HTTP\/1\.1 400/,
    );
    assert.deepEqual(here.seen, []);
    await new Promise((resolve) => setTimeout(resolve, 20));
    assert.equal(here.doors.count, 0, "their sockets are given back");
  } finally {
    here.close();
  }
});

test("a connection is closed after its answer when asked to, when the place is crowded, and when nothing comes any more", async () => {
  const here = await place({ sockets: 4, idleMs: 40 });
  try {
    const closed = (chunks: string[]): Promise<string> => talk(here.port, chunks, () => false);
    assert.match(await closed([plain("i-1", "Connection: close\r\n")]), /connection: close/);
    // Dead machines close nothing: theirs must not count for ever.
    assert.equal(await closed([]), "");
    const [a, b, c] = await Promise.all(["i-1", "i-2", "i-3"].map((host) => closed([plain(host)])));
    assert.ok(
      [a, b, c].some((got) => got!.includes("connection: close")),
      "three of four sockets in use is crowded",
    );
    await new Promise((resolve) => setTimeout(resolve, 20));
    assert.equal(here.doors.count, 0);
  } finally {
    here.close();
  }
});

// Memory is scarce: whoever sends without reading must not have its answers piled up here.
test("a sender that never reads its answers is cut off, and others are not", async () => {
  const here = await place();
  const slow = connect({ host: "127.0.0.1", port: here.port });
  slow.pause();
  let cut = false;
  slow.on("error", () => (cut = true)).on("close", () => (cut = true));
  await new Promise<void>((resolve) => slow.once("connect", resolve));
  const burst = plain("i-slow").repeat(500);
  for (let i = 0; i < 400 && !cut; i++) {
    slow.write(burst);
    await new Promise((resolve) => setImmediate(resolve));
  }
  // What lies in the kernel's buffers is read on, so that the end is seen.
  slow.resume();
  for (let i = 0; i < 300 && !cut; i++) await new Promise((resolve) => setTimeout(resolve, 10));
  assert.ok(cut);
  const other = connect({ host: "127.0.0.1", port: here.port });
  const answer = new Promise<string>((resolve) => other.once("data", (data: Buffer) => resolve(data.toString())));
  other.write(plain("i-000001"));
  assert.match(await answer, /^HTTP\/1.1 200 /);
  other.destroy();
  here.close();
});
