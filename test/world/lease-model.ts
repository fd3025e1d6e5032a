import type { Report } from "@thorntrail/protocol/worker";
import { addMachine, addTaskSet, newPartition } from "../../src/parts/partition.js";
import { Bits } from "../../src/platform/bits.js";
import { newTaskSet } from "../../src/queue/task-set.js";
import { fence } from "../../src/workers/fence.js";
import { newMachine, type Machine } from "../../src/workers/machine.js";
import { dropAllAttempts, newFindings, applyReport } from "../../src/workers/report-intake.js";
import { isLeaseExpired, recordLeaseRenewal } from "../../src/workers/lease.js";
import { ordersFor } from "../../src/workers/orders.js";
import { specOf } from "./parts.js";

/**
 * One machine with one task between a leader that has lost the state service and its heir, in steps of time: every
 * way in which reports, answers and commands of both can arrive, be lost, or arrive again later. The heir is the very
 * code that takes reports, notes answers, gives orders and counts leases as over. In each state it must hold that:
 * - the heir never holds the task for gone, on a machine that it has accounted for, while the machine has it;
 * - of a job cancelled elsewhere just after the leader's last proof, the task is gone in the time there is.
 */
export interface Wrong {
  /** As it was: an answer of the heir's counts as the newest, whether or not the machine has shown its term. */
  answerCutsShort?: boolean;
  /** The leader falls silent two steps too late. */
  silentLate?: boolean;
  /** A report counts as news though it is older than the newest. */
  oldIsNews?: boolean;
  /** An answer to a machine that has not shown the term renews its lease and stops nothing. */
  answerStopsNothing?: boolean;
  /** A session that the heir learns of by a reply to a command does not count as a lease. */
  sessionIsNoLease?: boolean;
  /** The heir counts from its claim, without the time in which the former leader may go on answering. */
  noSilence?: boolean;
}

const LEASE = 3;
const SILENT_AFTER = 4;
/** The least that silence and lease allow, and the step in which an answer is on its way. */
const CANCEL = SILENT_AFTER + LEASE + 1;
const HORIZON = CANCEL + LEASE + 3;
const OLD = 1;
const NEW = 2;

interface State {
  /** Of the worker. */
  session: number;
  token: number;
  leaseFrom: number;
  task: boolean;
  /** The heir started it again: no longer the task of the cancelled job. */
  restarted: boolean;
  /** Of the heir, once it leads: what it keeps of the machine. */
  claimedAt: number | null;
  heard: {
    session: number;
    seq: number;
    lastReceivedAt: number;
    answeredAt: number;
    fenced: boolean;
    lost: boolean;
    holds: boolean;
  } | null;
  /** A report that may arrive again, and when it was sent. */
  copy: { session: number; seq: number; token: number; task: boolean } | null;
}

const PIECE = "run-000001/0";

function reportOf(at: { session: number; seq: number; token: number; task: boolean }): Report {
  const { session, seq, token, task } = at;
  const tasks = task ? [{ piece: PIECE, attempt: 9, state: "running" as const, cause: null, saved: false }] : [];
  return { host: "i-1", addr: "x", type: "m", zone: "a", spot: false, session, seq, token, noticeS: null, tasks };
}

/** The heir's view as the code has it. `over`: the job is recorded as cancelled, which the heir knows. */
function heirOf(state: State) {
  const part = newPartition(0, NEW, 0);
  const unit = newTaskSet("t/j/run-000001", specOf({ tasks: 1 }), 0, 1, new Bits(1), 0, 0);
  addTaskSet(part, unit);
  const machine: Machine = newMachine("i-1", "m", "a", false, { cpus: 9, gpus: 0, ram: 9 }, 0);
  const { holds, ...rest } = state.heard!;
  const { session, seq, lastReceivedAt, answeredAt, fenced, lost } = rest;
  Object.assign(machine, { up: true, addr: "x", session, seq, lastReceivedAt, answeredAt, fenced, lost });
  addMachine(part, machine);
  const hear = (report: Report, now: number, viaReport = true): boolean =>
    applyReport(
      part,
      machine,
      report,
      {
        now,
        viaReport,
        leaseMs: LEASE,
        coolMs: 1,
        placeholderFor: () => unit,
      },
      newFindings(),
    );
  // What it held before goes on by a report of the same content as the one that showed it.
  if (holds) {
    machine.seq = -1;
    const { lost: wasLost, fenced: wasFenced, lastReceivedAt: before } = machine;
    hear(reportOf({ session, seq, token: OLD, task: true }), 0);
    Object.assign(machine, { lost: wasLost, fenced: wasFenced, lastReceivedAt: before });
  }
  return { part, machine, unit, hear };
}

function keep(machine: Machine): NonNullable<State["heard"]> {
  const { session, seq, lastReceivedAt, answeredAt, fenced, lost, placements } = machine;
  return { session, seq, lastReceivedAt, answeredAt, fenced, lost, holds: placements.size > 0 };
}

type Channel = "lost" | "arrives";

