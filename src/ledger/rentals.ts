import { Subject } from "rxjs";
import type { StateReplica } from "./state-replica.js";
import { keys, type RentalRecord } from "./records.js";

/** A machine according to the rental records. */
export interface RecordedMachine {
  host: string;
  /** Key of the rental record that lists the machine. */
  key: string;
  partition: number;
  type: string;
  zone: string;
  spot: boolean;
  at: number;
  /** The machine's address; null until the machine is recorded as up. No task is started on the machine while this is null. */
  addr: string | null;
}

/**
 * Index of the machines in the rental records. The machines of one rental share a record: with one record per machine,
 * a fleet of hundreds would use the whole write rate for most of a minute before its first task could start.
 */
export class RentalIndex {
  /** Emits each host whose entry in the rental records was added, changed or removed. */
  readonly changes$ = new Subject<string>();
  private readonly machines = new Map<string, RecordedMachine>();
  private readonly byKey = new Map<string, Set<string>>();
  private readonly counts = new Map<number, number>();
  /** Keys of rental records in which no machines are recorded yet. */
  private readonly pending = new Set<string>();

  constructor(private readonly replica: StateReplica) {
    replica.changes$.subscribe((key) => {
      if (key.startsWith(keys.rentals)) this.update(key);
    });
  }

  /** The machine as recorded; undefined if no rental record lists it. */
  get(host: string): RecordedMachine | undefined {
    return this.machines.get(host);
  }

  /** Number of recorded machines in the partition. */
  count(partition: number): number {
    return this.counts.get(partition) ?? 0;
  }

  /** Rentals for the partition, by this or a former owner, whose machines are not recorded yet. */
  pendingRentals(partition: number): [key: string, record: RentalRecord][] {
    const list: [string, RentalRecord][] = [];
    for (const key of this.pending) {
      const record = this.replica.get<RentalRecord>(key)?.v;
      if (record?.part === partition) list.push([key, record]);
    }
    return list;
  }

  /** Changes the partition's machine count by `by`. */
  private adjustCount(partition: number, by: number): void {
    this.counts.set(partition, this.count(partition) + by);
  }

  /** All recorded machines. */
  all(): Iterable<RecordedMachine> {
    return this.machines.values();
  }

  /** Brings the index up to date with one rental record. */
  private update(key: string): void {
    const record = this.replica.get<RentalRecord>(key)?.v;
    const before = this.byKey.get(key);
    if (record !== undefined && record.hosts === undefined) this.pending.add(key);
    else this.pending.delete(key);
    const hosts = record?.hosts ?? {};
    const changed: string[] = [];
    for (const host of before ?? []) {
      if (host in hosts) continue;
      const gone = this.machines.get(host);
      if (gone !== undefined) this.adjustCount(gone.partition, -1);
      this.machines.delete(host);
      changed.push(host);
    }
    if (record === undefined) this.byKey.delete(key);
    else {
      const { part, type, zone, spot, at } = record;
      for (const [host, text] of Object.entries(hosts)) {
        const addr = text === "" ? null : text;
        const indexed = this.machines.get(host);
        if (indexed !== undefined && indexed.key === key && indexed.addr === addr) continue;
        if (indexed !== undefined) this.adjustCount(indexed.partition, -1);
        this.adjustCount(part, 1);
        this.machines.set(host, { host, key, partition: part, type, zone, spot, at, addr });
        changed.push(host);
      }
      this.byKey.set(key, new Set(Object.keys(hosts)));
    }
    for (const host of changed) this.changes$.next(host);
  }
}
