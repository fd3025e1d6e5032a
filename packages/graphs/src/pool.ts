/** The executors of a graph, in the order in which they receive tasks. */
import FlatQueue from "flatqueue";
import type { Executor, Task } from "./model.js";

/** Maximum number of leases per CPU of an executor, however short the tasks are. */
const MAX_LEASES_PER_CPU = 64;
/** Maximum number of executors that are checked for capacity before a task has to wait. */
const MAX_SKIPPED = 8;
/**
 * Tasks are recalled only from executors whose remaining work exceeds this fraction of the target backlog; with less, a
 * recall takes longer than it saves.
 */
const MIN_RECALL_FRACTION = 1 / 10;
/** A task counts as long if its expected run time times this factor reaches the target backlog. */
const LONG_TASK_FACTOR = 2;
/** Larger than any time in ms: sorts executors without a free CPU after all that have one. */
const NO_FREE_CPU_OFFSET = 1e12;
/** Number of queue entries per executor, most of them stale, above which the queue is rebuilt. */
const MAX_ENTRIES_PER_EXECUTOR = 16;

/**
 * Keeps executors in the order in which they should receive tasks: those with a free CPU first, then
 * the others, each group by the time at which they are expected to be idle. An executor is queued
 * again when its sort key changes; its old entry stays in the queue until it reaches the head, where
 * it is recognised as stale because its key is not the executor's current one.
 */
export class ExecutorPool {
  private readonly executors = new Map<string, Executor>();
  private order = new FlatQueue<Executor>();
  private cpus = 0;

  constructor(
    private readonly now: () => number,
    /** Queued work that each executor should have so that it doesn't idle while the scheduler sends the next task, in ms. */
    private readonly targetBacklogMs: number,
  ) {}

  /** Number of executors. */
  get size(): number {
    return this.executors.size;
  }

  get(name: string): Executor | undefined {
    return this.executors.get(name);
  }

  all(): Iterable<Executor> {
    return this.executors.values();
  }

  /** Adds an executor with this number of CPUs. */
  attach(name: string, cpus: number): void {
    const executor: Executor = {
      name,
      cpus,
      assignedCpus: 0,
      idleAtMs: 0,
      orderKey: NaN,
      leasedTasks: new Map(),
      objects: new Set(),
      draining: false,
      pendingRecalls: 0,
    };
    this.executors.set(name, executor);
    this.cpus += cpus;
    this.updateOrder(executor);
  }

  /** Removes an executor. The caller has to handle the tasks that are leased to it. */
  remove(executor: Executor): void {
    this.executors.delete(executor.name);
    this.cpus -= executor.cpus;
  }

  /** Whether the executor is still in the pool and not draining. */
  private acceptsTasks(executor: Executor): boolean {
    return !executor.draining && this.executors.get(executor.name) === executor;
  }

  /** Queues the executor under its current sort key if that has changed. */
  private updateOrder(executor: Executor): void {
    const key = (executor.assignedCpus < executor.cpus ? 0 : NO_FREE_CPU_OFFSET) + executor.idleAtMs;
    if (key === executor.orderKey) return;
    executor.orderKey = key;
    if (this.order.length > MAX_ENTRIES_PER_EXECUTOR * (this.executors.size + 1)) {
      this.order = new FlatQueue();
      for (const other of this.executors.values())
        if (other !== executor && !Number.isNaN(other.orderKey)) this.order.push(other, other.orderKey);
    }
    this.order.push(executor, key);
  }

  /** Returns the executor at the head of the order, after removal of stale entries. */
  private first(): Executor | undefined {
    for (;;) {
      const executor = this.order.peek();
      if (executor === undefined) return undefined;
      if (this.order.peekValue() === executor.orderKey && this.acceptsTasks(executor)) return executor;
      this.order.pop();
    }
  }

