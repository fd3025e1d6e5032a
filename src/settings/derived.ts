import type { OperatorSettings } from "./operators.js";
import type { PlatformSettings } from "./platform-file.js";

/** Clocks of different machines drift apart by at most this (PROTOCOL). */
const DRIFT = 0.0005;

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
}

/**
 * The limits change without notice, and what was written before has to be written again
 * after: so from the beginning nothing is larger or more frequent than both allow.
 */
function stateLimits({ next, ...now }: PlatformSettings["deployment"]["state"]): StateLimits {
  const least = (key: keyof typeof now): number => Math.min(now[key], next[key] ?? Infinity);
  return { rps: least("rps"), writeRps: least("write_rps"), valueKb: least("value_kb"), txnOps: least("txn_ops") };
}

export function derive(platform: PlatformSettings, operators: OperatorSettings): Settings {
  const { workers } = platform.deployment;
  const leaseMs = workers.lease_s * 1000;
  const reportMs = workers.report_s * 1000;
  const expiryMs = leaseMs * (1 + 2 * DRIFT) + reportMs / 5;
  // A cancellation told elsewhere at the moment of our last proof must have
  // cleared by cancel_s: we fall silent, then the lease runs out.
  const silentAfterMs = Math.max(reportMs, workers.cancel_s * 1000 * (1 - DRIFT) - expiryMs - reportMs);
  const nodes = [platform.host_name, ...platform.known.map((peer) => peer.host_name)].sort();
  return {
    platform,
    operators,
    state: stateLimits(platform.deployment.state),
    self: platform.host_name,
    mostMachines: Math.max(1, Math.floor(platform.deployment.quota.sockets * MACHINES_PER_SOCKET)),
    nodes,
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
