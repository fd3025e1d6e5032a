import type { JobSpec } from "../../packages/protocol/src/jobs.js";
import { Cell, type CellPlan, type RoleUsage, type Snapshot } from "../scale/cell.js";
import type { PlannedJob } from "../scale/messages.js";
import { capacityOf, equalTeams, jobOf, PLAIN } from "../scale/workload.js";
import { byPairs, type Point } from "./line.js";
import { slopeOf, type Slope } from "./slope.js";

/** Slopes of real processes: everything but one number is held. */

const ZONES = ["zone-1"];
const CORES_A_MACHINE = PLAIN.cpus;
/** Limits that nothing here comes near. */
const AMPLE_STATE = { rps: 5000, writeRps: 2000, valueKb: 32, txnOps: 64 };
const LOOK_MS = 500;
const SETTLE_LIMIT_MS = 60_000;
const REPORT_S = 2.5;

/** What is measured between two looks at a cell. */
interface Seen {
  seconds: number;
  controller: RoleUsage;
  workers: RoleUsage;
  store: RoleUsage;
  before: Snapshot;
  after: Snapshot;
  stateCalls: number;
  cell: Cell;
}

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
const sum = (list: readonly number[]): number => list.reduce((a, b) => a + b, 0);

function planOf(change: Partial<CellPlan> & { machines?: number }): CellPlan {
  const { jobs = [], machines = 200, ...rest } = change;
  return {
    controllers: 1,
    teams: equalTeams(1, { cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }),
    objectives: [],
    types: [{ ...PLAIN, zones: ZONES }],
    capacity: capacityOf({ plain: machines }, ZONES),
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
async function observe(plan: CellPlan, seconds: number, ready: (seen: Snapshot) => boolean, warmS = 6): Promise<Seen> {
  const cell = new Cell(plan);
  try {
    await cell.start();
    const until = Date.now() + SETTLE_LIMIT_MS;
    while (!ready(await cell.snapshot())) {
      if (Date.now() > until)
        throw new Error(`a cell did not come to the size asked for: ${JSON.stringify([...cell.lines]).slice(0, 400)}`);
      await sleep(LOOK_MS);
    }
    await sleep(warmS * 1000);
    const callsBefore = await stateCalls(cell);
    const before = await cell.snapshot();
    await sleep(seconds * 1000);
    const after = await cell.snapshot();
    const calls = (await stateCalls(cell)) - callsBefore;
    if (cell.ended.length > 0) throw new Error(`ended by itself: ${cell.ended.join(", ")}`);
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

async function stateCalls(cell: Cell): Promise<number> {
  const operations = ["state.read", "state.txn", "state.lease"];
  return sum(await Promise.all(operations.map((one) => cell.controllerFigure(`calls_total{operation="${one}",what="asked"}`))));
}

const running = (seen: Snapshot): number => sum(seen.workers.map((one) => one.running));
const starts = (seen: Seen): number => sum(seen.after.workers.map((one) => one.starts)) - sum(seen.before.workers.map((one) => one.starts));
const service = (i: number, tasks: number, change: Partial<JobSpec>): PlannedJob =>
  jobOf(i, { kind: "service", tasks, ...change }, { atMs: 0, runMs: 0 });

/** Runs the sizes beside each other: each takes a fraction of a core. */
async function overSizes(sizes: number[], one: (size: number) => Promise<Seen>): Promise<{ size: number; seen: Seen }[]> {
  return Promise.all(sizes.map(async (size) => ({ size, seen: await one(size) })));
}

type Sized = { size: number; seen: Seen }[];
const points = (sized: Sized, y: (seen: Seen) => number, x: (seen: Seen, size: number) => number = (_, size) => size): Point[] =>
  sized.map(({ size, seen }) => ({ x: x(seen, size), y: y(seen) }));
const changes = (seen: Seen): number => (seen.after.state.changes - seen.before.state.changes) / seen.seconds;
const coreMs = ({ controller }: Seen): number => controller.cores * 1000;
const bytesAWorker = (direction: "sent" | "received") => (seen: Seen) => {
  const total = (snapshot: Snapshot): number => sum(snapshot.workers.map((one) => one[direction]));
  return (total(seen.after) - total(seen.before)) / seen.seconds;
};

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
      points(sized, (seen) => seen.controller.mostMb),
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
      points(sized, (seen) => seen.workers.mostMb),
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
      const ram = (PLAIN.ram * machines) / size;
      return observe(planOf({ machines, jobs: [service(1, size, { cpus, ram })] }), seconds, (seen) => running(seen) >= size);
    },
  );
  return [
    slopeOf("controller_running_task", "ms of processor/s", "task", points(sized, coreMs)),
    slopeOf(
      "controller_running_task_memory",
      "MB",
      "task",
      points(sized, (seen) => seen.controller.mostMb),
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
    jobOf(i + 1, { tasks: Math.ceil(tasks / count) }, { atMs: i * 100, runMs: runMs * (0.7 + (0.6 * (i + 0.5)) / count) }),
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
      points(sized, (seen) => seen.controller.mostMb, rate),
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
      jobOf(i + 1, { urgency: "urgent" }, { atMs: (i * 1000) / rate, runMs: 1000 }),
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
      const cell = new Cell(planOf({ jobs: [service(1, size, { cpus: CORES_A_MACHINE })] }));
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

/** One more team with work, over three controllers. */
export async function teamSlopes(counts: number[], seconds: number): Promise<Slope[]> {
  const controllers = 3;
  const sized: Sized = [];
  // One after another: what passes over the loopback interface is all of the machine's.
  for (const size of counts) {
    const teams = equalTeams(size, { cpus: 8, cpus_max: 96, gpus: 0, gpus_max: 0 });
    const jobs = teams.map(({ name }, i) => service(i + 1, 1, { team: name }));
    const seen = await observe(planOf({ controllers, teams, jobs, followed: false }), seconds, (snapshot) => running(snapshot) >= size);
    sized.push({ size, seen });
  }
  const each = (seen: Seen): number => coreMs(seen) / controllers;
  return [
    slopeOf("controller_team", "ms of processor/s of each of 3", "team with work", points(sized, each)),
    slopeOf(
      "controller_team_memory",
      "MB",
      "team with work",
      points(sized, (seen) => seen.controller.mostMb),
    ),
    slopeOf("loopback_team", "bytes/s in all, 3 controllers", "team with work", points(sized, loopback)),
  ];
}

const loopback = (seen: Seen): number => (seen.after.traffic.bytes - seen.before.traffic.bytes) / seen.seconds;

/** One more controller, all of them idle. */
export async function controllerSlopes(counts: number[], seconds: number): Promise<Slope[]> {
  const sized: Sized = [];
  for (const size of counts) sized.push({ size, seen: await observe(planOf({ controllers: size }), seconds, () => true) });
  const perController = (read: (seen: Seen) => number): Point[] => sized.map(({ size, seen }) => ({ x: size, y: read(seen) / size }));
  return [
    slopeOf("controller_peer", "ms of processor/s of each", "controller", perController(coreMs)),
    slopeOf(
      "controller_peer_memory",
      "MB",
      "controller",
      points(sized, (seen) => seen.controller.mostMb),
    ),
    slopeOf(
      "state_requests_controller",
      "requests/s in all",
      "controller",
      points(sized, (seen) => seen.stateCalls / seen.seconds),
    ),
    slopeOf("state_changes_controller", "changes/s in all", "controller", points(sized, changes)),
    slopeOf("loopback_pair", "bytes/s in all", "ordered pair of controllers", byPairs(points(sized, loopback))),
    slopeOf(
      "store_controller",
      "ms of processor/s",
      "controller",
      points(sized, (seen) => seen.store.cores * 1000),
    ),
  ];
}

/** One more transfer of quota: an array that needs all of its team's limit, over more and more controllers. */
export async function quotaSlopes(counts: number[], seconds: number): Promise<Slope[]> {
  const sized: Sized = [];
  const transfers: Point[] = [];
  const conflicts: Point[] = [];
  for (const size of counts) {
    const teams = equalTeams(20, { cpus: 4, cpus_max: 64, gpus: 0, gpus_max: 0 });
    const jobs = teams.map(({ name }, i) => jobOf(i + 1, { team: name, tasks: 64 }, { atMs: 0, runMs: 600_000 }));
    const seen = await observe(planOf({ controllers: size, teams, jobs }), seconds, (snapshot) => running(snapshot) >= 400, 1);
    sized.push({ size, seen });
    transfers.push({ x: size, y: seen.cell.lines.get(QUOTA_MOVED) ?? 0 });
    conflicts.push({ x: size, y: seen.after.state.conflicts });
  }
  return [
    slopeOf("quota_transfers_controller", "transfers for 20 teams", "controller", transfers),
    slopeOf("quota_conflicts_controller", "conflicts for 20 teams", "controller", conflicts),
    slopeOf(
      "quota_running_controller",
      "tasks of 1,280 that run",
      "controller",
      points(sized, (seen) => running(seen.after)),
    ),
  ];
}

/** What controllers log of a transfer. */
const QUOTA_MOVED = "quota transferred";

/** Reports a second of one worker without changes. */
export const REPORTS_A_WORKER_S = 1 / REPORT_S;
