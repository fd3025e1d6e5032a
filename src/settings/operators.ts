import * as z from "zod";
import { describeIssues, SettingsError } from "./platform-file.js";

/** Schema of the operators' settings. */

const seconds = z.number().finite().min(0);
const ratio = z.number().finite().positive();

/** Settings that operators may tune; docs/operations.md describes each of them. */
const schema = z.strictObject({
  exchange: z
    .strictObject({
      phi: seconds.default(5),
      delta: z.number().min(0).max(1).default(0.7),
      sigma: seconds.min(0.1).default(10),
      epsilon: z.number().min(0).max(1).default(0.1),
      answer_limit: seconds.min(0.05).default(2),
      mode: z.enum(["symmetric", "volunteers", "ask", "off"]).default("symmetric"),
    })
    .prefault({}),
  queue: z
    .strictObject({
      order: z.enum(["aims", "urgency", "arrival"]).default("aims"),
      backfill: z.boolean().default(true),
      guesses: z.enum(["learned", "owner"]).default("learned"),
    })
    .prefault({}),
  fleet: z
    .strictObject({
      idle_per_boot: ratio.default(0.4),
      late_per_boot: ratio.default(3),
      soon_per_boot: z.number().finite().min(0).default(1),
    })
    .prefault({}),
});

/** The operators' settings after validation. */
export type OperatorSettings = z.infer<typeof schema>;

/** Checks the tree that the HCL parser returns, in which a block is a list with one entry. Throws SettingsError. */
export function checkOperators(file: string, tree: unknown): OperatorSettings {
  const blocks: Record<string, unknown> = {};
  for (const [name, value] of Object.entries((tree ?? {}) as Record<string, unknown>)) {
    if (Array.isArray(value) && value.length > 1) throw new SettingsError(`${file}: ${name}: given more than once`);
    blocks[name] = Array.isArray(value) ? value[0] : value;
  }
  const result = schema.safeParse(blocks);
  if (!result.success) throw new SettingsError(describeIssues(file, result.error));
  return result.data;
}
