import type { JobSpec } from "../../packages/protocol/src/jobs.js";
import type { TeamSettings } from "../../src/settings/platform-file.js";
import type { ClusterPlan } from "./cluster-plan.js";
import type { PlannedJob } from "./messages.js";
import type { Target } from "./target.js";
import { capacityByOffering, GPUS_PER_MACHINE, GPU_MACHINE, buildJob, CPU_MACHINE, teamName, zoneNames } from "./workload.js";

/** Plans a test cluster with a share of the target's fleet: teams, machines, and the jobs of each phase. */

/** Start of each phase and the end of the run, in ms after the run starts. */
export interface Phases {
  steadyStartMs: number;
  burstStartMs: number;
  lossStartMs: number;
  endMs: number;
}

/** Plan of a scale run. */
export interface Fleet {
  plan: ClusterPlan;
  phases: Phases;
  /** Number of tasks that run from the first phase to the end of the run. */
  longRunningTasks: number;
  /** References of the urgent jobs. */
  urgentJobs: ReadonlySet<string>;
}

/** Share of the tasks at peak that are long-running; the others are short. */
const LONG_RUNNING_SHARE = 0.8;
/** Share of the GPUs that gangs of the largest size use. */
const GANG_GPU_SHARE = 0.32;
/** Fraction of the teams that are large, and the share of the tasks that these run together. */
const LARGE_TEAM_FRACTION = 0.1;
const LARGE_TEAM_TASK_SHARE = 0.5;
/** Ratio of a team's maximum quota to the tasks that it runs. */
const QUOTA_LIMIT_FACTOR = 3;
const MAX_TASKS_PER_ARRAY = 4000;
/** Time for which the burst keeps up the peak start rate. */
const BURST_S = 30;
const URGENT_INTERVAL_MS = 1000;
const TASKS_PER_URGENT_JOB = 4;
/** Run time of long-running tasks; longer than any run of this measurement. */
const LONG_RUN_MS = 3_600_000;
const MIN_GANG_SIZE = 8;

/** The target's amounts, scaled down to the share that the run measures. */
interface ScaledCounts {
  controllers: number;
  teams: number;
  cpuMachines: number;
  gpuMachines: number;
  runningTasks: number;
  startsPerS: number;
  gangSize: number;
}

function scaleTarget(target: Target, share: number): ScaledCounts {
  const scaled = (amount: number, min = 1): number => Math.max(min, Math.round(amount * share));
  const gpuMachines = scaled(target.accelerators / GPUS_PER_MACHINE, 2);
  return {
    controllers: scaled(target.control_machines, 2),
    teams: scaled(target.teams, 4),
    gpuMachines,
    cpuMachines: scaled(target.workers, 8) - gpuMachines,
    runningTasks: scaled(target.tasks_running, 50),
    startsPerS: scaled(target.peak_starts_per_s, 4),
    gangSize: scaled(target.largest_gang, MIN_GANG_SIZE),
  };
}

/** Divides `tasks` among the teams: the large teams share half of them, the others the rest. */
function tasksByTeam(teams: number, tasks: number): number[] {
  const large = Math.max(1, Math.round(teams * LARGE_TEAM_FRACTION));
  return Array.from({ length: teams }, (_, i) =>
    Math.max(1, Math.round(i < large ? (tasks * LARGE_TEAM_TASK_SHARE) / large : (tasks * (1 - LARGE_TEAM_TASK_SHARE)) / (teams - large))),
  );
}

/** Collects jobs and numbers them in the order in which they are added. */
class JobList {
  readonly jobs: PlannedJob[] = [];

  /** Adds a job and returns its reference. */
  add(change: Partial<JobSpec>, submitAtMs: number, runMs: number): string {
    const job = buildJob(this.jobs.length + 1, change, { submitAtMs, runMs });
    this.jobs.push(job);
    return job.spec.ref;
  }
}

/** Returns the CPUs of each task, chosen so that the tasks at peak fill the machines without GPUs. */
function cpusPerTask({ runningTasks, cpuMachines, gpuMachines }: ScaledCounts): number {
  const cpuTasks = runningTasks - (gpuMachines * GPUS_PER_MACHINE * (1 + GANG_GPU_SHARE)) / 2;
  return Math.floor((CPU_MACHINE.cpus / Math.ceil(cpuTasks / cpuMachines)) * 100) / 100;
}

/**
 * Adds the long-running jobs: a job array of each team, submitted in turn over `spreadMs`, gangs of the largest size, and a job
 * array that uses half of the GPUs that the gangs leave. Returns the number of tasks of all these jobs.
 */
