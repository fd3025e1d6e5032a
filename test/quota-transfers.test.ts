import assert from "node:assert/strict";
import { test } from "node:test";
import { findViolations } from "@thorntrail/emulator/checker";
import { Cluster } from "./world/cluster.js";

const type = { name: "m", cpus: 16, gpus: 0, ram: 100, cacheGb: 100, fetchGbPerS: 1, price: 1, spotPrice: 0.3, bootS: 2, zones: ["a"] };
const TEAMS = 8;
const teams = Array.from({ length: TEAMS }, (_, i) => ({ name: `team-${i}`, cpus: 0, cpus_max: 60, gpus: 0, gpus_max: 0 }));

/** Runs six controllers. One job of each team is submitted at the same time, to one controller after the other in turn. */
async function runCluster(tasks: number, cpus: number): Promise<{ transfers: number; conflicts: number; used: number[] }> {
  const cluster = new Cluster({ seed: 3, controllers: 6, teams, types: [type], capacity: new Map([["m/a/ordinary", 60]]) });
  const { world } = cluster;
  let transfers = 0;
  world.observations$.subscribe(({ what }) => (transfers += what === "quota transferred" ? 1 : 0));
  await cluster.runUntil(12);
  const conflicts = (): number => [...world.nodes.values()].reduce((sum, { controller }) => sum + controller!.committer.stats.conflicts, 0);
  const before = conflicts();
  teams.forEach(({ name }, i) => cluster.submit({ ref: `run-00000${i}`, team: name, kind: "gang", tasks, cpus }, 300, `nest-${i % 6}`));
  await cluster.runUntil(60);
  assert.deepEqual([findViolations(world.history, world.limits()), world.errors], [[], []]);
  const result = { transfers, conflicts: conflicts() - before, used: teams.map(({ name }) => cluster.usedBy(name)) };
  cluster.close();
  return result;
}

test("a gang that needs its team's whole quota receives it from all other partitions in turn, with few conflicts", async () => {
  const { transfers, conflicts, used } = await runCluster(30, 2);
  assert.deepEqual(used, Array<number>(TEAMS).fill(60));
  assert.ok(transfers >= 5 * TEAMS && transfers <= 8 * TEAMS, `${transfers} transfers`);
  assert.ok(conflicts <= transfers / 4, `${conflicts} conflicts, ${transfers} transfers`);
});

test("quota that one partition can give is not given by others as well", async () => {
  const { transfers, used } = await runCluster(9, 2);
  assert.deepEqual(used, Array<number>(TEAMS).fill(18));
  assert.ok(transfers <= TEAMS, `${transfers} transfers for ${TEAMS} teams`);
});
