import { VirtualClock } from "@thorntrail/emulator/virtual/clock";
import { VirtualState } from "@thorntrail/emulator/virtual/service-links";
import { CallError } from "@thorntrail/protocol/errors";
import { TokenBucket } from "@thorntrail/protocol/token-bucket";
import { RateLimitError, RequestTooLargeError } from "@thorntrail/protocol/state";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { backoffMs, RetryBudget } from "../src/calls/backoff.js";
import { callPolicies } from "../src/calls/policy.js";
import { stateWithPolicies } from "../src/calls/policy-clients.js";
import { StateReplica } from "../src/ledger/state-replica.js";
import { callsFor, TIMING } from "./world/calls.js";

const policies = callPolicies({ timing: TIMING, writeRps: 25 });
const refuse = (): Promise<never> => Promise.reject(new CallError("refused", "503"));

test("pauses grow, are randomised in their upper half, and never exceed the maximum", () => {
  fc.assert(
    fc.property(
      fc.constantFrom(...Object.values(policies)),
      fc.integer({ min: 1, max: 2000 }),
      fc.double({ min: 0, max: 0.999, noNaN: true }),
      (policy, failures, random) => {
        const pause = backoffMs(policy, failures, random);
        const maxPause = Math.min(policy.maxMs, policy.initialMs * 2 ** Math.min(1000, failures - 1));
        assert.ok(pause >= maxPause / 2 && pause <= maxPause, `${pause} of ${maxPause}`);
        assert.ok(backoffMs(policy, failures + 1, random) >= pause);
      },
    ),
    { seed: 1 },
  );
});

test("a retry budget allows no more retries than its initial size and the answers have added", () => {
  fc.assert(
    fc.property(fc.array(fc.boolean(), { maxLength: 500 }), (steps) => {
      const budget = new RetryBudget(10, 0.1);
      let answers = 0;
      let spent = 0;
      for (const answered of steps) {
        if (answered) {
          answers++;
          budget.answered();
        } else if (budget.spend()) spent++;
        assert.ok(spent <= 10 + answers * 0.1 + 1e-9);
        assert.ok(budget.remaining <= 10 && budget.remaining >= 0);
      }
    }),
    { seed: 1 },
  );
});

test("in a long outage calls pause for the maximum time, and the first answer ends all pauses for that target", async () => {
  const clock = new VirtualClock();
  const calls = callsFor(clock);
  let down = true;
  const asked: { operation: string; at: number }[] = [];
  for (const operation of ["state.read", "state.txn", "state.lease"] as const) {
    const caller = calls.of(operation);
    void (async () => {
      for (;;) {
        asked.push({ operation, at: clock.now() });
        const done = await caller.call(() => (down ? refuse() : Promise.resolve(true))).catch(() => false);
        if (done) return;
        await caller.backOff();
      }
    })();
  }
  await clock.run(60_000);
  const late = asked.filter(({ operation, at }) => operation === "state.txn" && at > 30_000).map(({ at }) => at);
  const gaps = late.slice(1).map((at, i) => at - late[i]!);
  const { initialMs, maxMs } = policies["state.txn"];
  assert.ok(Math.min(...gaps) >= maxMs / 2, `${Math.min(...gaps)}`);
  const from = clock.now();
  down = false;
  await clock.run(from + 10_000);
  const after = (operation: string): number => asked.filter((one) => one.operation === operation).at(-1)!.at - from;
  assert.ok(after("state.read") <= policies["state.read"].maxMs);
  // Lease renewals back off for up to 2.2 s; the first read that the state service answers ends this backoff early.
  assert.ok(after("state.lease") <= policies["state.read"].maxMs + policies["state.lease"].initialMs, `${after("state.lease")}`);
  assert.ok(after("state.txn") <= policies["state.read"].maxMs + initialMs);
  assert.ok(calls.of("state.lease").stats.woken > 0);
});

