import { performance } from "node:perf_hooks";
import { Bits } from "../../src/platform/bits.js";
import { keys } from "../../src/ledger/records.js";
import { runSchedulingCycle } from "../../src/queue/scheduling-cycle.js";
import { newTaskSet } from "../../src/queue/task-set.js";
import { addTaskSet } from "../../src/partitions/partition.js";
import { partitionOf, schedulingContext, specOf } from "../../test/world/partitions.js";
import { median } from "../harness.js";
import { jobRecordOf, mirrorHere } from "../memory.js";
import type { Point } from "./line.js";
import { slopeOf, type Slope } from "./slope.js";

/** Slopes of decisions that need no process: timed alone, in this one. */

const REPEATS = 9;

/** Median over repeats, in ms, of what `act` takes after `make`. */
function timed<T>(make: () => T, act: (made: T) => void): number {
  act(make());
  const times: number[] = [];
  for (let i = 0; i < REPEATS; i++) {
    const made = make();
    const began = performance.now();
    act(made);
    times.push(performance.now() - began);
  }
  return median(times);
}

const MACHINE = { cpus: 16, gpus: 8, ram: 256 };
const FULL = { cpus: 16, gpus: 0, ram: 64 };

/** A partition with jobs of different shapes and teams, none of which has room. */
function crowdedPartition(machines: number, waiting: number, teams: number): ReturnType<typeof partitionOf>["partition"] {
  const { partition: part } = partitionOf(machines, FULL);
  addWaiting(part, machines, 1, (i) => ({ ref: `run-8${String(i).padStart(6, "0")}`, cpus: 16, ram: 64, tasks: 1 }));
  runSchedulingCycle(part, schedulingContext);
  addWaiting(part, waiting, 1, (i) => ({
    ...{ ref: `run-9${String(i).padStart(6, "0")}`, team: `team-${i % teams}`, cpus: 2 + (i % 7) },
    ...{ ram: 4 + (i % 5), tasks: 4 },
  }));
  return part;
}

function addWaiting(part: ReturnType<typeof partitionOf>["partition"], count: number, from: number, change: (i: number) => object): void {
  for (let i = 0; i < count; i++) {
    const spec = specOf(change(i + from));
    addTaskSet(part, newTaskSet(keys.job(spec.ref), spec, 0, spec.tasks, new Bits(spec.tasks), 0, 0));
  }
}

const overSizes = (sizes: number[], y: (size: number) => number): Point[] => sizes.map((x) => ({ x, y: y(x) }));

export function decisionSlopes(): Slope[] {
  const scheduling = (machines: number, waiting: number, teams: number): number =>
    timed(
      () => crowdedPartition(machines, waiting, teams),
      (part) => void runSchedulingCycle(part, schedulingContext),
    );
  const placing = (tasks: number): number =>
    timed(
      () => {
        const { partition: part } = partitionOf(Math.ceil(tasks / 16) + 40, { cpus: 16, gpus: 0, ram: 64 });
        addWaiting(part, 1, 1, () => ({ ref: "run-900001", kind: "gang", tasks, cpus: 1, ram: 2 }));
        return part;
      },
      (part) => void runSchedulingCycle(part, schedulingContext),
    );
  const gangOnGraphics = timed(
    () => {
      const { partition: part } = partitionOf(64, MACHINE);
      addWaiting(part, 1, 1, () => ({ ref: "run-900001", kind: "gang", tasks: 256, cpus: 1, gpus: 1, ram: 8 }));
      return part;
    },
    (part) => void runSchedulingCycle(part, schedulingContext),
  );
  const following = (events: number): number =>
    timed(
      () => ({ mirror: mirrorHere(), records: Array.from({ length: events }, (_, i) => jobRecordOf(i, false)) }),
      ({ mirror, records }) => records.forEach((record, i) => mirror.put(keys.job(record.spec.ref), record, i + 1)),
    );
  return [
    slopeOf(
      "cycle_waiting_job",
      "ms",
      "waiting job (160 machines)",
      overSizes([100, 300, 900], (size) => scheduling(160, size, 20)),
    ),
    slopeOf(
      "cycle_machine",
      "ms",
      "machine (300 jobs waiting)",
      overSizes([80, 160, 320], (size) => scheduling(size, 300, 20)),
    ),
    slopeOf(
      "cycle_team",
      "ms",
      "team (300 jobs waiting)",
      overSizes([20, 100, 300], (size) => scheduling(160, 300, size)),
    ),
    slopeOf("place_gang_task", "ms", "task of a gang", overSizes([64, 128, 256], placing)),
    slopeOf("followed_event", "ms", "event", overSizes([1000, 4000, 16_000], following)),
    slopeOf(
      "place_gang_256_accelerators",
      "ms",
      "gang (the same thrice)",
      [1, 2, 3].map((x) => ({ x, y: gangOnGraphics })),
    ),
  ];
}
