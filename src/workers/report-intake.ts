/**
 * Updates the owner's in-memory state of machines and attempts from workers' reports. It makes no scheduling decisions.
 */
import type { Report, ReportedTask } from "@thorntrail/protocol/worker";
import { findTaskSet, isOwnAttempt, type Partition } from "../partitions/partition.js";
import { addPlacement, markFinished, parseTaskId, removeWaiting, type Placement, type TaskSet } from "../queue/task-set.js";
import {
  attemptOutcome,
  dropAllAttempts,
  dropAttempt,
  recordExit,
  stopOtherAttempts,
  type DropContext,
  type ProvenEnd,
} from "./attempt-end.js";
import type { FailureTiming } from "./failure-attribution.js";
import { fence } from "./fence.js";
import type { Findings } from "./findings.js";
import { addAttempt, attemptKey, type Machine } from "./machine.js";

/** Inputs for applying a report besides the report itself. */
export interface ReportContext extends FailureTiming {
  /** True for a report that the worker sent by itself, false for the body of a reply to a command. */
  viaReport: boolean;
  /** Returns a placeholder task set for a job that is not queued in this partition or has ended, so that its usage is counted. */
  placeholderFor: (ref: string) => TaskSet;
}

/** Returns whether an attempt that this owner did not order may continue. */
function isWanted(taskSet: TaskSet, task: number, attempt: number): boolean {
  if (taskSet.ended || taskSet.migrating || task >= taskSet.migratingFrom || taskSet.done.has(task) || taskSet.placements.has(task))
    return false;
  return taskSet.spec.kind !== "gang" || [...taskSet.placements.values()].every((member) => member.attempt === attempt);
}

/** Registers an attempt that this owner did not order. An unwanted one is stopped, and its task does not start until it is gone. */
function adoptAttempt(partition: Partition, machine: Machine, task: ReportedTask, context: ReportContext, findings: Findings): Placement {
  const { ref, task: number } = parseTaskId(task.taskId);
  const found = findTaskSet(partition, ref, number);
  const placement: Placement = {
    taskSet: found?.taskSet ?? context.placeholderFor(ref),
    task: found?.task ?? number,
    attempt: task.attempt,
    host: machine.host,
    orderedAt: context.now,
    state: task.state,
    runningAt: null,
    timesReliable: true,
    directStart: "answered",
    stop: null,
    startSentSeq: -1,
  };
  const wanted = found !== null && isWanted(found.taskSet, found.task, task.attempt);
  if (wanted) addPlacement(found.taskSet, placement);
  else {
    placement.stop = { graceS: 0 };
    if (found !== null) removeWaiting(found.taskSet, found.task);
  }
  addAttempt(machine, attemptKey(task.taskId, task.attempt), placement);
  findings.adopted.push({ placement, wanted });
  if (isOwnAttempt(partition, task.attempt) && machine.session > machine.expiredSession) findings.seenAgain.push(placement);
  findings.changed = true;
  return placement;
}

/**
 * Marks a task as completed although its attempt is not registered: a former owner ordered the attempt and stopped
 * before recording the result. This is done for each report that lists the attempt, because the job may be queued here
 * only after the first of them and the task must not start again.
 */
function recordUnorderedCompletion(partition: Partition, { taskId }: ReportedTask, findings: Findings): void {
  const { ref, task: number } = parseTaskId(taskId);
  const found = findTaskSet(partition, ref, number);
  if (found === null || found.taskSet.done.has(found.task)) return;
  markFinished(found.taskSet, found.task);
  stopOtherAttempts(found.taskSet, found.task);
  findings.finished.add(found.taskSet);
}

function isNewer(machine: Machine, report: Report): boolean {
  return report.session > machine.session || (report.session === machine.session && report.seq > machine.seq);
}

/**
 * Begins a new session of the worker, which killed and discarded all attempts when its lease expired. Orders that
 * were on their way to the former session have no effect.
 */
function beginSession(dropContext: DropContext, { session, token }: Report): void {
  const { machine, now, findings } = dropContext;
  if (machine.session > 0) {
    dropAllAttempts(dropContext, { by: "new session", token });
    machine.directStarts.clear();
  }
  machine.session = session;
  // A session begins with a full lease without any answer. It began no later than now, and attempts started in it by
  // direct commands live until that lease expires. If the lease were counted from the last answer alone, a machine
  // that reaches no controller, and whose new session is known from its reply to a command, would be considered lost
  // while its attempts continue to run for most of another lease.
  machine.answeredAt = Math.max(machine.answeredAt, now);
  findings.changed = true;
}

