import assert from "node:assert/strict";
import { test } from "node:test";
import { findViolations, type HistoryEvent } from "@thorntrail/emulator/checker";
import type { ControllerDependencies } from "@thorntrail/emulator/entry";
import { seededRandom } from "@thorntrail/emulator/random";
import type { StateApi } from "@thorntrail/protocol/state";
import { keys } from "../src/ledger/records.js";
import { spawnController, type RehearsedController } from "../src/rehearsal/spawn-controller.js";
import { playScenario } from "./world/scenario.js";

/**
 * Checks the answers that users receive, by the real-time order of all requests to all nodes. Within milliseconds of a
 * job being accepted, ended or cancelled, users poll it at every node, repeat its submission and cancel it. Guards
 * against a node answering from state that is older than an earlier answer. `FAULTS` holds, for each fault that is injected
 * meanwhile, its scenario lines for a start at second `s`.
 */
const FAULTS = [
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

/** Returns the text of a scenario with many requests to all nodes and `faultCount` random faults in sequence. */
function scenarioText(seed: number, faultCount: number): string {
  const random = seededRandom(seed);
  const controllers = 3 + Math.floor(random() * 3);
  const lines = Array.from({ length: faultCount }, (_, i) =>
    FAULTS[Math.floor(random() * FAULTS.length)]!(12 + i * 9 + Math.round(random() * 5)),
  );
  return [
    `seed ${seed}`,
    `given controllers ${controllers}`,
    // With records limited to 2 KB, a job's list of dependencies and its slices (ranges of a job array's tasks) are written as records
    // of their own before the job's record.
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

async function playAndCheck(text: string, spawn?: (options: ControllerDependencies) => RehearsedController) {
  const { world, failures } = await playScenario(text, spawn);
  const answers = world.history.filter((one): one is Extract<HistoryEvent, { kind: "told" }> => one.kind === "told");
  return {
    broken: findViolations(world.history, world.limits()),
    failures,
    errors: world.errors,
    answers,
    met: world.simulatedUsers.effects,
  };
}

test("requests to all nodes at once, without faults: cancellations, polls and repeated submissions coincide with the end of a job", async () => {
  let cancelledAtEnd = 0;
  const outcomes = new Set<string>();
  for (const seed of [1, 2, 3]) {
    const text = scenarioText(seed, 0);
    const { broken, failures, errors, answers, met } = await playAndCheck(text);
    assert.deepEqual([broken, failures, errors], [[], [], []], text);
    cancelledAtEnd += met.cancelledAtEnd;
    for (const { what } of answers) outcomes.add(what);
  }
  assert.ok(cancelledAtEnd > 80, `${cancelledAtEnd} cancellations at the end of a job`);
  assert.deepEqual([...outcomes].sort(), ["done", "queued", "refused", "running", "withdrawn"]);
});

test("requests to all nodes at once, during faults of the state service and of controllers: no answer is older than an earlier one", async () => {
  let answerCount = 0;
  const runs = Number(process.env["TOLD"] ?? 5);
  const first = Number(process.env["TOLD_SEED"] ?? 20);
  for (let seed = first; seed < first + runs; seed++) {
    const text = scenarioText(seed, 3);
    const { broken, failures, errors, answers } = await playAndCheck(text);
    assert.deepEqual([broken, failures, errors], [[], [], []], text);
    answerCount += answers.length;
  }
  assert.ok(answerCount > 1500 * runs, `${answerCount} answers`);
});

/** Returns a function that starts a controller whose transactions are replaced by `txn`, so that it writes jobs incorrectly. */
const withTransactions =
  (txn: (state: StateApi, options: ControllerDependencies) => StateApi["txn"]) =>
  (options: ControllerDependencies): RehearsedController =>
    spawnController({ ...options, state: { ...options.state, txn: txn(options.state, options) } });
const isJob = (key: string): boolean => key.startsWith(keys.jobs);

const FAULTY_VARIANTS: Record<string, { spawn: (options: ControllerDependencies) => RehearsedController; what: RegExp }> = {
  "polls are answered without a read that began after the poll": {
    spawn: (options) => {
      const controller = spawnController(options);
      controller.replica.refresh = () => Promise.resolve();
      return controller;
    },
    what: /went_back|forgotten/,
  },
  "a cancellation is acknowledged before it is durable": {
    spawn: withTransactions((state, { clock }) => async (conditions, apply, limitMs) => {
      const endsAsWithdrawn = apply.some((op) => "write" in op && isJob(op.write) && (op.v as { end?: string }).end === "withdrawn");
      if (!endsAsWithdrawn) return state.txn(conditions, apply, limitMs);
      const answer = state.txn([], [], limitMs);
      clock.after(400, () => void state.txn(conditions, apply).catch(() => undefined));
      return answer;
    }),
    what: /went_back/,
  },
  "the end of a job is written without a condition on its record": {
    spawn: withTransactions(
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

for (const [name, { spawn, what }] of Object.entries(FAULTY_VARIANTS))
  test(`faulty variant is detected: ${name}`, async () => {
    const found: string[] = [];
    for (const seed of [1, 2, 3]) found.push(...(await playAndCheck(scenarioText(seed, 0), spawn)).broken);
    assert.match(found.join("\n"), what);
  });
