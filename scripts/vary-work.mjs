// node scripts/vary-work.mjs IN.toml OUT.toml [run=N] [cancelled=SHARE] [rate=N] [limits=N] [tasks=N] [each=N]
// Writes a copy of a deployment's site file with a different workload:
//   run, rate, limits   factors for the run times, the arrivals (rates and initial jobs) and the teams' limits
//   cancelled           share of the jobs that are cancelled
//   tasks               number of tasks of each job
//   each                jobs of each class that arrive per second
import { readFileSync, writeFileSync } from "node:fs";

const [input, output, ...assignments] = process.argv.slice(2);
const options = Object.fromEntries(assignments.map((assignment) => assignment.split("=")));
const invalid = Object.keys(options).filter(
  (key) => !["run", "cancelled", "rate", "limits", "tasks", "each"].includes(key) || !(Number(options[key]) >= 0),
);
if (output === undefined || invalid.length > 0) {
  console.error(
    `usage: vary-work.mjs IN.toml OUT.toml [run=N] [cancelled=SHARE] [rate=N] [limits=N] [tasks=N] [each=N]${invalid.map((key) => `; invalid option ${key}=${options[key]}`)}`,
  );
  process.exit(2);
}
/** Multiplies each number that follows "= ". */
const scaleNumbers = (text, factor) => text.replace(/(?<== )[0-9.]+/g, (number) => (Number(number) * factor).toFixed(4));
const lines = readFileSync(input, "utf8")
  .split("\n")
  .map((line) => {
    if (line.startsWith("run_s = ")) return `run_s = ${scaleNumbers(line.slice("run_s = ".length), Number(options.run ?? 1))}`;
    if (line.startsWith("cancelled = ") && options.cancelled !== undefined) return `cancelled = ${Number(options.cancelled).toFixed(3)}`;
    if (/^(cpus|gpus)_max = /.test(line))
      return line.replace(/(?<== )[0-9.]+/, (number) => (Number(number) * Number(options.limits ?? 1)).toFixed(1));
    if (line.startsWith("tasks = ") && options.tasks !== undefined)
      return `tasks = { sizes = [${Number(options.tasks)}], weights = [1.0] }`;
    if (line.startsWith("arrivals = ") && options.each !== undefined) return `arrivals = { rate = ${Number(options.each).toFixed(4)} }`;
    if (line.startsWith("arrivals = ")) return line.replace(/rate = ([0-9.]+)/, (match) => scaleNumbers(match, Number(options.rate ?? 1)));
    if (line.startsWith("initial = "))
      return `initial = ${Math.max(1, Math.round(Number(line.slice("initial = ".length)) * Number(options.rate ?? 1)))}`;
    return line;
  });
writeFileSync(output, lines.join("\n"));
