// npm test [-- PATTERN]: builds the project, bundles the tests into target/test and runs them with the test runner of Node.js.
// Exits with 0 if all tests passed except those listed in KNOWN-RED.txt. PATTERN selects tests by name.
import { spawn } from "node:child_process";
import { once } from "node:events";
import { existsSync, readdirSync, readFileSync, rmSync } from "node:fs";
import { createInterface } from "node:readline";
import { build } from "esbuild";
import "./build.mjs";
import { findProblems, parseKnownFailures } from "./known-red.mjs";

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
  // Native addons and WebAssembly files are located relative to the package that loads them.
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
const namePattern = process.argv[2];
const patternArgs = namePattern === undefined ? [] : [`--test-name-pattern=${namePattern}`];
const resultsFile = "target/test/results.jsonl";
const runner = spawn(
  process.execPath,
  [
    "--enable-source-maps",
    "--test",
    "--test-timeout=600000",
    "--test-reporter=spec",
    "--test-reporter-destination=stdout",
    "--test-reporter=./scripts/results-reporter.mjs",
    `--test-reporter-destination=${resultsFile}`,
    ...patternArgs,
    ...files,
  ],
  { stdio: ["inherit", "pipe", "inherit"] },
);
// Holds back the summary of the runner, which begins with "ℹ tests", so that it is printed after the known failures.
const summary = [];
for await (const line of createInterface({ input: runner.stdout })) {
  if (summary.length > 0 || line.startsWith("\u2139 tests ")) summary.push(line);
  else console.log(line);
}
const exitCode = runner.exitCode ?? (await once(runner, "exit"))[0];
const knownFailures = parseKnownFailures(existsSync("KNOWN-RED.txt") ? readFileSync("KNOWN-RED.txt", "utf8") : "");
const results = readFileSync(resultsFile, "utf8")
  .split("\n")
  .filter(Boolean)
  .map((line) => JSON.parse(line));
const problems = findProblems(knownFailures, results, namePattern === undefined);
for (const { test, cause, issue } of knownFailures.entries) console.log(`known red: ${test} (${cause}; issue ${issue})`);
for (const problem of problems) console.log(`not passed: ${problem}`);
for (const line of summary) console.log(line);
// Known failures excuse only exit code 1 with a failed test. Other failures of the runner, such as an interrupted run, remain.
const excused = knownFailures.entries.length > 0 && results.some(({ passed }) => !passed);
process.exit(problems.length > 0 ? 1 : excused && exitCode === 1 ? 0 : (exitCode ?? 1));
