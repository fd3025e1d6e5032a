import { isDeepStrictEqual } from "node:util";
import { CallError } from "@thorntrail/protocol/errors";
import type { TokenBucket } from "@thorntrail/protocol/token-bucket";
import { LeaseLostError, type StateApi } from "@thorntrail/protocol/state";
import type { Caller } from "../calls/calls.js";
import type { StateReplica } from "../ledger/state-replica.js";
import { keys, type PresenceRecord, type SuspicionRecord } from "../ledger/records.js";
import type { Scope } from "../platform/scope.js";
import type { Settings } from "../settings/derived.js";
import { precedingEarlyExits, restartBackoffMs, presenceRecord } from "./restart-backoff.js";
import { requiredRefutation } from "./suspicion.js";

/** Dependencies of `Presence`. */
export interface PresenceDependencies {
  settings: Settings;
  /** Identifies this run of the process. */
  incarnation: string;
  state: StateApi;
  replica: StateReplica;
  rate: TokenBucket;
  /** Used only for its backoff: the pause before a failed renewal of the presence key is repeated. */
  calls: Caller;
  scope: Scope;
  /** Whether this node cannot reach its workers and so should not own partitions. */
  cutOff: () => boolean;
  /**
   * Returns the configuration version that this node applies, with the newest term up to which its partitions are
   * fenced; null if the configuration was never changed.
   */
  acts: () => PresenceRecord["acts"] | null;
}

/**
 * Presence of the nodes: each has a key under a lease that expires unless the node renews it. A node is absent only
 * once its key has expired, not when a peer gets no answer from it or the state service refuses requests.
 *
 * A process may restart while the key of its former incarnation still exists. Nobody renews this old key, and it may
 * expire at any time, so a node counts itself as present only by a key that names its current incarnation. Writes of
 * the former incarnation may still be applied late, so each write is conditional on the key's revision as it was read;
 * otherwise a late write could hide a healthy node.
 */
export class Presence {
  private leaseId: number | null = null;
  /** When the last request that granted or renewed the lease was sent, in ms of the monotonic clock. */
  private extendedAt = -Infinity;
  /** Lease under which this node's presence key was last written. */
  private attachedLeaseId: number | null = null;
  private renewing = false;
  private renewalScheduled = false;
  /** Number of consecutive earlier runs of this node's process that exited early; null until the state service's records are loaded. */
  private earlyExits: number | null = null;
  private readonly startedAt: number;
  /** When each absent node was first found absent, in ms of the monotonic clock. */
  private readonly missingSince = new Map<string, number>();

  constructor(private readonly dependencies: PresenceDependencies) {
    this.startedAt = dependencies.scope.clock.now();
  }

  /** Starts the routine that renews the presence key four times per lease. */
  start(): void {
    const { scope, replica, settings } = this.dependencies;
    // The former incarnation's key can only be evaluated once the state service's records are loaded.
    scope.listen(replica.changes$, (key) => {
      if (key === "" && this.earlyExits === null) void this.renew();
      else if (key === keys.configuration) void this.renew();
    });
    scope.routine(
      "presence",
      () => settings.timing.presenceMs / 4,
      () => this.renew(),
    );
  }

  /** Renews the lease, and writes this node's presence record if it differs from the desired one. */
  async renew(): Promise<void> {
    if (this.renewing) return;
    this.renewing = true;
    const { settings, state, replica, rate, scope } = this.dependencies;
    const key = keys.presenceOf(settings.self);
    try {
      while (!rate.take()) await new Promise<void>((resolve) => scope.clock.after(rate.waitMs(), resolve));
      await this.extend();
      if (!replica.loaded) return;
      const before = replica.get<PresenceRecord>(key);
      if (this.earlyExits === null) this.countEarlyExits(before?.v);
      const value = this.desiredRecord();
      if (this.attachedLeaseId === this.leaseId && isDeepStrictEqual(before?.v, value)) return;
      const result = await state.txn([{ k: key, stamp: before?.stamp ?? 0 }], [{ write: key, v: value, permit: this.leaseId! }]);
      if (result.ok) {
        this.attachedLeaseId = this.leaseId;
        return replica.put(key, value, result.ledger);
      }
      // The key was just written by the former incarnation, or by a late copy of this one's write.
      await replica.refresh();
      this.scheduleRenewal();
    } catch (error) {
      scope.log.debug({ err: (error as Error).message }, "presence not renewed");
      if (error instanceof LeaseLostError) this.leaseId = null;
      else if (!(error instanceof CallError)) return;
      this.scheduleRenewal();
    } finally {
      this.renewing = false;
    }
  }

  /**
   * Renews the lease or gets a new one. A refutation of a suspicion calls this before it writes the presence record, so a
   * recently renewed lease is not renewed again, to avoid delaying the refutation. Only a renewal that the service has
   * confirmed counts as recent; otherwise a series of refutations could let the lease lapse.
   */
  private async extend(): Promise<void> {
    const { state, scope, settings } = this.dependencies;
    const { presenceMs } = settings.timing;
    const asked = scope.clock.now();
    if (this.leaseId !== null && asked - this.extendedAt < presenceMs / 8) return;
    if (this.leaseId === null || !(await state.renew(this.leaseId))) this.leaseId = await state.grant(presenceMs);
    this.extendedAt = asked;
  }

