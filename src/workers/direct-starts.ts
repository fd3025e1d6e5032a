/**
 * Decides whether a start order can still take effect on a worker. A start in the answer to a report is executed before the
 * worker's next report or never. A start in a direct command may be executed at any later time, and once more after it was
 * answered, for as long as the worker is in the same session and has seen no higher token. While the worker lists the attempt
 * such a start has no effect; after the worker has discarded the attempt, it would start it again.
 */

/** Why a start order can no longer take effect. A machine that is gone is removed together with its direct starts. */
export type SpentStart =
  /** The start was sent in answers to reports only. */
  | "answers only"
  /** The worker has begun a later session than that in which the start was sent. */
  | "session over"
  /** The worker obeys only tokens above that of the start. */
  | "token raised";

interface DirectStart {
  session: number;
  token: number;
}

/** The start orders that were sent to one worker in direct commands, for attempts that the worker may list. */
export class DirectStarts {
  private readonly startsByAttempt = new Map<string, DirectStart>();

  /** Records that a direct command with a start of the attempt is sent. Replaces an earlier one, whose token was not higher. */
  recordSent(attemptKey: string, session: number, token: number): void {
    this.startsByAttempt.set(attemptKey, { session, token });
  }

  /**
   * Forgets the start of an attempt that can never take effect: the command was never sent or was refused, which holds for every
   * copy of it, or the worker no longer lists the attempt after it was spent.
   */
  forget(attemptKey: string): void {
    this.startsByAttempt.delete(attemptKey);
  }

  /** Forgets all attempts, because the worker has begun a new session. */
  clear(): void {
    this.startsByAttempt.clear();
  }

  /** Returns why no start of the attempt can take effect on a worker in this session that has seen this token; null if one may. */
  spentBy(attemptKey: string, session: number, token: number): SpentStart | null {
    const start = this.startsByAttempt.get(attemptKey);
    if (start === undefined) return "answers only";
    if (start.session < session) return "session over";
    return start.token < token ? "token raised" : null;
  }
}
