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

/**
 * Time, in leases of a worker, for which a discard waits for an answer that raises the token without causing a further report, and
 * for another write to make a new revision.
 */
const MAX_HOLD_LEASES = 1;
/** Share of the limit on exited attempts from which a discard does not wait. */
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
   * Raises the machine's token if a newer revision is known and it is time to. Called before the answer to its newest report is
   * built, which then carries the new token, if attempts wait to be discarded. A worker reports a higher token soon; if
   * attempts have just exited it will report soon anyway, because others start in their place. A command in flight would be
   * refused under the higher token, so the token is then raised in the answer to a later report.
   */
  raise(partition: Partition, machine: Machine): void {
    const { now, audit, stats } = this.context;
    const heldMs = now - (machine.clearHeldSince ??= now);
    const overdue = this.isOverdue(machine, heldMs);
    if (machine.commandInFlight || !(overdue || machine.exitedSinceReport)) return;
    const revision = this.ownedRevision(partition);
    if (revision === null || revision <= machine.grantedToken) {
      if (overdue) this.requestRevision(partition, machine.grantedToken);
      return;
    }
    const from = machine.grantedToken;
    raiseToken(partition, machine, revision);
    stats.tokensRaised++;
    audit.logTokenRaised(partition, machine, from, heldMs);
    machine.clearHeldSince = null;
  }

  /** Newest revision at which this owner is known to have held the partition; null if the partition has a later owner. */
  private ownedRevision(partition: Partition): number | null {
    return this.replica.stamp(keys.owner(partition.id)) === partition.term ? this.replica.completeRevision : null;
  }

  /** Returns whether the machine's discards have waited long enough, or are too many to wait. */
  private isOverdue({ exited }: Machine, heldMs: number): boolean {
    return heldMs >= this.context.settings.timing.leaseMs * MAX_HOLD_LEASES || exited.size >= MAX_EXITED_WITH_DIRECT_STARTS * URGENT_SHARE;
  }

  /** Writes a revision above `neededAbove` unless such a write is pending. One write serves all machines of the partition. */
  private requestRevision(partition: Partition, neededAbove: number): void {
    if (this.writing.has(partition.id)) return;
    this.writing.add(partition.id);
    const key = keys.token(partition.id);
    const draft = () => {
      const revision = this.ownedRevision(partition);
      if (revision === null || revision > neededAbove) return null;
      return {
        conditions: [
          { k: keys.owner(partition.id), stamp: partition.term },
          { k: key, stamp: this.replica.stamp(key) },
        ],
        apply: [{ write: key, v: { term: partition.term } satisfies TokenRecord }],
      };
    };
    const { leaseMs } = this.context.settings.timing;
    void this.committer.commit("token", draft, { shedAfterMs: leaseMs }).then(() => this.writing.delete(partition.id));
  }
}
