/**
 * Explicit-state model, in discrete steps of time, of one machine with one task, a partition's former owner that can no longer
 * reach the state service, and its new owner. It explores every way in which reports, answers and commands of both owners can
 * arrive, be lost, or arrive again later. The new owner runs the production code for reports, lease renewals, orders and lease
 * expiry. Each state must satisfy:
 * - the new owner does not consider the task ended on a fenced machine (one that no longer obeys the former owner) that still
 *   has it;
 * - if the job is cancelled at another controller just after the former owner last proved its ownership, its task has ended
 *   within `CANCEL` steps.
 */
import type { Report } from "@thorntrail/protocol/worker";
import { addMachine, addTaskSet, newPartition } from "../../src/partitions/partition.js";
import { Bits } from "../../src/platform/bits.js";
import { newTaskSet } from "../../src/queue/task-set.js";
import { fence } from "../../src/workers/fence.js";
import { newMachine, type Machine } from "../../src/workers/machine.js";
import { dropAllAttempts } from "../../src/workers/attempt-end.js";
import { newFindings } from "../../src/workers/findings.js";
import { applyReport } from "../../src/workers/report-intake.js";
import { isLeaseExpired, recordLeaseRenewal } from "../../src/workers/lease.js";
import { ordersFor } from "../../src/workers/orders.js";
import { specOf } from "./partitions.js";

/** Switches that each break one rule on purpose; the exploration has to find a violation with each of them. */
export interface FaultyVariant {
  /**
   * Faulty variant: the new owner's answer to a report counts as the machine's latest lease renewal, although the machine has
   * not shown the new owner's token and may still receive a later answer from the former owner.
   */
  answerShortensWait?: boolean;
  /** Faulty variant: the former owner stops answering reports two steps too late. */
  silentLate?: boolean;
  /** Faulty variant: the new owner accepts a report although it has received a newer one. */
  acceptsOldReports?: boolean;
  /** Faulty variant: the answer to a report of a machine that is not fenced renews its lease but carries no stop orders. */
  answerStopsNothing?: boolean;
  /** Faulty variant: a worker's new session, learnt from its reply to a command, does not count as a lease renewal. */
  sessionIsNoLease?: boolean;
  /**
   * Faulty variant: the new owner assumes that leases run out one lease duration after its claim; it does not wait until the
   * former owner has certainly stopped renewing them.
   */
  skipsSilenceWait?: boolean;
}

const LEASE = 3;
const SILENT_AFTER = 4;
/**
 * Steps after which the task of a cancelled job must have ended: the time for which an owner without the state service still
 * answers, the lease, and one step for an answer in transit.
 */
const CANCEL = SILENT_AFTER + LEASE + 1;
const HORIZON = CANCEL + LEASE + 3;
const OLD = 1;
const NEW = 2;

interface State {
  /** The worker's session number, the owner's token that it obeys (`token`), the start of its lease, and whether it has the task. */
  session: number;
  token: number;
  leaseFrom: number;
  task: boolean;
  /** Whether the new owner has started a task on the machine; the time limit for tasks of cancelled jobs does not apply to that one. */
  restarted: boolean;
  /** Step in which the new owner claimed the partition, null before that; `record` is what it has known about the machine since then. */
  claimedAt: number | null;
  record: {
    session: number;
    seq: number;
    lastReceivedAt: number;
    answeredAt: number;
    fenced: boolean;
    lost: boolean;
    holds: boolean;
  } | null;
  /** An earlier report of the worker that may arrive a second time; `seq` is the step in which it was sent. */
  copy: { session: number; seq: number; token: number; task: boolean } | null;
}

const TASK_ID = "run-000001/0";

function reportOf(at: { session: number; seq: number; token: number; task: boolean }): Report {
  const { session, seq, token, task } = at;
  const tasks = task ? [{ taskId: TASK_ID, attempt: 9, state: "running" as const, cause: null, saved: false }] : [];
  return { host: "i-1", addr: "x", type: "m", zone: "a", spot: false, session, seq, token, noticeS: null, tasks };
}

