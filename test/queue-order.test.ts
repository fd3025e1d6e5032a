import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { Partition } from "../src/partitions/partition.js";
import { sortTaskSets, queueOrder, type OrderContext, type OrderMode } from "../src/queue/queue-order.js";
import { runSchedulingCycle } from "../src/queue/scheduling-cycle.js";
import { choosePreemptions } from "../src/queue/preempt.js";
import { markFinished, releasePlacement, type TaskSet } from "../src/queue/task-set.js";
import { removeAttempt } from "../src/workers/machine.js";
import { underservedClasses, type ClassCounts } from "../src/job-classes/class-shares.js";
import { partitionOf, schedulingContext, enqueue, specOf } from "./world/partitions.js";

const RUN_S = 60;
const YIELD_S = 1800;

function orderAt(nowS: number, mode: OrderMode = "aims", change: Partial<OrderContext> = {}) {
  return queueOrder({
    mode,
    nowWall: nowS * 1000,
    finishObjectiveS: () => Infinity,
    startObjectiveS: () => Infinity,
    expectedRunS: () => RUN_S,
    maxSizeDelayS: YIELD_S,
    firstTaskAfterS: Infinity,
    withinGuarantee: () => false,
    underserved: () => false,
    ...change,
  });
}

/** Completes all running tasks, removes finished jobs from the queue, adds them to `finished`, and runs a scheduling cycle. */
function completeAndSchedule(
  partition: Partition,
  nowS: number,
  mode: OrderMode,
  finished: Set<string>,
  change: Partial<OrderContext> = {},
): void {
  for (const machine of partition.machines.values()) {
    for (const [key, placement] of [...machine.placements]) {
      removeAttempt(machine, key);
      markFinished(placement.taskSet, placement.task);
      releasePlacement(placement.taskSet, placement);
    }
  }
  for (const taskSet of [...partition.taskSets.values()]) {
    if (!taskSet.done.full) continue;
    finished.add(taskSet.spec.ref);
    partition.taskSets.delete(taskSet.key);
  }
  runSchedulingCycle(partition, { ...schedulingContext, order: orderAt(nowS, mode, change) });
}

/**
 * Submits twice as much low-priority work as there is capacity for; returns the number of jobs that finish if the queue is
 * ordered by `mode`.
 */
function countFinished(sizes: number[], mode: OrderMode): number {
  const { partition } = partitionOf(4, { cpus: 8, gpus: 0, ram: 64 });
  const cycles = Math.ceil(sizes.reduce((sum, n) => sum + n, 0) / (4 * 8) / 2);
  const finished = new Set<string>();
  for (let t = 0; t <= cycles; t++) {
    const from = Math.floor((t * sizes.length) / (cycles + 1));
    const to = Math.floor(((t + 1) * sizes.length) / (cycles + 1));
    for (let i = from; i < to; i++) {
      const taskSet = enqueue(partition, specOf({ ref: `run-${String(i).padStart(6, "0")}`, tasks: sizes[i]!, cpus: 1, urgency: "low" }));
      taskSet.submittedWall = t * RUN_S * 1000;
    }
    completeAndSchedule(partition, t * RUN_S, mode, finished);
  }
  return finished.size;
}

// First come, first served begins many jobs and finishes few: with four times the usual number of photo batch jobs, it began half
// of these jobs and finished only a third, but more than half of the jobs of each class have to finish. Here, the order by
// objectives (`aims`) has to finish no fewer jobs in any case, and more than 1.3 times as many over all cases.
test("when there is more work than capacity, more jobs finish than with first come, first served", () => {
  const job = fc.oneof(
    { weight: 3, arbitrary: fc.integer({ min: 1, max: 30 }) },
    { weight: 1, arbitrary: fc.integer({ min: 31, max: 150 }) },
  );
  let first = 0;
  let aims = 0;
  fc.assert(
    fc.property(fc.array(job, { minLength: 30, maxLength: 60 }), (sizes) => {
      const [a, b] = [countFinished(sizes, "arrival"), countFinished(sizes, "aims")];
      first += a;
      aims += b;
      assert.ok(b >= a, `${b} of ${sizes.length} finished, ${a} by first come`);
    }),
    { seed: 30, numRuns: 60 },
  );
  assert.ok(aims > first * 1.3, `${aims} against ${first}`);
});

