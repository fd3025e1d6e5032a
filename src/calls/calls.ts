import { NoReply } from "@thorntrail/protocol/errors";
import { OverRate, TooLarge } from "@thorntrail/protocol/state";
import { Subject, take } from "rxjs";
import type { Clock } from "../platform/clock.js";
import { backoffMs, RetryBudget } from "./pauses.js";
import type { Operation, CallPolicy, Target } from "./policy.js";

/**
 * Repetitions that a target's budget holds at most, and what each answer adds to it.
 * Peers are few and are not asked but connected to; each tries alone.
 */
const RETRY_BUDGETS: Record<Target, { max: number; perAnswer: number }> = {
  state: { max: 10, perAnswer: 0.1 },
  cloud: { max: 10, perAnswer: 0.2 },
  worker: { max: 20, perAnswer: 0.1 },
  peer: { max: Infinity, perAnswer: 0 },
};

/** What a target was last seen to do, shared by all calls to it. */
class TargetCondition {
  readonly budget: RetryBudget;
  /** Answers again, after it did not. */
  readonly recovered$ = new Subject<void>();
  private failing = false;

  constructor(target: Target) {
    this.budget = new RetryBudget(RETRY_BUDGETS[target].max, RETRY_BUDGETS[target].perAnswer);
  }

  failed(): void {
    this.failing = true;
  }

  answered(): void {
    this.budget.answered();
    if (!this.failing) return;
    this.failing = false;
    this.recovered$.next();
  }
}

export interface CallStats {
  asked: number;
  answered: number;
  /** Certainly not executed. */
  refused: number;
  /** Perhaps executed. */
  unanswered: number;
  /** Not sent: whoever asked had no time left. */
  expired: number;
  /** Pauses taken before a repetition, and how many were long because the budget was spent. */
  pauses: number;
  longPauses: number;
  /** Pauses that ended early because the target answered something else. */
  woken: number;
}

/** How one operation is asked for, given up and repeated. */
export class Caller {
  readonly stats: CallStats = { asked: 0, answered: 0, refused: 0, unanswered: 0, expired: 0, pauses: 0, longPauses: 0, woken: 0 };
  /** Failures in a row. */
  private failures = 0;

  constructor(
    readonly operation: Operation,
    readonly policy: CallPolicy,
    private readonly condition: TargetCondition,
    private readonly clock: Clock,
    private readonly random: () => number,
  ) {}

  /**
   * Asks once. `act` is handed the time it has, in ms: the policy's limit, or what is left
   * until `deadline` (steady ms) if that is less. Past the deadline nothing is sent, and the
   * call counts as refused: nobody waits for what it would do.
   */
  async ask<T>(act: (limitMs: number) => Promise<T>, deadline = Infinity): Promise<T> {
    const limitMs = Math.min(this.policy.limitMs, deadline - this.clock.now());
    if (limitMs <= 0) {
      this.stats.expired++;
      throw new NoReply("refused", `${this.operation}: no time left to ask`);
    }
    this.stats.asked++;
    try {
      const answer = await act(limitMs);
      this.answered();
      return answer;
    } catch (error) {
      // Too large is an answer, and the only one that this will ever get.
      if (!(error instanceof NoReply) || error instanceof TooLarge) this.answered();
      else this.failed(error);
      throw error;
    }
  }

  /** To be called by whoever does not ask through here, as links that stay open. */
  answered(): void {
    this.stats.answered++;
    this.failures = 0;
    this.condition.answered();
  }

  private failed(error: NoReply): void {
    this.stats[error.kind]++;
    this.failures++;
    // Told to come less often: it answers, but pauses must not be cut short for it.
    if (!(error instanceof OverRate)) this.condition.failed();
  }

  /** May a call that failed so have done something, or do it yet? */
  mayHaveActed({ kind }: NoReply): boolean {
    return kind === "unanswered" && this.policy.unanswered !== "nothing";
  }

  /** How long to wait before asking again, in ms; `failures` in a row if the caller counts its own. */
  pauseMs(failures = this.failures): number {
    this.stats.pauses++;
    if (this.condition.budget.spend()) return backoffMs(this.policy, failures, this.random());
    this.stats.longPauses++;
    return backoffMs(this.policy, Infinity, this.random());
  }

  /**
   * Resolves when it is time to ask again. Ends early, though not before the first pause,
   * when the target answers anything at all: in an outage all duties wait long, and one
   * that finds it over spares the others the rest of their pauses.
   */
  rest(failures = this.failures): Promise<void> {
    const wholeMs = this.pauseMs(failures);
    const leastMs = Math.min(wholeMs, backoffMs(this.policy, 1, this.random()));
    return new Promise((resolve) => {
      let soonest = false;
      let back = false;
      const settle = (): void => {
        cancelLeast();
        cancelWhole();
        waiting.unsubscribe();
        resolve();
      };
      const cancelWhole = this.clock.after(wholeMs, settle);
      const cancelLeast = this.clock.after(leastMs, () => {
        soonest = true;
        if (back) settle();
      });
      const waiting = this.condition.recovered$.pipe(take(1)).subscribe(() => {
        back = true;
        this.stats.woken++;
        if (soonest) settle();
      });
    });
  }
}

/** All calls to the outside, one caller an operation. */
export class Calls {
  private readonly callers = new Map<Operation, Caller>();
  private readonly conditions = new Map<Target, TargetCondition>();

  constructor(clock: Clock, policies: Record<Operation, CallPolicy>, luck: () => number) {
    for (const [operation, policy] of Object.entries(policies) as [Operation, CallPolicy][]) {
      let condition = this.conditions.get(policy.target);
      if (condition === undefined) this.conditions.set(policy.target, (condition = new TargetCondition(policy.target)));
      this.callers.set(operation, new Caller(operation, policy, condition, clock, luck));
    }
  }

  of(operation: Operation): Caller {
    return this.callers.get(operation)!;
  }

  all(): Iterable<Caller> {
    return this.callers.values();
  }

  /** Repetitions left before calls to a target wait for the longest pause. */
  budgets(): [Target, number][] {
    return [...this.conditions].map(([target, { budget }]) => [target, budget.remaining]);
  }
}
