/** Least-squares line fits of measured points. */

/** A measured value `y` at size `x`. */
export interface Point {
  x: number;
  y: number;
}

/** The line y = intercept + slope * x, and how far the points lie from it. */
export interface Line {
  slope: number;
  intercept: number;
  /** Largest vertical distance of a point from the line, as a share of the largest absolute y. */
  deviation: number;
  /** Whether the deviation is small enough for the dependence to count as linear. */
  straight: boolean;
}

/** Largest deviation at which a dependence counts as linear. */
const MAX_DEVIATION = 0.1;

/** Fits a line by least squares. Throws if there are fewer than three points, because two always lie on a line. */
export function fitLine(points: readonly Point[]): Line {
  if (points.length < 3) throw new Error(`${points.length} points: expected three or more`);
  const mean = (read: (point: Point) => number): number => points.reduce((sum, point) => sum + read(point), 0) / points.length;
  const [x, y] = [mean((p) => p.x), mean((p) => p.y)];
  const spread = points.reduce((sum, p) => sum + (p.x - x) ** 2, 0);
  const slope = spread === 0 ? 0 : points.reduce((sum, p) => sum + (p.x - x) * (p.y - y), 0) / spread;
  const intercept = y - slope * x;
  const largestY = Math.max(...points.map((p) => Math.abs(p.y)), Number.MIN_VALUE);
  const deviation = Math.max(...points.map((p) => Math.abs(p.y - intercept - slope * p.x))) / largestY;
  return { slope, intercept, deviation, straight: deviation <= MAX_DEVIATION };
}

/** Replaces each x, a number of parties, by the number of ordered pairs among them. */
export function perOrderedPair(points: readonly Point[]): Point[] {
  return points.map(({ x, y }) => ({ x: x * (x - 1), y }));
}
