import { TestCluster, type Snapshot } from "../scale/test-cluster.js";
import type { PlannedJob } from "../scale/messages.js";
import { buildJob, CPU_MACHINE } from "../scale/workload.js";
import type { Point } from "./line.js";
import {
  type Observation,
  clusterPlan,
  observe,
  observeSizes,
  sleep,
  runningTasks,
  taskStarts,
  serviceJob,
  toPoints,
  controllerCoreMs,
  workerBytesPerS,
  stateChangesPerS,
  CORES_PER_MACHINE,
  POLL_INTERVAL_MS,
} from "./observe.js";
import { fitSlope, type Slope } from "./slope.js";

/** Slopes of one controller and its workers as real processes; each varies one quantity and holds all others. */

/** Cost of a machine in a steady state, with one task that fills it. */
export async function machineSlopes(sizes: number[], seconds: number): Promise<Slope[]> {
  const observations = await observeSizes(sizes, (size) =>
    observe(
      clusterPlan({ jobs: [serviceJob(1, size, { cpus: CORES_PER_MACHINE })] }),
      seconds,
      (snapshot) => runningTasks(snapshot) >= size,
    ),
  );
  return [
    fitSlope("controller_machine", "ms of processor/s", "machine", toPoints(observations, controllerCoreMs)),
    fitSlope(
      "controller_machine_memory",
      "MB",
      "machine",
      toPoints(observations, (observation) => observation.controller.maxMemoryMb),
    ),
    fitSlope(
      "worker_idle_processor",
      "ms of processor/s",
      "worker",
      toPoints(observations, (observation) => observation.workers.cores * 1000),
    ),
    fitSlope(
      "worker_idle_memory",
      "MB",
      "worker",
      toPoints(observations, (observation) => observation.workers.maxMemoryMb),
    ),
    fitSlope("worker_idle_sent", "bytes/s", "worker", toPoints(observations, workerBytesPerS("sent"))),
    fitSlope("worker_idle_received", "bytes/s", "worker", toPoints(observations, workerBytesPerS("received"))),
  ];
}

/** Cost of a running task, on a fixed number of machines. */
export async function taskSlopes(perMachine: number[], machines: number, seconds: number): Promise<Slope[]> {
  const observations = await observeSizes(
    perMachine.map((each) => each * machines),
    (size) => {
      const cpus = (CORES_PER_MACHINE * machines) / size;
      const ram = (CPU_MACHINE.ram * machines) / size;
      return observe(
        clusterPlan({ machines, jobs: [serviceJob(1, size, { cpus, ram })] }),
        seconds,
        (snapshot) => runningTasks(snapshot) >= size,
      );
    },
  );
  return [
    fitSlope("controller_running_task", "ms of processor/s", "task", toPoints(observations, controllerCoreMs)),
    fitSlope(
      "controller_running_task_memory",
      "MB",
      "task",
      toPoints(observations, (observation) => observation.controller.maxMemoryMb),
    ),
    fitSlope(
      "worker_running_task_processor",
      "ms of processor/s",
      "task",
      toPoints(observations, (observation) => observation.workers.cores * 1000),
    ),
    fitSlope("worker_running_task_sent", "bytes/s", "task", toPoints(observations, workerBytesPerS("sent"))),
  ];
}

/** Number of job arrays with different run times among which the tasks are divided, so that starts are spread evenly. */
const STAGGERED_ARRAYS = 8;

/** Divides `tasks` among `count` job arrays whose run times differ by up to 30 % from `runMs`. */
function staggeredArrays(count: number, tasks: number, runMs: number): PlannedJob[] {
  return Array.from({ length: count }, (_, i) =>
    buildJob(i + 1, { tasks: Math.ceil(tasks / count) }, { submitAtMs: i * 100, runMs: runMs * (0.7 + (0.6 * (i + 0.5)) / count) }),
  );
}

/** Cost of a task that starts, ends and is then discarded by its worker, on full machines. */
export async function startSlopes(runMs: number[], machines: number, seconds: number): Promise<Slope[]> {
  const taskCapacity = machines * CORES_PER_MACHINE;
  const observations = await observeSizes(runMs, (run) => {
    const tasks = Math.min(100_000 * STAGGERED_ARRAYS, taskCapacity * Math.ceil(((seconds + 90) * 1000) / run));
    return observe(
      clusterPlan({ machines, jobs: staggeredArrays(STAGGERED_ARRAYS, tasks, run) }),
      seconds,
      (snapshot) => runningTasks(snapshot) >= taskCapacity * 0.6,
    );
  });
  const startsPerS = (observation: Observation): number => taskStarts(observation) / observation.seconds;
  return [
    fitSlope("controller_start", "ms of processor", "start and end", toPoints(observations, controllerCoreMs, startsPerS)),
    fitSlope(
      "controller_start_memory",
      "MB",
      "start and end a second",
      toPoints(observations, (observation) => observation.controller.maxMemoryMb, startsPerS),
    ),
    fitSlope(
      "worker_start_processor",
      "ms of processor",
      "start and end",
      toPoints(observations, (observation) => observation.workers.cores * 1000, startsPerS),
    ),
    fitSlope("worker_start_sent", "bytes", "start and end", toPoints(observations, workerBytesPerS("sent"), startsPerS)),
    fitSlope("worker_start_received", "bytes", "start and end", toPoints(observations, workerBytesPerS("received"), startsPerS)),
    fitSlope("state_changes_start", "changes", "start and end", toPoints(observations, stateChangesPerS, startsPerS)),
  ];
}

