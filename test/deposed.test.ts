import assert from "node:assert/strict";
import { test } from "node:test";
import type { Report } from "@thorntrail/protocol/worker";
import type { Machine } from "../src/workers/machine.js";
import type { Part } from "../src/parts/part.js";
import { Cluster } from "./world/cluster.js";

/**
 * A token above an owner's term proves that the partition has, or has had, a newer owner: whichever way it comes, the
 * term ends there at once, and nothing that the report says is taken for news of this owner's own.
 */
const OWNER = "nest-1";
const REF = "run-000001";

interface Place {
  cluster: Cluster;
  part: Part;
  /** One of the partition's machines that run tasks. */
  machine: Machine;
  starts: () => number;
}

/** An owner of some machines that run tasks, refused by the state service from now on if `refused`. */
async function ownerAtWork({ refused }: { refused: boolean }): Promise<Place> {
  const cluster = new Cluster({
    teams: [{ name: "ops", cpus: 0, cpus_max: 400, gpus: 0, gpus_max: 0 }],
    types: [{ name: "m", cpus: 16, gpus: 0, ram: 100, cacheGb: 100, fetchGbPerS: 1, price: 1, spotPrice: 0.3, bootS: 2, zones: ["a"] }],
    capacity: new Map([["m/a/ordinary", 6]]),
  });
  await cluster.until(5);
  cluster.submit({ ref: REF, tasks: 6, cpus: 8 }, 90, OWNER);
  await cluster.until(25);
  const { leader } = cluster.world.nodes.get(OWNER)!.controller!;
  const partition = [...leader.parts.values()].find(({ byRef }) => byRef.has(REF))!;
  const machine = [...partition.machines.values()].find(({ placements }) => placements.size > 0)!;
  if (refused) cluster.world.links.add({ from: OWNER, to: "state", effect: { kind: "refuse" } });
  await cluster.until(26);
  const starts = (): number => cluster.world.history.filter(({ kind }) => kind === "on").length;
  return { cluster, part: partition, machine, starts };
}

/** What a machine says whose tasks a newer owner has ended and cleared. */
function clearedReport(machine: Machine, token: number): Report {
  const { host, type, zone, spot, session, seq } = machine;
  return { host, addr: machine.addr!, type, zone, spot, session, seq: seq + 1, token, noticeS: null, tasks: [] };
}

const leaderOf = ({ cluster }: Place) => cluster.world.nodes.get(OWNER)!.controller!.leader;

for (const way of ["report", "reply to a command"] as const)
  test(`a higher token by a ${way} ends the term, and what the report says is no news of this term`, async () => {
    const place = await ownerAtWork({ refused: true });
    const { cluster, part: partition, machine, starts } = place;
    const before = { starts: starts(), attempts: machine.placements.size };
    const report = clearedReport(machine, partition.term + 7);
    if (way === "report") assert.equal(leaderOf(place).onReport(report).kind, "elsewhere");
    else leaderOf(place).onCommandReply(partition, machine, report);
    assert.equal(machine.placements.size, before.attempts, "the attempts still count");
    assert.equal(leaderOf(place).parts.has(partition.id), false, "the term has ended");
    await cluster.until(34);
    assert.equal(starts(), before.starts, "nothing is started again");
    cluster.close();
  });

test("a higher token by a reply to a probe ends the term", async () => {
  const place = await ownerAtWork({ refused: true });
  const { cluster, part: partition, machine, starts } = place;
  const before = starts();
  leaderOf(place).onProbeReply(clearedReport(machine, partition.term + 7));
  assert.equal(leaderOf(place).parts.has(partition.id), false, "the term has ended");
  await cluster.until(34);
  assert.equal(starts(), before, "nothing is started again");
  cluster.close();
});

test("a token that nobody was given: the partition is claimed anew under another term, its tasks go on, and the worker is not believed again", async () => {
  const place = await ownerAtWork({ refused: false });
  const { cluster, part: partition, machine, starts } = place;
  const before = starts();
  const wrong = partition.term + 1_000_000;
  for (let second = 26; second < 40; second++) {
    const { session, seq } = machine;
    leaderOf(place).onReport({ ...clearedReport(machine, wrong), session, seq: seq + 1000 + second });
    await cluster.until(second + 1);
  }
  const again = leaderOf(place).parts.get(partition.id);
  assert.ok(again !== undefined && again.term > partition.term, "led again, under a term of its own");
  assert.equal(cluster.world.lines.filter((line) => line.startsWith("part lost: a worker shows")).length, 1);
  assert.equal(cluster.world.lines.filter((line) => line === "a worker shows a token that nobody was given").length, 1);
  await cluster.until(130);
  assert.equal(starts(), before, "no task was started again");
  assert.deepEqual(cluster.answered(REF).slice(0, 1), ["queued"]);
  const answer = cluster.world.poll(REF);
  await cluster.until(133);
  assert.equal(await answer, "done");
  cluster.close();
});
