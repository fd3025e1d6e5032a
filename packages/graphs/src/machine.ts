/** The scheduler of one task graph. */
import FlatQueue from "flatqueue";
import { Admission, DEFAULT_LIMITS, specBytes, type AdmissionLimits } from "./admission.js";
import {
  append,
  emptyList,
  Phase,
  Availability,
  type Client,
  type Executor,
  type TaskOutcome,
  type TaskOutput,
  type DecisionSink,
  type Rejection,
  type Task,
  type TaskSpec,
  type GraphObject,
  type Watch,
} from "./model.js";
import { objectKey, ObjectTable } from "./objects.js";
import { ExecutorPool } from "./pool.js";
import { RuntimeEstimator } from "./runtimes.js";

/** Dependencies and settings of a `GraphMachine`. */
export interface MachineOptions {
  sink: DecisionSink;
  /** Monotonic clock, in ms. */
  now: () => number;
  limits?: AdmissionLimits;
  /** Queued work that each executor should have so that it doesn't idle while the scheduler sends the next task, in ms. */
  targetBacklogMs: number;
  /** Expected run time in ms of every function until the run time of a first task is known. */
  defaultRuntimeMs: number;
}

/**
 * Maximum number of tasks visited to propagate a task's new rank (its priority) to the producers of its inputs; producers
 * further up are updated by the next ranking of all tasks.
 */
const MAX_RANK_STEPS = 64;
/** Maximum number of interned function names; bounded because the names come from clients. */
const MAX_INTERNED_NAMES = 5000;
/**
 * All tasks are ranked again after this number of submissions and successful ends of tasks, or after `RERANK_FRACTION` of
 * the number of unfinished tasks if that is more.
 */
const MIN_RERANK_CHANGES = 16;
const RERANK_FRACTION = 1 / 8;
/**
 * Part of a ready task's sort key for each task that became ready before it, in ms. It is far less than any run time, so
 * that the order of arrival only breaks ties between equal ranks.
 */
const ARRIVAL_TIE_BREAK_MS = 1e-6;
/** When an executor is chosen by data locality: maximum number of holders of a copy that are considered for each input. */
const MAX_HOLDERS_CHECKED = 8;

/** Whether the object is available or will never be. */
const isSettled = ({ availability }: GraphObject): boolean =>
  availability === Availability.Available || availability === Availability.Failed;
/** Whether an unfinished task takes the object or an open watch covers it. */
const isNeeded = ({ pendingConsumers, watches }: GraphObject): boolean => pendingConsumers > 0 || watches.some((watch) => !watch.closed);

/**
 * Scheduler of one task graph, without I/O. It tracks dependencies, chooses which task runs where
 * next, recomputes lost objects, and deletes unused ones. It is deterministic in its calls and the
 * clock; all decisions go to `sink`. The cost per task does not grow with the size of the graph.
 */
export class GraphMachine {
  private readonly tasks = new Map<string, Task>();
  private readonly objects = new ObjectTable(this.tasks);
  private readonly clients = new Map<string, Client>();
  private readonly pool: ExecutorPool;
  /**
   * Clients with ready tasks, ordered by `serviceMs` (expected CPU time dispatched so far, divided by the client's weight),
   * lowest first.
   */
  private readonly fairQueue = new FlatQueue<Client>();
  private readonly runtimes: RuntimeEstimator;
  private readonly admission: Admission;
  private lastLease = 0;
  private readyCount = 0;
  private readySequence = 0;
  private readonly functionNames = new Map<string, string>();
  /** Tasks in the order of submission; finished ones are removed when all tasks are ranked again. */
  private submitted: Task[] = [];
  /** Number of submissions and successful ends of tasks since all tasks were last ranked. */
  private changesSinceRanking = 0;
  /**
   * `serviceMs` of the client served last. A client that joins, or has ready tasks again, starts with at least this value,
   * so that it gets no credit for the time it was idle.
   */
  private currentServiceMs = 0;
  readonly stats = { finished: 0, leased: 0, reruns: 0, staleReports: 0, returned: 0, dropped: 0 };

