import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { DEFAULT_LIMITS } from "../src/admission.js";
import { Cluster, task, withClient } from "./cluster.js";

/** Size of an output that is stored at its executor, in bytes. */
const LARGE_BYTES = 1000;

test("each task of a fan-out of 10,000 with a reduction runs once, and releasing the outputs removes all state", () => {
  const { cluster, machine } = withClient();
  for (let i = 0; i < 8; i++) cluster.attach(4);
  const keys = Array.from({ length: 10_000 }, (_, i) => `m${i}`);
  for (const key of keys) assert.equal(machine.submit("c", task(key)), null);
  assert.equal(
    machine.submit(
      "c",
      task(
        "sum",
        keys.map((key) => `${key}:0`),
      ),
    ),
    null,
  );
  machine.watch("c", 1, ["sum:0"]);
  cluster.finishAll();
  assert.equal(cluster.finals.size, 10_001);
  assert.ok([...cluster.runs.values()].every((n) => n === 1));
  assert.deepEqual(cluster.completedWatches.get("c/1"), ["sum:0"]);
  for (const key of [...keys, "sum"]) machine.release("c", `${key}:0`);
  assert.deepEqual({ ...machine.counts, executors: 0 }, { tasks: 0, objects: 0, ready: 0, executors: 0, open: 0 });
  assert.deepEqual(cluster.violations, []);
});

test("losing the only copy of an input of 1,000 tasks recomputes it once, and nothing that still exists", () => {
  const { cluster, machine } = withClient();
  const first = cluster.attach(1);
  machine.submit("c", task("root"));
  machine.submit("c", task("base", ["root:0"]));
  machine.dispatch();
  cluster.end([...cluster.leases.keys()][0]!);
  cluster.end([...cluster.leases.keys()][0]!, LARGE_BYTES);
  for (let i = 0; i < 1000; i++) machine.submit("c", task(`n${i}`, ["base:0"]));
  cluster.attach(4);
  machine.dispatch();
  cluster.lose(first);
  cluster.finishAll(LARGE_BYTES);
  assert.equal(cluster.finals.size, 1002);
  assert.ok([...cluster.finals.values()].every(({ kind }) => kind === "done"));
  assert.equal(cluster.runs.get("base"), 2);
  assert.equal(cluster.runs.get("root"), 1, "its value is kept inline in the graph machine");
  assert.deepEqual(cluster.violations, []);
});

test("a chain of large values lost with its executors is recomputed from the beginning", () => {
  const { cluster, machine } = withClient();
  const [one, two] = [cluster.attach(1), cluster.attach(1)];
  for (let i = 0; i < 6; i++) machine.submit("c", task(`t${i}`, i === 0 ? [] : [`t${i - 1}:0`]));
  cluster.finishAll(LARGE_BYTES);
  for (let i = 0; i < 5; i++) machine.release("c", `t${i}:0`);
  assert.equal(machine.counts.tasks, 6, "kept for recomputation");
  cluster.lose(one);
  cluster.lose(two);
  cluster.attach(1);
  assert.equal(machine.watch("c", 1, ["t5:0"]), true);
  cluster.finishAll(LARGE_BYTES);
  assert.deepEqual(cluster.completedWatches.get("c/1"), ["t5:0"]);
  assert.ok([...cluster.runs.values()].every((n) => n === 2));
  machine.release("c", "t5:0");
  assert.equal(machine.counts.tasks + machine.counts.objects, 0);
  assert.deepEqual(cluster.violations, []);
});

test("a task that crashes every executor fails once its retries are used up, and so do the tasks that depend on it", () => {
  const { cluster, machine } = withClient();
  machine.submit("c", task("poison", [], { retries: 2 }));
  machine.submit("c", task("after", ["poison:0"]));
  machine.submit("c", task("beside"));
  for (let i = 0; i < 5; i++) {
    const name = cluster.attach(4);
    for (const [lease, { task: leased }] of [...cluster.leases]) if (leased.key === "beside") cluster.end(lease);
    if ([...cluster.leases.values()].some(({ task: leased }) => leased.key === "poison")) cluster.lose(name);
  }
  assert.deepEqual(cluster.finals.get("poison"), { kind: "failed", why: "executor-lost", message: "e3" });
  assert.equal(cluster.finals.get("after")?.kind, "failed");
  assert.equal(cluster.finals.get("beside")?.kind, "done");
  assert.equal(cluster.runs.get("poison"), 3);
});

