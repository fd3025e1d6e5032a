import type { StateReplica } from "../ledger/state-replica.js";
import { keys, type JobRecord } from "../ledger/records.js";
import type { Scope } from "../platform/scope.js";
import { rank } from "../queue/queue-order.js";
import type { Settings } from "../settings/derived.js";

/**
 * Share of a job class's open and recently done jobs that should be done. A class below this share that is also the
 * least served of its priority comes first.
 */
const FLOOR = 0.6;
/** Length, in lease durations, of the window in which jobs count as recently done; about ten minutes at usual settings. */
const WINDOW_LEASES = 33;
/** Number of buckets that the window of recently done jobs is divided into; the oldest is dropped as a new one begins. */
const BUCKETS = 11;
/**
 * Only job classes of this urgency or less (an equal or higher rank) can come first for being underserved; more urgent
 * work is ordered by its own objectives.
 */
const MIN_RANK = rank("normal");

/** Numbers of open and recently done jobs of a job class, with the rank of its urgency. */
export interface ClassCounts {
  rank: number;
  done: number;
  open: number;
}

/**
 * Returns the job classes that are the least served of their priority and have a share of done jobs below `FLOOR`. A
 * class that is alone in its priority is never returned: there is no other class to take capacity from.
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
 * Tracks how much of each job class has been served recently, from the job records that every controller receives, so
 * that the result is the same on all controllers and survives a takeover. Underserved classes come first because, with
 * more work than capacity, the queue order alone can leave one of several classes with next to nothing.
 */
export class ClassShares {
  private readonly open = new Set<string>();
  /** Numbers of done jobs by job class: one map per bucket of the window, the newest bucket first. */
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
   * True for a job that ended within the window and is read by a controller that has just started and loads all records.
   */
  private endedWithinWindow({ endedAt }: JobRecord): boolean {
    return !this.replica.loaded && endedAt !== undefined && this.scope.clock.wall() - endedAt < this.windowMs();
  }

  private windowMs(): number {
    return this.settings.timing.leaseMs * WINDOW_LEASES;
  }

  /** Job classes whose work currently comes before other work of the same priority. */
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
