import assert from "node:assert/strict";
import { test } from "node:test";
import { decodeReport, type Report, type ReportedTask } from "@thorntrail/protocol/worker";
import { nextAttemptNumber, type Partition } from "../src/partitions/partition.js";
import { isReady, runSchedulingCycle } from "../src/queue/scheduling-cycle.js";
import { StartGuard } from "../src/partitions/start-guard.js";
import { Invariants, InvariantViolated } from "../src/platform/invariants.js";
import { Scope } from "../src/platform/scope.js";
import { waitingTailLength, type TaskSet } from "../src/queue/task-set.js";
import { addAttempt, type Machine } from "../src/workers/machine.js";
import { ordersFor } from "../src/workers/orders.js";
import { newFindings } from "../src/workers/findings.js";
import { applyReport, type ReportContext } from "../src/workers/report-intake.js";
import { VirtualClock } from "@thorntrail/emulator/virtual/clock";
import { NOW, partitionOf, schedulingContext, enqueue, specOf } from "./world/partitions.js";

/** A partition right after a takeover, whose owner learns of attempts (runs of tasks) only from the machines' reports. */
class NewOwner {
  readonly partition: Partition;
  private readonly sequence = new Map<string, number>();

  constructor(machines: number) {
    this.partition = partitionOf(machines, { cpus: 16, gpus: 0, ram: 64 }).partition;
    for (const machine of this.partition.machines.values()) machine.token = 4;
  }

  machine(host: string): Machine {
    return this.partition.machines.get(host)!;
  }

  /** Delivers the machine's next report, which lists `tasks`. */
  receiveReport(host: string, tasks: ReportedTask[]): void {
    const seq = (this.sequence.get(host) ?? 0) + 1;
    this.sequence.set(host, seq);
    const report: Report = {
      host,
      addr: "x",
      type: "m",
      zone: "a",
      spot: false,
      session: 1,
      seq,
      token: this.partition.term,
      noticeS: null,
      tasks,
    };
    applyReport(this.partition, this.machine(host), report, this.context(), newFindings());
  }

  private context(): ReportContext {
    return {
      now: NOW,
      viaReport: true,
      leaseMs: 18_000,
      coolMs: 0,
      placeholderFor: (ref) =>
        Object.assign(enqueue({ ...this.partition, taskSets: new Map(), taskSetsByJob: new Map() }, specOf({ ref, cpus: 0 })), {
          ended: true,
        }),
    };
  }

  /** Runs a scheduling cycle and returns the hosts on which it started tasks of the task set. */
  startTasks(taskSet: TaskSet): string[] {
    const before = new Set(taskSet.placements.values());
    runSchedulingCycle(this.partition, schedulingContext);
    return [...taskSet.placements.values()].filter((placement) => !before.has(placement)).map(({ host }) => host);
  }
}

const listed = (taskId: string, attempt: number, state: ReportedTask["state"] = "running"): ReportedTask => ({
  taskId,
  attempt,
  state,
  cause: null,
  saved: false,
});
const exited = (taskId: string, attempt: number, cause: ReportedTask["cause"]): ReportedTask => ({
  ...listed(taskId, attempt, "exited"),
  cause,
});

test("a task does not start while any attempt of it may be on a machine of the partition", async (t) => {
  await t.test("array: an attempt from an old report is adopted first, the current one second; then the old one is proven gone", () => {
    const owner = new NewOwner(3);
    const taskSet = enqueue(owner.partition, specOf({ cpus: 16 }));
    owner.receiveReport("i-0", [listed("run-000001/0", 1)]);
    owner.receiveReport("i-1", [listed("run-000001/0", 2)]);
    owner.receiveReport("i-0", []);
    assert.deepEqual(owner.startTasks(taskSet), [], "attempt 2 is on i-1");
    owner.receiveReport("i-1", [exited("run-000001/0", 2, "stopped")]);
    assert.equal(owner.startTasks(taskSet).length, 1);
  });

  await t.test("gang: members of a newer attempt are present when the member from an old report is proven gone", () => {
    const owner = new NewOwner(6);
    const taskSet = enqueue(owner.partition, specOf({ kind: "gang", tasks: 3, cpus: 15 }));
    owner.receiveReport("i-0", [listed("run-000001/0", 1)]);
    for (const i of [1, 2, 3]) owner.receiveReport(`i-${i}`, [listed(`run-000001/${i - 1}`, 2)]);
    owner.receiveReport("i-0", []);
    assert.deepEqual(owner.startTasks(taskSet), [], "all members of attempt 2 are present");
    owner.receiveReport("i-1", [exited("run-000001/0", 2, "stopped")]);
    owner.receiveReport("i-2", [exited("run-000001/1", 2, "stopped")]);
    assert.deepEqual(owner.startTasks(taskSet), [], "a member of attempt 2 is present");
    owner.receiveReport("i-3", [exited("run-000001/2", 2, "stopped")]);
    assert.equal(owner.startTasks(taskSet).length, 3);
  });

  await t.test("refused as busy: the attempt that occupies the worker is on that machine", () => {
    const owner = new NewOwner(2);
    const taskSet = enqueue(owner.partition, specOf({ cpus: 16 }));
    const [host] = owner.startTasks(taskSet);
    const ownAttempt = [...taskSet.placements.values()][0]!.attempt;
    owner.receiveReport(host!, [listed("run-000001/0", 1), exited("run-000001/0", ownAttempt, "busy")]);
    taskSet.notBefore = -Infinity;
    assert.deepEqual(owner.startTasks(taskSet), [], "attempt 1 is on the machine");
  });

  await t.test("an attempt is reported before the job's record is read, and again after its task set was created", () => {
    const owner = new NewOwner(2);
    owner.receiveReport("i-0", [listed("run-000001/0", 1)]);
    const taskSet = enqueue(owner.partition, specOf({ cpus: 16 }));
    owner.receiveReport("i-0", [listed("run-000001/0", 1)]);
    assert.deepEqual(owner.startTasks(taskSet), [], "attempt 1 is on i-0");
  });

  await t.test("an attempt is reported while its job is being migrated, and the migration is abandoned", () => {
    const owner = new NewOwner(2);
    const taskSet = enqueue(owner.partition, specOf({ cpus: 16 }));
    taskSet.migrating = true;
    owner.receiveReport("i-0", [listed("run-000001/0", 1)]);
    taskSet.migrating = false;
    assert.deepEqual(owner.startTasks(taskSet), [], "attempt 1 is on i-0");
  });

  await t.test("the last tasks of an array migrate only if no attempt of them may be on a machine", () => {
    const owner = new NewOwner(3);
    const taskSet = enqueue(owner.partition, specOf({ tasks: 4, cpus: 16 }));
    owner.receiveReport("i-0", [listed("run-000001/3", 1)]);
    owner.receiveReport("i-1", [listed("run-000001/3", 2)]);
    owner.receiveReport("i-0", []);
    assert.equal(waitingTailLength(taskSet, 4), 0);
  });

  await t.test("refused for lack of capacity, or as unknown: no attempt is on the machine, and the task waits again", () => {
    for (const cause of ["no_room", "no_such"] as const) {
      const owner = new NewOwner(2);
      const taskSet = enqueue(owner.partition, specOf({ cpus: 16 }));
      const [host] = owner.startTasks(taskSet);
      owner.receiveReport(host!, [exited("run-000001/0", [...taskSet.placements.values()][0]!.attempt, cause)]);
      taskSet.notBefore = -Infinity;
      assert.ok(isReady(taskSet, NOW), cause);
    }
  });
});