/** Changes of the state service by number of job arrays whose tasks end, at a constant total rate of ends. */
export async function arraySlopes(counts: number[], machines: number, seconds: number): Promise<Slope[]> {
  const taskCapacity = machines * CORES_PER_MACHINE;
  const runMs = 8000;
  const observations = await observeSizes(counts, (count) => {
    const tasks = taskCapacity * Math.ceil(((seconds + 90) * 1000) / runMs);
    return observe(
      clusterPlan({ machines, jobs: staggeredArrays(count, tasks, runMs) }),
      seconds,
      (snapshot) => runningTasks(snapshot) >= taskCapacity * 0.6,
    );
  });
  return [fitSlope("state_changes_array", "changes/s", "array whose tasks end", toPoints(observations, stateChangesPerS))];
}

/** Cost of a one-task job that is submitted, run and polled until it is done. */
export async function submissionSlopes(rates: number[], seconds: number): Promise<Slope[]> {
  const observations = await observeSizes(rates, (rate) => {
    const jobs = Array.from({ length: rate * (seconds + 30) }, (_, i) =>
      buildJob(i + 1, { urgency: "urgent" }, { submitAtMs: (i * 1000) / rate, runMs: 1000 }),
    );
    const longRunning = serviceJob(900_000, 160, {});
    return observe(clusterPlan({ machines: 40, jobs: [longRunning, ...jobs] }), seconds, (snapshot) => runningTasks(snapshot) >= 160);
  });
  const acceptedPerS = (observation: Observation): number => {
    const count = (snapshot: Snapshot): number => snapshot.clients.submissions.filter(({ acceptedAt }) => acceptedAt !== null).length;
    return (count(observation.after) - count(observation.before)) / observation.seconds;
  };
  return [
    fitSlope("controller_small_job", "ms of processor", "job of one task", toPoints(observations, controllerCoreMs, acceptedPerS)),
    fitSlope("state_changes_small_job", "changes", "job of one task", toPoints(observations, stateChangesPerS, acceptedPerS)),
    fitSlope(
      "state_requests_small_job",
      "requests",
      "job of one task",
      toPoints(observations, (observation) => observation.stateCalls / observation.seconds, acceptedPerS),
    ),
    fitSlope(
      "store_small_job",
      "ms of processor",
      "job of one task",
      toPoints(observations, (observation) => observation.store.cores * 1000, acceptedPerS),
    ),
  ];
}

/** Changes of the state service for a machine, from its request until its first task runs. */
export async function rentalSlopes(sizes: number[]): Promise<Slope[]> {
  const points = await Promise.all(
    sizes.map(async (size): Promise<Point> => {
      const cluster = new TestCluster(clusterPlan({ jobs: [serviceJob(1, size, { cpus: CORES_PER_MACHINE })] }));
      try {
        await cluster.start();
        const before = await cluster.snapshot();
        for (;;) {
          const after = await cluster.snapshot();
          if (runningTasks(after) >= size) return { x: size, y: after.state.changes - before.state.changes };
          await sleep(POLL_INTERVAL_MS);
        }
      } finally {
        cluster.close();
      }
    }),
  );
  return [fitSlope("state_changes_machine", "changes", "machine rented and up", points)];
}

/** Cost of a poll of a running job. */
export async function pollSlopes(rates: number[], seconds: number): Promise<Slope[]> {
  const observations = await observeSizes(rates, (rate) =>
    observe(
      clusterPlan({ jobs: [serviceJob(1, 40, { cpus: CORES_PER_MACHINE })], pollsPerS: rate }),
      seconds,
      (snapshot) => runningTasks(snapshot) >= 40,
    ),
  );
  const pollsPerS = (observation: Observation): number =>
    (observation.after.clients.polls - observation.before.clients.polls) / observation.seconds;
  return [
    fitSlope("controller_poll", "ms of processor", "poll", toPoints(observations, controllerCoreMs, pollsPerS)),
    fitSlope(
      "state_requests_poll",
      "requests",
      "poll",
      toPoints(observations, (observation) => observation.stateCalls / observation.seconds, pollsPerS),
    ),
  ];
}
