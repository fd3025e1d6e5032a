// Writes a variant of a deployment's site file with other work: node scripts/vary-work.mjs IN.toml OUT.toml
// [run=1] [cancelled=SHARE] [rate=1]: run times and arrivals times so much, and the share of jobs that are cancelled.
import { readFileSync, writeFileSync } from "node:fs";

const [input, output, ...rest] = process.argv.slice(2);
const asked = Object.fromEntries(rest.map((one) => one.split("=")));
const unknown = Object.keys(asked).filter((key) => !["run", "cancelled", "rate"].includes(key) || !(Number(asked[key]) >= 0));
if (output === undefined || unknown.length > 0) {
  console.error(
    `usage: vary-work.mjs IN.toml OUT.toml [run=N] [cancelled=SHARE] [rate=N]${unknown.map((key) => `; not ${key}=${asked[key]}`)}`,
  );
  process.exit(2);
}
const times = (text, factor) => text.replace(/(?<== )[0-9.]+/g, (n) => (Number(n) * factor).toFixed(4));
const lines = readFileSync(input, "utf8")
  .split("\n")
  .map((line) => {
    if (line.startsWith("run_s = ")) return `run_s = ${times(line.slice("run_s = ".length), Number(asked.run ?? 1))}`;
    if (line.startsWith("cancelled = ") && asked.cancelled !== undefined) return `cancelled = ${Number(asked.cancelled).toFixed(3)}`;
    if (line.startsWith("arrivals = ")) return line.replace(/rate = ([0-9.]+)/, (all) => times(all, Number(asked.rate ?? 1)));
    if (line.startsWith("initial = "))
      return `initial = ${Math.max(1, Math.round(Number(line.slice("initial = ".length)) * Number(asked.rate ?? 1)))}`;
    return line;
  });
writeFileSync(output, lines.join("\n"));
