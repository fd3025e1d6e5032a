import type { Order, Report, ReportedTask } from "@thorntrail/protocol/worker";
import { findUnit, type Part } from "../parts/part.js";
import { taskNumber } from "../queue/attempts.js";
import {
  isBrokenGang,
  markFinished,
  pieceName,
  place,
  release,
  requeue,
  suspect,
  withhold,
  type Placement,
  type Unit,
} from "../queue/unit.js";
import type { End, Ended } from "../served/account.js";
import { attemptKey, hold, letGo, type Machine } from "./machine.js";

/** What a report brought about, for the shell to act on. */
export interface Findings {
  /** Something changed that may let queued work start. */
  changed: boolean;
  /** Slices with tasks done that are not yet recorded. */
  finished: Set<Unit>;
  /** Run times of tasks seen from running to done, for the estimator. */
  runs: { unit: Unit; seconds: number; host: string }[];
  /** Attempts that were first seen running. */
  began: Placement[];
  /** Attempts that are proven gone, and how they ended. */
  ended: Ended[];
  /** Gangs that lost a member and must come down before they can start again. */
  broken: Set<Unit>;
}

export interface ReportContext {
  now: number;
  /** Sent by the worker itself, not the body of an answer to us. */
  viaReport: boolean;
  /** A stand-in for work that belongs elsewhere or has ended, so that its use counts. */
  strangerOf: (ref: string) => Unit;
  leaseMs: number;
  coolMs: number;
}

export function newFindings(): Findings {
  return { changed: false, finished: new Set(), runs: [], began: [], ended: [], broken: new Set() };
}

export function splitPiece(piece: string): { ref: string; task: number } {
  const slash = piece.lastIndexOf("/");
  return { ref: piece.slice(0, slash), task: Number(piece.slice(slash + 1)) };
}

/** Takes an attempt off its machine: it is proven gone there. */
function gone(
  part: Part,
  machine: Machine,
  key: string,
  placement: Placement,
  now: number,
  findings: Findings,
  end: End,
  kept = false,
): void {
  const { runningAt, timed } = placement;
  findings.ended.push({ placement, end, kept, ranS: runningAt === null || !timed ? 0 : Math.max(0, now - runningAt) / 1000 });
  letGo(machine, key);
  release(placement.unit, placement);
  // Seen before its job was known here, or while another unit had the task.
  const found = findUnit(part, placement.unit.spec.ref, taskNumber(placement));
  if (found !== null && found.unit !== placement.unit) requeue(found.unit, found.task);
  findings.changed = true;
  if (isBrokenGang(placement.unit)) findings.broken.add(placement.unit);
  if (machine.placements.size === 0) machine.idleSince = now;
}

/** The worker's lease ran out, the machine was deleted, or a new session began. */
export function dropAll(part: Part, machine: Machine, now: number, findings: Findings): void {
  for (const [key, placement] of [...machine.placements]) gone(part, machine, key, placement, now, findings, "machine");
  machine.exited.clear();
}

/** The job was at fault, not the machines that it failed on. */
export function acquit(part: Part, unit: Unit): void {
  for (const host of unit.failedOn.keys()) {
    const machine = part.machines.get(host);
    if (machine?.errors.delete(unit.spec.ref) === true) machine.avoidUntil = -Infinity;
  }
}

/**
 * A failure is either the machine's or the job's. A job that fails on several
 * machines and never gets a task done is held to be at fault: its machines are
 * acquitted, and it tries again ever less often. Otherwise jobs with a mistake would
 * have good machines set aside one after the other. A machine that fails several
 * jobs which are not at fault, with none done in between, is sick.
 */
function blame(part: Part, machine: Machine, unit: Unit, context: ReportContext): void {
  unit.failedOn.set(machine.host, (unit.failedOn.get(machine.host) ?? 0) + 1);
  if (suspect(unit)) {
    unit.notBefore = context.now + Math.min(context.leaseMs * 3, context.coolMs * 2 ** Math.min(unit.failedOn.size, 8));
    acquit(part, unit);
    return;
  }
  machine.errors.set(unit.spec.ref, (machine.errors.get(unit.spec.ref) ?? 0) + 1);
  if (machine.errors.size > 1) machine.draining = true;
  else machine.avoidUntil = context.now + context.coolMs * 2;
}