  constructor(private readonly options: MachineOptions) {
    this.runtimes = new RuntimeEstimator(options.defaultRuntimeMs);
    this.pool = new ExecutorPool(options.now, options.targetBacklogMs);
    this.admission = new Admission(options.limits ?? DEFAULT_LIMITS, options.now());
  }

  // ---- Clients

  /** Adds a client. Has no effect if the client is known: one that reconnects keeps its state. */
  join(name: string, weight = 1): void {
    if (this.clients.has(name)) return;
    this.clients.set(name, {
      name,
      weight,
      serviceMs: this.currentServiceMs,
      readyQueue: new FlatQueue(),
      inFairQueue: false,
      watches: new Map(),
      openTasks: 0,
      openBytes: 0,
    });
  }

  /**
   * Accepts a task and returns null, or returns why it is rejected and changes nothing. The client
   * receives a reference to each output. The client must have joined.
   */
  submit(clientName: string, spec: TaskSpec): Rejection | null {
    const client = this.clients.get(clientName)!;
    const malformed = this.admission.validate(spec);
    if (malformed !== null) return { why: "malformed", detail: malformed };
    if (this.tasks.has(spec.key) || !this.objects.isKeyFree(spec.key, spec.returns)) return { why: "known-key", detail: spec.key };
    const inputs: GraphObject[] = [];
    for (const key of new Set(spec.needs)) {
      const object = this.objects.find(key);
      // A task can only take objects that are known already, so the graph can't contain a cycle.
      if (object === undefined) return { why: "unknown-object", detail: key };
      inputs.push(object);
    }
    const bytes = specBytes(spec, inputs.length);
    const retryAfterMs = this.admission.retryAfterMs(client, bytes, this.options.now());
    if (retryAfterMs !== null) return { why: "busy", detail: "too many unfinished tasks", retryAfterMs };
    this.admission.taskOpened(client, bytes);
    // Each field is written out, because an object built by spreading another takes several times the memory.
    const task: Task = {
      spec: {
        key: spec.key,
        fn: this.intern(spec.fn),
        args: spec.args,
        // Left empty to save memory: the inputs are kept as objects in `inputs`.
        needs: emptyList<string>(),
        returns: spec.returns,
        cpus: spec.cpus,
        retries: spec.retries,
        retryErrors: spec.retryErrors,
      },
      client,
      inputs: inputs.length === 0 ? emptyList<GraphObject>() : inputs,
      outputs: emptyList<GraphObject>(),
      phase: Phase.Waiting,
      missingInputs: 0,
      rank: this.runtimes.meanMs(spec.fn),
      executor: null,
      lease: 0,
      retriesLeft: spec.retries,
      outcome: null,
      liveOutputs: spec.returns,
      expectedEndMs: 0,
    };
    // Literals and `Array.from` save memory: an array grown by `push` has capacity for seventeen elements.
    if (spec.returns === 1) task.outputs = [this.objects.create(task, 0)];
    else if (spec.returns > 1) task.outputs = Array.from({ length: spec.returns }, (_, i) => this.objects.create(task, i));
    for (const object of task.outputs) this.addReference(client, object);
    for (const object of inputs) object.pendingConsumers++;
    this.tasks.set(spec.key, task);
    this.submitted.push(task);
    this.changesSinceRanking++;
    this.resolveInputs(task);
    this.propagateRank(task);
    return null;
  }

  /** Returns the same string object for all uses of a function's name, so that tasks don't each keep a copy. */
  private intern(fn: string): string {
    const interned = this.functionNames.get(fn);
    if (interned !== undefined) return interned;
    if (this.functionNames.size >= MAX_INTERNED_NAMES) this.functionNames.clear();
    this.functionNames.set(fn, fn);
    return fn;
  }

  /**
   * Stores a client's own value under its key and adds a reference. Returns false if the key is in
   * use. The value is kept in memory here, so the caller must reject large ones.
   */
  put(clientName: string, key: string, inline: string): boolean {
    if (this.objects.find(key) !== undefined || this.tasks.has(key.slice(0, Math.max(0, key.lastIndexOf(":"))))) return false;
    const object = this.objects.create(null, key);
    Object.assign(object, { availability: Availability.Available, inline, bytes: inline.length });
    this.addReference(this.clients.get(clientName)!, object);
    return true;
  }

