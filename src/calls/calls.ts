import { CallError } from "@thorntrail/protocol/errors";
import { RateLimitError, RequestTooLargeError } from "@thorntrail/protocol/state";
import { Subject, take } from "rxjs";
import type { Clock } from "../platform/clock.js";
import { backoffMs, RetryBudget } from "./backoff.js";
import type { Operation, CallPolicy, Target } from "./policy.js";

/**
 * Retry budget per target (kind of process that is called): the maximum number of retries that it holds, and how much
 * each answer adds. Peers have no limit, since they are few and each connection is retried independently.
 */
const RETRY_BUDGETS: Record<Target, { max: number; perAnswer: number }> = {
  state: { max: 10, perAnswer: 0.1 },
  cloud: { max: 10, perAnswer: 0.2 },
  worker: { max: 20, perAnswer: 0.1 },
  peer: { max: Infinity, perAnswer: 0 },
};

/** Retry budget of a target (such as the state service) and whether it is failing, shared by all calls to it. */
class TargetCondition {
  readonly budget: RetryBudget;
  /** Emits when the target answers again after a failure. */
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

/** Counters of the calls of one operation. */
export interface CallStats {
  asked: number;
  answered: number;
  /** Calls that were certainly not executed. */
  refused: number;
  /** Calls that may have been executed. */
  unanswered: number;
  /** Calls that were not sent because their deadline had passed. */
  expired: number;
  /** Pauses before a retry, and how many of them had the maximum length because the retry budget was spent. */
  pauses: number;
  longPauses: number;
  /** Pauses that ended early because the target answered another call. */
  woken: number;
}

/** Applies one operation's policy to its calls: time limit, retry pauses and statistics. */
export class Caller {
  readonly stats: CallStats = { asked: 0, answered: 0, refused: 0, unanswered: 0, expired: 0, pauses: 0, longPauses: 0, woken: 0 };
  /** Number of consecutive failed calls of this operation. */
  private failures = 0;

  constructor(
    readonly operation: Operation,
    readonly policy: CallPolicy,
    private readonly condition: TargetCondition,
    private readonly clock: Clock,
    private readonly random: () => number,
  ) {}

  /**
   * Makes one call. `act` sends it and receives its time limit in ms: the operation's limit, or the time left until
   * `deadline` (in ms of the monotonic clock) if that is less. Past the deadline nothing is sent, and the call throws
   * CallError as refused.
   */
  async call<T>(act: (limitMs: number) => Promise<T>, deadline = Infinity): Promise<T> {
    const limitMs = Math.min(this.policy.limitMs, deadline - this.clock.now());
    if (limitMs <= 0) {
      this.stats.expired++;
      throw new CallError("refused", `${this.operation}: deadline passed before the call was sent`);
    }
    this.stats.asked++;
    try {
      const answer = await act(limitMs);
      this.answered();
      return answer;
    } catch (error) {
      // RequestTooLargeError counts as an answer: a retry would get the same one.
      if (!(error instanceof CallError) || error instanceof RequestTooLargeError) this.answered();
      else this.failed(error);
      throw error;
    }
  }

  /** Records that the target answered. Peer links call this when they connect, because their messages are not calls. */
  answered(): void {
    this.stats.answered++;
    this.failures = 0;
    this.condition.answered();
  }

  private failed(error: CallError): void {
    this.stats[error.kind]++;
    this.failures++;
    // RateLimitError shows that the target answers. If the target counted as failing, its next answer would end all pauses early.
    if (!(error instanceof RateLimitError)) this.condition.failed();
  }

  /** Whether a call that failed with this error may have had an effect, or may still have one. */
  mayHaveActed({ kind }: CallError): boolean {
    return kind === "unanswered" && this.policy.unanswered !== "nothing";
  }

  /** Pause before the next retry, in ms. `failures`: consecutive failures as counted by whoever retries; by default, those of the operation. */
  nextPauseMs(failures = this.failures): number {
    this.stats.pauses++;
    if (this.condition.budget.spend()) return backoffMs(this.policy, failures, this.random());
    this.stats.longPauses++;
    return backoffMs(this.policy, Infinity, this.random());
  }

  /**
   * Resolves when a failed call may be retried. If the target answers another call during the pause, the pause ends early,
   * but not before the randomised length of a first pause. Otherwise the first answer after an outage would make all
   * callers retry at the same time.
   */
  backOff(failures = this.failures): Promise<void> {
    const fullMs = this.nextPauseMs(failures);
    const minMs = Math.min(fullMs, backoffMs(this.policy, 1, this.random()));
    return new Promise((resolve) => {
      let minPassed = false;
      let recovered = false;
      const settle = (): void => {
        cancelMin();
        cancelFull();
        subscription.unsubscribe();
        resolve();
      };
      const cancelFull = this.clock.after(fullMs, settle);
      const cancelMin = this.clock.after(minMs, () => {
        minPassed = true;
        if (recovered) settle();
      });
      const subscription = this.condition.recovered$.pipe(take(1)).subscribe(() => {
        recovered = true;
        this.stats.woken++;
        if (minPassed) settle();
      });
    });
  }
}

/** All calls to other processes, with one caller per operation. */
export class Calls {
  private readonly callers = new Map<Operation, Caller>();
  private readonly conditions = new Map<Target, TargetCondition>();

  constructor(clock: Clock, policies: Record<Operation, CallPolicy>, random: () => number) {
    for (const [operation, policy] of Object.entries(policies) as [Operation, CallPolicy][]) {
      let condition = this.conditions.get(policy.target);
      if (condition === undefined) this.conditions.set(policy.target, (condition = new TargetCondition(policy.target)));
      this.callers.set(operation, new Caller(operation, policy, condition, clock, random));
    }
  }

  /** The `Caller` that applies the operation's time limit and retry rules. */
  of(operation: Operation): Caller {
    return this.callers.get(operation)!;
  }

  all(): Iterable<Caller> {
    return this.callers.values();
  }

  /** Retries left per target before its calls pause for the maximum time. */
  budgets(): [Target, number][] {
    return [...this.conditions].map(([target, { budget }]) => [target, budget.remaining]);
  }
}
