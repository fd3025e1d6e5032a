// npm run measure -- NAME [--quick] [--seed N]: builds the project, bundles measure/NAME.ts and runs it.
// The last line that a measurement prints is a flat JSON object whose member names contain their units.
import { spawnSync } from "node:child_process";
import { existsSync, readdirSync } from "node:fs";
import { build } from "esbuild";
import "./build.mjs";

const [name, ...measurementArgs] = process.argv.slice(2);
const available = readdirSync("measure")
  .filter((file) => file.endsWith(".ts") && file !== "harness.ts")
  .map((file) => file.slice(0, -3));
if (name === undefined || !existsSync(`measure/${name}.ts`)) {
  process.stderr.write(`measure: ${name ?? "no name given"}: expected one of ${available.join(", ")}\n`);
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
const measurement = spawnSync(process.execPath, ["--expose-gc", `target/measure/${name}.mjs`, ...measurementArgs], { stdio: "inherit" });
process.exit(measurement.status ?? 1);
