/**
 * Ends attempts in the owner's in-memory state: removes those that provably no longer exist and records how they ended. Which
 * report or event proves it is the caller's concern.
 */
import type { ReportedTask } from "@thorntrail/protocol/worker";
import type { AttemptEnd } from "../job-classes/class-accounting.js";
import { findTaskSet, type Partition } from "../partitions/partition.js";
import { taskNumber } from "../queue/attempts.js";
import {
  isBrokenGang,
  markFinished,
  recordGoneAttempt,
  releasePlacement,
  requeue,
  type Placement,
  type TaskSet,
} from "../queue/task-set.js";
import { attributeFailure, type FailureTiming } from "./failure-attribution.js";
import type { Findings } from "./findings.js";
import { removeAttempt, type Machine } from "./machine.js";
import { proofFlaw, type TerminationProof } from "./termination-proof.js";

/** Arguments of `dropAttempt` that are the same for all attempts removed from a machine. */
export interface DropContext {
  partition: Partition;
  machine: Machine;
  now: number;
  findings: Findings;
}

/** How an attempt ended, and the proof that it no longer exists. */
export interface ProvenEnd {
  proof: TerminationProof;
  end: AttemptEnd;
  /** Whether the attempt saved its progress before it ended; absent means no. */
  kept?: boolean;
}

/**
 * Removes an attempt that provably no longer exists on its machine; no other code removes attempts. If the proof is
 * invalid, the attempt remains registered and is reported in `findings.unproven`.
 */
export function dropAttempt(
  { partition, machine, now, findings }: DropContext,
  key: string,
  placement: Placement,
  ending: ProvenEnd,
): void {
  const { taskSet, runningAt, timesReliable, attempt, host } = placement;
  const { proof, end, kept = false } = ending;
  const flaw = proofFlaw(proof, partition.newestToken);
  if (flaw !== null) {
    findings.unproven.push({ placement, proof, flaw });
    return;
  }
  findings.ended.push({
    placement,
    end,
    proof,
    kept,
    ranS: runningAt === null || !timesReliable ? 0 : Math.max(0, now - runningAt) / 1000,
  });
  removeAttempt(machine, key);
  releasePlacement(taskSet, placement);
  recordGoneAttempt(taskSet, placement.task, { attempt, host, by: proof.by });
  // Another task set contains the task now if the attempt was registered before its job was queued here, or before
  // the task became part of that task set.
  const found = findTaskSet(partition, taskSet.spec.ref, taskNumber(placement));
  if (found !== null && found.taskSet !== taskSet) {
    requeue(found.taskSet, found.task);
    recordGoneAttempt(found.taskSet, found.task, { attempt, host, by: proof.by });
  }
  findings.changed = true;
  if (isBrokenGang(taskSet)) findings.brokenGangs.add(taskSet);
  if (machine.placements.size === 0) machine.idleSince = now;
}

/** Removes all attempts of a machine, after its lease expired, it was deleted or its worker began a new session. */
export function dropAllAttempts(dropContext: DropContext, proof: TerminationProof): void {
  const { machine } = dropContext;
  for (const [key, placement] of [...machine.placements]) dropAttempt(dropContext, key, placement, { proof, end: "machine" });
  machine.exited.clear();
}

/** Stops all attempts at a completed task that may still be on machines. */
export function stopOtherAttempts(taskSet: TaskSet, task: number): void {
  for (const other of taskSet.attempts.ofTask(taskSet.spec.ref, taskSet.lo + task)) other.stop ??= { graceS: 0 };
}

/** Updates the job and the machine of an attempt that has exited, according to the cause of the exit that the worker reported. */
export function recordExit(
  { partition, machine, now, findings }: DropContext,
  placement: Placement,
  task: ReportedTask,
  timing: FailureTiming,
): void {
  const { taskSet } = placement;
  switch (task.cause) {
    case "done":
      if (placement.runningAt !== null && placement.timesReliable)
        findings.runs.push({ taskSet, seconds: (now - placement.runningAt) / 1000, host: machine.host });
      markFinished(taskSet, placement.task);
      stopOtherAttempts(taskSet, placement.task);
      machine.failuresByJob.clear();
      findings.finished.add(taskSet);
      break;
    case "error":
      attributeFailure(partition, machine, taskSet, timing);
      break;
    case "no_room":
      machine.avoidUntil = Math.max(machine.avoidUntil, now + timing.coolMs);
      break;
    // `busy` means that the machine has another attempt at the task. The same report lists that attempt, so it is
    // registered and prevents another start.
    case "busy":
    case "no_such":
      taskSet.failures++;
      taskSet.notBefore = now + Math.min(timing.leaseMs * 3, timing.coolMs * 2 ** Math.min(taskSet.failures, 6));
      break;
    default:
      break;
  }
}

/** Returns how an attempt that a worker reported as exited counts in the statistics of its class. */
export function attemptOutcome({ cause }: ReportedTask, taskSet: TaskSet): AttemptEnd {
  if (cause === "done" || cause === "error") return cause;
  if (taskSet.ended) return "withdrawn";
  if (cause === "stopped") return "stopped";
  return cause === "mates_gone" || cause === "alone" ? "mates" : "refused";
}
