import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { runCommandLine, loadBundle } from "./script.js";

declare const SERVICE_FILE: string;

/** Time for which a controller serves, in a short rehearsal during the build, before V8's code cache is saved. */
const WARM_MS = 9_000;

/** Entry point that replaces `main.js` in a short rehearsal during the build: runs a controller and saves V8's code cache. */
if (process.argv[2] === "serve") {
  const file = join(__dirname, SERVICE_FILE);
  const { script, service } = loadBundle(file);
  service.main(__dirname, process.argv[4]!);
  setTimeout(() => writeFileSync(`${file}.cache.${process.pid}`, script.createCachedData()), WARM_MS);
} else runCommandLine(__dirname);