/** Explores all; says how many states there are, and the first thing wrong with what led to it. */
export function exploreLeases(wrong: Wrong = {}): { states: number; broken: string | null } {
  const silentAfter = SILENT_AFTER + (wrong.silentLate === true ? 2 : 0);
  let layer = new Map<string, { state: State; path: string[] }>();
  const begin: State = { session: 1, token: OLD, leaseFrom: 0, task: true, restarted: false, claimedAt: null, heard: null, copy: null };
  layer.set("", { state: begin, path: [] });
  let states = 0;
  let broken: string | null = null;

  for (let now = 1; now <= HORIZON && broken === null; now++) {
    const next = new Map<string, { state: State; path: string[] }>();
    const reach = (state: State, path: string[], what: string): void => {
      const key = JSON.stringify(state);
      if (next.has(key)) return;
      const trace = [...path, `${now}: ${what}`];
      next.set(key, { state, path: trace });
      const { heard, task, claimedAt, restarted } = state;
      if (claimedAt !== null && heard!.fenced && !heard!.holds && task && broken === null)
        broken = `the heir may start the task elsewhere; ${trace.join("; ")}`;
      if (now > CANCEL && task && !restarted && broken === null) broken = `the task of a cancelled job is still there; ${trace.join("; ")}`;
    };
    for (const { state, path } of layer.values()) {
      const w = { ...state };
      if (now - w.leaseFrom > LEASE) Object.assign(w, { task: false, session: w.session + 1, leaseFrom: now });
      if (w.claimedAt === null && now >= 2) {
        const answeredAt = now + (wrong.noSilence === true ? 0 : SILENT_AFTER);
        const heard = { session: 0, seq: 0, lastReceivedAt: -1, answeredAt, fenced: false, lost: false, holds: false };
        visit({ ...w, claimedAt: now, heard }, path, "claimed, ");
      }
      visit(w, path, "");
    }

    function visit(from: State, path: string[], prefix: string): void {
      // The heir looks at the time first, as its watch does.
      const s = { ...from };
      if (s.heard !== null && !s.heard.lost) {
        const { part, machine } = heirOf(s);
        if (isLeaseExpired(machine, now, LEASE)) {
          machine.lost = true;
          fence(part, machine, "lease", []);
          const proof = { by: "lease over", answeredAt: machine.answeredAt, expiryMs: LEASE, provenAt: now } as const;
          dropAllAttempts({ partition: part, machine, now, findings: newFindings() }, proof);
          s.heard = keep(machine);
        }
      }
      const report = { session: s.session, seq: now, token: s.token, task: s.task };
      // A copy is made of this report, or one of an earlier report is still on its way.
      const copies = s.copy === null ? [report] : [s.copy, report];
      reach(s, path, `${prefix}nothing`);
      // An old report comes again: its answer reaches nobody.
      if (s.copy !== null && s.heard !== null) {
        const { machine, hear } = heirOf(s);
        if (wrong.oldIsNews === true) machine.seq = -1;
        recordLeaseRenewal(machine, hear(reportOf(s.copy), now), now);
        reach({ ...s, heard: keep(machine), copy: null }, path, `${prefix}an old report`);
      }
      // To the leader, while it answers: what it stopped in time it may have started again in ignorance.
      if (now <= silentAfter && s.token === OLD) {
        for (const task of [s.task, true])
          for (const copy of copies)
            reach({ ...s, leaseFrom: now, task, copy }, path, `${prefix}answered by the leader${task === s.task ? "" : ", started"}`);
      }
      if (s.heard === null) return;
      for (const answer of ["lost", "arrives"] satisfies Channel[]) {
        const { machine, hear } = heirOf(s);
        const before = machine.answeredAt;
        const newer = hear(reportOf(report), now);
        recordLeaseRenewal(machine, newer, now);
        if (wrong.answerCutsShort === true && before > now) machine.answeredAt = now;
        // The job is over by the records that the heir has read up to its claim.
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
          reach({ ...s, ...there, heard: keep(machine), copy }, path, `${prefix}reported to the heir, answer ${answer}`);
      }
      // The heir's token by a direct command: shown at once, or with the next report.
      const shown = { ...s, token: NEW };
      reach(shown, path, `${prefix}token by command, reply lost`);
      const { machine, hear } = heirOf(s);
      hear(reportOf({ ...report, token: NEW }), now, false);
      reach({ ...shown, heard: keep(machine) }, path, `${prefix}token by command`);
      // The heir's orders by a direct command: executed in the session that it knows, else answered with the one there is.
      if (s.token === NEW && s.heard.fenced && !s.heard.lost && !s.heard.holds) {
        const { machine: known, hear: learn } = heirOf(s);
        const { answeredAt } = known;
        const executed = known.session === s.session;
        const after = executed ? { ...s, task: true, restarted: true } : s;
        learn(reportOf({ ...report, task: after.task }), now, false);
        if (wrong.sessionIsNoLease === true) known.answeredAt = answeredAt;
        reach({ ...after, heard: keep(known) }, path, `${prefix}${executed ? "started by command" : "session by command"}`);
      }
    }
    states += next.size;
    layer = next;
  }
  return { states, broken };
}