  /**
   * Adds a reference of the client to an object. Returns false if the object is unknown. References
   * are counted per client so that those of a client that never returns can be removed.
   */
  acquire(clientName: string, key: string): boolean {
    const object = this.objects.find(key);
    if (object === undefined) return false;
    this.addReference(this.clients.get(clientName)!, object);
    return true;
  }

  private addReference(client: Client, object: GraphObject): void {
    const { referencedBy } = object;
    if (referencedBy === null) object.referencedBy = client;
    else if (referencedBy instanceof Map) referencedBy.set(client, (referencedBy.get(client) ?? 0) + 1);
    else if (referencedBy !== client)
      object.referencedBy = new Map([
        [referencedBy, object.refCount],
        [client, 1],
      ]);
    object.refCount++;
  }

  /** Number of references of the client to the object. */
  private referencesOf(object: GraphObject, client: Client): number {
    const { referencedBy } = object;
    if (referencedBy instanceof Map) return referencedBy.get(client) ?? 0;
    return referencedBy === client ? object.refCount : 0;
  }

  private removeReferences(object: GraphObject, client: Client, count: number): void {
    const { referencedBy } = object;
    const left = this.referencesOf(object, client) - count;
    object.refCount -= count;
    if (referencedBy instanceof Map) {
      if (left > 0) referencedBy.set(client, left);
      else referencedBy.delete(client);
    } else if (left === 0) object.referencedBy = null;
    this.collectUnused(object);
  }

  /** Removes one reference. Returns false if the object is unknown or the client has no reference to it. */
  release(clientName: string, key: string): boolean {
    const client = this.clients.get(clientName)!;
    const object = this.objects.find(key);
    if (object === undefined || this.referencesOf(object, client) === 0) return false;
    this.removeReferences(object, client, 1);
    return true;
  }

  /**
   * Registers a `get` or `wait` request (a watch), which is completed when `required` of the objects
   * are available or failed, at once if they already are. Recomputes lost objects. Returns false if
   * one of the keys is unknown.
   */
  watch(clientName: string, request: number, keys: readonly string[], required = keys.length): boolean {
    const objects = keys.map((key) => this.objects.find(key));
    if (objects.some((object) => object === undefined)) return false;
    const watch: Watch = {
      client: this.clients.get(clientName)!,
      request,
      objects: objects as GraphObject[],
      required,
      settledCount: 0,
      closed: false,
    };
    for (const object of watch.objects) {
      this.ensureAvailable(object);
      if (isSettled(object)) watch.settledCount++;
      else object.watches = append(object.watches, watch);
    }
    watch.client.watches.set(request, watch);
    if (watch.settledCount >= required) this.completeWatch(watch);
    return true;
  }

  /** Completes a watch whose time limit has passed with those of its objects that are available or failed by now. */
  expire(clientName: string, request: number): void {
    const watch = this.clients.get(clientName)?.watches.get(request);
    if (watch !== undefined) this.completeWatch(watch);
  }

  private completeWatch(watch: Watch): void {
    if (!this.closeWatch(watch)) return;
    const settledKeys = watch.objects.filter(isSettled).map(objectKey);
    this.options.sink.ready(watch.client.name, watch.request, settledKeys);
    for (const object of watch.objects) {
      // Closed watches are removed, because an object that is polled repeatedly before it is available would accumulate them.
      if (object.watches.length > 0) object.watches = object.watches.filter((other) => !other.closed);
      this.collectUnused(object);
    }
  }

  /** Closes a watch (a pending `get` or `wait` request) without a report to its client. Returns false if it was closed before. */
  private closeWatch(watch: Watch): boolean {
    if (watch.closed) return false;
    watch.closed = true;
    watch.client.watches.delete(watch.request);
    return true;
  }

  /**
   * Cancels a task. The outcome remains `cancelled` even if the task ends successfully before it is stopped. Returns
   * false if the task is unknown or already has an outcome.
   */
  cancel(key: string): boolean {
    const task = this.tasks.get(key);
    if (task === undefined || task.outcome !== null) return false;
    this.stopLease(task);
    this.finish(task, { kind: "cancelled" }, true);
    return true;
  }

