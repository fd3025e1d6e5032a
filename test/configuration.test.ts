import assert from "node:assert/strict";
import { test } from "node:test";
import { CallError } from "@thorntrail/protocol/errors";
import type { StateApi } from "@thorntrail/protocol/state";
import { VirtualClock } from "@thorntrail/emulator/virtual/clock";
import { VirtualState } from "@thorntrail/emulator/virtual/service-links";
import { parseChange } from "../src/configuration/change-file.js";
import { isInForce, partitionStatuses, type InForceEvidence } from "../src/configuration/in-force.js";
import { ChangeRefused, ConfigurationStore, HISTORY_VERSIONS } from "../src/configuration/store.js";
import { changeErrors, unrunnableJob, mergeTeams } from "../src/configuration/teams.js";
import { keys, type PresenceRecord } from "../src/ledger/records.js";
import { specOf } from "./world/partitions.js";

const ops = { name: "ops", cpus: 4, cpus_max: 40, gpus: 0, gpus_max: 0 };
const lab = { name: "lab", cpus: 0, cpus_max: 20, gpus: 0, gpus_max: 0 };
const base = [ops, lab];
const LIMITS = { rps: 1000, writeRps: 1000, valueKb: 32, txnOps: 16 };

test("an invalid change file is refused with the file, the field and the expected value", () => {
  const refused = (text: string): string => {
    try {
      parseChange("c.toml", text);
    } catch (error) {
      return (error as Error).message;
    }
    return "";
  };
  assert.match(refused("[[teams"), /^c\.toml: not TOML/);
  assert.match(refused('[[teams]]\nname = "ops"\ncpu_max = 3'), /^c\.toml: teams\.0: .*cpu_max/);
  assert.match(refused('[[teams]]\nname = "ops"\ncpus_max = -3'), /^c\.toml: teams\.0\.cpus_max: /);
  assert.match(refused("remove = [3]"), /^c\.toml: remove\.0: /);
});

test("a change is checked as a whole against the existing teams", () => {
  const teams = mergeTeams(base, []);
  const errors = (change: Parameters<typeof changeErrors>[0], maxTeams = 13): string => changeErrors(change, teams, maxTeams).join("; ");
  assert.equal(errors({ set: [{ ...ops, cpus_max: 50 }], remove: ["lab"] }), "");
  assert.match(errors({ set: [], remove: [] }), /expected teams to set or to remove/);
  assert.match(errors({ set: [{ ...ops, cpus: 41 }], remove: [] }), /teams\.0\.cpus: 41: expected at most cpus_max, 40/);
  assert.match(errors({ set: [ops, ops], remove: [] }), /teams\.1\.name: ops: expected each team once/);
  assert.match(errors({ set: [], remove: ["nobody"] }), /remove\.0: nobody: expected the name of a team/);
  assert.match(errors({ set: [ops, lab], remove: [] }, 1), /expected at most 1 in one change/);
  const gang = specOf({ kind: "gang", team: "ops", tasks: 6, cpus: 5 });
  assert.match(
    String(unrunnableJob({ set: [{ ...ops, cpus_max: 29 }], remove: [] }, [gang])),
    /run-000001 of team ops was accepted and needs more CPUs/,
  );
  assert.equal(unrunnableJob({ set: [{ ...ops, cpus_max: 30 }], remove: [] }, [gang]), null);
  const [, , removed] = mergeTeams(base, [{ ...lab, name: "old", version: 3, removed: true }]);
  assert.deepEqual(removed, { ...lab, name: "old", removed: true });
});

test("a version is in force in a partition whose owner has published it and fenced the partition, or provably starts nothing any more", () => {
  const owner = { v: { owner: "nest-0", life: "l1" }, stamp: 40 };
  const statusFor = (presence: PresenceRecord | undefined, elapsedMs = 0): string => {
    const evidence: InForceEvidence = {
      version: 3,
      partitions: 1,
      owner: () => owner,
      presence: () => presence,
      elapsedMs,
      silentAfterMs: 22_000,
    };
    return partitionStatuses(evidence)[0]!.standing;
  };
  assert.equal(statusFor({ life: "l1", acts: { version: 3, term: 40 } }), "in force");
  assert.equal(statusFor({ life: "l1", acts: { version: 2, term: 40 } }), "behind");
  assert.equal(statusFor({ life: "l2", acts: { version: 3, term: 50 } }), "behind");
  assert.equal(statusFor({ life: "l1", acts: { version: 3, term: 39 } }), "taking over");
  assert.equal(statusFor({ life: "l1" }, 99_000), "of an older program");
  assert.equal(statusFor(undefined, 21_999), "away");
  assert.equal(statusFor(undefined, 22_000), "in force");
  assert.ok(
    isInForce(
      partitionStatuses({ version: 3, partitions: 2, owner: () => undefined, presence: () => undefined, elapsedMs: 0, silentAfterMs: 1 }),
    ),
  );
});

