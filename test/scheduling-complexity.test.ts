import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { planRentals } from "../src/fleet/plan.js";
import type { MachineType } from "@thorntrail/protocol/cloud";
import { nextAttemptNumber, copyUsageByTeam, type Partition } from "../src/partitions/partition.js";
import { AttemptRegistry, type Attempt } from "../src/queue/attempts.js";
import { estimateWaits, type EstimateContext } from "../src/queue/estimate.js";
import type { TaskSet } from "../src/queue/task-set.js";
import { UnschedulableShapes } from "../src/queue/unschedulable.js";
import { RunTimeHistory } from "../src/queue/history.js";
import { runSchedulingCycle } from "../src/queue/scheduling-cycle.js";
import { newFindings } from "../src/workers/findings.js";
import { applyReport } from "../src/workers/report-intake.js";
import { NOW, order, partitionOf, schedulingContext, enqueue, specOf, unlimited } from "./world/partitions.js";

// Hundreds of machines report every few seconds to controllers with a fifth of a core. These tests detect work that grows with
// machines times tasks. They count how often machines are examined instead of measuring time, so that the computer's speed does
// not matter.

class CountingMap<K, V> extends Map<K, V> {
  iterations = 0;
  override values(): MapIterator<V> {
    this.iterations++;
    return super.values();
  }
  override [Symbol.iterator](): MapIterator<[K, V]> {
    this.iterations++;
    return super[Symbol.iterator]();
  }
}

test("placing an array looks at machines once for each machine filled, not once for each task", () => {
  const { partition, evaluations } = partitionOf(100, { cpus: 8, gpus: 0, ram: 64 });
  const taskSet = enqueue(partition, specOf({ tasks: 800 }));
  runSchedulingCycle(partition, schedulingContext);
  assert.equal(taskSet.waiting.length, 0);
  assert.ok(evaluations() <= 100 * 100, `${evaluations()} evaluations`);
  assert.equal(copyUsageByTeam(partition).get("ops")?.cpus, 800);
});

test("applying a report does not iterate over the partition's machines", () => {
  const { partition } = partitionOf(1, { cpus: 8, gpus: 0, ram: 64 });
  const taskSet = enqueue(partition, specOf({ tasks: 4 }));
  const machines = new CountingMap(partition.machines);
  machines.iterations = 0;
  partition.machines = machines;
  const machine = machines.get("i-0")!;
  const tasks = [0, 1, 2, 3].map((i) => ({
    taskId: `run-000001/${i}`,
    attempt: nextAttemptNumber(partition),
    state: "running" as const,
    cause: null,
    saved: false,
  }));
  const report = { host: "i-0", addr: "a", type: "m", zone: "a", spot: false, session: 1, token: 5, noticeS: null };
  const context = {
    now: NOW,
    viaReport: true,
    leaseMs: 18_000,
    coolMs: 2500,
    placeholderFor: () => taskSet,
  };
  assert.ok(applyReport(partition, machine, { ...report, seq: 1, tasks }, context, newFindings()));
  assert.equal(partition.usage.get("ops")?.cpus, 4);
  // A report without the task shows that the machine has discarded it, so its resources are free again.
  assert.ok(applyReport(partition, machine, { ...report, seq: 2, tasks: [] }, context, newFindings()));
  assert.equal(partition.usage.get("ops")?.cpus, 0);
  assert.deepEqual(machine.used, { cpus: 0, gpus: 0, ram: 0 });
  assert.equal(machines.iterations, 0);
});

test("adding, finding and removing an attempt examines no other attempt of its job", () => {
  const registry = new AttemptRegistry<Attempt>();
  const taskSet = { spec: { ref: "run-000001" }, lo: 0 };
  let reads = 0;
  const attemptOf = (task: number): Attempt => ({
    get taskSet() {
      reads++;
      return taskSet;
    },
    task,
  });
  for (let task = 0; task < 4000; task++) registry.add(attemptOf(task));
  reads = 0;
  const [one, other] = [attemptOf(4000), attemptOf(4000)];
  registry.add(one);
  registry.add(other);
  assert.deepEqual([registry.otherAttempts(one), registry.hasJob("run-000001")], [[other], true]);
  registry.remove(one);
  assert.deepEqual([registry.otherAttempts(other), registry.hasTask("run-000001", 4000)], [[], true]);
  registry.remove(other);
  assert.equal(registry.hasTask("run-000001", 4000), false);
  assert.ok(reads <= 30, `${reads} reads`);
});

