import { callsFor } from "./calls.js";
import { StateReplica } from "../../src/ledger/state-replica.js";
import { TokenBucket } from "@thorntrail/protocol/token-bucket";
import { VirtualState } from "@thorntrail/emulator/virtual/service-links";
import { VirtualClock } from "@thorntrail/emulator/virtual/clock";

/** Creates a replica of the state service's records that never reads from the service; tests put records into it. */
export function unsyncedReplica(): StateReplica {
  const clock = new VirtualClock();
  const state = new VirtualState(clock, () => 2, { rps: 100, writeRps: 25, valueKb: 32, txnOps: 16 });
  const client = state.client("n", (fn) => fn());
  return new StateReplica(client, clock, new TokenBucket(clock, 100), { readGapMs: 10, blockMs: 500 }, callsFor(clock).of("state.read"));
}
