import { readFileSync, writeFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { computeFigures, loadAssumptions } from "./capacity/figures.js";
import { replaceTables, renderTables } from "./capacity/page.js";
import { loadSlopes, SlopesFileError } from "./scale/model.js";
import { loadTarget, TargetFileError } from "./scale/target.js";

/**
 * Computes the tables of docs/CAPACITY.md from the target, the assumptions and the measured slopes, and prints them. With
 * `--write`, writes them to the page, and the figures to docs/capacity/figures.json, instead.
 */

const EXIT_INVALID_FILE = 3;

const { values } = parseArgs({
  options: {
    target: { type: "string", default: "docs/capacity/target.json" },
    slopes: { type: "string", default: "docs/capacity/slopes.json" },
    assumptions: { type: "string", default: "docs/capacity/assumptions.json" },
    page: { type: "string", default: "docs/CAPACITY.md" },
    write: { type: "boolean", default: false },
  },
});

try {
  const target = loadTarget(values.target);
  const assumptions = loadAssumptions(values.assumptions);
  const { slopes, bytes } = loadSlopes(values.slopes);
  const figures = computeFigures(target, assumptions, slopes, bytes);
  const tables = renderTables(target, assumptions, figures);
  if (values.write) {
    writeFileSync(values.page, replaceTables(readFileSync(values.page, "utf8"), tables));
    writeFileSync("docs/capacity/figures.json", `${JSON.stringify(figures, null, 2)}\n`);
  } else process.stdout.write(`${tables}\n`);
} catch (error) {
  if (!(error instanceof TargetFileError) && !(error instanceof SlopesFileError)) throw error;
  process.stderr.write(`capacity: ${error.message}\n`);
  process.exitCode = EXIT_INVALID_FILE;
}
