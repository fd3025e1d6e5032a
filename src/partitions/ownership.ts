/** Decides which partitions this controller claims, and writes the claims to the state service. */
import type { GroupCommitter } from "../ledger/group-committer.js";
import type { StateReplica } from "../ledger/state-replica.js";
import { keys, type OwnerRecord } from "../ledger/records.js";
import type { FailureDetector } from "../membership/failure-detector.js";
import type { Presence } from "../membership/presence.js";
import type { Scope } from "../platform/scope.js";
import type { Settings } from "../settings/derived.js";
import { claimConditions, isLossReason, reasonToClaim, type ClaimReason } from "../partitions/claims.js";

/** Dependencies of `Ownership`. */
export interface OwnershipDependencies {
  settings: Settings;
  incarnation: string;
  presence: Presence;
  detector: FailureDetector;
  replica: StateReplica;
  committer: GroupCommitter;
  scope: Scope;
  /**
   * Called after this node has claimed a partition, with the reason; `silentMs` is how long the former owner had been
   * missing, null if it was present or there was none.
   */
  onTaken: (partition: number, term: number, reason: string, silentMs: number | null) => void;
  /** Returns whether this process ended the term itself because a worker reported a newer owner's token. */
  termEnded: (partition: number, term: number) => boolean;
  /** Returns whether the partition's machines answer this node. */
  canReachMachines: (partition: number) => Promise<boolean>;
}

/**
 * Claims partitions for this node. Decisions follow from the presence and suspicion of the nodes; a claim is a
 * conditional write of the owner record, whose new revision (`stamp`) becomes the term.
 */
export class Ownership {
  private claiming = new Set<number>();
  private readonly returningHome = new Set<number>();

  constructor(private readonly dependencies: OwnershipDependencies) {}

  /** Starts the periodic review of all partitions, which decides which of them this node claims. */
  start(): void {
    const { presenceMs } = this.dependencies.settings.timing;
    this.dependencies.scope.routine(
      "ownership",
      () => presenceMs / 16,
      () => this.review(),
    );
  }

  /** Returns whether the node's presence key exists. */
  isPresent(node: string): boolean {
    return this.dependencies.presence.isPresent(node);
  }

  /** Returns whether the node is present and not suspected, so that jobs may migrate to it and requests may be sent to it. */
  isHealthy(node: string): boolean {
    return this.isPresent(node) && this.dependencies.detector.status(node) === "sound";
  }

  /** Returns whether the node can own partitions, as far as this node can tell. */
  private canOwn(node: string): boolean {
    return this.dependencies.presence.isEligible(node) && this.dependencies.detector.status(node) !== "gone";
  }

  /** Returns the owner record of the partition, if there is one. */
  owner(partition: number): OwnerRecord | undefined {
    return this.dependencies.replica.get<OwnerRecord>(keys.owner(partition))?.v;
  }

  /** Returns the home controller of the partition. */
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
    if (presence.isOutdated()) void presence.renew();
    for (const node of settings.nodes) presence.trackAbsence(node, (one) => this.partitionsOf(one));
    const unfit = presence.unfit() || presence.reportsUnfit(self);
    settings.nodes.forEach((home, partition) => {
      const entry = this.dependencies.replica.get<OwnerRecord>(keys.owner(partition));
      const record = entry?.v;
      const reason = reasonToClaim({
        self,
        incarnation: this.dependencies.incarnation,
        home,
        record,
        canOwn: (node) => this.canOwn(node),
        isPresent: (node) => presence.isPresent(node),
        reportsUnfit: (node) => presence.reportsUnfit(node),
        successor: () => this.successor(partition),
        ownerOverdue: record !== undefined && (presence.missingMs(record.owner) ?? 0) > settings.timing.presenceMs,
        presenceSettled: presence.isSettled(),
        termEnded: entry !== undefined && this.dependencies.termEnded(partition, entry.stamp),
        unfit,
      });
      if (reason === "home again") void this.returnHome(partition);
      else if (reason !== null) this.claim(partition, reason);
    });
  }

  /**
   * Claims a home partition that another healthy controller owns, provided that its machines can be reached from this
   * node: a node that resumes after a freeze, or restarts, may still be cut off from them.
   */
  private async returnHome(partition: number): Promise<void> {
    if (this.returningHome.has(partition)) return;
    this.returningHome.add(partition);
    let reached = false;
    try {
      reached = await this.dependencies.canReachMachines(partition);
    } finally {
      this.returningHome.delete(partition);
    }
    if (
      reached &&
      this.hasCurrentView() &&
      this.dependencies.presence.isEligible(this.dependencies.settings.self) &&
      !this.dependencies.presence.unfit()
    )
      this.claim(partition, "home again");
  }

  /** Returns whether this node's view of the state service is recent and its own presence key exists. */
  private hasCurrentView(): boolean {
    return (
      this.dependencies.replica.loaded &&
      this.dependencies.replica.ageMs() <= this.dependencies.settings.timing.presenceMs / 2 &&
      this.dependencies.presence.ownVisible()
    );
  }

  /** Returns the eligible node that should take the partition over: its home controller, else the node that owns the fewest partitions. */
  private successor(partition: number): string | undefined {
    const candidates = this.dependencies.settings.nodes.filter((node) => this.canOwn(node));
    if (candidates.includes(this.home(partition))) return this.home(partition);
    return candidates.sort((a, b) => this.partitionsOf(a).length - this.partitionsOf(b).length || (a < b ? -1 : 1))[0];
  }

  private claim(partition: number, reason: ClaimReason): void {
    if (this.claiming.has(partition)) return;
    this.claiming.add(partition);
    const key = keys.owner(partition);
    const recorded = this.dependencies.replica.get<OwnerRecord>(key);
    const draft = () => {
      const current = this.dependencies.replica.get<OwnerRecord>(key);
      if (current?.stamp !== recorded?.stamp) return null;
      const owner = recorded?.v.owner;
      if (isLossReason(reason) && owner !== undefined && this.canOwn(owner)) return null;
      const presenceCondition =
        owner === undefined ? null : { key: keys.presenceOf(owner), stamp: this.dependencies.replica.stamp(keys.presenceOf(owner)) };
      const conditions = claimConditions({ key, stamp: recorded?.stamp ?? 0 }, presenceCondition, reason);
      // The claim fails unless this node knows the newest configuration.
      conditions.push({ k: keys.configuration, stamp: this.dependencies.replica.stamp(keys.configuration) });
      return {
        conditions,
        apply: [{ write: key, v: { owner: this.dependencies.settings.self, life: this.dependencies.incarnation } satisfies OwnerRecord }],
      };
    };
    // The claim gets a transaction of its own: the revision that it gives the owner record becomes the term, and two
    // partitions claimed in one transaction would share a term, with attempt numbers and tokens that cannot be
    // distinguished.
    void this.dependencies.committer
      .commit("claim", draft, { priority: "now", exclusive: true, shedAfterMs: this.dependencies.settings.timing.presenceMs })
      .then((outcome) => {
        this.claiming.delete(partition);
        if (outcome !== "done") return;
        const term = this.dependencies.replica.stamp(key);
        const missing = recorded === undefined ? null : this.dependencies.presence.missingMs(recorded.v.owner);
        this.dependencies.onTaken(partition, term, reason, missing === null ? null : Math.round(missing));
        this.dependencies.scope.log.info(
          {
            part: partition,
            reason,
            term,
            life: this.dependencies.incarnation,
            former: recorded?.v.owner,
            formerTerm: recorded?.stamp,
            readAgoMs: Math.round(this.dependencies.replica.ageMs()),
          },
          "part taken",
        );
      });
  }
}
