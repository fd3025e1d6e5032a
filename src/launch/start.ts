import { readFileSync } from "node:fs";
import { join } from "node:path";
import { runCommandLine, loadBundle } from "./script.js";

declare const SERVICE_FILE: string;

/** Returns V8's code cache saved by the build, or undefined if there is none; the service then starts more slowly. */
function readCodeCache(): Buffer | undefined {
  try {
    return readFileSync(join(__dirname, `${SERVICE_FILE}.cache`));
  } catch {
    return undefined;
  }
}

/**
 * Entry point of `node target/main.js`. A controller has a tenth of a core and is restarted after
 * every failure, so exactly `serve --config FILE` starts the service's bundle directly. All other
 * arguments, including invalid ones, load the command-line interface and the modules that the
 * command needs.
 */
const [, , command, option, config, ...more] = process.argv;
if (command === "serve" && option === "--config" && config !== undefined && more.length === 0)
  loadBundle(join(__dirname, SERVICE_FILE), readCodeCache()).service.main(__dirname, config);
else runCommandLine(__dirname);
