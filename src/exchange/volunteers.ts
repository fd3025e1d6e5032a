import type { Volunteer } from "../peers/messages.js";
import { utilization } from "../queue/estimate.js";
import { tuningOf, type ExchangeAround } from "./around.js";

/** Parts with room say so, every sigma. */
export class Volunteers {
  private readonly heard = new Map<number, { utilization: number; at: number }>();

  constructor(private readonly around: ExchangeAround) {}

  start(): void {
    this.around.scope.routine(
      "announce",
      () => tuningOf(this.around).sigma * 1000,
      () => this.announce(),
    );
  }

  private announce(): void {
    // Room on machines is of no use to others if this process can't keep up with what it has.
    if (this.around.overload.sheds("volunteering")) return;
    for (const part of this.around.leader.parts.values()) {
      if (part.phase !== "serving") continue;
      const used = utilization(part);
      if (used >= tuningOf(this.around).delta || part.machines.size === 0) continue;
      const message = { Volunteer: { part: part.id, utilization: used } };
      for (const node of this.around.settings.nodes) this.around.peers.send(node, message);
    }
  }

  hear(message: Volunteer): void {
    this.heard.set(message.part, { utilization: message.utilization, at: this.around.scope.clock.now() });
  }

  /** An announcement counts until half an interval after the next was due. */
  has(part: number): boolean {
    const at = this.heard.get(part)?.at ?? -Infinity;
    return this.around.scope.clock.now() - at < tuningOf(this.around).sigma * 1500;
  }
}
