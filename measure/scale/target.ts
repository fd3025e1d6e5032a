import { readFileSync } from "node:fs";
import * as z from "zod";

/** Reads the target size of the fleet (what it is designed for) from a JSON file. */

const positiveInteger = z.number().int().min(1);
const positiveNumber = z.number().finite().positive();

const schema = z.strictObject({
  workers: positiveInteger,
  accelerators: z.number().int().min(0),
  jobs_a_day: positiveNumber,
  peak_starts_per_s: positiveNumber,
  tasks_running: positiveInteger,
  largest_gang: positiveInteger,
  teams: positiveInteger,
  urgent_start_s: positiveNumber,
  regions: positiveInteger,
  zones: positiveInteger,
  configuration_changes_a_day: positiveNumber,
  configuration_in_force_s: positiveNumber,
  worker_core_share: positiveNumber,
  worker_memory_mb: positiveNumber,
  worker_bytes_per_s: positiveNumber,
  control_machines: positiveInteger,
  machines_failed_a_day: positiveNumber,
  machines_replaced_a_day: positiveNumber,
});

/** Target size and requirements of the fleet. */
export type Target = z.infer<typeof schema>;

/** A target file is invalid. The message names the file, the field and the expected value. */
export class TargetFileError extends Error {}

/** Parses a target file; `file` is its name in error messages. */
export function parseTarget(file: string, text: string): Target {
  let raw: unknown;
  try {
    raw = JSON.parse(text);
  } catch {
    throw new TargetFileError(`${file}: not JSON`);
  }
  const result = schema.safeParse(raw);
  if (result.success) return result.data;
  throw new TargetFileError(result.error.issues.map((issue) => `${file}: ${issue.path.join(".") || "(top)"}: ${issue.message}`).join("; "));
}

/** Reads and parses a target file. */
export function loadTarget(file: string): Target {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    throw new TargetFileError(`${file}: cannot be read: ${(error as Error).message}`);
  }
  return parseTarget(file, text);
}
