import type { Controller } from "../controller.js";
import { keys, type AllotmentRecord } from "../ledger/records.js";
import { LEVELS } from "../overload/levels.js";
import { estimateWaits, utilization } from "../queue/estimate.js";

const SHOWN_RECOVERIES = 10;

/** The cluster as this node sees it, for the person on call. */
export function clusterView(controller: Controller): Record<string, unknown> {
  const { settings, configuration, mirror, rentals, needs, presence, detector, ownership, leader, exchange, fitness, stalls, overload } =
    controller;
  const machines = [...rentals.all()];
  const parts = settings.nodes.map((_, id) => {
    const part = leader.parts.get(id);
    const owner = ownership.owner(id);
    const recorded = machines.filter((m) => m.part === id);
    const base = {
      part: id,
      owner: owner?.owner ?? null,
      ownerPresent: owner !== undefined && ownership.alive(owner.owner),
      term: mirror.stamp(keys.owner(id)),
      machines: recorded.length,
      machinesUp: recorded.filter((m) => m.addr !== null).length,
    };
    if (part === undefined) return base;
    const waits = [...estimateWaits(part, exchange.estimateContext()).values()].filter(Number.isFinite);
    return {
      ...base,
      phase: part.phase,
      queuedJobs: [...part.units.values()].filter((u) => u.waiting.length > 0).length,
      queuedTasks: [...part.units.values()].reduce((n, u) => n + u.waiting.length, 0),
      longestWaitS: waits.length === 0 ? 0 : Math.round(Math.max(...waits) / 100) / 10,
      utilization: part.machines.size === 0 ? null : Math.round(utilization(part) * 100) / 100,
    };
  });
  const allotments = configuration.teams.map(({ name }) => {
    const record = mirror.get<AllotmentRecord>(keys.allotment(name))?.v;
    return { team: name, cpus: record?.cpus ?? [], gpus: record?.gpus ?? [] };
  });
  return {
    node: settings.self,
    ready: controller.unready() ?? "yes",
    stateAgeMs: Number.isFinite(mirror.ageMs()) ? Math.round(mirror.ageMs()) : null,
    silent: presence.silentNodes(),
    doubt: { ...detector.stats, ...Object.fromEntries(settings.nodes.map((node) => [node, detector.standing(node)])) },
    cutOffFromWorkers: fitness.unfit,
    overload: { level: LEVELS[overload.level], ...overload.measured, ...overload.stats },
    served: leader.account.view(),
    stalls: stalls.count,
    stoodStillMs: stalls.ms,
    present: settings.nodes.filter((node) => ownership.alive(node)),
    jobsWaitingForOthers: needs.waiting,
    parts,
    configuration: { version: configuration.version, inForce: configuration.inForce() },
    allotments,
    calls: Object.fromEntries([...controller.calls.all()].map(({ operation, stats }) => [operation, stats])),
    callBudgets: Object.fromEntries(controller.calls.budgets().filter(([, left]) => Number.isFinite(left))),
    recoveries: leader.recovery.spans.slice(-SHOWN_RECOVERIES),
  };
}
