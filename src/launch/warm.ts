import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { commands, open } from "./script.js";

declare const SERVICE_FILE: string;

/** So long a controller serves in the build's rehearsal before what V8 compiled of it is kept. */
const WARM_MS = 9_000;

/** Stands in for `main.js` in the build's rehearsal: serves as that does, and writes down the code cache. */
if (process.argv[2] === "serve") {
  const file = join(__dirname, SERVICE_FILE);
  const { script, service } = open(file);
  service.main(__dirname, process.argv[4]!);
  setTimeout(() => writeFileSync(`${file}.cache.${process.pid}`, script.createCachedData()), WARM_MS);
} else commands(__dirname);
