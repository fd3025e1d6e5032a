import assert from "node:assert/strict";
import { test } from "node:test";
import { loadPlan, plainPlan, playVirtual, World, type RehearsalPlan } from "@thorntrail/emulator/entry";
import { decodeFault } from "@thorntrail/emulator/faults";
import { VirtualClock } from "@thorntrail/emulator/virtual/clock";
import type { ReportedTask } from "@thorntrail/protocol/worker";
import fc from "fast-check";
import { NEVER, Subject } from "rxjs";
import { keys, type OwnerRecord } from "../src/ledger/records.js";
import type { Jobs } from "../src/intake/jobs.js";
import { Relay } from "../src/intake/relay.js";
import { endsBefore, restMs, shown } from "../src/membership/returns.js";
import type { Message } from "../src/peers/messages.js";
import type { Log } from "../src/platform/log.js";
import { Scope } from "../src/platform/scope.js";
import { momentOf } from "../src/rehearsal/moments.js";
import { spawnController } from "../src/rehearsal/spawn.js";
import { runPass } from "../src/queue/pass.js";
import type { Settings } from "../src/settings/derived.js";
import { newFindings, takeReport } from "../src/workers/report-intake.js";
import { NOW, partOf, pass, queueUp, specOf } from "./world/parts.js";

const base = await loadPlan("deploy/rehearsal.hcl");

type Raw = Record<string, unknown>;
const seconds = (min: number, max: number): fc.Arbitrary<number> => fc.double({ min, max, noNaN: true });
const raw = (fields: Record<string, fc.Arbitrary<unknown> | string>): fc.Arbitrary<Raw> =>
  fc.record(Object.fromEntries(Object.entries(fields).map(([k, v]) => [k, typeof v === "string" ? fc.constant(v) : v])));

/** Controllers that end and are back at once, late copies of what they sent, and machines that go with them. */
const drawn = fc.array(
  fc.tuple(
    seconds(4, 70),
    fc.oneof(
      {
        weight: 6,
        arbitrary: raw({ kind: "restart", target: fc.constantFrom("leader", "all", "nest-0", "nest-1"), for: seconds(0.05, 1.2) }),
      },
      {
        weight: 2,
        arbitrary: raw({
          kind: "late",
          target: "all",
          by: "state",
          what: "txn",
          count: fc.integer({ min: 1, max: 3 }),
          ms: fc.integer({ min: 100, max: 20_000 }),
        }),
      },
      raw({ kind: "late", target: "all", by: "cloud", what: fc.constantFrom("hire", "remove"), ms: fc.integer({ min: 500, max: 20_000 }) }),
      raw({ kind: "cut", from: fc.constantFrom("state", "workers"), for: seconds(1, 25) }),
      raw({ kind: "cut-machine", for: seconds(1, 25) }),
      raw({ kind: "delay", target: "all", to: "workers", ms: fc.integer({ min: 500, max: 9000 }), for: seconds(1, 4) }),
      raw({ kind: "lose" }),
      raw({ kind: "outage", of: "state", for: seconds(1, 10) }),
    ),
  ),
  { minLength: 3, maxLength: 12 },
);

function planWith(faults: [number, Raw][]): RehearsalPlan {
  const fault = faults.map(([at, one]) => {
    const decoded = decodeFault(one);
    if ("wrong" in decoded) throw new Error(decoded.wrong);
    return { at, fault: decoded.fault };
  });
  return { ...base, fault };
}

test("whenever controllers end and are back at once, no rule breaks and every job comes to its end", async () => {
  await fc.assert(
    fc.asyncProperty(drawn, fc.nat(1000), async (faults, seed) => {
      const report = await playVirtual({ plan: planWith(faults), seed, spawn: spawnController, momentOf });
      assert.deepEqual([report.broken, report.jobs.unfinished], [[], []]);
    }),
    { numRuns: 15, seed: 34 },
  );
});

