import assert from "node:assert/strict";
import { test } from "node:test";
import { loadPlan, defaultWorldOptions, runVirtual, VirtualWorld, type RehearsalPlan } from "@thorntrail/emulator/entry";
import { decodeFault } from "@thorntrail/emulator/faults";
import { VirtualClock } from "@thorntrail/emulator/virtual/clock";
import type { ReportedTask } from "@thorntrail/protocol/worker";
import fc from "fast-check";
import { NEVER, Subject } from "rxjs";
import { keys, type OwnerRecord } from "../src/ledger/records.js";
import type { Jobs } from "../src/intake/jobs.js";
import { Relay } from "../src/intake/relay.js";
import { precedingEarlyExits, restartBackoffMs, presenceRecord } from "../src/membership/restart-backoff.js";
import type { Message } from "../src/peers/messages.js";
import type { Log } from "../src/platform/log.js";
import { Scope } from "../src/platform/scope.js";
import { injectionPointOf } from "../src/rehearsal/injection-points.js";
import { spawnController } from "../src/rehearsal/spawn-controller.js";
import { runSchedulingCycle } from "../src/queue/scheduling-cycle.js";
import type { Settings } from "../src/settings/derived.js";
import { newFindings } from "../src/workers/findings.js";
import { applyReport } from "../src/workers/report-intake.js";
import { NOW, partitionOf, schedulingContext, enqueue, specOf } from "./world/partitions.js";

const base = await loadPlan("deploy/rehearsal.hcl");

type FaultFields = Record<string, unknown>;
const seconds = (min: number, max: number): fc.Arbitrary<number> => fc.double({ min, max, noNaN: true });
const faultFields = (fields: Record<string, fc.Arbitrary<unknown> | string>): fc.Arbitrary<FaultFields> =>
  fc.record(Object.fromEntries(Object.entries(fields).map(([k, v]) => [k, typeof v === "string" ? fc.constant(v) : v])));

/** Random lists of times and faults: controllers that end and restart at once, delayed messages, lost machines, and outages. */
const randomFaults = fc.array(
  fc.tuple(
    seconds(4, 70),
    fc.oneof(
      {
        weight: 6,
        arbitrary: faultFields({ kind: "restart", target: fc.constantFrom("leader", "all", "nest-0", "nest-1"), for: seconds(0.05, 1.2) }),
      },
      {
        weight: 2,
        arbitrary: faultFields({
          kind: "late",
          target: "all",
          by: "state",
          what: "txn",
          count: fc.integer({ min: 1, max: 3 }),
          ms: fc.integer({ min: 100, max: 20_000 }),
        }),
      },
      faultFields({
        kind: "late",
        target: "all",
        by: "cloud",
        what: fc.constantFrom("hire", "remove"),
        ms: fc.integer({ min: 500, max: 20_000 }),
      }),
      faultFields({ kind: "cut", from: fc.constantFrom("state", "workers"), for: seconds(1, 25) }),
      faultFields({ kind: "cut-machine", for: seconds(1, 25) }),
      faultFields({ kind: "delay", target: "all", to: "workers", ms: fc.integer({ min: 500, max: 9000 }), for: seconds(1, 4) }),
      faultFields({ kind: "lose" }),
      faultFields({ kind: "outage", of: "state", for: seconds(1, 10) }),
    ),
  ),
  { minLength: 3, maxLength: 12 },
);

function planWith(faults: [number, FaultFields][]): RehearsalPlan {
  const fault = faults.map(([at, one]) => {
    const decoded = decodeFault(one);
    if ("wrong" in decoded) throw new Error(decoded.wrong);
    return { at, fault: decoded.fault };
  });
  return { ...base, fault };
}

test("with controllers that end and restart at once at any time, no rule is broken and every job finishes", async () => {
  await fc.assert(
    fc.asyncProperty(randomFaults, fc.nat(1000), async (faults, seed) => {
      const report = await runVirtual({ plan: planWith(faults), seed, spawn: spawnController, injectionPointOf });
      assert.deepEqual([report.broken, report.jobs.unfinished], [[], []]);
    }),
    { numRuns: 15, seed: 34 },
  );
});

