import type { Committer } from "../ledger/committer.js";
import type { Mirror } from "../ledger/mirror.js";
import { keys, type OwnerRecord, type PresenceRecord } from "../ledger/records.js";
import type { StateApi } from "../ledger/state-client.js";
import type { Rate } from "../platform/rate.js";
import type { Scope } from "../platform/scope.js";
import type { Settings } from "../settings/derived.js";

/**
 * Who is there, and who leads what. Presence is a key that vanishes unless its
 * owner renews it; a silent peer or a refusing service proves nothing by itself.
 */
export class Ownership {
  private permit: number | null = null;
  private readonly missingSince = new Map<string, number>();
  private claiming = new Set<number>();
  private readonly startedAt: number;
  private renewing = false;
  private readonly returning = new Set<number>();

  constructor(
    private readonly settings: Settings,
    private readonly life: string,
    private readonly state: StateApi,
    private readonly mirror: Mirror,
    private readonly committer: Committer,
    private readonly rate: Rate,
    private readonly scope: Scope,
    /** While this node cannot reach its workers, it should not lead. */
    private readonly unfit: () => boolean,
    /** Do the part's machines answer this node? */
    private readonly reaches: (part: number) => Promise<boolean>,
  ) {
    this.startedAt = scope.clock.now();
  }

  start(): void {
    const { presenceMs } = this.settings.timing;
    this.scope.routine(
      "presence",
      () => presenceMs / 4,
      () => this.renew(),
    );
    this.scope.routine(
      "ownership",
      () => presenceMs / 16,
      () => this.review(),
    );
  }

  private async renew(): Promise<void> {
    if (this.renewing) return;
    this.renewing = true;
    const key = keys.alive(this.settings.self);
    try {
      while (!this.rate.take()) await new Promise<void>((r) => this.scope.clock.after(this.rate.waitMs(), r));
      if (this.permit !== null && (await this.state.renew(this.permit))) {
        if (this.saysUnfit(this.settings.self) === this.unfit() && this.alive(this.settings.self)) return;
      } else this.permit = await this.state.grant(this.settings.timing.presenceMs);
      const value: PresenceRecord = this.unfit() ? { life: this.life, unfit: true } : { life: this.life };
      const result = await this.state.txn([], [{ write: key, v: value, permit: this.permit }]);
      if (result.ok) this.mirror.put(key, value, result.ledger);
    } catch (error) {
      this.scope.log.debug({ err: (error as Error).message }, "presence not renewed");
    } finally {
      this.renewing = false;
    }
  }

  /** This process stood still: what it did not see meanwhile says nothing of others. */
  stoodStill(ms: number): void {
    for (const [node, since] of this.missingSince) this.missingSince.set(node, since + ms);
  }

  /** Nodes whose presence ran out, and for how long they have been silent. */
  silentNodes(): { node: string; ms: number }[] {
    const now = this.scope.clock.now();
    return [...this.missingSince].map(([node, since]) => ({ node, ms: Math.round(now - since) }));
  }

  private saysUnfit(node: string): boolean {
    return this.mirror.get<PresenceRecord>(keys.alive(node))?.v.unfit === true;
  }

  /** There, and not cut off from its workers. */
  private able(node: string): boolean {
    return this.alive(node) && !this.saysUnfit(node);
  }

  alive(node: string): boolean {
    return this.mirror.get(keys.alive(node)) !== undefined;
  }

  owner(part: number): OwnerRecord | undefined {
    return this.mirror.get<OwnerRecord>(keys.owner(part))?.v;
  }

  home(part: number): string {
    return this.settings.nodes[part]!;
  }

  private partsOf(node: string): number {
    return this.settings.nodes.filter((_, part) => this.owner(part)?.owner === node).length;
  }