  /** Removes a client that did not reconnect in time: cancels its unfinished tasks and removes its references. */
  leave(name: string): void {
    const client = this.clients.get(name);
    if (client === undefined) return;
    for (const watch of [...client.watches.values()]) {
      this.closeWatch(watch);
      for (const object of watch.objects) this.collectUnused(object);
    }
    for (const task of [...this.tasks.values()]) if (task.client === client && task.outcome === null) this.cancel(task.spec.key);
    for (const object of [...this.objects.all()]) {
      const count = this.referencesOf(object, client);
      if (count > 0) this.removeReferences(object, client, count);
    }
    this.clients.delete(name);
  }

  // ---- Dependencies and objects

  /** Counts the inputs of a task that are not available. Queues the task if there are none; fails it if an input has failed. */
  private resolveInputs(task: Task): void {
    task.phase = Phase.Waiting;
    task.missingInputs = 0;
    let failedInput: GraphObject | null = null;
    for (const object of task.inputs) {
      this.ensureAvailable(object);
      if (object.availability === Availability.Available) continue;
      if (object.availability === Availability.Failed) failedInput = object;
      else {
        task.missingInputs++;
        object.waitingTasks = append(object.waitingTasks, task);
      }
    }
    if (failedInput !== null) this.finish(task, { kind: "failed", why: "needs-failed", message: objectKey(failedInput) }, true);
    else if (task.missingInputs === 0) this.enqueue(task);
  }

  /**
   * Recomputes an object whose copies are all lost, and recursively the lost inputs of the task that produced it. Marks as
   * failed what cannot be recomputed.
   */
  private ensureAvailable(first: GraphObject): void {
    const stack = [first];
    for (let object = stack.pop(); object !== undefined; object = stack.pop()) {
      if (object.availability !== Availability.Lost) continue;
      const { producer } = object;
      if (producer === null || producer.retriesLeft <= 0) {
        this.markFailed(object);
        continue;
      }
      if (producer.phase !== Phase.Finished) {
        object.availability = Availability.Pending;
        continue;
      }
      this.stats.reruns++;
      producer.retriesLeft--;
      for (const output of producer.outputs) if (output.availability === Availability.Lost) output.availability = Availability.Pending;
      producer.phase = Phase.Waiting;
      producer.missingInputs = 0;
      for (const input of producer.inputs) {
        input.lineageRefs--;
        input.pendingConsumers++;
        if (input.availability === Availability.Available) continue;
        producer.missingInputs++;
        input.waitingTasks = append(input.waitingTasks, producer);
        if (input.availability === Availability.Lost || input.availability === Availability.Failed) stack.push(input);
      }
      if (producer.missingInputs === 0) this.enqueue(producer);
      else
        for (const input of producer.inputs)
          if (input.availability === Availability.Failed) {
            this.finish(producer, { kind: "failed", why: "object-lost", message: objectKey(input) }, true);
            break;
          }
    }
  }

  /** Marks an object as failed: it will never be available. */
  private markFailed(object: GraphObject): void {
    object.availability = Availability.Failed;
    this.notifySettled(object);
  }

  /** Resumes the tasks and watches that wait for an object that became available or failed. */
  private notifySettled(object: GraphObject): void {
    const { waitingTasks, watches } = object;
    object.waitingTasks = emptyList();
    object.watches = emptyList();
    for (const task of waitingTasks) {
      if (task.phase !== Phase.Waiting) continue;
      if (object.availability === Availability.Failed)
        this.finish(task, { kind: "failed", why: "needs-failed", message: objectKey(object) }, true);
      else if (--task.missingInputs === 0) this.enqueue(task);
    }
    for (const watch of watches) if (++watch.settledCount >= watch.required) this.completeWatch(watch);
  }

