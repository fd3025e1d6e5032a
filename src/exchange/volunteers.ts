/** Announcements of partitions with free capacity. */
import type { Volunteer } from "../peers/messages.js";
import { utilization } from "../queue/estimate.js";
import { exchangeSettings, type ExchangeDependencies } from "./dependencies.js";

/** Announces partitions with free capacity every `sigma` seconds, and records the announcements of others. */
export class Volunteers {
  private readonly announcements = new Map<number, { utilization: number; receivedAt: number }>();

  constructor(private readonly dependencies: ExchangeDependencies) {}

  /** Starts the periodic announcements. */
  start(): void {
    this.dependencies.scope.routine(
      "announce",
      () => exchangeSettings(this.dependencies).sigma * 1000,
      () => this.announce(),
    );
  }

  private announce(): void {
    // Free machines are of no use to other partitions while this process is overloaded.
    if (this.dependencies.overload.sheds("volunteering")) return;
    for (const partition of this.dependencies.leader.partitions.values()) {
      if (partition.phase !== "serving") continue;
      const used = utilization(partition);
      if (used >= exchangeSettings(this.dependencies).delta || partition.machines.size === 0) continue;
      const message = { Volunteer: { part: partition.id, utilization: used } };
      for (const node of this.dependencies.settings.nodes) this.dependencies.peers.send(node, message);
    }
  }

  /** Records another controller's announcement that a partition has free capacity. */
  onVolunteer(message: Volunteer): void {
    this.announcements.set(message.part, { utilization: message.utilization, receivedAt: this.dependencies.scope.clock.now() });
  }

  /**
   * Returns whether the partition has recently announced free capacity: an announcement is valid until half an
   * interval after the next one was due.
   */
  isVolunteer(partition: number): boolean {
    const receivedAt = this.announcements.get(partition)?.receivedAt ?? -Infinity;
    return this.dependencies.scope.clock.now() - receivedAt < exchangeSettings(this.dependencies).sigma * 1500;
  }
}