test("a result reported before the job's record is read counts once the job is recorded: its task does not run again", () => {
  const owner = new NewOwner(2);
  const result = exited("run-000001/0", nextAttemptNumber(owner.partition), "done");
  owner.receiveReport("i-0", [result]);
  const taskSet = enqueue(owner.partition, specOf({ cpus: 16 }));
  owner.receiveReport("i-0", [result]);
  assert.deepEqual(owner.startTasks(taskSet), []);
  assert.ok(taskSet.done.full);
});

test("an injected second start is not sent: refused on both channels, logged once at error level, counted, and thrown in strict mode", () => {
  const owner = new NewOwner(2);
  const taskSet = enqueue(owner.partition, specOf({ cpus: 16 }));
  const [host] = owner.startTasks(taskSet);
  const placement = [...taskSet.placements.values()][0]!;
  const other = owner.machine(host === "i-0" ? "i-1" : "i-0");
  addAttempt(other, "run-000001/0#1", { ...placement, attempt: 1, host: other.host, state: "running" });
  const lines: unknown[] = [];
  const ignore = (): void => undefined;
  const log = { error: (entry: unknown) => void lines.push(entry), warn: ignore, info: ignore, debug: ignore, isLevelEnabled: () => true };
  const guardOf = (invariants: Invariants): StartGuard => new StartGuard(new Scope(new VirtualClock(), log, undefined, invariants));
  const ordersOn = (channel: "report" | "direct", guard: StartGuard) =>
    ordersFor(owner.machine(host!), channel, {
      now: NOW,
      leaseMs: 18_000,
      isClearable: () => true,
      onStartRefused: (one, others) => guard.reportRefusal(owner.partition, one, others),
      max: 9,
    });
  const invariants = new Invariants(log);
  const guard = guardOf(invariants);
  assert.deepEqual([ordersOn("direct", guard), ordersOn("report", guard)], [[], []]);
  assert.deepEqual([invariants.violations, lines.length], [1, 1]);
  const [line] = lines as { piece: string; term: number; refused: { host: string }; others: { attempt: number; host: string }[] }[];
  assert.deepEqual([line!.piece, line!.term, line!.refused.host], ["run-000001/0", 5, host]);
  assert.deepEqual(
    line!.others.map(({ attempt, host: at }) => [attempt, at]),
    [[1, other.host]],
  );
  assert.throws(() => ordersOn("report", guardOf(new Invariants(log, true))), InvariantViolated);
  owner.receiveReport(other.host, []);
  assert.equal(ordersOn("direct", guard).length, 1, "the other attempt is proven gone");
});

test("malformed reports: one that lists an attempt twice is rejected; a task number outside its job starts and drops nothing", () => {
  const wire = { host: "i-0", addr: "x", build: "m", yard: "a", shift: 1, tick: 1, baton: 5 };
  const wireTask = (status: string): Record<string, unknown> => ({ piece: "run-000001/0", try: 1, status });
  assert.equal(decodeReport({ ...wire, pieces: [wireTask("running"), wireTask("exited")] }), null);
  assert.notEqual(decodeReport({ ...wire, pieces: [wireTask("running")] }), null);
  const owner = new NewOwner(2);
  const taskSet = enqueue(owner.partition, specOf({ cpus: 8 }));
  const [host] = owner.startTasks(taskSet);
  const ownAttempt = [...taskSet.placements.values()][0]!;
  owner.receiveReport(host!, [listed("run-000001/0", ownAttempt.attempt), listed("run-000001/7", 1)]);
  assert.deepEqual([taskSet.placements.get(0), taskSet.waiting, ownAttempt.stop], [ownAttempt, [], null]);
  const [, outside] = [...owner.machine(host!).placements.values()];
  assert.notEqual(outside!.taskSet, taskSet);
  assert.deepEqual(outside!.stop, { graceS: 0 }, "counted, and ordered to stop");
});
