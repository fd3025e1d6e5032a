import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualClock } from "@thorntrail/emulator/virtual/clock";
import type { Draft, CommitOutcome } from "../src/ledger/batch.js";
import type { GroupCommitter } from "../src/ledger/group-committer.js";
import type { StateReplica } from "../src/ledger/state-replica.js";
import { keys, type JobRecord } from "../src/ledger/records.js";
import type { LeaderContext } from "../src/partitions/leader-context.js";
import { Progress } from "../src/partitions/progress.js";
import { markFinished } from "../src/queue/task-set.js";
import { partitionOf, enqueue, specOf } from "./world/partitions.js";

/** Creates a partition with one job, whose only task is done, and a stub group committer that returns the given outcomes in turn. */
function finished(outcomes: CommitOutcome[]) {
  const { partition } = partitionOf(1, { cpus: 4, gpus: 0, ram: 64 });
  const taskSet = enqueue(partition, specOf({ tasks: 1 }));
  markFinished(taskSet, 0);
  const clock = new VirtualClock();
  const record: JobRecord = { spec: taskSet.spec, part: partition.id, hi: 1, done: "", at: 0 };
  const replica = {
    get: (key: string) => (key === taskSet.key || key === keys.job(taskSet.spec.ref) ? { v: record, stamp: 7 } : undefined),
    stamp: (key: string) => (key === keys.owner(partition.id) ? partition.term : 0),
    slicesOf: () => [],
  } as unknown as StateReplica;
  const drafts: (Draft | null)[] = [];
  const committer = {
    commit: (_label: string, draft: () => Draft | null): Promise<CommitOutcome> => {
      drafts.push(draft());
      return Promise.resolve(outcomes.shift() ?? "done");
    },
  } as unknown as GroupCommitter;
  const leaderContext = {
    partitions: new Map([[partition.id, partition]]),
    settings: { timing: { leaseMs: 18_000 }, state: { valueKb: 32 } },
    scope: { clock: { now: () => clock.now(), after: clock.after.bind(clock), wall: () => clock.now() }, log: { debug: () => undefined } },
  } as unknown as LeaderContext;
  return { partition, taskSet, clock, drafts, leaderContext, progress: new Progress(leaderContext, replica, committer) };
}

test("a job's end that was shed because too many writes were queued is written a lease time later", async () => {
  const { partition, taskSet, clock, drafts, progress } = finished(["shed", "shed", "done"]);
  progress.record(partition, taskSet);
  await clock.run(17_000);
  assert.equal(drafts.length, 1);
  await clock.run(60_000);
  assert.equal(drafts.length, 3);
  assert.deepEqual(
    drafts.map((draft) => (draft?.apply[0] as { v: JobRecord }).v.end),
    ["done", "done", "done"],
  );
});

test("a job's end is not written again after ownership of the partition is lost", async () => {
  const { partition, taskSet, clock, drafts, progress, leaderContext } = finished(["shed", "done"]);
  progress.record(partition, taskSet);
  await clock.run(1000);
  leaderContext.partitions.delete(partition.id);
  await clock.run(60_000);
  assert.equal(drafts.length, 1);
});