  /**
   * Deletes the object if it is unused. With the last output of a finished task, the task is removed
   * too, and then those of its inputs that were kept only to recompute its outputs.
   */
  private collectUnused(first: GraphObject): void {
    const stack = [first];
    for (let object = stack.pop(); object !== undefined; object = stack.pop()) {
      if (object.refCount > 0 || isNeeded(object)) continue;
      // While the producer has no outcome yet, the object is kept; it is deleted when the producer finishes.
      if (object.availability === Availability.Pending && object.producer !== null && object.producer.outcome === null) continue;
      // A value that a client put cannot be recomputed: it is kept as long as an object derived from it may have to be recomputed.
      if (object.producer === null && object.lineageRefs > 0) continue;
      if (object.availability === Availability.Available) this.dropCopies(object);
      if (object.lineageRefs > 0 || !this.objects.remove(object)) continue;
      const { producer } = object;
      if (producer === null || --producer.liveOutputs > 0 || producer.phase !== Phase.Finished) continue;
      if (this.removeTask(producer)) for (const input of producer.inputs) stack.push(input);
    }
  }

  /** Removes a task whose outputs can no longer be requested, and its references to its inputs. Returns false if it was removed before. */
  private removeTask(task: Task): boolean {
    if (!this.tasks.delete(task.spec.key)) return false;
    for (const input of task.inputs) input.lineageRefs--;
    return true;
  }

  /** Deletes all copies of an object. */
  private dropCopies(object: GraphObject): void {
    object.availability = Availability.Lost;
    object.inline = null;
    for (const executor of object.holders) {
      executor.objects.delete(object);
      this.options.sink.drop(executor.name, [objectKey(object)]);
    }
    if (object.holders.length > 0) this.stats.dropped++;
    object.holders = emptyList();
  }

  // ---- Order of tasks

  /**
   * Computes the ranks (priorities) of all unfinished tasks, from the last submitted to the first,
   * because the producers of a task's inputs were always submitted before it. Called after a share
   * of the tasks has changed, so the number of visits per task is bounded regardless of the size of
   * the graph. Between two calls, a higher rank is propagated a few steps only.
   */
  private rankAll(): void {
    this.changesSinceRanking = 0;
    const open = this.submitted.filter((task) => task.phase !== Phase.Finished);
    this.submitted = open;
    const before = open.map(({ rank }) => rank);
    for (const task of open) task.rank = this.runtimes.meanMs(task.spec.fn);
    for (let i = open.length - 1; i >= 0; i--) {
      const task = open[i]!;
      for (const { producer } of task.inputs) {
        if (producer === null || producer.phase === Phase.Finished) continue;
        producer.rank = Math.max(producer.rank, this.runtimes.meanMs(producer.spec.fn) + task.rank);
      }
    }
    open.forEach((task, i) => task.phase === Phase.Ready && task.rank > before[i]! && this.enqueue(task, false));
  }

  /** Raises the ranks of the tasks that produce the task's inputs, directly or indirectly, up to a maximum number of steps. */
  private propagateRank(task: Task): void {
    let steps = MAX_RANK_STEPS;
    const stack = [task];
    for (let current = stack.pop(); current !== undefined && steps-- > 0; current = stack.pop()) {
      for (const { producer } of current.inputs) {
        if (producer === null || producer.phase === Phase.Finished) continue;
        const rank = this.runtimes.meanMs(producer.spec.fn) + current.rank;
        if (rank <= producer.rank) continue;
        producer.rank = rank;
        if (producer.phase === Phase.Ready) this.enqueue(producer, false);
        stack.push(producer);
      }
    }
  }

  /**
   * Queues a ready task. `fresh` is false if the task is in the queue already, at a lower rank: its
   * entry with the higher rank is taken first, and its other entry is skipped as stale.
   */
  private enqueue(task: Task, fresh = true): void {
    task.phase = Phase.Ready;
    if (fresh) this.readyCount++;
    const { client } = task;
    // Among equal ranks, the task that was queued first runs first.
    client.readyQueue.push(task, -task.rank + ++this.readySequence * ARRIVAL_TIE_BREAK_MS);
    if (client.inFairQueue) return;
    client.inFairQueue = true;
    client.serviceMs = Math.max(client.serviceMs, this.currentServiceMs);
    this.fairQueue.push(client, client.serviceMs);
  }

