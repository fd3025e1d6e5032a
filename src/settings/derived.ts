import type { OperatorSettings } from "./operators.js";
import { SettingsError, type PlatformSettings } from "./platform-file.js";

/** Time limits and other values that follow from the platform's and the operators' settings. */

/** Maximum relative drift between the clocks of two machines, as stated in PROTOCOL. */
export const DRIFT = 0.0005;

/** Usual margin, in report intervals, between the expiry of a worker's lease and the time by which a cancellation must take effect. */
const MARGIN_REPORTS = 1.2;

/** Maximum number of machines in a partition per socket of its owner's quota; the other sockets serve users, commands and a partition that it takes over. */
const MACHINES_PER_SOCKET = 0.45;

/** Time limits in ms, derived from the platform's settings. */
export interface Timing {
  leaseMs: number;
  reportMs: number;
  /** Time without proof of contact with the state service after which a node must not act as owner of its partitions. */
  silentAfterMs: number;
  /** Time after its last valid answer from a controller by which a worker has ended all its tasks. */
  expiryMs: number;
  /** Time without renewal after which a node's presence expires. */
  presenceMs: number;
  /** Age of this node's replica of the state service above which the state service counts as unreachable. */
  contactMs: number;
  /** Timeout of a call to the state service. */
  stateTimeoutMs: number;
  /** Timeout of a call to a worker. */
  workerTimeoutMs: number;
  /** Time without a report after which a machine gets no new tasks. */
  silentMs: number;
  /** Time without any activity after which the process counts as stalled. */
  stallMs: number;
  /** Minimum time between scheduling cycles over few machines; events within that time share one cycle. */
  passGapMs: number;
}

/** Limits that requests to the state service have to respect: the stricter of its current and its announced limits. */
export interface StateLimits {
  rps: number;
  writeRps: number;
  valueKb: number;
  txnOps: number;
}

/** Settings of one controller: what the platform and the operators set, and the values derived from that. */
export interface Settings {
  platform: PlatformSettings;
  state: StateLimits;
  operators: OperatorSettings;
  timing: Timing;
  /** Maximum number of machines per partition; each holds a socket of the partition's owner. */
  maxMachines: number;
  /** Names of all controllers, sorted, so in the same order at all of them; a partition's number is the index of its home controller. */
  nodes: string[];
  self: string;
  /** Warnings about settings that leave less margin than usual; logged at the start and printed by `check`. */
  cautions: string[];
}

/**
 * Returns the stricter of the current and the announced limits of the state service. The limits change without notice,
 * and records written before the change must be writable after it, so both limits are respected from the start.
 */
function stateLimits({ next, ...now }: PlatformSettings["deployment"]["state"]): StateLimits {
  const strictest = (key: keyof typeof now): number => Math.min(now[key], next[key] ?? Infinity);
  return { rps: strictest("rps"), writeRps: strictest("write_rps"), valueKb: strictest("value_kb"), txnOps: strictest("txn_ops") };
}

/**
 * Derives silentAfterMs from cancel_s. A cancellation recorded through another controller at the moment of this node's
 * last proof of contact must have taken effect within cancel_s: this node becomes silent, then the lease that its last
 * answer renewed expires (docs/design/meetings.md). A margin of 1.2 report intervals is kept for late timers and stalls.
 * If cancel_s leaves no more than twice that margin besides the lease, the margin is half of what it leaves: silence then
 * begins earlier, never later than cancel_s permits. Throws SettingsError if cancel_s leaves no time.
 */
function deriveSilence(cancelS: number, leaseMs: number, reportMs: number): { silentAfterMs: number; cautions: string[] } {
  const availableMs = cancelS * 1000 * (1 - DRIFT) - leaseMs * (1 + 2 * DRIFT);
  if (availableMs <= 0)
    throw new SettingsError(
      `deployment.workers.cancel_s: ${cancelS}: expected more than lease_s (${leaseMs / 1000}): tasks of a cancelled job may run until a lease is over`,
    );
  const usualMarginMs = reportMs * MARGIN_REPORTS;
  const silentAfterMs = availableMs - Math.min(usualMarginMs, availableMs / 2);
  const isTight = availableMs / 2 < usualMarginMs;
  const caution = `cancel_s is little more than lease_s: without the state service a controller leads for ${(silentAfterMs / 1000).toFixed(1)} s`;
  return { silentAfterMs, cautions: isTight ? [caution] : [] };
}

/** Derives the settings of a controller. Throws SettingsError if the settings contradict each other. */
export function derive(platform: PlatformSettings, operators: OperatorSettings): Settings {
  const { workers } = platform.deployment;
  const leaseMs = workers.lease_s * 1000;
  const reportMs = workers.report_s * 1000;
  const expiryMs = leaseMs * (1 + 2 * DRIFT) + reportMs / 5;
  const { silentAfterMs, cautions } = deriveSilence(workers.cancel_s, leaseMs, reportMs);
  const nodes = [platform.host_name, ...platform.known.map((peer) => peer.host_name)].sort();
  return {
    platform,
    operators,
    state: stateLimits(platform.deployment.state),
    self: platform.host_name,
    maxMachines: Math.max(1, Math.floor(platform.deployment.quota.sockets * MACHINES_PER_SOCKET)),
    nodes,
    cautions,
    timing: {
      leaseMs,
      reportMs,
      silentAfterMs,
      expiryMs,
      presenceMs: leaseMs / 2,
      contactMs: leaseMs / 8,
      stateTimeoutMs: leaseMs / 9,
      workerTimeoutMs: reportMs * 0.8,
      silentMs: reportMs * 2,
      stallMs: reportMs / 2,
      passGapMs: reportMs / 125,
    },
  };
}

/** Returns the tightest time limit among the objectives of one kind for a job class, in seconds; Infinity if there is none. */
export function objectiveS(platform: PlatformSettings, kind: string, klass: string | undefined): number {
  let minS = Infinity;
  for (const objective of platform.deployment.objectives) {
    if (objective.kind === kind && objective.class === klass && objective.within_s !== undefined) minS = Math.min(minS, objective.within_s);
  }
  return minS;
}