function exits(
  part: Part,
  machine: Machine,
  key: string,
  placement: Placement,
  task: ReportedTask,
  context: ReportContext,
  findings: Findings,
): void {
  const { unit } = placement;
  switch (task.cause) {
    case "done":
      if (placement.runningAt !== null && placement.timed)
        findings.runs.push({ unit, seconds: (context.now - placement.runningAt) / 1000, host: machine.host });
      markFinished(unit, placement.task);
      machine.errors.clear();
      findings.finished.add(unit);
      break;
    case "error":
      blame(part, machine, unit, context);
      break;
    case "no_room":
      machine.avoidUntil = Math.max(machine.avoidUntil, context.now + context.coolMs);
      break;
    case "busy":
    case "no_such":
      unit.failures++;
      unit.notBefore = context.now + Math.min(context.leaseMs * 3, context.coolMs * 2 ** Math.min(unit.failures, 6));
      break;
    default:
      break;
  }
  gone(part, machine, key, placement, context.now, findings, endOf(task, unit), task.saved);
}

function endOf({ cause }: ReportedTask, unit: Unit): End {
  if (cause === "done" || cause === "error") return cause;
  if (unit.ended) return "withdrawn";
  if (cause === "stopped") return "stopped";
  return cause === "mates_gone" || cause === "alone" ? "mates" : "refused";
}

function adopt(part: Part, machine: Machine, task: ReportedTask, context: ReportContext): Placement {
  const { ref, task: number } = splitPiece(task.piece);
  const found = findUnit(part, ref, number);
  const placement: Placement = {
    unit: found?.unit ?? context.strangerOf(ref),
    task: found?.task ?? number,
    attempt: task.attempt,
    host: machine.host,
    orderedAt: context.now,
    state: task.state,
    runningAt: null,
    timed: true,
    direct: "answered",
    stop: null,
    offeredSeq: -1,
  };
  const mates = found === null ? undefined : [...found.unit.placed.values()];
  const welcome =
    found !== null &&
    !found.unit.ended &&
    !found.unit.leaving &&
    found.task < found.unit.leavingFrom &&
    !found.unit.done.has(found.task) &&
    !found.unit.placed.has(found.task) &&
    (found.unit.spec.kind !== "gang" || mates!.every((mate) => mate.attempt === task.attempt));
  if (welcome) place(found.unit, placement);
  else {
    placement.stop = { graceS: 0 };
    if (found !== null) withhold(found.unit, found.task);
  }
  return placement;
}

/**
 * Finished under a former leader who did not live to record it. Looked at in each report that lists it: its job may
 * become known only later, and then its task must not start again.
 */
function noteResult(part: Part, { piece }: ReportedTask, findings: Findings): void {
  const { ref, task: number } = splitPiece(piece);
  const found = findUnit(part, ref, number);
  if (found === null || found.unit.done.has(found.task)) return;
  markFinished(found.unit, found.task);
  findings.finished.add(found.unit);
}

function isNewer(machine: Machine, report: Report): boolean {
  return report.session > machine.session || (report.session === machine.session && report.seq > machine.seq);
}

/**
 * Brings a machine up to a report. Reports may come late and out of order; an
 * older one changes nothing. Returns false for those.
 */
export function takeReport(part: Part, machine: Machine, report: Report, context: ReportContext, findings: Findings): boolean {
  if (!isNewer(machine, report)) return false;
  if (report.session > machine.session) {
    // The worker killed and forgot everything when its lease ran out; whatever
    // was still on its way to it belongs to the former session and has no effect.
    if (machine.session > 0) dropAll(part, machine, context.now, findings);
    machine.held.clear();
    machine.session = report.session;
    // A session is a lease of its own, whoever answers: it began by now at the latest, and what is started in it by direct
    // commands lives until it ends. Counted from the last answer alone, a machine that reaches no controller, and whose new
    // session we know from its reply to a command, seemed to have lost what ran there for most of a lease more.
    machine.answeredAt = Math.max(machine.answeredAt, context.now);
    findings.changed = true;
  }
  machine.seq = report.seq;
  machine.token = report.token;
  machine.addr = report.addr;
  if (machine.heardAt === -Infinity || machine.lost) findings.changed = true;
  machine.heardAt = context.now;
  if (context.viaReport) machine.reportedAt = context.now;
  machine.lost = false;
  if (report.token >= part.term && !machine.fenced) {
    machine.fenced = true;
    findings.changed = true;
  }
  if (report.noticeS !== null && machine.noticeAt === null) {
    machine.noticeAt = context.now + report.noticeS * 1000;
    findings.changed = true;
  }
  const listed = new Set<string>();
  for (const task of report.tasks) {
    const key = attemptKey(task.piece, task.attempt);
    listed.add(key);
    let placement = machine.placements.get(key);
    if (task.state === "exited") {
      machine.exited.set(key, task);
      if (placement !== undefined) exits(part, machine, key, placement, task, context, findings);
      else if (task.cause === "done") noteResult(part, task, findings);
      continue;
    }
    if (placement === undefined) {
      placement = adopt(part, machine, task, context);
      hold(machine, key, placement);
      findings.changed = true;
    }
    if (task.state !== "fetching") machine.images.add(placement.unit.spec.image);
    if (task.state === "running" && placement.state !== "running") {
      placement.runningAt = context.now;
      findings.began.push(placement);
    }
    placement.state = task.state;
  }
  for (const key of [...machine.exited.keys()]) if (!listed.has(key)) machine.exited.delete(key);
  for (const [key, placement] of [...machine.placements]) {
    if (listed.has(key)) continue;
    if (placement.state !== null) {
      // It was there and is no longer listed, within one session: only `clear` does that.
      gone(part, machine, key, placement, context.now, findings, "unseen");
      continue;
    }
    // An order in an answer is executed before the next report or never; a direct
    // one without an answer may still come, so its attempt stays counted.
    const settled = placement.direct === "none" && context.viaReport && report.seq > placement.offeredSeq;
    if (settled && (placement.stop !== null || placement.unit.ended)) gone(part, machine, key, placement, context.now, findings, "unseen");
  }
  return true;
}

