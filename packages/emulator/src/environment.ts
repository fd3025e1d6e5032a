/** Timing of test environments, and conversion of a plan (machines, workload and faults) to the platform's settings. */
import type { MachineType } from "@thorntrail/protocol/cloud";
import type { RehearsalPlan } from "./plan.js";

/** Timing parameters that plan files do not define, in ms; `cloudRps` is the cloud's limit in requests per second. */
export interface Timing {
  reportMs: number;
  leaseMs: number;
  gangWaitMs: number;
  gangPeerMs: number;
  cancelMs: number;
  listLagMs: number;
  cloudRps: number;
}

/** Timing of production installations. */
export const DEFAULT_TIMING: Timing = {
  reportMs: 2500,
  leaseMs: 18_000,
  gangWaitMs: 35_000,
  gangPeerMs: 4000,
  cancelMs: 43_000,
  listLagMs: 3000,
  cloudRps: 5,
};

/** Shorter times, for runs that a user or a test waits for, such as the demonstration. */
export const FAST_TIMING: Timing = {
  ...DEFAULT_TIMING,
  reportMs: 1000,
  leaseMs: 6000,
  gangWaitMs: 12_000,
  gangPeerMs: 2000,
  cancelMs: 15_000,
  listLagMs: 1000,
  cloudRps: 10,
};

/** Converts a plan to the platform's `deployment` settings and to the machine types and capacity of the cloud model. */
export function buildPlatform(
  plan: RehearsalPlan,
  timing: Timing,
): { deployment: Record<string, unknown>; types: MachineType[]; capacity: Map<string, number> } {
  const capacity = new Map<string, number>();
  const types = plan.machine.map((one): MachineType => {
    for (const zone of one.zones) {
      capacity.set(`${one.name}/${zone}/ordinary`, one.count);
      capacity.set(`${one.name}/${zone}/spot`, one.spot);
    }
    const { name, cpus, gpus, ram, price, boot, zones } = one;
    return { name, cpus, gpus, ram, cacheGb: 100, fetchGbPerS: 1, price, spotPrice: one.spot_price, bootS: boot, zones };
  });
  const deployment = {
    size: plan.controllers,
    zones: [...new Set(plan.machine.flatMap((one) => one.zones))],
    clock_off_ms: 1000,
    teams: plan.team.map(({ name, cpus, most_cpus, gpus, most_gpus }) => ({ name, cpus, cpus_max: most_cpus, gpus, gpus_max: most_gpus })),
    objectives: plan.work
      .filter((one) => one.deadline !== undefined)
      .map((one) => ({ kind: "finished", class: one.name, within_s: one.deadline!, share: 0.95 })),
    workers: {
      report_s: timing.reportMs / 1000,
      lease_s: timing.leaseMs / 1000,
      gang_wait_s: timing.gangWaitMs / 1000,
      gang_peer_s: timing.gangPeerMs / 1000,
      cancel_s: timing.cancelMs / 1000,
    },
    state: { rps: plan.state.rps, write_rps: plan.state.writes, value_kb: plan.state.value_kb, txn_ops: plan.state.changes },
    cloud: { rps: timing.cloudRps, list_lag_s: timing.listLagMs / 1000 },
    quota: { core_share: 0.3, mem_mb: 178, sockets: 1500 },
  };
  return { deployment, types, capacity };
}
