import assert from "node:assert/strict";
import { test } from "node:test";
import { defaultWorldOptions, VirtualWorld } from "@thorntrail/emulator/entry";
import { encodeJob, type JobSpec } from "@thorntrail/protocol/jobs";
import { spawnController } from "../src/rehearsal/spawn-controller.js";
import { ClassAccounting, ATTEMPT_ENDS, type ClassAccount } from "../src/job-classes/class-accounting.js";
import { newTaskSet, type Placement } from "../src/queue/task-set.js";
import { Bits } from "../src/platform/bits.js";
import { specOf } from "./world/partitions.js";

const TYPE = { name: "m", cpus: 8, gpus: 0, ram: 64, cacheGb: 100, fetchGbPerS: 1, price: 1, spotPrice: 0.5, bootS: 5, zones: ["a"] };
const endsOf = (account: ClassAccount): number => ATTEMPT_ENDS.reduce((sum, end) => sum + account.ends[end], 0);

// If the accounting of attempts (runs of tasks) lost some or counted them twice, operators would look for the wrong cause.
test("every attempt that began is still running or counted under exactly one end, through losses, cancellations and preemption", async () => {
  const plan = defaultWorldOptions();
  plan.teams = [{ name: "ops", cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }];
  plan.types = [TYPE];
  plan.capacity = new Map([["m/a/ordinary", 6]]);
  const world = new VirtualWorld(plan, (asked) => spawnController(asked));
  for (const name of world.nodes.keys()) world.startController(name);
  await world.clock.run(8000);
  const submit = (spec: JobSpec, runMs: number): void => {
    world.runTimesMs.set(spec.ref, runMs);
    void world.submit(encodeJob(spec), spec);
  };
  for (let i = 0; i < 6; i++)
    submit(specOf({ ref: `run-00000${i}`, klass: "low", urgency: "low", tasks: 16, cpus: 1, guessS: 20 }), 20_000);
  await world.clock.run(40_000);
  submit(specOf({ ref: "run-000010", klass: "close", kind: "gang", urgency: "urgent", tasks: 3, cpus: 8, guessS: 15 }), 15_000);
  submit(specOf({ ref: "run-000011", klass: "close", kind: "gang", urgency: "urgent", tasks: 2, cpus: 8, guessS: 15 }), 15_000);
  await world.clock.run(50_000);
  const busy = [...world.workers.values()].find((worker) => worker.tasks.size > 0)!;
  world.cloud.remove(busy.host);
  const runs = [...world.workers.values()].flatMap((worker) => [...worker.tasks.values()]).filter(({ state }) => state === "running");
  const cancelled = runs.find(({ ref }) => /^run-00000\d$/.test(ref));
  assert.ok(cancelled !== undefined, "a low job runs when one is cancelled");
  void world.cancel(cancelled.ref);
  let checked = 0;
  const sums: Record<string, number> = { done: 0, stopped: 0, machine: 0, withdrawn: 0 };
  for (let at = 55_000; at <= 400_000; at += 23_000) {
    await world.clock.run(at);
    for (const { controller } of world.nodes.values()) {
      const running = new Map<string, number>();
      for (const partition of controller!.leader.partitions.values())
        for (const machine of partition.machines.values())
          for (const { taskSet, runningAt } of machine.placements.values())
            if (runningAt !== null) running.set(taskSet.spec.klass, (running.get(taskSet.spec.klass) ?? 0) + 1);
      for (const [klass, account] of Object.entries(controller!.leader.account.view())) {
        assert.equal(endsOf(account) + (running.get(klass) ?? 0), account.begun, `${klass} at ${at}`);
        checked++;
      }
    }
  }
  for (const { controller } of world.nodes.values())
    for (const account of Object.values(controller!.leader.account.view()))
      for (const end of Object.keys(sums)) sums[end]! += account.ends[end as "done"];
  assert.ok(checked > 20);
  assert.ok(sums["done"]! >= 5 * 16 && sums["stopped"]! > 0 && sums["machine"]! > 0 && sums["withdrawn"]! > 0, JSON.stringify(sums));
  for (const name of world.nodes.keys()) world.killController(name);
});

test("the number of class names from users is bounded", () => {
  const account = new ClassAccounting();
  for (let i = 0; i < 500; i++) {
    const taskSet = newTaskSet("t/j/x", specOf({ klass: `class-${i}` }), 0, 1, new Bits(1), 0, 0);
    account.recordStart({ taskSet } as Placement);
  }
  const view = account.view();
  assert.ok(Object.keys(view).length <= 51);
  assert.equal(
    Object.values(view).reduce((sum, one) => sum + one.begun, 0),
    500,
  );
});
