import { readFileSync } from "node:fs";
import { join } from "node:path";
import { commands, open } from "./script.js";

declare const SERVICE_FILE: string;

/** A build that could not make one runs all the same, only slower at the start. */
function cache(): Buffer | undefined {
  try {
    return readFileSync(join(__dirname, `${SERVICE_FILE}.cache`));
  } catch {
    return undefined;
  }
}

/**
 * What `node target/main.js` runs first. A controller has a tenth of a core and is started again
 * after every failure: `serve --config FILE` to the letter goes the short way. Everything else,
 * wrong command lines included, loads the command line and what the command needs.
 */
const [, , verb, option, config, ...more] = process.argv;
if (verb === "serve" && option === "--config" && config !== undefined && more.length === 0)
  open(join(__dirname, SERVICE_FILE), cache()).service.main(__dirname, config);
else commands(__dirname);