test("an operation that fails alone is not retried sooner because other calls are answered", async () => {
  const clock = new VirtualClock();
  const calls = callsFor(clock);
  const txn = calls.of("state.txn");
  let tries = 0;
  void (async () => {
    for (;;) {
      tries++;
      await txn.call(refuse).catch(() => undefined);
      await txn.backOff();
    }
  })();
  void (async () => {
    for (;;) {
      await calls.of("state.read").call(() => Promise.resolve(1));
      await new Promise<void>((resolve) => clock.after(10, resolve));
    }
  })();
  await clock.run(20_000);
  // Successive tries are at least half of the initial backoff apart.
  assert.ok(tries <= 20_000 / (policies["state.txn"].initialMs / 2), `${tries}`);
});

test("RateLimitError and RequestTooLargeError count as answers: they end no pauses and are no sign of an outage", async () => {
  const clock = new VirtualClock();
  const calls = callsFor(clock);
  const txn = calls.of("state.txn");
  for (const error of [new RateLimitError(), new RequestTooLargeError("400")]) {
    await assert.rejects(
      txn.call(() => Promise.reject(error)),
      (seen) => seen === error,
    );
  }
  let rested = -1;
  void calls
    .of("state.lease")
    .backOff(30)
    .then(() => (rested = clock.now()));
  void calls.of("state.read").call(() => Promise.resolve(1));
  await clock.run(20_000);
  assert.ok(rested >= policies["state.lease"].maxMs / 2);
  assert.equal(txn.stats.refused, 1);
});

test("whether an unanswered call may have had an effect depends on its operation", () => {
  const calls = callsFor(new VirtualClock());
  const silent = new CallError("unanswered", "timeout");
  const acted = (["state.read", "state.txn", "cloud.hire", "worker.order", "worker.probe"] as const).filter((one) =>
    calls.of(one).mayHaveActed(silent),
  );
  assert.deepEqual(acted, ["state.txn", "cloud.hire", "worker.order"]);
  assert.equal(calls.of("state.txn").mayHaveActed(new CallError("refused", "503")), false);
});

test("a call gets the time left until its deadline, and past the deadline nothing is sent", async () => {
  const clock = new VirtualClock();
  const read = callsFor(clock).of("state.read");
  const given: number[] = [];
  const act = (limitMs: number): Promise<void> => Promise.resolve(void given.push(limitMs));
  await read.call(act);
  await read.call(act, clock.now() + 300);
  await assert.rejects(read.call(act, clock.now()), (error: unknown) => error instanceof CallError && error.kind === "refused");
  assert.deepEqual(given, [policies["state.read"].limitMs, 300]);
  assert.equal(read.stats.expired, 1);
});

test("requests whose deadline has passed do not delay those behind them", async () => {
  const clock = new VirtualClock();
  const service = new VirtualState(clock, () => 5, { rps: 100, writeRps: 25, valueKb: 32, txnOps: 16 });
  const client = service.client("n", (fn) => fn());
  const calls = callsFor(clock);
  const callClient = stateWithPolicies(client, calls, clock);
  const replica = new StateReplica(
    callClient,
    clock,
    new TokenBucket(clock, 1000),
    { readGapMs: 0, blockMs: 1000 },
    calls.of("state.read"),
  );
  void replica.refresh();
  await clock.run(100);
  // The answer to a read is lost: without a deadline the read would last until the time limit for calls of this kind.
  service.links.add({ from: "n", to: "state", what: "follow", effect: { kind: "drop" }, count: 1 });
  const failed = assert.rejects(replica.refresh(clock.now() + 400));
  await clock.run(150);
  let seen = -1;
  void replica.refresh(clock.now() + 1500).then(() => (seen = clock.now()));
  await clock.run(3000);
  await failed;
  assert.ok(seen > 0 && seen < 600, `${seen}`);
  // A refresh queued behind a slow read: its deadline has passed before it starts, so no request is sent.
  const asked = calls.of("state.read").stats.asked;
  service.links.add({ from: "n", to: "state", what: "follow", effect: { kind: "drop" }, count: 1 });
  const slow = assert.rejects(replica.refresh(clock.now() + 1000));
  await clock.run(clock.now() + 10);
  const expired = assert.rejects(replica.refresh(clock.now() + 200));
  await clock.run(clock.now() + 3000);
  await Promise.all([slow, expired]);
  assert.equal(calls.of("state.read").stats.asked, asked + 1);
});
