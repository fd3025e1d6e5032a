import assert from "node:assert/strict";
import { test } from "node:test";
import { FAST_TIMING, loadPlan, playReal, timingIndependent } from "@thorntrail/emulator/entry";
import { decodeFault } from "@thorntrail/emulator/faults";
import type { TimedFault } from "@thorntrail/emulator/plan";
import { injectionPointOf } from "../src/rehearsal/injection-points.js";

const SECONDS = 24;
const SETTLE_SECONDS = 6;

function timedFault(at: number, fields: Record<string, unknown>): TimedFault {
  const decoded = decodeFault(fields);
  if ("wrong" in decoded) throw new Error(decoded.wrong);
  return { at, fault: decoded.fault };
}

test("real processes: copies of answered commands start no attempt again that has failed, was cancelled or is done", async () => {
  const base = await loadPlan("deploy/soak.hcl");
  const fault = [
    timedFault(4, { kind: "copies", of: "commands", share: 1, least_ms: 300, ms: 6000, for: SECONDS - 4 }),
    ...[9, 12, 15].map((at) => timedFault(at, { kind: "sick" })),
    timedFault(13, { kind: "cancel-now", count: 3 }),
  ];
  const report = await playReal({
    program: [process.execPath, "target/main.js"],
    plan: { ...base, seconds: SECONDS, settle: SETTLE_SECONDS, fault },
    timing: FAST_TIMING,
    seed: 1,
    injectionPointOf,
    settleMs: SETTLE_SECONDS * 1000,
  });
  assert.deepEqual(timingIndependent(report.broken), []);
  assert.deepEqual(
    report.trouble.filter((line) => line.includes("invariant violated")),
    [],
  );
  const { delivered, accepted } = report.copies["command"] ?? { delivered: 0, accepted: 0 };
  assert.ok(delivered >= 20 && accepted > 0, `${delivered} copies, ${accepted} accepted by workers`);
});
