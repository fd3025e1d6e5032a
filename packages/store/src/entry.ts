/** The `store` commands: serve, check, snapshot and restore. */
import { existsSync } from "node:fs";
import { statfs } from "node:fs/promises";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import { pino } from "pino";
import { restoreSnapshot, writeSnapshot, type SnapshotSummary } from "./snapshot-file.js";
import { FolderError, openDataFolder } from "./folder.js";
import { checkData, type CheckReport } from "./level-engine.js";
import { StoreServer } from "./server.js";
import { storeLimits, loadHcl, storeSettings, type StoreSettings } from "./settings.js";
import { Store, type StoreClock } from "./store.js";

export { FolderError } from "./folder.js";
export { SettingsFault } from "./settings.js";

/** The process's monotonic clock and timers. */
export const steadyClock: StoreClock = {
  now: () => performance.now(),
  after(ms, fn) {
    const timer = setTimeout(fn, ms);
    return () => clearTimeout(timer);
  },
};

/** Interval between two checks of the free disk space. */
const DISK_CHECK_INTERVAL_MS = 1000;

/** Monitors free disk space. While less than the reserve is left, the store refuses changes, because every answered change must fit in the log. */
class DiskSpaceMonitor {
  private shortageText: string | null = null;

  constructor(
    private readonly dir: string,
    private readonly reserveMb: number,
  ) {
    void this.check();
    setInterval(() => void this.check(), DISK_CHECK_INTERVAL_MS).unref();
  }

  private async check(): Promise<void> {
    try {
      const { bavail, bsize } = await statfs(this.dir);
      const leftMb = (bavail * bsize) / 2 ** 20;
      this.shortageText =
        leftMb < this.reserveMb ? `the disk has ${Math.floor(leftMb)} MB left, ${this.reserveMb} are kept in reserve` : null;
    } catch {
      // The free space cannot be determined, so a shortage will show as a failed write.
      this.shortageText = null;
    }
  }

  /** Why changes must be refused, or null if there is enough space. */
  shortage(): string | null {
    return this.shortageText;
  }
}

function parseAddress(text: string, option: string): [string, number] {
  const found = /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/.exec(text);
  if (found === null || Number(found[2]) > 65_535) throw new FolderError(`${option} ${text}: give an address like 127.0.0.1:2379`);
  return [found[1]!, Number(found[2])];
}

/** Options of the command `store serve`: addresses, data folder and settings file. */
export interface ServeOptions {
  listen: string;
  data: string;
  config?: string;
  admin?: string;
}

/**
 * Runs the state service until SIGTERM or SIGINT. Prints one line of JSON with its address
 * and newest revision (`ledger`) once it serves. Throws `FolderError` or `SettingsFault` if
 * it cannot start.
 */
export async function storeServe(options: ServeOptions): Promise<void> {
  const settings: StoreSettings = options.config === undefined ? storeSettings.parse({}) : await loadHcl(options.config, storeSettings);
  const [host, port] = parseAddress(options.listen, "--listen");
  const log = pino({ level: process.env["LOG_LEVEL"] ?? "info", base: { service: "store" } }, pino.destination({ fd: 2, sync: true }));
  const engine = await openDataFolder(options.data, { create: true });
  const store = await Store.open(engine, steadyClock, storeLimits(settings)).catch((error: Error) => {
    throw new FolderError(`${options.data}: ${error.message}; run 'store check', or restore a snapshot into a new folder`);
  });
  store.onStorageFault = (what, error) => log.error({ err: error.message }, what);
  const diskSpace = new DiskSpaceMonitor(options.data, settings.storage.reserve_mb);
  const server = new StoreServer(store, {
    connections: settings.connections,
    onUnexpectedError: (error) => log.error({ err: String(error.stack ?? error) }, "unexpected fault"),
    diskShortage: () => diskSpace.shortage(),
  });
  let listening: number;
  try {
    listening = await server.listen(host, port);
    if (options.admin !== undefined) {
      const [adminHost, adminPort] = parseAddress(options.admin, "--admin");
      const { serveAdmin } = await import("./admin.js");
      await serveAdmin(store, engine, adminHost, adminPort);
    }
  } catch (error) {
    throw new FolderError(`cannot listen: ${(error as Error).message}; choose another address`);
  }
  log.info({ listen: `${host}:${listening}`, data: options.data, ledger: store.ledger }, "serving");
  process.stdout.write(`${JSON.stringify({ listening: `${host}:${listening}`, ledger: store.ledger })}\n`);
  const shutDown = (): void => void server.close().then(() => process.exit(0));
  process.once("SIGTERM", shutDown);
  process.once("SIGINT", shutDown);
}

/** Checks the integrity of a data folder that no process has open; throws `FolderError` if it cannot be opened. */
export async function storeCheck(dir: string): Promise<CheckReport> {
  const engine = await openDataFolder(dir, { create: false });
  try {
    return await checkData(engine);
  } finally {
    await engine.close();
  }
}

/** Writes a snapshot of a data folder that no process has open; throws `FolderError` if that fails. */
export async function storeSnapshot(dir: string, file: string): Promise<SnapshotSummary> {
  const engine = await openDataFolder(dir, { create: false });
  try {
    return await writeSnapshot(engine, file);
  } catch (error) {
    throw new FolderError(`${file}: ${(error as Error).message}`);
  } finally {
    await engine.close();
  }
}

/** Restores a snapshot into a new data folder, skipping `skip` revisions; throws `FolderError` if that fails. */
export async function storeRestore(file: string, dir: string, skip?: number): Promise<SnapshotSummary> {
  if (!existsSync(file)) throw new FolderError(`${file}: there is no such file`);
  return restoreSnapshot(file, join(dir), skip);
}