test("cancelling a running task decides its outcome, its result is deleted, and its executor stays busy until it ends", () => {
  const { cluster, machine } = withClient();
  cluster.attach(1);
  machine.submit("c", task("a"));
  machine.submit("c", task("b", ["a:0"]));
  machine.submit("c", task("other"));
  machine.dispatch();
  const [lease] = [...cluster.leases].find(([, { task: leased }]) => leased.key === "a")!;
  assert.equal(machine.cancel("a"), true);
  assert.equal(machine.cancel("a"), false);
  assert.deepEqual(cluster.finals.get("a"), { kind: "cancelled" });
  assert.equal(cluster.finals.get("b")?.kind, "failed", "its output will never be available");
  cluster.end(lease, LARGE_BYTES);
  cluster.finishAll();
  assert.equal(cluster.finals.get("other")?.kind, "done");
  for (const key of ["a", "b", "other"]) machine.release("c", `${key}:0`);
  assert.equal(machine.counts.tasks + machine.counts.objects, 0);
  assert.deepEqual(
    [...cluster.stored.values()].flatMap((keys) => [...keys]),
    [],
  );
});

test("a cancelled task does not run again when its executor is lost", () => {
  const { cluster, machine } = withClient();
  const name = cluster.attach(1);
  machine.submit("c", task("a"));
  machine.dispatch();
  machine.cancel("a");
  cluster.lose(name);
  cluster.attach(1);
  cluster.finishAll();
  assert.equal(cluster.runs.get("a"), 1);
  machine.release("c", "a:0");
  assert.equal(machine.counts.tasks, 0);
});

test("a client's value is kept as long as an object derived from it may have to be recomputed", () => {
  const { cluster, machine } = withClient();
  const name = cluster.attach(1);
  assert.equal(machine.put("c", "p", "value"), true);
  assert.equal(machine.put("c", "p", "other"), false);
  machine.submit("c", task("a", ["p"]));
  machine.release("c", "p");
  cluster.finishAll(LARGE_BYTES);
  cluster.lose(name);
  cluster.attach(1);
  machine.watch("c", 1, ["a:0"]);
  cluster.finishAll(LARGE_BYTES);
  assert.equal(machine.objectStatus("a:0")?.available, true);
  assert.equal(cluster.runs.get("a"), 2);
  machine.release("c", "a:0");
  assert.equal(machine.counts.objects, 0);
});

test("a late result under a lease that is no longer valid changes nothing", () => {
  const { cluster, machine } = withClient();
  const name = cluster.attach(1);
  machine.submit("c", task("a"));
  machine.dispatch();
  const [lease] = [...cluster.leases.keys()];
  cluster.lose(name);
  cluster.attach(1);
  machine.done(name, lease!, [{ bytes: 1, inline: "late" }], 1);
  assert.equal(cluster.finals.size, 0);
  assert.equal(machine.stats.staleReports, 1);
  cluster.finishAll();
  assert.equal(machine.objectStatus("a:0")?.inline, "a:0=x");
});

test("malformed tasks, unknown inputs, duplicate keys and excess tasks are rejected with a reason, and leave no state", () => {
  const { cluster, machine } = withClient({ limits: { ...DEFAULT_LIMITS, openPerClient: 3 } });
  machine.join("d");
  assert.deepEqual(machine.submit("c", task("a", ["b:0"])), { why: "unknown-object", detail: "b:0" });
  assert.equal(machine.submit("c", task("a", [], { cpus: NaN }))?.why, "malformed");
  assert.match(machine.submit("c", task("a", [], { returns: -1 }))!.detail, /^returns: expected/);
  assert.equal(machine.counts.tasks + machine.counts.objects, 0);
  for (const key of ["a", "b", "c"]) assert.equal(machine.submit("c", task(key)), null);
  assert.equal(machine.submit("c", task("a"))?.why, "known-key");
  const busy = machine.submit("c", task("d"));
  assert.ok(busy?.why === "busy" && busy.retryAfterMs >= 100);
  assert.equal(machine.submit("d", task("e")), null, "the limit of one client does not affect others");
  cluster.attach(1);
  cluster.finishAll();
  assert.equal(machine.submit("c", task("d")), null);
});

