import assert from "node:assert/strict";
import { test } from "node:test";
import { encodeFrame, FrameReader, MAX_FRAME_BYTES, type Message } from "../src/peers/messages.js";

const messages: Message[] = [
  { Hello: { version: 1, node: "nest-0" } },
  { Volunteer: { part: 1, utilization: 0.25 } },
  { Answer: { id: 7, part: 2, waitMs: Infinity, runMs: 1000, utilization: 1, atOnce: 3 } },
  { Relay: { id: 1, kind: "poll", body: '"run-000001"' } },
];

test("messages are decoded from a stream that arrives byte by byte", () => {
  const reader = new FrameReader();
  const decoded: Message[] = [];
  for (const byte of Buffer.concat(messages.map(encodeFrame))) decoded.push(...reader.push(Buffer.from([byte])));
  assert.deepEqual(JSON.parse(JSON.stringify(decoded)), JSON.parse(JSON.stringify(messages)));
});

test("an oversized or malformed frame is refused", () => {
  const head = Buffer.alloc(4);
  head.writeUInt32BE(MAX_FRAME_BYTES + 1);
  assert.throws(() => new FrameReader().push(head));
  assert.throws(() => new FrameReader().push(Buffer.from([0, 0, 0, 2, 0xff, 0xff])));
});
