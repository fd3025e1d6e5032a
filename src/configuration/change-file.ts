import { parse } from "smol-toml";
import * as z from "zod";
import { describeIssues, SettingsError, teamSchema } from "../settings/platform-file.js";
import type { TeamChange } from "./teams.js";

/** Reads an operator's TOML file with a configuration change: `[[teams]]` to set, as in the platform's file, and `remove = [...]`. */

const schema = z.strictObject({
  teams: z.array(teamSchema.strict()).default([]),
  remove: z.array(z.string().min(1)).default([]),
});

/** Parses a change file. Throws SettingsError with the file, each invalid field and the expected value. */
export function parseChange(file: string, text: string): TeamChange {
  let raw: unknown;
  try {
    raw = parse(text);
  } catch (error) {
    throw new SettingsError(`${file}: not TOML: ${(error as Error).message.split("\n")[0]}`);
  }
  const result = schema.safeParse(raw);
  if (!result.success) throw new SettingsError(describeIssues(file, result.error));
  return { set: result.data.teams, remove: result.data.remove };
}
