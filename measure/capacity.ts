import { readFileSync, writeFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { figuresOf, loadAssumptions } from "./capacity/figures.js";
import { withTables, workedOut } from "./capacity/page.js";
import { loadSlopes, SlopesFileError } from "./scale/model.js";
import { loadTarget, TargetFileError } from "./scale/target.js";

/** Works out the tables of docs/CAPACITY.md: printed, or with `--write` put into the page. */

const EXIT_BAD_FILE = 3;

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
  const given = loadAssumptions(values.assumptions);
  const { slopes: named, bytes } = loadSlopes(values.slopes);
  const figures = figuresOf(target, given, named, bytes);
  const tables = workedOut(target, given, figures);
  if (values.write) {
    writeFileSync(values.page, withTables(readFileSync(values.page, "utf8"), tables));
    writeFileSync("docs/capacity/figures.json", `${JSON.stringify(figures, null, 2)}\n`);
  } else process.stdout.write(`${tables}\n`);
} catch (error) {
  if (!(error instanceof TargetFileError) && !(error instanceof SlopesFileError)) throw error;
  process.stderr.write(`capacity: ${error.message}\n`);
  process.exitCode = EXIT_BAD_FILE;
}
