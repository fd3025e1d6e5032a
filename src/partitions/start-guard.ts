/** Reports task starts that were refused by the check made immediately before a start order is sent. */
import type { Scope } from "../platform/scope.js";
import { taskId, type Placement } from "../queue/task-set.js";
import type { Partition } from "../partitions/partition.js";

/**
 * Reports start orders that were refused because another attempt of the task may be on a machine. The scheduling
 * cycle does not place such a task, so a refusal is due to a defect or to a report that contradicts an earlier proof.
 * The refused attempt remains registered and is ordered once the others are proven gone.
 */
export class StartGuard {
  /** Attempts whose refused start has been reported already. */
  private readonly reported = new WeakSet<Placement>();

  constructor(private readonly scope: Scope) {}

  /** Reports a violated invariant for a refused start, once per attempt; `others` are the other attempts of the task. */
  reportRefusal(partition: Partition, placement: Placement, others: readonly Placement[]): void {
    if (this.reported.has(placement)) return;
    this.reported.add(placement);
    const describe = (one: Placement): Record<string, unknown> => {
      const { attempt, host, state, directStart: direct, stop } = one;
      const machine = partition.machines.get(host);
      return { attempt, host, session: machine?.session, state, direct, stopping: stop !== null, fenced: machine?.fenced };
    };
    this.scope.invariants.reportViolation("a task starts only if no other attempt of it may be on a machine", {
      part: partition.id,
      term: partition.term,
      piece: taskId(placement.taskSet, placement.task),
      refused: describe(placement),
      others: others.map(describe),
    });
  }
}
