import assert from "node:assert/strict";
import { test } from "node:test";
import { decodeJob } from "@thorntrail/protocol/jobs";

const valid = {
  ref: "run-000412",
  lane: "train",
  desk: "vision",
  shape: "gang",
  urgency: "urgent",
  pieces: 16,
  cpus: 8,
  accelerators: 1,
  ramGb: 64,
  bundle: "img-07",
  imageGb: 6.2,
  builds: ["g8"],
  yard: null,
  samePlace: true,
  spread: false,
  loaner: true,
  guessS: 240,
  snapshotS: 30,
  flushS: 4,
  closeS: 900,
};

test("a valid submission is accepted; null and an omitted field are equivalent", () => {
  assert.ok("spec" in decodeJob(valid));
  const { yard: _yard, closeS: _closeS, builds: _builds, ...rest } = valid;
  assert.ok("spec" in decodeJob({ ...rest, novel: { any: 1 } }));
});

test("a missing or invalid field is rejected with an error that names it", () => {
  const optional = new Set(["yard", "closeS", "builds"]);
  for (const field of Object.keys(valid)) {
    if (!optional.has(field)) {
      const { [field as "ref"]: _gone, ...rest } = valid;
      const answer = decodeJob(rest);
      assert.ok("fault" in answer && answer.fault.startsWith(field), field);
    }
    for (const value of [
      {},
      [1],
      true === (valid as Record<string, unknown>)[field] ? "yes" : Symbol.iterator.toString() + "\u0000".repeat(300),
    ]) {
      if (field === "ref" || field !== "bundle")
        assert.ok("fault" in decodeJob({ ...valid, [field]: value }), `${field} = ${String(value)}`);
    }
  }
  for (const [field, value] of [
    ["pieces", 0],
    ["pieces", 100_001],
    ["pieces", 1.5],
    ["cpus", -1],
    ["cpus", Infinity],
    ["guessS", Number.NaN],
    ["ref", "run-1"],
    ["ref", "job-000412"],
    ["shape", "array"],
    ["urgency", "high"],
  ] as const) {
    assert.ok("fault" in decodeJob({ ...valid, [field]: value }), `${field} = ${value}`);
  }
  for (const raw of [null, [], "text", 7]) assert.ok("fault" in decodeJob(raw));
});
