import { readFileSync } from "node:fs";
import { join } from "node:path";
import { derive, type Settings } from "./derived.js";
import { checkOperators } from "./operators.js";
import { parsePlatform, SettingsError } from "./platform-file.js";

function read(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch (error) {
    throw new SettingsError(`${file}: cannot be read: ${(error as Error).message}`);
  }
}

/** The operators' HCL is turned into JSON when the service is built, into `dir`. */
export function load(dir: string, config: string): Settings {
  const operators = checkOperators("deploy/operators.hcl", JSON.parse(read(join(dir, "operators.json"))));
  return derive(parsePlatform(config, read(config)), operators);
}

/** Faults of commands, by name: their classes live in packages that are not loaded unless asked for. */
const EXITS: Record<string, number> = { SettingsError: 3, SettingsFault: 3, CommandFailed: 4, FolderError: 4 };

/** Says in one line what to do about it, and sets the exit code as in the README. What nobody foresaw is thrown on. */
export function exitFor(error: unknown): void {
  const exit = EXITS[(error as Error).constructor.name];
  if (exit === undefined) throw error;
  process.stderr.write(`thorntrail: ${(error as Error).message}\n`);
  process.exitCode = exit;
}
