import assert from "node:assert/strict";
import { test } from "node:test";
import { runSchedulingCycle } from "../src/queue/scheduling-cycle.js";
import { choosePreemptions } from "../src/queue/preempt.js";
import { releasePlacement, type Placement } from "../src/queue/task-set.js";
import { attemptKey, removeAttempt } from "../src/workers/machine.js";
import { partitionOf, schedulingContext, enqueue, specOf } from "./world/partitions.js";

/**
 * Guards against lower-priority tasks that take the capacity freed by preemption: stopped tasks exit one by one, and a
 * scheduling cycle runs after each exit.
 */
test("capacity freed by preempted tasks is held for the gang for which they were stopped", () => {
  const { partition } = partitionOf(3, { cpus: 16, gpus: 0, ram: 64 });
  const low = enqueue(partition, specOf({ ref: "run-000001", tasks: 20, cpus: 4, urgency: "low" }));
  runSchedulingCycle(partition, schedulingContext);
  assert.equal(low.placements.size, 12);
  const gang = enqueue(partition, specOf({ ref: "run-000002", kind: "gang", tasks: 3, cpus: 15, urgency: "urgent" }));
  const context = { ...schedulingContext, patienceMs: 0, claimAfterMs: 0, excess: new Map(), guaranteed: () => false };
  const victims = choosePreemptions(partition, context);
  assert.equal(victims.length, 12);
  for (const victim of victims) victim.stop = { graceS: 0 };
  const exit = (placement: Placement): void => {
    removeAttempt(partition.machines.get(placement.host)!, attemptKey(`${low.spec.ref}/${placement.task}`, placement.attempt));
    releasePlacement(low, placement);
  };
  victims.forEach((victim, i) => {
    exit(victim);
    runSchedulingCycle(partition, schedulingContext);
    if (i < victims.length - 1) assert.equal(low.placements.size, victims.length - 1 - i, `after ${i + 1} exits`);
  });
  assert.equal(gang.placements.size, 3);
  assert.equal(low.placements.size, 0);
});

test("freed capacity that an array needs is held for it, and the rest is available to other jobs", () => {
  const { partition } = partitionOf(1, { cpus: 16, gpus: 0, ram: 64 });
  const low = enqueue(partition, specOf({ ref: "run-000001", tasks: 4, cpus: 4, urgency: "low" }));
  runSchedulingCycle(partition, schedulingContext);
  for (const placement of low.placements.values()) placement.stop = { graceS: 0 };
  enqueue(partition, specOf({ ref: "run-000002", tasks: 1, cpus: 8, urgency: "urgent" }));
  const small = enqueue(partition, specOf({ ref: "run-000003", tasks: 3, cpus: 4, urgency: "low" }));
  const [first, second, third] = [...low.placements.values()];
  for (const placement of [first!, second!, third!]) {
    removeAttempt(partition.machines.get(placement.host)!, attemptKey(`${low.spec.ref}/${placement.task}`, placement.attempt));
    low.placements.delete(placement.task);
  }
  runSchedulingCycle(partition, schedulingContext);
  assert.equal(small.placements.size, 1);
});