test("jobs with fewer remaining tasks come first among jobs of the same age", () => {
  const { partition } = partitionOf(1, { cpus: 8, gpus: 0, ram: 64 });
  const order = orderAt(100);
  const [large, small] = [40, 8].map((tasks, i) => enqueue(partition, specOf({ ref: `run-00000${i}`, tasks }))) as [TaskSet, TaskSet];
  assert.ok(order.effectiveArrival(small) < order.effectiveArrival(large));
  // Most tasks of the large job are done, so it should be finished first.
  large.waiting.splice(0, 38);
  assert.ok(order.effectiveArrival(large) < order.effectiveArrival(small));
});

test("nothing waits forever: a job older by the maximum delay comes first, however large", () => {
  const { partition } = partitionOf(1, { cpus: 8, gpus: 0, ram: 64 });
  let n = 0;
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 100_000 }), fc.integer({ min: 1, max: 100_000 }), fc.nat(5000), (old, young, extraS) => {
      const taskSetOf = (tasks: number): TaskSet => enqueue(partition, specOf({ ref: `run-${String(++n).padStart(6, "0")}`, tasks }));
      const [first, second] = [taskSetOf(old), taskSetOf(young)];
      second.submittedWall = first.submittedWall + (YIELD_S + extraS) * 1000;
      const order = orderAt(10_000);
      assert.ok(order.effectiveArrival(first) < order.effectiveArrival(second));
    }),
    { seed: 34, numRuns: 200 },
  );
});

// A job of sixty tasks with an objective to start within 40 s would miss it if it came after every smaller job.
test("a class with a start objective is delayed by no more than that objective", () => {
  const { partition } = partitionOf(1, { cpus: 8, gpus: 0, ram: 64 });
  const [large, small] = [60, 1].map((tasks, i) => enqueue(partition, specOf({ ref: `run-00000${i}`, tasks }))) as [TaskSet, TaskSet];
  small.submittedWall = 41_000;
  const due = orderAt(100, "aims", { startObjectiveS: () => 40 });
  assert.ok(due.effectiveArrival(large) < due.effectiveArrival(small));
  assert.ok(orderAt(100).effectiveArrival(small) < orderAt(100).effectiveArrival(large));
});

test("work within a guarantee is not delayed for its size, nor is any work in modes without objectives", () => {
  const { partition } = partitionOf(1, { cpus: 8, gpus: 0, ram: 64 });
  const large = enqueue(partition, specOf({ ref: "run-000001", tasks: 500 }));
  const small = enqueue(partition, specOf({ ref: "run-000002", tasks: 1 }));
  small.submittedWall = 1000;
  assert.ok(orderAt(100).effectiveArrival(small) < orderAt(100).effectiveArrival(large));
  const granted = orderAt(100, "aims", { withinGuarantee: (taskSet) => taskSet === large });
  assert.ok(granted.effectiveArrival(large) < granted.effectiveArrival(small));
  for (const mode of ["arrival", "urgency"] as const)
    assert.ok(orderAt(100, mode).effectiveArrival(large) < orderAt(100, mode).effectiveArrival(small));
});

// Preempted tasks that cannot save their progress restart from the beginning. Preempting tasks of a job that is nearly done leaves
// two jobs half done instead of one.
test("for work of higher priority, tasks of the low-priority job with the most remaining work are stopped", () => {
  const { partition } = partitionOf(2, { cpus: 8, gpus: 0, ram: 64 });
  const nearly = enqueue(partition, specOf({ ref: "run-000001", tasks: 8, urgency: "low" }));
  runSchedulingCycle(partition, schedulingContext);
  // `nearly` counts as submitted later than `begun`, but all its tasks run, while most tasks of `begun` are still waiting.
  const begun = enqueue(partition, specOf({ ref: "run-000002", tasks: 80, urgency: "low" }));
  begun.submittedWall = nearly.submittedWall - 60_000;
  runSchedulingCycle(partition, schedulingContext);
  assert.deepEqual([nearly.placements.size, begun.placements.size], [8, 8]);
  enqueue(partition, specOf({ ref: "run-000003", tasks: 3, urgency: "urgent" }));
  const context = { ...schedulingContext, order: orderAt(200), patienceMs: 0, claimAfterMs: 0, excess: new Map(), guaranteed: () => false };
  const stopped = choosePreemptions(partition, context);
  assert.deepEqual([...new Set(stopped.map(({ taskSet }) => taskSet.spec.ref))], ["run-000002"]);
  assert.equal(stopped.length, 3);
});

