import assert from "node:assert/strict";
import { test } from "node:test";
import { Bits } from "../src/platform/bits.js";
import {
  doneTasks,
  fitToLimit,
  isDone,
  partitionOf,
  recordBytes,
  rentalRecords,
  withPartitionAssigned,
  sliceCapacity,
  maxSpecBytes,
  waitingAssignment,
} from "../src/ledger/records.js";
import { specOf } from "./world/partitions.js";

test("a rental's machines fit into their records once all are up, under any size limit", () => {
  const rental = { part: 0, type: "redaccion", zone: "sala-cuenca", spot: true, count: 50, at: 1_700_000_000_000 };
  const hosts = Array.from({ length: 50 }, (_, i) => `i-${String(i).padStart(6, "0")}`);
  for (const [valueKb, maxRecords] of [
    [32, 1],
    [2, 2],
    [1, 4],
  ] as const) {
    const records = rentalRecords(rental, hosts, valueKb);
    assert.ok(records.length <= maxRecords, `${records.length} records of ${valueKb} KB`);
    assert.deepEqual(
      records.flatMap((record) => Object.keys(record.hosts!)),
      hosts,
    );
    for (const record of records) {
      const up = Object.fromEntries(Object.keys(record.hosts!).map((host) => [host, "255.255.255.255:65535"]));
      assert.ok(recordBytes({ ...record, hosts: up }) <= valueKb * 1024);
    }
  }
  assert.deepEqual(rentalRecords(rental, [], 2), []);
});

test("a job's record stays within the size limit until the job ends", () => {
  for (const valueKb of [1, 2, 8, 32]) {
    const hi = sliceCapacity(valueKb);
    const all = new Bits(hi);
    for (let i = 0; i < hi; i++) all.set(i);
    const spec = specOf({ image: "" });
    spec.image = "x".repeat(maxSpecBytes(valueKb) - recordBytes(spec));
    const record = { ...waitingAssignment(4), spec, hi, done: all.encode(), at: 1_700_000_000_000.123, moved: true };
    const last = { ...record, end: "done", endedAt: 1_700_000_000_000.123, needLists: { name: "0123456789abcdef", count: 99 } };
    assert.ok(recordBytes(last) <= valueKb * 1024, `${recordBytes(last)} of ${valueKb} KB`);
  }
});

test("versions that do not support job dependencies see a waiting job as belonging to no partition", () => {
  const record = { ...waitingAssignment(2), hi: 1 };
  assert.equal(record.part, -1);
  assert.equal(partitionOf(record), 2);
  assert.deepEqual(withPartitionAssigned(record), { part: 2, hi: 1 });
  assert.deepEqual(withPartitionAssigned({ part: 1, hi: 1 }), { part: 1, hi: 1 });
});

test("the progress of an array recorded under larger limits is packed, and an earlier version sees none of it as done", () => {
  const size = 25_000;
  const bits = new Bits(size);
  for (let i = 0; i < 17_000; i++) bits.set(i);
  for (let i = 17_001; i < 19_000; i += 3) bits.set(i);
  const record = { part: 0, spec: specOf({ tasks: size }), hi: size, at: 1, done: bits.encode() };
  assert.equal(fitToLimit(record, size, 32), record);
  const packed = fitToLimit(record, size, 2)!;
  assert.ok(recordBytes(packed) <= 2048 && packed.done === "");
  assert.equal(doneTasks(packed, size).encode(), record.done);
  for (const task of [0, 16_999, 17_000, 17_001, 17_002, 17_004, 18_999, 19_001])
    assert.equal(isDone(packed, task), bits.has(task), String(task));
  // Tasks that an earlier version of the program records in the plain bit map count as well; tasks beyond the end of a shortened
  // slice (range of tasks) do not.
  const more = new Bits(size);
  more.set(24_000);
  assert.equal(doneTasks({ ...packed, done: more.encode() }, size).count, bits.count + 1);
  assert.equal(doneTasks(packed, 100).count, 100);
});

test("progress that does not fit even when packed is not recorded before the end of the job", () => {
  const size = 40_000;
  const bits = new Bits(size);
  for (let i = 0; i < size; i += 2) bits.set(i);
  const record = { part: 0, spec: specOf({ tasks: size }), hi: size, at: 1, done: bits.encode() };
  assert.equal(fitToLimit(record, size, 2), null);
  assert.deepEqual(fitToLimit({ ...record, end: "done" }, size, 2), { ...record, end: "done", done: "" });
  const all = new Bits(size);
  for (let i = 0; i < size; i++) all.set(i);
  assert.ok(doneTasks(fitToLimit({ ...record, done: all.encode() }, size, 2)!, size).full);
});