/** Builds the new owner's partition and machine from a state of the model; the returned `receive` applies a report to them. */
function newOwnerOf(state: State) {
  const partition = newPartition(0, NEW, 0);
  const taskSet = newTaskSet("t/j/run-000001", specOf({ tasks: 1 }), 0, 1, new Bits(1), 0, 0);
  addTaskSet(partition, taskSet);
  const machine: Machine = newMachine("i-1", "m", "a", false, { cpus: 9, gpus: 0, ram: 9 }, 0);
  const { holds, ...rest } = state.record!;
  const { session, seq, lastReceivedAt, answeredAt, fenced, lost } = rest;
  Object.assign(machine, { up: true, addr: "x", session, seq, lastReceivedAt, answeredAt, fenced, lost });
  addMachine(partition, machine);
  const receive = (report: Report, now: number, viaReport = true): boolean =>
    applyReport(
      partition,
      machine,
      report,
      {
        now,
        viaReport,
        leaseMs: LEASE,
        coolMs: 1,
        placeholderFor: () => taskSet,
      },
      newFindings(),
    );
  // If the machine held the task, a report that lists the task recreates its attempt (run of the task).
  if (holds) {
    machine.seq = -1;
    const { lost: wasLost, fenced: wasFenced, lastReceivedAt: before } = machine;
    receive(reportOf({ session, seq, token: OLD, task: true }), 0);
    Object.assign(machine, { lost: wasLost, fenced: wasFenced, lastReceivedAt: before });
  }
  return { partition, machine, taskSet, receive };
}

function snapshotOf(machine: Machine): NonNullable<State["record"]> {
  const { session, seq, lastReceivedAt, answeredAt, fenced, lost, placements } = machine;
  return { session, seq, lastReceivedAt, answeredAt, fenced, lost, holds: placements.size > 0 };
}

type Delivery = "lost" | "arrives";

