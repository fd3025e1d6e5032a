import assert from "node:assert/strict";
import { test } from "node:test";
import { defaultWorldOptions, VirtualWorld } from "@thorntrail/emulator/entry";
import { encodeJob } from "@thorntrail/protocol/jobs";
import { spawnController, type RehearsedController } from "../src/rehearsal/spawn-controller.js";
import { specOf } from "./world/partitions.js";

const TYPE = { name: "m", cpus: 8, gpus: 0, ram: 64, cacheGb: 100, fetchGbPerS: 1, price: 1, spotPrice: 0.5, bootS: 5, zones: ["a"] };
const team = { name: "ops", cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 };
const MB = 1e6;

/** Creates an emulated cluster. `memory` and `heap` set, by controller, the fractions of its memory quota and heap that are in use. */
function createWorld(rate = 100): { world: VirtualWorld<RehearsedController>; memory: Map<string, number>; heap: Map<string, number> } {
  const plan = defaultWorldOptions();
  plan.teams = [team];
  plan.types = [TYPE];
  plan.state = { ...plan.state, rps: rate, writeRps: rate / 4 };
  plan.capacity = new Map([["m/a/ordinary", 20]]);
  const memory = new Map<string, number>();
  const heap = new Map<string, number>();
  const world = new VirtualWorld(plan, (asked) => {
    const name = String(asked.platform["host_name"]);
    const quota = (asked.platform["deployment"] as { quota: { mem_mb: number } }).quota.mem_mb;
    return spawnController(asked, () => ({
      resident: (memory.get(name) ?? 0.3) * quota * MB,
      heap: heap.get(name) ?? 0,
      heapMax: 1,
    }));
  });
  for (const name of world.nodes.keys()) world.startController(name);
  return { world, memory, heap };
}

const wireOf = (ref: string, urgency: "low" | "urgent"): Record<string, unknown> =>
  encodeJob(specOf({ ref, urgency, tasks: 4, guessS: 10 }));
const controllerOf = (world: VirtualWorld<RehearsedController>, name: string): RehearsedController => world.nodes.get(name)!.controller!;

/** Sends one request to nest-0, without a user's retries, and returns the answer. */
async function ask(world: VirtualWorld<RehearsedController>, kind: "submit" | "poll" | "cancel", body: unknown) {
  let answer: { status: number; retryAfterS?: number; body: Record<string, unknown> } | undefined;
  void controllerOf(world, "nest-0")
    .answer(kind, body)
    .then((one) => (answer = one));
  for (let i = 0; i < 100 && answer === undefined; i++) await world.clock.run(world.clock.now() + 20);
  return answer!;
}

test("memory near its limit: low submissions are shed first, urgent ones last; polls, cancellations and reports continue", async () => {
  const { world, memory } = createWorld();
  await world.clock.run(8000);
  assert.equal((await ask(world, "submit", wireOf("run-000001", "low"))).status, 201);
  await world.clock.run(40_000);
  memory.set("nest-0", 0.92);
  await world.clock.run(45_000);
  const low = await ask(world, "submit", wireOf("run-000002", "low"));
  assert.equal(low.status, 429);
  assert.ok(low.retryAfterS! >= 1 && low.retryAfterS! <= 30);
  assert.equal((await ask(world, "submit", wireOf("run-000003", "urgent"))).status, 201);
  memory.set("nest-0", 0.97);
  await world.clock.run(52_000);
  assert.equal((await ask(world, "submit", wireOf("run-000004", "urgent"))).status, 429);
  // A job that is already recorded is no new load, so its submission must not be answered with 429.
  assert.equal((await ask(world, "submit", wireOf("run-000001", "low"))).status, 200);
  assert.equal((await ask(world, "poll", "run-000003")).status, 200);
  assert.equal((await ask(world, "cancel", "run-000003")).body["status"], "withdrawn");
  assert.equal(
    controllerOf(world, "nest-0").unreadyReason(),
    null,
    "a busy node is still healthy: if its users were sent elsewhere, they would overload the others",
  );
  memory.set("nest-0", 0.6);
  await world.clock.run(60_000);
  void world.submit(wireOf("run-000004", "urgent"), specOf({ ref: "run-000004", urgency: "urgent", tasks: 4 }), "nest-0");
  await world.clock.run(120_000);
  assert.equal((await ask(world, "poll", "run-000004")).body["status"], "done");
  for (const name of world.nodes.keys()) world.killController(name);
});