  /** Returns the ready task with the highest rank of the client with the least service, or undefined. */
  private peekNext(): Task | undefined {
    for (;;) {
      const client = this.fairQueue.peek();
      if (client === undefined) return undefined;
      const task = client.readyQueue.peek();
      if (task === undefined) {
        this.fairQueue.pop();
        client.inFairQueue = false;
        continue;
      }
      if (task.phase === Phase.Ready) return task;
      client.readyQueue.pop();
    }
  }

  /** Removes the task that `peekNext` returned, and charges its expected CPU time to its client. */
  private dequeue(task: Task): void {
    const { client } = task;
    client.readyQueue.pop();
    this.readyCount--;
    this.fairQueue.pop();
    this.currentServiceMs = client.serviceMs;
    client.serviceMs += (this.runtimes.meanMs(task.spec.fn) * task.spec.cpus) / client.weight;
    this.fairQueue.push(client, client.serviceMs);
  }

  // ---- Executors

  /** Adds an executor. The name must never have been used before: an executor that reconnects gets a new one. */
  attach(name: string, cpus: number): void {
    this.pool.attach(name, cpus);
    this.dispatch();
  }

  /** Stops sending tasks to an executor; its leased tasks continue. */
  drain(name: string): void {
    const executor = this.pool.get(name);
    if (executor !== undefined) executor.draining = true;
  }

  /** Removes an executor that is proven to be lost, with its tasks and objects. */
  lost(name: string): void {
    const executor = this.pool.get(name);
    if (executor === undefined) return;
    this.pool.remove(executor);
    const lost = new Set<GraphObject>();
    for (const object of executor.objects) {
      object.holders = object.holders.filter((other) => other !== executor);
      if (object.holders.length > 0 || object.inline !== null || object.availability !== Availability.Available) continue;
      object.availability = Availability.Lost;
      lost.add(object);
    }
    if (lost.size > 0) this.markInputsMissing(lost);
    // Recomputation starts only after all lost objects are marked as lost, and only for objects that are needed.
    for (const object of lost) {
      if (isNeeded(object)) this.ensureAvailable(object);
      else this.collectUnused(object);
    }
    for (const task of [...executor.leasedTasks.values()]) this.retry(task, "executor-lost", name);
    executor.leasedTasks.clear();
    this.dispatch();
  }

  /**
   * Tasks that are ready or waiting now wait for those of their inputs that were lost. One scan of the tasks covers all
   * objects that were lost together.
   */
  private markInputsMissing(lost: ReadonlySet<GraphObject>): void {
    for (const task of this.tasks.values()) {
      if (task.phase !== Phase.Ready && task.phase !== Phase.Waiting) continue;
      for (const object of task.inputs) {
        if (!lost.has(object)) continue;
        if (task.phase === Phase.Ready) {
          task.phase = Phase.Waiting;
          task.missingInputs = 0;
          this.readyCount--;
        }
        task.missingInputs++;
        object.waitingTasks = append(object.waitingTasks, task);
      }
    }
  }

  /** Runs a task again, or fails it if no retries are left. A cancelled task is only marked as finished. */
  private retry(task: Task, why: "executor-lost" | "error", message: string): void {
    task.executor = null;
    task.lease = 0;
    if (task.outcome?.kind === "cancelled") return this.complete(task);
    if (task.retriesLeft <= 0) return this.finish(task, { kind: "failed", why, message }, true);
    task.retriesLeft--;
    this.stats.reruns++;
    this.resolveInputs(task);
  }

  /** Sends ready tasks to executors with capacity. The caller has to call it after each group of submissions or other events. */
  dispatch(): void {
    if (this.changesSinceRanking >= Math.max(MIN_RERANK_CHANGES, this.admission.unfinished * RERANK_FRACTION)) this.rankAll();
    for (let task = this.peekNext(); task !== undefined; task = this.peekNext()) {
      const executor = this.chooseExecutor(task);
      if (executor === null) return this.rebalance();
      this.dequeue(task);
      this.startLease(task, executor);
    }
    this.rebalance();
  }