test("orders are sent only by the incarnation that claimed the partition", async () => {
  /** Incarnations that claimed each partition, by the claim's revision. */
  const claims = new Map<number, Map<number, string>>();
  const sent: { partition: number; token: number; incarnation: string }[] = [];
  const spawn: typeof spawnController = (request) => {
    const recordSent = (host: string, token: number): void => {
      const owned = [...controller.leader.partitions.values()].find(({ machines }) => machines.has(host));
      assert.ok(owned !== undefined, `orders to ${host}, which is in no owned partition`);
      sent.push({ partition: owned.id, token, incarnation: request.incarnation });
    };
    const { command } = request.workers;
    const controller = spawnController({
      ...request,
      workers: {
        command: (addr, token, session, orders) => {
          // A probe has the lowest token and no orders.
          if (token > 0) recordSent(addr, token);
          return command(addr, token, session, orders);
        },
      },
    });
    controller.replica.changes$.subscribe((key) => {
      if (!key.startsWith(keys.owners)) return;
      const claim = controller.replica.get<OwnerRecord>(key);
      const partition = Number(key.slice(keys.owners.length));
      if (claim !== undefined) claims.set(partition, (claims.get(partition) ?? new Map<number, string>()).set(claim.stamp, claim.v.life));
    });
    const { onReport } = controller;
    controller.onReport = (report) => {
      const answer = onReport(report);
      if (answer.kind === "orders") recordSent(report.host, answer.token);
      return answer;
    };
    return controller;
  };
  const faults = [12, 14, 20, 21, 22, 30].map((at): [number, FaultFields] => [at, { kind: "restart", target: "all", for: 0.1 }]);
  const report = await runVirtual({ plan: planWith([...faults, [13, { kind: "lose" }]]), seed: 3, spawn, injectionPointOf });
  assert.deepEqual([report.broken, report.jobs.unfinished], [[], []]);
  assert.ok(sent.length > 100);
  let raised = 0;
  for (const { partition, token, incarnation } of sent) {
    const stamps = [...claims.get(partition)!.keys()].filter((stamp) => stamp <= token);
    assert.equal(claims.get(partition)!.get(Math.max(...stamps)), incarnation, `partition ${partition}, token ${token}`);
    if (!stamps.includes(token)) raised++;
  }
  assert.ok(raised > 0, "some tokens were raised above the term");
});

test("duplicate and late reports of a worker that was briefly down have the effect of the newest one", () => {
  const states = ["fetching", "running", "exited"] as const;
  const report = fc.record({ session: fc.integer({ min: 1, max: 2 }), seq: fc.integer({ min: 1, max: 12 }) });
  fc.assert(
    fc.property(fc.array(report, { minLength: 1, maxLength: 40 }), (reports) => {
      const { partition } = partitionOf(1, { cpus: 16, gpus: 0, ram: 64 });
      const taskSet = enqueue(partition, specOf({ ref: "run-000001", tasks: 1 }));
      runSchedulingCycle(partition, schedulingContext);
      const machine = [...partition.machines.values()][0]!;
      const [placement] = [...taskSet.placements.values()];
      placement!.directStart = "answered";
      let newest = { session: machine.session, seq: machine.seq };
      let finished = 0;
      for (const one of reports) {
        // In the worker's first session, the task's state advances with the report's sequence number. The second session has no task.
        const state = states[Math.min(2, Math.floor(one.seq / 4))]!;
        const cause = state === "exited" ? "done" : null;
        const task: ReportedTask = { taskId: "run-000001/0", attempt: placement!.attempt, state, cause, saved: false };
        const tasks = one.session === 1 ? [task] : [];
        const newer = one.session > newest.session || (one.session === newest.session && one.seq > newest.seq);
        const findings = newFindings();
        const seen = { host: machine.host, addr: "a:1", type: "m", zone: "a", spot: false, token: 5, noticeS: null, ...one, tasks };
        const context = {
          now: NOW,
          viaReport: true,
          leaseMs: 18_000,
          coolMs: 2500,
          placeholderFor: () => taskSet,
        };
        assert.equal(applyReport(partition, machine, seen, context, findings), newer);
        finished += findings.finished.size;
        if (newer) newest = one;
        assert.ok(finished <= 1, "counted as done twice");
        if (!newer) assert.equal(findings.changed || findings.ended.length > 0, false);
        const onMachine = machine.placements.size > 0;
        if (newer && one.session === 2) assert.equal(onMachine, false);
        if (newer && state === "exited" && one.session === 1) assert.ok(taskSet.done.has(0) && !onMachine);
        assert.equal(taskSet.waiting.length + taskSet.placements.size + taskSet.done.count, 1, "the task is in exactly one state");
      }
    }),
    { seed: 5, numRuns: 300 },
  );
});

test("a new incarnation that continued under its predecessor's term would be detected", async () => {
  // Faulty variant: a restarted controller keeps its incarnation, so it takes its predecessor's owner record for its own.
  // Violated invariants do not end the rehearsal, because the broken rules are to be seen.
  const spawn: typeof spawnController = (request) =>
    spawnController({ ...request, incarnation: String(request.platform["host_name"]) }, undefined, undefined, { strictInvariants: false });
  const plan = planWith(
    [12, 16, 20, 24, 28, 32].flatMap((at): [number, FaultFields][] => [
      [at, { kind: "delay", target: "all", to: "workers", ms: 6000, for: 2 }],
      [at + 2, { kind: "restart", target: "all", for: 0.1 }],
    ]),
  );
  let found = 0;
  for (let seed = 1; seed <= 6; seed++) {
    const report = await runVirtual({ plan, seed, spawn, injectionPointOf });
    if (report.broken.length + report.jobs.unfinished.length > 0) found++;
  }
  assert.ok(found > 0, "six rehearsals under former terms, none of which broke a rule or left a job unfinished");
});

