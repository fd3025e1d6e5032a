import assert from "node:assert/strict";
import { test } from "node:test";
import { findViolations } from "@thorntrail/emulator/checker";
import { randomPlan } from "@thorntrail/emulator/random-plans";
import { loadPlan, runVirtual } from "@thorntrail/emulator/entry";
import { decodeFault, type Fault } from "@thorntrail/emulator/faults";
import { CallError } from "@thorntrail/protocol/errors";
import fc from "fast-check";
import { keys, type JobRecord } from "../src/ledger/records.js";
import { injectionPointOf } from "../src/rehearsal/injection-points.js";
import { runSchedulingCycle } from "../src/queue/scheduling-cycle.js";
import { spawnController } from "../src/rehearsal/spawn-controller.js";
import type { Report, ReportedTask } from "@thorntrail/protocol/worker";
import { attemptKey, isUsable } from "../src/workers/machine.js";
import { isLeaseExpired, recordLeaseRenewal } from "../src/workers/lease.js";
import { newFindings } from "../src/workers/findings.js";
import { applyReport, type ReportContext } from "../src/workers/report-intake.js";
import { ordersFor } from "../src/workers/orders.js";
import { exploreLeases, type FaultyVariant } from "./world/lease-model.js";
import { NOW, partitionOf, schedulingContext, enqueue, specOf } from "./world/partitions.js";
import { playScenario } from "./world/scenario.js";

/**
 * Compound faults: the state service refuses one partition's owner, the other controllers confirm cancellations of its jobs, and
 * then the service is down for all, in part of the runs for longer than the time limit of a cancellation, while workers keep
 * reporting to the former owner. This combination has exposed the most defects.
 */
interface CompoundFault {
  seed: number;
  /** Seconds for which the state service refuses the owner's requests. The owner's presence key expires after 9 s without renewal. */
  refusedS: number;
  /** Seconds from the start of the refusal to the outage of the state service for all controllers, which lasts `outS`. */
  outAfterS: number;
  outS: number;
  /**
   * Cancellations of jobs: when, in seconds after the state service begins to refuse the owner's requests, and the controller that
   * receives the request.
   */
  cancels: { afterS: number; at: "nest-1" | "nest-2" | "nest-0" }[];
  /** Scenario statements of further faults of the owner, its successor and its machines after the start of the refusal. */
  beside: string[];
}

const REFUSED_AT = 40;
const SHAPES = ["array of 4 cpus 8 for 400", "gang of 3 cpus 8 for 400 saves 15", "service of 3 cpus 4"];

function scenarioText({ seed, refusedS, outAfterS, outS, cancels, beside }: CompoundFault): string {
  const out = REFUSED_AT + outAfterS;
  const jobs = cancels.map((_, i) => `run-${String(i + 1).padStart(6, "0")}`);
  return [
    `seed ${seed}`,
    "given drift 0.0005",
    "given team ops most-cpus 600",
    "given type m cpus 16 boot 3 count 24",
    ...jobs.map((ref, i) => `at 5 submit ${ref} ${SHAPES[i % SHAPES.length]} at-node nest-0`),
    "at 5 submit run-000090 array of 4 cpus 4 for 120 at-node nest-0",
    `at ${REFUSED_AT} refuse nest-0 for ${refusedS}`,
    ...cancels.map(({ afterS, at }, i) => `at ${(REFUSED_AT + afterS).toFixed(3)} cancel ${jobs[i]} at ${at}`),
    ...beside.map((what) => `at ${what}`),
    `at ${out} outage state for ${outS}`,
    `at ${out + outS + 200} expect run-000090 done`,
  ].join("\n");
}

