/** Reads settings files in HCL, and defines the settings of the store. */
import { readFileSync } from "node:fs";
import { z } from "zod";
import type { StoreLimits } from "./store.js";

/** Thrown if a settings file is invalid; the message names the file, the field and what was expected. */
export class SettingsFault extends Error {}

/** The HCL parser returns every block as a list. Replaces each list by its single block, at every depth; blocks named in `lists` stay lists. */
function unwrapBlocks(file: string, tree: unknown, lists: ReadonlySet<string>, path = ""): unknown {
  if (tree === null || typeof tree !== "object" || Array.isArray(tree)) return tree;
  const flat: Record<string, unknown> = {};
  for (const [name, value] of Object.entries(tree)) {
    const fieldPath = path === "" ? name : `${path}.${name}`;
    const isBlock = Array.isArray(value) && value.every((one) => one !== null && typeof one === "object" && !Array.isArray(one));
    if (isBlock && lists.has(name))
      flat[name] = value.map((one: unknown, i: number) => unwrapBlocks(file, one, lists, `${fieldPath}.${i}`));
    else if (isBlock && value.length > 1) throw new SettingsFault(`${file}: ${fieldPath}: given ${value.length} times, expected once`);
    else flat[name] = isBlock ? unwrapBlocks(file, value[0], lists, fieldPath) : value;
  }
  return flat;
}

/**
 * Reads an HCL file and validates it against the schema. `lists` names the blocks that may
 * occur more than once. Throws `SettingsFault` if the file cannot be read or is invalid.
 */
export async function loadHcl<T>(file: string, schema: z.ZodType<T>, lists: string[] = []): Promise<T> {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    throw new SettingsFault(`${file}: cannot be read: ${(error as Error).message}`);
  }
  return parseHcl(file, text, schema, lists);
}

/** Parses and validates HCL text; `file` is the name used in error messages. Throws `SettingsFault` if the text is invalid. */
export async function parseHcl<T>(file: string, text: string, schema: z.ZodType<T>, lists: string[] = []): Promise<T> {
  const { parse } = await import("@cdktf/hcl2json");
  let tree: unknown;
  try {
    tree = await parse(file, text);
  } catch (error) {
    // The HCL parser's message has the line and column of the error after the file name.
    const match = /:(\d+),(\d+)[^:]*: (.*)/.exec(String((error as Error)?.message ?? error));
    throw new SettingsFault(match === null ? `${file}: not HCL` : `${file}: line ${match[1]}, column ${match[2]}: ${match[3]}`);
  }
  const result = schema.safeParse(unwrapBlocks(file, tree, new Set(lists)));
  if (result.success) return result.data;
  throw new SettingsFault(result.error.issues.map((issue) => `${file}: ${issue.path.join(".") || "(top)"}: ${issue.message}`).join("; "));
}

const positive = z.number().finite().positive();

/** Schema of `deploy/store.hcl`: the limits of one store. The defaults are the limits that controllers assume of a small installation. */
export const storeSettings = z.strictObject({
  limits: z
    .strictObject({
      requests_per_second: positive.default(2000),
      changes_per_second: positive.default(1000),
      value_kb: positive.max(64).default(32),
      changes_per_transaction: z.number().int().min(1).max(1000).default(16),
    })
    .prefault({}),
  storage: z.strictObject({ reserve_mb: z.number().finite().min(0).default(64) }).prefault({}),
  connections: z.number().int().min(8).default(2000),
});
/** Settings of a store, with defaults applied. */
export type StoreSettings = z.infer<typeof storeSettings>;

/** Returns the limits in a store's settings in the form that the store uses. */
export function storeLimits({ limits }: StoreSettings): StoreLimits {
  return {
    rps: limits.requests_per_second,
    writeRps: limits.changes_per_second,
    valueKb: limits.value_kb,
    txnOps: limits.changes_per_transaction,
  };
}
