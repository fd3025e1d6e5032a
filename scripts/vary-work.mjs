// Writes a variant of a deployment's site file with other work: node scripts/vary-work.mjs IN.toml OUT.toml
// [run=1] [cancelled=SHARE] [rate=1] [limits=1] [tasks=N] [each=N]: run times, arrivals and teams' limits times so much, the share of
// jobs that are cancelled, how many tasks each job has, and how many jobs of each class arrive a second.
import { readFileSync, writeFileSync } from "node:fs";

const [input, output, ...rest] = process.argv.slice(2);
const asked = Object.fromEntries(rest.map((one) => one.split("=")));
const unknown = Object.keys(asked).filter(
  (key) => !["run", "cancelled", "rate", "limits", "tasks", "each"].includes(key) || !(Number(asked[key]) >= 0),
);
if (output === undefined || unknown.length > 0) {
  console.error(
    `usage: vary-work.mjs IN.toml OUT.toml [run=N] [cancelled=SHARE] [rate=N] [limits=N] [tasks=N] [each=N]${unknown.map((key) => `; not ${key}=${asked[key]}`)}`,
  );
  process.exit(2);
}
const times = (text, factor) => text.replace(/(?<== )[0-9.]+/g, (n) => (Number(n) * factor).toFixed(4));
const lines = readFileSync(input, "utf8")
  .split("\n")
  .map((line) => {
    if (line.startsWith("run_s = ")) return `run_s = ${times(line.slice("run_s = ".length), Number(asked.run ?? 1))}`;
    if (line.startsWith("cancelled = ") && asked.cancelled !== undefined) return `cancelled = ${Number(asked.cancelled).toFixed(3)}`;
    if (/^(cpus|gpus)_max = /.test(line)) return line.replace(/(?<== )[0-9.]+/, (n) => (Number(n) * Number(asked.limits ?? 1)).toFixed(1));
    if (line.startsWith("tasks = ") && asked.tasks !== undefined) return `tasks = { sizes = [${Number(asked.tasks)}], weights = [1.0] }`;
    if (line.startsWith("arrivals = ") && asked.each !== undefined) return `arrivals = { rate = ${Number(asked.each).toFixed(4)} }`;
    if (line.startsWith("arrivals = ")) return line.replace(/rate = ([0-9.]+)/, (all) => times(all, Number(asked.rate ?? 1)));
    if (line.startsWith("initial = "))
      return `initial = ${Math.max(1, Math.round(Number(line.slice("initial = ".length)) * Number(asked.rate ?? 1)))}`;
    return line;
  });
writeFileSync(output, lines.join("\n"));
