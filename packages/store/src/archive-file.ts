import { createHash } from "node:crypto";
import { createReadStream, createWriteStream, existsSync, readdirSync, renameSync, rmSync } from "node:fs";
import { open } from "node:fs/promises";
import { basename, dirname, join } from "node:path";
import { createInterface } from "node:readline";
import { Readable } from "node:stream";
import { pipeline } from "node:stream/promises";
import { createGunzip, createGzip } from "node:zlib";
import { FolderError, openFolder, syncFolder } from "./folder.js";
import type { LevelEngine } from "./level-engine.js";

/**
 * Snapshots: a gzip file of lines. The first says what it is, then come names and
 * texts, the last says how many and their digest; a file cut short has no last line.
 */
const HEAD = { thorntrail: "store snapshot", format: 1 };
const FILL = 1000;

/**
 * Revisions that a restored store skips. Tokens and attempts are made from revisions,
 * and machines remember the highest token: what was handed out since the snapshot was
 * made must not be handed out again.
 */
export const SKIP = 1_000_000;

export interface Written {
  entries: number;
  ledger: number;
}

export async function writeSnapshot(engine: LevelEngine, file: string): Promise<Written> {
  const digest = createHash("sha256");
  const { ledger } = await engine.meta();
  let entries = 0;
  async function* lines(): AsyncGenerator<string> {
    yield `${JSON.stringify(HEAD)}\n`;
    for await (const entry of engine.everything()) {
      const line = `${JSON.stringify(entry)}\n`;
      digest.update(line);
      entries++;
      yield line;
    }
    yield `${JSON.stringify({ entries, sha256: digest.digest("hex") })}\n`;
  }
  const half = `${file}.part`;
  await pipeline(Readable.from(lines()), createGzip(), createWriteStream(half));
  // Under its own name only once it is whole and on disk.
  const handle = await open(half, "r+");
  await handle.sync();
  await handle.close();
  renameSync(half, file);
  syncFolder(dirname(file));
  return { entries, ledger };
}

/** Makes a data folder from a snapshot. The folder appears under its name only if the whole file was good. */
export async function readSnapshot(file: string, dir: string, skip = SKIP): Promise<Written> {
  if (existsSync(dir) && readdirSync(dir).length > 0) throw new FolderError(`${dir}: is not empty; restore into a new folder`);
  const half = join(dirname(dir), `.${basename(dir)}.restoring`);
  rmSync(half, { recursive: true, force: true });
  const engine = await openFolder(half, { make: true });
  let done = false;
  try {
    const entries = await fill(engine, file);
    const ledger = (await engine.meta()).ledger + skip;
    await engine.skipTo(ledger);
    await engine.close();
    rmSync(dir, { recursive: true, force: true });
    renameSync(half, dir);
    syncFolder(dirname(dir));
    done = true;
    return { entries, ledger };
  } finally {
    if (!done) {
      await engine.close().catch(() => undefined);
      rmSync(half, { recursive: true, force: true });
    }
  }
}

async function fill(engine: LevelEngine, file: string): Promise<number> {
  const digest = createHash("sha256");
  let n = -1;
  let end: { entries: number; sha256: string } | null = null;
  const some: [string, string][] = [];
  const wrong = (what: string): FolderError => new FolderError(`${file}: line ${n + 2}: ${what}; take another snapshot file`);
  const source = createReadStream(file);
  const text = source.pipe(createGunzip());
  source.on("error", (error) => text.destroy(error));
  try {
    for await (const line of createInterface({ input: text, crlfDelay: Infinity })) {
      const value = JSON.parse(line) as unknown;
      if (end !== null) throw wrong("something follows the end");
      if (n < 0) {
        if (JSON.stringify(value) !== JSON.stringify(HEAD)) throw wrong("expected the head of a store snapshot of this version");
      } else if (Array.isArray(value) && value.length === 2 && value.every((part) => typeof part === "string")) {
        digest.update(`${line}\n`);
        some.push(value as [string, string]);
      } else if (value !== null && typeof value === "object" && "sha256" in value) end = value as { entries: number; sha256: string };
      else throw wrong("expected a name and a text");
      if (some.length >= FILL) await engine.fill(some.splice(0), false);
      if (end === null) n++;
    }
  } catch (error) {
    if (error instanceof FolderError) throw error;
    throw wrong((error as Error).message);
  }
  if (end === null) throw wrong("the file is cut short");
  if (end.entries !== n || end.sha256 !== digest.digest("hex")) throw wrong("the digest does not match what stands before");
  await engine.fill(some, true);
  return n;
}
