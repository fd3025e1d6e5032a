import assert from "node:assert/strict";
import { test } from "node:test";
import { Bits } from "../src/platform/bits.js";
import { isReady, runSchedulingCycle } from "../src/queue/scheduling-cycle.js";
import { failsRepeatedly, type TaskSet } from "../src/queue/task-set.js";
import type { ReportedTask } from "@thorntrail/protocol/worker";
import { newFindings } from "../src/workers/findings.js";
import { applyReport, type ReportContext } from "../src/workers/report-intake.js";
import type { Partition } from "../src/partitions/partition.js";
import { NOW, partitionOf, schedulingContext, enqueue, specOf } from "./world/partitions.js";

const capacity = { cpus: 4, gpus: 0, ram: 64 };

/** Ends the tasks on the machine (if `only` is given, those of that task set) with the given cause. */
function end(partition: Partition, host: string, cause: ReportedTask["cause"], only?: TaskSet): void {
  const machine = partition.machines.get(host)!;
  const tasks = [...machine.placements.values()]
    .filter((p) => only === undefined || p.taskSet === only)
    .map((p): ReportedTask => ({
      taskId: `${p.taskSet.spec.ref}/${p.task}`,
      attempt: p.attempt,
      state: "exited",
      cause,
      saved: false,
    }));
  const context: ReportContext = {
    now: NOW,
    viaReport: true,
    leaseMs: 18_000,
    coolMs: 2500,
    placeholderFor: () => {
      throw new Error("no report lists a task of an unknown job");
    },
  };
  const seen = { host, addr: host, type: "m", zone: "a", spot: false, session: 1, seq: machine.seq + 1, token: 5, noticeS: null };
  const others = [...machine.placements.values()].filter((p) => only !== undefined && p.taskSet !== only);
  const running = others.map((p): ReportedTask => ({
    taskId: `${p.taskSet.spec.ref}/${p.task}`,
    attempt: p.attempt,
    state: "running",
    cause: null,
    saved: false,
  }));
  applyReport(partition, machine, { ...seen, tasks: [...tasks, ...running] }, context, newFindings());
}

test("jobs that fail on every machine are at fault, not the machines, and are retried with one task", () => {
  const { partition } = partitionOf(4, capacity);
  const taskSets = ["run-000001", "run-000002"].map((ref) => enqueue(partition, specOf({ ref, tasks: 8, cpus: 1 })));
  runSchedulingCycle(partition, schedulingContext);
  for (const host of partition.machines.keys()) end(partition, host, "error");
  for (const taskSet of taskSets) assert.ok(failsRepeatedly(taskSet), `${taskSet.spec.ref} failed on ${taskSet.failedOn.size} machines`);
  for (const machine of partition.machines.values()) assert.deepEqual([machine.draining, machine.failuresByJob.size], [false, 0]);
  assert.equal(isReady(taskSets[0]!, NOW), false, "it waits before it tries again");
  const later = NOW + 60_000;
  for (const machine of partition.machines.values()) machine.lastReceivedAt = machine.lastReportAt = later;
  runSchedulingCycle(partition, { ...schedulingContext, now: later });
  assert.deepEqual(
    taskSets.map((taskSet) => taskSet.placements.size),
    [1, 1],
  );
  // A task of the first job succeeds after all, so failures no longer count against that job.
  end(partition, [...taskSets[0]!.placements.values()][0]!.host, "done", taskSets[0]);
  assert.equal(failsRepeatedly(taskSets[0]!), false);
});

test("a machine on which several jobs fail that run elsewhere is drained", () => {
  const { partition } = partitionOf(3, capacity);
  const a = enqueue(partition, specOf({ ref: "run-000001", tasks: 6, cpus: 1 }));
  const b = enqueue(partition, specOf({ ref: "run-000002", tasks: 6, cpus: 1 }));
  runSchedulingCycle(partition, schedulingContext);
  const faultyHost = [...a.placements.values()].map((p) => p.host).find((host) => [...b.placements.values()].some((p) => p.host === host))!;
  end(partition, faultyHost, "error");
  assert.equal(partition.machines.get(faultyHost)!.draining, true);
  assert.equal(failsRepeatedly(a) || failsRepeatedly(b), false);
});

test("reading single bits of a stored map agrees with decoding it", () => {
  const bits = new Bits(1003);
  for (const i of [0, 7, 8, 23, 24, 500, 1002]) bits.set(i);
  const text = bits.encode();
  const whole = Bits.decode(1003, text);
  assert.equal(whole.count, 7);
  for (let i = 0; i < 1003; i++) assert.equal(Bits.storedHas(text, i), whole.has(i), String(i));
  // Stored bits beyond the size of the bit map are ignored.
  const short = Bits.decode(5, Buffer.from([0xff, 0xff]).toString("base64"));
  assert.deepEqual([short.count, short.full], [5, true]);
  assert.equal(Bits.storedHas("", 3), false);
});
