/**
 * Records the terms that this controller ended because a worker reported a newer owner's fencing token, before a read
 * of the state service showed a new owner. Also decides which workers' tokens are accepted as evidence.
 */

/**
 * A fencing token shown by a worker that is above the term of the owner that received it: evidence that the partition
 * has, or has had, a newer owner.
 */
export interface NewerToken {
  host: string;
  token: number;
  seenIn: "report" | "command reply" | "probe";
}

/** Maximum number of workers remembered for reporting a token that was never issued; the oldest are dropped. */
const MAX_REFUTED_HOSTS = 1000;

/**
 * Remembers the terms that this process ended because a worker reported a newer token, and the workers whose tokens
 * proved never to have been issued.
 */
export class EndedTerms {
  /** The last term that this process ended, by partition, with the worker that reported the newer token. */
  private readonly endedByPartition = new Map<number, { term: number; host: string }>();
  private readonly refutedHosts = new Set<string>();

  /**
   * Returns whether a newer token from this worker ends a term. Once a token of a worker was refuted, its further
   * tokens end none: one faulty worker must not end term after term.
   */
  acceptsTokensOf(host: string): boolean {
    return !this.refutedHosts.has(host);
  }

  /** Records that this process ended the partition's term because a worker reported this newer token. */
  recordEnd(partition: number, term: number, { host }: NewerToken): void {
    this.endedByPartition.set(partition, { term, host });
  }

  /**
   * Returns whether this process ended exactly this term of the partition. Such a term is never resumed, as its
   * attempt numbers and tokens are in use.
   */
  hasEnded(partition: number, term: number): boolean {
    return this.endedByPartition.get(partition)?.term === term;
  }

  /**
   * Stops accepting tokens of the worker that ended the partition's term. Called when this controller has claimed the
   * partition again and the ended term was still the recorded one, so that no other controller can have claimed the
   * partition in between.
   */
  refuteToken(partition: number): void {
    const ended = this.endedByPartition.get(partition);
    if (ended === undefined) return;
    this.refutedHosts.add(ended.host);
    if (this.refutedHosts.size > MAX_REFUTED_HOSTS) this.refutedHosts.delete(this.refutedHosts.values().next().value as string);
  }
}
