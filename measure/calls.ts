import { VirtualClock } from "../packages/emulator/src/virtual/clock.js";
import { CallError } from "../packages/protocol/src/errors.js";
import { TokenBucket } from "@thorntrail/protocol/token-bucket";
import { RateLimitError } from "../packages/protocol/src/state.js";
import { Calls } from "../src/calls/calls.js";
import { callPolicies, type Operation } from "../src/calls/policy.js";
import { seededRandom } from "../src/platform/seeded-random.js";
import { TIMING } from "../test/world/calls.js";
import { median, parseOptions, progress, report, LatencyHistogram } from "./harness.js";

/**
 * Controllers with several duties each ask a service that is down for a minute and then
 * takes so many calls a second. Baseline, in the same run on the same seeds: the fixed
 * pauses that each client had before there was one policy.
 */
const CONTROLLERS = 5;
const DUTIES: [Operation, number, number][] = [
  // Operation, duties of that kind in a controller, and the fixed pause in ms before.
  ["state.read", 1, 140],
  ["state.txn", 4, 200],
  ["state.lease", 1, 2250],
  ["cloud.hire", 3, 500],
  ["cloud.delete", 3, 2500],
];
const OUTAGE_MS = 60_000;
const SERVICE_RPS = 20;
const given = parseOptions({ repeats: 200, quickRepeats: 20 });

interface Outcome {
  asked: number;
  peak: number;
  backMs: number[];
}

async function play(seed: number, kind: "policy" | "fixed"): Promise<Outcome> {
  const clock = new VirtualClock();
  const luck = seededRandom(seed);
  const served = new TokenBucket(clock, SERVICE_RPS);
  const downAt = 2000 + luck() * 1000;
  const upAt = downAt + OUTAGE_MS;
  const arrivals: number[] = [];
  const outcome: Outcome = { asked: 0, peak: 0, backMs: [] };
  const serve = (): Promise<void> => {
    const now = clock.now();
    if (now < upAt) outcome.asked++;
    else arrivals.push(now);
    if (now < upAt) return Promise.reject(new CallError("refused", "503"));
    return served.take() ? Promise.resolve() : Promise.reject(new RateLimitError());
  };
  for (let c = 0; c < CONTROLLERS; c++) {
    const calls = new Calls(clock, callPolicies({ timing: TIMING, writeRps: 25 }), seededRandom(seed * 100 + c));
    for (const [operation, duties, fixedMs] of DUTIES)
      for (let d = 0; d < duties; d++) {
        const caller = calls.of(operation);
        const rest = (): Promise<void> => (kind === "policy" ? caller.backOff() : new Promise((resolve) => clock.after(fixedMs, resolve)));
        const duty = async (): Promise<void> => {
          for (;;) {
            if (
              await caller.call(serve).then(
                () => true,
                () => false,
              )
            )
              break;
            await rest();
          }
          outcome.backMs.push(clock.now() - upAt);
        };
        clock.after(downAt + luck() * 500, () => void duty());
      }
  }
  await clock.run(upAt + 30_000);
  for (const at of arrivals) outcome.peak = Math.max(outcome.peak, arrivals.filter((other) => other >= at && other < at + 100).length);
  return outcome;
}

const figures: Record<string, number> = {};
const asked: Record<string, number[]> = { policy: [], fixed: [] };
const peaks: Record<string, number[]> = { policy: [], fixed: [] };
for (const kind of ["fixed", "policy"] as const) {
  const back = new LatencyHistogram();
  for (let i = 0; i < given.repeats; i++) {
    const { asked: n, peak, backMs } = await play(given.seed + i, kind);
    asked[kind]!.push(n);
    peaks[kind]!.push(peak);
    for (const ms of backMs) back.add(ms);
  }
  const duties = CONTROLLERS * DUTIES.reduce((n, [, count]) => n + count, 0) * given.repeats;
  if (back.count !== duties) throw new Error(`${kind}: ${duties - back.count} of ${duties} duties never came back`);
  progress(`${kind}: ${median(asked[kind]!)} calls in the outage, ${median(peaks[kind]!)} in the busiest 100 ms after it`);
  Object.assign(figures, {
    [`${kind}_calls_in_outage`]: median(asked[kind]!),
    [`${kind}_peak_calls_100ms`]: median(peaks[kind]!),
    [`${kind}_back_p50_ms`]: back.percentileMs(50),
    [`${kind}_back_p99_ms`]: back.percentileMs(99),
    [`${kind}_back_worst_ms`]: back.maxMs,
  });
}
report("calls", given, {
  outage_s: OUTAGE_MS / 1000,
  ...figures,
  ratio_calls_to_fixed: figures["policy_calls_in_outage"]! / figures["fixed_calls_in_outage"]!,
  ratio_peak_to_fixed: figures["policy_peak_calls_100ms"]! / figures["fixed_peak_calls_100ms"]!,
  ratio_back_p99_to_fixed: figures["policy_back_p99_ms"]! / figures["fixed_back_p99_ms"]!,
});
