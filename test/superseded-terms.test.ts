import assert from "node:assert/strict";
import { test } from "node:test";
import type { Report } from "@thorntrail/protocol/worker";
import type { Machine } from "../src/workers/machine.js";
import type { Partition } from "../src/partitions/partition.js";
import { Cluster } from "./world/cluster.js";

/**
 * Guards against an owner that keeps acting on a partition after it was superseded. If a worker shows a token above the
 * owner's term, the partition has, or has had, a newer owner. The owner's term must end at once, whether the token arrives in
 * a report or a reply, and the rest of that message must not be applied: the newer owner may have ended the tasks, ordered
 * the worker to discard them, and restarted them.
 */
const OWNER = "nest-1";
const REF = "run-000001";

interface Fixture {
  cluster: Cluster;
  partition: Partition;
  /** A machine of the partition that runs tasks. */
  machine: Machine;
  starts: () => number;
}

/** Starts a cluster in which `OWNER` has machines that run tasks. If `refused`, the state service then refuses the owner's requests. */
async function startOwner({ refused }: { refused: boolean }): Promise<Fixture> {
  const cluster = new Cluster({
    teams: [{ name: "ops", cpus: 0, cpus_max: 400, gpus: 0, gpus_max: 0 }],
    types: [{ name: "m", cpus: 16, gpus: 0, ram: 100, cacheGb: 100, fetchGbPerS: 1, price: 1, spotPrice: 0.3, bootS: 2, zones: ["a"] }],
    capacity: new Map([["m/a/ordinary", 6]]),
  });
  await cluster.runUntil(5);
  cluster.submit({ ref: REF, tasks: 6, cpus: 8 }, 90, OWNER);
  await cluster.runUntil(25);
  const { leader } = cluster.world.nodes.get(OWNER)!.controller!;
  const partition = [...leader.partitions.values()].find(({ taskSetsByJob: byRef }) => byRef.has(REF))!;
  const machine = [...partition.machines.values()].find(({ placements }) => placements.size > 0)!;
  if (refused) cluster.world.links.add({ from: OWNER, to: "state", effect: { kind: "refuse" } });
  await cluster.runUntil(26);
  const starts = (): number => cluster.world.history.filter(({ kind }) => kind === "on").length;
  return { cluster, partition, machine, starts };
}

/** Returns a report without tasks, as from a machine that has ended and discarded its tasks on a newer owner's orders. */
function clearedReport(machine: Machine, token: number): Report {
  const { host, type, zone, spot, session, seq } = machine;
  return { host, addr: machine.addr!, type, zone, spot, session, seq: seq + 1, token, noticeS: null, tasks: [] };
}

const leaderOf = ({ cluster }: Fixture) => cluster.world.nodes.get(OWNER)!.controller!.leader;

for (const way of ["report", "reply to a command"] as const)
  test(`a higher token in a ${way} ends the term, and the rest of the report is not applied`, async () => {
    const fixture = await startOwner({ refused: true });
    const { cluster, partition, machine, starts } = fixture;
    const before = { starts: starts(), attempts: machine.placements.size };
    const report = clearedReport(machine, partition.term + 7);
    if (way === "report") assert.equal(leaderOf(fixture).onReport(report).kind, "elsewhere");
    else leaderOf(fixture).onCommandReply(partition, machine, report);
    assert.equal(machine.placements.size, before.attempts, "the attempts still count");
    assert.equal(leaderOf(fixture).partitions.has(partition.id), false, "the term has ended");
    await cluster.runUntil(34);
    assert.equal(starts(), before.starts, "no task is restarted");
    cluster.close();
  });

test("a higher token in a reply to a probe ends the term", async () => {
  const fixture = await startOwner({ refused: true });
  const { cluster, partition, machine, starts } = fixture;
  const before = starts();
  leaderOf(fixture).onProbeReply(clearedReport(machine, partition.term + 7));
  assert.equal(leaderOf(fixture).partitions.has(partition.id), false, "the term has ended");
  await cluster.runUntil(34);
  assert.equal(starts(), before, "no task is restarted");
  cluster.close();
});

test("a token that was never issued: the partition is claimed again under another term, its tasks continue, and later tokens of the worker are ignored", async () => {
  const fixture = await startOwner({ refused: false });
  const { cluster, partition, machine, starts } = fixture;
  const before = starts();
  const wrong = partition.term + 1_000_000;
  for (let second = 26; second < 40; second++) {
    const { session, seq } = machine;
    leaderOf(fixture).onReport({ ...clearedReport(machine, wrong), session, seq: seq + 1000 + second });
    await cluster.runUntil(second + 1);
  }
  const again = leaderOf(fixture).partitions.get(partition.id);
  assert.ok(again !== undefined && again.term > partition.term, "owned again, under a new term");
  assert.equal(cluster.world.logMessages.filter((line) => line.startsWith("part lost: a worker shows")).length, 1);
  assert.equal(cluster.world.logMessages.filter((line) => line === "a worker shows a token that nobody was given").length, 1);
  await cluster.runUntil(130);
  assert.equal(starts(), before, "no task is restarted");
  assert.deepEqual(cluster.submissionStatuses(REF).slice(0, 1), ["queued"]);
  const answer = cluster.world.poll(REF);
  await cluster.runUntil(133);
  assert.equal(await answer, "done");
  cluster.close();
});
