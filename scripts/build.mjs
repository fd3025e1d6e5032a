// Builds the project into target/:
// - main.js: entry point of every command
// - service-HASH.cjs: the controller as one CommonJS file with a V8 code cache, because a controller has a tenth of a core and
//   is restarted after every failure
// - cli.mjs, rehearsal.mjs and chunks/: the other commands as ES modules that load what they need
// - operators.json: the operators' settings, converted from HCL because no HCL parser on npm fits the memory and processor
//   quota of a controller at run time
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
const commonOptions = {
  bundle: true,
  platform: "node",
  target: "node20",
  minifySyntax: true,
  minifyWhitespace: true,
  // classic-level loads a native addon and hcl2json a WebAssembly file, both relative to their packages.
  external: ["classic-level", "@cdktf/hcl2json"],
  alias: {
    // The CommonJS build of rxjs, the default for Node.js, cannot be tree-shaken and is ten times as large as the part in use.
    rxjs: resolve("node_modules/rxjs/dist/esm/index.js"),
    // Entry point of avsc without file access, RPC services and import hooks.
    avsc: "avsc/etc/browser/avsc-types.js",
    // Express sorts all 2,500 MIME types at every start; the service uses four.
    "mime-db": resolve("src/intake/mime-db.json"),
  },
  metafile: true,
  logLevel: "warning",
};
const moduleOptions = { ...commonOptions, format: "esm" };
/** Defines `require` in ES modules, for bundled CommonJS dependencies. */
const requireBanner = "import{createRequire as __cr}from'node:module';const require=__cr(import.meta.url);";

const { metafile } = await build({
  ...moduleOptions,
  entryPoints: { cli: "src/commands.ts", rehearsal: "src/launch/rehearsal.ts" },
  outdir: "target",
  outExtension: { ".js": ".mjs" },
  splitting: true,
  chunkNames: "chunks/[name]-[hash]",
  define: { THORNTRAIL_VERSION: JSON.stringify(version) },
  banner: { js: requireBanner },
});

const serviceBuild = await build({
  ...commonOptions,
  entryPoints: ["src/service.ts"],
  format: "cjs",
  // V8 stores ASCII source with one byte per character, without decoding it.
  charset: "ascii",
  write: false,
  outfile: "target/service.cjs",
  define: { THORNTRAIL_VERSION: JSON.stringify(version) },
});
const [{ text: serviceCode }] = serviceBuild.outputFiles;
const [, ...runArguments] = parseToml(await readFile("deploy/service.toml", "utf8")).run.split(/\s+/);
/** Node.js flags of the controllers. V8 accepts a code cache only from a process with the same flags. */
const nodeFlags = runArguments.slice(
  0,
  runArguments.findIndex((argument) => !argument.startsWith("-")),
);
const hash = createHash("sha256").update(serviceCode).update(process.version).update(nodeFlags.join()).digest("hex").slice(0, 16);
const serviceFile = `service-${hash}.cjs`;
await writeAtomically(`target/${serviceFile}`, serviceCode);

/** Bundles an entry point that loads the service. */
const buildLauncher = async (entryPoint, outfile) => {
  const { outputFiles } = await build({
    ...commonOptions,
    entryPoints: [entryPoint],
    format: "cjs",
    write: false,
    outfile,
    define: { SERVICE_FILE: JSON.stringify(serviceFile) },
    // Keeps import() as it is, because it loads another bundle.
    supported: { "dynamic-import": true },
  });
  await writeAtomically(outfile, outputFiles[0].text);
};
await buildLauncher("src/launch/start.ts", "target/main.js");
await buildLauncher("src/launch/warm.ts", "target/warm.js");

const operatorsFile = "deploy/operators.hcl";
await writeAtomically("target/operators.json", JSON.stringify(await parse(operatorsFile, await readFile(operatorsFile, "utf8"))));
await writeAtomically("target/package.json", '{"type":"commonjs"}\n');
await writeAtomically("target/chunks/package.json", '{"type":"module"}\n');

// A free port that the rehearsal has found may be taken before the rehearsal listens on it; one retry is enough.
for (let attempt = 0; attempt < 2 && !existsSync(`target/${serviceFile}.cache`); attempt++) await createCodeCache();
await removeOldFiles();

/** Replaces a file by renaming, because a controller may be starting from the previous one, or another build may be writing it. */
async function writeAtomically(path, content) {
  const temporaryPath = `${path}.${process.pid}.new`;
  await writeFile(temporaryPath, content);
  await rename(temporaryPath, path);
}

/** Runs the rehearsal of the build and keeps the largest code cache of its controllers, as that covers the most code. */
async function createCodeCache() {
  const rehearsal = spawnSync(process.execPath, ["target/rehearsal.mjs", ...nodeFlags, "target/warm.js"], {
    stdio: ["ignore", "ignore", "pipe"],
    encoding: "utf8",
    timeout: 60_000,
  });
  const caches = (await readdir("target")).filter((file) => file.startsWith(`${serviceFile}.cache.`));
  // Another build of the same sources may run at the same time and rename these files.
  const sizes = await Promise.all(caches.map(async (file) => [(await stat(`target/${file}`).catch(() => ({ size: 0 }))).size, file]));
  const largest = sizes.filter(([size]) => size > 0).sort((a, b) => b[0] - a[0])[0];
  if (largest === undefined && !existsSync(`target/${serviceFile}.cache`))
    process.stderr.write(
      `build: no code cache was created, controllers start more slowly: ${rehearsal.error?.message ?? rehearsal.stderr.slice(-500)}\n`,
    );
  else if (largest !== undefined) await rename(`target/${largest[1]}`, `target/${serviceFile}.cache`).catch(() => undefined);
}

/**
 * Removes files of earlier builds that are more than a day old. A controller that is starting may still load files of the
 * previous build, and ends if they are removed meanwhile.
 */
async function removeOldFiles() {
  const DAY_MS = 24 * 3600 * 1000;
  const currentFiles = new Set([
    ...Object.keys(metafile.outputs),
    `target/${serviceFile}`,
    `target/${serviceFile}.cache`,
    "target/chunks/package.json",
  ]);
  const paths = [
    ...(await readdir("target/chunks")).map((file) => `target/chunks/${file}`),
    ...(await readdir("target")).filter((file) => file.startsWith("service-")).map((file) => `target/${file}`),
  ];
  for (const path of paths) {
    const { mtimeMs } = await stat(path).catch(() => ({ mtimeMs: Date.now() }));
    if (!currentFiles.has(path) && Date.now() - mtimeMs > DAY_MS) await rm(path, { force: true });
  }
}
