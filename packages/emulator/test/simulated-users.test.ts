import assert from "node:assert/strict";
import { test } from "node:test";
import type { JobSpec } from "@thorntrail/protocol/jobs";
import { SimulatedUsers } from "../src/simulated-users.js";
import { injectFault, decodeFault, durationMs, type SimulatedUserControl, type Fault, type FaultEnvironment } from "../src/faults.js";
import { NetworkRules } from "../src/network-rules.js";
import { seededRandom } from "../src/random.js";
import { VirtualClock } from "../src/virtual/clock.js";

const spec = (ref: string, over: Partial<JobSpec> = {}): JobSpec => ({
  ref,
  klass: "c",
  team: "ops",
  kind: "array",
  urgency: "normal",
  tasks: 1,
  cpus: 1,
  gpus: 0,
  ram: 1,
  types: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: false,
  image: "img",
  imageGb: 1,
  guessS: 10,
  checkpointS: 0,
  flushS: 0,
  deadlineS: null,
  ...over,
});

function setUpUsers() {
  const clock = new VirtualClock();
  const asked: string[] = [];
  const nodes = ["nest-0", "nest-1", "nest-2"];
  const users = new SimulatedUsers(
    {
      controllers: () => nodes,
      submit: (_wire, { ref }, node, never) =>
        Promise.resolve(void asked.push(`submit ${ref} ${node}${never === undefined ? "" : `: ${never}`}`)),
      poll: (ref, node) => Promise.resolve(void asked.push(`poll ${ref} ${node}`)),
      cancel: (ref, node) => Promise.resolve(void asked.push(`cancel ${ref} ${node}`)),
      runMs: (ref) => Number(ref.slice(-3)) * 1000,
    },
    clock,
    seededRandom(3),
  );
  const begins = (ref: string, host: string, over: Partial<JobSpec> = {}): void => {
    users.observe({ at: clock.now(), kind: "submitted", spec: spec(ref, over) });
    users.observe({ at: clock.now(), kind: "told", ref, what: "queued" });
    users.observe({ at: clock.now(), kind: "on", piece: `${ref}/0`, host, type: "m", zone: "a", spot: false });
  };
  const ends = (ref: string, task = 0): void =>
    users.observe({ at: clock.now(), kind: "off", piece: `${ref}/${task}`, host: "x", cause: "done" });
  return { clock, asked, nodes, users, begins, ends, count: (what: string) => asked.filter((one) => one.startsWith(what)).length };
}

test("close-looks: every controller is polled within milliseconds of an acceptance and of an end, until the behaviour ends", async () => {
  const { clock, asked, nodes, users, begins, ends, count } = setUpUsers();
  users.enableBehaviour("close-looks", 1, 20_000);
  begins("run-000001", "x");
  await clock.run(100);
  for (const node of nodes) assert.ok(count(`poll run-000001 ${node}`) >= 3, node);
  assert.ok(count("submit run-000001") >= 1);
  const before = asked.length;
  ends("run-000001");
  users.observe({ at: clock.now(), kind: "told", ref: "run-000001", what: "done" });
  await clock.run(200);
  assert.ok(asked.length > before + 6);
  await clock.run(21_000);
  const after = asked.length;
  begins("run-000002", "x");
  await clock.run(22_000);
  assert.equal(asked.length, after);
});

test("cancel-at-end: jobs are cancelled when their last task ends, not before", async () => {
  const { clock, asked, users, begins, ends } = setUpUsers();
  users.enableBehaviour("cancel-at-end", 1, 10_000);
  begins("run-000001", "x", { tasks: 2 });
  ends("run-000001", 0);
  ends("run-000001", 0);
  assert.deepEqual(asked, []);
  ends("run-000001", 1);
  assert.equal(asked.length, 1);
  assert.match(asked[0]!, /^cancel run-000001 nest-/);
  assert.equal(users.effects.cancelledAtEnd, 1);
  await clock.run(11_000);
  begins("run-000002", "x");
  ends("run-000002");
  assert.equal(asked.length, 1);
});

test("cancel-now selects the jobs with the longest remaining run time and returns their machines, the busiest first", async () => {
  const { clock, asked, users, begins } = setUpUsers();
  begins("run-000010", "a");
  begins("run-000300", "b");
  begins("run-000200", "b");
  begins("run-000020", "c", { kind: "service" });
  users.observe({ at: 0, kind: "submitted", spec: spec("run-000999") });
  assert.deepEqual(users.cancelLongestRunning(3), { refs: ["run-000020", "run-000300", "run-000200"], hosts: ["b", "c"] });
  await clock.run(200);
  assert.deepEqual(asked.map((one) => one.split(" ")[1]).sort(), ["run-000020", "run-000200", "run-000300"]);
});

