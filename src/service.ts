import { exitFor, load } from "./settings/load.js";
import { serve } from "./serve.js";

/** One controller and nothing else: the bundle that is started with a code cache. */
export function main(dir: string, config: string): void {
  try {
    serve(load(dir, config));
  } catch (error) {
    exitFor(error);
  }
}
