import type { PresenceRecord, SuspicionRecord } from "../ledger/records.js";

/** Decisions of the failure detector as pure functions: when a peer is suspected, and when it counts as gone. */

/** This node's own evidence against a peer, as ages in ms; null means that there is none of the kind. */
export interface Evidence {
  /** For how long the connection to the peer has been closed and could not be opened again. */
  unlinkedMs: number | null;
  /** For how long the peer has reported that it cannot reach the state service. */
  statelessMs: number | null;
}

/** State of this node. An unhealthy node does not trust its own observations. */
export interface OwnHealth {
  /** This node's presence is published and its replica of the state service is recent. */
  upToDate: boolean;
  /** This node is lagging or was stalled recently, so missing observations prove nothing. */
  lagging: boolean;
}

/** This node's view of a peer whose presence record exists. */
export type PeerStatus = "sound" | "suspected" | "gone";

/** Time limits of suspicions, in ms. */
export interface SuspicionLimits {
  /** Minimum age of evidence against a peer for it to be suspected. */
  suspectMs: number;
  /** Time after which a peer whose suspicion is unrefuted counts as gone, while the evidence against it persists. */
  verdictMs: number;
  /** Pause after a refuted suspicion before the next one of the same incarnation; doubled with each further refuted suspicion. */
  repeatMs: number;
}

/** Limit on doublings of the pause between suspicions of an incarnation that keeps refuting them. */
const MAX_DOUBLINGS = 4;

/** Age of the oldest evidence in ms; null if there is none. */
function evidenceAgeMs({ unlinkedMs, statelessMs }: Evidence): number | null {
  return unlinkedMs === null && statelessMs === null ? null : Math.max(unlinkedMs ?? 0, statelessMs ?? 0);
}

/**
 * Whether the suspicion is unrefuted. A suspicion of a former incarnation, or of a peer whose program version cannot
 * refute it, does not count.
 */
export function isUnrefuted(suspicion: SuspicionRecord | undefined, presence: PresenceRecord | undefined): boolean {
  if (suspicion === undefined || presence?.refutes === undefined) return false;
  return suspicion.life === presence.life && presence.refutes < suspicion.n;
}

/** Returns the number that the incarnation has to publish in `refutes` to refute all suspicions of it. */
export function requiredRefutation(suspicion: SuspicionRecord | undefined, incarnation: string): number {
  return suspicion?.life === incarnation ? suspicion.n : 0;
}

/**
 * Returns the suspicion to write, or null. `sinceMs` is the time since the peer's suspicion record last changed. A peer
 * whose connections are refused for a long time refutes every suspicion; the pauses between suspicions grow, so that
 * they cost few writes.
 */
export function nextSuspicion(
  recorded: SuspicionRecord | undefined,
  presence: PresenceRecord | undefined,
  evidence: Evidence,
  health: OwnHealth,
  sinceMs: number,
  limits: SuspicionLimits,
): Pick<SuspicionRecord, "life" | "n"> | null {
  if (!health.upToDate || health.lagging || presence?.refutes === undefined || isUnrefuted(recorded, presence)) return null;
  if ((evidenceAgeMs(evidence) ?? -1) < limits.suspectMs) return null;
  const previous = recorded?.life === presence.life ? recorded.n : 0;
  const pauseMs = previous === 0 ? 0 : limits.repeatMs * 2 ** Math.min(previous - 1, MAX_DOUBLINGS);
  return sinceMs < pauseMs ? null : { life: presence.life, n: previous + 1 };
}

/**
 * Returns the status of a peer whose suspicion this node has seen unrefuted for `unrefutedMs`, which is null if there
 * is no such suspicion. Without evidence of its own, a node never takes a peer for gone because of another node's
 * suspicion.
 */
export function peerStatus(unrefutedMs: number | null, evidence: Evidence, health: OwnHealth, limits: SuspicionLimits): PeerStatus {
  if (unrefutedMs === null) return "sound";
  return unrefutedMs >= limits.verdictMs && evidenceAgeMs(evidence) !== null && health.upToDate && !health.lagging ? "gone" : "suspected";
}