test("waits of gangs and arrays on a full partition follow from the ends of its tasks", () => {
  const { partition } = partitionOf(10, { cpus: 16, gpus: 0, ram: 64 });
  enqueue(partition, specOf({ tasks: 10, cpus: 15 }));
  runSchedulingCycle(partition, schedulingContext);
  const gang = enqueue(partition, specOf({ ref: "run-000002", kind: "gang", tasks: 6, cpus: 15 }));
  const array = enqueue(partition, specOf({ ref: "run-000003", tasks: 8, cpus: 15 }));
  const large = enqueue(partition, specOf({ ref: "run-000004", kind: "gang", tasks: 12, cpus: 15 }));
  const context: EstimateContext = {
    now: NOW,
    silentMs: 5000,
    order,
    history: new RunTimeHistory("owner"),
    bootMs: () => 0,
    preemptAfterMs: 1000,
    guaranteed: () => false,
    excess: new Map(),
  };
  const waits = estimateWaits(partition, context);
  // No report has shown the ten placed tasks running yet, so they are expected to end after a full run time of 60 s, and the
  // tasks that start then are expected to end after another 60 s.
  assert.equal(waits.get(gang.key), 60_000);
  assert.equal(waits.get(array.key), 120_000);
  assert.equal(waits.get(large.key), Infinity);
});

/**
 * Reference for `estimateWaits`: waits, in ms, of gangs whose tasks have one size, on identical machines on which `capacity`
 * tasks fit together. Gangs are served in order of arrival with backfilling.
 */
function plainWaits(capacity: number, gangs: { tasks: number; runS: number }[]): number[] {
  const waits = gangs.map(() => Infinity);
  const ends: { at: number; tasks: number }[] = [];
  let free = capacity;
  for (let at: number | undefined = 0; at !== undefined; at = ends.length === 0 ? undefined : Math.min(...ends.map((end) => end.at))) {
    for (let i = ends.length - 1; i >= 0; i--) if (ends[i]!.at === at) free += ends.splice(i, 1)[0]!.tasks;
    gangs.forEach(({ tasks, runS }, i) => {
      if (waits[i] !== Infinity || tasks > free) return;
      waits[i] = at! * 1000;
      free -= tasks;
      ends.push({ at: at! + runS, tasks });
    });
  }
  return waits;
}

// `estimateWaits` computes free capacity once for all gangs with tasks of the same size; the waits must be the same as if it were
// computed for each gang.
test("waits of gangs of equal shape match a plain count of places", () => {
  const gang = fc.record({ tasks: fc.integer({ min: 1, max: 14 }), runS: fc.integer({ min: 1, max: 90 }) });
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 12 }),
      fc.constantFrom(16, 32, 47),
      fc.array(gang, { minLength: 1, maxLength: 25 }),
      (n, cpus, gangs) => {
        const { partition } = partitionOf(n, { cpus, gpus: 0, ram: 640 });
        const taskSets = gangs.map(({ tasks, runS }, i) =>
          enqueue(partition, specOf({ ref: `run-${String(i).padStart(6, "0")}`, kind: "gang", tasks, cpus: 15, guessS: runS })),
        );
        const waits = estimateWaits(partition, {
          ...{ now: NOW, silentMs: 5000, order, history: new RunTimeHistory("owner"), bootMs: () => 0 },
          ...{ preemptAfterMs: 1000, guaranteed: () => false, excess: new Map() },
        });
        assert.deepEqual(
          taskSets.map((taskSet) => waits.get(taskSet.key)),
          plainWaits(n * Math.floor(cpus / 15), gangs),
        );
      },
    ),
    { seed: 1, numRuns: 200 },
  );
});

