import { performance } from "node:perf_hooks";
import { Bits } from "../../src/platform/bits.js";
import { keys } from "../../src/ledger/records.js";
import { runSchedulingCycle } from "../../src/queue/scheduling-cycle.js";
import { newTaskSet } from "../../src/queue/task-set.js";
import { addTaskSet } from "../../src/partitions/partition.js";
import { partitionOf, schedulingContext, specOf } from "../../test/world/partitions.js";
import { median } from "../harness.js";
import { jobRecord, detachedReplica } from "../memory.js";
import type { Point } from "./line.js";
import { fitSlope, type Slope } from "./slope.js";

/** Slopes of scheduling decisions and replica updates, timed in this process without I/O. */

const REPEATS = 9;

/** Returns the median duration of `run` in ms; each repeat runs on a new input from `setUp`, which is not timed. */
function medianMs<T>(setUp: () => T, run: (input: T) => void): number {
  run(setUp());
  const times: number[] = [];
  for (let i = 0; i < REPEATS; i++) {
    const input = setUp();
    const startedAt = performance.now();
    run(input);
    times.push(performance.now() - startedAt);
  }
  return median(times);
}

const GPU_MACHINE = { cpus: 16, gpus: 8, ram: 256 };
const CPU_MACHINE = { cpus: 16, gpus: 0, ram: 64 };

/** Returns a partition whose machines are full, with waiting jobs of different shapes and teams, none of which fits. */
function saturatedPartition(machines: number, waiting: number, teams: number): ReturnType<typeof partitionOf>["partition"] {
  const { partition } = partitionOf(machines, CPU_MACHINE);
  enqueueJobs(partition, machines, 1, (i) => ({ ref: `run-8${String(i).padStart(6, "0")}`, cpus: 16, ram: 64, tasks: 1 }));
  runSchedulingCycle(partition, schedulingContext);
  enqueueJobs(partition, waiting, 1, (i) => ({
    ...{ ref: `run-9${String(i).padStart(6, "0")}`, team: `team-${i % teams}`, cpus: 2 + (i % 7) },
    ...{ ram: 4 + (i % 5), tasks: 4 },
  }));
  return partition;
}

/** Enqueues jobs in a partition; `overridesOf` returns the members of the job description that differ from the default. */
function enqueueJobs(
  partition: ReturnType<typeof partitionOf>["partition"],
  count: number,
  firstIndex: number,
  overridesOf: (i: number) => object,
): void {
  for (let i = 0; i < count; i++) {
    const spec = specOf(overridesOf(i + firstIndex));
    addTaskSet(partition, newTaskSet(keys.job(spec.ref), spec, 0, spec.tasks, new Bits(spec.tasks), 0, 0));
  }
}

const pointsOver = (sizes: number[], y: (size: number) => number): Point[] => sizes.map((x) => ({ x, y: y(x) }));

/** Measures scheduling cycles by waiting jobs, machines and teams, gang placement, and updates of the state replica. */
export function decisionSlopes(): Slope[] {
  const cycleMs = (machines: number, waiting: number, teams: number): number =>
    medianMs(
      () => saturatedPartition(machines, waiting, teams),
      (partition) => void runSchedulingCycle(partition, schedulingContext),
    );
  const gangPlacementMs = (tasks: number): number =>
    medianMs(
      () => {
        const { partition } = partitionOf(Math.ceil(tasks / 16) + 40, { cpus: 16, gpus: 0, ram: 64 });
        enqueueJobs(partition, 1, 1, () => ({ ref: "run-900001", kind: "gang", tasks, cpus: 1, ram: 2 }));
        return partition;
      },
      (partition) => void runSchedulingCycle(partition, schedulingContext),
    );
  const gpuGangPlacementMs = medianMs(
    () => {
      const { partition } = partitionOf(64, GPU_MACHINE);
      enqueueJobs(partition, 1, 1, () => ({ ref: "run-900001", kind: "gang", tasks: 256, cpus: 1, gpus: 1, ram: 8 }));
      return partition;
    },
    (partition) => void runSchedulingCycle(partition, schedulingContext),
  );
  const replicaUpdateMs = (events: number): number =>
    medianMs(
      () => ({ replica: detachedReplica(), records: Array.from({ length: events }, (_, i) => jobRecord(i, false)) }),
      ({ replica, records }) => records.forEach((record, i) => replica.put(keys.job(record.spec.ref), record, i + 1)),
    );
  return [
    fitSlope(
      "cycle_waiting_job",
      "ms",
      "waiting job (160 machines)",
      pointsOver([100, 300, 900], (size) => cycleMs(160, size, 20)),
    ),
    fitSlope(
      "cycle_machine",
      "ms",
      "machine (300 jobs waiting)",
      pointsOver([80, 160, 320], (size) => cycleMs(size, 300, 20)),
    ),
    fitSlope(
      "cycle_team",
      "ms",
      "team (300 jobs waiting)",
      pointsOver([20, 100, 300], (size) => cycleMs(160, 300, size)),
    ),
    fitSlope("place_gang_task", "ms", "task of a gang", pointsOver([64, 128, 256], gangPlacementMs)),
    fitSlope("followed_event", "ms", "event", pointsOver([1000, 4000, 16_000], replicaUpdateMs)),
    fitSlope(
      "place_gang_256_accelerators",
      "ms",
      "gang (the same thrice)",
      [1, 2, 3].map((x) => ({ x, y: gpuGangPlacementMs })),
    ),
  ];
}
