import { progress } from "../harness.js";
import { fitLine, type Line, type Point } from "./line.js";

/** A measured linear dependence, as it is written to the slopes file. */
export interface Slope extends Line {
  name: string;
  /** Unit of y. */
  unit: string;
  /** Unit of x. */
  per: string;
  points: Point[];
}

const formatFigure = (value: number): string => Number(value.toPrecision(4)).toString();

/** Fits a line to the points and prints it as progress. */
export function fitSlope(name: string, unit: string, per: string, points: Point[]): Slope {
  const line = fitLine(points);
  const deviationText = `largest deviation ${(line.deviation * 100).toFixed(0)}%${line.straight ? "" : ", NOT LINEAR"}`;
  const pointsText = points.map(({ x, y }) => `${formatFigure(x)}: ${formatFigure(y)}`).join(", ");
  progress(
    `${name}: ${formatFigure(line.slope)} ${unit} per ${per}, intercept ${formatFigure(line.intercept)}, ${deviationText} (${pointsText})`,
  );
  return { name, unit, per, points, ...line };
}
