import assert from "node:assert/strict";
import { test } from "node:test";
import { findViolations } from "@thorntrail/emulator/checker";
import { Cluster } from "./world/cluster.js";

/** Tests of configuration changes (teams and their limits) while several controllers serve, and machines, controllers and services fail. */

const ops = { name: "ops", cpus: 0, cpus_max: 60, gpus: 0, gpus_max: 0 };
const lab = { name: "lab", cpus: 0, cpus_max: 40, gpus: 0, gpus_max: 0 };
const type = { name: "m", cpus: 16, gpus: 0, ram: 100, cacheGb: 100, fetchGbPerS: 1, price: 1, spotPrice: 0.3, bootS: 2, zones: ["a"] };
const plan = (seed: number, controllers = 3) => ({
  ...{ seed, controllers, teams: [ops, lab], types: [type], capacity: new Map([["m/a/ordinary", 20]]) },
});
const version = (asked: { outcome?: { version: number } | Error }): number => {
  assert.ok(asked.outcome !== undefined && !(asked.outcome instanceof Error), String(asked.outcome));
  return asked.outcome.version;
};
/** Seconds within which start commands arrive that were in flight when a configuration version came into force. */
const ARRIVED_S = 1;

/** Asserts that no error was logged and no rule of the checker broken, except team limits, which the tests check themselves. */
function assertSound(cluster: Cluster): void {
  const { world } = cluster;
  const broken = findViolations(world.history, { ...world.limits(), teams: new Map() });
  assert.deepEqual([broken, world.errors], [[], []]);
}

/** Runs until `untilS` and asserts that a team's usage never rises above the limit; while it is still above, it may only fall. */
async function assertNeverExceeded(cluster: Cluster, team: string, limit: number, untilS: number): Promise<void> {
  let previous = Infinity;
  for (let at = cluster.world.clock.now() / 1000; at < untilS; at += 0.1) {
    await cluster.runUntil(at);
    const used = cluster.usedBy(team);
    assert.ok(used <= Math.max(limit, previous) + 1e-6, `${team} uses ${used} at ${at.toFixed(1)} s, ${previous} before, limit ${limit}`);
    previous = used;
  }
}

test("a lowered limit is in force within seconds and not exceeded afterwards; tasks above it end and are not started again", async () => {
  const cluster = new Cluster(plan(1));
  cluster.submit({ ref: "run-000001", team: "ops", tasks: 200, cpus: 2 }, 12, "nest-0");
  cluster.submit({ ref: "run-000002", team: "ops", tasks: 200, cpus: 2 }, 12, "nest-1");
  await cluster.runUntil(40);
  assert.ok(cluster.usedBy("ops") > 30, `${cluster.usedBy("ops")} CPUs`);
  const asked = cluster.set({ set: [{ ...ops, cpus_max: 12 }] });
  await cluster.runUntil(41);
  assert.ok((await cluster.waitUntilInForce(version(asked), 40, 20)) <= 6);
  await cluster.runUntil(cluster.world.clock.now() / 1000 + ARRIVED_S);
  await assertNeverExceeded(cluster, "ops", 12, 90);
  assert.ok(cluster.usedBy("ops") > 6, "the lower limit is used");
  assertSound(cluster);
  cluster.close();
});

test("a raised limit is usable at once", async () => {
  const cluster = new Cluster(plan(2));
  cluster.submit({ ref: "run-000001", team: "lab", tasks: 60, cpus: 2 }, 200, "nest-0");
  await cluster.runUntil(40);
  assert.equal(cluster.usedBy("lab"), 40);
  const asked = cluster.set({ set: [{ ...lab, cpus_max: 80 }] });
  await cluster.runUntil(52);
  version(asked);
  assert.equal(cluster.usedBy("lab"), 80);
  assertSound(cluster);
  cluster.close();
});