  private review(): void {
    const { settings } = this;
    const { presenceMs } = settings.timing;
    const now = this.scope.clock.now();
    if (!this.informed()) return;
    if (this.unfit() !== this.saysUnfit(settings.self)) void this.renew();
    for (const node of settings.nodes) this.noteSilence(node, now);
    const settled = now - this.startedAt > presenceMs;
    settings.nodes.forEach((home, part) => {
      const record = this.owner(part);
      const self = settings.self;
      if (record === undefined) {
        if (home === self || (settled && !this.alive(home))) this.claim(part, "unowned");
        return;
      }
      if (record.owner === self) {
        // Our former life led it; that process is gone, its answers with it.
        if (record.life !== this.life) this.claim(part, "own former life");
        return;
      }
      if (this.unfit() || this.saysUnfit(self)) return;
      if (!this.able(record.owner)) {
        const missing = now - (this.missingSince.get(record.owner) ?? now);
        if (this.heir(part) === self || missing > presenceMs) this.claim(part, this.alive(record.owner) ? "owner cut off" : "owner gone");
        return;
      }
      if (home === self && settled) void this.comeHome(part);
    });
  }

  /**
   * Somebody leads the part well enough: it comes home only if its machines can be
   * reached from here. A node that wakes from a freeze, or starts anew, may still be cut
   * off from them.
   */
  private async comeHome(part: number): Promise<void> {
    if (this.returning.has(part)) return;
    this.returning.add(part);
    let reached = false;
    try {
      reached = await this.reaches(part);
    } finally {
      this.returning.delete(part);
    }
    if (reached && this.informed() && this.able(this.settings.self) && !this.unfit()) this.claim(part, "home again");
  }

  /** What we know of the others is recent, and they see us. */
  private informed(): boolean {
    return this.mirror.loaded && this.mirror.ageMs() <= this.settings.timing.presenceMs / 2 && this.alive(this.settings.self);
  }

  private noteSilence(node: string, now: number): void {
    const since = this.missingSince.get(node);
    if (this.alive(node)) {
      if (since === undefined) return;
      this.missingSince.delete(node);
      this.scope.log.info({ peer: node, ms: Math.round(now - since) }, "controller is back");
    } else if (since === undefined) {
      this.missingSince.set(node, now);
      if (now - this.startedAt > this.settings.timing.presenceMs)
        this.scope.log.warn(
          { peer: node, parts: this.settings.nodes.map((_, part) => part).filter((p) => this.owner(p)?.owner === node) },
          "controller is silent",
        );
    }
  }

  /** The live node that should take a part over: its home, else the one with the fewest. */
  private heir(part: number): string | undefined {
    const live = this.settings.nodes.filter((node) => this.able(node));
    if (live.includes(this.home(part))) return this.home(part);
    return live.sort((a, b) => this.partsOf(a) - this.partsOf(b) || (a < b ? -1 : 1))[0];
  }

  private claim(part: number, reason: string): void {
    if (this.claiming.has(part)) return;
    this.claiming.add(part);
    const key = keys.owner(part);
    const before = this.mirror.get<OwnerRecord>(key);
    const draft = () => {
      const current = this.mirror.get<OwnerRecord>(key);
      if (current?.stamp !== before?.stamp) return null;
      const conditions = [{ k: key, stamp: before?.stamp ?? 0 }];
      const gone = reason === "owner gone" || reason === "owner cut off";
      if (gone) conditions.push({ k: keys.alive(before!.v.owner), stamp: this.mirror.stamp(keys.alive(before!.v.owner)) });
      if (gone && this.able(before!.v.owner)) return null;
      return { conditions, apply: [{ write: key, v: { owner: this.settings.self, life: this.life } satisfies OwnerRecord }] };
    };
    // Alone: the stamp is the term, and two parts taken in one transaction would
    // share it, with attempts and tokens that cannot be told apart.
    void this.committer
      .commit("claim", draft, { turn: "now", alone: true, shedAfterMs: this.settings.timing.presenceMs })
      .then((outcome) => {
        this.claiming.delete(part);
        if (outcome === "done") this.scope.log.info({ part, reason, term: this.mirror.stamp(key), former: before?.v.owner }, "part taken");
      });
  }
}
