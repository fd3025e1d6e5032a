/** Records machines that have come up. */
import type { GroupCommitter } from "../ledger/group-committer.js";
import type { StateReplica } from "../ledger/state-replica.js";
import { keys, type RentalRecord } from "../ledger/records.js";
import type { RentalIndex } from "../ledger/rentals.js";
import type { Machine } from "../workers/machine.js";
import type { LeaderContext } from "../partitions/leader-context.js";
import type { Partition } from "../partitions/partition.js";

/** Marks machines as up in their rental records; a machine receives work only after that. */
export class MachineStartup {
  /** Keys of rental records that are being written. */
  private readonly pending = new Set<string>();

  constructor(
    private readonly context: LeaderContext,
    private readonly replica: StateReplica,
    private readonly rentals: RentalIndex,
    private readonly committer: GroupCommitter,
  ) {}

  /** Records all machines of this machine's rental that have come up, in one write. */
  record(partition: Partition, machine: Machine): void {
    const key = this.rentals.get(machine.host)?.key;
    if (key === undefined || machine.addr === null || this.pending.has(key)) return;
    this.pending.add(key);
    const reportedAddress = (host: string): string | null => {
      const current = partition.machines.get(host);
      return current === undefined || current.lastReceivedAt === -Infinity || current.deleting ? null : current.addr;
    };
    const draft = () => {
      const entry = this.replica.get<RentalRecord>(key);
      if (entry?.v.hosts === undefined || this.replica.stamp(keys.owner(partition.id)) !== partition.term) return null;
      const hosts = { ...entry.v.hosts };
      let changed = 0;
      for (const [host, addr] of Object.entries(hosts)) {
        const address = addr === "" ? reportedAddress(host) : null;
        if (address === null) continue;
        hosts[host] = address;
        changed++;
      }
      if (changed === 0) return null;
      return {
        conditions: [
          { k: key, stamp: entry.stamp },
          { k: keys.owner(partition.id), stamp: partition.term },
        ],
        apply: [{ write: key, v: { ...entry.v, hosts } satisfies RentalRecord }],
      };
    };
    void this.committer.commit("up", draft, { priority: "soon" }).then((outcome) => {
      this.pending.delete(key);
      if (outcome === "shed") return;
      // Records the rental's machines that came up during the write.
      const hosts = this.replica.get<RentalRecord>(key)?.v.hosts ?? {};
      const remaining = Object.entries(hosts).find(([host, addr]) => addr === "" && reportedAddress(host) !== null);
      const next = remaining === undefined ? undefined : partition.machines.get(remaining[0]);
      if (next !== undefined && this.context.partitions.get(partition.id) === partition) this.record(partition, next);
      this.context.requestSchedulingCycle();
    });
  }
}
