import assert from "node:assert/strict";
import { test } from "node:test";
import { doneTasks, keys, partitionOf, withPartitionAssigned, type JobRecord } from "../src/ledger/records.js";
import { encodeFrame, FrameReader, PROTOCOL_VERSION, type Message } from "../src/peers/messages.js";
import { JobDependencies } from "../src/pipelines/job-dependencies.js";
import { unsyncedReplica } from "./world/state-replica.js";
import { specOf } from "./world/partitions.js";

// Frames between controllers as version 0.3.0 writes them. That version closes the connection to a peer whose Hello frame or schema differs.
const FRAMES: [string, Message][] = [
  ["0000000900060c6e6573742d31", { Hello: { version: 3, node: "nest-1" } }],
  ["00000015040e041472756e2d3030303431320c6e6573742d30", { Query: { id: 7, part: 2, job: "run-000412", from: "nest-0" } }],
  [
    "0000001d0a01086d6f737402066f70730000000000002940000000000000084000",
    { Health: { stateOk: true, hears: "most", use: [{ team: "ops", cpus: 12.5, gpus: 3 }] } },
  ],
  ["000000140e1208706f6c6c182272756e2d30303034313222", { Relay: { id: 9, kind: "poll", body: '"run-000412"' } }],
];

test("frames are encoded and decoded as by version 0.3.0", () => {
  assert.equal(PROTOCOL_VERSION, 3);
  for (const [hex, message] of FRAMES) {
    assert.equal(encodeFrame(message).toString("hex"), hex);
    assert.deepEqual(JSON.parse(JSON.stringify(new FrameReader().push(Buffer.from(hex, "hex")))), [message]);
  }
});

test("a job recorded by version 0.3.0 can be needed, owned and updated like any other", () => {
  const replica = unsyncedReplica();
  const needs = new JobDependencies(replica);
  const old: JobRecord = { spec: specOf({ ref: "run-000001", tasks: 9 }), part: 2, hi: 9, done: "/w==", at: 70 };
  replica.put(keys.job("run-000001"), old, 1);
  const later: JobRecord = { spec: specOf({ ref: "run-000002", needs: ["run-000001"] }), part: -1, home: 1, hi: 1, done: "", at: 50 };
  replica.put(keys.job("run-000002"), later, 2);
  assert.equal(partitionOf(old), 2);
  assert.equal(doneTasks(old, 9).count, 8);
  assert.deepEqual(withPartitionAssigned(old), old);
  assert.ok(needs.isBlocked("run-000002"));
  // Version 0.3.0 writes a job's end without its time, and keeps members that it does not know when it writes a record back.
  replica.put(keys.job("run-000001"), { ...old, end: "done" }, 3);
  assert.ok(!needs.isBlocked("run-000002"));
  assert.equal(needs.eligibleSinceWall(later), 70);
  replica.put(keys.job("run-000002"), { ...later, end: "withdrawn" }, 4);
  assert.equal(needs.outcome("run-000002"), "withdrawn");
});
