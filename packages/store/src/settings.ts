import { readFileSync } from "node:fs";
import { z } from "zod";
import type { StoreLimits } from "./store.js";

/** A file of operators' settings that does not hold: file, field, and what was expected. */
export class SettingsFault extends Error {}

/** Blocks come as lists with one entry from the parser, at every depth; `lists` stay lists. */
function flatten(file: string, tree: unknown, lists: ReadonlySet<string>, path = ""): unknown {
  if (tree === null || typeof tree !== "object" || Array.isArray(tree)) return tree;
  const flat: Record<string, unknown> = {};
  for (const [name, value] of Object.entries(tree)) {
    const at = path === "" ? name : `${path}.${name}`;
    const isBlock = Array.isArray(value) && value.every((one) => one !== null && typeof one === "object" && !Array.isArray(one));
    if (isBlock && lists.has(name)) flat[name] = value.map((one: unknown, i: number) => flatten(file, one, lists, `${at}.${i}`));
    else if (isBlock && value.length > 1) throw new SettingsFault(`${file}: ${at}: given ${value.length} times, expected once`);
    else flat[name] = isBlock ? flatten(file, value[0], lists, at) : value;
  }
  return flat;
}

/** An HCL file read, flattened and checked. `lists`: names of blocks that may come several times. */
export async function loadHcl<T>(file: string, schema: z.ZodType<T>, lists: string[] = []): Promise<T> {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    throw new SettingsFault(`${file}: cannot be read: ${(error as Error).message}`);
  }
  return parseHcl(file, text, schema, lists);
}

export async function parseHcl<T>(file: string, text: string, schema: z.ZodType<T>, lists: string[] = []): Promise<T> {
  const { parse } = await import("@cdktf/hcl2json");
  let tree: unknown;
  try {
    tree = await parse(file, text);
  } catch (error) {
    // The parser's own message names line and column after the file.
    const said = /:(\d+),(\d+)[^:]*: (.*)/.exec(String((error as Error)?.message ?? error));
    throw new SettingsFault(said === null ? `${file}: not HCL` : `${file}: line ${said[1]}, column ${said[2]}: ${said[3]}`);
  }
  const result = schema.safeParse(flatten(file, tree, new Set(lists)));
  if (result.success) return result.data;
  throw new SettingsFault(result.error.issues.map((issue) => `${file}: ${issue.path.join(".") || "(top)"}: ${issue.message}`).join("; "));
}

const positive = z.number().finite().positive();

/** `deploy/store.hcl`: what one store takes. The defaults are those that controllers assume of a small installation. */
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
export type StoreSettings = z.infer<typeof storeSettings>;

export function limitsOf({ limits }: StoreSettings): StoreLimits {
  return {
    rps: limits.requests_per_second,
    writeRps: limits.changes_per_second,
    valueKb: limits.value_kb,
    txnOps: limits.changes_per_transaction,
  };
}