/**
 * Until when the machine's lease may have been renewed, once a report of it has been answered. An answer to what is
 * no news renews nothing: a lease counts from when a report was sent, and that one was sent before the newest that
 * came. A machine that has not shown our term may not hear us and go on under the former leader, whose last
 * answer may come long after ours: its time is never cut short by hearing from it.
 */
export function noteAnswer(machine: Machine, newer: boolean, now: number): void {
  const sentBy = newer ? now : machine.heardAt;
  machine.answeredAt = machine.fenced && newer ? sentBy : Math.max(machine.answeredAt, sentBy);
}

/** Nobody can have renewed its lease since: whatever was on it is gone. */
export function leaseOver(machine: Machine, now: number, expiryMs: number): boolean {
  return machine.up && now > machine.answeredAt + expiryMs;
}

/** What an order may depend on. */
export interface OrderContext {
  now: number;
  leaseMs: number;
  clearable: (task: ReportedTask) => boolean;
  /** Orders at most. */
  max: number;
}

/**
 * A direct start without an answer may come as long as the session lasts, which for one that should no longer start
 * may be after its user was told so, and keeps its room and its team's limit until then. Told both at once, in
 * an answer to a report, the worker knows the attempt, and a start that comes later does nothing. Only while the
 * order is young: where its job was cancelled meanwhile without our knowing, the time for that is not over (an
 * answer is given at most a silence after the cancellation, and silence and lease together are within `cancel_s`).
 */
function settlesStart(placement: Placement, { now, leaseMs }: OrderContext): boolean {
  return placement.direct === "unresolved" && now - placement.orderedAt < leaseMs;
}

/** Orders for one machine, most urgent first. */
export function ordersFor(machine: Machine, channel: "report" | "direct", context: OrderContext): Order[] {
  const { clearable, max } = context;
  const orders: Order[] = [];
  for (const placement of machine.placements.values()) {
    if (orders.length >= max) return orders;
    const piece = pieceName(placement.unit, placement.task);
    if (placement.stop !== null) {
      if (channel === "report" && placement.state === null && settlesStart(placement, context)) {
        orders.push({ verb: "start", piece, attempt: placement.attempt }, { verb: "stop", piece, attempt: placement.attempt, graceS: 0 });
      } else if (placement.state !== null && !(placement.state === "saving" && placement.stop.graceS > 0)) {
        orders.push({ verb: "stop", piece, attempt: placement.attempt, graceS: placement.stop.graceS });
      }
    } else if (placement.state === null && !placement.unit.ended) {
      if (channel === "direct" && placement.direct !== "none") continue;
      orders.push({ verb: "start", piece, attempt: placement.attempt });
    }
  }
  // Only in answers to reports, which cannot overtake one another: a `clear`
  // that came before a repeated `start` of the attempt would start it anew.
  if (channel === "report") {
    for (const [key, task] of machine.exited) {
      if (orders.length >= max) break;
      if (!machine.held.has(key) && clearable(task)) orders.push({ verb: "clear", piece: task.piece, attempt: task.attempt });
    }
  }
  return orders;
}
