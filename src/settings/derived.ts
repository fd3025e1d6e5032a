import type { OperatorSettings } from "./operators.js";
import { SettingsError, type PlatformSettings } from "./platform-file.js";

/** Clocks of different machines drift apart by at most this (PROTOCOL). */
export const DRIFT = 0.0005;

/** Report intervals that are kept between the end of a lease and the end of a cancellation's time. */
const KEPT_REPORTS = 1.2;

/** A leader needs the rest for users, commands, and a part that it takes over. */
const MACHINES_PER_SOCKET = 0.45;

/** Figures the service works with, each a ratio to one of the settings. */
export interface Timing {
  leaseMs: number;
  reportMs: number;
  /** Without proof of contact for this long, a node must not lead its part. */
  silentAfterMs: number;
  /** After the last valid answer, a worker's tasks are gone by then. */
  expiryMs: number;
  /** A node whose presence was not renewed for this long counts as gone. */
  presenceMs: number;
  /** A mirror older than this means that the state service is out of reach. */
  contactMs: number;
  stateTimeoutMs: number;
  workerTimeoutMs: number;
  /** A machine unheard of for this long gets no new work. */
  silentMs: number;
  /** A process that does nothing for this long stood still. */
  stallMs: number;
  /** Between placement passes over few machines: events that come closer share one. */
  passGapMs: number;
}

/** What the state service takes, now and later. */
export interface StateLimits {
  rps: number;
  writeRps: number;
  valueKb: number;
  txnOps: number;
}

export interface Settings {
  platform: PlatformSettings;
  state: StateLimits;
  operators: OperatorSettings;
  timing: Timing;
  /** More machines than this a part does not take: each holds a socket of its leader. */
  mostMachines: number;
  /** All controllers in one agreed order; parts have the same numbers. */
  nodes: string[];
  self: string;
  /** What the settings leave less room for than usual; said at the start and by `check`. */
  cautions: string[];
}

/**
 * The limits change without notice, and what was written before has to be written again
 * after: so from the beginning nothing is larger or more frequent than both allow.
 */
function stateLimits({ next, ...now }: PlatformSettings["deployment"]["state"]): StateLimits {
  const least = (key: keyof typeof now): number => Math.min(now[key], next[key] ?? Infinity);
  return { rps: least("rps"), writeRps: least("write_rps"), valueKb: least("value_kb"), txnOps: least("txn_ops") };
}

/**
 * A cancellation told elsewhere at the moment of our last proof must have cleared by cancel_s: we fall silent,
 * then the lease that our last answer renewed runs out (docs/design/meetings.md). A report interval and a fifth
 * are kept for late timers and stalls; where cancel_s leaves no more than twice that, half of what it leaves: silence
 * comes sooner, and never later than the rule bears.
 */
function silence(cancelS: number, leaseMs: number, reportMs: number): { silentAfterMs: number; cautions: string[] } {
  const roomMs = cancelS * 1000 * (1 - DRIFT) - leaseMs * (1 + 2 * DRIFT);
  if (roomMs <= 0)
    throw new SettingsError(
      `deployment.workers.cancel_s: ${cancelS}: expected more than lease_s (${leaseMs / 1000}): tasks of a cancelled job may run until a lease is over`,
    );
  const usualMs = reportMs * KEPT_REPORTS;
  const silentAfterMs = roomMs - Math.min(usualMs, roomMs / 2);
  const tight = roomMs / 2 < usualMs;
  const told = `cancel_s is little more than lease_s: without the state service a controller leads for ${(silentAfterMs / 1000).toFixed(1)} s`;
  return { silentAfterMs, cautions: tight ? [told] : [] };
}

export function derive(platform: PlatformSettings, operators: OperatorSettings): Settings {
  const { workers } = platform.deployment;
  const leaseMs = workers.lease_s * 1000;
  const reportMs = workers.report_s * 1000;
  const expiryMs = leaseMs * (1 + 2 * DRIFT) + reportMs / 5;
  const { silentAfterMs, cautions } = silence(workers.cancel_s, leaseMs, reportMs);
  const nodes = [platform.host_name, ...platform.known.map((peer) => peer.host_name)].sort();
  return {
    platform,
    operators,
    state: stateLimits(platform.deployment.state),
    self: platform.host_name,
    mostMachines: Math.max(1, Math.floor(platform.deployment.quota.sockets * MACHINES_PER_SOCKET)),
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

/** The least time the objectives of a kind allow a class; infinite: none. */
export function aimS(platform: PlatformSettings, kind: string, klass: string | undefined): number {
  let least = Infinity;
  for (const aim of platform.deployment.objectives) {
    if (aim.kind === kind && aim.class === klass && aim.within_s !== undefined) least = Math.min(least, aim.within_s);
  }
  return least;
}
