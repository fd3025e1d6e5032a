import assert from "node:assert/strict";
import { createServer, type AddressInfo, type Server, type Socket } from "node:net";
import { test } from "node:test";
import fc from "fast-check";
import { CallError } from "@thorntrail/protocol/errors";
import { HttpClient } from "../src/platform/http.js";
import { ResponseParser } from "../src/platform/http-response-parser.js";

// `HttpClient` parses HTTP on plain `net` sockets. It must parse any response regardless of how it is split into chunks, and must
// never attribute a response or a timeout to a different call.

const chunked = (...chunks: string[]): string =>
  chunks.map((chunk) => `${Buffer.byteLength(chunk).toString(16)}\r\n${chunk}\r\n`).join("") + "0\r\n\r\n";
const RESPONSES: [string, number, string][] = [
  ['HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{"é":1}', 200, '{"é":1}'],
  [`HTTP/1.1 503 Busy\r\ntransfer-encoding: chunked\r\n\r\n${chunked('{"a"', ":2}")}`, 503, '{"a":2}'],
  [`HTTP/1.1 200\r\nTransfer-Encoding: Chunked\r\n\r\n3;x=y\r\n{} \r\n0\r\nTrailer: 1\r\n\r\n`, 200, "{} "],
  ["HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 None\r\n\r\n", 204, ""],
  ["HTTP/1.1 409 No\r\ncontent-length: 0\r\n\r\n", 409, ""],
];

test("a response is parsed the same regardless of how the network splits it", () => {
  fc.assert(
    fc.property(fc.constantFrom(...RESPONSES), fc.array(fc.nat(120), { maxLength: 6 }), ([text, status, body], cuts) => {
      const bytes = Buffer.from(text);
      const at = [0, ...cuts.map((cut) => Math.min(cut, bytes.length)).sort((a, b) => a - b), bytes.length];
      const reader = new ResponseParser(1000);
      for (let i = 1; i < at.length; i++) {
        assert.ok(!reader.done || at[i] === at[i - 1] || at[i - 1] === bytes.length, "done before its end");
        if (at[i]! > at[i - 1]!) reader.push(bytes.subarray(at[i - 1], at[i]));
      }
      assert.ok(reader.done);
      assert.deepEqual([reader.status, reader.body, reader.closesConnection], [status, body, false]);
    }),
    { seed: 1, numRuns: 2000 },
  );
});

test("invalid and too long responses are rejected immediately", () => {
  for (const invalid of [
    "HTTP/2 200\r\n\r\n",
    "SSH-2.0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
    "HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n",
    `HTTP/1.1 200 OK\r\nX: ${"y".repeat(40_000)}`,
    `HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n${"z".repeat(1500)}`,
  ])
    assert.throws(() => new ResponseParser(1000).push(Buffer.from(invalid)), Error, invalid.slice(0, 60));
});

async function startServer(
  onRequest: (socket: Socket, request: string, n: number) => void,
): Promise<{ addr: string; server: Server; connections: () => number }> {
  let connections = 0;
  let n = 0;
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    connections++;
    socket.unref();
    socket.on("error", () => undefined);
    socket.on("data", (chunk: Buffer) => onRequest(socket, chunk.toString(), ++n));
    socket.on("end", () => socket.end());
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  // If a test fails before it closes the server, the open server must not keep the process alive.
  server.unref();
  return { addr: `127.0.0.1:${(server.address() as AddressInfo).port}`, server, connections: () => connections };
}

const ok = (text: string): string => `HTTP/1.1 200 OK\r\ncontent-length: ${text.length}\r\n\r\n${text}`;
const kindOf = (promise: Promise<unknown>): Promise<string> =>
  promise.then(
    () => "answered",
    (error: unknown) => (error instanceof CallError ? error.kind : String(error)),
  );

test("connections are reused; no more than the maximum are open per host, and further calls wait", async () => {
  let busy = 0;
  let maxBusy = 0;
  const { addr, server, connections } = await startServer((socket, request) => {
    maxBusy = Math.max(maxBusy, ++busy);
    setTimeout(() => {
      busy--;
      socket.write(ok(`{"path":"${/^GET (\S+) /.exec(request)![1]}"}`));
    }, 5);
  });
  const client = new HttpClient(2);
  const paths = Array.from({ length: 12 }, (_, i) => `/p${i}`);
  const replies = await Promise.all(paths.map((path) => client.call(addr, "GET", path, undefined, 1000)));
  assert.deepEqual(
    replies.map(({ body }) => body["path"]),
    paths,
  );
  assert.deepEqual([maxBusy, connections()], [2, 2]);
  server.close();
});

test("a late response is never taken for the next call's; a request that was written and not answered counts as unanswered", async () => {
  const { addr, server, connections } = await startServer((socket, _request, n) => {
    if (n === 1) setTimeout(() => socket.write(ok('{"late":true}')), 60);
    else if (n === 2) socket.write(ok('{"n":2}') + ok('{"too":"much"}'));
    else if (n === 3) socket.write('HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n{"cut', () => socket.destroy());
    else if (n === 4) socket.end("HTTP/1.1 200 OK\r\n\r\n{}");
    else socket.end("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\n[}");
  });
  const client = new HttpClient(1);
  const send = (): Promise<{ body: Record<string, unknown> }> => client.call(addr, "POST", "/x", {}, 40);
  assert.equal(await kindOf(send()), "unanswered");
  assert.deepEqual((await send()).body, { n: 2 });
  assert.equal(await kindOf(send()), "unanswered", "cut short");
  assert.deepEqual((await send()).body, {}, "response ends with its connection");
  assert.equal(await kindOf(send()), "unanswered", "not JSON");
  assert.equal(connections(), 5, "each of these closes its connection");
  server.close();
});

test("a request that was never sent is refused: no listener, no free connection in time, or an invalid address", async () => {
  const { addr, server } = await startServer(() => undefined);
  const client = new HttpClient(1);
  assert.equal(await kindOf(client.call("127.0.0.1:1", "GET", "/", undefined, 500)), "refused");
  const outcomes = [60, 30].map((ms) => kindOf(client.call(addr, "GET", "/", undefined, ms)));
  assert.deepEqual(await Promise.all(outcomes), ["unanswered", "refused"]);
  for (const invalid of ["", "nowhere", "h:99999", "h:1\r\nx: y", "a b:1"])
    assert.equal(await kindOf(client.call(invalid, "GET", "/", undefined, 500)), "refused", invalid);
  assert.equal(await kindOf(client.call(addr, "GET", "/a b", undefined, 500)), "refused");
  server.close();
});
