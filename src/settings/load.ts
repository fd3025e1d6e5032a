import { readFileSync } from "node:fs";
import { join } from "node:path";
import { derive, type Settings } from "./derived.js";
import { checkOperators } from "./operators.js";
import { parsePlatform, SettingsError } from "./platform-file.js";

/** Loads the settings and reports errors of commands. */

function read(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch (error) {
    throw new SettingsError(`${file}: cannot be read: ${(error as Error).message}`);
  }
}

/**
 * Loads the operators' settings, which the build converts from HCL to JSON in `dir`, and the platform's from `config`.
 * Throws SettingsError.
 */
export function loadSettings(dir: string, config: string): Settings {
  const operators = checkOperators("deploy/operators.hcl", JSON.parse(read(join(dir, "operators.json"))));
  return derive(parsePlatform(config, read(config)), operators);
}

/** Exit codes of commands by class name of the error; names are used because the classes are in packages loaded only on demand. */
const EXIT_CODES: Record<string, number> = { SettingsError: 3, SettingsFault: 3, CommandFailed: 4, FolderError: 4 };

/** Prints an expected error in one line and sets the exit code described in the README. Rethrows any other error. */
export function reportError(error: unknown): void {
  const exitCode = EXIT_CODES[(error as Error).constructor.name];
  if (exitCode === undefined) throw error;
  process.stderr.write(`thorntrail: ${(error as Error).message}\n`);
  process.exitCode = exitCode;
}
