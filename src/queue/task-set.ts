import { Bits } from "../platform/bits.js";
import type { JobSpec, Urgency } from "@thorntrail/protocol/jobs";
import type { TaskState } from "@thorntrail/protocol/worker";
import type { TerminatedAttempt } from "../workers/termination-proof.js";
import { AttemptRegistry } from "./attempts.js";

/** Task sets and their attempts: the state of the queued work of a partition, and the changes to it. */

/** One attempt at one task on one machine, from its start order until it is proven to no longer exist. */
export interface Placement {
  taskSet: TaskSet;
  task: number;
  attempt: number;
  host: string;
  orderedAt: number;
  /** Last reported state; null until a report has listed the attempt. */
  state: TaskState | null;
  runningAt: number | null;
  /** False if this process was stalled during the attempt, which makes its observed times unreliable. */
  timesReliable: boolean;
  /**
   * State of a start order sent in a direct command, not in the answer to a report. `unresolved`: the command got no
   * answer, so it may not have arrived yet. Whether it, or a copy of it, may still take effect: see `DirectStarts`.
   */
  directStart: "none" | "flying" | "unresolved" | "answered";
  stop: { graceS: number } | null;
  /** Sequence number of the newest report whose answer carried the start order. */
  startSentSeq: number;
}

/**
 * The tasks of one job, or of one slice (a range of a job's tasks), in one partition. Partitions own, queue and
 * migrate task sets.
 */
export interface TaskSet {
  key: string;
  spec: JobSpec;
  /** The job's own urgency, or that of a job that depends on it if that is higher. */
  urgency: Urgency;
  lo: number;
  hi: number;
  done: Bits;
  /** Tasks that are neither done nor have an attempt that may be on a machine, in start order. */
  waiting: number[];
  /** The current attempt of each task. Other attempts of a task may still be on machines, see `attempts`. */
  placements: Map<number, Placement>;
  /** All attempts that may be on machines of the partition, of this job and others. */
  attempts: AttemptRegistry<Placement>;
  /** For tasks that are not done: the last attempt that is proven to no longer exist, with the proof. */
  lastGone: Map<number, TerminatedAttempt>;
  submittedWall: number;
  arrivedAt: number;
  migrated: boolean;
  /**
   * The exchange (the search for better partitions) has decided at least once that the task set, or what remains of it
   * after a slice has migrated, stays here.
   */
  migrationConsidered: boolean;
  /** A transaction that moves the task set to another partition is in progress: its tasks must not be started. */
  migrating: boolean;
  /** Tasks from this number on are being moved to another partition as a slice and must not be started; Infinity if there are none. */
  migratingFrom: number;
  started: boolean;
  notBefore: number;
  failures: number;
  /** Number of failures per host, so that the next attempt goes to another host. */
  failedOn: Map<string, number>;
  ended: boolean;
  endWritePending: boolean;
  /** The finished tasks are to be recorded once more when the pending write has ended, since it may lack the newest. */
  recordRequested: boolean;
  /** A write of the task set's finished tasks to the state service is scheduled. */
  progressWriteScheduled: boolean;
  /** Equal for task sets whose tasks have the same resource requirements and placement constraints. */
  shape: string;
}

/** Task ID as used on the wire, such as `run-000412/3`, with the task number within the job. */
export function taskId(taskSet: TaskSet, task: number): string {
  return `${taskSet.spec.ref}/${taskSet.lo + task}`;
}

/** Splits a task ID as used on the wire into the job reference and the task number within the job. */
export function parseTaskId(id: string): { ref: string; task: number } {
  const slash = id.lastIndexOf("/");
  return { ref: id.slice(0, slash), task: Number(id.slice(slash + 1)) };
}

function schedulingShape(spec: JobSpec): string {
  return [spec.cpus, spec.gpus, spec.ram, spec.types?.join() ?? "", spec.zone ?? "", spec.spot, spec.oneZone, spec.spread].join("|");
}

/** Creates a task set for tasks `lo` to `hi` (exclusive) of a job; every task that is not done waits. */
export function newTaskSet(key: string, spec: JobSpec, lo: number, hi: number, done: Bits, submittedWall: number, now: number): TaskSet {
  const waiting: number[] = [];
  for (let i = 0; i < hi - lo; i++) if (!done.has(i)) waiting.push(i);
  return {
    key,
    spec,
    urgency: spec.urgency,
    lo,
    hi,
    done,
    waiting,
    placements: new Map(),
    attempts: new AttemptRegistry(),
    lastGone: new Map(),
    submittedWall,
    arrivedAt: now,
    migrated: false,
    migrationConsidered: false,
    migrating: false,
    migratingFrom: Infinity,
    started: false,
    notBefore: -Infinity,
    failures: 0,
    failedOn: new Map(),
    ended: false,
    endWritePending: false,
    recordRequested: false,
    progressWriteScheduled: false,
    shape: schedulingShape(spec),
  };
}

