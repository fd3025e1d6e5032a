import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualClock } from "@thorntrail/emulator/virtual/clock";
import { encodeReport, type Order, type ReportedTask } from "@thorntrail/protocol/worker";
import { NEVER } from "rxjs";
import type { Draft } from "../src/ledger/batch.js";
import type { GroupCommitter } from "../src/ledger/group-committer.js";
import type { StateReplica } from "../src/ledger/state-replica.js";
import { Audit } from "../src/partitions/audit.js";
import { ClearGuard } from "../src/partitions/clear-guard.js";
import type { LeaderContext } from "../src/partitions/leader-context.js";
import { raiseToken, type Partition } from "../src/partitions/partition.js";
import { TokenRaiser } from "../src/partitions/token-raiser.js";
import type { Log } from "../src/platform/log.js";
import { Scope } from "../src/platform/scope.js";
import { runSchedulingCycle } from "../src/queue/scheduling-cycle.js";
import { DirectStarts } from "../src/workers/direct-starts.js";
import { attemptKey, type Machine } from "../src/workers/machine.js";
import { hasHeldClear, MAX_EXITED_WITH_DIRECT_STARTS, ordersFor, type WorkerOrderContext } from "../src/workers/orders.js";
import { MAX_REPORT_BYTES } from "../src/workers/report-endpoint.js";
import { enqueue, NOW, partitionOf, schedulingContext, specOf } from "./world/partitions.js";

const LEASE_MS = 18_000;
const orderContext: WorkerOrderContext = {
  now: NOW,
  leaseMs: LEASE_MS,
  isClearable: () => true,
  onStartRefused: () => assert.fail("refused"),
  max: 1000,
};

const exited = (task: number): ReportedTask => ({
  taskId: `run-000001/${task}`,
  attempt: 7,
  state: "exited",
  cause: "error",
  saved: false,
});

/** Creates a partition with one machine, on which `count` attempts have exited that were started by direct commands. */
function machineWithExited(count: number): { partition: Partition; machine: Machine } {
  const { partition } = partitionOf(1, { cpus: 16, gpus: 0, ram: 64 });
  const machine = [...partition.machines.values()][0]!;
  for (let task = 0; task < count; task++) {
    const reported = exited(task);
    const key = attemptKey(reported.taskId, reported.attempt);
    machine.exited.set(key, reported);
    machine.directStarts.recordSent(key, machine.session, machine.grantedToken);
  }
  return { partition, machine };
}

const clears = (orders: readonly Order[]): number => orders.filter(({ verb }) => verb === "clear").length;

test("an attempt started by a direct command is discarded only under a token above that of the start", () => {
  const { partition, machine } = machineWithExited(2);
  assert.equal(clears(ordersFor(machine, "report", orderContext)), 0);
  assert.ok(hasHeldClear(machine, () => true));
  raiseToken(partition, machine, partition.term + 1);
  assert.equal(clears(ordersFor(machine, "report", orderContext)), 2);
  const later = exited(2);
  machine.exited.set(attemptKey(later.taskId, later.attempt), later);
  machine.directStarts.recordSent(attemptKey(later.taskId, later.attempt), machine.session, machine.grantedToken);
  assert.equal(clears(ordersFor(machine, "report", orderContext)), 2, "the raised token is now that of a start itself");
  raiseToken(partition, machine, partition.term);
  assert.equal(machine.grantedToken, partition.term + 1, "a granted token is never lowered");
});

test("a start is spent by the channel, a later session or a raised token, and by nothing else", () => {
  const starts = new DirectStarts();
  starts.recordSent("a", 1, 5);
  starts.recordSent("b", 2, 5);
  assert.equal(starts.spentBy("never sent directly", 1, 5), "answers only");
  assert.equal(starts.spentBy("a", 1, 5), null);
  assert.equal(starts.spentBy("a", 2, 5), "session over");
  assert.equal(starts.spentBy("b", 2, 6), "token raised");
  starts.forget("b");
  assert.equal(starts.spentBy("b", 2, 5), "answers only");
});

test("an order to discard an attempt whose start could still take effect is left out and reported", () => {
  const { partition, machine } = machineWithExited(1);
  const logged: unknown[] = [];
  const log = { error: (entry: unknown) => logged.push(entry), isLevelEnabled: () => false } as unknown as Log;
  const scope = new Scope(Object.assign(new VirtualClock(), { stall$: NEVER }), log);
  const guard = new ClearGuard(scope, new Audit(scope.clock, log, () => 0, 1000));
  const planted: Order = { verb: "clear", taskId: "run-000001/0", attempt: 7 };
  const stop: Order = { verb: "stop", taskId: "run-000001/1", attempt: 7, graceS: 0 };
  assert.deepEqual(guard.check(partition, machine, [stop, planted]), [stop]);
  assert.deepEqual([scope.invariants.violations, logged.length], [1, 1]);
  raiseToken(partition, machine, partition.term + 1);
  assert.deepEqual(guard.check(partition, machine, [stop, planted]), [stop, planted]);
});

