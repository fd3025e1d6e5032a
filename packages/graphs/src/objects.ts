/** Keys of a task graph's objects, and the index of the objects by key. */
import { emptyList, Availability, type Task, type GraphObject } from "./model.js";

/** Returns the key by which clients and executors address an object: `TASK:INDEX` for a task's output, else the client's own key. */
export const objectKey = ({ producer, name }: GraphObject): string => (producer === null ? String(name) : `${producer.spec.key}:${name}`);

/**
 * Index of the graph's objects by key. A task's outputs are found through the task, and their
 * keys are built on demand: a map entry and a key string for each output would take a third of
 * the memory of a graph.
 */
export class ObjectTable {
  private readonly clientObjects = new Map<string, GraphObject>();
  private count = 0;

  constructor(private readonly tasks: ReadonlyMap<string, Task>) {}

  /** Number of objects that were not removed. */
  get size(): number {
    return this.count;
  }

  /** Adds an object. `name` is the index among the producer's outputs, or the client's own key when `producer` is null. */
  create(producer: Task | null, name: number | string): GraphObject {
    const object: GraphObject = {
      name,
      producer,
      availability: Availability.Pending,
      inline: null,
      bytes: 0,
      holders: emptyList(),
      refCount: 0,
      referencedBy: null,
      pendingConsumers: 0,
      lineageRefs: 0,
      waitingTasks: emptyList(),
      watches: emptyList(),
      removed: false,
    };
    if (producer === null) this.clientObjects.set(String(name), object);
    this.count++;
    return object;
  }

  /** Returns the object, or undefined if the key is unknown or the object was removed. */
  find(key: string): GraphObject | undefined {
    const clientObject = this.clientObjects.get(key);
    if (clientObject !== undefined) return clientObject;
    const colon = key.lastIndexOf(":");
    const index = key.slice(colon + 1);
    if (colon < 0 || !/^(0|[1-9]\d*)$/.test(index)) return undefined;
    const object = this.tasks.get(key.slice(0, colon))?.outputs[Number(index)];
    return object === undefined || object.removed ? undefined : object;
  }

  /** Returns false if one of the outputs of a task with this key would have the same key as an object that a client put. */
  isKeyFree(key: string, returns: number): boolean {
    if (this.clientObjects.size === 0) return true;
    for (let i = 0; i < returns; i++) if (this.clientObjects.has(`${key}:${i}`)) return false;
    return true;
  }

  /** Removes an object. Returns false if it was removed before. */
  remove(object: GraphObject): boolean {
    if (object.removed) return false;
    object.removed = true;
    if (object.producer === null) this.clientObjects.delete(String(object.name));
    this.count--;
    return true;
  }

  /** Iterates over all objects that were not removed. */
  *all(): Iterable<GraphObject> {
    yield* this.clientObjects.values();
    for (const { outputs } of this.tasks.values()) for (const object of outputs) if (!object.removed) yield object;
  }
}
