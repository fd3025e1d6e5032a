import type { CloudApi } from "@thorntrail/protocol/cloud";
import type { Rate } from "@thorntrail/protocol/rate";
import type { Calls } from "../calls/calls.js";
import type { Committer } from "../ledger/committer.js";
import type { Mirror } from "../ledger/mirror.js";
import type { Rentals } from "../ledger/rentals.js";
import type { QuotaShares } from "../parts/quota-shares.js";
import type { Leader } from "../parts/leader.js";
import type { Part } from "../parts/part.js";
import type { Overload } from "../overload/overload.js";
import type { PeerApi } from "../peers/links.js";
import { sleep } from "../platform/clock.js";
import type { Scope } from "../platform/scope.js";
import type { Settings } from "../settings/derived.js";

/** Whom the duties around machines work with. */
export interface FleetAround {
  settings: Settings;
  cloud: CloudApi;
  leader: Leader;
  quotaShares: QuotaShares;
  mirror: Mirror;
  rentals: Rentals;
  committer: Committer;
  /** Calls to the cloud: this node's share of its rate. */
  rate: Rate;
  calls: Calls;
  peers: PeerApi;
  overload: Overload;
  scope: Scope;
  stats: FleetStats;
}

export interface FleetStats {
  hired: number;
  returned: number;
  refused: number;
  strays: number;
}

/** The cloud takes no more names than this in one request. */
export const MAX_DELETE = 100;

/** Checked at the moment of each act, not before a wait for it. */
export function leads({ leader }: FleetAround, part: Part): boolean {
  return leader.sure() && leader.parts.get(part.id) === part;
}

/** Waits for this node's turn to call the cloud. */
export async function paid({ rate, scope }: FleetAround): Promise<void> {
  while (!rate.take()) await sleep(scope.clock, rate.waitMs());
}
