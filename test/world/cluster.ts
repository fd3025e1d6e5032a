import { encodeJob, type JobSpec } from "@thorntrail/protocol/jobs";
import { defaultWorldOptions, VirtualWorld, type WorldOptions } from "@thorntrail/emulator/entry";
import { isInForce, partitionStatuses, type PartitionVersionStatus } from "../../src/configuration/in-force.js";
import { ConfigurationStore } from "../../src/configuration/store.js";
import type { TeamChange } from "../../src/configuration/teams.js";
import { keys } from "../../src/ledger/records.js";
import { spawnController, type RehearsedController } from "../../src/rehearsal/spawn-controller.js";
import { specOf } from "./partitions.js";

const OPERATOR = "operator";
const POLL_INTERVAL_S = 0.05;
const SILENT_AFTER_MS = 22_000 * 1.001;

/** An emulated cluster in virtual time, with an operator who changes its configuration (the limits of teams). */
export class Cluster {
  readonly world: VirtualWorld<RehearsedController>;
  private readonly store: ConfigurationStore;
  private readonly outcomes: Promise<unknown>[] = [];

  /** Creates the cluster and starts all its controllers. `change` overrides default options; `spawn` creates one controller. */
  constructor(change: Partial<WorldOptions>, spawn: typeof spawnController = spawnController) {
    this.world = new VirtualWorld<RehearsedController>({ ...defaultWorldOptions(), ...change }, (request) => spawn(request));
    const { clock, state, options: plan } = this.world;
    const sleep = (ms: number): Promise<void> => new Promise((resolve) => clock.after(ms, resolve));
    this.store = new ConfigurationStore(
      state.client(OPERATOR, (fn) => fn()),
      plan.teams,
      plan.state,
      () => clock.wall(),
      sleep,
    );
    for (const name of this.world.nodes.keys()) this.world.startController(name);
  }

  /** Runs virtual time until `seconds` after the start of the cluster. */
  async runUntil(seconds: number): Promise<void> {
    await this.world.clock.run(seconds * 1000);
  }

  /** Submits a job, each task of which runs for `runS` seconds, to the controller `node`. The history of `world` records the answers. */
  submit(change: Partial<JobSpec> & { ref: string }, runS: number, node: string): void {
    const spec = specOf({ ram: 0, ...change });
    this.world.runTimesMs.set(spec.ref, runS * 1000);
    this.outcomes.push(this.world.submit(encodeJob(spec), spec, node));
  }

  /** Writes a change of teams to the configuration; `outcome` is the new configuration version or an error, undefined while pending. */
  set(change: Partial<TeamChange>): { outcome?: { version: number } | Error } {
    const request: { outcome?: { version: number } | Error } = {};
    void this.store.set({ set: [], remove: [], ...change }).then(
      (version) => (request.outcome = version),
      (error: Error) => (request.outcome = error),
    );
    return request;
  }

  /** Reads for each partition whether it applies a configuration version; runs virtual time until the state service has answered. */
  async partitionStatusesOf(version: number, elapsedMs: number): Promise<PartitionVersionStatus[]> {
    let statuses: PartitionVersionStatus[] | null = null;
    const read = async (): Promise<void> => {
      const [owners, presence] = [await this.store.owners(), await this.store.presence()];
      statuses = partitionStatuses({
        version,
        partitions: this.world.nodes.size,
        owner: (partition) => owners.get(keys.owner(partition)),
        presence: (node) => presence.get(keys.presenceOf(node))?.v,
        elapsedMs,
        silentAfterMs: SILENT_AFTER_MS,
      });
    };
    void read();
    while (statuses === null) await this.runUntil(this.world.clock.now() / 1000 + POLL_INTERVAL_S);
    return statuses;
  }

  /**
   * Runs virtual time until the configuration version is in force in all partitions. Resolves with the seconds passed since
   * the time `fromS`, or with Infinity if more than `withinS` seconds have passed.
   */
  async waitUntilInForce(version: number, fromS: number, withinS: number): Promise<number> {
    for (;;) {
      const elapsedS = this.world.clock.now() / 1000 - fromS;
      if (isInForce(await this.partitionStatusesOf(version, elapsedS * 1000))) return this.world.clock.now() / 1000 - fromS;
      if (elapsedS > withinS) return Infinity;
    }
  }

  /** CPUs of the team's tasks on machines, including tasks that fetch their image or save their state. */
  usedBy(team: string): number {
    let cpus = 0;
    for (const worker of this.world.workers.values())
      for (const task of worker.tasks.values()) {
        const spec = this.world.specs.get(task.ref)!;
        if (spec.team === team && task.state !== "exited") cpus += spec.cpus;
      }
    return cpus;
  }

  /** Statuses of the answers to a job's submission, in the order in which they arrived. */
  submissionStatuses(ref: string): string[] {
    return this.world.history.flatMap((event) => (event.kind === "told" && event.ref === ref ? [event.what] : []));
  }

  /** Ends all controller processes. */
  close(): void {
    for (const name of this.world.nodes.keys()) this.world.killController(name);
  }
}
