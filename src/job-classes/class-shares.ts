import type { StateReplica } from "../ledger/state-replica.js";
import { keys, type JobRecord } from "../ledger/records.js";
import type { Scope } from "../platform/scope.js";
import { rank } from "../queue/queue-order.js";
import type { Settings } from "../settings/derived.js";

/**
 * Share of a class's jobs that should be done. A class below it that is also the least served of its priority comes
 * first.
 */
const FLOOR = 0.6;
/** Length of the window as a number of lease times; about ten minutes at usual settings. */
const WINDOW_LEASES = 33;
/** Number of buckets in the window, which are dropped one at a time, the oldest first. */
const BUCKETS = 11;
/**
 * Urgent work is ordered by its own objectives, so only classes of this rank or a higher one, which is less urgent,
 * are considered.
 */
const MIN_RANK = rank("normal");

/** Open and recently done jobs of a class, with the rank of its urgency. */
export interface ClassCounts {
  rank: number;
  done: number;
  open: number;
}

/**
 * Returns the classes that are the least served of their priority and below the floor. A class that is alone in its
 * priority is never returned: there is no other class to take capacity from.
 */
export function underservedClasses(counts: ReadonlyMap<string, ClassCounts>): Set<string> {
  const result = new Set<string>();
  const share = ({ done, open }: ClassCounts): number => done / Math.max(1, done + open);
  for (const [klass, count] of counts) {
    if (count.rank < MIN_RANK || count.open === 0 || share(count) >= FLOOR) continue;
    const others = [...counts].filter(([other, { rank: theirs }]) => other !== klass && theirs === count.rank);
    if (others.length > 0 && others.every(([, other]) => share(count) <= share(other))) result.add(klass);
  }
  return result;
}

/**
 * Tracks how much of each class has been served recently, from the job records that every controller receives, so
 * that the result is the same on all controllers and survives a takeover. The floor is needed because, with more work
 * than capacity, the queue order alone can leave one of several classes with next to nothing.
 */
export class ClassShares {
  private readonly open = new Set<string>();
  /** Jobs done by class, one map per bucket of the window, newest first. */
  private done: Map<string, number>[] = [new Map()];
  private bucketStartedAt = 0;
  private cached: { at: number; classes: Set<string> } = { at: -Infinity, classes: new Set() };

  constructor(
    private readonly settings: Settings,
    private readonly replica: StateReplica,
    private readonly scope: Scope,
  ) {}

  start(): void {
    this.bucketStartedAt = this.scope.clock.now();
    this.scope.listen(this.replica.changes$, (key) => {
      if (key.startsWith(keys.jobs)) this.applyRecord(key);
    });
  }

  private applyRecord(key: string): void {
    const job = this.replica.get<JobRecord>(key)?.v;
    if (job === undefined) return;
    if (job.end === undefined) this.open.add(key);
    else if (this.open.delete(key) || this.endedWithinWindow(job)) {
      if (job.end !== "done") return;
      const bucket = this.done[0]!;
      bucket.set(job.spec.klass, (bucket.get(job.spec.klass) ?? 0) + 1);
    }
  }

  /**
   * True for a job that ended within the window and is read for the first time by a controller that has just started.
   */
  private endedWithinWindow({ endedAt }: JobRecord): boolean {
    return !this.replica.loaded && endedAt !== undefined && this.scope.clock.wall() - endedAt < this.windowMs();
  }

  private windowMs(): number {
    return this.settings.timing.leaseMs * WINDOW_LEASES;
  }

  /** Classes whose work currently comes before other work of the same priority. */
  underserved(): Set<string> {
    const now = this.scope.clock.now();
    if (now - this.cached.at < this.settings.timing.reportMs) return this.cached.classes;
    for (; now - this.bucketStartedAt >= this.windowMs() / BUCKETS; this.bucketStartedAt += this.windowMs() / BUCKETS) {
      this.done.unshift(new Map());
      this.done.length = Math.min(this.done.length, BUCKETS);
    }
    const counts = new Map<string, ClassCounts>();
    for (const { v } of this.replica.openJobs().values()) {
      const { klass, urgency } = v.spec;
      const count = counts.get(klass) ?? { rank: rank(urgency), done: 0, open: 0 };
      counts.set(klass, { ...count, open: count.open + 1 });
    }
    for (const bucket of this.done)
      for (const [klass, n] of bucket) {
        const count = counts.get(klass);
        if (count !== undefined) count.done += n;
      }
    this.cached = { at: now, classes: underservedClasses(counts) };
    return this.cached.classes;
  }
}