/** Creates a configuration store on a virtual state service. `settled` runs the clock for 20 s and returns a promise's result or error. */
function createStore(wrapState: (state: StateApi) => StateApi = (state) => state) {
  const clock = new VirtualClock();
  const state = new VirtualState(clock, () => 5, LIMITS).client("operator", (fn) => fn());
  const sleep = (ms: number): Promise<void> => new Promise((resolve) => clock.after(ms, resolve));
  const store = new ConfigurationStore(wrapState(state), base, LIMITS, () => clock.wall(), sleep);
  const settled = async <T>(work: Promise<T>): Promise<T | Error> => {
    const caught = work.catch((error: Error) => error);
    for (let i = 0; i < 400; i++) await clock.run(clock.now() + 50);
    return caught;
  };
  return { clock, state, store, settled };
}

test("each change makes one version, a repeated one makes none, a reverted one makes a new one, and the history is bounded", async () => {
  const { store, state, settled } = createStore();
  assert.deepEqual(await settled(store.set({ set: [{ ...ops, cpus_max: 60 }], remove: [] })), { version: 1, changed: true });
  assert.deepEqual(await settled(store.set({ set: [{ ...ops, cpus_max: 60 }], remove: [] })), { version: 1, changed: false });
  assert.deepEqual(await settled(store.set({ set: [ops], remove: ["lab"] })), { version: 2, changed: true });
  const read = await settled(store.read());
  assert.ok(!(read instanceof Error));
  assert.deepEqual(
    read.teams.map(({ name, cpus_max, removed }) => [name, cpus_max, removed]),
    [
      ["ops", 40, false],
      ["lab", 20, true],
    ],
  );
  assert.deepEqual(
    read.history.map(({ version }) => version),
    [1, 2],
  );
  for (let i = 0; i < HISTORY_VERSIONS + 2; i++) await settled(store.set({ set: [{ ...ops, cpus_max: 100 + i }], remove: [] }));
  const rows = await settled(state.range(keys.configurationHistory, undefined, 500));
  assert.ok(!(rows instanceof Error) && rows.rows.length === HISTORY_VERSIONS);
});

test("of two concurrent changes, one is refused with a conflict", async () => {
  const { store, settled } = createStore();
  const bothChanges = Promise.all([
    store.set({ set: [{ ...ops, cpus_max: 60 }], remove: [] }).catch((error: Error) => error),
    store.set({ set: [{ ...ops, cpus_max: 70 }], remove: [] }).catch((error: Error) => error),
  ]);
  const outcomes = (await settled(bothChanges)) as (Error | { version: number })[];
  const refused = outcomes.filter((one) => one instanceof ChangeRefused);
  assert.equal(refused.length, 1);
  assert.match((refused[0] as Error).message, /another change came first, now version 1/);
});

test("a write whose answer is lost and which is applied again late makes one version and has one effect", async () => {
  const copies: (() => Promise<unknown>)[] = [];
  const { store, settled } = createStore((state) => ({
    ...state,
    range: (...asked) => state.range(...asked),
    txn: async (conditions, apply) => {
      copies.push(() => state.txn(conditions, apply));
      if (copies.length > 1) return state.txn(conditions, apply);
      await state.txn(conditions, apply);
      throw new CallError("unanswered", "lost");
    },
  }));
  assert.deepEqual(await settled(store.set({ set: [{ ...ops, cpus_max: 60 }], remove: [] })), { version: 1, changed: true });
  assert.deepEqual(await settled(store.set({ set: [{ ...ops, cpus_max: 90 }], remove: [] })), { version: 2, changed: true });
  for (const copy of copies) await settled(copy());
  const read = await settled(store.read());
  assert.ok(!(read instanceof Error));
  assert.deepEqual([read.head?.version, read.teams[0]!.cpus_max], [2, 90]);
});

test("lower limits that an accepted job could not run within are refused, and no prepared change remains", async () => {
  const { store, state, settled } = createStore();
  const record = { spec: specOf({ ref: "run-000007", kind: "gang", team: "ops", tasks: 10, cpus: 4 }), part: 0, hi: 10, done: "", at: 1 };
  await settled(state.txn([], [{ write: keys.job("run-000007"), v: record }]));
  const refused = await settled(store.set({ set: [{ ...ops, cpus_max: 39 }], remove: [] }));
  assert.ok(refused instanceof ChangeRefused && refused.code === "invalid");
  assert.match(refused.message, /run-000007 of team ops was accepted and needs more CPUs/);
  const read = await settled(store.read());
  assert.ok(!(read instanceof Error));
  assert.deepEqual([read.head?.version, read.head?.prepared], [0, undefined]);
});
