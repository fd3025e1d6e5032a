import type { JobSpec } from "@thorntrail/protocol/jobs";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { JobRecord } from "../src/ledger/records.js";
import { teamsBelowGuarantee, grantGuarantees } from "../src/partitions/guarantees.js";
import { sortTaskSets, queueOrder } from "../src/queue/queue-order.js";
import { runSchedulingCycle } from "../src/queue/scheduling-cycle.js";
import { choosePreemptions } from "../src/queue/preempt.js";
import type { TaskSet } from "../src/queue/task-set.js";
import { partitionOf, schedulingContext, enqueue, specOf } from "./world/partitions.js";

const teams = [
  { name: "ops", cpus: 0, cpus_max: 0, gpus: 10, gpus_max: 40 },
  { name: "lab", cpus: 0, cpus_max: 0, gpus: 4, gpus_max: 40 },
];

function job(ref: string, at: number, change: Partial<JobSpec>): JobRecord {
  return { spec: specOf({ ref, gpus: 1, ...change }), part: 0, hi: 1, done: "", at };
}

test("a job is within its team's guarantee if it fits together with the team's earlier unfinished jobs", () => {
  const jobs = [
    job("c", 3, { tasks: 3 }),
    job("a", 1, { tasks: 6 }),
    job("b", 2, { tasks: 3 }),
    job("d", 0, { tasks: 9, team: "lab" }),
    job("e", 0, { tasks: 2, gpus: 0 }),
  ];
  assert.deepEqual([...grantGuarantees(jobs, teams, new Set())].sort(), ["a", "b"]);
  // When an earlier job ends, the team's guaranteed resources cover the next one; a job that they covered before stays covered.
  jobs[1]!.end = "done";
  assert.deepEqual([...grantGuarantees(jobs, teams, new Set(["b"]))].sort(), ["b", "c"]);
});

test("a guaranteed job preempts work beyond another team's guarantee, and no more than that", () => {
  const { partition } = partitionOf(2, { cpus: 8, gpus: 4, ram: 64 });
  const borrowing = enqueue(partition, specOf({ ref: "run-000001", team: "lab", tasks: 8, gpus: 1, checkpointS: 10, flushS: 2 }));
  runSchedulingCycle(partition, schedulingContext);
  assert.equal(borrowing.waiting.length, 0);
  const claim = enqueue(partition, specOf({ ref: "run-000002", team: "ops", tasks: 6, gpus: 1 }));
  const context = { ...schedulingContext, patienceMs: 0, claimAfterMs: 500, excess: new Map([["lab", { cpus: 0, gpus: 4 }]]) };
  const stopped = (guaranteed: (taskSet: TaskSet) => boolean): number => choosePreemptions(partition, { ...context, guaranteed }).length;
  assert.equal(
    stopped(() => false),
    0,
  );
  assert.equal(
    stopped((taskSet) => taskSet === claim),
    4,
  );
  // Until `claimAfterMs` has passed, the job waits for capacity to become free without preemption, although its team's guaranteed
  // resources cover it.
  assert.equal(choosePreemptions(partition, { ...context, claimAfterMs: 5000, guaranteed: (taskSet) => taskSet === claim }).length, 0);
});

test("a guaranteed job of lower priority does not preempt work of raised priority, which would take the capacity back", () => {
  const { partition } = partitionOf(1, { cpus: 8, gpus: 4, ram: 64 });
  const raised = enqueue(partition, specOf({ ref: "run-000001", team: "lab", tasks: 4, cpus: 2, urgency: "low" }));
  raised.urgency = "urgent";
  runSchedulingCycle(partition, schedulingContext);
  const claim = enqueue(partition, specOf({ ref: "run-000002", team: "ops", tasks: 2, gpus: 1, cpus: 4 }));
  const context = { ...schedulingContext, patienceMs: 0, claimAfterMs: 0, excess: new Map([["lab", { cpus: 8, gpus: 0 }]]) };
  const stopped = (): number => choosePreemptions(partition, { ...context, guaranteed: (taskSet) => taskSet === claim }).length;
  assert.equal(stopped(), 0);
  raised.urgency = "low";
  assert.equal(stopped(), 4);
});

test("a team is below its guarantee if it uses less of every guaranteed resource than is guaranteed", () => {
  const both = [
    ...teams,
    { name: "mix", cpus: 100, cpus_max: 0, gpus: 10, gpus_max: 0 },
    { name: "guest", cpus: 0, cpus_max: 9, gpus: 0, gpus_max: 9 },
  ];
  const use = (gpus: number, cpus = 0): { cpus: number; gpus: number } => ({ cpus, gpus });
  // A team without reported usage uses nothing. A team without guaranteed resources is never below its guarantee. A team with
  // several guaranteed resources is below only if it uses less than the guaranteed amount of each.
  assert.deepEqual([...teamsBelowGuarantee(both, new Map([["lab", use(4)]]))], ["ops", "mix"]);
  assert.deepEqual(
    [
      ...teamsBelowGuarantee(
        both,
        new Map([
          ["ops", use(9, 500)],
          ["lab", use(3)],
          ["mix", use(2, 100)],
        ]),
      ),
    ],
    ["ops", "lab"],
  );
});

test("a team below its guarantee is ordered before other teams, with the least remaining work first", () => {
  const { partition } = partitionOf(1, { cpus: 100, gpus: 0, ram: 640 });
  const large = enqueue(partition, specOf({ ref: "run-000001", team: "ops", tasks: 50 }));
  const small = enqueue(partition, specOf({ ref: "run-000002", team: "ops", tasks: 2 }));
  const other = enqueue(partition, specOf({ ref: "run-000003", team: "lab", tasks: 1 }));
  Object.assign(small, { submittedWall: 60_000 });
  const order = queueOrder({
    mode: "aims",
    nowWall: 100_000,
    finishObjectiveS: () => Infinity,
    startObjectiveS: () => Infinity,
    expectedRunS: () => 60,
    maxSizeDelayS: 1800,
    firstTaskAfterS: 108,
    withinGuarantee: () => false,
    underserved: ({ spec }) => spec.team === "ops",
  });
  assert.deepEqual(sortTaskSets([other, large, small], order), [small, large, other]);
});