test("orders come only from a life that claimed the part itself", async () => {
  let answers = 0;
  const spawn: typeof spawnController = (asked) => {
    const controller = spawnController(asked);
    const { onReport } = controller;
    controller.onReport = (report) => {
      const answer = onReport(report);
      if (answer.kind !== "orders") return answer;
      answers++;
      const claims = controller.settings.nodes.map((_, part) => controller.mirror.get<OwnerRecord>(keys.owner(part)));
      const claim = claims.find((entry) => entry?.stamp === answer.token);
      assert.deepEqual([claim?.v.life, claim?.v.owner], [asked.life, asked.platform["host_name"]]);
      return answer;
    };
    return controller;
  };
  const faults = [12, 14, 20, 21, 22, 30].map((at): [number, Raw] => [at, { kind: "restart", target: "all", for: 0.1 }]);
  const report = await playVirtual({ plan: planWith([...faults, [13, { kind: "lose" }]]), seed: 3, spawn, momentOf });
  assert.deepEqual([report.broken, report.jobs.unfinished], [[], []]);
  assert.ok(answers > 100);
});

test("reports of a worker that was away for a moment, doubled and late, tell what the newest of them tells", () => {
  const states = ["fetching", "running", "exited"] as const;
  const report = fc.record({ session: fc.integer({ min: 1, max: 2 }), seq: fc.integer({ min: 1, max: 12 }) });
  fc.assert(
    fc.property(fc.array(report, { minLength: 1, maxLength: 40 }), (reports) => {
      const { part } = partOf(1, { cpus: 16, gpus: 0, ram: 64 });
      const unit = queueUp(part, specOf({ ref: "run-000001", tasks: 1 }));
      runPass(part, pass);
      const machine = [...part.machines.values()][0]!;
      const [placement] = [...unit.placed.values()];
      placement!.direct = "answered";
      let newest = { session: machine.session, seq: machine.seq };
      let finished = 0;
      for (const one of reports) {
        // In its first session the task goes on with the numbers; the next session knows nothing of it.
        const state = states[Math.min(2, Math.floor(one.seq / 4))]!;
        const cause = state === "exited" ? "done" : null;
        const task: ReportedTask = { piece: "run-000001/0", attempt: placement!.attempt, state, cause, saved: false };
        const tasks = one.session === 1 ? [task] : [];
        const newer = one.session > newest.session || (one.session === newest.session && one.seq > newest.seq);
        const findings = newFindings();
        const seen = { host: machine.host, addr: "a:1", type: "m", zone: "a", spot: false, token: 5, noticeS: null, ...one, tasks };
        const context = {
          now: NOW,
          viaReport: true,
          leaseMs: 18_000,
          coolMs: 2500,
          placeholderFor: () => unit,
        };
        assert.equal(takeReport(part, machine, seen, context, findings), newer);
        finished += findings.finished.size;
        if (newer) newest = one;
        assert.ok(finished <= 1, "counted as done twice");
        if (!newer) assert.equal(findings.changed || findings.ended.length > 0, false);
        const here = machine.placements.size > 0;
        if (newer && one.session === 2) assert.equal(here, false);
        if (newer && state === "exited" && one.session === 1) assert.ok(unit.done.has(0) && !here);
        assert.equal(unit.waiting.length + unit.placed.size + unit.done.count, 1, "in one place, and in no two");
      }
    }),
    { seed: 5, numRuns: 300 },
  );
});

test("a new life that went on under its former term would be found", async () => {
  // What is guarded against: a life that takes the record of the one before it for its own.
  const spawn: typeof spawnController = (asked) => spawnController({ ...asked, life: String(asked.platform["host_name"]) });
  const plan = planWith(
    [12, 16, 20, 24, 28, 32].flatMap((at): [number, Raw][] => [
      [at, { kind: "delay", target: "all", to: "workers", ms: 6000, for: 2 }],
      [at + 2, { kind: "restart", target: "all", for: 0.1 }],
    ]),
  );
  let found = 0;
  for (let seed = 1; seed <= 6; seed++) {
    const report = await playVirtual({ plan, seed, spawn, momentOf });
    if (report.broken.length + report.jobs.unfinished.length > 0) found++;
  }
  assert.ok(found > 0, "six rehearsals under former terms, and none broke a rule or left work");
});

