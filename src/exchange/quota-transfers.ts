import { keys, type AllotmentRecord } from "../ledger/records.js";
import { allotted, type Part, type Usage } from "../parts/part.js";
import type { Want } from "../peers/messages.js";
import type { Shortage } from "../queue/pass.js";
import { ownerOf, spareOf, type ExchangeAround } from "./around.js";

/** Of the report interval, the time between two givers' turns: longer than a transaction usually takes. */
const TURN = 1 / 50;

interface Asked {
  part: Part;
  want: Want;
  /** What the asking partition held when it asked. */
  heldBefore: Usage;
}

/**
 * Partitions short of a team's quota ask all others. Those that can spare some give it in turn, the one with the largest
 * share first, and only what is still wanted by then: all shares of a team are one record, and givers that write it at
 * the same moment would only fail each other's transactions.
 */
export class QuotaTransfers {
  private readonly askedAgainAt = new Map<string, number>();
  /** By partition that gives, team and partition that asks: the newest request, until its turn. */
  private readonly waiting = new Map<string, Asked>();

  constructor(private readonly around: ExchangeAround) {}

  start(): void {
    this.around.scope.listen(this.around.leader.short$, ({ part, team, want }) => this.ask(part, team, want));
  }

  private ask(part: Part, team: string, want: Shortage): void {
    const now = this.around.scope.clock.now();
    const label = `${part.id}|${team}`;
    if (now < (this.askedAgainAt.get(label) ?? 0)) return;
    this.askedAgainAt.set(label, now + this.around.settings.timing.reportMs / 2);
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
      const label = `${part.id}|${want.team}|${want.part}`;
      const isWaiting = this.waiting.has(label);
      this.waiting.set(label, { part, want, heldBefore: this.held(want.part, want.team) });
      if (isWaiting) continue;
      const waitMs = this.turnOf(part.id, want) * this.around.settings.timing.reportMs * TURN;
      if (waitMs === 0) this.give(label);
      else this.around.scope.clock.after(waitMs, () => this.give(label));
    }
  }

  private record(team: string): AllotmentRecord | undefined {
    return this.around.mirror.get<AllotmentRecord>(keys.allotment(team))?.v;
  }

  private held(part: number, team: string): Usage {
    return allotted(this.record(team), part);
  }

  /** How many partitions with more to give come before this one; all see the same record. */
  private turnOf(giver: number, { part, team, cpus }: Want): number {
    const record = this.record(team);
    if (record === undefined) return 0;
    const shares = cpus > 0 ? record.cpus : record.gpus;
    const own = shares[giver] ?? 0;
    const isBefore = (share: number | null, id: number): boolean => (share ?? 0) > own || ((share ?? 0) === own && id < giver);
    return shares.filter((share, id) => id !== giver && id !== part && isBefore(share, id)).length;
  }

  private give(label: string): void {
    const asked = this.waiting.get(label);
    this.waiting.delete(label);
    if (asked === undefined || this.around.scope.closed) return;
    const { part, want, heldBefore } = asked;
    // It may have been taken over, or deposed, while it waited for its turn.
    if (this.around.leader.parts.get(part.id) !== part || part.phase !== "serving") return;
    const left = this.stillWanted(want, heldBefore);
    this.around.quotaShares.cede(part, want.part, want.team, left, this.spare(part, left));
  }

  /** What others have given meanwhile is not given again. */
  private stillWanted(want: Want, heldBefore: Usage): Want {
    const held = this.held(want.part, want.team);
    const given = (name: "cpus" | "gpus"): number => {
      const more = held[name] - heldBefore[name];
      return Number.isFinite(more) ? Math.max(0, more) : 0;
    };
    const less = (amount: number, name: "cpus" | "gpus"): number => Math.max(0, amount - given(name));
    return {
      ...want,
      ...{ cpus: less(want.cpus, "cpus"), nowCpus: less(want.nowCpus, "cpus") },
      ...{ gpus: less(want.gpus, "gpus"), nowGpus: less(want.nowGpus, "gpus") },
    };
  }

  private spare(part: Part, { team, nowCpus, nowGpus }: Want): Usage {
    // What waits here and has no room does not use the quota either: a partition that
    // has room for the team at this moment may have it.
    const unused = spareOf(this.around, part, team);
    const free = { ...unused };
    for (const unit of part.units.values()) {
      if (unit.spec.team !== team) continue;
      free.cpus -= unit.spec.cpus * unit.waiting.length;
      free.gpus -= unit.spec.gpus * unit.waiting.length;
    }
    return {
      cpus: Math.max(free.cpus, Math.min(unused.cpus, nowCpus)),
      gpus: Math.max(free.gpus, Math.min(unused.gpus, nowGpus)),
    };
  }
}
