import type { Placement } from "../queue/task-set.js";
import type { TerminationProof } from "../workers/termination-proof.js";

/**
 * How an attempt at a task ended. `stopped`: by an order of this controller, for urgent work or a team's guaranteed
 * resources, after a notice that the cloud reclaims the machine, or with its gang; `mates`: other members of its gang did not start
 * or ended; `refused`: the worker did not accept it; `machine`: lost with its machine or the machine's lease;
 * `withdrawn`: its job is finished or cancelled; `unseen`: it never existed on the machine.
 */
export const ATTEMPT_ENDS = ["done", "stopped", "mates", "error", "refused", "machine", "withdrawn", "unseen"] as const;
export type AttemptEnd = (typeof ATTEMPT_ENDS)[number];

/** An attempt that has ended, with its cause. */
export interface EndedAttempt {
  placement: Placement;
  end: AttemptEnd;
  /** Why the attempt can no longer be on its machine. */
  proof: TerminationProof;
  /** Observed run time of the attempt in seconds; 0 if it was never seen to run. */
  ranS: number;
  /** True if the task's progress was saved when the attempt was stopped. */
  kept: boolean;
}

/**
 * Counters of one job class: attempts seen to begin, how they ended, and what they used in core and accelerator seconds.
 */
export interface ClassAccount {
  begun: number;
  /** Number of attempts that were seen to run, by how they ended. */
  ends: Record<AttemptEnd, number>;
  /** Number of attempts that ended before they ran: while fetching their image, or waiting for their gang. */
  neverRan: number;
  usefulCoreS: number;
  lostCoreS: number;
  usefulGpuS: number;
  lostGpuS: number;
}

/** Maximum number of job classes counted separately, because class names come from users; further classes are counted together. */
const MAX_CLASSES = 50;
const OTHER_CLASSES = "(other)";

function emptyAccount(): ClassAccount {
  const ends = Object.fromEntries(ATTEMPT_ENDS.map((end) => [end, 0])) as Record<AttemptEnd, number>;
  return { begun: 0, ends, neverRan: 0, usefulCoreS: 0, lostCoreS: 0, usefulGpuS: 0, lostGpuS: 0 };
}

/**
 * Counts by job class, since this controller started, what became of the work in the partitions that it owned: whether
 * begun work was finished, and why work was lost. Every attempt seen to begin is counted under exactly one way of
 * ending, or still runs.
 */
export class ClassAccounting {
  private readonly classes = new Map<string, ClassAccount>();

  private of(klass: string): ClassAccount {
    const name = this.classes.has(klass) || this.classes.size < MAX_CLASSES ? klass : OTHER_CLASSES;
    let account = this.classes.get(name);
    if (account === undefined) this.classes.set(name, (account = emptyAccount()));
    return account;
  }

  /** Counts an attempt that was seen to begin running. */
  recordStart({ taskSet }: Placement): void {
    this.of(taskSet.spec.klass).begun++;
  }

  /** Counts the end of an attempt and the time that it used. */
  recordEnd({ placement, end, ranS, kept }: EndedAttempt): void {
    const { spec } = placement.taskSet;
    const account = this.of(spec.klass);
    if (placement.runningAt === null) {
      account.neverRan++;
      return;
    }
    account.ends[end]++;
    if (end === "done" || kept) {
      account.usefulCoreS += ranS * spec.cpus;
      account.usefulGpuS += ranS * spec.gpus;
    } else {
      account.lostCoreS += ranS * spec.cpus;
      account.lostGpuS += ranS * spec.gpus;
    }
  }

  /** Returns the counters by job class, with seconds rounded to integers. */
  view(): Record<string, ClassAccount> {
    return Object.fromEntries(
      [...this.classes].map(([klass, account]) => {
        const rounded = Object.entries(account).map(([name, value]) => [name, typeof value === "number" ? Math.round(value) : value]);
        return [klass, Object.fromEntries(rounded) as unknown as ClassAccount];
      }),
    );
  }
}
