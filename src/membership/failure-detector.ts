import type { GroupCommitter } from "../ledger/group-committer.js";
import type { StateReplica } from "../ledger/state-replica.js";
import { keys, type PresenceRecord, type SuspicionRecord } from "../ledger/records.js";
import type { PeerApi } from "../peers/links.js";
import type { Scope } from "../platform/scope.js";
import type { Settings } from "../settings/derived.js";
import type { Presence } from "./presence.js";
import {
  isUnrefuted,
  nextSuspicion,
  peerStatus,
  type Evidence,
  type SuspicionLimits,
  type OwnHealth,
  type PeerStatus,
} from "./suspicion.js";

/** Dependencies of the failure detector. */
export interface DetectorDependencies {
  settings: Settings;
  presence: Presence;
  replica: StateReplica;
  committer: GroupCommitter;
  peers: PeerApi;
  scope: Scope;
  /** Whether timers of this process fire late. */
  lagging: () => boolean;
}

/** What this node has observed of one peer. Times are in ms of the monotonic clock. */
interface PeerObservation {
  /** The unrefuted suspicion, identified by incarnation and number, and the time at which this node first saw it. */
  suspicion: { id: string; at: number } | null;
  /** Time at which the peer's suspicion record was last seen to change. */
  lastSuspectedAt: number;
  /** When the peer began to report that it cannot reach the state service; null if it does not report that. */
  statelessAt: number | null;
  /** The peer's status at the last evaluation, to log a change to `gone` only once. */
  reportedStatus: PeerStatus;
}

/**
 * Failure detector in two steps. A peer is suspected if its connection is closed and cannot be opened again, or if it
 * reports that it cannot reach the state service. A suspicion is a record in the state service. A peer that still
 * reaches the service refutes it in its own presence record, whatever the evidence was. Only a suspicion that stays
 * unrefuted while the evidence persists makes the peer count as gone. The detector influences which node claims a
 * partition, never whether a task may be placed: a claim begins a new term with the usual fencing.
 */
export class FailureDetector {
  private readonly observations = new Map<string, PeerObservation>();
  private readonly writing = new Set<string>();
  /** When this node's own view became up to date, null while it is not; earlier observations may be due to a fault of this node. */
  private upToDateSince: number | null = null;
  readonly stats = { suspicions: 0, refuted: 0, verdicts: 0 };

  constructor(private readonly dependencies: DetectorDependencies) {}

  /** Starts listening to peers and to suspicions, and evaluates the evidence ten times per report interval. */
  start(): void {
    const { scope, peers, settings, replica, presence } = this.dependencies;
    scope.listen(peers.incoming$, ({ from, message }) => {
      if (!("Health" in message)) return;
      const observation = this.observation(from);
      observation.statelessAt = message.Health.stateOk ? null : (observation.statelessAt ?? scope.clock.now());
    });
    // A suspicion of this node is refuted as soon as it is read, because peers that have seen it consider this node
    // gone after a time limit.
    scope.listen(replica.changes$, (key) => {
      if (!key.startsWith(keys.suspicions)) return;
      this.observation(key.slice(keys.suspicions.length)).lastSuspectedAt = scope.clock.now();
      if (presence.isSuspected()) void presence.renew();
    });
    scope.routine(
      "detector",
      () => settings.timing.reportMs / 10,
      () => this.evaluate(),
    );
  }

  /** The observation of a peer, created on first use. */
  private observation(node: string): PeerObservation {
    let observation = this.observations.get(node);
    if (observation === undefined)
      this.observations.set(
        node,
        (observation = { suspicion: null, lastSuspectedAt: -Infinity, statelessAt: null, reportedStatus: "sound" }),
      );
    return observation;
  }

  /**
   * Called after this process stalled for `ms`: suspicions of peers count as that much younger, since observations
   * missed meanwhile are no evidence.
   */
  onStall(ms: number): void {
    this.upToDateSince = null;
    for (const observation of this.observations.values()) if (observation.suspicion !== null) observation.suspicion.at += ms;
  }

  /** Returns the time limits of suspicions, which are fractions or multiples of the presence lease. */
  private limits(): SuspicionLimits {
    const { presenceMs } = this.dependencies.settings.timing;
    return { suspectMs: presenceMs / 32, verdictMs: presenceMs / 4, repeatMs: presenceMs };
  }

  /**
   * Returns whether this node's own view is up to date and whether its timers fire late, which decides if its
   * observations are reliable.
   */
  private health(): OwnHealth {
    const { presence, replica, settings } = this.dependencies;
    return { upToDate: presence.ownVisible() && replica.ageMs() < settings.timing.contactMs, lagging: this.dependencies.lagging() };
  }

