/** Comparison of the bids that partitions send for a job. */

/**
 * Bid of a partition for a job: when the job would start there and how long it would run. The members are those of the
 * `Answer` message between controllers.
 */
export interface Bid {
  part: number;
  waitMs: number;
  runMs: number;
  utilization: number;
  /** Number of the job's tasks that could start now if its other tasks have to wait. */
  atOnce: number;
}

const turnaround = (bid: Bid): number => bid.waitMs + bid.runMs;

/**
 * Returns the bid with the shortest turnaround (wait plus run time) among those that are
 * shorter than the home partition's, or the home bid if there are none. Bids within the
 * fraction `epsilon` of the shortest count as equal, and the lowest utilization decides.
 */
export function selectBid(homeBid: Bid, bids: Bid[], epsilon: number): Bid {
  const betterBids = bids.filter((bid) => turnaround(bid) < turnaround(homeBid));
  if (betterBids.length === 0) return homeBid;
  const minTurnaround = Math.min(...betterBids.map(turnaround));
  const tiedBids = betterBids.filter((bid) => turnaround(bid) <= minTurnaround * (1 + epsilon));
  return tiedBids.reduce((a, b) => (b.utilization < a.utilization ? b : a));
}

/** Returns the bid with the most tasks of a job array that could start now; null if none could start anywhere. */
export function bidWithMostFreeCapacity(bids: Bid[]): Bid | null {
  return bids.reduce<Bid | null>((largest, bid) => (bid.atOnce > (largest?.atOnce ?? 0) ? bid : largest), null);
}
