import { isInForce, partitionStatuses } from "../src/configuration/in-force.js";
import { ConfigurationStore } from "../src/configuration/store.js";
import { keys } from "../src/ledger/records.js";
import { HttpStateClient } from "../src/ledger/state-client.js";
import type { TeamSettings } from "../src/settings/platform-file.js";
import { Cluster } from "../test/world/cluster.js";
import { parseOptions, progress, report, LatencyHistogram } from "./harness.js";
import { TestCluster } from "./scale/test-cluster.js";
import { monotonicMs } from "./scale/messages.js";
import { runForkedRole } from "./scale/roles.js";
import { capacityByOffering, equalTeams, CPU_MACHINE } from "./scale/workload.js";

/**
 * Measures the time from the write of a configuration change until it is in force on all controllers. Real controllers and
 * a real store take a change per second, without faults and while one controller crashes. Runs in virtual time
 * add further faults: the state service is slow or refuses one controller, or one controller is cut off from it and from its peers.
 */

const TEAMS = 340;
const CHANGE_INTERVAL_MS = 1000;
const POLL_INTERVAL_MS = 25;
/** Time after a change at which a controller without a presence record in the state service must have stopped acting as owner. */
const SILENT_AFTER_MS = 22_011;
const IN_FORCE_TIMEOUT_MS = 60_000;
const STATE_TIMEOUT_MS = 2000;
const ZONES = ["zone-1"];

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

const teamLimits = (cpus_max: number): Omit<TeamSettings, "name"> => ({ cpus: 4, cpus_max, gpus: 0, gpus_max: 0 });

/** Results of a series of configuration changes. */
interface ChangeStatistics {
  latencies: LatencyHistogram;
  /** Changes that were not in force everywhere in time. */
  timedOut: number;
  /** All changes of the state service, by any writer, per configuration change. */
  writesPerChange: number;
}

/** Prints the results as progress and returns them as figures with `name` before each. */
function summarize(name: string, { latencies, timedOut, writesPerChange }: ChangeStatistics): Record<string, number> {
  progress(
    `${name}: ${latencies.count} changes, in force p50 ${latencies.percentileMs(50).toFixed(0)} p99 ${latencies.percentileMs(99).toFixed(0)} worst ${latencies.maxMs.toFixed(0)} ms, ${timedOut} not in force in time, ${writesPerChange.toFixed(1)} writes per change`,
  );
  return {
    ...{ [`${name}_changes`]: latencies.count, [`${name}_never`]: timedOut, [`${name}_writes_a_change`]: writesPerChange },
    ...{
      [`${name}_p50_ms`]: latencies.percentileMs(50),
      [`${name}_p99_ms`]: latencies.percentileMs(99),
      [`${name}_worst_ms`]: latencies.maxMs,
    },
  };
}

/** Changes the limits of teams of an idle cluster, one team per change; kills controller nest-1 before change number `crashAt`. */
async function measureOnProcesses(controllers: number, changes: number, crashAt: number | null): Promise<ChangeStatistics> {
  const teams = equalTeams(TEAMS, teamLimits(96));
  const state = { rps: 5000, writeRps: 2000, valueKb: 32, txnOps: 64 };
  const cluster = new TestCluster({
    ...{
      controllers,
      teams,
      state,
      objectives: [],
      types: [{ ...CPU_MACHINE, zones: ZONES }],
      capacity: capacityByOffering({ plain: 10 }, ZONES),
    },
    ...{ jobs: [], workerProcesses: 1, cloudRps: 10, sockets: 2000, memMb: 178, pollsPerS: 0, seed: 1 },
  });
  try {
    await cluster.start();
    await sleep(10_000);
    const api = new HttpStateClient(cluster.stateAddress, STATE_TIMEOUT_MS);
    const store = new ConfigurationStore(api, teams, state);
    const latencies = new LatencyHistogram();
    let timedOut = 0;
    const pollUntilInForce = async (version: number, writtenAt: number): Promise<void> => {
      while (monotonicMs() - writtenAt < IN_FORCE_TIMEOUT_MS) {
        const [owners, presence] = [await store.owners(), await store.presence()];
        const evidence = {
          ...{ version, partitions: controllers, elapsedMs: monotonicMs() - writtenAt, silentAfterMs: SILENT_AFTER_MS },
          owner: (partition: number) => owners.get(keys.owner(partition)),
          presence: (node: string) => presence.get(keys.presenceOf(node))?.v,
        };
        if (isInForce(partitionStatuses(evidence))) return latencies.add(monotonicMs() - writtenAt);
        await sleep(POLL_INTERVAL_MS);
      }
      timedOut++;
    };
    const before = await cluster.snapshot();
    const pending: Promise<void>[] = [];
    for (let i = 0; i < changes; i++) {
      const nextChangeAt = monotonicMs() + CHANGE_INTERVAL_MS;
      if (i === crashAt) await cluster.killController("nest-1");
      const team = teams[i % TEAMS]!;
      const writtenAt = monotonicMs();
      const { version } = await store.set({ set: [{ ...team, cpus_max: 60 + i }], remove: [] });
      pending.push(pollUntilInForce(version, writtenAt));
      await sleep(Math.max(0, nextChangeAt - monotonicMs()));
    }
    await Promise.all(pending);
    const after = await cluster.snapshot();
    return { latencies, timedOut, writesPerChange: (after.state.changes - before.state.changes) / changes };
  } finally {
    cluster.close();
  }
}

