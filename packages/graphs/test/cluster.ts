/** Model of the executors and clients of a graph, for tests. */
import type { TaskOutcome, TaskInput, TaskOutput, DecisionSink, TaskSpec } from "../src/model.js";
import { GraphMachine, type MachineOptions } from "../src/machine.js";

/** A task that was sent to an executor and has not ended. */
interface LeasedTask {
  executor: string;
  lease: number;
  task: TaskSpec;
}

/** Maximum size of an output that is sent inline, in bytes. A larger output is stored at its executor. */
export const MAX_INLINE_BYTES = 100;

/** Models the executors and clients of a `GraphMachine`, and records violations of its invariants. */
export class Cluster implements DecisionSink {
  now = 0;
  readonly machine: GraphMachine;
  readonly alive = new Set<string>();
  /** Keys of the objects stored at each executor. */
  readonly stored = new Map<string, Set<string>>();
  readonly leases = new Map<number, LeasedTask>();
  readonly finals = new Map<string, TaskOutcome>();
  readonly runs = new Map<string, number>();
  readonly completedWatches = new Map<string, readonly string[]>();
  readonly violations: string[] = [];
  readonly recalls: number[] = [];
  private readonly running = new Set<string>();
  private executors = 0;

  constructor(options: Partial<Omit<MachineOptions, "out" | "now">> = {}) {
    this.machine = new GraphMachine({ targetBacklogMs: 50, defaultRuntimeMs: 10, ...options, sink: this, now: () => this.now });
  }

  attach(cpus = 2): string {
    const name = `e${++this.executors}`;
    this.alive.add(name);
    this.stored.set(name, new Set());
    this.machine.attach(name, cpus);
    return name;
  }

  /** Loses an executor with its tasks and objects. */
  lose(name: string): void {
    if (!this.alive.delete(name)) return;
    this.stored.delete(name);
    for (const [lease, { executor }] of this.leases) if (executor === name) this.endLease(lease);
    this.machine.lost(name);
  }

  run(executor: string, lease: number, task: TaskSpec, inputs: readonly TaskInput[]): void {
    this.runs.set(task.key, (this.runs.get(task.key) ?? 0) + 1);
    if (!this.alive.has(executor)) this.violations.push(`${task.key} sent to ${executor}, which is lost`);
    if (this.running.has(task.key)) this.violations.push(`${task.key} runs twice at once`);
    this.running.add(task.key);
    for (const { key, inline, at } of inputs)
      if (inline === null && !at.some((name) => this.stored.get(name)?.has(key) === true))
        this.violations.push(`${task.key} is sent with input ${key}, of which there is no copy`);
    this.leases.set(lease, { executor, lease, task });
  }

  private endLease(lease: number): LeasedTask | undefined {
    const leased = this.leases.get(lease);
    this.leases.delete(lease);
    if (leased !== undefined) this.running.delete(leased.task.key);
    return leased;
  }

  /** Ends a leased task successfully, with outputs of this size. */
  end(lease: number, bytes = 10, ranMs = 10): void {
    const leased = this.endLease(lease);
    if (leased === undefined) return;
    const made: TaskOutput[] = Array.from({ length: leased.task.returns }, (_, i) => ({
      bytes,
      inline: bytes <= MAX_INLINE_BYTES ? `${leased.task.key}:${i}=${leased.task.args}` : null,
    }));
    made.forEach(({ inline }, i) => void (inline === null && this.stored.get(leased.executor)?.add(`${leased.task.key}:${i}`)));
    this.machine.done(leased.executor, lease, made, ranMs);
  }

  /** Ends a leased task with an error that the task raised. */
  fail(lease: number): void {
    const leased = this.endLease(lease);
    if (leased === undefined) return;
    this.machine.failed(leased.executor, lease, "it raised", 10);
  }

  /** Returns a leased task to the scheduler as not started. */
  returnTask(lease: number): void {
    const leased = this.endLease(lease);
    if (leased === undefined) return;
    this.machine.returned(leased.executor, lease);
  }

  /** Ends all leased tasks successfully until none are left. */
  finishAll(bytes = 10): void {
    this.machine.dispatch();
    while (this.leases.size > 0) this.end(this.leases.keys().next().value as number, bytes);
  }

  recall(_executor: string, lease: number): void {
    this.recalls.push(lease);
  }

  stop(): void {}

  drop(executor: string, keys: readonly string[]): void {
    for (const key of keys) this.stored.get(executor)?.delete(key);
  }

  final(_client: string, key: string, final: TaskOutcome): void {
    if (this.finals.has(key)) this.violations.push(`${key} has a second outcome`);
    this.finals.set(key, final);
  }

  ready(client: string, request: number, keys: readonly string[]): void {
    if (this.completedWatches.has(`${client}/${request}`)) this.violations.push(`${client}/${request} is completed twice`);
    this.completedWatches.set(`${client}/${request}`, keys);
  }
}

/** Creates a task spec with defaults. */
export function task(key: string, needs: readonly string[] = [], more: Partial<TaskSpec> = {}): TaskSpec {
  return { key, fn: "f", args: "x", needs, returns: 1, cpus: 1, retries: 3, retryErrors: false, ...more };
}

/** Creates a cluster with one client, `c`. */
export function withClient(options?: ConstructorParameters<typeof Cluster>[0]): { cluster: Cluster; machine: GraphMachine } {
  const cluster = new Cluster(options);
  cluster.machine.join("c");
  return { cluster, machine: cluster.machine };
}
