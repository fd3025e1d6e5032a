import { stringify } from "smol-toml";
import type { MachineType } from "../../packages/protocol/src/cloud.js";
import type { TeamSettings } from "../../src/settings/platform-file.js";
import type { PlannedJob } from "./messages.js";

/** The plan of a test cluster, and the settings of its store and controllers. */

/** Timeouts and intervals of workers and the cloud. */
export const TIMING = { reportMs: 2500, leaseMs: 18_000, gangWaitMs: 35_000, gangPeerMs: 4000, cancelMs: 43_000, listLagMs: 3000 };

/** Size, settings and jobs of a test cluster. */
export interface ClusterPlan {
  controllers: number;
  teams: TeamSettings[];
  objectives: { kind: string; class?: string; within_s: number; share: number }[];
  types: MachineType[];
  /** Number of machines that the cloud has, by `type/zone/ordinary` and `type/zone/spot`. */
  capacity: Map<string, number>;
  jobs: PlannedJob[];
  /** Number of processes among which the hollow workers are divided. */
  workerProcesses: number;
  /** Limits of the state service. */
  state: { rps: number; writeRps: number; valueKb: number; txnOps: number };
  /** Rate limit of the cloud for each controller, in requests per second. */
  cloudRps: number;
  /** Quota of each controller: sockets and memory. */
  sockets: number;
  memMb: number;
  /** Rate of polls of random accepted jobs. */
  pollsPerS: number;
  /** Whether each job is polled until it is done; true by default. */
  pollUntilDone?: boolean;
  seed: number;
}

/** Returns the store's settings in HCL. */
export function storeSettings(plan: ClusterPlan): string {
  const { rps, writeRps, valueKb, txnOps } = plan.state;
  const limits = { requests_per_second: rps, changes_per_second: writeRps, value_kb: valueKb, changes_per_transaction: txnOps };
  const block = Object.entries(limits).map(([name, value]) => `  ${name} = ${value}\n`);
  return `limits {\n${block.join("")}}\nconnections = 8000\n`;
}

/** Returns the settings of the controller `name` in TOML; `addresses` are those of the controller, its peers and its services. */
export function controllerSettings(plan: ClusterPlan, name: string, addresses: Record<string, unknown>): string {
  const zones = [...new Set(plan.types.flatMap((type) => type.zones))];
  const workerSettings = Object.fromEntries(
    (["report", "lease", "gangWait", "gangPeer", "cancel"] as const).map((setting) => [
      `${setting.replace(/[A-Z]/, (c) => `_${c.toLowerCase()}`)}_s`,
      TIMING[`${setting}Ms`] / 1000,
    ]),
  );
  const { rps, writeRps, valueKb, txnOps } = plan.state;
  const deployment = {
    size: plan.controllers,
    zones,
    clock_off_ms: 1000,
    teams: plan.teams,
    objectives: plan.objectives,
    workers: workerSettings,
    state: { rps, write_rps: writeRps, value_kb: valueKb, txn_ops: txnOps },
    cloud: { rps: plan.cloudRps * plan.controllers, list_lag_s: TIMING.listLagMs / 1000 },
    quota: { core_share: 1, mem_mb: plan.memMb, sockets: plan.sockets },
  };
  return stringify({ host_name: name, area: "a", ...addresses, deployment });
}