  /**
   * Whether the executor may receive one more task: because the task can start at once, or because
   * the executor's queue is shorter than the target backlog and than its share of the ready tasks.
   */
  hasCapacity(executor: Executor, cpus: number, meanMs: number, ready: number): boolean {
    if (!this.acceptsTasks(executor) || cpus > executor.cpus) return false;
    if (executor.assignedCpus + cpus <= executor.cpus) return true;
    const queued = Math.max(0, executor.assignedCpus - executor.cpus);
    if (executor.leasedTasks.size >= executor.cpus * MAX_LEASES_PER_CPU || (queued * meanMs) / executor.cpus >= this.targetBacklogMs)
      return false;
    if (queued >= Math.ceil((ready * executor.cpus) / Math.max(1, this.cpus))) return false;
    // A long task is sent only shortly before a CPU becomes free: sent earlier, it could queue behind
    // a task that overruns its estimate while another executor is idle.
    return meanMs * LONG_TASK_FACTOR < this.targetBacklogMs || queued < this.cpusEndingSoon(executor);
  }

  /** Number of CPUs of the tasks that are expected to end within `targetBacklogMs` from now. */
  private cpusEndingSoon(executor: Executor): number {
    const soon = this.now() + this.targetBacklogMs;
    let endingCpus = 0;
    for (const task of executor.leasedTasks.values()) if (task.expectedEndMs <= soon) endingCpus += task.spec.cpus;
    return endingCpus;
  }

  /** Returns the first executor in the order with capacity for a task of `cpus` CPUs, or null if the first `MAX_SKIPPED` have none. */
  pick(cpus: number, meanMs: number, ready: number): Executor | null {
    const skipped: Executor[] = [];
    let found: Executor | null = null;
    while (skipped.length < MAX_SKIPPED) {
      const executor = this.first();
      if (executor === undefined) break;
      if (this.hasCapacity(executor, cpus, meanMs, ready)) {
        found = executor;
        break;
      }
      this.order.pop();
      skipped.push(executor);
    }
    for (const executor of skipped) this.order.push(executor, executor.orderKey);
    return found;
  }

  /** Records that the task was sent to the executor. `meanMs` is its expected run time. */
  assign(executor: Executor, task: Task, meanMs: number): void {
    executor.leasedTasks.set(task.lease, task);
    task.expectedEndMs = executor.assignedCpus < executor.cpus ? this.now() + meanMs : Infinity;
    executor.assignedCpus += task.spec.cpus;
    executor.idleAtMs = Math.max(this.now(), executor.idleAtMs) + (meanMs * task.spec.cpus) / executor.cpus;
    this.updateOrder(executor);
  }

  /** Records that the task ended at the executor, or that the executor returned it before it started. */
  unassign(executor: Executor, task: Task, meanMs: number): void {
    executor.leasedTasks.delete(task.lease);
    // If more CPUs are assigned than the executor has, one of the tasks queued there starts now.
    if (executor.assignedCpus > executor.cpus)
      for (const next of executor.leasedTasks.values())
        if (next.expectedEndMs === Infinity) {
          next.expectedEndMs = this.now() + meanMs;
          break;
        }
    executor.assignedCpus = executor.leasedTasks.size === 0 ? 0 : executor.assignedCpus - task.spec.cpus;
    if (executor.leasedTasks.size === 0) executor.idleAtMs = this.now();
    if (executor.pendingRecalls > 0) executor.pendingRecalls--;
    this.updateOrder(executor);
  }

  /**
   * If an executor is idle, returns the executor with the longest backlog and the leases of the tasks
   * to recall from it, otherwise null. Executors with pending recalls are left out.
   */
  chooseRecall(): { executor: Executor; leases: number[] } | null {
    if (this.executors.size < 2) return null;
    const idle = this.first();
    if (idle === undefined || idle.leasedTasks.size > 0) return null;
    let mostLoaded: Executor | null = null;
    let latestIdleAt = this.now() + this.targetBacklogMs * MIN_RECALL_FRACTION;
    for (const executor of this.executors.values()) {
      if (executor.assignedCpus <= executor.cpus || executor.pendingRecalls > 0 || executor.idleAtMs <= latestIdleAt) continue;
      mostLoaded = executor;
      latestIdleAt = executor.idleAtMs;
    }
    if (mostLoaded === null) return null;
    const count = Math.max(1, Math.floor((mostLoaded.leasedTasks.size - mostLoaded.cpus) / 2));
    mostLoaded.pendingRecalls = count;
    return { executor: mostLoaded, leases: [...mostLoaded.leasedTasks.keys()].slice(-count) };
  }
}
