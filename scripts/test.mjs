// Builds, then bundles the tests next to the build and runs them with node's own runner.
import { spawnSync } from "node:child_process";
import { existsSync, readdirSync, rmSync } from "node:fs";
import { build } from "esbuild";
import "./build.mjs";

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
const run = spawnSync(
  process.execPath,
  ["--enable-source-maps", "--test", "--test-timeout=600000", "--test-reporter=spec", ...args, ...files],
  { stdio: "inherit" },
);
process.exit(run.status ?? 1);
