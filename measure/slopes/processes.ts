import { TestCluster, type Snapshot } from "../scale/test-cluster.js";
import type { PlannedJob } from "../scale/messages.js";
import { buildJob, CPU_MACHINE } from "../scale/workload.js";
import type { Point } from "./line.js";
import {
  type Seen,
  planOf,
  observe,
  overSizes,
  sleep,
  running,
  starts,
  service,
  points,
  coreMs,
  bytesAWorker,
  changes,
  CORES_A_MACHINE,
  LOOK_MS,
} from "./observe.js";
import { slopeOf, type Slope } from "./slope.js";

/** Slopes of one controller and its workers, as real processes: everything but one number is held. */

/** One more machine, each with one task that fills it and nothing that changes. */
export async function machineSlopes(sizes: number[], seconds: number): Promise<Slope[]> {
  const sized = await overSizes(sizes, (size) =>
    observe(planOf({ jobs: [service(1, size, { cpus: CORES_A_MACHINE })] }), seconds, (seen) => running(seen) >= size),
  );
  return [
    slopeOf("controller_machine", "ms of processor/s", "machine", points(sized, coreMs)),
    slopeOf(
      "controller_machine_memory",
      "MB",
      "machine",
      points(sized, (seen) => seen.controller.maxMemoryMb),
    ),
    slopeOf(
      "worker_idle_processor",
      "ms of processor/s",
      "worker",
      points(sized, (seen) => seen.workers.cores * 1000),
    ),
    slopeOf(
      "worker_idle_memory",
      "MB",
      "worker",
      points(sized, (seen) => seen.workers.maxMemoryMb),
    ),
    slopeOf("worker_idle_sent", "bytes/s", "worker", points(sized, bytesAWorker("sent"))),
    slopeOf("worker_idle_received", "bytes/s", "worker", points(sized, bytesAWorker("received"))),
  ];
}

/** One more task that runs, on the same machines. */
export async function taskSlopes(perMachine: number[], machines: number, seconds: number): Promise<Slope[]> {
  const sized = await overSizes(
    perMachine.map((each) => each * machines),
    (size) => {
      const cpus = (CORES_A_MACHINE * machines) / size;
      const ram = (CPU_MACHINE.ram * machines) / size;
      return observe(planOf({ machines, jobs: [service(1, size, { cpus, ram })] }), seconds, (seen) => running(seen) >= size);
    },
  );
  return [
    slopeOf("controller_running_task", "ms of processor/s", "task", points(sized, coreMs)),
    slopeOf(
      "controller_running_task_memory",
      "MB",
      "task",
      points(sized, (seen) => seen.controller.maxMemoryMb),
    ),
    slopeOf(
      "worker_running_task_processor",
      "ms of processor/s",
      "task",
      points(sized, (seen) => seen.workers.cores * 1000),
    ),
    slopeOf("worker_running_task_sent", "bytes/s", "task", points(sized, bytesAWorker("sent"))),
  ];
}

/** Arrays that end at different times, so that starts come evenly. */
const STAGGERED = 8;

function staggeredArrays(count: number, tasks: number, runMs: number): PlannedJob[] {
  return Array.from({ length: count }, (_, i) =>
    buildJob(i + 1, { tasks: Math.ceil(tasks / count) }, { submitAtMs: i * 100, runMs: runMs * (0.7 + (0.6 * (i + 0.5)) / count) }),
  );
}

/** One more task a second that begins, ends and is cleared away, on full machines. */
export async function startSlopes(runMs: number[], machines: number, seconds: number): Promise<Slope[]> {
  const slots = machines * CORES_A_MACHINE;
  const sized = await overSizes(runMs, (run) => {
    const tasks = Math.min(100_000 * STAGGERED, slots * Math.ceil(((seconds + 90) * 1000) / run));
    return observe(planOf({ machines, jobs: staggeredArrays(STAGGERED, tasks, run) }), seconds, (seen) => running(seen) >= slots * 0.6);
  });
  const rate = (seen: Seen): number => starts(seen) / seen.seconds;
  return [
    slopeOf("controller_start", "ms of processor", "start and end", points(sized, coreMs, rate)),
    slopeOf(
      "controller_start_memory",
      "MB",
      "start and end a second",
      points(sized, (seen) => seen.controller.maxMemoryMb, rate),
    ),
    slopeOf(
      "worker_start_processor",
      "ms of processor",
      "start and end",
      points(sized, (seen) => seen.workers.cores * 1000, rate),
    ),
    slopeOf("worker_start_sent", "bytes", "start and end", points(sized, bytesAWorker("sent"), rate)),
    slopeOf("worker_start_received", "bytes", "start and end", points(sized, bytesAWorker("received"), rate)),
    slopeOf("state_changes_start", "changes", "start and end", points(sized, changes, rate)),
  ];
}

