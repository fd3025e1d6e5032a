import assert from "node:assert/strict";
import { test } from "node:test";
import type { Report } from "@thorntrail/protocol/worker";
import { VirtualClock } from "@thorntrail/emulator/virtual/clock";
import { Audit } from "../src/partitions/audit.js";
import { FindingEffects } from "../src/partitions/finding-effects.js";
import type { LeaderContext } from "../src/partitions/leader-context.js";
import type { Partition } from "../src/partitions/partition.js";
import type { Progress } from "../src/partitions/progress.js";
import type { Recovery } from "../src/partitions/recovery.js";
import { Invariants, InvariantViolated } from "../src/platform/invariants.js";
import type { Log } from "../src/platform/log.js";
import { Scope } from "../src/platform/scope.js";
import { runSchedulingCycle } from "../src/queue/scheduling-cycle.js";
import { ClassAccounting } from "../src/job-classes/class-accounting.js";
import { proofFlaw, type TerminationProof } from "../src/workers/termination-proof.js";
import { isLeaseExpired } from "../src/workers/lease.js";
import type { Machine } from "../src/workers/machine.js";
import { dropAllAttempts } from "../src/workers/attempt-end.js";
import { newFindings, type Findings } from "../src/workers/findings.js";
import { applyReport } from "../src/workers/report-intake.js";
import { NOW, partitionOf, schedulingContext, enqueue, specOf } from "./world/partitions.js";

const EXPIRY_MS = 18_000;
const TERM = 5;

/** Creates a partition of two machines and one task, which runs on `machine`. */
function partitionWithOneTask(): { partition: Partition; machine: Machine; other: Machine } {
  const { partition } = partitionOf(2, { cpus: 4, gpus: 0, ram: 8 });
  enqueue(partition, specOf({ cpus: 4 }));
  runSchedulingCycle(partition, schedulingContext);
  const machines = [...partition.machines.values()];
  const machine = machines.find(({ placements }) => placements.size > 0)!;
  for (const placement of machine.placements.values()) Object.assign(placement, { state: "running", directStart: "answered" });
  machine.answeredAt = NOW;
  return { partition, machine, other: machines.find((one) => one !== machine)! };
}

function report(machine: Machine, change: Partial<Report>): Report {
  const { host, type, zone, spot, session, seq } = machine;
  return { host, addr: "x", type, zone, spot, session, seq: seq + 1, token: TERM, noticeS: null, tasks: [], ...change };
}

const context = { now: NOW, viaReport: true, leaseMs: EXPIRY_MS, coolMs: 1, placeholderFor: () => assert.fail("the job is recorded") };

test("a lease counts as expired only by a read that began after its end, whatever the clock shows", () => {
  const { machine } = partitionWithOneTask();
  assert.equal(isLeaseExpired(machine, NOW + EXPIRY_MS, EXPIRY_MS), false);
  assert.equal(isLeaseExpired(machine, NOW + EXPIRY_MS + 1, EXPIRY_MS), true);
  const proof = (provenAt: number): TerminationProof => ({ by: "lease over", answeredAt: NOW, expiryMs: EXPIRY_MS, provenAt });
  assert.notEqual(proofFlaw(proof(NOW + EXPIRY_MS), TERM), null);
  assert.equal(proofFlaw(proof(NOW + EXPIRY_MS + 1), TERM), null);
});

const INVALID_PROOFS: [string, (partition: Partition, machine: Machine, findings: Findings) => void][] = [
  [
    "a lease that ended after the last proof",
    (partition, machine, findings) =>
      dropAllAttempts(
        { partition, machine, now: NOW, findings },
        { by: "lease over", answeredAt: NOW, expiryMs: EXPIRY_MS, provenAt: NOW + EXPIRY_MS },
      ),
  ],
  [
    "a newer owner's report that lists nothing",
    (partition, machine, findings) => void applyReport(partition, machine, report(machine, { token: TERM + 1 }), context, findings),
  ],
  [
    "a newer owner's report of a new session",
    (partition, machine, findings) =>
      void applyReport(partition, machine, report(machine, { token: TERM + 1, session: 2 }), context, findings),
  ],
];

