import sortedBtree from "sorted-btree";
import type { Batch, Engine, Meta, Page, Stored, StoredEvent } from "./engine.js";

// The package is CommonJS: its default export is a property of what is imported.
const BTree = sortedBtree.default;

/** Keeps everything in memory: for rehearsals in virtual time, and as the engine that a crash is cut from in tests. */
export class MemoryEngine implements Engine {
  private readonly tree = new BTree<string, Stored>(undefined, (a, b) => (a < b ? -1 : a > b ? 1 : 0));
  private events$: StoredEvent[] = [];
  private about: Meta = { ledger: 0, floor: 0, permitCount: 0, permits: [], revisions: [] };
  private readonly leases = new Map<number, { ttlMs: number; keys: Set<string> }>();

  meta(): Promise<Meta> {
    const permits = [...this.leases].map(([id, { ttlMs, keys }]) => ({ id, ttlMs, keys: [...keys] }));
    const counts = new Map<number, number>();
    for (const { stamp } of this.events$) counts.set(stamp, (counts.get(stamp) ?? 0) + 1);
    return Promise.resolve({ ...this.about, permits, revisions: [...counts].map(([stamp, count]) => ({ stamp, count })) });
  }

  get(key: string): Stored | undefined {
    return this.tree.get(key);
  }

  write(batch: Batch): Promise<void> {
    for (const [key, stored] of batch.keys) {
      if (stored === null) this.tree.delete(key);
      else this.tree.set(key, stored);
    }
    for (const [id, ttlMs] of batch.permits) if (ttlMs !== null) this.leases.set(id, { ttlMs, keys: new Set() });
    for (const { id, key, on } of batch.attached) {
      if (on) this.leases.get(id)?.keys.add(key);
      else this.leases.get(id)?.keys.delete(key);
    }
    for (const [id, ttlMs] of batch.permits) if (ttlMs === null) this.leases.delete(id);
    this.events$.push(...batch.events);
    if (batch.trimmed.length > 0) this.events$ = this.events$.filter(({ stamp }) => stamp > batch.floor);
    const { ledger, floor, permitCount } = batch;
    this.about = { ...this.about, ledger, floor, permitCount };
    return Promise.resolve();
  }

  range(prefix: string, from: string | undefined, most: { items: number; bytes: number }): Promise<Page> {
    const rows: Page["rows"] = [];
    let bytes = 0;
    const start = from !== undefined && from > prefix ? from : prefix;
    for (const [key, stored] of this.tree.entries(start)) {
      if (!key.startsWith(prefix)) break;
      if (key === from) continue;
      bytes += key.length + stored.text.length;
      if (rows.length >= most.items || (rows.length > 0 && bytes > most.bytes)) return Promise.resolve({ rows, more: true });
      rows.push({ key, stored });
    }
    return Promise.resolve({ rows, more: false });
  }

  events(prefix: string, from: number): Promise<StoredEvent[]> {
    // Mostly the newest few are asked for: looked for from the end.
    let first = this.events$.length;
    while (first > 0 && this.events$[first - 1]!.stamp > from) first--;
    return Promise.resolve(this.events$.slice(first).filter(({ key }) => key.startsWith(prefix)));
  }

  reopen(): Promise<void> {
    return Promise.resolve();
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}
