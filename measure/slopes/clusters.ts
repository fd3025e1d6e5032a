import { equalTeams, buildJob } from "../scale/workload.js";
import { byPairs, type Point } from "./line.js";
import { type Seen, type Sized, planOf, observe, running, service, points, coreMs, changes } from "./observe.js";
import { slopeOf, type Slope } from "./slope.js";

/** Slopes over several controllers, as real processes, one size after another: loopback traffic is the machine's. */

/** One more team with work, over three controllers. */
export async function teamSlopes(counts: number[], seconds: number): Promise<Slope[]> {
  const controllers = 3;
  const sized: Sized = [];
  // One after another: what passes over the loopback interface is all of the machine's.
  for (const size of counts) {
    const teams = equalTeams(size, { cpus: 8, cpus_max: 96, gpus: 0, gpus_max: 0 });
    const jobs = teams.map(({ name }, i) => service(i + 1, 1, { team: name }));
    const seen = await observe(
      planOf({ controllers, teams, jobs, pollUntilDone: false }),
      seconds,
      (snapshot) => running(snapshot) >= size,
    );
    sized.push({ size, seen });
  }
  const each = (seen: Seen): number => coreMs(seen) / controllers;
  return [
    slopeOf("controller_team", "ms of processor/s of each of 3", "team with work", points(sized, each)),
    slopeOf(
      "controller_team_memory",
      "MB",
      "team with work",
      points(sized, (seen) => seen.controller.maxMemoryMb),
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
      points(sized, (seen) => seen.controller.maxMemoryMb),
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
    const jobs = teams.map(({ name }, i) => buildJob(i + 1, { team: name, tasks: 64 }, { submitAtMs: 0, runMs: 600_000 }));
    const seen = await observe(planOf({ controllers: size, teams, jobs }), seconds, (snapshot) => running(snapshot) >= 400, 1);
    sized.push({ size, seen });
    transfers.push({ x: size, y: seen.cell.logLineCounts.get(QUOTA_MOVED) ?? 0 });
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
