import assert from "node:assert/strict";
import { test } from "node:test";
import { brokenRules, type Happening } from "@thorntrail/emulator/checker";
import type { Spawned } from "@thorntrail/emulator/entry";
import { seeded } from "@thorntrail/emulator/luck";
import type { StateApi } from "@thorntrail/protocol/state";
import { keys } from "../src/ledger/records.js";
import { spawnController, type Rehearsed } from "../src/rehearsal/spawn.js";
import { playScenario } from "./world/scenario.js";

/**
 * What users are told, judged in real time over all nodes: they ask everywhere within milliseconds after a job was
 * accepted, ended or cancelled, repeat the submission, cancel what has just ended and what was just accepted.
 */
const TROUBLES = [
  (s: number) => [`${s} refuse nest-0 for 12`],
  (s: number) => [`${s} refuse nest-1 for 3`, `${s + 1} freeze nest-2 for 1.5`],
  (s: number) => [`${s} delay nest-1 to state by 0.6 for 12`],
  (s: number) => [`${s} delay nest-0 to state by 0.2 for 12`, `${s + 2} freeze nest-0 for 0.6`],
  (s: number) => [`${s} fault late-writes share=0.4 at_once=true for=10`],
  (s: number) => [`${s} fault late-writes share=0.3 for=8`],
  (s: number) => [`${s} silence nest-0 for 0.3`, `${s + 3} silence nest-1 for 6`],
  (s: number) => [`${s} outage state for 3`],
  (s: number) => [`${s} cut nest-1 from peers for 10`, `${s} refuse nest-1 for 10`],
  (s: number) => [`${s} fault restart-store for=1`],
];

/** `troubles`: so many of them, one after another; with none, it is the end of jobs alone that questions meet. */
function textOf(seed: number, troubles: number): string {
  const luck = seeded(seed);
  const controllers = 3 + Math.floor(luck() * 3);
  const lines = Array.from({ length: troubles }, (_, i) =>
    TROUBLES[Math.floor(luck() * TROUBLES.length)]!(12 + i * 9 + Math.round(luck() * 5)),
  );
  return [
    `seed ${seed}`,
    `given controllers ${controllers}`,
    // Little room in a record: lists of needs and slices are written ahead of their jobs.
    ...(seed % 3 === 0 ? ["given state value-kb 2 changes 5 writes 40"] : []),
    "given team ops most-cpus 900",
    "given type m cpus 16 boot 1 count 40",
    "at 1 fault close-looks for=55",
    "at 1 fault cancel-at-end share=0.5 for=55",
    "at 2 fault odd-requests for=50",
    "at 4 burst run-000100 of 90 array of 1 cpus 2 for 3 with 2 a second",
    "at 5 burst run-000200 of 15 gang of 2 cpus 4 for 5 saves 2 with 1 a second",
    "at 6 burst run-000300 of 6 array of 40 cpus 1 for 2 with 1 a second",
    "at 7 submit run-000400 array of 1 cpus 1 for 2 after run-000100,run-000101,run-000200",
    "at 8 submit run-000401 gang of 2 cpus 1 for 2 after run-000400",
    ...lines.flat().map((line) => `at ${line}`),
    "at 20 fault cancel-now count=4",
    "at 150 expect met looks at-least 60",
  ].join("\n");
}

async function judged(text: string, spawn?: (asked: Spawned) => Rehearsed) {
  const { world, failures } = await playScenario(text, spawn);
  const told = world.history.filter((one): one is Extract<Happening, { kind: "told" }> => one.kind === "told");
  return { broken: brokenRules(world.history, world.limits()), failures, errors: world.errors, told, met: world.crowd.met };
}

test("asked everywhere at once, with no other trouble: a cancellation, a question or a repetition meets the end of a job", async () => {
  let atEnd = 0;
  const outcomes = new Set<string>();
  for (const seed of [1, 2, 3]) {
    const text = textOf(seed, 0);
    const { broken, failures, errors, told, met } = await judged(text);
    assert.deepEqual([broken, failures, errors], [[], [], []], text);
    atEnd += met.cancelledAtEnd;
    for (const { what } of told) outcomes.add(what);
  }
  assert.ok(atEnd > 80, `${atEnd} cancellations met an end`);
  assert.deepEqual([...outcomes].sort(), ["done", "queued", "refused", "running", "withdrawn"]);
});

test("asked everywhere at once, amid troubles of the state service and of controllers: no answer is older than one before it", async () => {
  let questions = 0;
  const runs = Number(process.env["TOLD"] ?? 5);
  const first = Number(process.env["TOLD_SEED"] ?? 20);
  for (let seed = first; seed < first + runs; seed++) {
    const text = textOf(seed, 3);
    const { broken, failures, errors, told } = await judged(text);
    assert.deepEqual([broken, failures, errors], [[], [], []], text);
    questions += told.length;
  }
  assert.ok(questions > 1500 * runs, `${questions} answers`);
});

/** The service, as one that writes jobs in a wrong way would use it. */
const through =
  (txn: (state: StateApi, asked: Spawned) => StateApi["txn"]) =>
  (asked: Spawned): Rehearsed =>
    spawnController({ ...asked, state: { ...asked.state, txn: txn(asked.state, asked) } });
const isJob = (key: string): boolean => key.startsWith(keys.jobs);

const WRONG: Record<string, { spawn: (asked: Spawned) => Rehearsed; what: RegExp }> = {
  "polls are answered without a read that began after them": {
    spawn: (asked) => {
      const controller = spawnController(asked);
      controller.mirror.fresh = () => Promise.resolve();
      return controller;
    },
    what: /went_back|forgotten/,
  },
  "a cancellation is told before it is durable": {
    spawn: through((state, { clock }) => async (conditions, apply, limitMs) => {
      const ends = apply.some((op) => "write" in op && isJob(op.write) && (op.v as { end?: string }).end === "withdrawn");
      if (!ends) return state.txn(conditions, apply, limitMs);
      const answer = state.txn([], [], limitMs);
      clock.after(400, () => void state.txn(conditions, apply).catch(() => undefined));
      return answer;
    }),
    what: /went_back/,
  },
  "the end of a job is written whatever its record has become": {
    spawn: through(
      (state) => (conditions, apply, limitMs) =>
        state.txn(
          conditions.filter(({ k }) => !isJob(k)),
          apply,
          limitMs,
        ),
    ),
    what: /went_back|not_done|forgotten/,
  },
};

for (const [name, { spawn, what }] of Object.entries(WRONG))
  test(`wrong variant found: ${name}`, async () => {
    const found: string[] = [];
    for (const seed of [1, 2, 3]) found.push(...(await judged(textOf(seed, 0), spawn)).broken);
    assert.match(found.join("\n"), what);
  });
