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

/** A cluster in virtual time with an operator client that changes its configuration. */
export class Cluster {
  readonly world: VirtualWorld<RehearsedController>;
  private readonly store: ConfigurationStore;
  private readonly outcomes: Promise<unknown>[] = [];

  /** Starts all controllers of the plan; `spawn` creates a controller process. */
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

  /** Runs virtual time until `seconds` after the start. */
  async runUntil(seconds: number): Promise<void> {
    await this.world.clock.run(seconds * 1000);
  }

  /** Submits a job that runs for `runS` seconds to a controller; the answers are recorded in the world's history. */
  submit(change: Partial<JobSpec> & { ref: string }, runS: number, node: string): void {
    const spec = specOf({ ram: 0, ...change });
    this.world.runTimesMs.set(spec.ref, runS * 1000);
    this.outcomes.push(this.world.submit(encodeJob(spec), spec, node));
  }

  /** Writes a configuration change; `outcome` is the new version or the error, undefined while the write is pending. */
  set(change: Partial<TeamChange>): { outcome?: { version: number } | Error } {
    const request: { outcome?: { version: number } | Error } = {};
    void this.store.set({ set: [], remove: [], ...change }).then(
      (version) => (request.outcome = version),
      (error: Error) => (request.outcome = error),
    );
    return request;
  }

  /** Reads the status of a version in each partition; runs virtual time until the state service has answered. */
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
   * Runs virtual time until the version is in force in all partitions; resolves with the seconds since `fromS`, or with
   * Infinity after `withinS`.
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

  /** Ends all controllers. */
  close(): void {
    for (const name of this.world.nodes.keys()) this.world.killController(name);
  }
}