/** Explores all states of the first `HORIZON` steps; `broken` is the first violation with the steps that led to it, or null. */
export function exploreLeases(wrong: FaultyVariant = {}): { states: number; broken: string | null } {
  const silentAfter = SILENT_AFTER + (wrong.silentLate === true ? 2 : 0);
  let layer = new Map<string, { state: State; path: string[] }>();
  const initial: State = { session: 1, token: OLD, leaseFrom: 0, task: true, restarted: false, claimedAt: null, record: null, copy: null };
  layer.set("", { state: initial, path: [] });
  let states = 0;
  let broken: string | null = null;

  for (let now = 1; now <= HORIZON && broken === null; now++) {
    const next = new Map<string, { state: State; path: string[] }>();
    const reach = (state: State, path: string[], what: string): void => {
      const key = JSON.stringify(state);
      if (next.has(key)) return;
      const trace = [...path, `${now}: ${what}`];
      next.set(key, { state, path: trace });
      const { record, task, claimedAt, restarted } = state;
      if (claimedAt !== null && record!.fenced && !record!.holds && task && broken === null)
        broken = `the new owner may start the task elsewhere; ${trace.join("; ")}`;
      if (now > CANCEL && task && !restarted && broken === null) broken = `the task of a cancelled job is still there; ${trace.join("; ")}`;
    };
    for (const { state, path } of layer.values()) {
      const current = { ...state };
      if (now - current.leaseFrom > LEASE) Object.assign(current, { task: false, session: current.session + 1, leaseFrom: now });
      if (current.claimedAt === null && now >= 2) {
        const answeredAt = now + (wrong.skipsSilenceWait === true ? 0 : SILENT_AFTER);
        const record = { session: 0, seq: 0, lastReceivedAt: -1, answeredAt, fenced: false, lost: false, holds: false };
        visit({ ...current, claimedAt: now, record }, path, "claimed, ");
      }
      visit(current, path, "");
    }

    function visit(from: State, path: string[], prefix: string): void {
      // The new owner first checks whether the machine's lease has expired, as `LeaseWatch` does.
      const s = { ...from };
      if (s.record !== null && !s.record.lost) {
        const { partition, machine } = newOwnerOf(s);
        if (isLeaseExpired(machine, now, LEASE)) {
          machine.lost = true;
          fence(partition, machine, "lease", []);
          const proof = { by: "lease over", answeredAt: machine.answeredAt, expiryMs: LEASE, provenAt: now } as const;
          dropAllAttempts({ partition, machine, now, findings: newFindings() }, proof);
          s.record = snapshotOf(machine);
        }
      }
      const report = { session: s.session, seq: now, token: s.token, task: s.task };
      // The report that may arrive a second time later is either the copy kept so far or this step's report.
      const copies = s.copy === null ? [report] : [s.copy, report];
      reach(s, path, `${prefix}nothing`);
      // The new owner receives an old report a second time; its answer is lost.
      if (s.copy !== null && s.record !== null) {
        const { machine, receive } = newOwnerOf(s);
        if (wrong.acceptsOldReports === true) machine.seq = -1;
        recordLeaseRenewal(machine, receive(reportOf(s.copy), now), now);
        reach({ ...s, record: snapshotOf(machine), copy: null }, path, `${prefix}an old report`);
      }
      // The machine reports to the former owner, which still answers. Unaware of the cancellation, that owner may start the task again.
      if (now <= silentAfter && s.token === OLD) {
        for (const task of [s.task, true])
          for (const copy of copies)
            reach({ ...s, leaseFrom: now, task, copy }, path, `${prefix}answered by the former owner${task === s.task ? "" : ", started"}`);
      }
      if (s.record === null) return;
      for (const answer of ["lost", "arrives"] satisfies Delivery[]) {
        const { machine, receive } = newOwnerOf(s);
        const before = machine.answeredAt;
        const newer = receive(reportOf(report), now);
        recordLeaseRenewal(machine, newer, now);
        if (wrong.answerShortensWait === true && before > now) machine.answeredAt = now;
        // The new owner read the job's record, which includes the cancellation, when it claimed the partition; so it stops the task.
        for (const placement of machine.placements.values()) placement.stop = { graceS: 0 };
        const orders = ordersFor(machine, "report", {
          now,
          leaseMs: LEASE,
          isClearable: () => false,
          onStartRefused: () => undefined,
          max: 9,
        });
        const stops = orders.some(({ verb }) => verb === "stop") && (machine.fenced || wrong.answerStopsNothing !== true);
        const there = answer === "arrives" ? { token: NEW, leaseFrom: now, task: s.task && !stops } : {};
        for (const copy of copies)
          reach({ ...s, ...there, record: snapshotOf(machine), copy }, path, `${prefix}reported to the new owner, answer ${answer}`);
      }
      // The worker receives the new owner's token by a direct command and shows it in its reply or, if that is lost, its next report.
      const shown = { ...s, token: NEW };
      reach(shown, path, `${prefix}token by command, reply lost`);
      const { machine, receive } = newOwnerOf(s);
      receive(reportOf({ ...report, token: NEW }), now, false);
      reach({ ...shown, record: snapshotOf(machine) }, path, `${prefix}token by command`);
      // The new owner orders a start by a direct command. The worker executes it if the command names its current session; otherwise
      // it only replies with that session.
      if (s.token === NEW && s.record.fenced && !s.record.lost && !s.record.holds) {
        const { machine: repliedMachine, receive: receiveReply } = newOwnerOf(s);
        const { answeredAt } = repliedMachine;
        const executed = repliedMachine.session === s.session;
        const after = executed ? { ...s, task: true, restarted: true } : s;
        receiveReply(reportOf({ ...report, task: after.task }), now, false);
        if (wrong.sessionIsNoLease === true) repliedMachine.answeredAt = answeredAt;
        reach({ ...after, record: snapshotOf(repliedMachine) }, path, `${prefix}${executed ? "started by command" : "session by command"}`);
      }
    }
    states += next.size;
    layer = next;
  }
  return { states, broken };
}
