import { readFileSync } from "node:fs";
import { createRequire } from "node:module";
import { dirname } from "node:path";
import { Script } from "node:vm";

/** Exports of the service's bundle. */
export interface Service {
  /** Runs one controller; `dir`: directory of the build's files, `config`: path of the platform's settings file. */
  main(dir: string, config: string): void;
}

/**
 * Loads a CommonJS bundle as one V8 script. `cached` is the code cache that an earlier process saved
 * for the same bundle; with it, almost nothing is compiled at start. V8 compares only the length of
 * the source, its own version and its flags, not the text, so the names of bundle and cache contain a
 * hash of the text. A cache that does not match is ignored, and the bundle is compiled.
 */
export function loadBundle(file: string, cached?: Buffer): { script: Script; service: Service } {
  const source = `(function(exports,require,module,__filename,__dirname){${readFileSync(file, "latin1")}\n})`;
  const script = new Script(source, { filename: file, ...(cached === undefined ? {} : { cachedData: cached }) });
  const module = { exports: {} as Service };
  const wrapper = script.runInThisContext() as (...args: unknown[]) => void;
  wrapper(module.exports, createRequire(file), module, file, dirname(file));
  return { script, service: module.exports };
}

/** Runs the command-line interface, which loads only the modules that the given command needs. */
export function runCommandLine(dir: string): void {
  void import(`${dir}/cli.mjs`).then((cli: { main: (dir: string) => Promise<void> }) => cli.main(dir));
}
