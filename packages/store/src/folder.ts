/** Opens the store's data folder and checks its format version. */
import { existsSync, mkdirSync, openSync, fsyncSync, closeSync, readdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { z } from "zod";
import { LevelEngine } from "./level-engine.js";

/** Thrown if the data folder or an argument cannot be used; the message gives the cause and the remedy. */
export class FolderError extends Error {}

/** File that identifies a folder as a store's data folder and holds its format version. */
const MARKER_FILE = "thorntrail-store.json";
const FORMAT_VERSION = 1;
const markerSchema = z.object({ format: z.number().int() });

/** Syncs a directory, so that entries created or renamed in it survive a crash of the machine. */
export function syncDirectory(dir: string): void {
  const fd = openSync(dir, "r");
  try {
    fsyncSync(fd);
  } finally {
    closeSync(fd);
  }
}

function errorCode(error: unknown): string {
  const source = error as { code?: string; cause?: { code?: string } };
  return source.cause?.code ?? source.code ?? "";
}

function errorText(error: unknown): string {
  const source = error as { message?: string; cause?: { message?: string } };
  return source.cause?.message ?? source.message ?? String(error);
}

/**
 * Opens a data folder, creating it if it does not exist and `create` is set. A folder that
 * is not clearly a store's is refused before anything in it is changed. Throws
 * `FolderError`, also if another process has the folder open.
 */
export async function openDataFolder(dir: string, options: { create: boolean }): Promise<LevelEngine> {
  let names: string[] = [];
  try {
    if (existsSync(dir)) names = readdirSync(dir);
    else if (!options.create) throw new FolderError(`${dir}: there is no such folder; give the one that 'store serve --data' was given`);
    else mkdirSync(dir, { recursive: true });
  } catch (error) {
    if (error instanceof FolderError) throw error;
    throw new FolderError(`${dir}: cannot be used as a data folder: ${errorText(error)}`);
  }
  const file = join(dir, MARKER_FILE);
  if (names.length === 0) {
    if (!options.create) throw new FolderError(`${dir}: is empty; give the folder that 'store serve --data' was given`);
    try {
      writeFileSync(file, `${JSON.stringify({ format: FORMAT_VERSION })}\n`, { flush: true });
      syncDirectory(dir);
    } catch (error) {
      throw new FolderError(`${dir}: cannot be written: ${errorText(error)}`);
    }
  } else if (!names.includes(MARKER_FILE)) {
    throw new FolderError(`${dir}: holds files of something else (${names.slice(0, 3).join(", ")}); give an empty folder or a store's own`);
  }
  let format: number | undefined;
  try {
    format = markerSchema.parse(JSON.parse(readFileSync(file, "utf8"))).format;
  } catch {
    throw new FolderError(
      `${file}: is damaged; if db/ beside it is whole, write {"format":${FORMAT_VERSION}} into it, then run 'store check ${dir}'`,
    );
  }
  if (format !== FORMAT_VERSION)
    throw new FolderError(
      `${file}: format ${format} is of another version; this one reads ${FORMAT_VERSION}: use the version that wrote it`,
    );
  try {
    return await LevelEngine.open(join(dir, "db"));
  } catch (error) {
    if (errorCode(error) === "LEVEL_LOCKED") throw new FolderError(`${dir}: another process has it open; stop that one first`);
    throw new FolderError(
      `${dir}: the database cannot be opened (${errorText(error)}); restore a snapshot with 'store restore FILE DIR' into a new folder`,
    );
  }
}
