/** What a part offers a job: when it would start there and how long it would run. */
export interface Bid {
  part: number;
  waitMs: number;
  runMs: number;
  utilization: number;
  /** Tasks it could start now, if not all. */
  atOnce: number;
}

const turnaround = (bid: Bid): number => bid.waitMs + bid.runMs;

/**
 * The least wait plus run time; bids within `epsilon` of it are a tie, which the
 * lowest utilization wins. The job moves only to a part that beats home.
 */
export function best(home: Bid, bids: Bid[], epsilon: number): Bid {
  const better = bids.filter((bid) => turnaround(bid) < turnaround(home));
  if (better.length === 0) return home;
  const least = Math.min(...better.map(turnaround));
  const tied = better.filter((bid) => turnaround(bid) <= least * (1 + epsilon));
  return tied.reduce((a, b) => (b.utilization < a.utilization ? b : a));
}

/** Where the most tasks of an array could start now; null: nowhere. */
export function roomiest(bids: Bid[]): Bid | null {
  return bids.reduce<Bid | null>((most, bid) => (bid.atOnce > (most?.atOnce ?? 0) ? bid : most), null);
}
