/** Writes and restores snapshot files of the store. */
import { createHash } from "node:crypto";
import { createReadStream, createWriteStream, existsSync, readdirSync, renameSync, rmSync } from "node:fs";
import { open } from "node:fs/promises";
import { basename, dirname, join } from "node:path";
import { createInterface } from "node:readline";
import { Readable } from "node:stream";
import { pipeline } from "node:stream/promises";
import { createGunzip, createGzip } from "node:zlib";
import { FolderError, openDataFolder, syncDirectory } from "./folder.js";
import type { LevelEngine } from "./level-engine.js";

/**
 * Snapshot files are gzip-compressed JSON lines: a header with the format, one line per
 * record (name and text), and a trailer with the number of records and their SHA-256
 * digest. A truncated file has no trailer.
 */
const HEADER = { thorntrail: "store snapshot", format: 1 };
/** Number of records written to the engine at a time during a restore. */
const RESTORE_BATCH_ENTRIES = 1000;

/**
 * Default number of revisions that a restored store skips. Ownership tokens and attempt
 * numbers are derived from revisions, and workers remember the highest token seen, so
 * revisions handed out after the snapshot was taken must not be used again.
 */
export const DEFAULT_SKIPPED_REVISIONS = 1_000_000;

/** Number of records and newest revision of a snapshot written or restored, printed under these names. */
export interface SnapshotSummary {
  entries: number;
  ledger: number;
}

/** Writes a snapshot of the engine's data to `file`, also while the store serves requests. The file appears under its name only when it is complete. */
export async function writeSnapshot(engine: LevelEngine, file: string): Promise<SnapshotSummary> {
  const digest = createHash("sha256");
  const { ledger } = await engine.meta();
  let entries = 0;
  async function* lines(): AsyncGenerator<string> {
    yield `${JSON.stringify(HEADER)}\n`;
    for await (const entry of engine.allEntries()) {
      const line = `${JSON.stringify(entry)}\n`;
      digest.update(line);
      entries++;
      yield line;
    }
    yield `${JSON.stringify({ entries, sha256: digest.digest("hex") })}\n`;
  }
  const partialFile = `${file}.part`;
  await pipeline(Readable.from(lines()), createGzip(), createWriteStream(partialFile));
  // The file gets its final name only once it is complete and on disk.
  const handle = await open(partialFile, "r+");
  await handle.sync();
  await handle.close();
  renameSync(partialFile, file);
  syncDirectory(dirname(file));
  return { entries, ledger };
}

/**
 * Creates the data folder `dir` from a snapshot file and advances its newest revision by
 * `skip`. The folder appears under its name only if the whole file is valid; throws
 * `FolderError` if the file is invalid or `dir` is not empty.
 */
export async function restoreSnapshot(file: string, dir: string, skip = DEFAULT_SKIPPED_REVISIONS): Promise<SnapshotSummary> {
  if (existsSync(dir) && readdirSync(dir).length > 0) throw new FolderError(`${dir}: is not empty; restore into a new folder`);
  const partialDir = join(dirname(dir), `.${basename(dir)}.restoring`);
  rmSync(partialDir, { recursive: true, force: true });
  const engine = await openDataFolder(partialDir, { create: true });
  let completed = false;
  try {
    const entries = await loadEntries(engine, file);
    const ledger = (await engine.meta()).ledger + skip;
    await engine.skipToRevision(ledger);
    await engine.close();
    rmSync(dir, { recursive: true, force: true });
    renameSync(partialDir, dir);
    syncDirectory(dirname(dir));
    completed = true;
    return { entries, ledger };
  } finally {
    if (!completed) {
      await engine.close().catch(() => undefined);
      rmSync(partialDir, { recursive: true, force: true });
    }
  }
}

/** Loads the records of a snapshot file into the engine and returns their number; throws `FolderError` if the file is invalid. */
async function loadEntries(engine: LevelEngine, file: string): Promise<number> {
  const digest = createHash("sha256");
  let entryCount = -1;
  let trailer: { entries: number; sha256: string } | null = null;
  const pendingEntries: [string, string][] = [];
  const invalidFile = (what: string): FolderError =>
    new FolderError(`${file}: line ${entryCount + 2}: ${what}; take another snapshot file`);
  const source = createReadStream(file);
  const text = source.pipe(createGunzip());
  source.on("error", (error) => text.destroy(error));
  try {
    for await (const line of createInterface({ input: text, crlfDelay: Infinity })) {
      const value = JSON.parse(line) as unknown;
      if (trailer !== null) throw invalidFile("unexpected text after the trailer");
      if (entryCount < 0) {
        if (JSON.stringify(value) !== JSON.stringify(HEADER)) throw invalidFile("expected the header of a store snapshot of this version");
      } else if (Array.isArray(value) && value.length === 2 && value.every((element) => typeof element === "string")) {
        digest.update(`${line}\n`);
        pendingEntries.push(value as [string, string]);
      } else if (value !== null && typeof value === "object" && "sha256" in value) trailer = value as { entries: number; sha256: string };
      else throw invalidFile("expected a name and a text");
      if (pendingEntries.length >= RESTORE_BATCH_ENTRIES) await engine.putEntries(pendingEntries.splice(0), false);
      if (trailer === null) entryCount++;
    }
  } catch (error) {
    if (error instanceof FolderError) throw error;
    throw invalidFile((error as Error).message);
  }
  if (trailer === null) throw invalidFile("the file is truncated");
  if (trailer.entries !== entryCount || trailer.sha256 !== digest.digest("hex"))
    throw invalidFile("the digest or the number of records does not match the file");
  await engine.putEntries(pendingEntries, true);
  return entryCount;
}
