import { progress } from "../harness.js";
import { fit, type Line, type Point } from "./line.js";

/** One measured dependence: what grows, per what, and the points it was read from. */
export interface Slope extends Line {
  name: string;
  /** Of y, and of x. */
  unit: string;
  per: string;
  points: Point[];
}

const figure = (value: number): string => Number(value.toPrecision(4)).toString();

/** Fits the points and says so on the terminal. */
export function slopeOf(name: string, unit: string, per: string, points: Point[]): Slope {
  const line = fit(points);
  const off = `largest deviation ${(line.deviation * 100).toFixed(0)}%${line.straight ? "" : ", NOT A LINE"}`;
  const at = points.map(({ x, y }) => `${figure(x)}: ${figure(y)}`).join(", ");
  progress(`${name}: ${figure(line.slope)} ${unit} per ${per}, intercept ${figure(line.intercept)}, ${off} (${at})`);
  return { name, unit, per, points, ...line };
}
