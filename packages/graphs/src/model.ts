/** Types of a task graph: tasks, objects, executors and clients, with their scheduling state. */
import type FlatQueue from "flatqueue";

/** A task as submitted by its client. Keys are chosen by the client and unique in the graph. */
export interface TaskSpec {
  key: string;
  /** Name of the function to call; run times are estimated per function. */
  fn: string;
  /** Encoded arguments; only the executor interprets them. */
  args: string;
  /** Keys of the objects that the task takes as input. */
  needs: readonly string[];
  /** Number of objects the task produces, under the keys `KEY:0`, `KEY:1` and so on. */
  returns: number;
  cpus: number;
  /** How many times the task may run again after the loss of its executor or of its outputs. */
  retries: number;
  /** Whether the task is also retried after it raised an error, within the same limit. */
  retryErrors: boolean;
}

/** Final outcome of a task. */
export type TaskOutcome = { kind: "done" } | { kind: "failed"; why: FailureReason; message: string } | { kind: "cancelled" };
/** Why a task failed. */
export type FailureReason = "error" | "executor-lost" | "object-lost" | "needs-failed";

/** One output of a task run. Small values are sent inline; large values stay at the executor, and only their location is kept. */
export interface TaskOutput {
  bytes: number;
  /** The value, or null if it is stored at the executor. */
  inline: string | null;
}

/** Why a submission was rejected. */
export type Rejection =
  { why: "malformed" | "unknown-object" | "known-key"; detail: string } | { why: "busy"; detail: string; retryAfterMs: number };

/** Receives the decisions of a graph: the service sends them to clients and executors, tests record them. */
export interface DecisionSink {
  /**
   * Sends a task to an executor under a new lease (a number that identifies this assignment). Among the tasks queued at
   * the executor, the one with the highest `rank` runs first.
   */
  run(executor: string, lease: number, task: TaskSpec, inputs: readonly TaskInput[], rank: number): void;
  /** Asks the executor to give the task back. It does so (`returned`) if the task has not started; else the task runs to its end. */
  recall(executor: string, lease: number): void;
  /** Stops a cancelled task. */
  stop(executor: string, lease: number): void;
  /** Deletes the executor's copies of these objects, which are no longer used. */
  drop(executor: string, objects: readonly string[]): void;
  /** Reports the final outcome of a task; called once per task. */
  final(client: string, key: string, final: TaskOutcome): void;
  /** Completes a `get` or `wait` with the settled objects (available or failed), in the order requested. */
  ready(client: string, request: number, keys: readonly string[]): void;
}

/** An input object as sent to the executor that runs the task. */
export interface TaskInput {
  key: string;
  /** The value, or null if it has to be fetched from an executor. */
  inline: string | null;
  /** Executors that hold a copy. */
  at: readonly string[];
}

/** Scheduling state of a task. */
export const enum Phase {
  /** At least one input is not available yet. */
  Waiting,
  /** All inputs are available. */
  Ready,
  /** Assigned to an executor under a lease. */
  Leased,
  /** The task has its final outcome. It is kept as long as one of its outputs may have to be recomputed. */
  Finished,
}

/** State of a task. */
export interface Task {
  spec: TaskSpec;
  client: Client;
  inputs: readonly GraphObject[];
  outputs: GraphObject[];
  phase: Phase;
  /** Number of inputs that are not available yet. */
  missingInputs: number;
  /** Expected ms from the start of the task to the end of the longest known chain of dependent tasks. */
  rank: number;
  executor: Executor | null;
  lease: number;
  /** How many times the task may still run again after a loss or an error. */
  retriesLeft: number;
  outcome: TaskOutcome | null;
  /** Expected end in ms of the monotonic clock; infinite while the task is queued at its executor. */
  expectedEndMs: number;
  /** Number of the task's outputs that may still be requested because they are not removed. */
  liveOutputs: number;
}

/** Whether the value of an object exists, may still be produced, or never will. */
export const enum Availability {
  /** Not produced yet. */
  Pending,
  Available,
  /** Was available, but every copy was lost or was deleted as unused. */
  Lost,
  /** Will never be available. */
  Failed,
}

/** An object: the output of a task, or a value that a client put. */
export interface GraphObject {
  /** Index among the producer's outputs, or the whole key of an object that a client put. */
  name: number | string;
  /** Null for an object that a client put, which cannot be recomputed. */
  producer: Task | null;
  availability: Availability;
  /** The value, or null if it is not available or only executors hold copies of it. */
  inline: string | null;
  bytes: number;
  /** Executors that hold a copy. */
  holders: Executor[];
  /** Number of references to the object that clients hold, in total. */
  refCount: number;
  /** The only client with references, which is the usual case, or the number of references by client; null if there are none. */
  referencedBy: Client | Map<Client, number> | null;
  /** Number of unfinished tasks that take the object as input. */
  pendingConsumers: number;
  /** Number of finished tasks that would need the object again to recompute their outputs. */
  lineageRefs: number;
  /** Tasks that wait for the object to become available or to fail. */
  waitingTasks: Task[];
  watches: Watch[];
  /** Whether the object was removed from the index, so that its key is unknown. */
  removed: boolean;
}

/** A pending `get` or `wait` request of a client. */
export interface Watch {
  client: Client;
  request: number;
  objects: readonly GraphObject[];
  /** How many of the objects have to be available or failed to complete the request. */
  required: number;
  settledCount: number;
  /** Whether the request has been completed, has expired, or its client has left. */
  closed: boolean;
}

/** A process that runs tasks. */
export interface Executor {
  name: string;
  /** CPUs for tasks that run at the same time. */
  cpus: number;
  /** CPUs of all leased tasks, running or queued; may exceed `cpus`. */
  assignedCpus: number;
  /** Running and queued tasks by lease. */
  leasedTasks: Map<number, Task>;
  /** Time at which all its leased tasks are expected to have ended, in ms of the monotonic clock. */
  idleAtMs: number;
  /** Key by which the pool sorts its executors; the one with the lowest key is tried first. */
  orderKey: number;
  /** Objects of which the executor holds a copy. */
  objects: Set<GraphObject>;
  /** Whether the executor is to receive no more tasks. */
  draining: boolean;
  /** Number of recalled tasks whose return is still awaited. Each task that the executor returns or ends reduces it by one. */
  pendingRecalls: number;
}

/** A client of the graph, with its use of the executors and its unfinished tasks. */
export interface Client {
  name: string;
  weight: number;
  /** Expected CPU-ms of work dispatched for the client, divided by its weight. */
  serviceMs: number;
  readyQueue: FlatQueue<Task>;
  /** Whether the client is in the queue of clients with ready tasks. */
  inFairQueue: boolean;
  watches: Map<number, Watch>;
  /** Number of unfinished tasks. */
  openTasks: number;
  /** Bytes of the specs of unfinished tasks. */
  openBytes: number;
}

/** Shared empty list: most objects have no waiting tasks and no remote copies, so an empty list for each would waste memory. */
const EMPTY: never[] = [];
/** Returns the shared empty list; extend it only with `append`. */
export const emptyList = <T>(): T[] => EMPTY;

/** Returns the list with one more element. An empty list is replaced, not extended, because it is shared. */
export function append<T>(list: T[], element: T): T[] {
  if (list.length === 0) return [element];
  list.push(element);
  return list;
}