const seconds = (min: number, max: number): fc.Arbitrary<number> => fc.integer({ min: min * 10, max: max * 10 }).map((n) => n / 10);
const additionalFaults = fc.oneof(
  seconds(0, 12).map((s) => [`${REFUSED_AT + s} kill nest-1`, `${REFUSED_AT + s + 7} start nest-1`]),
  seconds(0, 12).map((s) => [`${REFUSED_AT + s} kill nest-2`, `${REFUSED_AT + s + 0.3} start nest-2`]),
  seconds(0, 20).map((s) => [`${REFUSED_AT + s} freeze nest-0 for ${3 + (s % 9)}`]),
  seconds(0, 20).map((s) => [`${REFUSED_AT + s} freeze nest-1 for ${3 + (s % 9)}`]),
  // The owner's orders to workers are delayed, also those that start the tasks of a new job.
  seconds(0, 15).map((s) => [
    `${REFUSED_AT + s} delay nest-0 to workers by 12 for 10`,
    `${REFUSED_AT + s} submit run-000091 array of 6 cpus 4 for 300 at-node nest-0`,
  ]),
  seconds(0, 10).map((s) => [`${REFUSED_AT + s} delay nest-1 to workers by 6 for 15`]),
  seconds(0, 15).map((s) => [`${REFUSED_AT + s} deafen all for ${4 + (s % 7)}`]),
  seconds(0, 15).map((s) => [`${REFUSED_AT + s} cut nest-0 from peers for 40`]),
  seconds(0, 20).map((s) => [`${REFUSED_AT + s} cut hosts-of:run-000001 from nest-1 for 25`]),
  seconds(0, 5).map((s) => [`${REFUSED_AT + s} delay nest-0 to state by 1.5 for 40`]),
  seconds(0, 5).map((s) => [`${REFUSED_AT + s} repeat-reports 0.5 within 30 for 40`]),
  seconds(0, 20).map((s) => [`${REFUSED_AT + s} late-transactions nest-1 3 by 8`]),
);
const compoundFault: fc.Arbitrary<CompoundFault> = fc.record({
  seed: fc.integer({ min: 1, max: 10_000 }),
  refusedS: fc.oneof(seconds(1, 9), seconds(20, 150)),
  outAfterS: fc.oneof(seconds(0.5, 8), seconds(8, 40)),
  // The outage may end before or after the expiry of a lease that the owner renewed just before it stopped answering reports.
  outS: fc.oneof(seconds(17, 19), seconds(44, 80)),
  cancels: fc.array(fc.record({ afterS: seconds(0.1, 40), at: fc.constantFrom("nest-0", "nest-1", "nest-2") }), {
    minLength: 3,
    maxLength: 6,
  }),
  beside: fc.oneof(
    fc.constant([]),
    additionalFaults,
    fc.tuple(additionalFaults, additionalFaults).map((two) => two.flat()),
  ),
}) as fc.Arbitrary<CompoundFault>;

test("one owner refused, jobs cancelled elsewhere, then an outage for all: every task ends in time", async () => {
  const runs = Number(process.env["MEETINGS"] ?? 10);
  await fc.assert(
    fc.asyncProperty(compoundFault, async (one) => {
      const text = scenarioText(one);
      const { world, failures } = await playScenario(text);
      assert.deepEqual([findViolations(world.history, world.limits()), failures, world.errors], [[], [], []], text);
    }),
    { numRuns: runs, seed: Number(process.env["MEETINGS_SEED"] ?? 37) },
  );
});

/**
 * Jobs are cancelled just after the refusal begins, so that the owner usually does not learn of it. Without other faults, their tasks
 * then run almost until the time limit of a cancellation.
 */
const plainScenario: CompoundFault = {
  seed: 5,
  refusedS: 150,
  outAfterS: 1.5,
  outS: 70,
  cancels: [0.02, 0.05, 0.1, 0.2, 0.3, 0.4].map((afterS) => ({ afterS, at: "nest-1" })),
  beside: [],
};

/**
 * Several seeds, since with some the owner still learns of all cancellations, by a watch request to the state service that was
 * open when the refusal began.
 */
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

test("the silence bound is tight: with four seconds more, tasks of cancelled jobs run too long", async () => {
  const later = (ms: number, seed: number) =>
    playScenario(scenarioText({ ...plainScenario, seed }), (asked) =>
      spawnController(asked, undefined, (settings) => ({
        ...settings,
        timing: { ...settings.timing, silentAfterMs: settings.timing.silentAfterMs + ms },
      })),
    );
  let sharp = 0;
  for (const seed of SEEDS) {
    const held = await later(0, seed);
    assert.deepEqual(findViolations(held.world.history, held.world.limits()), [], `seed ${seed}`);
    const broken = await later(4000, seed);
    if (/^ran_cancelled/.test(findViolations(broken.world.history, broken.world.limits())[0] ?? "none")) sharp++;
  }
  assert.ok(sharp >= 2, `${sharp} of ${SEEDS.length} seeds`);
});

