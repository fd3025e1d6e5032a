import assert from "node:assert/strict";
import { test } from "node:test";
import type { JobSpec } from "@thorntrail/protocol/jobs";
import { findViolations, countStartsAfterWithdrawal, type HistoryEvent, type CheckLimits } from "@thorntrail/emulator/checker";
import { specOf } from "./world/partitions.js";

// Each rule that the checker enforces is tested with a history of events that breaks only that rule.
const limits: CheckLimits = { cancelMs: 43_000, teams: new Map([["ops", { cpus: 10, gpus: 0 }]]) };
const spec = (over: Partial<JobSpec> = {}): JobSpec => specOf({ tasks: 2, cpus: 4, ...over });
const submitted = (over: Partial<JobSpec> = {}): HistoryEvent => ({ at: 0, kind: "submitted", spec: spec(over) });
const on = (at: number, task: number, host: string, over: object = {}): HistoryEvent => ({
  at,
  kind: "on",
  piece: `run-000001/${task}`,
  host,
  type: "m",
  zone: "a",
  spot: false,
  ...over,
});
const off = (at: number, task: number, host: string, cause = "done"): HistoryEvent => ({
  at,
  kind: "off",
  piece: `run-000001/${task}`,
  host,
  cause,
});
const reportedStatus = (
  at: number,
  what: "accepted" | "queued" | "done" | "withdrawn" | "unknown" | "refused" | "running",
): HistoryEvent => ({
  at,
  kind: "told",
  ref: "run-000001",
  what,
});
const asked: HistoryEvent = { at: 1, kind: "asked-cancel", ref: "run-000001" };

const good: HistoryEvent[] = [
  submitted(),
  reportedStatus(1, "queued"),
  on(2, 0, "x"),
  on(2, 1, "y"),
  off(9, 0, "x"),
  off(9, 1, "y"),
  reportedStatus(10, "done"),
];
const bad: Record<string, HistoryEvent[]> = {
  ran_twice: [submitted(), on(2, 0, "x"), on(3, 0, "y")],
  quota: [submitted({ tasks: 3 }), on(2, 0, "x"), on(2, 1, "x"), on(2, 2, "x")],
  wrong_place: [submitted({ zone: "b" }), on(2, 0, "x")],
  ran_cancelled: [submitted(), asked, on(2, 0, "x"), reportedStatus(3, "withdrawn"), off(50_000, 0, "x")],
  forgotten: [submitted(), reportedStatus(1, "queued"), on(2, 0, "x"), reportedStatus(3, "unknown")],
  invented: [reportedStatus(1, "queued"), on(2, 0, "x")],
  not_done: [submitted(), on(2, 0, "x"), off(3, 0, "x"), reportedStatus(4, "done")],
  went_back: [...good, reportedStatus(11, "running")],
  too_early: [submitted({ needs: ["run-000002"] }), reportedStatus(1, "queued"), on(2, 0, "x")],
  orphaned: [
    submitted(),
    { at: 0, kind: "submitted", spec: spec({ ref: "run-000002", needs: ["run-000001"] }) },
    asked,
    on(2, 0, "x"),
    off(3, 0, "x", "stopped"),
    reportedStatus(4, "withdrawn"),
    { at: 50_000, kind: "told", ref: "run-000002", what: "queued" },
  ],
  nothing_ran: [submitted(), reportedStatus(1, "queued")],
};