  /** Schedules a renewal before the next regular one: a single lost answer must not use up half of the lease. */
  private scheduleRenewal(): void {
    if (this.renewalScheduled) return;
    this.renewalScheduled = true;
    void this.dependencies.calls.backOff().then(() => {
      this.renewalScheduled = false;
      if (!this.dependencies.scope.closed) void this.renew();
    });
  }

  /** Derives the number of consecutive early exits from the presence record of the former incarnation. */
  private countEarlyExits(former: PresenceRecord | undefined): void {
    this.earlyExits = precedingEarlyExits(former);
    const ms = restartBackoffMs(this.earlyExits, this.dependencies.settings.timing.leaseMs);
    if (ms > 0)
      this.dependencies.scope.log.warn({ ends: this.earlyExits, ms }, "this controller keeps ending: others should lead for a while");
  }

  /** Returns the presence record that this node should publish now. */
  private desiredRecord(): PresenceRecord {
    const young = this.ageMs() < this.dependencies.settings.timing.leaseMs;
    return presenceRecord(
      this.dependencies.incarnation,
      this.unfit(),
      this.earlyExits ?? 0,
      young,
      this.refutation(),
      this.dependencies.acts(),
    );
  }

  /** Returns the number of the newest suspicion that this incarnation has to refute; 0 if there is none. */
  private refutation(): number {
    const { replica, settings, incarnation } = this.dependencies;
    return requiredRefutation(replica.get<SuspicionRecord>(keys.suspicion(settings.self))?.v, incarnation);
  }

  /** Whether a suspicion of this incarnation has not been refuted yet. */
  isSuspected(): boolean {
    return this.ownVisible() && (this.record(this.dependencies.settings.self)?.refutes ?? 0) < this.refutation();
  }

  /** Time since the start of this process, in ms. */
  private ageMs(): number {
    return this.dependencies.scope.clock.now() - this.startedAt;
  }

  /** Whether others should own this node's partitions, because it cannot reach its workers or keeps exiting. */
  unfit(): boolean {
    return this.dependencies.cutOff() || this.backsOff();
  }

  /** Whether this node keeps exiting while another node is eligible as owner. */
  private backsOff(): boolean {
    const { settings } = this.dependencies;
    if (this.ageMs() >= restartBackoffMs(this.earlyExits ?? 0, settings.timing.leaseMs)) return false;
    return settings.nodes.some((node) => node !== settings.self && this.isEligible(node));
  }

  /** Whether the published presence record differs from this node's state. */
  isOutdated(): boolean {
    const { acts, settings } = this.dependencies;
    if (this.unfit() !== this.reportsUnfit(settings.self) || this.isSuspected()) return true;
    return !isDeepStrictEqual(this.record(settings.self)?.acts ?? null, acts());
  }

  private record(node: string): PresenceRecord | undefined {
    return this.dependencies.replica.get<PresenceRecord>(keys.presenceOf(node))?.v;
  }

  /** Returns whether the node has a presence key, of whichever incarnation. */
  isPresent(node: string): boolean {
    return this.record(node) !== undefined;
  }

  /** Returns whether this node's published presence record is that of its current incarnation. */
  ownVisible(): boolean {
    return this.record(this.dependencies.settings.self)?.life === this.dependencies.incarnation;
  }

  /** Whether the node reports itself as unfit to own partitions. */
  reportsUnfit(node: string): boolean {
    return this.record(node)?.unfit === true;
  }

  /** Whether the node is present and fit to own partitions. */
  isEligible(node: string): boolean {
    return this.isPresent(node) && !this.reportsUnfit(node);
  }

  /**
   * Whether this process has run for longer than the presence lease, so that a node that has been absent all that time
   * counts as gone.
   */
  isSettled(): boolean {
    return this.ageMs() > this.dependencies.settings.timing.presenceMs;
  }

  /** Time in ms for which the node has been absent; null if it is present. */
  missingMs(node: string): number | null {
    const since = this.missingSince.get(node);
    return since === undefined ? null : this.dependencies.scope.clock.now() - since;
  }

  /** Absent nodes, each with the time in ms for which it has been absent. */
  silentNodes(): { node: string; ms: number }[] {
    return [...this.missingSince.keys()].map((node) => ({ node, ms: Math.round(this.missingMs(node)!) }));
  }

  /**
   * Called after this process stalled for `ms`: absences of nodes count as that much shorter, since presence records
   * missed meanwhile prove nothing about other nodes.
   */
  onStall(ms: number): void {
    for (const [node, since] of this.missingSince) this.missingSince.set(node, since + ms);
  }

  /**
   * Tracks and logs whether a node is absent or back. `partitionsOf` returns the partitions that a node owns according
   * to the owner records.
   */
  trackAbsence(node: string, partitionsOf: (node: string) => number[]): void {
    const missing = this.missingMs(node);
    if (this.isPresent(node)) {
      if (missing === null) return;
      this.missingSince.delete(node);
      this.dependencies.scope.log.info({ peer: node, ms: Math.round(missing) }, "controller is back");
    } else if (missing === null) {
      this.missingSince.set(node, this.dependencies.scope.clock.now());
      if (this.isSettled()) this.dependencies.scope.log.warn({ peer: node, parts: partitionsOf(node) }, "controller is silent");
    }
  }
}