/** Injects a fault into a cluster in virtual time. */
type Fault = (cluster: Cluster) => void;
const FAULTS: Record<string, Fault> = {
  quiet: () => undefined,
  crash: ({ world }) => world.killController("nest-2"),
  slow_state: ({ world }) => void world.links.add({ from: "controllers", to: "state", effect: { kind: "delay", ms: 400 } }),
  refused_one: ({ world }) => void world.links.add({ from: "nest-1", to: "state", effect: { kind: "refuse" } }),
  cut_one: ({ world }) => {
    for (const to of ["state", ...[...world.nodes.keys()].filter((name) => name !== "nest-1")])
      world.links.add({ from: "nest-1", to, effect: { kind: "cut" } });
  },
};

/** Makes one change in each of `repeats` clusters, right after the fault; each cluster has its own seed. */
async function measureInVirtualTime(controllers: number, injectFault: Fault, repeats: number, seed: number): Promise<ChangeStatistics> {
  const latencies = new LatencyHistogram();
  let timedOut = 0;
  for (let i = 0; i < repeats; i++) {
    const teams = equalTeams(20, teamLimits(96));
    const types = [{ ...CPU_MACHINE, zones: ZONES }];
    const state = { rps: 3000, writeRps: 600, valueKb: 32, txnOps: 32 };
    const cluster = new Cluster({ seed: seed + i, controllers, teams, types, capacity: capacityByOffering({ plain: 40 }, ZONES), state });
    const changeAtS = 30 + i / repeats;
    for (let j = 0; j < controllers; j++)
      cluster.submit({ ref: `run-${String(j + 1).padStart(6, "0")}`, team: teams[j % 20]!.name, tasks: 20, cpus: 1 }, 300, `nest-${j}`);
    await cluster.runUntil(changeAtS);
    injectFault(cluster);
    const change = cluster.set({ set: [{ ...teams[0]!, cpus_max: 40 }] });
    while (change.outcome === undefined) await cluster.runUntil(cluster.world.clock.now() / 1000 + 0.05);
    if (change.outcome instanceof Error) throw change.outcome;
    const seconds = await cluster.waitUntilInForce(change.outcome.version, changeAtS, IN_FORCE_TIMEOUT_MS / 1000);
    if (Number.isFinite(seconds)) latencies.add(seconds * 1000);
    else timedOut++;
    cluster.close();
  }
  return { latencies, timedOut, writesPerChange: NaN };
}

async function measure(): Promise<void> {
  const options = parseOptions({ repeats: 20, quickRepeats: 4 });
  const controllers = options.quick ? 4 : 22;
  const changes = options.quick ? 15 : 60;
  const figures: Record<string, number> = {};
  for (const [name, injectFault] of Object.entries(FAULTS))
    Object.assign(
      figures,
      summarize(`virtual_${name}`, await measureInVirtualTime(options.quick ? 4 : 22, injectFault, options.repeats, options.seed)),
    );
  Object.assign(figures, summarize("processes_quiet", await measureOnProcesses(controllers, changes, null)));
  Object.assign(figures, summarize("processes_crash", await measureOnProcesses(controllers, changes, Math.floor(changes / 3))));
  report("configuration", options, { controllers, teams: TEAMS, ...figures });
}

if (!runForkedRole()) await measure();
