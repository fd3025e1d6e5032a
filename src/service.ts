import { reportError, loadSettings } from "./settings/load.js";
import { serve } from "./serve.js";

/** Entry point of the service's bundle, which is loaded with V8's code cache: runs one controller. */
export function main(dir: string, config: string): void {
  try {
    serve(loadSettings(dir, config));
  } catch (error) {
    reportError(error);
  }
}
