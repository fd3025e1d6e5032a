import { isInForce, partitionStatuses } from "../src/configuration/in-force.js";
import { ConfigurationStore } from "../src/configuration/store.js";
import { keys } from "../src/ledger/records.js";
import { HttpStateClient } from "../src/ledger/state-client.js";
import type { TeamSettings } from "../src/settings/platform-file.js";
import { Cluster } from "../test/world/cluster.js";
import { parseOptions, progress, report, LatencyHistogram } from "./harness.js";
import { Cell } from "./scale/cell.js";
import { steadyMs } from "./scale/messages.js";
import { playRole } from "./scale/roles.js";
import { capacityOf, equalTeams, PLAIN } from "./scale/workload.js";

/**
 * From a change's write until it is in force everywhere: real controllers and a real store at a change a second, in
 * quiet and as a controller ends; in virtual time also with the state service slow, refusing one controller, or away.
 */

const TEAMS = 340;
const CHANGE_EVERY_MS = 1000;
const LOOK_EVERY_MS = 25;
const SILENT_AFTER_MS = 22_011;
const GIVE_UP_MS = 60_000;
const TIMEOUT_MS = 2000;
const ZONES = ["zone-1"];

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

const limited = (cpus_max: number): Omit<TeamSettings, "name"> => ({ cpus: 4, cpus_max, gpus: 0, gpus_max: 0 });

interface Outcome {
  times: LatencyHistogram;
  never: number;
  /** Changes of the state service in all, for a change of the configuration. */
  writes: number;
}

function figures(name: string, { times, never, writes }: Outcome): Record<string, number> {
  progress(
    `${name}: ${times.count} changes, in force p50 ${times.percentileMs(50).toFixed(0)} p99 ${times.percentileMs(99).toFixed(0)} worst ${times.maxMs.toFixed(0)} ms, ${never} never, ${writes.toFixed(1)} writes a change`,
  );
  return {
    ...{ [`${name}_changes`]: times.count, [`${name}_never`]: never, [`${name}_writes_a_change`]: writes },
    ...{ [`${name}_p50_ms`]: times.percentileMs(50), [`${name}_p99_ms`]: times.percentileMs(99), [`${name}_worst_ms`]: times.maxMs },
  };
}

/** A cell without work, and changes of its teams. */
async function onProcesses(controllers: number, changes: number, crashAt: number | null): Promise<Outcome> {
  const teams = equalTeams(TEAMS, limited(96));
  const state = { rps: 5000, writeRps: 2000, valueKb: 32, txnOps: 64 };
  const cell = new Cell({
    ...{ controllers, teams, state, objectives: [], types: [{ ...PLAIN, zones: ZONES }], capacity: capacityOf({ plain: 10 }, ZONES) },
    ...{ jobs: [], workerProcesses: 1, cloudRps: 10, sockets: 2000, memMb: 178, pollsPerS: 0, seed: 1 },
  });
  try {
    await cell.start();
    await sleep(10_000);
    const api = new HttpStateClient(cell.stateAddress, TIMEOUT_MS);
    const store = new ConfigurationStore(api, teams, state);
    const times = new LatencyHistogram();
    let never = 0;
    const until = async (version: number, from: number): Promise<void> => {
      while (steadyMs() - from < GIVE_UP_MS) {
        const [owners, presence] = [await store.owners(), await store.presence()];
        const evidence = {
          ...{ version, partitions: controllers, elapsedMs: steadyMs() - from, silentAfterMs: SILENT_AFTER_MS },
          owner: (partition: number) => owners.get(keys.owner(partition)),
          presence: (node: string) => presence.get(keys.presenceOf(node))?.v,
        };
        if (isInForce(partitionStatuses(evidence))) return times.add(steadyMs() - from);
        await sleep(LOOK_EVERY_MS);
      }
      never++;
    };
    const before = await cell.snapshot();
    const waiting: Promise<void>[] = [];
    for (let i = 0; i < changes; i++) {
      const next = steadyMs() + CHANGE_EVERY_MS;
      if (i === crashAt) await cell.killController("nest-1");
      const team = teams[i % TEAMS]!;
      const from = steadyMs();
      const { version } = await store.set({ set: [{ ...team, cpus_max: 60 + i }], remove: [] });
      waiting.push(until(version, from));
      await sleep(Math.max(0, next - steadyMs()));
    }
    await Promise.all(waiting);
    const after = await cell.snapshot();
    return { times, never, writes: (after.state.changes - before.state.changes) / changes };
  } finally {
    cell.close();
  }
}

type Trouble = (cluster: Cluster) => void;
const TROUBLES: Record<string, Trouble> = {
  quiet: () => undefined,
  crash: ({ world }) => world.killController("nest-2"),
  slow_state: ({ world }) => void world.links.add({ from: "controllers", to: "state", effect: { kind: "delay", ms: 400 } }),
  refused_one: ({ world }) => void world.links.add({ from: "nest-1", to: "state", effect: { kind: "refuse" } }),
  cut_one: ({ world }) => {
    for (const to of ["state", ...[...world.nodes.keys()].filter((name) => name !== "nest-1")])
      world.links.add({ from: "nest-1", to, effect: { kind: "cut" } });
  },
};

/** One change a cluster, each with seeds of its own. */
async function inVirtualTime(controllers: number, trouble: Trouble, repeats: number, seed: number): Promise<Outcome> {
  const times = new LatencyHistogram();
  let never = 0;
  for (let i = 0; i < repeats; i++) {
    const teams = equalTeams(20, limited(96));
    const types = [{ ...PLAIN, zones: ZONES }];
    const state = { rps: 3000, writeRps: 600, valueKb: 32, txnOps: 32 };
    const cluster = new Cluster({ seed: seed + i, controllers, teams, types, capacity: capacityOf({ plain: 40 }, ZONES), state });
    const fromS = 30 + i / repeats;
    for (let j = 0; j < controllers; j++)
      cluster.submit({ ref: `run-${String(j + 1).padStart(6, "0")}`, team: teams[j % 20]!.name, tasks: 20, cpus: 1 }, 300, `nest-${j}`);
    await cluster.runUntil(fromS);
    trouble(cluster);
    const asked = cluster.set({ set: [{ ...teams[0]!, cpus_max: 40 }] });
    while (asked.outcome === undefined) await cluster.runUntil(cluster.world.clock.now() / 1000 + 0.05);
    if (asked.outcome instanceof Error) throw asked.outcome;
    const seconds = await cluster.waitUntilInForce(asked.outcome.version, fromS, GIVE_UP_MS / 1000);
    if (Number.isFinite(seconds)) times.add(seconds * 1000);
    else never++;
    cluster.close();
  }
  return { times, never, writes: NaN };
}

async function measure(): Promise<void> {
  const given = parseOptions({ repeats: 20, quickRepeats: 4 });
  const controllers = given.quick ? 4 : 22;
  const changes = given.quick ? 15 : 60;
  const found: Record<string, number> = {};
  for (const [name, trouble] of Object.entries(TROUBLES))
    Object.assign(found, figures(`virtual_${name}`, await inVirtualTime(given.quick ? 4 : 22, trouble, given.repeats, given.seed)));
  Object.assign(found, figures("processes_quiet", await onProcesses(controllers, changes, null)));
  Object.assign(found, figures("processes_crash", await onProcesses(controllers, changes, Math.floor(changes / 3))));
  report("configuration", given, { controllers, teams: TEAMS, ...found });
}

if (!playRole()) await measure();
