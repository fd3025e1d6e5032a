import { Subject } from "rxjs";
import type { Mirror } from "./mirror.js";
import { keys, type RentalRecord } from "./records.js";

/** A machine as the records have it. */
export interface RecordedMachine {
  host: string;
  /** Of the rental that brought it. */
  key: string;
  part: number;
  type: string;
  zone: string;
  spot: boolean;
  at: number;
  /** Null: not up as far as is recorded, so it was never given work. */
  addr: string | null;
}

/**
 * Which machine stands in which rental's record. Machines of a rental share one:
 * with a record each, a fleet of hundreds would take most of a minute of all the
 * writes there are before its first task could start.
 */
export class Rentals {
  /** Hosts whose record appeared, changed or went. */
  readonly changes$ = new Subject<string>();
  private readonly machines = new Map<string, RecordedMachine>();
  private readonly byKey = new Map<string, Set<string>>();
  private readonly counts = new Map<number, number>();
  /** Rentals of which it is not recorded yet what they brought. */
  private readonly unanswered = new Set<string>();

  constructor(private readonly mirror: Mirror) {
    mirror.changes$.subscribe((key) => {
      if (key.startsWith(keys.rentals)) this.review(key);
    });
  }

  get(host: string): RecordedMachine | undefined {
    return this.machines.get(host);
  }

  /** How many machines the part has. */
  count(part: number): number {
    return this.counts.get(part) ?? 0;
  }

  /** Rentals begun for the part, by us or a former leader, of which it is not recorded what they brought. */
  begun(part: number): [key: string, record: RentalRecord][] {
    const list: [string, RentalRecord][] = [];
    for (const key of this.unanswered) {
      const record = this.mirror.get<RentalRecord>(key)?.v;
      if (record?.part === part) list.push([key, record]);
    }
    return list;
  }

  private tally(part: number, by: number): void {
    this.counts.set(part, this.count(part) + by);
  }

  all(): Iterable<RecordedMachine> {
    return this.machines.values();
  }

  private review(key: string): void {
    const record = this.mirror.get<RentalRecord>(key)?.v;
    const before = this.byKey.get(key);
    if (record !== undefined && record.hosts === undefined) this.unanswered.add(key);
    else this.unanswered.delete(key);
    const hosts = record?.hosts ?? {};
    const changed: string[] = [];
    for (const host of before ?? []) {
      if (host in hosts) continue;
      const gone = this.machines.get(host);
      if (gone !== undefined) this.tally(gone.part, -1);
      this.machines.delete(host);
      changed.push(host);
    }
    if (record === undefined) this.byKey.delete(key);
    else {
      const { part, type, zone, spot, at } = record;
      for (const [host, text] of Object.entries(hosts)) {
        const addr = text === "" ? null : text;
        const known = this.machines.get(host);
        if (known !== undefined && known.key === key && known.addr === addr) continue;
        if (known !== undefined) this.tally(known.part, -1);
        this.tally(part, 1);
        this.machines.set(host, { host, key, part, type, zone, spot, at, addr });
        changed.push(host);
      }
      this.byKey.set(key, new Set(Object.keys(hosts)));
    }
    for (const host of changed) this.changes$.next(host);
  }
}
