import type { Offer } from "@thorntrail/protocol/cloud";
import type { FleetAround } from "./around.js";
import { offerName } from "./plan.js";

/** Reports for which an offer counts as sought: then whoever seeks it has asked again. */
const SOUGHT_REPORTS = 3;

interface Refusal {
  until: number;
  pauseMs: number;
}

/** What the cloud has refused of late, here and to other parts. */
export class Offers {
  private readonly refused = new Map<string, Refusal>();
  /** Offers that other parts were refused, until when they count as sought. */
  private readonly soughtUntil = new Map<string, number>();

  constructor(private readonly around: FleetAround) {}

  start(): void {
    const { peers, scope, settings } = this.around;
    scope.listen(peers.incoming$, ({ message }) => {
      if ("Sought" in message)
        this.soughtUntil.set(offerName(message.Sought), scope.clock.now() + settings.timing.reportMs * SOUGHT_REPORTS);
    });
  }

  open(offer: Offer): boolean {
    const refusal = this.refused.get(offerName(offer));
    return refusal === undefined || refusal.until <= this.around.scope.clock.now();
  }

  granted(offer: Offer): void {
    this.refused.delete(offerName(offer));
  }

  /** Work waits in another part for a machine like this one, and there are no more to rent. */
  sought(offer: Offer): boolean {
    return this.around.scope.clock.now() < (this.soughtUntil.get(offerName(offer)) ?? -Infinity);
  }

  /** Pauses grow while it goes on being refused. */
  refuse(offer: Offer): void {
    this.around.stats.refused++;
    const name = offerName(offer);
    const { reportMs, leaseMs } = this.around.settings.timing;
    const pauseMs = Math.min(leaseMs / 2, (this.refused.get(name)?.pauseMs ?? reportMs / 2) * 2);
    this.refused.set(name, { until: this.around.scope.clock.now() + pauseMs, pauseMs });
    // The cloud has no more: another part may hold some that lie idle.
    const { type, zone, spot } = offer;
    for (const node of this.around.settings.nodes)
      if (node !== this.around.settings.self) this.around.peers.send(node, { Sought: { type, zone, spot } });
  }
}
