/**
 * Raises the token of a worker, so that it refuses copies of the direct starts that were sent under a lower one and exited
 * attempts can be discarded. The new token is a revision of the state service at which this owner held the partition: every
 * later owner's term is above it. Not responsible for which attempts are discarded.
 */
import type { GroupCommitter } from "../ledger/group-committer.js";
import { keys, type TokenRecord } from "../ledger/records.js";
import type { StateReplica } from "../ledger/state-replica.js";
import type { Machine } from "../workers/machine.js";
import { MAX_EXITED_WITH_DIRECT_STARTS } from "../workers/orders.js";
import type { LeaderContext } from "./leader-context.js";
import { raiseToken, type Partition } from "./partition.js";

/** Time, as a share of a worker's lease, for which a discard waits for a new revision before this owner writes one itself. */
const MAX_WAIT_LEASES = 1 / 2;
/** Share of the limit on exited attempts at which this owner writes a new revision without waiting. */
const URGENT_SHARE = 1 / 2;

/** Raises tokens of workers, and writes to the state service if no other write makes a new revision for a while. */
export class TokenRaiser {
  /** Partitions for which a write that makes a new revision is pending. */
  private readonly writing = new Set<number>();

  constructor(
    private readonly context: LeaderContext,
    private readonly replica: StateReplica,
    private readonly committer: GroupCommitter,
  ) {}

  /**
   * Raises the machine's token if a newer revision is known. Called before the answer to its newest report is built, which then
   * carries the new token, if attempts wait to be discarded. A command in flight would be refused under the higher token, so
   * the token is raised in the answer to a later report then.
   */
  raise(partition: Partition, machine: Machine): void {
    const { now, audit, stats } = this.context;
    machine.clearHeldSince ??= now;
    if (machine.commandInFlight) return;
    const revision = this.ownedRevision(partition);
    if (revision === null || revision <= machine.grantedToken) return this.requestRevision(partition, machine);
    const from = machine.grantedToken;
    raiseToken(partition, machine, revision);
    stats.tokensRaised++;
    audit.logTokenRaised(partition, machine, from, now - machine.clearHeldSince);
    machine.clearHeldSince = null;
  }

  /** Newest revision at which this owner is known to have held the partition; null if the partition has a later owner. */
  private ownedRevision(partition: Partition): number | null {
    return this.replica.stamp(keys.owner(partition.id)) === partition.term ? this.replica.completeRevision : null;
  }

  /** Writes a new revision if the machine's discards have waited long enough, or are many. One write serves all machines. */
  private requestRevision(partition: Partition, machine: Machine): void {
    const waitedMs = this.context.now - (machine.clearHeldSince ?? this.context.now);
    const isUrgent = machine.exited.size >= MAX_EXITED_WITH_DIRECT_STARTS * URGENT_SHARE;
    const { leaseMs } = this.context.settings.timing;
    if (this.writing.has(partition.id) || (!isUrgent && waitedMs < leaseMs * MAX_WAIT_LEASES)) return;
    this.writing.add(partition.id);
    const key = keys.token(partition.id);
    const neededAbove = machine.grantedToken;
    const draft = () => {
      const revision = this.ownedRevision(partition);
      if (revision === null || revision > neededAbove) return null;
      return {
        conditions: [
          { k: keys.owner(partition.id), stamp: partition.term },
          { k: key, stamp: this.replica.stamp(key) },
        ],
        apply: [{ write: key, v: { term: partition.term, above: neededAbove } satisfies TokenRecord }],
      };
    };
    void this.committer.commit("token", draft, { shedAfterMs: leaseMs }).then(() => this.writing.delete(partition.id));
  }
}