/** One more array whose tasks end, at the same rate of ends in all. */
export async function arraySlopes(counts: number[], machines: number, seconds: number): Promise<Slope[]> {
  const slots = machines * CORES_A_MACHINE;
  const runMs = 8000;
  const sized = await overSizes(counts, (count) => {
    const tasks = slots * Math.ceil(((seconds + 90) * 1000) / runMs);
    return observe(planOf({ machines, jobs: staggeredArrays(count, tasks, runMs) }), seconds, (seen) => running(seen) >= slots * 0.6);
  });
  return [slopeOf("state_changes_array", "changes/s", "array whose tasks end", points(sized, changes))];
}

/** One more job of one task a second: submitted, run, polled to its end. */
export async function submissionSlopes(rates: number[], seconds: number): Promise<Slope[]> {
  const sized = await overSizes(rates, (rate) => {
    const jobs = Array.from({ length: rate * (seconds + 30) }, (_, i) =>
      buildJob(i + 1, { urgency: "urgent" }, { submitAtMs: (i * 1000) / rate, runMs: 1000 }),
    );
    const busy = service(900_000, 160, {});
    return observe(planOf({ machines: 40, jobs: [busy, ...jobs] }), seconds, (seen) => running(seen) >= 160);
  });
  const accepted = (seen: Seen): number => {
    const count = (snapshot: Snapshot): number => snapshot.clients.submissions.filter(({ acceptedAt }) => acceptedAt !== null).length;
    return (count(seen.after) - count(seen.before)) / seen.seconds;
  };
  return [
    slopeOf("controller_small_job", "ms of processor", "job of one task", points(sized, coreMs, accepted)),
    slopeOf("state_changes_small_job", "changes", "job of one task", points(sized, changes, accepted)),
    slopeOf(
      "state_requests_small_job",
      "requests",
      "job of one task",
      points(sized, (seen) => seen.stateCalls / seen.seconds, accepted),
    ),
    slopeOf(
      "store_small_job",
      "ms of processor",
      "job of one task",
      points(sized, (seen) => seen.store.cores * 1000, accepted),
    ),
  ];
}

/** One more machine rented, from the request until it is recorded as up. */
export async function rentalSlopes(sizes: number[]): Promise<Slope[]> {
  const counted = await Promise.all(
    sizes.map(async (size): Promise<Point> => {
      const cell = new TestCluster(planOf({ jobs: [service(1, size, { cpus: CORES_A_MACHINE })] }));
      try {
        await cell.start();
        const before = await cell.snapshot();
        for (;;) {
          const after = await cell.snapshot();
          if (running(after) >= size) return { x: size, y: after.state.changes - before.state.changes };
          await sleep(LOOK_MS);
        }
      } finally {
        cell.close();
      }
    }),
  );
  return [slopeOf("state_changes_machine", "changes", "machine rented and up", counted)];
}

/** One more poll a second of a job that runs. */
export async function pollSlopes(rates: number[], seconds: number): Promise<Slope[]> {
  const sized = await overSizes(rates, (rate) =>
    observe(planOf({ jobs: [service(1, 40, { cpus: CORES_A_MACHINE })], pollsPerS: rate }), seconds, (seen) => running(seen) >= 40),
  );
  const polls = (seen: Seen): number => (seen.after.clients.polls - seen.before.clients.polls) / seen.seconds;
  return [
    slopeOf("controller_poll", "ms of processor", "poll", points(sized, coreMs, polls)),
    slopeOf(
      "state_requests_poll",
      "requests",
      "poll",
      points(sized, (seen) => seen.stateCalls / seen.seconds, polls),
    ),
  ];
}
