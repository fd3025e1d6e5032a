import { readFileSync } from "node:fs";
import { createRequire } from "node:module";
import { dirname } from "node:path";
import { Script } from "node:vm";

/** What the bundle of the service exports. */
export interface Service {
  /** Runs one controller; `dir`: where the build put its files, `config`: path of the platform's settings. */
  main(dir: string, config: string): void;
}

/**
 * A CommonJS bundle as one script of V8. With `cached`, what an earlier process compiled of the
 * very same bundle is taken over: a start then compiles next to nothing. V8 compares the length of
 * the source, its own version and flags, not the text: so bundle and cache carry a hash of the
 * text in their names. What does not match is compiled as ever.
 */
export function open(file: string, cached?: Buffer): { script: Script; service: Service } {
  const source = `(function(exports,require,module,__filename,__dirname){${readFileSync(file, "latin1")}\n})`;
  const script = new Script(source, { filename: file, ...(cached === undefined ? {} : { cachedData: cached }) });
  const module = { exports: {} as Service };
  const wrapper = script.runInThisContext() as (...args: unknown[]) => void;
  wrapper(module.exports, createRequire(file), module, file, dirname(file));
  return { script, service: module.exports };
}

/** Everything but a plain start: the command line, with what the command needs. */
export function commands(dir: string): void {
  void import(`${dir}/cli.mjs`).then((cli: { main: (dir: string) => Promise<void> }) => cli.main(dir));
}
