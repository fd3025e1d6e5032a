/**
 * A team's limit, split over the partitions, as the limit changes: pure decisions on one resource. Each partition's
 * owner changes its own share alone, never below what its tasks use, so that the sum of shares bounds what runs; while
 * the sum is above the limit nobody starts anything.
 */

/** By partition; null: no limit there. */
export type Shares = readonly (number | null)[];

/** null: no limit. */
export type Limit = number | null;

/** Rounding of sums of amounts. */
const SLACK = 1e-6;

/** Infinite while any partition has no limit. */
export function sumOf(shares: Shares): number {
  return shares.reduce((sum: number, share) => sum + (share ?? Infinity), 0);
}

/** May tasks be started within the shares, by whoever knows the limit? */
export function startsAllowed(shares: Shares, limit: Limit): boolean {
  return limit === null || sumOf(shares) <= limit + SLACK;
}

/** Whole units but for the last partition's, which has what is left over. */
function splitEvenly(amount: number, count: number): number[] {
  const each = Math.floor(amount / count);
  return Array.from({ length: count }, (_, i) => (i === count - 1 ? amount - each * (count - 1) : each));
}

/**
 * The shares as the partition's owner may write them next; null: it has nothing to change. `raises`: this partition's
 * owner is the one that gives out what a raised limit adds.
 */
export function adjusted(shares: Shares, limit: Limit, own: { partition: number; used: number; raises: boolean }): Shares | null {
  const { partition, used, raises } = own;
  const share = shares[partition];
  const withOwn = (next: number): Shares => shares.map((other, i) => (i === partition ? next : other));
  if (limit === null) return raises && shares.some((other) => other !== null) ? shares.map(() => null) : null;
  if (share === null || share === undefined) return withOwn(used);
  const excess = sumOf(shares) - limit;
  if (excess > SLACK && share > used + SLACK) return withOwn(Math.max(used, share - excess));
  if (excess < -SLACK && raises) {
    const added = splitEvenly(-excess, shares.length);
    return shares.map((other, i) => (other ?? 0) + added[i]!);
  }
  return null;
}
