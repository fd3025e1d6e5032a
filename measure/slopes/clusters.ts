import { equalTeams, buildJob } from "../scale/workload.js";
import { perOrderedPair, type Point } from "./line.js";
import {
  type Observation,
  type SizedObservations,
  clusterPlan,
  observe,
  runningTasks,
  serviceJob,
  toPoints,
  controllerCoreMs,
  stateChangesPerS,
} from "./observe.js";
import { fitSlope, type Slope } from "./slope.js";

/**
 * Slopes of clusters of several controllers as real processes. Sizes run one after another,
 * because the traffic of the loopback interface is counted for the whole machine.
 */

/** Cost of a team that has a running job, with three controllers. */
export async function teamSlopes(counts: number[], seconds: number): Promise<Slope[]> {
  const controllers = 3;
  const observations: SizedObservations = [];
  for (const size of counts) {
    const teams = equalTeams(size, { cpus: 8, cpus_max: 96, gpus: 0, gpus_max: 0 });
    const jobs = teams.map(({ name }, i) => serviceJob(i + 1, 1, { team: name }));
    const observation = await observe(
      clusterPlan({ controllers, teams, jobs, pollUntilDone: false }),
      seconds,
      (snapshot) => runningTasks(snapshot) >= size,
    );
    observations.push({ size, observation });
  }
  const perController = (observation: Observation): number => controllerCoreMs(observation) / controllers;
  return [
    fitSlope("controller_team", "ms of processor/s of each of 3", "team with work", toPoints(observations, perController)),
    fitSlope(
      "controller_team_memory",
      "MB",
      "team with work",
      toPoints(observations, (observation) => observation.controller.maxMemoryMb),
    ),
    fitSlope("loopback_team", "bytes/s in all, 3 controllers", "team with work", toPoints(observations, loopbackBytesPerS)),
  ];
}

/** Bytes per second on the loopback interface. */
const loopbackBytesPerS = (observation: Observation): number =>
  (observation.after.traffic.bytes - observation.before.traffic.bytes) / observation.seconds;

/** Cost of a controller in an idle cluster. */
export async function controllerSlopes(counts: number[], seconds: number): Promise<Slope[]> {
  const observations: SizedObservations = [];
  for (const size of counts)
    observations.push({ size, observation: await observe(clusterPlan({ controllers: size }), seconds, () => true) });
  const perController = (read: (observation: Observation) => number): Point[] =>
    observations.map(({ size, observation }) => ({ x: size, y: read(observation) / size }));
  return [
    fitSlope("controller_peer", "ms of processor/s of each", "controller", perController(controllerCoreMs)),
    fitSlope(
      "controller_peer_memory",
      "MB",
      "controller",
      toPoints(observations, (observation) => observation.controller.maxMemoryMb),
    ),
    fitSlope(
      "state_requests_controller",
      "requests/s in all",
      "controller",
      toPoints(observations, (observation) => observation.stateCalls / observation.seconds),
    ),
    fitSlope("state_changes_controller", "changes/s in all", "controller", toPoints(observations, stateChangesPerS)),
    fitSlope("loopback_pair", "bytes/s in all", "ordered pair of controllers", perOrderedPair(toPoints(observations, loopbackBytesPerS))),
    fitSlope(
      "store_controller",
      "ms of processor/s",
      "controller",
      toPoints(observations, (observation) => observation.store.cores * 1000),
    ),
  ];
}

/** Quota transfers and their conflicts by number of controllers, when each of 20 teams has a job array that needs its whole limit. */
export async function quotaSlopes(counts: number[], seconds: number): Promise<Slope[]> {
  const observations: SizedObservations = [];
  const transfers: Point[] = [];
  const conflicts: Point[] = [];
  for (const size of counts) {
    const teams = equalTeams(20, { cpus: 4, cpus_max: 64, gpus: 0, gpus_max: 0 });
    const jobs = teams.map(({ name }, i) => buildJob(i + 1, { team: name, tasks: 64 }, { submitAtMs: 0, runMs: 600_000 }));
    const observation = await observe(
      clusterPlan({ controllers: size, teams, jobs }),
      seconds,
      (snapshot) => runningTasks(snapshot) >= 400,
      1,
    );
    observations.push({ size, observation });
    transfers.push({ x: size, y: observation.cluster.logLineCounts.get(QUOTA_TRANSFER_MESSAGE) ?? 0 });
    conflicts.push({ x: size, y: observation.after.state.conflicts });
  }
  return [
    fitSlope("quota_transfers_controller", "transfers for 20 teams", "controller", transfers),
    fitSlope("quota_conflicts_controller", "conflicts for 20 teams", "controller", conflicts),
    fitSlope(
      "quota_running_controller",
      "tasks of 1,280 that run",
      "controller",
      toPoints(observations, (observation) => runningTasks(observation.after)),
    ),
  ];
}

/** Message that controllers log for each quota transfer. */
const QUOTA_TRANSFER_MESSAGE = "quota transferred";
