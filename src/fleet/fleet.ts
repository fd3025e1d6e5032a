import { CallError } from "@thorntrail/protocol/errors";
import { waitForRate, type FleetDependencies, type FleetStats } from "./dependencies.js";
import { OfferingAvailability } from "./offering-availability.js";
import { Reconciler } from "./reconciling.js";
import { Renter } from "./renting.js";
import { Returner } from "./returning.js";

/** Rents, returns and reconciles machines, and keeps the list of machine types up to date. */
export class Fleet {
  readonly stats: FleetStats = { rented: 0, returned: 0, refused: 0, unregistered: 0 };
  private readonly deps: FleetDependencies;
  private readonly availability: OfferingAvailability;
  private readonly renter: Renter;
  private readonly returner: Returner;
  private readonly reconciler: Reconciler;

  constructor(deps: Omit<FleetDependencies, "stats">) {
    this.deps = { ...deps, stats: this.stats };
    this.availability = new OfferingAvailability(this.deps);
    this.renter = new Renter(this.deps, this.availability);
    this.returner = new Returner(this.deps, this.availability, this.renter, (partition, machine) =>
      this.reconciler.isMissing(partition, machine),
    );
    this.reconciler = new Reconciler(this.deps, this.returner);
  }

  start(): void {
    const { scope, leader, settings } = this.deps;
    const { reportMs, leaseMs } = settings.timing;
    this.availability.start();
    scope.routine(
      "types",
      () => (leader.types.length === 0 ? reportMs / 5 : leaseMs * 3),
      () => this.refreshTypes(),
    );
    this.renter.start();
    this.returner.start();
    this.reconciler.start();
  }

  /** Called by the controller after its process stalled for `ms`, so that unregistered machines are not deleted too early. */
  onStall(ms: number): void {
    this.reconciler.onStall(ms);
  }

  private async refreshTypes(): Promise<void> {
    try {
      await waitForRate(this.deps);
      this.deps.leader.setTypes(await this.deps.cloud.types());
    } catch (error) {
      if (!(error instanceof CallError)) throw error;
    }
  }
}
