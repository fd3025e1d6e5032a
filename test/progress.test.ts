import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { VirtualClock } from "@thorntrail/emulator/virtual/clock";
import type { Draft, CommitOutcome } from "../src/ledger/batch.js";
import type { GroupCommitter } from "../src/ledger/group-committer.js";
import type { StateReplica } from "../src/ledger/state-replica.js";
import { keys, type JobRecord, type SliceRecord } from "../src/ledger/records.js";
import type { LeaderContext } from "../src/partitions/leader-context.js";
import { Progress } from "../src/partitions/progress.js";
import { Bits } from "../src/platform/bits.js";
import { addTaskSet, type Partition } from "../src/partitions/partition.js";
import { markFinished, newTaskSet } from "../src/queue/task-set.js";
import { partitionOf, enqueue, specOf } from "./world/partitions.js";
import { unsyncedReplica } from "./world/state-replica.js";

/** Returns the part of a partition owner's context that recording progress uses. */
function contextOf(partition: Partition, clock: VirtualClock): LeaderContext {
  return {
    partitions: new Map([[partition.id, partition]]),
    settings: { timing: { leaseMs: 18_000 }, state: { valueKb: 32 } },
    scope: { clock: { now: () => clock.now(), after: clock.after.bind(clock), wall: () => clock.now() }, log: { debug: () => undefined } },
  } as unknown as LeaderContext;
}

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
  const leaderContext = contextOf(partition, clock);
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

/** Tasks of the array below: its first tasks and its slice are of this size. */
const HALF = 2;

/**
 * Creates a partition that owns an array's first tasks and, with `ownsSlice`, its slice. Writes stay in flight until `land`
 * is called, which applies them in one transaction and only then tells the writers.
 */
function slicedArray({ ownsSlice }: { ownsSlice: boolean }) {
  const { partition } = partitionOf(1, { cpus: 4, gpus: 0, ram: 64 });
  const spec = specOf({ tasks: 2 * HALF });
  const sliceKey = keys.slice(spec.ref, HALF);
  const replica = unsyncedReplica();
  let revision = partition.term;
  replica.put(keys.owner(partition.id), { owner: "n", life: "n" }, revision);
  const slicePartition = ownsSlice ? partition.id : partition.id + 1;
  replica.put(keys.job(spec.ref), { spec, part: partition.id, hi: HALF, done: "", at: 0 } satisfies JobRecord, ++revision);
  replica.put(sliceKey, { ref: spec.ref, part: slicePartition, lo: HALF, hi: 2 * HALF, done: "" } satisfies SliceRecord, ++revision);
  const first = newTaskSet(keys.job(spec.ref), spec, 0, HALF, new Bits(HALF), 0, 0);
  const slice = newTaskSet(sliceKey, spec, HALF, 2 * HALF, new Bits(HALF), 0, 0);
  addTaskSet(partition, first);
  if (ownsSlice) addTaskSet(partition, slice);
  const writes: { draft: () => Draft | null; resolve: (outcome: CommitOutcome) => void }[] = [];
  const committer = {
    commit: (_label: string, draft: () => Draft | null) => new Promise<CommitOutcome>((resolve) => void writes.push({ draft, resolve })),
  } as unknown as GroupCommitter;
  const clock = new VirtualClock();
  const progress = new Progress(contextOf(partition, clock), replica, committer);
  // `OwnedPartitions` asks for the array's first tasks to be recorded whenever the record of a slice changes.
  replica.changes$.subscribe((key) => {
    if (key === sliceKey && first.done.full) progress.record(partition, first);
  });
  const apply = (drafts: (Draft | null)[]): void => {
    revision++;
    for (const op of drafts.flatMap((draft) => draft?.apply ?? [])) if ("write" in op) replica.put(op.write, op.v, revision);
  };
  return {
    clock,
    /** Ends a task, counted over the whole array; tasks of a slice in another partition are recorded by its owner at once. */
    finish(task: number): void {
      if (task < HALF) {
        markFinished(first, task);
        return progress.record(partition, first);
      }
      markFinished(slice, task - HALF);
      if (ownsSlice) return progress.record(partition, slice);
      const { v } = replica.get<SliceRecord>(sliceKey)!;
      apply([{ conditions: [], apply: [{ write: sliceKey, v: { ...v, done: slice.done.encode() } }] }]);
    },
    /** Drafts the writes that wait, as when their transaction is sent; `answer` applies and answers it. */
    send(): { answer: (outcome: CommitOutcome) => void } {
      const sent = writes.splice(0).map((write) => ({ ...write, drafted: write.draft() }));
      const answer = (outcome: CommitOutcome): void => {
        if (outcome === "done") apply(sent.map(({ drafted }) => drafted));
        for (const { drafted, resolve } of sent) resolve(outcome === "done" && drafted === null ? "settled" : outcome);
      };
      return { answer };
    },
    pendingWrites: () => writes.length,
    end: () => replica.get<JobRecord>(keys.job(spec.ref))!.v.end,
  };
}

