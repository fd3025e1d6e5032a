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
 * Measures the load on a service during and after an outage: controllers with several retry loops
 * each call a service that is down for a minute and then limits its rate. The baseline has a
 * fixed pause for each operation instead of the shared backoff; it uses the same seeds in the same run.
 */
const CONTROLLERS = 5;
const RETRY_LOOPS: [Operation, number, number][] = [
  // Operation, retry loops for it in each controller, fixed pause of the baseline in ms.
  ["state.read", 1, 140],
  ["state.txn", 4, 200],
  ["state.lease", 1, 2250],
  ["cloud.hire", 3, 500],
  ["cloud.delete", 3, 2500],
];
const OUTAGE_MS = 60_000;
const SERVICE_RPS = 20;
const options = parseOptions({ repeats: 200, quickRepeats: 20 });

/** Result of one simulated outage. */
interface OutageResult {
  callsInOutage: number;
  /** Calls in the busiest 100 ms after the outage. */
  peakCalls: number;
  /** For each retry loop, the time from the end of the outage until its call succeeds. */
  recoveryMs: number[];
}

/** Simulates one outage in virtual time, with the shared backoff policy or with fixed pauses. */
async function simulateOutage(seed: number, kind: "policy" | "fixed"): Promise<OutageResult> {
  const clock = new VirtualClock();
  const random = seededRandom(seed);
  const rateLimit = new TokenBucket(clock, SERVICE_RPS);
  const downAt = 2000 + random() * 1000;
  const upAt = downAt + OUTAGE_MS;
  const arrivals: number[] = [];
  const result: OutageResult = { callsInOutage: 0, peakCalls: 0, recoveryMs: [] };
  const serve = (): Promise<void> => {
    const now = clock.now();
    if (now < upAt) result.callsInOutage++;
    else arrivals.push(now);
    if (now < upAt) return Promise.reject(new CallError("refused", "503"));
    return rateLimit.take() ? Promise.resolve() : Promise.reject(new RateLimitError());
  };
  for (let c = 0; c < CONTROLLERS; c++) {
    const calls = new Calls(clock, callPolicies({ timing: TIMING, writeRps: 25 }), seededRandom(seed * 100 + c));
    for (const [operation, loops, fixedPauseMs] of RETRY_LOOPS)
      for (let d = 0; d < loops; d++) {
        const caller = calls.of(operation);
        const waitBeforeRetry = (): Promise<void> =>
          kind === "policy" ? caller.backOff() : new Promise((resolve) => clock.after(fixedPauseMs, resolve));
        const callUntilSuccess = async (): Promise<void> => {
          for (;;) {
            if (
              await caller.call(serve).then(
                () => true,
                () => false,
              )
            )
              break;
            await waitBeforeRetry();
          }
          result.recoveryMs.push(clock.now() - upAt);
        };
        clock.after(downAt + random() * 500, () => void callUntilSuccess());
      }
  }
  await clock.run(upAt + 30_000);
  for (const at of arrivals)
    result.peakCalls = Math.max(result.peakCalls, arrivals.filter((other) => other >= at && other < at + 100).length);
  return result;
}

const figures: Record<string, number> = {};
const callsInOutage: Record<string, number[]> = { policy: [], fixed: [] };
const peakCalls: Record<string, number[]> = { policy: [], fixed: [] };
for (const kind of ["fixed", "policy"] as const) {
  const recoveryTimes = new LatencyHistogram();
  for (let i = 0; i < options.repeats; i++) {
    const { callsInOutage: calls, peakCalls: peak, recoveryMs } = await simulateOutage(options.seed + i, kind);
    callsInOutage[kind]!.push(calls);
    peakCalls[kind]!.push(peak);
    for (const ms of recoveryMs) recoveryTimes.add(ms);
  }
  const loopCount = CONTROLLERS * RETRY_LOOPS.reduce((n, [, count]) => n + count, 0) * options.repeats;
  if (recoveryTimes.count !== loopCount)
    throw new Error(`${kind}: ${loopCount - recoveryTimes.count} of ${loopCount} retry loops did not succeed within 30 s after the outage`);
  progress(`${kind}: ${median(callsInOutage[kind]!)} calls during the outage, ${median(peakCalls[kind]!)} in the busiest 100 ms after it`);
  Object.assign(figures, {
    [`${kind}_calls_in_outage`]: median(callsInOutage[kind]!),
    [`${kind}_peak_calls_100ms`]: median(peakCalls[kind]!),
    [`${kind}_back_p50_ms`]: recoveryTimes.percentileMs(50),
    [`${kind}_back_p99_ms`]: recoveryTimes.percentileMs(99),
    [`${kind}_back_worst_ms`]: recoveryTimes.maxMs,
  });
}
report("calls", options, {
  outage_s: OUTAGE_MS / 1000,
  ...figures,
  ratio_calls_to_fixed: figures["policy_calls_in_outage"]! / figures["fixed_calls_in_outage"]!,
  ratio_peak_to_fixed: figures["policy_peak_calls_100ms"]! / figures["fixed_peak_calls_100ms"]!,
  ratio_back_p99_to_fixed: figures["policy_back_p99_ms"]! / figures["fixed_back_p99_ms"]!,
});