const context: ReportContext = {
  now: NOW,
  viaReport: true,
  placeholderFor: () => {
    throw new Error("no report lists a task of an unknown job");
  },
  leaseMs: 18_000,
  coolMs: 2500,
};
const orders = { now: NOW, leaseMs: 18_000, isClearable: () => false, onStartRefused: () => assert.fail("refused"), max: 9 };

/** Creates a partition with one machine and one task, whose start was ordered by a direct command that was not answered. */
function startedWithoutAnswer() {
  const { partition } = partitionOf(1, { cpus: 16, gpus: 0, ram: 64 });
  const taskSet = enqueue(partition, specOf({ tasks: 1 }));
  runSchedulingCycle(partition, schedulingContext);
  const machine = [...partition.machines.values()][0]!;
  const placement = [...taskSet.placements.values()][0]!;
  placement.directStart = "unresolved";
  const taskId = "run-000001/0";
  machine.directStarts.recordSent(attemptKey(taskId, placement.attempt), 1, partition.term);
  const report = (seq: number, tasks: ReportedTask[]): Report => ({
    host: machine.host,
    addr: "x",
    type: "m",
    zone: "a",
    spot: false,
    session: 1,
    seq,
    token: partition.term,
    noticeS: null,
    tasks,
  });
  const receiveReport = (seq: number, tasks: ReportedTask[] = []): void =>
    void applyReport(partition, machine, report(seq, tasks), context, newFindings());
  return { partition, taskSet, machine, placement, taskId, receiveReport };
}

test("a pending start of a task that should no longer run is repeated and stopped, and its capacity is freed", () => {
  const { machine, placement, taskId, receiveReport, taskSet } = startedWithoutAnswer();
  placement.stop = { graceS: 0 };
  const { attempt } = placement;
  assert.deepEqual(ordersFor(machine, "report", orders), [
    { verb: "start", taskId, attempt },
    { verb: "stop", taskId, attempt, graceS: 0 },
  ]);
  // The start order that got no reply is not repeated in a direct command, which could be delayed as well. Nor is it repeated in
  // the answer to a report once it is a lease (18 s) old: the job may have been cancelled meanwhile, and the time limit after
  // which no task of a cancelled job may start (`cancel_s`) may have passed.
  assert.deepEqual(ordersFor(machine, "direct", orders), []);
  assert.deepEqual(ordersFor(machine, "report", { ...orders, now: placement.orderedAt + 18_000 }), []);
  receiveReport(2);
  assert.equal(machine.placements.size, 1, "absence from a report proves nothing: the direct start may still arrive");
  receiveReport(3, [{ taskId, attempt, state: "exited", cause: "stopped", saved: false }]);
  assert.deepEqual([machine.placements.size, machine.used.cpus, taskSet.waiting.length], [0, 0, 1]);
});

test("a session known only from the reply to a command has a lease of its own, and its machine gets no new work", () => {
  // Guards against this failure: a machine whose reports reached no controller was considered lost when the lease of its last
  // answered report expired. Tasks started in its next session, which the owner knew only from a reply to a command, were still
  // running and were started again elsewhere.
  const { partition, machine, taskId, receiveReport } = startedWithoutAnswer();
  const leaseMs = 18_000;
  receiveReport(2);
  recordLeaseRenewal(machine, true, NOW);
  const reply = (session: number, seq: number, now: number, tasks: ReportedTask[]): void => {
    const report = {
      host: machine.host,
      addr: "x",
      type: "m",
      zone: "a",
      spot: false,
      session,
      seq,
      token: partition.term,
      noticeS: null,
      tasks,
    };
    const at = { ...context, now, viaReport: false };
    applyReport(partition, machine, report, at, newFindings());
  };
  const running: ReportedTask = { taskId, attempt: partition.term, state: "running", cause: null, saved: false };
  const learnt = NOW + leaseMs - 500;
  reply(2, 9, learnt, []);
  reply(2, 10, learnt + 200, [running]);
  assert.equal(machine.placements.size, 1);
  assert.equal(isLeaseExpired(machine, NOW + leaseMs + 700, leaseMs), false, "tasks of session 2 may run that long");
  assert.equal(isLeaseExpired(machine, learnt + leaseMs - 1, leaseMs), false);
  assert.equal(isLeaseExpired(machine, learnt + leaseMs + 1, leaseMs), true, "replies do not renew the lease");
  assert.equal(isUsable(machine, learnt + 300, 5000), false, "it has not reported recently, whatever it replies");
});

