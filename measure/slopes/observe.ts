import type { JobSpec } from "../../packages/protocol/src/jobs.js";
import type { ClusterPlan } from "../scale/cluster-plan.js";
import { TestCluster, type RoleUsage, type Snapshot } from "../scale/test-cluster.js";
import type { PlannedJob } from "../scale/messages.js";
import { capacityByOffering, equalTeams, buildJob, CPU_MACHINE } from "../scale/workload.js";
import type { Point } from "./line.js";

/** A cell of real processes at one size, looked at over a span of time: what all slopes of processes are read from. */

const ZONES = ["zone-1"];
export const CORES_A_MACHINE = CPU_MACHINE.cpus;
/** Limits that nothing here comes near. */
const AMPLE_STATE = { rps: 5000, writeRps: 2000, valueKb: 32, txnOps: 64 };
export const LOOK_MS = 500;
const SETTLE_LIMIT_MS = 60_000;

/** What is measured between two looks at a cell. */
export interface Seen {
  seconds: number;
  controller: RoleUsage;
  workers: RoleUsage;
  store: RoleUsage;
  before: Snapshot;
  after: Snapshot;
  stateCalls: number;
  cell: TestCluster;
}

export const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
const sum = (list: readonly number[]): number => list.reduce((a, b) => a + b, 0);

export function planOf(change: Partial<ClusterPlan> & { machines?: number }): ClusterPlan {
  const { jobs = [], machines = 200, ...rest } = change;
  return {
    controllers: 1,
    teams: equalTeams(1, { cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }),
    objectives: [],
    types: [{ ...CPU_MACHINE, zones: ZONES }],
    capacity: capacityByOffering({ plain: machines }, ZONES),
    jobs,
    workerProcesses: 1,
    state: AMPLE_STATE,
    cloudRps: 50,
    sockets: 4000,
    memMb: 178,
    pollsPerS: 0,
    seed: 1,
    ...rest,
  };
}

/** Starts a cell, waits until `ready` and a while longer, and looks at it over `seconds`. */
export async function observe(plan: ClusterPlan, seconds: number, ready: (seen: Snapshot) => boolean, warmS = 6): Promise<Seen> {
  const cell = new TestCluster(plan);
  try {
    await cell.start();
    const until = Date.now() + SETTLE_LIMIT_MS;
    while (!ready(await cell.snapshot())) {
      if (Date.now() > until)
        throw new Error(`a cell did not come to the size asked for: ${JSON.stringify([...cell.logLineCounts]).slice(0, 400)}`);
      await sleep(LOOK_MS);
    }
    await sleep(warmS * 1000);
    const callsBefore = await stateCalls(cell);
    const before = await cell.snapshot();
    await sleep(seconds * 1000);
    const after = await cell.snapshot();
    const calls = (await stateCalls(cell)) - callsBefore;
    if (cell.unexpectedExits.length > 0) throw new Error(`ended by itself: ${cell.unexpectedExits.join(", ")}`);
    const usage = cell.usage(before, after);
    const role = (name: "controller" | "workers" | "store"): RoleUsage => usage.get(name)!;
    return {
      seconds: (after.at - before.at) / 1000,
      ...{ controller: role("controller"), workers: role("workers"), store: role("store") },
      ...{ before, after, stateCalls: calls, cell },
    };
  } finally {
    cell.close();
  }
}

async function stateCalls(cell: TestCluster): Promise<number> {
  const operations = ["state.read", "state.txn", "state.lease"];
  return sum(await Promise.all(operations.map((one) => cell.controllerMetricSum(`calls_total{operation="${one}",what="asked"}`))));
}

export const running = (seen: Snapshot): number => sum(seen.workers.map((one) => one.running));
export const starts = (seen: Seen): number =>
  sum(seen.after.workers.map((one) => one.starts)) - sum(seen.before.workers.map((one) => one.starts));
export const service = (i: number, tasks: number, change: Partial<JobSpec>): PlannedJob =>
  buildJob(i, { kind: "service", tasks, ...change }, { submitAtMs: 0, runMs: 0 });

/** Runs the sizes beside each other: each takes a fraction of a core. */
export async function overSizes(sizes: number[], one: (size: number) => Promise<Seen>): Promise<{ size: number; seen: Seen }[]> {
  return Promise.all(sizes.map(async (size) => ({ size, seen: await one(size) })));
}

export type Sized = { size: number; seen: Seen }[];
export const points = (sized: Sized, y: (seen: Seen) => number, x: (seen: Seen, size: number) => number = (_, size) => size): Point[] =>
  sized.map(({ size, seen }) => ({ x: x(seen, size), y: y(seen) }));
export const changes = (seen: Seen): number => (seen.after.state.changes - seen.before.state.changes) / seen.seconds;
export const coreMs = ({ controller }: Seen): number => controller.cores * 1000;
export const bytesAWorker = (direction: "sent" | "received") => (seen: Seen) => {
  const total = (snapshot: Snapshot): number => sum(snapshot.workers.map((one) => one[direction]));
  return (total(seen.after) - total(seen.before)) / seen.seconds;
};
