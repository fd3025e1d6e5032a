/** Failure attribution: decides whether a failed task counts against its machine or against its job. */
import type { Partition } from "../partitions/partition.js";
import { failsRepeatedly, type TaskSet } from "../queue/task-set.js";
import type { Machine } from "./machine.js";

/** Times that failure attribution depends on: `now` on the monotonic clock, the worker lease and the base back-off, all in ms. */
export interface FailureTiming {
  now: number;
  leaseMs: number;
  coolMs: number;
}

/**
 * Removes the failures of a job from the failure counts of the machines on which it failed, so that they no longer
 * count against these machines.
 */
export function clearFailures(partition: Partition, taskSet: TaskSet): void {
  for (const host of taskSet.failedOn.keys()) {
    const machine = partition.machines.get(host);
    if (machine?.failuresByJob.delete(taskSet.spec.ref) === true) machine.avoidUntil = -Infinity;
  }
}

/**
 * Attributes a failed task to its machine or to its job. A job that fails on more than one machine without completing
 * a task is considered faulty: its failures are removed from the machines, and it is retried with exponential
 * back-off. Otherwise a faulty job would take healthy machines out of service one after another. A machine is drained
 * if tasks of several jobs that are not considered faulty fail on it and no task completes in between.
 */
export function attributeFailure(partition: Partition, machine: Machine, taskSet: TaskSet, { now, leaseMs, coolMs }: FailureTiming): void {
  taskSet.failedOn.set(machine.host, (taskSet.failedOn.get(machine.host) ?? 0) + 1);
  if (failsRepeatedly(taskSet)) {
    taskSet.notBefore = now + Math.min(leaseMs * 3, coolMs * 2 ** Math.min(taskSet.failedOn.size, 8));
    clearFailures(partition, taskSet);
    return;
  }
  machine.failuresByJob.set(taskSet.spec.ref, (machine.failuresByJob.get(taskSet.spec.ref) ?? 0) + 1);
  if (machine.failuresByJob.size > 1) machine.draining = true;
  else machine.avoidUntil = now + coolMs * 2;
}
