/** Straight lines through measured points. */

export interface Point {
  x: number;
  y: number;
}

/** y = intercept + slope * x, and how far the points lie from it. */
export interface Line {
  slope: number;
  intercept: number;
  /** Of the largest y, the largest distance of a point from the line. */
  deviation: number;
  /** The points lie near enough to be called a line. */
  straight: boolean;
}

/** A point further off than this share of the largest value says that the dependence is no line. */
const STRAIGHT = 0.1;

/** Least squares. Throws with fewer than three points, through which any line would do. */
export function fit(points: readonly Point[]): Line {
  if (points.length < 3) throw new Error(`${points.length} points: expected three or more`);
  const mean = (read: (point: Point) => number): number => points.reduce((sum, point) => sum + read(point), 0) / points.length;
  const [x, y] = [mean((p) => p.x), mean((p) => p.y)];
  const spread = points.reduce((sum, p) => sum + (p.x - x) ** 2, 0);
  const slope = spread === 0 ? 0 : points.reduce((sum, p) => sum + (p.x - x) * (p.y - y), 0) / spread;
  const intercept = y - slope * x;
  const most = Math.max(...points.map((p) => Math.abs(p.y)), Number.MIN_VALUE);
  const deviation = Math.max(...points.map((p) => Math.abs(p.y - intercept - slope * p.x))) / most;
  return { slope, intercept, deviation, straight: deviation <= STRAIGHT };
}

/** Against the pairs among `x` parties instead of their number. */
export function byPairs(points: readonly Point[]): Point[] {
  return points.map(({ x, y }) => ({ x: x * (x - 1), y }));
}
