import type { MachineOffering } from "@thorntrail/protocol/cloud";
import type { FleetDependencies } from "./dependencies.js";
import { offeringKey } from "./plan.js";

/**
 * Number of report intervals for which a peer counts as seeking a machine offering, after its message that the cloud
 * refused the offering. A peer that still needs the offering sends another message within this time.
 */
const SOUGHT_REPORTS = 3;

interface Refusal {
  until: number;
  pauseMs: number;
}

/** Tracks which machine offerings the cloud recently refused, to this controller and to peers. */
export class OfferingAvailability {
  private readonly refused = new Map<string, Refusal>();
  /** Machine offerings that the cloud refused to peers, with the time until which peers count as still seeking them. */
  private readonly soughtUntil = new Map<string, number>();

  constructor(private readonly deps: FleetDependencies) {}

  start(): void {
    const { peers, scope, settings } = this.deps;
    scope.listen(peers.incoming$, ({ message }) => {
      if ("Sought" in message)
        this.soughtUntil.set(offeringKey(message.Sought), scope.clock.now() + settings.timing.reportMs * SOUGHT_REPORTS);
    });
  }

  /** Returns whether machines of the offering may be requested: no pause after a refusal is running. */
  isAvailable(offering: MachineOffering): boolean {
    const refusal = this.refused.get(offeringKey(offering));
    return refusal === undefined || refusal.until <= this.deps.scope.clock.now();
  }

  /** Whether the cloud refused the offering and has not granted it since, unless its pause ended longer than a lease ago. */
  wasRefused(offering: MachineOffering): boolean {
    const refusal = this.refused.get(offeringKey(offering));
    return refusal !== undefined && this.deps.scope.clock.now() < refusal.until + this.deps.settings.timing.leaseMs;
  }

  /** Ends the pause of an offering after a rental that was granted in full. */
  recordGrant(offering: MachineOffering): void {
    this.refused.delete(offeringKey(offering));
  }

  /** Whether work in another partition waits for a machine of this offering while the cloud has none to rent. */
  isSoughtByPeer(offering: MachineOffering): boolean {
    return this.deps.scope.clock.now() < (this.soughtUntil.get(offeringKey(offering)) ?? -Infinity);
  }

  /** Pauses rentals of an offering after a refusal. Each further refusal doubles the pause, up to half a lease. */
  recordRefusal(offering: MachineOffering): void {
    this.deps.stats.refused++;
    const name = offeringKey(offering);
    const { reportMs, leaseMs } = this.deps.settings.timing;
    const pauseMs = Math.min(leaseMs / 2, (this.refused.get(name)?.pauseMs ?? reportMs / 2) * 2);
    this.refused.set(name, { until: this.deps.scope.clock.now() + pauseMs, pauseMs });
    // The cloud has no more machines of this offering, but another partition may have idle ones.
    const { type, zone, spot } = offering;
    for (const node of this.deps.settings.nodes)
      if (node !== this.deps.settings.self) this.deps.peers.send(node, { Sought: { type, zone, spot } });
  }
}