test("a correct history breaks no rule", () => assert.deepEqual(findViolations(good, limits), []));
for (const [rule, history] of Object.entries(bad)) {
  test(`the checker detects ${rule}`, () => {
    const broken = findViolations(history, limits);
    assert.equal(broken.length, 1, broken.join("; "));
    assert.ok(broken[0]!.startsWith(rule), broken[0]);
  });
}
test("machine types, spreading and placement in one zone are checked", () => {
  for (const [over, history] of [
    [{ types: ["n"] }, [on(2, 0, "x")]],
    [{ spot: false }, [on(2, 0, "x", { spot: true })]],
    [{ oneZone: true }, [on(2, 0, "x"), on(2, 1, "y", { zone: "b" })]],
    [{ spread: true }, [on(2, 0, "x"), on(2, 1, "y")]],
  ] as [Partial<JobSpec>, HistoryEvent[]][]) {
    assert.match(findViolations([submitted(over), ...history], limits)[0] ?? "none", /^wrong_place/);
  }
});
test("a job is withdrawn with a job that it depends on, directly or transitively", () => {
  const chain = ["run-000002", "run-000003"].map((ref, i) => submitted({ ref, needs: [`run-00000${i + 1}`] }));
  const confirmed: HistoryEvent = { at: 5, kind: "told", ref: "run-000003", what: "withdrawn" };
  const ran = [on(2, 0, "x"), off(3, 0, "x", "stopped")];
  assert.deepEqual(findViolations([submitted(), ...chain, asked, ...ran, reportedStatus(4, "withdrawn"), confirmed], limits), []);
  assert.match(findViolations([submitted(), ...chain, ...ran, confirmed], limits)[0] ?? "none", /^went_back/);
});
test("a start after the time limit of a cancellation is detected", () => {
  assert.match(
    findViolations([submitted(), asked, reportedStatus(3, "withdrawn"), on(50_000, 0, "x")], limits)[0] ?? "none",
    /^ran_cancelled/,
  );
});
test("a task of a cancelled job that is still running when the history ends is detected", () => {
  const left = [submitted(), asked, on(2, 0, "x"), reportedStatus(3, "withdrawn")];
  assert.deepEqual(findViolations(left, { ...limits, historyEndAt: 43_003 }), []);
  assert.match(findViolations(left, { ...limits, historyEndAt: 43_004 })[0] ?? "none", /^ran_cancelled/);
});
test("a job whose polls stay unanswered long after the faults have ended is forgotten", () => {
  const polls = (from: number, to: number): HistoryEvent[] =>
    Array.from({ length: (to - from) / 5000 + 1 }, (_, i) => ({ at: from + i * 5000, kind: "unanswered", ref: "run-000001" }));
  const began = [submitted(), reportedStatus(1, "queued"), on(2, 0, "x")];
  const broken = (history: HistoryEvent[], faultsEndAt: number): string =>
    findViolations([...began, ...history], { ...limits, faultsEndAt }).join();
  assert.match(broken(polls(10_000, 120_000), 30_000), /^forgotten at 110\.0 s: run-000001 got no response since 10\.0 s$/);
  assert.equal(broken(polls(10_000, 120_000), 60_000), "", "the time of the faults does not count");
  assert.equal(
    broken([...polls(10_000, 80_000), reportedStatus(81_000, "running"), ...polls(85_000, 150_000)], 0),
    "",
    "one response is enough",
  );
  assert.equal(broken([...polls(10_000, 80_000), ...polls(85_000, 86_000)], 0), "", "75 s have not passed");
});

