import type { Scope } from "../platform/scope.js";
import { pieceName, type Placement } from "../queue/unit.js";
import type { Part } from "./part.js";

/**
 * The last look before a start leaves: no other attempt of its task may be on a machine. The scheduling cycle does not
 * place such a task, so a start that is refused here is a defect, or a report that contradicts what was proven. The
 * attempt stays counted and is ordered once the others are proven gone.
 */
export class StartGuard {
  private readonly reported = new WeakSet<Placement>();

  constructor(private readonly scope: Scope) {}

  refused(partition: Part, placement: Placement, others: readonly Placement[]): void {
    if (this.reported.has(placement)) return;
    this.reported.add(placement);
    const shown = (one: Placement): Record<string, unknown> => {
      const { attempt, host, state, direct, stop } = one;
      const machine = partition.machines.get(host);
      return { attempt, host, session: machine?.session, state, direct, stopping: stop !== null, fenced: machine?.fenced };
    };
    this.scope.invariants.violated("a task starts only if no other attempt of it may be on a machine", {
      part: partition.id,
      term: partition.term,
      piece: pieceName(placement.unit, placement.task),
      refused: shown(placement),
      others: others.map(shown),
    });
  }
}