test("odd-requests: repeated submissions, cancellations of finished jobs, and invalid jobs", async () => {
  const { clock, asked, users, begins, ends, count } = setUpUsers();
  begins("run-000001", "x");
  begins("run-000002", "x");
  ends("run-000002");
  users.observe({ at: 1, kind: "told", ref: "run-000002", what: "done" });
  users.enableBehaviour("odd-requests", 1, 30_000);
  await clock.run(29_500);
  assert.equal(count("submit run-000001"), 30);
  assert.equal(count("cancel run-000002"), 30);
  const wrong = asked.filter((one) => one.includes(": "));
  assert.equal(wrong.length, 30);
  assert.ok(wrong.some((one) => one.includes("fits no machine")) && wrong.some((one) => one.includes("lacks ")));
  await clock.run(90_000);
  assert.equal(count("submit run-000001"), 30);
});

const fault = (raw: Record<string, unknown>): Fault => {
  const decoded = decodeFault(raw);
  if ("wrong" in decoded) throw new Error(decoded.wrong);
  return decoded.fault;
};

test("faults return what they affected, how long they last, and what is invalid in their definition", async () => {
  const clock = new VirtualClock();
  const links = new NetworkRules(seededRandom(1));
  const hanging = new Set<string>();
  const environment = {
    after: (ms: number, fn: () => void) => void clock.after(ms, fn),
    rule: links.add.bind(links),
    controllers: () => ["nest-0", "nest-1"],
    machines: () => ["i-1", "i-2", "i-3"],
    hang: (host: string, on: boolean) => void (on ? hanging.add(host) : hanging.delete(host)),
  } as unknown as FaultEnvironment;
  const hosts = Array.from({ length: 12 }, (_, i) => `i-${i}`);
  const users: SimulatedUserControl = {
    enableBehaviour: () => ["nest-0"],
    cancelLongestRunning: (count) => ({ refs: hosts.slice(0, count), hosts }),
  };
  const inject = (raw: Record<string, unknown>): string[] => injectFault(environment, fault(raw), users);

  assert.deepEqual(inject({ kind: "mute", count: 2, for: 5 }), ["i-1", "i-2"]);
  assert.equal(links.isLost({ from: "i-1", to: "nest-0", what: "report" }), true);
  assert.equal(links.isLost({ from: "i-1", to: "nest-0", what: "answer" }), false, "responses to direct commands arrive");
  assert.equal(links.isLost({ from: "nest-0", to: "i-1", what: "command" }), false);
  await clock.run(5001);
  assert.equal(links.isLost({ from: "i-1", to: "nest-0", what: "report" }), false);

  assert.deepEqual(inject({ kind: "late-writes", share: 0.5, for: 5 }), ["nest-0", "nest-1"]);
  const call = { from: "nest-0", to: "state", what: "txn" };
  const judged = Array.from({ length: 400 }, () => links.takeEffect(call));
  const late = judged.filter((effect) => effect?.kind === "late").map((effect) => (effect as { ms: number }).ms);
  assert.ok(late.length > 150 && late.length < 250, `${late.length} of 400`);
  assert.ok(Math.min(...late) >= 2000 && Math.max(...late) <= 12_000 && Math.max(...late) > 9000);
  assert.equal(links.takeEffect({ ...call, what: "follow" }), null);
  await clock.run(11_000);
  inject({ kind: "late-writes", share: 1, at_once: true, for: 5 });
  assert.deepEqual(links.takeEffect(call), { kind: "drop" });
  await clock.run(17_000);

  inject({ kind: "late-reports", share: 1, for_next: true, for: 5 });
  const report = { from: "i-1", to: "nest-0", what: "report" };
  assert.deepEqual([links.shouldStoreCopy(report), links.copyDelayMs(report, () => 0.5)], [true, null]);
  await clock.run(23_000);
  assert.equal(links.shouldStoreCopy(report), false);

  assert.equal(inject({ kind: "cancel-now", count: 3, hang: 4 }).length, 3);
  assert.equal(hanging.size, 8, "no more than eight machines hang");
  await clock.run(28_000);
  assert.equal(hanging.size, 0);

  assert.equal(durationMs(fault({ kind: "late-writes", for: 5 })), 17_000, "until the last delayed write has been executed");
  assert.equal(durationMs(fault({ kind: "cancel-now", hang: 4 })), 4000);
  for (const [raw, wrong] of [
    [{ kind: "late-writes", share: 2 }, /^share: /],
    [{ kind: "cancel-now", count: 0 }, /^count: /],
    [{ kind: "close-looks", share: 1 }, /share/],
    [{ kind: "machine-mute" }, /^kind: expected one of .*mute.*close-looks/],
  ] as [Record<string, unknown>, RegExp][]) {
    const decoded = decodeFault(raw);
    assert.match("wrong" in decoded ? decoded.wrong : "nothing wrong", wrong);
  }
});