test("capacity is reserved for a gang that has waited, but jobs that end in time may use it", () => {
  const { partition } = partitionOf(3, { cpus: 16, gpus: 0, ram: 64 });
  const running = enqueue(partition, specOf({ tasks: 1, cpus: 15 }));
  runSchedulingCycle(partition, schedulingContext);
  assert.equal(running.waiting.length, 0);
  // Two machines are free. The gang needs all three, and so can start when the running task ends in 60 s.
  const gang = enqueue(partition, specOf({ ref: "run-000002", kind: "gang", tasks: 3, cpus: 15 }));
  const long = enqueue(partition, specOf({ ref: "run-000003", cpus: 15, guessS: 90 }));
  const short = enqueue(partition, specOf({ ref: "run-000004", cpus: 15, guessS: 30 }));
  runSchedulingCycle(partition, schedulingContext);
  assert.deepEqual(
    [gang, long, short].map((taskSet) => taskSet.waiting.length),
    [3, 1, 0],
  );
  // Until the gang has waited long enough (see `reserveAfterMs`), no capacity is reserved for it, and other jobs may start.
  runSchedulingCycle(partition, { ...schedulingContext, reserveAfterMs: () => 5000 });
  assert.equal(long.waiting.length, 0);
});

test("a task that has outrun its expected run time is not expected to end at once", () => {
  const history = new RunTimeHistory("learned");
  const spec = specOf({ guessS: 100 });
  assert.equal(history.remainingRunS(spec, 40), 60);
  assert.ok(history.remainingRunS(spec, 100) > 20);
  // All tasks of the job class ran exactly as long as estimated, which leaves hardly any spread of run times. A task that has run
  // that long is therefore expected to end soon.
  for (let i = 0; i < 200; i++) history.record(spec, 100);
  assert.ok(history.remainingRunS(spec, 100) < 5);
  assert.equal(Math.round(history.expectedRunS(spec)), 100);
});

const type: MachineType = {
  name: "m",
  cpus: 16,
  gpus: 0,
  ram: 64,
  cacheGb: 1,
  fetchGbPerS: 1,
  price: 4,
  spotPrice: 1,
  bootS: 10,
  zones: ["a", "b"],
};

type Change = {
  claimed?: (gang: TaskSet, offer: { zone: string; spot: boolean }) => boolean;
  closed?: (offer: { zone: string; spot: boolean }) => boolean;
  weighMs?: number;
  soonMs?: number;
  leftMs?: number;
};

function planFor(partition: Partition, change: Change) {
  return planRentals(partition, {
    freeSoonMs: change.soonMs ?? 0,
    remainingMs: () => change.leftMs ?? Infinity,
    now: NOW,
    silentMs: 5000,
    order,
    types: [type],
    isAvailable: (offer) => !(change.closed?.(offer) ?? false),
    givesWayIn: (gang) => (offer) => change.claimed?.(gang, offer) ?? false,
    quotaShare: unlimited,
    migrationGraceMs: change.weighMs ?? 0,
  });
}

test("no machine is rented for a job that the exchange may still migrate, unless that takes long", () => {
  const { partition } = partitionOf(0, type);
  const taskSet = enqueue(partition, specOf({ tasks: 2, cpus: 15 }));
  assert.equal(planFor(partition, { weighMs: NOW + 1 }).toRent.size, 0);
  assert.equal(planFor(partition, { weighMs: NOW }).toRent.size, 1, "it has waited long enough");
  taskSet.migrationConsidered = true;
  assert.equal(planFor(partition, { weighMs: NOW + 1 }).toRent.size, 1, "it stays");
});

test("no machine is rented for tasks that find capacity before the machine would be up", () => {
  const { partition } = partitionOf(2, type);
  enqueue(partition, specOf({ ref: "run-000001", tasks: 2, cpus: 15 }));
  runSchedulingCycle(partition, schedulingContext);
  enqueue(partition, specOf({ ref: "run-000002", tasks: 3, cpus: 15 }));
  const rented = (change: Change): number => [...planFor(partition, change).toRent.values()].reduce((n, { count }) => n + count, 0);
  assert.equal(rented({ soonMs: 10_000, leftMs: 11_000 }), 3);
  assert.equal(rented({ soonMs: 10_000, leftMs: 9_000 }), 1);
  assert.equal(rented({ soonMs: 0, leftMs: 9_000 }), 3);
});