/** Records an attempt as the current one of its task, which no longer waits. */
export function addPlacement(taskSet: TaskSet, placement: Placement): void {
  taskSet.placements.set(placement.task, placement);
  taskSet.started = true;
  removeWaiting(taskSet, placement.task);
}

/** Removes a task from the waiting tasks because an attempt of it, current or not, may be on a machine. */
export function removeWaiting(taskSet: TaskSet, task: number): void {
  const at = taskSet.waiting.indexOf(task);
  if (at >= 0) taskSet.waiting.splice(at, 1);
}

/**
 * Detaches an attempt that provably no longer exists and is already removed from the attempt registry, and requeues its
 * task.
 */
export function releasePlacement(taskSet: TaskSet, placement: Placement): void {
  if (taskSet.placements.get(placement.task) === placement) taskSet.placements.delete(placement.task);
  requeue(taskSet, placement.task);
}

/**
 * Puts the task back at the head of the waiting tasks, unless it is done, is being moved to another partition, or may
 * still have another attempt on a machine.
 */
export function requeue(taskSet: TaskSet, task: number): void {
  if (taskSet.done.has(task) || task >= taskSet.migratingFrom || taskSet.attempts.hasTask(taskSet.spec.ref, taskSet.lo + task)) return;
  if (!taskSet.waiting.includes(task)) taskSet.waiting.unshift(task);
}

/** Records a task's last attempt that no longer exists, with the kind of proof, for the log line about the task's next start. */
export function recordGoneAttempt(taskSet: TaskSet, task: number, gone: TerminatedAttempt): void {
  if (!taskSet.done.has(task)) taskSet.lastGone.set(task, gone);
}

function markDone(taskSet: TaskSet, task: number): void {
  taskSet.done.set(task);
  taskSet.lastGone.delete(task);
  // A task on a machine is not in `waiting`; skipping the search matters with tens of thousands of waiting tasks.
  if (!taskSet.placements.has(task)) removeWaiting(taskSet, task);
}

/** Marks a task as done. A gang completes together: when one of its tasks is done, all are. */
export function markFinished(taskSet: TaskSet, task: number): void {
  // A job with a mistake in its submission never completes a task, so the earlier failures were caused by machines.
  taskSet.failedOn.clear();
  taskSet.notBefore = -Infinity;
  if (taskSet.spec.kind === "gang") for (let i = 0; i < taskSet.hi - taskSet.lo; i++) markDone(taskSet, i);
  else markDone(taskSet, task);
}

/** True for a gang with some tasks placed and others neither placed nor done: it can never be complete. */
export function isBrokenGang(taskSet: TaskSet): boolean {
  return (
    taskSet.spec.kind === "gang" && taskSet.placements.size > 0 && taskSet.placements.size + taskSet.done.count < taskSet.hi - taskSet.lo
  );
}

/**
 * Number of consecutive tasks at the end of the task set that are neither done nor have an attempt that may be on a
 * machine; counts up to `max`.
 */
export function waitingTailLength(taskSet: TaskSet, max: number): number {
  const waits = (task: number): boolean => !taskSet.done.has(task) && !taskSet.attempts.hasTask(taskSet.spec.ref, taskSet.lo + task);
  let n = 0;
  for (let task = taskSet.hi - taskSet.lo - 1; task >= 0 && n < max && waits(task); task--) n++;
  return Math.min(n, taskSet.waiting.length);
}

/**
 * True if the job failed on several machines and never completed a task: it was probably submitted with a mistake,
 * and then fails on every machine until its user cancels it.
 */
export function failsRepeatedly(taskSet: TaskSet): boolean {
  return taskSet.failedOn.size > 1 && taskSet.done.count === 0;
}

/** Number of waiting tasks that may start together: a job that fails repeatedly is tried with a single task. */
export function startableTasks(taskSet: TaskSet): number {
  if (taskSet.spec.kind === "gang" || !failsRepeatedly(taskSet)) return taskSet.waiting.length;
  return taskSet.placements.size > 0 ? 0 : 1;
}

/** Truncates the task set after its tasks from `hi` on have become a slice of their own. */
export function truncate(taskSet: TaskSet, hi: number): void {
  taskSet.hi = hi;
  for (const task of [...taskSet.lastGone.keys()]) if (task >= hi - taskSet.lo) taskSet.lastGone.delete(task);
  taskSet.waiting = taskSet.waiting.filter((task) => task < hi - taskSet.lo);
  const done = new Bits(hi - taskSet.lo);
  done.merge(taskSet.done);
  taskSet.done = done;
}
