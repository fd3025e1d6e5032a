import { readFileSync } from "node:fs";
import * as z from "zod";
import { predictLoads, findSlope, type Amounts, type Loads, type SlopesByName } from "../scale/model.js";
import { TargetFileError, type Target } from "../scale/target.js";

/** Computes the figures of docs/CAPACITY.md from a target, measured slopes and written assumptions. */

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

/** Assumptions that are not measured, as docs/capacity/assumptions.json holds them. */
export type Assumptions = z.infer<typeof schema>;

/** Reads the assumptions. Throws a `TargetFileError` that names each invalid field. */
export function loadAssumptions(file: string): Assumptions {
  const result = schema.safeParse(JSON.parse(readFileSync(file, "utf8")));
  if (result.success) return result.data;
  throw new TargetFileError(result.error.issues.map((issue) => `${file}: ${issue.path.join(".") || "(top)"}: ${issue.message}`).join("; "));
}

/** Amounts and computed loads at one typical hour. */
export interface HourFigures {
  name: string;
  /** Amounts in the deployment of one region. */
  amounts: Amounts;
  loads: Loads;
}

/** All computed figures, as they are written to docs/capacity/figures.json. */
export interface Figures {
  hours: HourFigures[];
  controlMachines: number;
  /** Quota transfers in the deployment of one region. */
  quota: { conflictsATransfer: number; transfersATeam: number };
  failures: { startsAgainADay: number; recoveredS: number };
}

const DAY_S = 86_400;

/** Returns the amounts in the deployment of one region at the peak. Load is spread evenly over the regions. */
function peakAmounts(target: Target, assumptions: Assumptions): Amounts {
  const perRegion = (amount: number): number => amount / target.regions;
  return {
    controllers: assumptions.controllers_a_region,
    machines: perRegion(target.workers),
    tasks: perRegion(target.tasks_running),
    teams: target.teams,
    startsPerS: perRegion(target.peak_starts_per_s),
    smallJobsPerS: (perRegion(target.jobs_a_day) / DAY_S) * assumptions.peak_jobs_factor,
    pollsPerS: perRegion(assumptions.polled_jobs / assumptions.poll_every_s),
    arraysEnding: perRegion(assumptions.arrays_ending),
    rentalsPerS: perRegion(target.machines_failed_a_day + target.machines_replaced_a_day) / DAY_S,
    openJobs: perRegion(assumptions.open_jobs),
    finishedJobs: perRegion(assumptions.finished_jobs),
  };
}

/** Returns the amounts of an ordinary hour, of the peak of task starts, and of an ordinary hour after the loss of a zone. */
function amountsByHour(target: Target, assumptions: Assumptions): { name: string; amounts: Amounts }[] {
  const peak = peakAmounts(target, assumptions);
  const zonesPerRegion = target.zones / target.regions;
  const remainingShare = 1 - 1 / zonesPerRegion;
  return [
    {
      name: "ordinary hour",
      amounts: {
        ...peak,
        tasks: peak.tasks * assumptions.ordinary_tasks_share,
        startsPerS: peak.startsPerS * assumptions.ordinary_starts_share,
        smallJobsPerS: peak.smallJobsPerS / assumptions.peak_jobs_factor,
      },
    },
    { name: "peak of starts", amounts: peak },
    {
      name: "zone lost, ordinary hour",
      amounts: {
        ...peak,
        controllers: assumptions.controllers_a_region - assumptions.controllers_lost_with_a_zone,
        machines: peak.machines * remainingShare,
        tasks: peak.tasks * assumptions.ordinary_tasks_share,
        startsPerS: (peak.tasks * assumptions.ordinary_tasks_share * (1 - remainingShare)) / assumptions.restart_s,
        smallJobsPerS: peak.smallJobsPerS / assumptions.peak_jobs_factor,
      },
    },
  ];
}

/** Computes all figures. Throws a `SlopesFileError` if a slope is missing. */
export function computeFigures(target: Target, assumptions: Assumptions, slopes: SlopesByName, bytes: Record<string, number>): Figures {
  const transfers = findSlope(slopes, "quota_transfers_controller");
  const conflicts = findSlope(slopes, "quota_conflicts_controller");
  const atControllerCount = (slope: typeof transfers): number =>
    Math.max(0, slope.intercept + slope.slope * assumptions.controllers_a_region);
  return {
    hours: amountsByHour(target, assumptions).map((hour) => ({ ...hour, loads: predictLoads(slopes, bytes, hour.amounts) })),
    controlMachines: target.regions * (assumptions.state_replicas_a_region + assumptions.controllers_a_region),
    quota: {
      conflictsATransfer: atControllerCount(conflicts) / Math.max(1, atControllerCount(transfers)),
      transfersATeam: atControllerCount(transfers) / QUOTA_SLOPE_TEAMS,
    },
    failures: {
      startsAgainADay: (target.machines_failed_a_day + target.machines_replaced_a_day) * assumptions.restarts_a_failed_machine,
      recoveredS: Math.max(...findSlope(slopes, "recovery_back").points.map(({ y }) => y)),
    },
  };
}

/** Number of teams in the measurement of quota transfers. */
const QUOTA_SLOPE_TEAMS = 20;