test("clients share the executors by weight, even if one of them floods the queue", () => {
  const cluster = new Cluster();
  const { machine } = cluster;
  machine.join("flood");
  for (let i = 0; i < 5000; i++) machine.submit("flood", task(`f${i}`));
  cluster.attach(2);
  for (let i = 0; i < 200; i++) cluster.end([...cluster.leases.keys()][0]!);
  machine.join("small", 2);
  for (let i = 0; i < 300; i++) machine.submit("small", task(`s${i}`));
  const before = cluster.finals.size;
  for (let i = 0; i < 300; i++) cluster.end([...cluster.leases.keys()][0]!);
  const small = [...cluster.finals.keys()].slice(before).filter((key) => key.startsWith("s")).length;
  assert.ok(small > 180 && small < 215, `${small} of 300 should be two thirds`);
});

test("the head of a long chain runs first, and a task runs where its large input is stored", () => {
  const { cluster, machine } = withClient({ targetBacklogMs: 0 });
  for (let i = 0; i < 10; i++) machine.submit("c", task(`w${i}`));
  machine.submit("c", task("head"));
  for (let i = 0; i < 5; i++) machine.submit("c", task(`l${i}`, [i === 0 ? "head:0" : `l${i - 1}:0`]));
  const one = cluster.attach(1);
  assert.equal([...cluster.leases.values()][0]?.task.key, "head");
  cluster.attach(1);
  cluster.end([...cluster.leases.keys()][0]!, LARGE_BYTES);
  const next = [...cluster.leases.values()].find(({ task: asked }) => asked.key === "l0");
  assert.equal(next?.executor, one);
});

test("an idle executor receives tasks recalled from the backlog of another one", () => {
  const { cluster, machine } = withClient({ targetBacklogMs: 1000 });
  cluster.attach(1);
  for (let i = 0; i < 20; i++) machine.submit("c", task(`t${i}`));
  machine.dispatch();
  assert.ok(cluster.leases.size >= 10, "it has a backlog");
  const second = cluster.attach(1);
  for (let i = 0; i < 20; i++) for (const [lease, { executor }] of [...cluster.leases]) if (executor === second) cluster.end(lease);
  assert.ok(cluster.recalls.length > 0);
  for (const lease of cluster.recalls.splice(0)) cluster.returnTask(lease);
  assert.ok([...cluster.leases.values()].some(({ executor }) => executor === second));
  cluster.finishAll();
  assert.ok([...cluster.finals.values()].every(({ kind }) => kind === "done"));
  assert.deepEqual(cluster.violations, []);
});

test("repeated waits with a time limit over 10,000 objects report the settled objects", () => {
  const { cluster, machine } = withClient();
  const keys = Array.from({ length: 10_000 }, (_, i) => `t${i}`);
  for (const key of keys) machine.submit("c", task(key));
  cluster.attach(1);
  const objects = keys.map((key) => `${key}:0`);
  for (let request = 0; request < 20; request++) {
    cluster.end([...cluster.leases.keys()][0]!);
    assert.equal(machine.watch("c", request, objects), true);
    machine.expire("c", request);
    assert.equal(cluster.completedWatches.get(`c/${request}`)?.length, request + 1);
  }
  assert.equal(machine.watch("c", 99, ["nothing"]), false);
});

/** One random step of a test: an action on the scheduler (`GraphMachine`), and two numbers that select its operands. */
interface Step {
  what: "submit" | "end" | "fail" | "lose" | "attach" | "cancel" | "release" | "put" | "watch" | "leave" | "giveBack" | "drain";
  a: number;
  b: number;
}

