import type { JobSpec } from "../../packages/protocol/src/jobs.js";
import type { ClusterPlan } from "../scale/cluster-plan.js";
import { TestCluster, type RoleUsage, type Snapshot } from "../scale/test-cluster.js";
import type { PlannedJob } from "../scale/messages.js";
import { capacityByOffering, equalTeams, buildJob, CPU_MACHINE } from "../scale/workload.js";
import type { Point } from "./line.js";

/** Runs a cluster of real processes at one size and observes it over a time window; the source of all slopes of processes. */

const ZONES = ["zone-1"];
export const CORES_PER_MACHINE = CPU_MACHINE.cpus;
/** Limits of the state service that no measurement here reaches. */
const AMPLE_STATE_LIMITS = { rps: 5000, writeRps: 2000, valueKb: 32, txnOps: 64 };
export const POLL_INTERVAL_MS = 500;
const READY_TIMEOUT_MS = 60_000;

/** Measurements of a cluster between two snapshots. */
export interface Observation {
  seconds: number;
  controller: RoleUsage;
  workers: RoleUsage;
  store: RoleUsage;
  before: Snapshot;
  after: Snapshot;
  /** Calls to the state service by all controllers. */
  stateCalls: number;
  cluster: TestCluster;
}

export const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
const sum = (list: readonly number[]): number => list.reduce((a, b) => a + b, 0);

/** Returns the plan of a cluster with one controller, up to 200 machines and no jobs, changed by `overrides`. */
export function clusterPlan(overrides: Partial<ClusterPlan> & { machines?: number }): ClusterPlan {
  const { jobs = [], machines = 200, ...rest } = overrides;
  return {
    controllers: 1,
    teams: equalTeams(1, { cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }),
    objectives: [],
    types: [{ ...CPU_MACHINE, zones: ZONES }],
    capacity: capacityByOffering({ plain: machines }, ZONES),
    jobs,
    workerProcesses: 1,
    state: AMPLE_STATE_LIMITS,
    cloudRps: 50,
    sockets: 4000,
    memMb: 178,
    pollsPerS: 0,
    seed: 1,
    ...rest,
  };
}

/**
 * Starts a cluster, waits until `ready` holds and then for the warm-up time, and observes it for
 * `seconds`. Throws if the cluster is not ready in time or if a process of it exits.
 */
export async function observe(
  plan: ClusterPlan,
  seconds: number,
  ready: (snapshot: Snapshot) => boolean,
  warmUpS = 6,
): Promise<Observation> {
  const cluster = new TestCluster(plan);
  try {
    await cluster.start();
    const deadline = Date.now() + READY_TIMEOUT_MS;
    while (!ready(await cluster.snapshot())) {
      if (Date.now() > deadline)
        throw new Error(
          `the cluster did not become ready in time; its log messages: ${JSON.stringify([...cluster.logLineCounts]).slice(0, 400)}`,
        );
      await sleep(POLL_INTERVAL_MS);
    }
    await sleep(warmUpS * 1000);
    const callsBefore = await countStateCalls(cluster);
    const before = await cluster.snapshot();
    await sleep(seconds * 1000);
    const after = await cluster.snapshot();
    const calls = (await countStateCalls(cluster)) - callsBefore;
    if (cluster.unexpectedExits.length > 0) throw new Error(`processes exited unexpectedly: ${cluster.unexpectedExits.join(", ")}`);
    const usage = cluster.usage(before, after);
    const role = (name: "controller" | "workers" | "store"): RoleUsage => usage.get(name)!;
    return {
      seconds: (after.at - before.at) / 1000,
      ...{ controller: role("controller"), workers: role("workers"), store: role("store") },
      ...{ before, after, stateCalls: calls, cluster },
    };
  } finally {
    cluster.close();
  }
}

/** Returns the calls to the state service that all controllers have made so far. */
async function countStateCalls(cluster: TestCluster): Promise<number> {
  const operations = ["state.read", "state.txn", "state.lease"];
  return sum(await Promise.all(operations.map((one) => cluster.controllerMetricSum(`calls_total{operation="${one}",what="asked"}`))));
}

/** Number of tasks that run on all workers. */
export const runningTasks = (snapshot: Snapshot): number => sum(snapshot.workers.map((one) => one.running));
/** Number of tasks started during an observation. */
export const taskStarts = (observation: Observation): number =>
  sum(observation.after.workers.map((one) => one.starts)) - sum(observation.before.workers.map((one) => one.starts));
/** Returns a service, submitted at once, whose tasks run until the cluster is closed. */
export const serviceJob = (i: number, tasks: number, overrides: Partial<JobSpec>): PlannedJob =>
  buildJob(i, { kind: "service", tasks, ...overrides }, { submitAtMs: 0, runMs: 0 });

/** Observes all sizes at the same time, because each uses only a fraction of a core. */
export async function observeSizes(sizes: number[], observeSize: (size: number) => Promise<Observation>): Promise<SizedObservations> {
  return Promise.all(sizes.map(async (size) => ({ size, observation: await observeSize(size) })));
}

/** Observations with the sizes that they were made at. */
export type SizedObservations = { size: number; observation: Observation }[];
/** Converts observations to points; `x` defaults to the size. */
export const toPoints = (
  observations: SizedObservations,
  y: (observation: Observation) => number,
  x: (observation: Observation, size: number) => number = (_, size) => size,
): Point[] => observations.map(({ size, observation }) => ({ x: x(observation, size), y: y(observation) }));
/** Changes per second that the state service applied. */
export const stateChangesPerS = (observation: Observation): number =>
  (observation.after.state.changes - observation.before.state.changes) / observation.seconds;
/** Processor time of all controllers, in ms per second. */
export const controllerCoreMs = ({ controller }: Observation): number => controller.cores * 1000;
/** Bytes per second that all workers sent or received. */
export const workerBytesPerS = (direction: "sent" | "received") => (observation: Observation) => {
  const total = (snapshot: Snapshot): number => sum(snapshot.workers.map((one) => one[direction]));
  return (total(observation.after) - total(observation.before)) / observation.seconds;
};
