// Builds into target/: main.js, which every command begins with; the service, one CommonJS file with a
// code cache (a controller has a tenth of a core and is started again after every failure); the other
// commands as modules that load what they need. Turns the operators' HCL into JSON: no HCL parser on
// npm fits the memory and processor quota at run time.
import { spawnSync } from "node:child_process";
import { createHash } from "node:crypto";
import { existsSync } from "node:fs";
import { readFile, writeFile, mkdir, readdir, rename, rm, stat } from "node:fs/promises";
import { resolve } from "node:path";
import { build } from "esbuild";
import { parse } from "@cdktf/hcl2json";
import { parse as parseToml } from "smol-toml";

await mkdir("target/chunks", { recursive: true });
const { version } = JSON.parse(await readFile("package.json", "utf8"));
const common = {
  bundle: true,
  platform: "node",
  target: "node20",
  minifySyntax: true,
  minifyWhitespace: true,
  // Its native part lies in its package; the HCL parser finds its own files beside it.
  external: ["classic-level", "@cdktf/hcl2json"],
  alias: {
    // Node would take rxjs in a form of which nothing can be left out: ten times what is used.
    rxjs: resolve("node_modules/rxjs/dist/esm/index.js"),
    // Its entry without files, services and import hooks.
    avsc: "avsc/etc/browser/avsc-types.js",
    // Express sorts all 2,500 types of the world at every start; we send and take four.
    "mime-db": resolve("src/intake/mime-db.json"),
  },
  metafile: true,
  logLevel: "warning",
};
const modules = { ...common, format: "esm" };
const requireInModules = "import{createRequire as __cr}from'node:module';const require=__cr(import.meta.url);";

const { metafile } = await build({
  ...modules,
  entryPoints: { cli: "src/commands.ts", rehearsal: "src/launch/rehearsal.ts" },
  outdir: "target",
  outExtension: { ".js": ".mjs" },
  splitting: true,
  chunkNames: "chunks/[name]-[hash]",
  define: { THORNTRAIL_VERSION: JSON.stringify(version) },
  banner: { js: requireInModules },
});

const service = await build({
  ...common,
  entryPoints: ["src/service.ts"],
  format: "cjs",
  // One byte a character in memory, and read as such.
  charset: "ascii",
  write: false,
  outfile: "target/service.cjs",
  define: { THORNTRAIL_VERSION: JSON.stringify(version) },
});
const [{ text }] = service.outputFiles;
const [, ...words] = parseToml(await readFile("deploy/service.toml", "utf8")).run.split(/\s+/);
/** Flags that controllers run with: V8 takes a cache only from a process with the same. */
const flags = words.slice(
  0,
  words.findIndex((word) => !word.startsWith("-")),
);
const hash = createHash("sha256").update(text).update(process.version).update(flags.join()).digest("hex").slice(0, 16);
const name = `service-${hash}.cjs`;
await put(`target/${name}`, text);

const launch = async (entry, outfile) => {
  const { outputFiles } = await build({
    ...common,
    entryPoints: [entry],
    format: "cjs",
    write: false,
    outfile,
    define: { SERVICE_FILE: JSON.stringify(name) },
    // Kept as an import: what it loads is another bundle.
    supported: { "dynamic-import": true },
  });
  await put(outfile, outputFiles[0].text);
};
await launch("src/launch/start.ts", "target/main.js");
await launch("src/launch/warm.ts", "target/warm.js");

const file = "deploy/operators.hcl";
await put("target/operators.json", JSON.stringify(await parse(file, await readFile(file, "utf8"))));
await put("target/package.json", '{"type":"commonjs"}\n');
await put("target/chunks/package.json", '{"type":"module"}\n');

// A port may be taken between being found free and being listened on: once more is enough.
for (let tries = 0; tries < 2 && !existsSync(`target/${name}.cache`); tries++) await warm();
await clear();

/** Whole or not at all: a controller may be starting from the file of before, another build be writing it. */
async function put(path, content) {
  const own = `${path}.${process.pid}.new`;
  await writeFile(own, content);
  await rename(own, path);
}

/** Plays the build's rehearsal and keeps the largest cache of its controllers: the one that did most. */
async function warm() {
  const run = spawnSync(process.execPath, ["target/rehearsal.mjs", ...flags, "target/warm.js"], {
    stdio: ["ignore", "ignore", "pipe"],
    encoding: "utf8",
    timeout: 60_000,
  });
  const made = (await readdir("target")).filter((one) => one.startsWith(`${name}.cache.`));
  // Another build of the same sources may be at it as well, and take what it finds.
  const sizes = await Promise.all(made.map(async (one) => [(await stat(`target/${one}`).catch(() => ({ size: 0 }))).size, one]));
  const best = sizes.filter(([size]) => size > 0).sort((a, b) => b[0] - a[0])[0];
  if (best === undefined && !existsSync(`target/${name}.cache`))
    process.stderr.write(`build: no code cache, controllers start slower: ${run.error?.message ?? run.stderr.slice(-500)}\n`);
  else if (best !== undefined) await rename(`target/${best[1]}`, `target/${name}.cache`).catch(() => undefined);
}

/**
 * A controller that is just starting may still load what the build before made: taking it away
 * under it made it end. What is a day old is nobody's.
 */
async function clear() {
  const DAY_MS = 24 * 3600 * 1000;
  const kept = new Set([...Object.keys(metafile.outputs), `target/${name}`, `target/${name}.cache`, "target/chunks/package.json"]);
  const paths = [
    ...(await readdir("target/chunks")).map((one) => `target/chunks/${one}`),
    ...(await readdir("target")).filter((one) => one.startsWith("service-")).map((one) => `target/${one}`),
  ];
  for (const path of paths) {
    const { mtimeMs } = await stat(path).catch(() => ({ mtimeMs: Date.now() }));
    if (!kept.has(path) && Date.now() - mtimeMs > DAY_MS) await rm(path, { force: true });
  }
}
