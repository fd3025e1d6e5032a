import { readFileSync } from "node:fs";
import * as z from "zod";

/** The size that the fleet is designed for, read from a JSON file. */

const count = z.number().int().min(1);
const positive = z.number().finite().positive();

const schema = z.strictObject({
  workers: count,
  accelerators: z.number().int().min(0),
  jobs_a_day: positive,
  peak_starts_per_s: positive,
  tasks_running: count,
  largest_gang: count,
  teams: count,
  urgent_start_s: positive,
  regions: count,
  zones: count,
  configuration_changes_a_day: positive,
  configuration_in_force_s: positive,
  worker_core_share: positive,
  worker_memory_mb: positive,
  worker_bytes_per_s: positive,
  control_machines: count,
  machines_failed_a_day: positive,
  machines_replaced_a_day: positive,
});

export type Target = z.infer<typeof schema>;

/** A file that does not hold: its name, the field, and what was expected. */
export class TargetFault extends Error {}

export function parseTarget(file: string, text: string): Target {
  let raw: unknown;
  try {
    raw = JSON.parse(text);
  } catch {
    throw new TargetFault(`${file}: not JSON`);
  }
  const result = schema.safeParse(raw);
  if (result.success) return result.data;
  throw new TargetFault(result.error.issues.map((issue) => `${file}: ${issue.path.join(".") || "(top)"}: ${issue.message}`).join("; "));
}

export function loadTarget(file: string): Target {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    throw new TargetFault(`${file}: cannot be read: ${(error as Error).message}`);
  }
  return parseTarget(file, text);
}
