import { readFileSync } from "node:fs";
import * as z from "zod";
import { predictLoads, findSlope, type Amounts, type Loads, type SlopesByName } from "../scale/model.js";
import { TargetFileError, type Target } from "../scale/target.js";

/** The figures of docs/CAPACITY.md, worked out from a target, measured slopes and assumptions that are written down. */

const count = z.number().int().min(1);
const positive = z.number().finite().positive();
const share = positive.max(1);

const schema = z.strictObject({
  state_replicas_a_region: count,
  controllers_a_region: count,
  controllers_lost_with_a_zone: count,
  ordinary_starts_share: share,
  ordinary_tasks_share: share,
  peak_jobs_factor: positive,
  open_jobs: count,
  finished_jobs: count,
  poll_every_s: positive,
  polled_jobs: count,
  arrays_ending: count,
  restart_s: positive,
  restarts_a_failed_machine: positive,
});

export type Assumptions = z.infer<typeof schema>;

export function loadAssumptions(file: string): Assumptions {
  const result = schema.safeParse(JSON.parse(readFileSync(file, "utf8")));
  if (result.success) return result.data;
  throw new TargetFileError(result.error.issues.map((issue) => `${file}: ${issue.path.join(".") || "(top)"}: ${issue.message}`).join("; "));
}

export interface Hour {
  name: string;
  /** Of one region's deployment. */
  amounts: Amounts;
  loads: Loads;
}

export interface Figures {
  hours: Hour[];
  controlMachines: number;
  /** Of one region's deployment. */
  quota: { conflictsATransfer: number; transfersATeam: number };
  failures: { startsAgainADay: number; recoveredS: number };
}

const DAY_S = 86_400;

/** Amounts of one region's deployment at the peak; everything is spread evenly over the regions. */
function peakAmounts(target: Target, given: Assumptions): Amounts {
  const region = (amount: number): number => amount / target.regions;
  return {
    controllers: given.controllers_a_region,
    machines: region(target.workers),
    tasks: region(target.tasks_running),
    teams: target.teams,
    startsPerS: region(target.peak_starts_per_s),
    smallJobsPerS: (region(target.jobs_a_day) / DAY_S) * given.peak_jobs_factor,
    pollsPerS: region(given.polled_jobs / given.poll_every_s),
    arraysEnding: region(given.arrays_ending),
    rentalsPerS: region(target.machines_failed_a_day + target.machines_replaced_a_day) / DAY_S,
    openJobs: region(given.open_jobs),
    finishedJobs: region(given.finished_jobs),
  };
}

function hoursOf(target: Target, given: Assumptions): { name: string; amounts: Amounts }[] {
  const peak = peakAmounts(target, given);
  const zonesARegion = target.zones / target.regions;
  const left = 1 - 1 / zonesARegion;
  return [
    {
      name: "ordinary hour",
      amounts: {
        ...peak,
        tasks: peak.tasks * given.ordinary_tasks_share,
        startsPerS: peak.startsPerS * given.ordinary_starts_share,
        smallJobsPerS: peak.smallJobsPerS / given.peak_jobs_factor,
      },
    },
    { name: "peak of starts", amounts: peak },
    {
      name: "zone lost, ordinary hour",
      amounts: {
        ...peak,
        controllers: given.controllers_a_region - given.controllers_lost_with_a_zone,
        machines: peak.machines * left,
        tasks: peak.tasks * given.ordinary_tasks_share,
        startsPerS: (peak.tasks * given.ordinary_tasks_share * (1 - left)) / given.restart_s,
        smallJobsPerS: peak.smallJobsPerS / given.peak_jobs_factor,
      },
    },
  ];
}

export function figuresOf(target: Target, given: Assumptions, named: SlopesByName, bytes: Record<string, number>): Figures {
  const transfers = findSlope(named, "quota_transfers_controller");
  const conflicts = findSlope(named, "quota_conflicts_controller");
  const at = (slope: typeof transfers): number => Math.max(0, slope.intercept + slope.slope * given.controllers_a_region);
  return {
    hours: hoursOf(target, given).map((hour) => ({ ...hour, loads: predictLoads(named, bytes, hour.amounts) })),
    controlMachines: target.regions * (given.state_replicas_a_region + given.controllers_a_region),
    quota: { conflictsATransfer: at(conflicts) / Math.max(1, at(transfers)), transfersATeam: at(transfers) / TEAMS_MEASURED },
    failures: {
      startsAgainADay: (target.machines_failed_a_day + target.machines_replaced_a_day) * given.restarts_a_failed_machine,
      recoveredS: Math.max(...findSlope(named, "recovery_back").points.map(({ y }) => y)),
    },
  };
}

/** Teams over which quota transfers were measured. */
const TEAMS_MEASURED = 20;
