import type { Controller } from "../controller.js";
import { keys, type QuotaShareRecord } from "../ledger/records.js";
import { LEVELS } from "../overload/levels.js";
import { estimateWaits, utilization } from "../queue/estimate.js";

const MAX_RECOVERIES_SHOWN = 10;

/** Returns the state of the cluster as this controller sees it, which operators read at /cluster. */
export function clusterView(controller: Controller): Record<string, unknown> {
  const { settings, configuration, replica, rentals, needs, presence, detector, ownership, leader, exchange, fitness, stalls, overload } =
    controller;
  const machines = [...rentals.all()];
  const partitions = settings.nodes.map((_, id) => {
    const partition = leader.partitions.get(id);
    const owner = ownership.owner(id);
    const recorded = machines.filter((machine) => machine.partition === id);
    const base = {
      part: id,
      owner: owner?.owner ?? null,
      ownerPresent: owner !== undefined && ownership.isPresent(owner.owner),
      term: replica.stamp(keys.owner(id)),
      machines: recorded.length,
      machinesUp: recorded.filter((machine) => machine.addr !== null).length,
    };
    if (partition === undefined) return base;
    const waits = [...estimateWaits(partition, exchange.estimateContext()).values()].filter(Number.isFinite);
    return {
      ...base,
      phase: partition.phase,
      queuedJobs: [...partition.taskSets.values()].filter((taskSet) => taskSet.waiting.length > 0).length,
      queuedTasks: [...partition.taskSets.values()].reduce((n, taskSet) => n + taskSet.waiting.length, 0),
      longestWaitS: waits.length === 0 ? 0 : Math.round(Math.max(...waits) / 100) / 10,
      utilization: partition.machines.size === 0 ? null : Math.round(utilization(partition) * 100) / 100,
    };
  });
  const quotaShares = configuration.teams.map(({ name }) => {
    const record = replica.get<QuotaShareRecord>(keys.quotaShare(name))?.v;
    return { team: name, cpus: record?.cpus ?? [], gpus: record?.gpus ?? [] };
  });
  return {
    node: settings.self,
    ready: controller.unreadyReason() ?? "yes",
    stateAgeMs: Number.isFinite(replica.ageMs()) ? Math.round(replica.ageMs()) : null,
    silent: presence.silentNodes(),
    doubt: { ...detector.stats, ...Object.fromEntries(settings.nodes.map((node) => [node, detector.status(node)])) },
    cutOffFromWorkers: fitness.unfit,
    overload: { level: LEVELS[overload.level], ...overload.measured, ...overload.stats },
    served: leader.account.view(),
    stalls: stalls.count,
    stoodStillMs: stalls.ms,
    present: settings.nodes.filter((node) => ownership.isPresent(node)),
    jobsWaitingForOthers: needs.blockedJobs,
    parts: partitions,
    configuration: { version: configuration.version, inForce: configuration.inForce() },
    allotments: quotaShares,
    calls: Object.fromEntries([...controller.calls.all()].map(({ operation, stats }) => [operation, stats])),
    callBudgets: Object.fromEntries(controller.calls.budgets().filter(([, left]) => Number.isFinite(left))),
    recoveries: leader.recovery.spans.slice(-MAX_RECOVERIES_SHOWN),
  };
}