test("a limit is introduced where there was none, and removed again", async () => {
  const cluster = new Cluster({ ...plan(3), teams: [{ ...ops, cpus_max: 0 }, lab] });
  cluster.submit({ ref: "run-000001", team: "ops", tasks: 3000, cpus: 2 }, 10, "nest-0");
  await cluster.runUntil(30);
  const lowered = cluster.set({ set: [{ ...ops, cpus_max: 20 }] });
  await cluster.runUntil(31);
  assert.ok((await cluster.waitUntilInForce(version(lowered), 30, 20)) <= 6);
  await cluster.runUntil(cluster.world.clock.now() / 1000 + ARRIVED_S);
  await assertNeverExceeded(cluster, "ops", 20, 70);
  const raised = cluster.set({ set: [{ ...ops, cpus_max: 0 }] });
  await cluster.runUntil(90);
  version(raised);
  assert.ok(cluster.usedBy("ops") > 40, `${cluster.usedBy("ops")} CPUs`);
  assertSound(cluster);
  cluster.close();
});

test("an added team's jobs are accepted; a removed team's accepted jobs finish, and new ones are refused once the removal is in force", async () => {
  const cluster = new Cluster(plan(4));
  cluster.submit({ ref: "run-000001", team: "lab", tasks: 30, cpus: 2 }, 20, "nest-0");
  await cluster.runUntil(20);
  const asked = cluster.set({ set: [{ name: "new", cpus: 0, cpus_max: 10, gpus: 0, gpus_max: 0 }], remove: ["lab"] });
  await cluster.runUntil(21);
  assert.ok((await cluster.waitUntilInForce(version(asked), 20, 20)) <= 6);
  await cluster.runUntil(cluster.world.clock.now() / 1000 + 1);
  for (const [i, node] of ["nest-0", "nest-1", "nest-2"].entries()) {
    cluster.submit({ ref: `run-00001${i}`, team: "lab", tasks: 1 }, 5, node);
    cluster.submit({ ref: `run-00002${i}`, team: "new", tasks: 2 }, 5, node);
  }
  await cluster.runUntil(110);
  for (const i of [0, 1, 2]) {
    assert.deepEqual(cluster.submissionStatuses(`run-00001${i}`), ["refused"]);
    assert.equal(cluster.submissionStatuses(`run-00002${i}`)[0], "queued");
  }
  assert.equal(await polled(cluster, "run-000001"), "done");
  assert.equal(await polled(cluster, "run-000022"), "done");
  assertSound(cluster);
  cluster.close();
});

async function polled(cluster: Cluster, ref: string): Promise<string> {
  const asked = cluster.world.poll(ref, "nest-1");
  await cluster.runUntil(cluster.world.clock.now() / 1000 + 2);
  return asked;
}

test("a controller exits while a limit is lowered: the limit is in force once its partition is fenced, within six seconds", async () => {
  for (const seed of [5, 6, 7]) {
    const cluster = new Cluster(plan(seed, 4));
    for (const i of [0, 1, 2, 3]) cluster.submit({ ref: `run-00000${i}`, team: "ops", tasks: 100, cpus: 2 }, 15, `nest-${i}`);
    await cluster.runUntil(40);
    cluster.world.killController("nest-2");
    const asked = cluster.set({ set: [{ ...ops, cpus_max: 16 }] });
    await cluster.runUntil(40.5);
    const seconds = await cluster.waitUntilInForce(version(asked), 40, 30);
    assert.ok(seconds <= 6 && seconds > 1, `${seconds} s`);
    await cluster.runUntil(cluster.world.clock.now() / 1000 + ARRIVED_S);
    await assertNeverExceeded(cluster, "ops", 16, 80);
    cluster.world.startController("nest-2");
    await assertNeverExceeded(cluster, "ops", 16, 120);
    assertSound(cluster);
    cluster.close();
  }
});

test("with a controller cut off from the state service and its peers, a version is in force only once that controller is silent or fenced", async () => {
  const cluster = new Cluster(plan(8));
  for (const i of [0, 1, 2]) cluster.submit({ ref: `run-00000${i}`, team: "ops", tasks: 200, cpus: 2 }, 8, `nest-${i}`);
  await cluster.runUntil(40);
  const repairs = ["state", "nest-0", "nest-2"].map((to) => cluster.world.links.add({ from: "nest-1", to, effect: { kind: "cut" } }));
  const asked = cluster.set({ set: [{ ...ops, cpus_max: 12 }] });
  await cluster.runUntil(40.5);
  const early = await cluster.partitionStatusesOf(version(asked), 500);
  assert.ok(early.some(({ standing }) => standing !== "in force"));
  const seconds = await cluster.waitUntilInForce(version(asked), 40, 40);
  assert.ok(seconds <= 22.5, `${seconds} s`);
  await cluster.runUntil(cluster.world.clock.now() / 1000 + ARRIVED_S);
  await assertNeverExceeded(cluster, "ops", 12, 90);
  for (const end of repairs) end();
  await assertNeverExceeded(cluster, "ops", 12, 120);
  assertSound(cluster);
  cluster.close();
});