test("consecutive incarnations that end early are counted; one that lives longer resets the count", () => {
  assert.equal(precedingEarlyExits(undefined), 0);
  assert.equal(precedingEarlyExits({ life: "a" }), 0, "record of a long-lived incarnation, or of a version that does not count");
  let record = presenceRecord("l0", false, 0, true);
  for (let n = 1; n <= 5; n++) {
    assert.equal(precedingEarlyExits(record), n);
    record = presenceRecord(`l${n}`, false, precedingEarlyExits(record), true);
  }
  assert.equal(precedingEarlyExits(presenceRecord("l5", false, 5, false)), 0);
  fc.assert(
    fc.property(fc.nat(100), fc.integer({ min: 1, max: 60_000 }), (ends, leaseMs) => {
      assert.ok(restartBackoffMs(ends, leaseMs) <= restartBackoffMs(ends + 1, leaseMs));
      assert.ok(restartBackoffMs(ends, leaseMs) <= leaseMs * 2);
      assert.equal(restartBackoffMs(ends, leaseMs) > 0, ends > 2);
    }),
    { seed: 1 },
  );
});

test("a peer's answer to a request of a former incarnation is ignored, even on a new connection", async () => {
  const clock = new VirtualClock();
  const incoming$ = new Subject<{ from: string; message: Message }>();
  const startIncarnation = (incarnation: string): { relay: Relay; asked: { to: string; id: number }[] } => {
    const asked: { to: string; id: number }[] = [];
    const send = (to: string, message: Message): boolean => {
      if ("Relay" in message) asked.push({ to, id: message.Relay.id });
      return true;
    };
    const slow = { poll: () => new Promise(() => undefined) } as unknown as Jobs;
    const scope = new Scope(Object.assign(clock, { stall$: NEVER }), {} as Log);
    const settings = { timing: { stateTimeoutMs: 2000 } } as Settings;
    const relay = new Relay(settings, slow, { incoming$, send }, () => ["nest-1", "nest-2"], scope, incarnation);
    relay.start();
    return { relay, asked };
  };
  const body = (ref: string): string => JSON.stringify({ ref, status: "done" });
  const former = startIncarnation("former");
  void former.relay.answer("poll", "run-000001");
  await clock.run(500);
  const present = startIncarnation("present");
  const answer = present.relay.answer("poll", "run-000002");
  await clock.run(1000);
  const [old, own] = [former.asked[0]!, present.asked[0]!];
  const relayed = (from: string, id: number, ref: string): void =>
    incoming$.next({ from, message: { Relayed: { id, status: 200, body: body(ref), retryAfterS: 0 } } });
  relayed(old.to, old.id, "run-000001");
  relayed(own.to === "nest-1" ? "nest-2" : "nest-1", own.id, "run-000003");
  relayed(own.to, own.id, "run-000002");
  assert.deepEqual((await answer).body, { ref: "run-000002", status: "done" });
});

test("a relayed message that is no valid request or of an unknown kind is ignored and logged, and cancels nothing", async () => {
  const incoming$ = new Subject<{ from: string; message: Message }>();
  const calls: string[] = [];
  const loggedReasons: unknown[] = [];
  const jobs = { poll: async () => (calls.push("poll"), { status: 200, body: {} }), cancel: async () => calls.push("cancel") };
  const log = { warn: (line: { what: string }) => void loggedReasons.push(line.what) } as unknown as Log;
  const scope = new Scope(Object.assign(new VirtualClock(), { stall$: NEVER }), log);
  const settings = { timing: { stateTimeoutMs: 2000 } } as Settings;
  new Relay(settings, jobs as unknown as Jobs, { incoming$, send: () => true }, () => [], scope, "l").start();
  const sendRelay = (kind: string, body: string): void => incoming$.next({ from: "nest-1", message: { Relay: { id: 1, kind, body } } });
  sendRelay("drain", '"run-000001"');
  sendRelay("poll", "{");
  sendRelay("poll", '"run-000001"');
  await Promise.resolve();
  assert.deepEqual([calls, loggedReasons], [["poll"], ["kind drain", "not JSON"]]);
});

test("a node that renews its presence far more often than needed keeps its presence key", async () => {
  // Guards against presence records whose state-service lease seemed to be extended by each renewal but never was.
  const world = new VirtualWorld(defaultWorldOptions(), spawnController);
  for (const name of world.nodes.keys()) world.startController(name);
  await world.clock.run(5000);
  const { presence } = world.nodes.get("nest-0")!.controller!;
  for (let at = 5000; at < 45_000; at += 400) {
    void presence.renew();
    await world.clock.run(at);
    for (const node of world.nodes.values()) assert.ok(node.controller!.presence.isPresent("nest-0"), `gone at ${at} ms`);
  }
  assert.equal(world.logMessages.filter((line) => line === "part taken").length, 3);
  for (const name of world.nodes.keys()) world.killController(name);
});
