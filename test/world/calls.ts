/** Fixtures for unit tests: typical timing settings, and the layer that applies time limits and backoff to outgoing calls. */
import { Calls } from "../../src/calls/calls.js";
import { callPolicies } from "../../src/calls/policy.js";
import type { Clock } from "../../src/platform/clock.js";
import { seededRandom } from "../../src/platform/seeded-random.js";
import type { Timing } from "../../src/settings/derived.js";

/** Timing of a typical deployment: workers report every 2.5 s and hold leases of 18 s. Times in ms. */
export const TIMING: Timing = {
  leaseMs: 18_000,
  reportMs: 2500,
  silentAfterMs: 20_000,
  expiryMs: 18_500,
  presenceMs: 9000,
  contactMs: 2250,
  stateTimeoutMs: 2000,
  workerTimeoutMs: 2000,
  silentMs: 5000,
  stallMs: 1250,
  passGapMs: 20,
};

/** Creates the layer for outgoing calls, with time limits and backoff that suit `TIMING`; `seed` makes the random backoff repeatable. */
export function callsFor(clock: Clock, seed = 1): Calls {
  return new Calls(clock, callPolicies({ timing: TIMING, writeRps: 25 }), seededRandom(seed));
}