test("with many exited attempts that cannot be discarded, starts go in answers to reports only, and a report has room for the rest", () => {
  const { partition } = partitionOf(1, { cpus: 16, gpus: 0, ram: 64 });
  enqueue(partition, specOf({ ref: "run-000002", tasks: 1 }));
  runSchedulingCycle(partition, schedulingContext);
  const machine = [...partition.machines.values()][0]!;
  const longest: ReportedTask = {
    taskId: "run-000412/99999",
    attempt: Number.MAX_SAFE_INTEGER,
    state: "exited",
    cause: "mates_gone",
    saved: true,
  };
  for (let i = 0; i < MAX_EXITED_WITH_DIRECT_STARTS - 1; i++) machine.exited.set(String(i), longest);
  assert.equal(ordersFor(machine, "direct", orderContext).length, 1);
  machine.exited.set("last", longest);
  assert.equal(ordersFor(machine, "direct", orderContext).length, 0);
  const starts = ordersFor(machine, "report", orderContext).filter(({ verb }) => verb === "start");
  assert.equal(starts.length, 1);
  const { host, type, zone, spot } = machine;
  const tasks = [...machine.exited.values()];
  const report = { host, addr: "10.1.0.232:9000", type, zone, spot, session: 1, seq: 1, token: 1, noticeS: null, tasks };
  assert.ok(JSON.stringify(encodeReport(report)).length < MAX_REPORT_BYTES / 3);
});

/** A token raiser on a state service with a newest revision that the test sets, and the writes that it queued. */
function raiserAt(revision: { newest: number }, clock: VirtualClock, partition: Partition) {
  const writes: { draft: () => Draft | null; finish: () => void }[] = [];
  const committer = {
    commit: (_label: string, draft: () => Draft | null) => new Promise<void>((resolve) => writes.push({ draft, finish: resolve })),
  } as unknown as GroupCommitter;
  const replica = {
    stamp: () => partition.term,
    get completeRevision() {
      return revision.newest;
    },
  } as unknown as StateReplica;
  const context = {
    get now() {
      return clock.now();
    },
    settings: { timing: { leaseMs: LEASE_MS } },
    stats: { tokensRaised: 0 },
    audit: { logTokenRaised: () => undefined },
  } as unknown as LeaderContext;
  return { raiser: new TokenRaiser(context, replica, committer), writes };
}

test("a partition without writes makes one new revision for all waiting discards, after a lease", async () => {
  const { partition, machine } = machineWithExited(10);
  const revision = { newest: partition.term };
  const clock = new VirtualClock();
  const { raiser, writes } = raiserAt(revision, clock, partition);
  for (let at = 0; at < LEASE_MS; at += 500) {
    await clock.run(at);
    raiser.raise(partition, machine);
  }
  assert.equal(writes.length, 0);
  await clock.run(LEASE_MS);
  for (let i = 0; i < 5; i++) raiser.raise(partition, machine);
  assert.equal(writes.length, 1);
  assert.deepEqual(
    writes[0]!.draft()!.conditions.map(({ k }) => k),
    ["t/o/0", "t/f/0"],
  );
  revision.newest++;
  assert.equal(writes[0]!.draft(), null, "another write has made the revision");
  writes[0]!.finish();
  raiser.raise(partition, machine);
  assert.deepEqual([machine.grantedToken, writes.length], [revision.newest, 1]);
});

test("a token is raised when attempts have just exited, after a lease, or once many wait, and else not", async () => {
  const raisedAfter = async (ms: number, count: number, exitedSinceReport: boolean): Promise<boolean> => {
    const { partition, machine } = machineWithExited(count);
    const clock = new VirtualClock();
    const { raiser, writes } = raiserAt({ newest: partition.term + 1 }, clock, partition);
    raiser.raise(partition, machine);
    await clock.run(ms);
    machine.exitedSinceReport = exitedSinceReport;
    if (hasHeldClear(machine, () => true)) raiser.raise(partition, machine);
    assert.equal(writes.length, 0);
    return machine.grantedToken > partition.term;
  };
  assert.equal(await raisedAfter(500, 3, false), false);
  assert.equal(await raisedAfter(500, 3, true), true);
  assert.equal(await raisedAfter(LEASE_MS, 3, false), true);
  assert.equal(await raisedAfter(500, MAX_EXITED_WITH_DIRECT_STARTS / 2, false), true);
});

test("no token is raised while a command is in flight, which the worker would refuse", () => {
  const { partition, machine } = machineWithExited(1);
  const { raiser } = raiserAt({ newest: partition.term + 5 }, new VirtualClock(), partition);
  machine.exitedSinceReport = true;
  machine.commandInFlight = true;
  raiser.raise(partition, machine);
  assert.equal(machine.grantedToken, partition.term);
  machine.commandInFlight = false;
  raiser.raise(partition, machine);
  assert.equal(machine.grantedToken, partition.term + 5);
});
