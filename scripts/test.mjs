// Builds, then bundles the tests next to the build and runs them with node's own runner.
import { spawn } from "node:child_process";
import { once } from "node:events";
import { existsSync, readdirSync, readFileSync, rmSync } from "node:fs";
import { createInterface } from "node:readline";
import { build } from "esbuild";
import "./build.mjs";
import { judge, readKnownRed } from "./known-red.mjs";

rmSync("target/test", { recursive: true, force: true });
const folders = ["test", ...readdirSync("packages").map((name) => `packages/${name}/test`)].filter(existsSync);
const entryPoints = folders.flatMap((folder) =>
  readdirSync(folder, { recursive: true })
    .map(String)
    .filter((name) => name.endsWith(".test.ts"))
    .map((name) => `${folder}/${name}`),
);
await build({
  entryPoints,
  outdir: "target/test",
  outbase: ".",
  // Native parts and files beside a package's own code are found from its folder.
  external: ["classic-level", "@cdktf/hcl2json"],
  outExtension: { ".js": ".mjs" },
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  sourcemap: "inline",
  define: { THORNTRAIL_VERSION: '"test"' },
  banner: {
    js: "import{createRequire as __cr}from'node:module';const require=__cr(import.meta.url);",
  },
  logLevel: "warning",
});
const files = readdirSync("target/test", { recursive: true })
  .map(String)
  .filter((name) => name.endsWith(".test.mjs"))
  .map((name) => `target/test/${name}`);
const only = process.argv[2];
const args = only === undefined ? [] : [`--test-name-pattern=${only}`];
const resultsFile = "target/test/results.jsonl";
const run = spawn(
  process.execPath,
  [
    "--enable-source-maps",
    "--test",
    "--test-timeout=600000",
    "--test-reporter=spec",
    "--test-reporter-destination=stdout",
    "--test-reporter=./scripts/results-reporter.mjs",
    `--test-reporter-destination=${resultsFile}`,
    ...args,
    ...files,
  ],
  { stdio: ["inherit", "pipe", "inherit"] },
);
// The runner's summary stays what is printed last: it is held back until the known reds are told.
const summary = [];
for await (const line of createInterface({ input: run.stdout })) {
  if (summary.length > 0 || line.startsWith("\u2139 tests ")) summary.push(line);
  else console.log(line);
}
const status = run.exitCode ?? (await once(run, "exit"))[0];
const known = readKnownRed(existsSync("KNOWN-RED.txt") ? readFileSync("KNOWN-RED.txt", "utf8") : "");
const results = readFileSync(resultsFile, "utf8")
  .split("\n")
  .filter(Boolean)
  .map((line) => JSON.parse(line));
const wrong = judge(known, results, only === undefined);
for (const { test, cause, issue } of known.reds) console.log(`known red: ${test} (${cause}; issue ${issue})`);
for (const what of wrong) console.log(`not passed: ${what}`);
for (const line of summary) console.log(line);
// Whatever else the runner had to complain of, such as a run that was broken off, is no known red.
const excused = known.reds.length > 0 && results.some(({ passed }) => !passed);
process.exit(wrong.length > 0 ? 1 : excused && status === 1 ? 0 : (status ?? 1));