test("among classes of one priority, the least served comes first while it is below the floor", () => {
  const counts = (...list: [string, number, number, number][]): Map<string, ClassCounts> =>
    new Map(list.map(([klass, rank, done, open]) => [klass, { rank, done, open }]));
  assert.deepEqual([...underservedClasses(counts(["fotos", 3, 75, 25], ["archivo", 3, 45, 55]))], ["archivo"]);
  assert.deepEqual([...underservedClasses(counts(["fotos", 3, 75, 25], ["archivo", 3, 65, 35]))], [], "above the floor");
  assert.deepEqual([...underservedClasses(counts(["fotos", 3, 10, 90]))], [], "no other class of its priority");
  assert.deepEqual(
    [...underservedClasses(counts(["cierre", 1, 10, 90], ["portada", 1, 50, 50]))],
    [],
    "urgent work is ordered by its objectives",
  );
  const share = fc.record({ rank: fc.integer({ min: 0, max: 3 }), done: fc.nat(100), open: fc.nat(100) });
  fc.assert(
    fc.property(fc.uniqueArray(fc.tuple(fc.constantFrom("a", "b", "c", "d"), share), { selector: ([klass]) => klass }), (list) => {
      const all = new Map<string, ClassCounts>(list);
      for (const klass of underservedClasses(all)) {
        const { rank, done, open } = all.get(klass)!;
        assert.ok(rank >= 2 && done / (done + open) < 0.6);
        for (const [, other] of all)
          if (other.rank === rank) assert.ok(done * Math.max(1, other.done + other.open) <= other.done * (done + open));
      }
    }),
    { seed: 30 },
  );
});

test("dependencies of urgent work are not delayed, however much of them is left", () => {
  const { partition } = partitionOf(1, { cpus: 100, gpus: 0, ram: 640 });
  const early = enqueue(partition, specOf({ ref: "run-000001", urgency: "low", tasks: 50 }));
  const late = enqueue(partition, specOf({ ref: "run-000002", urgency: "low", tasks: 2 }));
  Object.assign(late, { submittedWall: 10_000 });
  assert.deepEqual(sortTaskSets([early, late], orderAt(100)), [late, early]);
  for (const taskSet of [early, late]) taskSet.urgency = "urgent";
  assert.deepEqual(sortTaskSets([early, late], orderAt(100)), [early, late]);
});

test("the largest arrays start with one task each, at next to no cost for smaller ones", () => {
  // 60 small job arrays and three of a hundred tasks need twice the available capacity. Without `firstTaskAfterS`, the large ones are
  // delayed for their size until the end and never begin.
  const beganAt = (beginS: number): { largest: (number | undefined)[]; finished: number } => {
    const { partition } = partitionOf(4, { cpus: 8, gpus: 0, ram: 64 });
    const finished = new Set<string>();
    const large = [0, 1, 2].map((i) => enqueue(partition, specOf({ ref: `run-00090${i}`, tasks: 100, cpus: 1, urgency: "low" })));
    const began = new Map<TaskSet, number>();
    for (let t = 0; t < 20; t++) {
      for (let i = 0; i < 3; i++) {
        const taskSet = enqueue(
          partition,
          specOf({ ref: `run-${String(t * 3 + i).padStart(6, "0")}`, tasks: 20, cpus: 1, urgency: "low" }),
        );
        taskSet.submittedWall = t * RUN_S * 1000;
      }
      completeAndSchedule(partition, t * RUN_S, "aims", finished, { firstTaskAfterS: beginS });
      for (const taskSet of large) if (taskSet.started && !began.has(taskSet)) began.set(taskSet, t * RUN_S);
    }
    return { largest: large.map((taskSet) => began.get(taskSet)), finished: finished.size };
  };
  const before = beganAt(Infinity);
  const after = beganAt(108);
  assert.deepEqual(before.largest, [undefined, undefined, undefined]);
  assert.ok(
    after.largest.every((at) => at !== undefined && at <= 240),
    after.largest.join(),
  );
  assert.ok(after.finished >= before.finished - 1, `${after.finished} of ${before.finished}`);
});
