import { readFileSync } from "node:fs";
import { performance } from "node:perf_hooks";
import { parseChange } from "../configuration/change-file.js";
import { isInForce, standingsOf, type PartitionStanding } from "../configuration/in-force.js";
import { ChangeRefused, ConfigurationStore } from "../configuration/store.js";
import type { ConfigurationHistoryRecord } from "../ledger/records.js";
import { keys } from "../ledger/records.js";
import { HttpState } from "../ledger/state-client.js";
import { DRIFT, type Settings } from "../settings/derived.js";
import { SettingsError } from "../settings/platform-file.js";
import { CommandFailed } from "./client.js";

/** The `config` commands: they speak to the state service that the settings name, so they work whoever is away. */

const LOOK_EVERY_MS = 250;

function storeOf(settings: Settings): ConfigurationStore {
  const { endpoints, deployment } = settings.platform;
  return new ConfigurationStore(new HttpState(endpoints.state, settings.timing.stateTimeoutMs), deployment.teams, settings.state);
}

/** Says what went wrong as the other commands do. */
async function explained<T>(file: string | null, work: () => Promise<T>): Promise<T> {
  try {
    return await work();
  } catch (error) {
    if (!(error instanceof ChangeRefused)) throw error;
    if (error.code === "invalid" && file !== null) throw new SettingsError(`${file}: ${error.message}`);
    throw new CommandFailed(error.message);
  }
}

export async function getConfiguration(settings: Settings): Promise<Record<string, unknown>> {
  const { head, teams } = await explained(null, () => storeOf(settings).read());
  return { version: head?.version ?? 0, prepared: head?.prepared !== undefined, teams };
}

export async function setConfiguration(settings: Settings, file: string): Promise<Record<string, unknown>> {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    throw new SettingsError(`${file}: cannot be read: ${(error as Error).message}`);
  }
  const change = parseChange(file, text);
  return explained(file, async () => ({ ...(await storeOf(settings).set(change)) }));
}

export async function configurationHistory(settings: Settings): Promise<ConfigurationHistoryRecord[]> {
  return (await explained(null, () => storeOf(settings).read())).history;
}

/** Where a version that was written at `at` (time of day) is in force now. */
async function look(
  store: ConfigurationStore,
  settings: Settings,
  version: number,
  at: number,
  waitedMs: number,
): Promise<PartitionStanding[]> {
  const [owners, presence] = [await store.owners(), await store.presence()];
  const { clock_off_ms } = settings.platform.deployment;
  return standingsOf({
    version,
    partitions: settings.nodes.length,
    owner: (partition) => owners.get(keys.owner(partition)),
    presence: (node) => presence.get(keys.alive(node))?.v,
    // Two times of day, each off by so much at most; what was waited here is certain.
    elapsedMs: Math.max(waitedMs, Date.now() - at - 2 * clock_off_ms),
    silentAfterMs: settings.timing.silentAfterMs * (1 + 2 * DRIFT),
  });
}

/** Resolves once the version is in force everywhere. Throws CommandFailed if it is not there, or not within the time. */
export async function waitForConfiguration(
  settings: Settings,
  version: number,
  withinMs: number,
  progress: (text: string) => void,
): Promise<Record<string, unknown>> {
  const store = storeOf(settings);
  const began = performance.now();
  const { head, history } = await explained(null, () => store.read());
  const newest = head?.version ?? 0;
  if (version > newest) throw new CommandFailed(`version ${version}: not there; the newest is ${newest}`);
  const at = history.find((one) => one.version === version)?.at ?? -Infinity;
  let said = "";
  for (;;) {
    const waitedMs = performance.now() - began;
    const standings = await explained(null, () => look(store, settings, version, at, waitedMs));
    if (version === 0 || isInForce(standings)) return { version, inForce: true, waitedMs: Math.round(waitedMs) };
    const missing = standings.filter(({ standing }) => standing !== "in force");
    const text = missing.map(({ partition, owner, standing }) => `partition ${partition} of ${owner}: ${standing}`).join("; ");
    if (waitedMs >= withinMs)
      throw new CommandFailed(`version ${version} is not in force everywhere after ${Math.round(waitedMs / 1000)} s: ${text}`);
    if (text !== said) progress((said = text));
    await new Promise((resolve) => setTimeout(resolve, LOOK_EVERY_MS));
  }
}
