/** Builders of partitions, machines and jobs for unit tests of scheduling decisions. */
import type { JobSpec } from "@thorntrail/protocol/jobs";
import { addMachine, addTaskSet, newPartition, type Partition } from "../../src/partitions/partition.js";
import { Bits } from "../../src/platform/bits.js";
import { queueOrder } from "../../src/queue/queue-order.js";
import type { SchedulingContext } from "../../src/queue/scheduling-cycle.js";
import { newTaskSet, type TaskSet } from "../../src/queue/task-set.js";
import { newMachine, type Capacity, type Machine } from "../../src/workers/machine.js";

/** The current time in tests that use these builders, in ms. */
export const NOW = 1000;

/** Returns the description of an array job with one small task; `change` overrides members. */
export function specOf(change: Partial<JobSpec>): JobSpec {
  return {
    ref: "run-000001",
    klass: "c",
    team: "ops",
    kind: "array",
    urgency: "normal",
    tasks: 1,
    cpus: 1,
    gpus: 0,
    ram: 1,
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: false,
    image: "img",
    imageGb: 1,
    guessS: 60,
    checkpointS: 0,
    flushS: 0,
    deadlineS: null,
    ...change,
  };
}

/** Order of jobs in the queue: by urgency, without objectives, guaranteed resources of teams or learned run times. */
export const order = queueOrder({
  mode: "urgency",
  nowWall: NOW,
  finishObjectiveS: () => Infinity,
  startObjectiveS: () => Infinity,
  expectedRunS: () => 60,
  maxSizeDelayS: 1800,
  firstTaskAfterS: 108,
  withinGuarantee: () => false,
  underserved: () => false,
});
/** Returns a team's quota share that has no limits. */
export const unlimited = (): { cpus: number; gpus: number } => ({ cpus: Infinity, gpus: Infinity });

/** Context of a scheduling cycle at `NOW` with unlimited quota; expected run times are the users' estimates. */
export const schedulingContext: SchedulingContext = {
  now: NOW,
  silentMs: 5000,
  order,
  backfill: true,
  quotaShare: unlimited,
  expectS: (taskSet) => taskSet.spec.guessS,
  leftS: (taskSet, ranS) => Math.max(1, taskSet.spec.guessS - ranS),
  bootMs: () => 10_000,
  reserveAfterMs: () => 500,
};

/**
 * Creates a partition of `n` machines that are up and fenced (obey only this owner). `evaluations` returns how often a machine
 * was examined as a candidate for a placement, which is counted by the reads of its `images`.
 */
export function partitionOf(n: number, capacity: Capacity): { partition: Partition; evaluations: () => number } {
  const partition = newPartition(0, 5, 0);
  partition.phase = "serving";
  let evaluations = 0;
  for (let i = 0; i < n; i++) {
    const machine: Machine = newMachine(`i-${i}`, "m", "a", false, capacity, 0);
    Object.assign(machine, { up: true, fenced: true, lastReceivedAt: NOW, lastReportAt: NOW, session: 1, token: 5 });
    const images = new Set<string>();
    Object.defineProperty(machine, "images", {
      get: () => {
        evaluations++;
        return images;
      },
    });
    addMachine(partition, machine);
  }
  return { partition, evaluations: () => evaluations };
}

/** Adds a task set with all tasks of the job to the partition's queue. */
export function enqueue(partition: Partition, spec: JobSpec): TaskSet {
  const taskSet = newTaskSet(`t/j/${spec.ref}`, spec, 0, spec.tasks, new Bits(spec.tasks), 0, 0);
  addTaskSet(partition, taskSet);
  return taskSet;
}