const base = await loadPlan("deploy/meetings.hcl");

test("no answer renews the lease of a machine without stopping its tasks of withdrawn jobs", async () => {
  // Guards against this failure: after a takeover, the answer to a machine that had not yet shown the new owner's term renewed its
  // lease without orders. If the machine received nothing more, tasks of cancelled jobs ran until that lease expired.
  let renewed = 0;
  for (const seed of [11, 12, 13, 14, 15, 16]) {
    const spawn: typeof spawnController = (asked) => {
      // Direct commands never arrive, so a machine learns the new owner's term only from answers to its reports.
      const command = async (): Promise<never> => {
        await new Promise<void>((resolve) => asked.clock.after(2000, resolve));
        throw new CallError("unanswered", "lost");
      };
      const controller = spawnController(seed % 2 === 0 ? asked : { ...asked, workers: { command } });
      const { onReport } = controller;
      controller.onReport = (report) => {
        const answer = onReport(report);
        if (answer.kind !== "orders") return answer;
        const stopped = new Set(answer.orders.filter(({ verb }) => verb === "stop").map(({ taskId }) => taskId));
        for (const { taskId, state } of report.tasks) {
          const end = controller.replica.get<JobRecord>(keys.job(taskId.slice(0, taskId.lastIndexOf("/"))))?.v.end;
          if (state === "exited" || end !== "withdrawn") continue;
          renewed++;
          assert.ok(stopped.has(taskId), `${taskId} on ${report.host} at ${asked.clock.now()}`);
        }
        return answer;
      };
      return controller;
    };
    const plan = { ...base, fault: Array.from({ length: 6 }, (_, i) => ({ at: 15 + i * 13, fault: restart(i) })) };
    const report = await runVirtual({ plan, seed, spawn, injectionPointOf });
    assert.deepEqual(report.broken, []);
  }
  assert.ok(renewed > 20, `${renewed} answers`);
});

function restart(i: number): Fault {
  const decoded = decodeFault({ kind: "restart", target: i % 2 === 0 ? "leader" : "all", for: i % 3 === 0 ? 12 : 0.2 });
  if ("wrong" in decoded) throw new Error(decoded.wrong);
  return decoded.fault;
}

test("a machine between an owner without proof of ownership and its successor: no interleaving breaks an invariant, and each faulty variant is detected", () => {
  const { states, broken } = exploreLeases();
  assert.equal(broken, null);
  assert.ok(states > 2000, `${states} states`);
  for (const [wrong, what] of [
    [{ answerShortensWait: true }, /elsewhere/],
    [{ sessionIsNoLease: true }, /elsewhere/],
    [{ skipsSilenceWait: true }, /elsewhere/],
    [{ acceptsOldReports: true }, /elsewhere|still there/],
    [{ silentLate: true }, /elsewhere|still there/],
    [{ answerStopsNothing: true }, /still there/],
  ] as [FaultyVariant, RegExp][])
    assert.match(exploreLeases(wrong).broken ?? "nothing", what, JSON.stringify(wrong));
});

test("two or three randomly generated faults break no rule, and all work finishes", async () => {
  let both = 0;
  for (let seed = 1; seed <= 12; seed++) {
    const report = await runVirtual({ plan: randomPlan(base, seed), seed, spawn: spawnController, injectionPointOf });
    assert.deepEqual([report.broken, report.trouble, report.jobs.unfinished], [[], [], []], `seed ${seed}`);
    if (report.faults.filter(({ met }) => met.length > 0).length > 1) both++;
  }
  assert.ok(both > 6, `${both} of 12 had two that affected something`);
  assert.deepEqual(randomPlan(base, 7), randomPlan(base, 7));
});