  /**
   * Returns the executor with the largest input of the task among those checked that have capacity. If none holds an
   * input, returns what `ExecutorPool.pick` finds: the first one with capacity in the pool's order, or null.
   */
  private chooseExecutor(task: Task): Executor | null {
    const { cpus, fn } = task.spec;
    const meanMs = this.runtimes.meanMs(fn);
    let best: Executor | null = null;
    let maxBytes = 0;
    for (const object of task.inputs) {
      if (object.inline !== null) continue;
      for (const executor of object.holders.slice(0, MAX_HOLDERS_CHECKED)) {
        if (object.bytes <= maxBytes || !this.pool.hasCapacity(executor, cpus, meanMs, this.readyCount)) continue;
        best = executor;
        maxBytes = object.bytes;
      }
    }
    return best ?? this.pool.pick(cpus, meanMs, this.readyCount);
  }

  private startLease(task: Task, executor: Executor): void {
    task.phase = Phase.Leased;
    task.executor = executor;
    task.lease = ++this.lastLease;
    this.pool.assign(executor, task, this.runtimes.meanMs(task.spec.fn));
    this.stats.leased++;
    const inputs = task.inputs.map((object) => ({
      key: objectKey(object),
      inline: object.inline,
      at: object.holders.map(({ name }) => name),
    }));
    this.options.sink.run(executor.name, task.lease, task.spec, inputs, task.rank);
  }

  private endLease(executor: Executor, task: Task): void {
    this.pool.unassign(executor, task, this.runtimes.meanMs(task.spec.fn));
    task.executor = null;
  }

  /** If no task is ready, recalls queued tasks for an idle executor. */
  private rebalance(): void {
    const recall = this.readyCount > 0 ? null : this.pool.chooseRecall();
    if (recall !== null) for (const lease of recall.leases) this.options.sink.recall(recall.executor.name, lease);
  }

  /** Handles a task that an executor returned before it started. */
  returned(name: string, lease: number): void {
    const executor = this.pool.get(name);
    const task = executor?.leasedTasks.get(lease);
    if (executor === undefined || task === undefined) return void this.stats.staleReports++;
    this.endLease(executor, task);
    this.stats.returned++;
    task.lease = 0;
    if (task.outcome?.kind === "cancelled") this.complete(task);
    else this.resolveInputs(task);
    this.dispatch();
  }

  private stopLease(task: Task): void {
    if (task.executor !== null) this.options.sink.stop(task.executor.name, task.lease);
  }

  /**
   * Handles the successful end of a task. The outputs of a cancelled task are deleted. If the lease is no longer valid, the
   * report is ignored but counted.
   */
  done(name: string, lease: number, made: readonly TaskOutput[], ranMs: number): void {
    const { executor, task } = this.takeLease(name, lease);
    if (executor === null || task === null) return;
    this.runtimes.record(task.spec.fn, ranMs);
    this.changesSinceRanking++;
    if (task.outcome?.kind === "cancelled") {
      this.options.sink.drop(name, task.outputs.filter((_, i) => made[i]?.inline === null).map(objectKey));
      this.complete(task);
    } else {
      task.outputs.forEach((object, i) => this.storeOutput(object, made[i]!, executor));
      this.finish(task, { kind: "done" }, false);
    }
    this.dispatch();
  }

  /** Ends a lease and returns its executor and task. If the lease is no longer valid, the task is null and a stale report is counted. */
  private takeLease(name: string, lease: number): { executor: Executor | null; task: Task | null } {
    const executor = this.pool.get(name) ?? null;
    const task = executor?.leasedTasks.get(lease) ?? null;
    if (executor === null || task === null) this.stats.staleReports++;
    else this.endLease(executor, task);
    return { executor, task };
  }

  private storeOutput(object: GraphObject, { bytes, inline }: TaskOutput, executor: Executor): void {
    // The output was removed as unused, or its failure was already reported: the new copy is deleted.
    if (object.removed || object.availability === Availability.Failed) {
      if (inline === null) this.options.sink.drop(executor.name, [objectKey(object)]);
      return;
    }
    // If the task ran again because another of its outputs was lost, this object may still have a copy from the earlier run. Both
    // copies are valid.
    object.bytes = bytes;
    if (inline !== null) object.inline = inline;
    else if (!object.holders.includes(executor)) {
      object.holders = append(object.holders, executor);
      executor.objects.add(object);
    }
    const before = object.availability;
    object.availability = Availability.Available;
    if (before !== Availability.Available) this.notifySettled(object);
  }

