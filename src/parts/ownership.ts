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
  /** Set while this node cannot reach its workers: it should not lead then. */
  unfit: () => boolean = () => false;

  constructor(
    private readonly settings: Settings,
    private readonly life: string,
    private readonly state: StateApi,
    private readonly mirror: Mirror,
    private readonly committer: Committer,
    private readonly rate: Rate,
    private readonly scope: Scope,
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
    const key = keys.alive(this.settings.self);
    try {
      while (!this.rate.take()) await new Promise<void>((r) => this.scope.clock.after(this.rate.waitMs(), r));
      if (this.permit !== null && (await this.state.renew(this.permit))) {
        if (this.mirror.get(key) !== undefined) return;
      } else this.permit = await this.state.grant(this.settings.timing.presenceMs);
      const value: PresenceRecord = { life: this.life };
      const result = await this.state.txn([], [{ write: key, v: value, permit: this.permit }]);
      if (result.ok) this.mirror.put(key, value, result.ledger);
    } catch (error) {
      this.scope.log.debug({ err: (error as Error).message }, "presence not renewed");
    }
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
    const { settings, mirror } = this;
    const { presenceMs } = settings.timing;
    const now = this.scope.clock.now();
    if (!mirror.loaded || mirror.ageMs() > presenceMs / 2 || !this.alive(settings.self)) return;
    for (const node of settings.nodes) {
      if (this.alive(node)) this.missingSince.delete(node);
      else if (!this.missingSince.has(node)) this.missingSince.set(node, now);
    }
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
      if (this.unfit()) return;
      if (!this.alive(record.owner)) {
        const missing = now - (this.missingSince.get(record.owner) ?? now);
        if (this.heir(part) === self || missing > presenceMs) this.claim(part, "owner gone");
        return;
      }
      if (home === self && settled) this.claim(part, "home again");
    });
  }

  /** The live node that should take a part over: its home, else the one with the fewest. */
  private heir(part: number): string | undefined {
    const live = this.settings.nodes.filter((node) => this.alive(node));
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
      if (reason === "owner gone")
        conditions.push({ k: keys.alive(before!.v.owner), stamp: this.mirror.stamp(keys.alive(before!.v.owner)) });
      if (reason === "owner gone" && this.alive(before!.v.owner)) return null;
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
