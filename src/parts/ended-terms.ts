/**
 * Terms that ended here because a worker showed a newer token, before a read of the state service said so. Decides which
 * workers' tokens are believed; what ending a term means is up to whoever holds the partitions.
 */

/** A token above the term of the owner that saw it: the partition has, or has had, a newer owner. */
export interface NewerToken {
  host: string;
  token: number;
  seenIn: "report" | "command reply" | "probe";
}

/** Workers whose tokens turned out to be nobody's are remembered up to this many, the newest. */
const MAX_REFUTED_HOSTS = 1000;

export class EndedTerms {
  /** By partition. */
  private readonly endedByPartition = new Map<number, { term: number; host: string }>();
  private readonly refutedHosts = new Set<string>();

  /** Not if its token was once shown to be nobody's: one worker that is wrong must not end term after term. */
  acceptsTokensOf(host: string): boolean {
    return !this.refutedHosts.has(host);
  }

  recordEnd(partition: number, term: number, { host }: NewerToken): void {
    this.endedByPartition.set(partition, { term, host });
  }

  /** Did this very term end here? It is never taken up again; its attempt numbers and tokens are in use. */
  hasEnded(partition: number, term: number): boolean {
    return this.endedByPartition.get(partition)?.term === term;
  }

  /** The record of the term was still there when this controller claimed it anew: nobody else had. */
  refuteToken(partition: number): void {
    const ended = this.endedByPartition.get(partition);
    if (ended === undefined) return;
    this.refutedHosts.add(ended.host);
    if (this.refutedHosts.size > MAX_REFUTED_HOSTS) this.refutedHosts.delete(this.refutedHosts.values().next().value as string);
  }
}
