import { readFileSync } from "node:fs";
import { performance } from "node:perf_hooks";
import { parseChange } from "../configuration/change-file.js";
import { isInForce, partitionStatuses, type PartitionVersionStatus } from "../configuration/in-force.js";
import { ChangeRefused, ConfigurationStore } from "../configuration/store.js";
import type { ConfigurationHistoryRecord } from "../ledger/records.js";
import { keys } from "../ledger/records.js";
import { HttpStateClient } from "../ledger/state-client.js";
import { DRIFT, type Settings } from "../settings/derived.js";
import { SettingsError } from "../settings/platform-file.js";
import { CommandFailed } from "./client.js";

/** The `config` commands. They access the state service directly, at its address in the settings, so they work without any controller. */

const POLL_INTERVAL_MS = 250;

function openStore(settings: Settings): ConfigurationStore {
  const { endpoints, deployment } = settings.platform;
  return new ConfigurationStore(new HttpStateClient(endpoints.state, settings.timing.stateTimeoutMs), deployment.teams, settings.state);
}

/** Converts a refused change into the error that the other commands throw: SettingsError or CommandFailed. */
async function withCommandErrors<T>(file: string | null, work: () => Promise<T>): Promise<T> {
  try {
    return await work();
  } catch (error) {
    if (!(error instanceof ChangeRefused)) throw error;
    if (error.code === "invalid" && file !== null) throw new SettingsError(`${file}: ${error.message}`);
    throw new CommandFailed(error.message);
  }
}

/** Returns the newest configuration version and its teams. Throws CommandFailed. */
export async function getConfiguration(settings: Settings): Promise<Record<string, unknown>> {
  const { head, teams } = await withCommandErrors(null, () => openStore(settings).read());
  return { version: head?.version ?? 0, prepared: head?.prepared !== undefined, teams };
}

/** Applies the configuration change described in a file. Throws SettingsError or CommandFailed. */
export async function setConfiguration(settings: Settings, file: string): Promise<Record<string, unknown>> {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    throw new SettingsError(`${file}: cannot be read: ${(error as Error).message}`);
  }
  const change = parseChange(file, text);
  return withCommandErrors(file, async () => ({ ...(await openStore(settings).set(change)) }));
}

/** Returns what each configuration version in the history changed. Throws CommandFailed. */
export async function configurationHistory(settings: Settings): Promise<ConfigurationHistoryRecord[]> {
  return (await withCommandErrors(null, () => openStore(settings).read())).history;
}

/** Returns the status, in each partition, of a configuration version that was written at `at` (time of day). */
async function readStandings(
  store: ConfigurationStore,
  settings: Settings,
  version: number,
  at: number,
  waitedMs: number,
): Promise<PartitionVersionStatus[]> {
  const [owners, presence] = [await store.owners(), await store.presence()];
  const { clock_off_ms } = settings.platform.deployment;
  return partitionStatuses({
    version,
    partitions: settings.nodes.length,
    owner: (partition) => owners.get(keys.owner(partition)),
    presence: (node) => presence.get(keys.presenceOf(node))?.v,
    // The clocks of this process and of the one that wrote the version may each be off by clock_off_ms; `waitedMs` does not depend on them.
    elapsedMs: Math.max(waitedMs, Date.now() - at - 2 * clock_off_ms),
    silentAfterMs: settings.timing.silentAfterMs * (1 + 2 * DRIFT),
  });
}

/**
 * Resolves once the configuration version is in force in all partitions. Throws CommandFailed if the version does not
 * exist or is not in force within `withinMs`.
 */
export async function waitForConfiguration(
  settings: Settings,
  version: number,
  withinMs: number,
  progress: (text: string) => void,
): Promise<Record<string, unknown>> {
  const store = openStore(settings);
  const startedAt = performance.now();
  const { head, history } = await withCommandErrors(null, () => store.read());
  const newest = head?.version ?? 0;
  if (version > newest) throw new CommandFailed(`version ${version}: not there; the newest is ${newest}`);
  const at = history.find((entry) => entry.version === version)?.at ?? -Infinity;
  let lastText = "";
  for (;;) {
    const waitedMs = performance.now() - startedAt;
    const standings = await withCommandErrors(null, () => readStandings(store, settings, version, at, waitedMs));
    if (version === 0 || isInForce(standings)) return { version, inForce: true, waitedMs: Math.round(waitedMs) };
    const missing = standings.filter(({ standing }) => standing !== "in force");
    const text = missing.map(({ partition, owner, standing }) => `partition ${partition} of ${owner}: ${standing}`).join("; ");
    if (waitedMs >= withinMs)
      throw new CommandFailed(`version ${version} is not in force everywhere after ${Math.round(waitedMs / 1000)} s: ${text}`);
    if (text !== lastText) progress((lastText = text));
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}