  /** Returns for how long there has been evidence against a peer, counting only the time since this node's own view became up to date. */
  private evidence(node: string): Evidence {
    const since = (at: number | null): number | null =>
      at === null || this.upToDateSince === null ? null : this.dependencies.scope.clock.now() - Math.max(at, this.upToDateSince);
    return {
      unlinkedMs: since(this.dependencies.peers.unreachableSince?.(node) ?? null),
      statelessMs: since(this.observation(node).statelessAt),
    };
  }

  /** Updates the status of each peer and writes a suspicion where the evidence requires one. */
  private evaluate(): void {
    const { settings, replica, scope } = this.dependencies;
    const now = scope.clock.now();
    this.upToDateSince = this.health().upToDate ? (this.upToDateSince ?? now) : null;
    const limits = this.limits();
    const own = settings.nodes.indexOf(settings.self);
    settings.nodes.forEach((node, i) => {
      if (node === settings.self) return;
      const recorded = replica.get<SuspicionRecord>(keys.suspicion(node))?.v;
      const presence = replica.get<PresenceRecord>(keys.presenceOf(node))?.v;
      const observation = this.observation(node);
      this.trackSuspicion(node, observation, recorded, isUnrefuted(recorded, presence), now);
      // One suspicion is enough: nodes further from the peer in the node order wait longer, so usually only the nearest
      // one writes it.
      const distance = (own - i + settings.nodes.length) % settings.nodes.length;
      const staggered = { ...limits, suspectMs: limits.suspectMs * distance };
      const suspicion = nextSuspicion(recorded, presence, this.evidence(node), this.health(), now - observation.lastSuspectedAt, staggered);
      if (suspicion !== null) this.writeSuspicion(node, { ...suspicion, by: settings.self });
    });
  }

  /** Records and logs how a suspicion of the peer begins and ends, and when the peer counts as gone. */
  private trackSuspicion(
    node: string,
    observation: PeerObservation,
    recorded: SuspicionRecord | undefined,
    unrefuted: boolean,
    now: number,
  ): void {
    const id = `${recorded?.life} ${recorded?.n}`;
    if (!unrefuted) {
      if (observation.suspicion !== null) {
        const refuted = recorded !== undefined && this.dependencies.presence.isPresent(node);
        if (refuted) this.stats.refuted++;
        this.dependencies.scope.log.info(
          { peer: node, n: recorded?.n, ms: Math.round(now - observation.suspicion.at) },
          refuted ? "suspicion refuted" : "suspicion over",
        );
      }
      observation.suspicion = null;
    } else if (observation.suspicion?.id !== id) {
      observation.suspicion = { id, at: now };
      this.dependencies.scope.log.info({ peer: node, by: recorded?.by, n: recorded?.n, ...this.evidence(node) }, "controller is suspected");
    }
    const status = this.status(node);
    if (status === "gone" && observation.reportedStatus !== "gone") {
      this.stats.verdicts++;
      this.dependencies.scope.log.warn(
        { peer: node, ms: Math.round(now - observation.suspicion!.at), ...this.evidence(node) },
        "suspicion was not refuted: others should lead",
      );
    }
    observation.reportedStatus = status;
  }

  /** Writes a suspicion of the peer, unless the peer's suspicion record or presence record changes before the write. */
  private writeSuspicion(node: string, record: SuspicionRecord): void {
    if (this.writing.has(node)) return;
    this.writing.add(node);
    const { replica, committer, settings } = this.dependencies;
    const key = keys.suspicion(node);
    const suspicionStamp = replica.stamp(key);
    const presenceStamp = replica.stamp(keys.presenceOf(node));
    const draft = () =>
      replica.stamp(key) !== suspicionStamp || replica.stamp(keys.presenceOf(node)) !== presenceStamp
        ? null
        : {
            conditions: [
              { k: key, stamp: suspicionStamp },
              { k: keys.presenceOf(node), stamp: presenceStamp },
            ],
            apply: [{ write: key, v: record }],
          };
    void committer.commit("suspicion", draft, { priority: "now", shedAfterMs: settings.timing.presenceMs / 8 }).then((outcome) => {
      this.writing.delete(node);
      if (outcome === "done") this.stats.suspicions++;
    });
  }

  /** Returns whether this node considers a peer, whose presence record still exists, sound, suspected or gone. */
  status(node: string): PeerStatus {
    const suspicion = this.observations.get(node)?.suspicion ?? null;
    const unrefutedMs = suspicion === null ? null : this.dependencies.scope.clock.now() - suspicion.at;
    return peerStatus(unrefutedMs, this.evidence(node), this.health(), this.limits());
  }
}
