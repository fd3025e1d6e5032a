/** Periodic log line about each owned partition. */
import type { QuotaShares } from "../partitions/quota-shares.js";
import type { LeaderContext } from "../partitions/leader-context.js";
import { copyUsageByTeam, type Partition } from "../partitions/partition.js";

/** Logs the machines, queue, usage and quota shares of a partition, so that logs alone show waiting work and free capacity. */
export function summarize(context: LeaderContext, quotaShares: QuotaShares, partition: Partition): void {
  const types: Record<string, string> = {};
  for (const machine of partition.machines.values()) {
    const name = `${machine.type}${machine.spot ? "/spot" : ""}`;
    const [up, all] = (types[name] ?? "0/0").split("/").slice(-2).map(Number) as [number, number];
    types[name] = `${up + Number(machine.up && !machine.lost)}/${all + 1}`;
  }
  const waiting: Record<string, number> = {};
  for (const taskSet of partition.taskSets.values())
    if (taskSet.waiting.length > 0) waiting[taskSet.spec.klass] = (waiting[taskSet.spec.klass] ?? 0) + taskSet.waiting.length;
  const used = Object.fromEntries(
    [...copyUsageByTeam(partition)].map(([team, usage]) => [team, `${Math.round(usage.cpus)}c ${Math.round(usage.gpus)}g`]),
  );
  const held = Object.fromEntries(
    quotaShares.teams.map(({ name }) => {
      const share = quotaShares.grantedShare(partition.id, name);
      return [
        name,
        `${Number.isFinite(share.cpus) ? Math.round(share.cpus) : "-"}c ${Number.isFinite(share.gpus) ? Math.round(share.gpus) : "-"}g`,
      ];
    }),
  );
  context.scope.log.info({ part: partition.id, term: partition.term, phase: partition.phase, types, waiting, used, held }, "part");
}
