import type { JobSpec } from "@thorntrail/protocol/jobs";
import assert from "node:assert/strict";
import { test } from "node:test";
import { keys, type JobRecord } from "../src/ledger/records.js";
import { JobDependencies } from "../src/pipelines/job-dependencies.js";
import { sortTaskSets } from "../src/queue/queue-order.js";
import { unsyncedReplica } from "./world/state-replica.js";
import { order, partitionOf, enqueue, specOf } from "./world/partitions.js";

function ledger() {
  const replica = unsyncedReplica();
  const needs = new JobDependencies(replica);
  const ready: string[] = [];
  needs.ready$.subscribe((ref) => ready.push(ref));
  let stamp = 0;
  const put = (ref: string, after: string[], change: Partial<JobSpec> = {}, more: Partial<JobRecord> = {}): void => {
    const spec = specOf({ ref, ...change, ...(after.length > 0 ? { needs: after } : {}) });
    replica.put(keys.job(ref), { spec, part: -1, home: 0, hi: 1, done: "", at: 10, ...more } satisfies JobRecord, ++stamp);
  };
  const end = (ref: string, how: "done" | "withdrawn", endedAt?: number): void => {
    const { v } = replica.get<JobRecord>(keys.job(ref))!;
    replica.put(keys.job(ref), { ...v, end: how, ...(endedAt === undefined ? {} : { endedAt }) }, ++stamp);
  };
  return {
    replica,
    needs,
    ready,
    put,
    end,
    list: (ref: string, i: number, refs: string[]) => replica.put(keys.needList(ref, "x", i), { ref, needs: refs }, ++stamp),
  };
}

test("a job becomes ready once, when its last dependency is done, and its times count from then", () => {
  const { replica, needs, ready, put, end } = ledger();
  put("a", []);
  put("b", []);
  put("c", ["a", "b"]);
  assert.ok(needs.isBlocked("c") && !needs.isBlocked("a"));
  end("b", "done", 500);
  assert.deepEqual(ready, []);
  end("a", "done", 400);
  assert.deepEqual(ready, ["c"]);
  assert.ok(!needs.isBlocked("c"));
  assert.equal(needs.eligibleSinceWall(replica.get<JobRecord>(keys.job("c"))!.v), 500);
});

test("records may arrive in any order", () => {
  const { needs, ready, put, end } = ledger();
  put("c", ["a", "b"]);
  put("d", ["c"], { urgency: "urgent" });
  assert.ok(needs.isBlocked("c"));
  put("b", [], { urgency: "low" });
  put("a", [], { urgency: "low" }, { end: "done" });
  assert.equal(needs.urgency("b"), "urgent");
  end("b", "done");
  assert.deepEqual(ready, ["c"]);
  // Job a was recorded as done before job e, which depends on it, was submitted.
  put("e", ["a"]);
  assert.ok(!needs.isBlocked("e"));
});

test("a job inherits the urgency of a dependant as long as that one is not cancelled", () => {
  const { needs, put, end } = ledger();
  put("a", [], { urgency: "low" });
  put("b", ["a"], { urgency: "low" });
  put("x", ["a"], { urgency: "normal" });
  assert.equal(needs.urgency("a"), "normal");
  put("c", ["b"], { urgency: "critical" });
  assert.equal(needs.urgency("a"), "critical");
  assert.equal(needs.urgency("b"), "critical");
  assert.equal(needs.urgency("x"), "normal");
  end("c", "withdrawn");
  assert.equal(needs.urgency("b"), "low");
  assert.equal(needs.urgency("a"), "normal");
});

test("a cancellation reaches all dependants, however long the chain, and no dependency", () => {
  const { needs, ready, put, end } = ledger();
  put("run-0", []);
  for (let i = 1; i < 20_000; i++) put(`run-${i}`, [`run-${i - 1}`], i === 19_999 ? { urgency: "urgent" } : {});
  assert.equal(needs.urgency("run-0"), "urgent");
  end("run-1", "withdrawn");
  assert.equal(needs.outcome("run-19999"), "withdrawn");
  assert.equal(needs.outcome("run-0"), undefined);
  end("run-0", "done");
  assert.deepEqual(ready, []);
  // A job that is submitted later and depends on a cancelled one is cancelled, too.
  put("run-20000", ["run-19999"]);
  assert.equal(needs.outcome("run-20000"), "withdrawn");
});

test("a job with dependencies in separate lists waits until all lists have arrived", () => {
  const { needs, ready, put, end, list } = ledger();
  put("a", [], {}, { end: "done" });
  put("b", []);
  put("j", ["a"], {}, { needLists: { name: "x", count: 2 } });
  assert.ok(needs.isBlocked("j"));
  list("j", 1, ["b"]);
  assert.ok(needs.isBlocked("j"));
  list("j", 0, ["a"]);
  assert.ok(needs.isBlocked("j"));
  end("b", "done");
  assert.deepEqual(ready, ["j"]);
});

test("work that inherits urgency comes after work that is urgent itself and before the rest", () => {
  const { partition } = partitionOf(1, { cpus: 1, gpus: 0, ram: 1 });
  const lifted = enqueue(partition, specOf({ ref: "lifted", urgency: "low" }));
  lifted.urgency = "urgent";
  const rest = [
    enqueue(partition, specOf({ ref: "normal" })),
    enqueue(partition, specOf({ ref: "urgent", urgency: "urgent" })),
    enqueue(partition, specOf({ ref: "low", urgency: "low" })),
  ];
  const refs = sortTaskSets([lifted, ...rest], order).map((taskSet) => taskSet.spec.ref);
  assert.deepEqual(refs, ["urgent", "lifted", "normal", "low"]);
});