test("garbage does not count as memory in use: one sample of a full heap sheds nothing, a heap that stays full does", async () => {
  const { world, heap } = createWorld();
  await world.clock.run(12_000);
  const { overload } = controllerOf(world, "nest-0");
  heap.set("nest-0", 0.97);
  await world.clock.run(15_000);
  heap.set("nest-0", 0.3);
  await world.clock.run(30_000);
  assert.equal(overload.stats.worstLevel, 0);
  heap.set("nest-0", 0.97);
  await world.clock.run(45_000);
  assert.equal(overload.level, 4);
  for (const name of world.nodes.keys()) world.killController(name);
});

test("a controller at level 3 neither volunteers nor bids, and rents no further machines", async () => {
  const { world, memory } = createWorld();
  await world.clock.run(8000);
  memory.set("nest-0", 0.92);
  await world.clock.run(12_000);
  const { leader, fleet, overload } = controllerOf(world, "nest-0");
  assert.equal(overload.level, 3);
  // Jobs are submitted to another node, which may ask its peers for bids; none is assigned to the overloaded node.
  for (let i = 10; i < 22; i++)
    void world.submit(wireOf(`run-0000${i}`, "low"), specOf({ ref: `run-0000${i}`, tasks: 4, guessS: 10 }), "nest-1");
  await world.clock.run(60_000);
  assert.equal(fleet.stats.rented, 0);
  assert.equal(
    [...leader.partitions.values()].reduce((n, partition) => n + partition.taskSets.size, 0),
    0,
  );
  await world.clock.run(200_000);
  for (let i = 10; i < 22; i++) assert.equal((await ask(world, "poll", `run-0000${i}`)).body["status"], "done");
  for (const name of world.nodes.keys()) world.killController(name);
});

test("a stall of the process does not count as lag", async () => {
  const { world } = createWorld();
  await world.clock.run(12_000);
  world.freeze("nest-0", 6000);
  await world.clock.run(40_000);
  assert.equal(controllerOf(world, "nest-0").overload.stats.worstLevel, 0);
  for (const name of world.nodes.keys()) world.killController(name);
});

// The answer to a poll of an unfinished job needs a read of the state service that began after the poll. One read per poll would
// exceed the service's request rate, so polls must share reads.
test("a burst of polls shares reads, and all are answered", async () => {
  const { world } = createWorld();
  await world.clock.run(8000);
  assert.equal((await ask(world, "submit", wireOf("run-000001", "low"))).status, 201);
  let reads = 0;
  const { replica } = controllerOf(world, "nest-0");
  const fresh = replica.refresh.bind(replica);
  const runs = new Set<Promise<void>>();
  replica.refresh = (deadline) => {
    const run = fresh(deadline);
    if (!runs.has(run)) reads++;
    runs.add(run);
    return run;
  };
  const answers: number[] = [];
  const POLLS = 2000;
  for (let i = 0; i < POLLS; i++)
    void controllerOf(world, "nest-0")
      .answer("poll", i % 2 === 0 ? "run-000001" : `run-9${String(i).padStart(5, "0")}`)
      .then(({ status }) => answers.push(status));
  await world.clock.run(14_000);
  assert.equal(answers.length, POLLS);
  assert.ok(
    answers.every((status) => status === 200 || status === 404),
    `${[...new Set(answers)].join()}`,
  );
  assert.ok(reads <= 3, `${reads} reads`);
  for (const name of world.nodes.keys()) world.killController(name);
});

// After a stall of the process, the state service delivers all changes made meanwhile in one answer.
test("ten thousand changes in one answer are applied, and the node continues to own its partition and to answer", async () => {
  const { world } = createWorld(400_000);
  await world.clock.run(8000);
  const otherClient = world.state.client("elsewhere", (fn) => fn());
  world.freeze("nest-0", 20_000);
  await world.clock.run(9000);
  const PER_TXN = 16;
  for (let i = 0; i < 10_000; i += PER_TXN) {
    const apply = Array.from({ length: PER_TXN }, (_, k) => {
      const ref = `run-${500_000 + i + k}`;
      return { write: `t/j/${ref}`, v: { spec: specOf({ ref }), part: 1, hi: 1, done: "gA==", at: 1, end: "done" } };
    });
    void otherClient.txn([], apply);
  }
  await world.clock.run(60_000);
  const node = controllerOf(world, "nest-0");
  assert.equal(node.unreadyReason(), null);
  assert.equal((await ask(world, "poll", "run-509999")).body["status"], "done");
  assert.equal(node.replica.openJobs().size, 0);
  assert.equal((await ask(world, "submit", wireOf("run-000001", "low"))).status, 201);
  for (const name of world.nodes.keys()) world.killController(name);
});
