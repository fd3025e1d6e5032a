import { encodeJob, type JobSpec } from "@thorntrail/protocol/jobs";
import { plainPlan, World, type Plan } from "@thorntrail/emulator/entry";
import { isInForce, partitionStatuses, type PartitionVersionStatus } from "../../src/configuration/in-force.js";
import { ConfigurationStore } from "../../src/configuration/store.js";
import type { TeamChange } from "../../src/configuration/teams.js";
import { keys } from "../../src/ledger/records.js";
import { spawnController, type RehearsedController } from "../../src/rehearsal/spawn-controller.js";
import { specOf } from "./parts.js";

const OPERATOR = "operator";
const LOOK_S = 0.05;
const SILENT_AFTER_MS = 22_000 * 1.001;

/** A cluster in virtual time, and an operator who changes its configuration. */
export class Cluster {
  readonly world: World<RehearsedController>;
  private readonly store: ConfigurationStore;
  private readonly outcomes: Promise<unknown>[] = [];

  constructor(change: Partial<Plan>, spawn: typeof spawnController = spawnController) {
    this.world = new World<RehearsedController>({ ...plainPlan(), ...change }, (asked) => spawn(asked));
    const { clock, state, plan } = this.world;
    const rest = (ms: number): Promise<void> => new Promise((resolve) => clock.after(ms, resolve));
    this.store = new ConfigurationStore(
      state.client(OPERATOR, (fn) => fn()),
      plan.teams,
      plan.state,
      () => clock.wall(),
      rest,
    );
    for (const name of this.world.nodes.keys()) this.world.startNode(name);
  }

  /** Plays on until so many seconds after the beginning. */
  async until(seconds: number): Promise<void> {
    await this.world.clock.run(seconds * 1000);
  }

  /** A job submitted to a controller; its answers are in the world's history. */
  submit(change: Partial<JobSpec> & { ref: string }, runS: number, node: string): void {
    const spec = specOf({ ram: 0, ...change });
    this.world.runs.set(spec.ref, runS * 1000);
    this.outcomes.push(this.world.submit(encodeJob(spec), spec, node));
  }

  /** The version that was made, or what went wrong; undefined: not known yet. */
  set(change: Partial<TeamChange>): { outcome?: { version: number } | Error } {
    const asked: { outcome?: { version: number } | Error } = {};
    void this.store.set({ set: [], remove: [], ...change }).then(
      (done) => (asked.outcome = done),
      (error: Error) => (asked.outcome = error),
    );
    return asked;
  }

  /** As the operator reads it, which takes until the state service answers. */
  async standings(version: number, elapsedMs: number): Promise<PartitionVersionStatus[]> {
    let seen: PartitionVersionStatus[] | null = null;
    const read = async (): Promise<void> => {
      const [owners, presence] = [await this.store.owners(), await this.store.presence()];
      seen = partitionStatuses({
        version,
        partitions: this.world.nodes.size,
        owner: (partition) => owners.get(keys.owner(partition)),
        presence: (node) => presence.get(keys.presenceOf(node))?.v,
        elapsedMs,
        silentAfterMs: SILENT_AFTER_MS,
      });
    };
    void read();
    while (seen === null) await this.until(this.world.clock.now() / 1000 + LOOK_S);
    return seen;
  }

  /** Plays on until the version is in force everywhere; resolves with the seconds since `fromS`. */
  async inForce(version: number, fromS: number, withinS: number): Promise<number> {
    for (;;) {
      const passedS = this.world.clock.now() / 1000 - fromS;
      if (isInForce(await this.standings(version, passedS * 1000))) return this.world.clock.now() / 1000 - fromS;
      if (passedS > withinS) return Infinity;
    }
  }

  /** CPUs of the team's tasks that are on machines, fetching and saving ones among them. */
  usedBy(team: string): number {
    let cpus = 0;
    for (const worker of this.world.workers.values())
      for (const task of worker.tasks.values()) {
        const spec = this.world.specs.get(task.ref)!;
        if (spec.team === team && task.state !== "exited") cpus += spec.cpus;
      }
    return cpus;
  }

  /** Statuses with which a job's submission was answered, by node. */
  answered(ref: string): string[] {
    return this.world.history.flatMap((one) => (one.kind === "told" && one.ref === ref ? [one.what] : []));
  }

  close(): void {
    for (const name of this.world.nodes.keys()) this.world.killNode(name);
  }
}