test("a long queue requests no more machines of an offering than one call can rent", () => {
  const { partition } = partitionOf(0, type);
  enqueue(partition, specOf({ tasks: 5000, cpus: 15 }));
  const plan = planFor(partition, {});
  assert.deepEqual([...plan.toRent.values()].map((w) => w.count).sort(), [50, 50]);
});

test("machines for a gang bound to one zone are rented in one zone only", () => {
  const { partition } = partitionOf(1, type);
  enqueue(partition, specOf({ kind: "gang", tasks: 3, cpus: 15, oneZone: true }));
  const plan = planFor(partition, {});
  assert.deepEqual(
    [...plan.toRent.values()].map((w) => [w.offer.zone, w.count]),
    [["a", 2]],
  );
});

test("tasks at least as large as one that did not fit are skipped, smaller ones are tried", () => {
  const { partition } = partitionOf(2, { cpus: 4, gpus: 0, ram: 64 });
  enqueue(partition, specOf({ ref: "run-000001", tasks: 7, cpus: 1.1 }));
  runSchedulingCycle(partition, schedulingContext);
  const taskSets = [0.9, 0.95, 0.5, 0.9, 0.2].map((cpus, i) => enqueue(partition, specOf({ ref: `run-10000${i}`, cpus })));
  runSchedulingCycle(partition, schedulingContext);
  // Two machines with three tasks of 1.1 CPUs each have 0.7 CPUs left: the task of 0.5 fits on one of them, and that of 0.2
  // beside it or on the other machine.
  assert.deepEqual(
    taskSets.map((taskSet) => taskSet.placements.size),
    [0, 0, 1, 0, 1],
  );
  const unschedulable = new UnschedulableShapes();
  unschedulable.add(specOf({ cpus: 2, ram: 8 }));
  assert.equal(unschedulable.has(specOf({ cpus: 2, ram: 9 })), true);
  assert.equal(unschedulable.has(specOf({ cpus: 1.9, ram: 9 })), false);
  assert.equal(unschedulable.has(specOf({ cpus: 2, ram: 9, spot: true })), false, "spot machines were not tried");
  assert.equal(unschedulable.has(specOf({ cpus: 2, ram: 9, oneZone: true })), false);
});

test("a gang that gives way keeps no machine and rents none; a whole gang and an array keep theirs", () => {
  const claimed = (): boolean => true;
  const { partition } = partitionOf(2, type);
  const gang = enqueue(partition, specOf({ kind: "gang", tasks: 3, cpus: 15 }));
  const incomplete = { taskSet: gang, zone: null, heldTasks: 2 };
  const kept = planFor(partition, {});
  assert.deepEqual([kept.needed.size, kept.toRent.get("m/a/ordinary")?.count, kept.incompleteGangs], [3, 1, [incomplete]]);
  const givenUp = planFor(partition, { claimed });
  assert.deepEqual([givenUp.needed.size, givenUp.givenUp.size, givenUp.toRent.size, givenUp.incompleteGangs], [0, 2, 0, [incomplete]]);
  const onlyInB = planFor(partition, { claimed: (_, { zone }) => zone === "a" });
  assert.deepEqual([...onlyInB.toRent.keys()], ["m/b/ordinary"], "it may still rent what nobody claims");
  enqueue(partition, specOf({ ref: "run-000002", kind: "gang", tasks: 2, cpus: 15 }));
  const whole = planFor(partition, { claimed });
  assert.deepEqual([whole.needed.size, whole.toRent.size, whole.incompleteGangs], [2, 0, [incomplete]], "the second gang fits as it is");
  enqueue(partition, specOf({ ref: "run-000003", tasks: 1, cpus: 15, urgency: "low" }));
  assert.equal(planFor(partition, { claimed }).toRent.get("m/a/ordinary")?.count, 1, "an array needs no order: each task runs by itself");
});
