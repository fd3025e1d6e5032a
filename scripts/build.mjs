// Builds target/main.js (one bundle, since loading modules one by one costs
// processor time at every start) and turns the operators' HCL into JSON: no HCL
// parser on npm fits the memory and processor quota at run time.
import { readFile, writeFile, mkdir, rm } from "node:fs/promises";
import { build } from "esbuild";
import { parse } from "@cdktf/hcl2json";

await rm("target/chunks", { recursive: true, force: true });
await mkdir("target", { recursive: true });
const { version } = JSON.parse(await readFile("package.json", "utf8"));
await build({
  entryPoints: ["src/main.ts"],
  outdir: "target",
  bundle: true,
  splitting: true,
  chunkNames: "chunks/[name]-[hash]",
  platform: "node",
  target: "node20",
  format: "esm",
  minifySyntax: true,
  minifyWhitespace: true,
  define: { THORNTRAIL_VERSION: JSON.stringify(version) },
  banner: {
    js: "import{createRequire as __cr}from'node:module';const require=__cr(import.meta.url);",
  },
  logLevel: "warning",
});
const file = "deploy/operators.hcl";
const tree = await parse(file, await readFile(file, "utf8"));
await writeFile("target/operators.json", JSON.stringify(tree));
await writeFile("target/package.json", '{"type":"module"}\n');