// Guards against an array that is never called done: its last slice is recorded as done while the write of its first tasks
// is in flight, and nothing looks at the array again.
test("an array ends although its last slice is recorded as done while the write of its first tasks is in flight", async () => {
  const array = slicedArray({ ownsSlice: false });
  array.finish(0);
  array.finish(1);
  const transaction = array.send();
  array.finish(2);
  array.finish(3);
  transaction.answer("done");
  await array.clock.run(1000);
  array.send().answer("done");
  assert.equal(array.end(), "done");
});

// The same fault without a second controller: one owner records the first tasks and the slice in the same transaction.
test("an array ends although its first tasks and its slice are recorded in one transaction", async () => {
  const array = slicedArray({ ownsSlice: true });
  for (const task of [0, 1, 2, 3]) array.finish(task);
  array.send().answer("done");
  await array.clock.run(1000);
  array.send().answer("done");
  assert.equal(array.end(), "done");
});

test("an array ends once all its tasks are done, in whatever order its writes are sent, answered and shed", async () => {
  type Step = { finish: true } | { send: true } | { answer: CommitOutcome } | { waitMs: number };
  const steps = fc.oneof(
    { weight: 4, arbitrary: fc.constant<Step>({ finish: true }) },
    { weight: 3, arbitrary: fc.constant<Step>({ send: true }) },
    { weight: 3, arbitrary: fc.constantFrom<Step>({ answer: "done" }, { answer: "done" }, { answer: "shed" }) },
    { weight: 1, arbitrary: fc.constantFrom<Step>({ waitMs: 1 }, { waitMs: 20_000 }) },
  );
  const order = fc.shuffledSubarray([0, 1, 2, 3], { minLength: 4 });
  await fc.assert(
    fc.asyncProperty(fc.boolean(), order, fc.array(steps, { maxLength: 30 }), async (ownsSlice, tasks, script) => {
      const array = slicedArray({ ownsSlice });
      const unfinished = [...tasks];
      let transaction: ReturnType<typeof array.send> | null = null;
      const answer = async (outcome: CommitOutcome): Promise<void> => {
        transaction?.answer(outcome);
        transaction = null;
        await array.clock.run(array.clock.now() + 1);
      };
      for (const step of script) {
        if ("finish" in step && unfinished.length > 0) array.finish(unfinished.shift()!);
        else if ("send" in step) transaction ??= array.send();
        else if ("answer" in step) await answer(step.answer);
        else if ("waitMs" in step) await array.clock.run(array.clock.now() + step.waitMs);
      }
      for (const task of unfinished) array.finish(task);
      // A write that was shed is repeated after a lease; each record takes at most two writes from then on.
      for (let round = 0; round < 6; round++) {
        await answer("done");
        await array.clock.run(array.clock.now() + 20_000);
        transaction = array.send();
      }
      await answer("done");
      assert.equal(array.end(), "done");
      assert.equal(array.pendingWrites(), 0);
    }),
    { numRuns: 500, seed: 68 },
  );
});
