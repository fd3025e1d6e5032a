/**
 * Split of a team's limit for one resource into quota shares, one per partition, while the limit changes. Pure
 * functions. Each partition's owner lowers only its own share, never below what its tasks use, so the sum of the shares
 * bounds what runs. While the sum is above the limit, no tasks of the team are started.
 */

/** Quota shares by partition number; null means that the partition has no limit. */
export type Shares = readonly (number | null)[];

/** A team's limit for one resource; null means that there is no limit. */
export type Limit = number | null;

/** Tolerance for rounding errors in sums of amounts. */
const SLACK = 1e-6;

/** Sum of the quota shares; infinite while any partition has no limit. */
export function totalShares(shares: Shares): number {
  return shares.reduce((sum: number, share) => sum + (share ?? Infinity), 0);
}

/** Whether the team's tasks may be started: only if the sum of its quota shares is within its limit. */
export function startsAllowed(shares: Shares, limit: Limit): boolean {
  return limit === null || totalShares(shares) <= limit + SLACK;
}

/** Splits an amount into `count` equal whole numbers; the last one also gets the remainder. */
function splitEvenly(amount: number, count: number): number[] {
  const each = Math.floor(amount / count);
  return Array.from({ length: count }, (_, i) => (i === count - 1 ? amount - each * (count - 1) : each));
}

/**
 * Quota shares that the owner of the partition in `own` writes next; null if it has nothing to change. `raises`: this
 * owner is the one that distributes the additional amount of a raised limit.
 */
export function adjustedShares(shares: Shares, limit: Limit, own: { partition: number; used: number; raises: boolean }): Shares | null {
  const { partition, used, raises } = own;
  const share = shares[partition];
  const withOwn = (next: number): Shares => shares.map((current, i) => (i === partition ? next : current));
  if (limit === null) return raises && shares.some((other) => other !== null) ? shares.map(() => null) : null;
  if (share === null || share === undefined) return withOwn(used);
  const excess = totalShares(shares) - limit;
  if (excess > SLACK && share > used + SLACK) return withOwn(Math.max(used, share - excess));
  if (excess < -SLACK && raises) {
    const added = splitEvenly(-excess, shares.length);
    return shares.map((other, i) => (other ?? 0) + added[i]!);
  }
  return null;
}
