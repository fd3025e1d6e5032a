import type { Committer } from "../ledger/committer.js";
import type { Mirror } from "../ledger/mirror.js";
import type { QuotaShares } from "../parts/quota-shares.js";
import type { Leader } from "../parts/leader.js";
import type { Ownership } from "../parts/ownership.js";
import { usageOf, type Part, type Usage } from "../parts/part.js";
import type { Overload } from "../overload/overload.js";
import type { PeerApi } from "../peers/links.js";
import type { Needs } from "../pipelines/needs.js";
import type { Scope } from "../platform/scope.js";
import type { EstimateContext } from "../queue/estimate.js";
import { PREEMPT_AFTER_PHI } from "../queue/preempt.js";
import type { Settings } from "../settings/derived.js";

/** Whom the duties of the exchange work with. */
export interface ExchangeAround {
  settings: Settings;
  life: string;
  leader: Leader;
  ownership: Ownership;
  quotaShares: QuotaShares;
  mirror: Mirror;
  needs: Needs;
  committer: Committer;
  peers: PeerApi;
  overload: Overload;
  scope: Scope;
}

export function tuningOf({ settings }: ExchangeAround): Settings["operators"]["exchange"] {
  return settings.operators.exchange;
}

export function estimateContext({ scope, settings, leader }: ExchangeAround): EstimateContext {
  return {
    now: scope.clock.now(),
    silentMs: settings.timing.silentMs,
    order: leader.order(),
    history: leader.history,
    guaranteed: (unit) => leader.guarantees.within(unit.spec.ref),
    excess: leader.guarantees.excess(leader.use()),
    preemptAfterMs: settings.operators.exchange.phi * PREEMPT_AFTER_PHI * 1000,
    bootMs: (machine) => leader.bootMs(machine),
  };
}

/** The live node that leads the part; null: nobody, as far as is known. */
export function ownerOf({ ownership }: ExchangeAround, part: number): string | null {
  const owner = ownership.owner(part)?.owner;
  return owner !== undefined && ownership.trusts(owner) ? owner : null;
}

/** Of the team's allotment in the part, what nothing uses. */
export function spareOf({ quotaShares }: ExchangeAround, part: Part, team: string): Usage {
  const held = quotaShares.held(part.id, team);
  const used = usageOf(part, team);
  return { cpus: held.cpus - used.cpus, gpus: held.gpus - used.gpus };
}
