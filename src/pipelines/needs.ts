import type { Urgency } from "@thorntrail/protocol/jobs";
import { Subject } from "rxjs";
import type { Mirror } from "../ledger/mirror.js";
import { keys, type JobRecord, type NeedListRecord } from "../ledger/records.js";
import { rank } from "../queue/order.js";

/** How a job ended. */
export type Fate = "done" | "withdrawn";

/** A job that needs others or is needed by them. */
interface Node {
  ref: string;
  /** From its own record; null while that has not been seen. */
  own: Urgency | null;
  /** Its own, or that of a job that needs it if that is higher. */
  urgency: Urgency;
  needs: string[];
  /** Of these, those that are not done. */
  open: Set<string>;
  neededBy: Set<string>;
  fate: Fate | undefined;
}

/**
 * Which jobs wait for which. Nothing of it is stored: that a job may start, or is
 * cancelled with one that it needs, follows from the records of the jobs themselves.
 * So what any node says of a job, it says from the moment it knows of the cancellation,
 * and there is no second transaction that an outage could keep from being made.
 */
export class Needs {
  /** Jobs whose last need is done: their tasks may start. */
  readonly ready$ = new Subject<string>();
  /** Jobs whose urgency changed for the sake of those that need them. */
  readonly lifted$ = new Subject<string>();
  private readonly nodes = new Map<string, Node>();

  constructor(private readonly mirror: Mirror) {
    mirror.changes$.subscribe((key) => {
      if (key.startsWith(keys.jobs)) this.review(key);
      else if (key.startsWith(keys.needLists)) this.review(keys.job(mirror.get<NeedListRecord>(key)?.v.ref ?? ""));
    });
  }

  private record(ref: string): JobRecord | undefined {
    return this.mirror.get<JobRecord>(keys.job(ref))?.v;
  }

  /** How the job ended, by its own record or by that of one it needs; final once it is known. */
  fate(ref: string): Fate | undefined {
    const node = this.nodes.get(ref);
    return node === undefined ? this.record(ref)?.end : node.fate;
  }

  /** Some job that it needs is not done, so none of its tasks may start. */
  waits(ref: string): boolean {
    const node = this.nodes.get(ref);
    return node !== undefined && node.fate !== "done" && node.open.size > 0;
  }

  /** Jobs that wait for others, for the view. */
  get waiting(): number {
    let n = 0;
    for (const node of this.nodes.values()) if (node.fate === undefined && node.open.size > 0) n++;
    return n;
  }

  urgency(ref: string): Urgency {
    return this.nodes.get(ref)?.urgency ?? this.record(ref)?.spec.urgency ?? "low";
  }

  /** Times other than the deadline count from here: its submission, or when the last job that it needs was done. */
  sinceWall(job: JobRecord): number {
    let since = job.at;
    for (const ref of this.nodes.get(job.spec.ref)?.needs ?? []) {
      const need = this.record(ref);
      if (need !== undefined) since = Math.max(since, need.endedAt ?? need.at);
    }
    return since;
  }

  private node(ref: string): Node {
    let node = this.nodes.get(ref);
    if (node === undefined) {
      const record = this.record(ref);
      const own = record?.spec.urgency ?? null;
      node = { ref, own, urgency: own ?? "low", needs: [], open: new Set(), neededBy: new Set(), fate: record?.end };
      this.nodes.set(ref, node);
    }
    return node;
  }

  private review(key: string): void {
    const record = this.mirror.get<JobRecord>(key)?.v;
    if (record === undefined) return;
    const { ref, needs, urgency } = record.spec;
    const known = this.nodes.get(ref);
    if (known === undefined && needs === undefined) return;
    const node = known ?? this.node(ref);
    if (known === undefined || node.own === null) {
      node.own = urgency;
      const all = this.allNeeds(record);
      // Not all of its lists are here yet: it waits for one more than can be named.
      if (all === null) node.open.add(ref);
      else this.join(node, all);
      this.weigh([ref, ...node.needs]);
    } else if (node.open.has(ref)) {
      const all = this.allNeeds(record);
      if (all !== null) this.complete(node, all);
    }
    if (record.end !== undefined) this.settle(node, record.end);
    else if (node.needs.some((need) => this.fate(need) === "withdrawn")) this.settle(node, "withdrawn");
  }

  /** Null: some list is not known yet. */
  private allNeeds({ spec, needLists }: JobRecord): string[] | null {
    const all = [...(spec.needs ?? [])];
    for (let i = 0; i < (needLists?.count ?? 0); i++) {
      const list = this.mirror.get<NeedListRecord>(keys.needList(spec.ref, needLists!.name, i))?.v;
      if (list === undefined) return null;
      all.push(...list.needs);
    }
    return all;
  }

  private complete(node: Node, needs: string[]): void {
    this.join(node, needs);
    node.open.delete(node.ref);
    this.weigh(needs);
    if (node.open.size === 0 && node.fate === undefined) this.ready$.next(node.ref);
  }

  private join(node: Node, needs: string[]): void {
    node.needs = needs;
    for (const ref of needs) {
      const need = this.node(ref);
      need.neededBy.add(node.ref);
      if (need.fate !== "done") node.open.add(ref);
    }
  }

  /** Not by recursion: a chain of jobs may be as long as users care to make it. */
  private settle(first: Node, fate: Fate): void {
    if (first.fate !== undefined) return;
    first.fate = fate;
    const ended = [first];
    const ready: string[] = [];
    for (const node of ended) {
      for (const ref of node.neededBy) {
        const after = this.node(ref);
        if (after.fate !== undefined) continue;
        if (fate === "withdrawn") {
          after.fate = fate;
          ended.push(after);
        } else if (after.open.delete(node.ref) && after.open.size === 0) ready.push(ref);
      }
    }
    this.weigh(ended.flatMap((node) => node.needs));
    for (const ref of ready) this.ready$.next(ref);
  }

  /** Works urgencies out anew, and wherever that changes one, those of what it needs. */
  private weigh(refs: string[]): void {
    const due = new Set(refs);
    for (const ref of due) {
      due.delete(ref);
      const node = this.node(ref);
      let urgency = node.own ?? "low";
      for (const later of node.neededBy) {
        const after = this.node(later);
        if (after.fate === undefined && rank(after.urgency) < rank(urgency)) urgency = after.urgency;
      }
      if (urgency === node.urgency) continue;
      node.urgency = urgency;
      this.lifted$.next(ref);
      for (const need of node.needs) due.add(need);
    }
  }
}