test("random sequences: one outcome per task, no task runs twice at once or without its inputs, and references balance", () => {
  const step: fc.Arbitrary<Step> = fc.record({
    what: fc.constantFrom("submit", "submit", "submit", "submit", "submit", "end", "end", "end", "end", "end", "end", "fail", "lose", "lose", "attach", "attach", "cancel", "release", "put", "watch", "leave", "giveBack", "drain"), // prettier-ignore
    a: fc.nat(1000),
    b: fc.nat(1000),
  });
  fc.assert(
    fc.property(fc.array(step, { minLength: 40, maxLength: 250 }), (steps) => {
      const cluster = new Cluster();
      const { machine } = cluster;
      const clients = ["c", "d"];
      for (let i = 0; i < 3; i++) cluster.attach(2);
      for (const name of clients) machine.join(name);
      const submitted: string[] = [];
      const objects: string[] = [];
      const refs: { client: string; key: string }[] = [];
      let requests = 0;
      const pick = <T>(list: readonly T[], n: number): T | undefined => list[n % Math.max(1, list.length)];
      for (const { what, a, b } of steps) {
        cluster.now += 10;
        const client = clients[a % 2]!;
        const lease = pick([...cluster.leases.keys()], a);
        if (what === "submit") {
          const needs = [pick(objects.slice(-8), a), pick(objects, b)].filter((key) => key !== undefined);
          const asked = task(`t${submitted.length}`, needs.slice(0, a % 3), {
            returns: b % 5 === 0 ? 0 : 1 + (b % 2),
            retries: a % 4,
            retryErrors: b % 2 === 0,
            cpus: 1 + (b % 2),
          });
          if (machine.submit(client, asked) !== null) continue;
          submitted.push(asked.key);
          for (let i = 0; i < asked.returns; i++) {
            objects.push(`${asked.key}:${i}`);
            refs.push({ client, key: `${asked.key}:${i}` });
          }
        } else if (what === "put") {
          const key = `p${objects.length}`;
          machine.put(client, key, "v");
          objects.push(key);
          refs.push({ client, key });
        } else if (what === "end" && lease !== undefined) cluster.end(lease, b % 4 === 0 ? 10 : LARGE_BYTES);
        else if (what === "fail" && lease !== undefined) cluster.fail(lease);
        else if (what === "giveBack" && lease !== undefined) cluster.returnTask(lease);
        else if (what === "lose") {
          const name = pick([...cluster.alive], a);
          if (name !== undefined) cluster.lose(name);
        } else if (what === "drain") {
          const name = pick([...cluster.alive], a);
          if (name !== undefined && cluster.alive.size > 1) machine.drain(name);
        } else if (what === "attach" && cluster.alive.size < 5) cluster.attach(1 + (a % 3));
        else if (what === "cancel") machine.cancel(pick(submitted, a) ?? "");
        else if (what === "release" && refs.length > 0) {
          const [one] = refs.splice(a % refs.length, 1);
          machine.release(one!.client, one!.key);
        } else if (what === "watch") {
          const key = pick(objects, a);
          if (key !== undefined && machine.watch(client, ++requests, [key, pick(objects, b)!], 1 + (b % 2))) void 0;
        } else if (what === "leave" && a % 10 === 0) {
          machine.leave("d");
          machine.join("d");
          for (let i = refs.length - 1; i >= 0; i--) if (refs[i]!.client === "d") refs.splice(i, 1);
        }
        machine.dispatch();
        assert.deepEqual(cluster.violations, []);
      }
      // Finally an executor large enough for every task is attached, and no more faults occur.
      cluster.attach(4);
      cluster.finishAll();
      assert.deepEqual(cluster.violations, []);
      assert.deepEqual(
        submitted.filter((key) => !cluster.finals.has(key)),
        [],
        "each task has its outcome",
      );
      assert.equal(machine.counts.ready, 0);
      assert.equal(machine.counts.open, 0);
      for (const { client, key } of refs) machine.release(client, key);
      for (const client of clients) machine.leave(client);
      assert.deepEqual([machine.counts.tasks, machine.counts.objects], [0, 0], "references balance");
      assert.deepEqual(
        [...cluster.stored.values()].flatMap((keys) => [...keys]),
        [],
        "executors hold no objects",
      );
    }),
    { numRuns: Number(process.env["DRAWS"] ?? 400), seed: Number(process.env["SEED"] ?? 1) },
  );
});