test("lives that end young are counted in a row; one that grew older starts the count anew", () => {
  assert.equal(endsBefore(undefined), 0);
  assert.equal(endsBefore({ life: "a" }), 0, "of an old life, or of a version that does not count");
  let record = shown("l0", false, 0, true);
  for (let n = 1; n <= 5; n++) {
    assert.equal(endsBefore(record), n);
    record = shown(`l${n}`, false, endsBefore(record), true);
  }
  assert.equal(endsBefore(shown("l5", false, 5, false)), 0);
  fc.assert(
    fc.property(fc.nat(100), fc.integer({ min: 1, max: 60_000 }), (ends, leaseMs) => {
      assert.ok(restMs(ends, leaseMs) <= restMs(ends + 1, leaseMs));
      assert.ok(restMs(ends, leaseMs) <= leaseMs * 2);
      assert.equal(restMs(ends, leaseMs) > 0, ends > 2);
    }),
    { seed: 1 },
  );
});

test("a peer's answer to a former life's question is nobody's, though it comes on a new connection", async () => {
  const clock = new VirtualClock();
  const incoming$ = new Subject<{ from: string; message: Message }>();
  const lifeOf = (life: string): { relay: Relay; asked: { to: string; id: number }[] } => {
    const asked: { to: string; id: number }[] = [];
    const send = (to: string, message: Message): boolean => {
      if ("Relay" in message) asked.push({ to, id: message.Relay.id });
      return true;
    };
    const slow = { poll: () => new Promise(() => undefined) } as unknown as Jobs;
    const scope = new Scope(Object.assign(clock, { stood$: NEVER }), {} as Log);
    const settings = { timing: { stateTimeoutMs: 2000 } } as Settings;
    const relay = new Relay(settings, slow, { incoming$, send }, () => ["nest-1", "nest-2"], scope, life);
    relay.start();
    return { relay, asked };
  };
  const body = (ref: string): string => JSON.stringify({ ref, status: "done" });
  const former = lifeOf("former");
  void former.relay.answer("poll", "run-000001");
  await clock.run(500);
  const present = lifeOf("present");
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

test("what a peer relays that is no request, or of a kind that is not known, is ignored and named: it cancels nothing", async () => {
  const incoming$ = new Subject<{ from: string; message: Message }>();
  const done: string[] = [];
  const named: unknown[] = [];
  const jobs = { poll: async () => (done.push("poll"), { status: 200, body: {} }), cancel: async () => done.push("cancel") };
  const log = { warn: (line: { what: string }) => void named.push(line.what) } as unknown as Log;
  const scope = new Scope(Object.assign(new VirtualClock(), { stood$: NEVER }), log);
  const settings = { timing: { stateTimeoutMs: 2000 } } as Settings;
  new Relay(settings, jobs as unknown as Jobs, { incoming$, send: () => true }, () => [], scope, "l").start();
  const asked = (kind: string, body: string): void => incoming$.next({ from: "nest-1", message: { Relay: { id: 1, kind, body } } });
  asked("drain", '"run-000001"');
  asked("poll", "{");
  asked("poll", '"run-000001"');
  await Promise.resolve();
  assert.deepEqual([done, named], [["poll"], ["kind drain", "not JSON"]]);
});

test("a node that is asked for a word of its own again and again keeps its key all the same", async () => {
  // What is guarded against: words written under a permit that seemed extended each time, and never was.
  const world = new World(plainPlan(), spawnController);
  for (const name of world.nodes.keys()) world.startNode(name);
  await world.clock.run(5000);
  const { presence } = world.nodes.get("nest-0")!.controller!;
  for (let at = 5000; at < 45_000; at += 400) {
    void presence.renew();
    await world.clock.run(at);
    for (const node of world.nodes.values()) assert.ok(node.controller!.presence.alive("nest-0"), `gone at ${at} ms`);
  }
  assert.equal(world.lines.filter((line) => line === "part taken").length, 3);
  for (const name of world.nodes.keys()) world.killNode(name);
});
