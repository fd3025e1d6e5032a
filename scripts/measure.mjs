// npm run measure -- NAME [--quick] [--seed N]: bundles measure/NAME.ts and runs it.
// What it prints last is one line of JSON with flat names that say their units.
import { spawnSync } from "node:child_process";
import { existsSync, readdirSync } from "node:fs";
import { build } from "esbuild";
import "./build.mjs";

const [name, ...rest] = process.argv.slice(2);
const known = readdirSync("measure")
  .filter((file) => file.endsWith(".ts") && file !== "harness.ts")
  .map((file) => file.slice(0, -3));
if (name === undefined || !existsSync(`measure/${name}.ts`)) {
  process.stderr.write(`measure: ${name ?? "(nothing)"}: expected one of ${known.join(", ")}\n`);
  process.exit(2);
}
await build({
  entryPoints: [`measure/${name}.ts`],
  outfile: `target/measure/${name}.mjs`,
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  external: ["classic-level", "@cdktf/hcl2json"],
  define: { THORNTRAIL_VERSION: '"measure"' },
  banner: { js: "import{createRequire as __cr}from'node:module';const require=__cr(import.meta.url);" },
  logLevel: "warning",
});
const run = spawnSync(process.execPath, ["--expose-gc", `target/measure/${name}.mjs`, ...rest], { stdio: "inherit" });
process.exit(run.status ?? 1);