/** Updates the machine's own state from a report: sequence number, token, address, fencing and preemption notice. */
function updateMachine(
  partition: Partition,
  machine: Machine,
  report: Report,
  { now, viaReport }: ReportContext,
  findings: Findings,
): void {
  machine.seq = report.seq;
  machine.token = report.token;
  // A machine that was removed and added again in this term may have been granted more than is known here.
  machine.grantedToken = Math.max(machine.grantedToken, report.token);
  machine.addr = report.addr;
  if (machine.lastReceivedAt === -Infinity || machine.lost) findings.changed = true;
  machine.lastReceivedAt = now;
  if (viaReport) machine.lastReportAt = now;
  machine.lost = false;
  if (report.token >= partition.term && !machine.fenced) {
    fence(partition, machine, "token", findings.fenced);
    findings.changed = true;
  }
  if (report.noticeS !== null && machine.noticeAt === null) {
    machine.noticeAt = now + report.noticeS * 1000;
    findings.changed = true;
  }
}

/** Applies the state of one task that a report lists. */
function applyTaskReport(dropContext: DropContext, task: ReportedTask, token: number, context: ReportContext): void {
  const { partition, machine, findings } = dropContext;
  const key = attemptKey(task.taskId, task.attempt);
  const registered = machine.placements.get(key);
  if (task.state === "exited") {
    if (!machine.exited.has(key)) machine.exitedSinceReport = true;
    machine.exited.set(key, task);
    if (registered !== undefined) {
      recordExit(dropContext, registered, task, context);
      dropAttempt(dropContext, key, registered, {
        proof: { by: "exited", token },
        end: attemptOutcome(task, registered.taskSet),
        kept: task.saved,
      });
    } else if (task.cause === "done") recordUnorderedCompletion(partition, task, findings);
    return;
  }
  const placement = registered ?? adoptAttempt(partition, machine, task, context, findings);
  if (task.state !== "fetching") machine.images.add(placement.taskSet.spec.image);
  if (task.state === "running" && placement.state !== "running") {
    placement.runningAt = context.now;
    findings.started.push(placement);
  }
  placement.state = task.state;
}

/** Removes registered attempts that the report does not list, where this proves that they no longer exist. */
function dropUnlistedAttempts(dropContext: DropContext, listed: ReadonlySet<string>, report: Report, viaReport: boolean): void {
  const { machine } = dropContext;
  const unlistedEnd: ProvenEnd = { proof: { by: "not listed", token: report.token }, end: "unseen" };
  for (const key of [...machine.exited.keys()]) {
    if (listed.has(key)) continue;
    machine.exited.delete(key);
    machine.directStarts.forget(key);
  }
  for (const [key, placement] of [...machine.placements]) {
    // A start that may still take effect keeps its attempt registered. On an unfenced machine, a former owner's may.
    if (listed.has(key) || !machine.fenced || machine.directStarts.spentBy(key, report.session, report.token) === null) continue;
    // An attempt that was reported and is no longer listed in the same session was discarded by a `clear` order.
    const discarded = placement.state !== null;
    const neverStarted = viaReport && report.seq > placement.startSentSeq && (placement.stop !== null || placement.taskSet.ended);
    if (!discarded && !neverStarted) continue;
    machine.directStarts.forget(key);
    dropAttempt(dropContext, key, placement, unlistedEnd);
  }
}

/**
 * Updates a machine and its attempts from a report and adds the effects to `findings`.
 * Reports may arrive late and out of order; one that is not newer than the last applied
 * report changes nothing. Returns whether the report was applied.
 */
export function applyReport(partition: Partition, machine: Machine, report: Report, context: ReportContext, findings: Findings): boolean {
  if (!isNewer(machine, report)) return false;
  const dropContext: DropContext = { partition, machine, now: context.now, findings };
  if (report.session > machine.session) beginSession(dropContext, report);
  updateMachine(partition, machine, report, context, findings);
  const listed = new Set<string>();
  for (const task of report.tasks) {
    listed.add(attemptKey(task.taskId, task.attempt));
    applyTaskReport(dropContext, task, report.token, context);
  }
  dropUnlistedAttempts(dropContext, listed, report, context.viaReport);
  return true;
}
