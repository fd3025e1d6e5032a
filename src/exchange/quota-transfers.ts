import type { Part } from "../parts/part.js";
import type { Want } from "../peers/messages.js";
import type { Shortage } from "../queue/pass.js";
import { ownerOf, spareOf, type ExchangeAround } from "./around.js";

/** Parts short of a team's allotment ask; those that can spare some cede it. */
export class QuotaTransfers {
  private readonly wanted = new Map<string, number>();

  constructor(private readonly around: ExchangeAround) {}

  start(): void {
    this.around.scope.listen(this.around.leader.short$, ({ part, team, want }) => this.ask(part, team, want));
  }

  private ask(part: Part, team: string, want: Shortage): void {
    const now = this.around.scope.clock.now();
    const label = `${part.id}|${team}`;
    if (now < (this.wanted.get(label) ?? 0)) return;
    this.wanted.set(label, now + this.around.settings.timing.reportMs / 2);
    for (let id = 0; id < this.around.settings.nodes.length; id++) {
      const owner = ownerOf(this.around, id);
      if (id !== part.id && owner !== null)
        this.around.peers.send(owner, {
          Want: { part: part.id, team, cpus: want.cpus, gpus: want.gpus, nowCpus: want.now.cpus, nowGpus: want.now.gpus },
        });
    }
  }

  onWant(want: Want): void {
    for (const part of this.around.leader.parts.values()) {
      if (part.id === want.part || part.phase !== "serving") continue;
      // What waits here and has no room does not use the allotment either: a part that
      // has room for the team at this moment may have it.
      const unused = spareOf(this.around, part, want.team);
      const free = { ...unused };
      for (const unit of part.units.values()) {
        if (unit.spec.team !== want.team) continue;
        free.cpus -= unit.spec.cpus * unit.waiting.length;
        free.gpus -= unit.spec.gpus * unit.waiting.length;
      }
      const spare = {
        cpus: Math.max(free.cpus, Math.min(unused.cpus, want.nowCpus)),
        gpus: Math.max(free.gpus, Math.min(unused.gpus, want.nowGpus)),
      };
      this.around.quotaShares.cede(part, want.part, want.team, want, spare);
    }
  }
}
