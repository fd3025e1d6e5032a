import { NoReply } from "@thorntrail/protocol/errors";
import { MAX_DELETE, paid, type FleetAround } from "./around.js";
import type { Returning } from "./returning.js";

const LIST_PAGE = 500;

/** Looks for machines that stopped by themselves and for ones nobody expected. */
export class Reconciling {
  private readonly strangers = new Map<string, number>();

  constructor(
    private readonly around: FleetAround,
    private readonly returning: Returning,
  ) {}

  start(): void {
    const { scope, settings } = this.around;
    const lag = settings.platform.deployment.cloud.list_lag_s * 1000;
    scope.routine(
      "reconcile",
      () => Math.max(lag, settings.timing.reportMs) * 2,
      () => this.reconcile(),
    );
  }

  /** This process stood still: nobody could record meanwhile, for all it knows. */
  stoodStill(ms: number): void {
    for (const [host, since] of this.strangers) this.strangers.set(host, since + ms);
  }

  private async reconcile(): Promise<void> {
    if (!this.around.mirror.loaded || !this.around.leader.sure() || this.around.leader.parts.size === 0) return;
    const lag = Math.max(1, this.around.settings.platform.deployment.cloud.list_lag_s) * 1000;
    const now = this.around.scope.clock.now();
    let from: string | undefined;
    const unknown = new Set<string>();
    const strays: string[] = [];
    try {
      for (;;) {
        await paid(this.around);
        const page = await this.around.cloud.list(from, LIST_PAGE);
        for (const item of page.machines) {
          const record = this.around.rentals.get(item.host);
          const part = record === undefined ? undefined : this.around.leader.parts.get(record.part);
          if (record === undefined) {
            unknown.add(item.host);
            const since = this.strangers.get(item.host) ?? now;
            this.strangers.set(item.host, since);
            // Not gone from a lagging list, not about to be recorded: nobody's.
            if (now - since > Math.max(lag * 4, this.around.settings.timing.leaseMs)) strays.push(item.host);
          } else if (part !== undefined && item.state === "failed") {
            const machine = part.machines.get(item.host);
            if (machine !== undefined && !machine.deleting) {
              machine.deleting = true;
              this.around.scope.log.info({ part: part.id, host: item.host }, "machine failed by itself");
              void this.returning.remove(part, [machine]);
            }
          }
        }
        if (!page.more || page.machines.length === 0) break;
        from = page.machines[page.machines.length - 1]!.host;
      }
      for (const host of this.strangers.keys()) if (!unknown.has(host)) this.strangers.delete(host);
      if (strays.length > 0 && this.around.leader.parts.has(Math.min(...this.around.leader.parts.keys()))) {
        await this.around.mirror.fresh();
        const nobodys = strays.filter((host) => this.around.rentals.get(host) === undefined).slice(0, MAX_DELETE);
        await paid(this.around);
        if (!this.around.leader.sure()) return;
        await this.around.cloud.remove(nobodys);
        this.around.stats.strays += nobodys.length;
        this.around.scope.log.info({ hosts: nobodys }, "unexpected machines returned");
      }
    } catch (error) {
      if (!(error instanceof NoReply)) throw error;
    }
  }
}