test("responses are checked in real time: those of overlapping requests may differ, that of a request sent later is never older", () => {
  const answer = (at: number, asked: number, what: "unknown" | "queued" | "done" | "withdrawn" | "refused"): HistoryEvent => ({
    at,
    asked,
    kind: "told",
    ref: "run-000001",
    what,
  });
  const ran = [submitted(), on(2, 0, "x"), on(2, 1, "y"), off(9, 0, "x"), off(9, 1, "y")];
  const violationsOf = (...answers: HistoryEvent[]): string => findViolations([...ran, ...answers], limits).join();
  // Requests overlap: the second one was sent before the response to the first arrived, and answered after it.
  assert.equal(violationsOf(answer(20, 10, "queued"), answer(21, 19, "unknown")), "");
  assert.equal(violationsOf(answer(20, 10, "done"), answer(21, 19, "queued")), "");
  assert.match(violationsOf(answer(20, 10, "queued"), answer(30, 20, "unknown")), /^forgotten/);
  assert.match(violationsOf(answer(20, 10, "queued"), answer(30, 21, "refused")), /^forgotten/);
  assert.match(violationsOf(answer(20, 10, "done"), answer(30, 21, "queued")), /^went_back/);
  // A job counts as accepted or done from the first response that reported it, whatever responses follow.
  assert.match(violationsOf(answer(20, 10, "queued"), answer(21, 5, "unknown"), answer(30, 20.5, "unknown")), /^forgotten/);
  assert.match(violationsOf(answer(20, 10, "done"), answer(25, 10, "done"), answer(30, 22, "queued")), /^went_back/);
  // `done` and `withdrawn` are both final and exclude one another, whether the requests overlap or not.
  assert.match(violationsOf(asked, answer(20, 10, "done"), answer(21, 10, "withdrawn")), /^went_back/);
});
test("starts after a confirmed cancellation are counted; the rule is broken only after the time limit", () => {
  const history = [
    submitted(),
    asked,
    reportedStatus(3, "withdrawn"),
    on(4, 0, "x"),
    off(5, 0, "x", "stopped"),
    on(6, 1, "x"),
    off(7, 1, "x", "stopped"),
  ];
  assert.deepEqual([findViolations(history, limits), countStartsAfterWithdrawal(history)], [[], 2]);
  assert.equal(countStartsAfterWithdrawal(good), 0);
});
test("accepting a job that must not be accepted is detected, and refusing it breaks no rule", () => {
  const wrong: HistoryEvent = { at: 0, kind: "submitted", spec: spec({ ref: "run-000002", cpus: 500 }), never: "fits no machine" };
  const answer = (what: "refused" | "queued"): HistoryEvent => ({ at: 1, kind: "told", ref: "run-000002", what });
  assert.deepEqual(findViolations([...good, wrong, answer("refused")], limits), []);
  assert.match(findViolations([...good, wrong, answer("queued")], limits).join(), /^accepted_wrongly .*run-000002: fits no machine$/);
});
test("after the faults have ended, a job that waits although free capacity fits it is detected, and others are not", () => {
  const up = (over: object = {}): HistoryEvent =>
    ({
      ...{ at: 0, kind: "up", host: "z", type: "m", zone: "a", spot: false, cpus: 8, gpus: 0, ram: 64, ...over },
    }) as HistoryEvent;
  const began = [submitted(), reportedStatus(1, "queued"), on(2, 0, "x")];
  const broken = (history: HistoryEvent[], over: Partial<CheckLimits> = {}): string =>
    findViolations([...history, ...began], { ...limits, faultsEndAt: 10_000, historyEndAt: 101_000, ...over }).join();
  assert.match(broken([up()]), /^idle_room at 100\.0 s: run-000001 waits although there is free capacity$/);
  assert.equal(broken([up()], { historyEndAt: 99_000 }), "", "90 s have not passed");
  assert.equal(broken([up()], { faultsEndAt: 20_000 }), "", "the time of the faults does not count");
  assert.equal(broken([up({ cpus: 3 })]), "", "no capacity for one of its tasks");
  assert.equal(broken([up()], { teams: new Map([["ops", { cpus: 7, gpus: 0 }]]) }), "", "its team is at its limit");
  assert.equal(broken([up({ spot: true })]), "", "it may not use a spot machine");
  assert.equal(
    findViolations([up(), ...began, { at: 60_000, kind: "gone", host: "z" }], { ...limits, faultsEndAt: 0, historyEndAt: 200_000 }).join(),
    "",
  );
  const gang = (cpus: number): string =>
    findViolations(
      [up({ cpus }), submitted({ kind: "gang" }), reportedStatus(1, "queued"), on(2, 0, "y", { at: 2 }), off(3, 0, "y", "alone")],
      {
        ...limits,
        faultsEndAt: 10_000,
        historyEndAt: 101_000,
      },
    ).join();
  assert.match(gang(8), /^idle_room/);
  assert.equal(gang(7), "", "all tasks of a gang must fit");
});