function addLongRunningJobs(list: JobList, counts: ScaledCounts, byTeam: number[], spreadMs: number): number {
  const cpus = cpusPerTask(counts);
  let tasks = 0;
  byTeam.forEach((count, i) => {
    list.add({ klass: "lasting", team: teamName(i), tasks: count, cpus }, (i * spreadMs) / byTeam.length, LONG_RUN_MS);
    tasks += count;
  });
  const gpus = counts.gpuMachines * GPUS_PER_MACHINE;
  const gangs = Math.max(1, Math.floor((gpus * GANG_GPU_SHARE) / counts.gangSize));
  for (let i = 0; i < gangs; i++) {
    list.add(
      { klass: "training", team: teamName(i), kind: "gang", tasks: counts.gangSize, gpus: 1, ram: 8, checkpointS: 30 },
      i * 500,
      LONG_RUN_MS,
    );
    tasks += counts.gangSize;
  }
  const inferenceTasks = Math.floor((gpus - gangs * counts.gangSize) / 2);
  list.add({ klass: "inference", team: teamName(1), tasks: inferenceTasks, gpus: 1, ram: 8, urgency: "low" }, 2000, LONG_RUN_MS);
  return tasks + inferenceTasks;
}

/** Plans a run with `share` of the target's size. Every count has a minimum, so small shares have all kinds of jobs. */
export function planFleet(target: Target, share: number, workerProcesses: number, state: ClusterPlan["state"]): Fleet {
  const counts = scaleTarget(target, share);
  const zones = zoneNames(target.zones);
  const byTeam = tasksByTeam(
    counts.teams,
    counts.runningTasks * LONG_RUNNING_SHARE - counts.gpuMachines * GPUS_PER_MACHINE * ((1 + GANG_GPU_SHARE) / 2),
  );
  const fillMs = 30_000 + 30_000 * share;
  const phases: Phases = { steadyStartMs: fillMs, burstStartMs: fillMs + 25_000, lossStartMs: fillMs + 75_000, endMs: fillMs + 140_000 };
  const list = new JobList();
  const cpus = cpusPerTask(counts);
  const longRunningTasks = addLongRunningJobs(list, counts, byTeam, fillMs / 3);
  // Short tasks make up the rest of the peak. Their run time is such that tasks end, and others start instead, at the peak start rate.
  const shortTasks = Math.max(1, counts.runningTasks - longRunningTasks);
  const runMs = (shortTasks / counts.startsPerS) * 1000;
  const burstTasks = shortTasks + counts.startsPerS * BURST_S;
  const arrays = Math.max(4, Math.ceil(burstTasks / MAX_TASKS_PER_ARRAY));
  for (let i = 0; i < arrays; i++)
    list.add({ klass: "burst", team: teamName(i), tasks: Math.ceil(burstTasks / arrays), cpus }, phases.burstStartMs + i * 50, runMs);
  const urgentJobs = new Set<string>();
  for (let at = phases.steadyStartMs - 10_000; at < phases.endMs - 15_000; at += URGENT_INTERVAL_MS) {
    const team = teamName(urgentJobs.size % counts.teams);
    urgentJobs.add(list.add({ klass: "urgent", team, kind: "gang", urgency: "urgent", tasks: TASKS_PER_URGENT_JOB }, at, 8000));
  }
  const teams = byTeam.map((count, i): TeamSettings => {
    const burstShare = i < arrays ? Math.ceil(shortTasks / arrays) : 0;
    const gpuLimit = i < arrays || i <= 1 ? counts.gpuMachines * GPUS_PER_MACHINE : 0;
    const limit = Math.ceil((count + burstShare + counts.gangSize) * QUOTA_LIMIT_FACTOR * cpus);
    return { name: teamName(i), cpus: Math.ceil(count / 2), cpus_max: limit, gpus: 0, gpus_max: gpuLimit };
  });
  const plan: ClusterPlan = {
    controllers: counts.controllers,
    teams,
    objectives: [{ kind: "wait", class: "urgent", within_s: target.urgent_start_s, share: 0.99 }],
    types: [
      { ...CPU_MACHINE, zones },
      { ...GPU_MACHINE, zones },
    ],
    capacity: capacityByOffering({ plain: counts.cpuMachines, graphics: counts.gpuMachines }, zones),
    jobs: list.jobs,
    workerProcesses,
    state,
    cloudRps: 10,
    sockets: 4000,
    memMb: 256,
    pollsPerS: 0,
    seed: 1,
  };
  return { plan, phases, longRunningTasks, urgentJobs };
}