  /** Handles an error that a task raised. If the lease is no longer valid, the report is ignored but counted. */
  failed(name: string, lease: number, message: string, ranMs: number): void {
    const { executor, task } = this.takeLease(name, lease);
    if (executor === null || task === null) return;
    this.runtimes.record(task.spec.fn, ranMs);
    if (task.spec.retryErrors || task.outcome?.kind === "cancelled") this.retry(task, "error", message);
    else this.finish(task, { kind: "failed", why: "error", message }, true);
    this.dispatch();
  }

  /** Records that an executor has fetched a copy of an object; deletes the copy if the object is not available. */
  copied(name: string, key: string): void {
    const executor = this.pool.get(name);
    const object = this.objects.find(key);
    if (executor === undefined) return;
    if (object === undefined || object.availability !== Availability.Available) return this.options.sink.drop(name, [key]);
    if (object.holders.includes(executor)) return;
    object.holders = append(object.holders, executor);
    executor.objects.add(object);
  }

  // ---- Ends of tasks

  /**
   * Records and reports the outcome of a task, unless it has one already: a task that ran again to recompute its outputs
   * keeps its outcome. If `failing`, those of its outputs that are not available are marked as failed.
   */
  private finish(task: Task, outcome: TaskOutcome, failing: boolean): void {
    const leased = task.phase === Phase.Leased && task.executor !== null;
    if (task.phase === Phase.Ready) this.readyCount--;
    if (task.outcome === null) {
      task.outcome = outcome;
      this.stats.finished++;
      this.admission.taskClosed(task.client, specBytes(task.spec, task.inputs.length), this.options.now());
      this.options.sink.final(task.client.name, task.spec.key, outcome);
    }
    if (failing)
      for (const object of task.outputs) if (object.availability !== Availability.Available && !object.removed) this.markFailed(object);
    // A task that is cancelled while it is leased is completed later, when its executor ends or returns it or is lost.
    if (leased) return;
    this.complete(task);
  }

  /**
   * Marks a task as finished. All its inputs change from pending consumption to lineage (needed only
   * to recompute its outputs) before any check for unused objects: in between, an input would seem
   * to be unused.
   */
  private complete(task: Task): void {
    if (task.phase === Phase.Finished) return;
    task.phase = Phase.Finished;
    for (const object of task.inputs) {
      object.pendingConsumers--;
      object.lineageRefs++;
    }
    if (task.liveOutputs <= 0) this.removeTask(task);
    for (const object of task.outputs) this.collectUnused(object);
    for (const object of task.inputs) this.collectUnused(object);
  }

  // ---- Status

  /** Numbers of tasks, objects, ready tasks, executors and unfinished tasks (`open`). */
  get counts(): { tasks: number; objects: number; ready: number; executors: number; open: number } {
    return {
      tasks: this.tasks.size,
      objects: this.objects.size,
      ready: this.readyCount,
      executors: this.pool.size,
      open: this.admission.unfinished,
    };
  }

  /**
   * Load by which the number of executors should be scaled: ready tasks, leased tasks, and the rank
   * in ms of the task to be sent next (0 if there is none).
   */
  get demand(): { ready: number; running: number; longestMs: number } {
    let running = 0;
    for (const executor of this.pool.all()) running += executor.leasedTasks.size;
    const first = this.peekNext();
    return { ready: this.readyCount, running, longestMs: first?.rank ?? 0 };
  }

  /** Returns whether an object is available or failed, its value if it is small, and its holders; null if the key is unknown. */
  objectStatus(key: string): { available: boolean; failed: boolean; inline: string | null; at: readonly string[] } | null {
    const object = this.objects.find(key);
    if (object === undefined) return null;
    return {
      available: object.availability === Availability.Available,
      failed: object.availability === Availability.Failed,
      inline: object.inline,
      at: object.holders.map(({ name }) => name),
    };
  }
}