for (const [what, act] of INVALID_PROOFS)
  test(`invalid proof: ${what} drops no attempt and violates an invariant`, () => {
    const { partition, machine, other } = partitionWithOneTask();
    const findings = newFindings();
    act(partition, machine, findings);
    assert.equal(machine.placements.size, 1, "the attempt still counts");
    assert.equal(findings.ended.length, 0);
    assert.ok(findings.unproven.length > 0);
    runSchedulingCycle(partition, { ...schedulingContext, now: NOW });
    assert.equal(other.placements.size, 0, "its task does not start elsewhere");
    const logged: { entry: Record<string, unknown>; text: string }[] = [];
    const ignore = (): void => undefined;
    const error = (entry: Record<string, unknown>, text: string): void => void logged.push({ entry, text });
    const log = { error, warn: ignore, info: ignore, debug: ignore, isLevelEnabled: () => false } as unknown as Log;
    const clock = new VirtualClock();
    const scope = new Scope(clock, log, undefined, new Invariants(log, true));
    const leaderContext = {
      scope,
      audit: new Audit(clock, log, () => 0, 1),
      account: new ClassAccounting(),
      requestSchedulingCycle: ignore,
    } as unknown as LeaderContext;
    const noProgress = { record: ignore } as unknown as Progress & Recovery;
    assert.throws(() => new FindingEffects(leaderContext, noProgress, noProgress).apply(partition, findings), InvariantViolated);
    assert.equal(scope.invariants.violations, 1);
    const { entry } = logged[0]!;
    assert.deepEqual([entry["part"], entry["term"], entry["host"], entry["piece"]], [0, TERM, machine.host, "run-000001/0"]);
    assert.equal(typeof entry["reason"], "string");
    assert.equal(typeof entry["flaw"], "string");
  });

test("valid proofs: the same lease with a later read, a report under this term, a machine that the cloud deleted", () => {
  const drops: ((partition: Partition, machine: Machine, findings: Findings) => void)[] = [
    (partition, machine, findings) =>
      dropAllAttempts(
        { partition, machine, now: NOW, findings },
        { by: "lease over", answeredAt: NOW, expiryMs: EXPIRY_MS, provenAt: NOW + EXPIRY_MS + 1 },
      ),
    (partition, machine, findings) => dropAllAttempts({ partition, machine, now: NOW, findings }, { by: "machine deleted" }),
    (partition, machine, findings) => void applyReport(partition, machine, report(machine, {}), context, findings),
    (partition, machine, findings) =>
      void applyReport(partition, machine, report(machine, { token: TERM - 1, session: 2 }), context, findings),
  ];
  const proofs = drops.map((drop) => {
    const { partition, machine } = partitionWithOneTask();
    const findings = newFindings();
    drop(partition, machine, findings);
    assert.deepEqual([machine.placements.size, findings.unproven.length], [0, 0]);
    return [...partition.taskSets.values()][0]!.lastGone.get(0)?.by;
  });
  assert.deepEqual(proofs, ["lease over", "machine deleted", "not listed", "new session"]);
});

test("a restart under a stale proof of ownership is logged at info level, with the proof's age and why the last attempt is gone", () => {
  const { partition, machine } = partitionWithOneTask();
  const lines: { entry: Record<string, unknown>; text: string }[] = [];
  const info = (entry: Record<string, unknown>, text: string): void => void lines.push({ entry, text });
  const log = { info, isLevelEnabled: () => false } as unknown as Log;
  let readAgoMs = 0;
  const audit = new Audit(new VirtualClock(), log, () => readAgoMs, 2000);
  const [placement] = machine.placements.values();
  audit.logOrdered(partition, placement!);
  placement!.taskSet.lastGone.set(0, { attempt: 4, host: "i-9", by: "exited" });
  audit.logOrdered(partition, placement!);
  readAgoMs = 9000;
  audit.logOrdered(partition, placement!);
  assert.equal(lines.length, 1, "only a stale proof is logged at info level");
  assert.equal(lines[0]!.text, "attempt ordered again without fresh proof of ownership");
  assert.equal(lines[0]!.entry["readAgoMs"], 9000);
  assert.deepEqual(lines[0]!.entry["former"], { attempt: 4, host: "i-9", by: "exited" });
  for (let i = 0; i < 1000; i++) audit.logOrdered(partition, placement!);
  assert.ok(lines.length < 300, "the rate of the lines is bounded");
  assert.equal(audit.staleRestarts, 1001);
});
