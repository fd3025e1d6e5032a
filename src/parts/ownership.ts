import type { Committer } from "../ledger/committer.js";
import type { Mirror } from "../ledger/mirror.js";
import { keys, type OwnerRecord } from "../ledger/records.js";
import type { Detector } from "../membership/detector.js";
import type { Presence } from "../membership/presence.js";
import type { Scope } from "../platform/scope.js";
import type { Settings } from "../settings/derived.js";
import { claimConditions, isLossReason, reasonToClaim, type Reason } from "./claims.js";

/** Whom ownership works with. */
export interface OwnershipDependencies {
  settings: Settings;
  life: string;
  presence: Presence;
  detector: Detector;
  mirror: Mirror;
  committer: Committer;
  scope: Scope;
  /** A part was taken: why, and how long its former leader had been silent. */
  taken: (partition: number, term: number, reason: string, silentMs: number | null) => void;
  /** Did this life end the term itself, on a worker's word of a newer owner? */
  termEnded: (partition: number, term: number) => boolean;
  /** Do the part's machines answer this node? */
  reaches: (partition: number) => Promise<boolean>;
}

/** Who leads what: decided from who is there, written down under the part's term. */
export class Ownership {
  private claiming = new Set<number>();
  private readonly returningHome = new Set<number>();

  constructor(private readonly dependencies: OwnershipDependencies) {}

  start(): void {
    const { presenceMs } = this.dependencies.settings.timing;
    this.dependencies.scope.routine(
      "ownership",
      () => presenceMs / 16,
      () => this.review(),
    );
  }

  alive(node: string): boolean {
    return this.dependencies.presence.alive(node);
  }

  /** There, and nobody doubts it: what may move to it, and be asked of it. */
  trusts(node: string): boolean {
    return this.alive(node) && this.dependencies.detector.standing(node) === "sound";
  }

  /** Able to lead, as far as is known here. */
  private canOwn(node: string): boolean {
    return this.dependencies.presence.able(node) && this.dependencies.detector.standing(node) !== "gone";
  }

  owner(partition: number): OwnerRecord | undefined {
    return this.dependencies.mirror.get<OwnerRecord>(keys.owner(partition))?.v;
  }

  home(partition: number): string {
    return this.dependencies.settings.nodes[partition]!;
  }

  private partitionsOf(node: string): number[] {
    return this.dependencies.settings.nodes.map((_, partition) => partition).filter((partition) => this.owner(partition)?.owner === node);
  }

  private review(): void {
    const { settings, presence } = this.dependencies;
    const { self } = settings;
    if (!this.hasCurrentView()) return;
    if (presence.outdated()) void presence.renew();
    for (const node of settings.nodes) presence.noteSilence(node, (one) => this.partitionsOf(one));
    const unfit = presence.unfit() || presence.saysUnfit(self);
    settings.nodes.forEach((home, partition) => {
      const entry = this.dependencies.mirror.get<OwnerRecord>(keys.owner(partition));
      const record = entry?.v;
      const reason = reasonToClaim({
        self,
        life: this.dependencies.life,
        home,
        record,
        able: (node) => this.canOwn(node),
        alive: (node) => presence.alive(node),
        saysUnfit: (node) => presence.saysUnfit(node),
        heir: () => this.successor(partition),
        ownerLate: record !== undefined && (presence.missingMs(record.owner) ?? 0) > settings.timing.presenceMs,
        settled: presence.settled(),
        termEnded: entry !== undefined && this.dependencies.termEnded(partition, entry.stamp),
        unfit,
      });
      if (reason === "home again") void this.returnHome(partition);
      else if (reason !== null) this.claim(partition, reason);
    });
  }

  /**
   * Somebody leads the part well enough: it comes home only if its machines can be
   * reached from here. A node that wakes from a freeze, or starts anew, may still be cut
   * off from them.
   */
  private async returnHome(partition: number): Promise<void> {
    if (this.returningHome.has(partition)) return;
    this.returningHome.add(partition);
    let reached = false;
    try {
      reached = await this.dependencies.reaches(partition);
    } finally {
      this.returningHome.delete(partition);
    }
    if (
      reached &&
      this.hasCurrentView() &&
      this.dependencies.presence.able(this.dependencies.settings.self) &&
      !this.dependencies.presence.unfit()
    )
      this.claim(partition, "home again");
  }

  /** What we know of the others is recent, and they see us. */
  private hasCurrentView(): boolean {
    return (
      this.dependencies.mirror.loaded &&
      this.dependencies.mirror.ageMs() <= this.dependencies.settings.timing.presenceMs / 2 &&
      this.dependencies.presence.own()
    );
  }

  /** The live node that should take a part over: its home, else the one with the fewest. */
  private successor(partition: number): string | undefined {
    const candidates = this.dependencies.settings.nodes.filter((node) => this.canOwn(node));
    if (candidates.includes(this.home(partition))) return this.home(partition);
    return candidates.sort((a, b) => this.partitionsOf(a).length - this.partitionsOf(b).length || (a < b ? -1 : 1))[0];
  }

  private claim(partition: number, reason: Reason): void {
    if (this.claiming.has(partition)) return;
    this.claiming.add(partition);
    const key = keys.owner(partition);
    const before = this.dependencies.mirror.get<OwnerRecord>(key);
    const draft = () => {
      const current = this.dependencies.mirror.get<OwnerRecord>(key);
      if (current?.stamp !== before?.stamp) return null;
      const owner = before?.v.owner;
      if (isLossReason(reason) && owner !== undefined && this.canOwn(owner)) return null;
      const alive = owner === undefined ? null : { key: keys.alive(owner), stamp: this.dependencies.mirror.stamp(keys.alive(owner)) };
      const conditions = claimConditions({ key, stamp: before?.stamp ?? 0 }, alive, reason);
      // Whoever takes a partition knows the newest configuration, or does not get it.
      conditions.push({ k: keys.configuration, stamp: this.dependencies.mirror.stamp(keys.configuration) });
      return {
        conditions,
        apply: [{ write: key, v: { owner: this.dependencies.settings.self, life: this.dependencies.life } satisfies OwnerRecord }],
      };
    };
    // Alone: the stamp is the term, and two parts taken in one transaction would
    // share it, with attempts and tokens that cannot be told apart.
    void this.dependencies.committer
      .commit("claim", draft, { turn: "now", alone: true, shedAfterMs: this.dependencies.settings.timing.presenceMs })
      .then((outcome) => {
        this.claiming.delete(partition);
        if (outcome !== "done") return;
        const term = this.dependencies.mirror.stamp(key);
        const missing = before === undefined ? null : this.dependencies.presence.missingMs(before.v.owner);
        this.dependencies.taken(partition, term, reason, missing === null ? null : Math.round(missing));
        this.dependencies.scope.log.info(
          {
            part: partition,
            reason,
            term,
            life: this.dependencies.life,
            former: before?.v.owner,
            formerTerm: before?.stamp,
            readAgoMs: Math.round(this.dependencies.mirror.ageMs()),
          },
          "part taken",
        );
      });
  }
}
