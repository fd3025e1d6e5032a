import sortedBtree from "sorted-btree";
import type { Batch, Engine, EngineMeta, Page, StoredValue, StoredEvent } from "./engine.js";

// The package is CommonJS, so its default export is a property of the imported module object.
const BTree = sortedBtree.default;

/** Storage engine in memory, used for rehearsals in virtual time and, in crash tests, as the disk that survives a crash. */
export class MemoryEngine implements Engine {
  private readonly tree = new BTree<string, StoredValue>(undefined, (a, b) => (a < b ? -1 : a > b ? 1 : 0));
  private history: StoredEvent[] = [];
  private storedMeta: EngineMeta = { ledger: 0, floor: 0, permitCount: 0, leases: [], revisions: [] };
  private readonly leases = new Map<number, { ttlMs: number; keys: Set<string> }>();

  meta(): Promise<EngineMeta> {
    const leases = [...this.leases].map(([id, { ttlMs, keys }]) => ({ id, ttlMs, keys: [...keys] }));
    const counts = new Map<number, number>();
    for (const { stamp } of this.history) counts.set(stamp, (counts.get(stamp) ?? 0) + 1);
    return Promise.resolve({ ...this.storedMeta, leases, revisions: [...counts].map(([stamp, count]) => ({ stamp, count })) });
  }

  get(key: string): StoredValue | undefined {
    return this.tree.get(key);
  }

  write(batch: Batch): Promise<void> {
    for (const [key, stored] of batch.keys) {
      if (stored === null) this.tree.delete(key);
      else this.tree.set(key, stored);
    }
    for (const [id, ttlMs] of batch.leases) if (ttlMs !== null) this.leases.set(id, { ttlMs, keys: new Set() });
    for (const { id, key, attached: on } of batch.leaseKeys) {
      if (on) this.leases.get(id)?.keys.add(key);
      else this.leases.get(id)?.keys.delete(key);
    }
    for (const [id, ttlMs] of batch.leases) if (ttlMs === null) this.leases.delete(id);
    this.history.push(...batch.events);
    if (batch.trimmed.length > 0) this.history = this.history.filter(({ stamp }) => stamp > batch.floor);
    const { ledger, floor, permitCount } = batch;
    this.storedMeta = { ...this.storedMeta, ledger, floor, permitCount };
    return Promise.resolve();
  }

  range(prefix: string, from: string | undefined, limit: { items: number; bytes: number }): Promise<Page> {
    const rows: Page["rows"] = [];
    let bytes = 0;
    const start = from !== undefined && from > prefix ? from : prefix;
    for (const [key, stored] of this.tree.entries(start)) {
      if (!key.startsWith(prefix)) break;
      if (key === from) continue;
      bytes += key.length + stored.text.length;
      if (rows.length >= limit.items || (rows.length > 0 && bytes > limit.bytes)) return Promise.resolve({ rows, more: true });
      rows.push({ key, stored });
    }
    return Promise.resolve({ rows, more: false });
  }

  events(prefix: string, from: number): Promise<StoredEvent[]> {
    // Usually only the newest few changes are requested, so the search starts at the end of the history.
    let first = this.history.length;
    while (first > 0 && this.history[first - 1]!.stamp > from) first--;
    return Promise.resolve(this.history.slice(first).filter(({ key }) => key.startsWith(prefix)));
  }

  reopen(): Promise<void> {
    return Promise.resolve();
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}