test("limits changed during quota transfers, cancellations, an outage, late transactions and a rolling restart come into force and are never exceeded", async () => {
  for (const seed of [11, 12, 13, 14]) {
    const cluster = new Cluster(plan(seed, 3));
    const { world } = cluster;
    for (const i of [0, 1, 2]) cluster.submit({ ref: `run-00000${i}`, team: "ops", tasks: 300, cpus: 2 }, 6, `nest-${i}`);
    cluster.submit({ ref: "run-000009", team: "ops", kind: "gang", tasks: 8, cpus: 2 }, 300, "nest-1");
    await cluster.runUntil(30);
    const late = world.links.add({
      from: "controllers",
      to: "state",
      what: "txn",
      share: 0.4,
      effect: { kind: "late", ms: 8000, leastMs: 2000 },
    });
    const lowered = cluster.set({ set: [{ ...ops, cpus_max: 24 }] });
    await cluster.runUntil(31);
    void world.cancel("run-000009", "nest-0");
    await cluster.runUntil(36);
    late();
    await cluster.runUntil(42);
    const first = version(lowered);
    assert.ok((await cluster.waitUntilInForce(first, 30, 30)) < 30);
    await cluster.runUntil(world.clock.now() / 1000 + ARRIVED_S);
    await assertNeverExceeded(cluster, "ops", 24, 62);
    world.state.outage = true;
    await assertNeverExceeded(cluster, "ops", 24, 66);
    world.state.outage = false;
    for (const [i, name] of ["nest-0", "nest-1", "nest-2"].entries()) {
      world.killController(name);
      await assertNeverExceeded(cluster, "ops", 24, 70 + i * 8);
      world.startController(name);
      await assertNeverExceeded(cluster, "ops", 24, 74 + i * 8);
    }
    const raised = cluster.set({ set: [{ ...ops, cpus_max: 50 }] });
    await cluster.runUntil(105);
    assert.equal(version(raised), first + 1);
    assert.ok(cluster.usedBy("ops") > 24, `${cluster.usedBy("ops")} CPUs`);
    assertSound(cluster);
    cluster.close();
  }
});

test("a job that could not run under a prepared change is not accepted until the change is decided, and an undecided change is abandoned", async () => {
  const cluster = new Cluster(plan(15));
  await cluster.runUntil(15);
  // The operator's client is cut off from the state service after its first write, which prepares the change.
  const cut = cluster.world.links.add({ from: "operator", to: "state", what: "range", effect: { kind: "cut" } });
  cut();
  let writes = 0;
  cluster.world.observations$.subscribe(({ node, what }) => {
    if (node === "operator" && what === "txn" && ++writes === 1)
      cluster.world.links.add({ from: "operator", to: "state", effect: { kind: "cut" } });
  });
  cluster.set({ set: [{ ...ops, cpus_max: 8 }] });
  await cluster.runUntil(17);
  cluster.submit({ ref: "run-000001", team: "ops", kind: "gang", tasks: 10, cpus: 2 }, 5, "nest-0");
  cluster.submit({ ref: "run-000002", team: "ops", kind: "gang", tasks: 4, cpus: 2 }, 5, "nest-0");
  await cluster.runUntil(25);
  assert.deepEqual(cluster.submissionStatuses("run-000001"), []);
  assert.equal(cluster.submissionStatuses("run-000002")[0], "queued");
  await cluster.runUntil(75);
  assert.equal(cluster.submissionStatuses("run-000001")[0], "queued");
  assertSound(cluster);
  cluster.close();
});
