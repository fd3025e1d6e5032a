import assert from "node:assert/strict";
import { test } from "node:test";
import { decodeFault } from "@thorntrail/emulator/faults";
import { MessageCopies } from "@thorntrail/emulator/message-copies";
import { NetworkRules } from "@thorntrail/emulator/network-rules";
import { VirtualClock } from "@thorntrail/emulator/virtual/clock";
import { playScenario } from "./world/scenario.js";

test("a fault of copies with an invalid share, channel or time is refused, with the field and what was expected", () => {
  for (const [fields, expected] of [
    [{ of: "commands", share: 1.5 }, /^share: /],
    [{ of: "commands", share: -0.1 }, /^share: /],
    [{ of: "letters" }, /^of: .*commands.*transactions/],
    [{}, /^of: /],
    [{ of: "commands", ms: "soon" }, /^ms: /],
    [{ of: "commands", ms: 0 }, /^ms: /],
    [{ of: "commands", for: -1 }, /^for: /],
    [{ of: "commands", least_ms: 900, ms: 800 }, /^least_ms: expected at most ms/],
  ] as const) {
    const decoded = decodeFault({ kind: "copies", ...fields });
    assert.match("wrong" in decoded ? decoded.wrong : "accepted", expected, JSON.stringify(fields));
  }
});

test("a scenario whose fault of copies copied nothing fails", async () => {
  const line = "at 5 fault copies of=deletions share=1 for=10";
  const { failures } = await playScenario(`seed 1\ngiven team ops most-cpus 10\n${line}\nat 20 expect machines 0\n`);
  assert.deepEqual(failures, [`${line}: copied nothing`]);
});

test("copies are delivered within their time, or once their sender has ended or a controller has taken over", async () => {
  const clock = new VirtualClock();
  const links = new NetworkRules(() => 0.5);
  const copies = new MessageCopies(links, clock, () => 0.5);
  const delivered: string[] = [];
  const carryOut = (from: string, what: string): void =>
    copies.carriedOut({ from, to: "i-000001", what }, () => delivered.push(`${what} of ${from}`) > 0);
  const removeRule = links.add({
    from: "controllers",
    to: "workers",
    what: "command",
    effect: { kind: "copy", share: 1, leastMs: 1000, mostMs: 3000, kept: false },
  });
  carryOut("nest-0", "command");
  carryOut("nest-0", "report");
  await clock.run(1999);
  assert.deepEqual(delivered, []);
  await clock.run(2001);
  assert.deepEqual(delivered, ["command of nest-0"]);
  removeRule();
  links.add({ from: "*", to: "*", effect: { kind: "copy", share: 1, leastMs: 0, mostMs: 1, kept: true } });
  for (const from of ["nest-0", "nest-1", "nest-2"]) carryOut(from, "command");
  copies.releaseFrom("nest-1");
  await clock.run(4000);
  assert.deepEqual(delivered.slice(1), ["command of nest-1"]);
  copies.releaseAll();
  await clock.run(6000);
  assert.deepEqual(delivered.slice(2), ["command of nest-0", "command of nest-2"]);
  assert.deepEqual(copies.counts, { command: { delivered: 4, accepted: 4 } });
});
