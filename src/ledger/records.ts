import type { JobSpec } from "@thorntrail/protocol/jobs";
import { Bits } from "../platform/bits.js";
import type { TeamSettings } from "../settings/platform-file.js";

/** What is kept in the state service. Every key starts with `t/`. */

/** The part of a job that was submitted while jobs it needs were not done: none, as far as earlier versions can tell. */
const NO_PART = -1;

/**
 * Where a record's tasks belong. A job that has to wait is recorded as belonging to
 * no part, with its part beside it: a version that knows nothing of needs would start
 * it at once. Whether it still waits follows from the records of the jobs it needs.
 */
interface Located {
  part: number;
  home?: number;
}

export function partOf(record: Located): number {
  return record.part === NO_PART && record.home !== undefined ? record.home : record.part;
}

/** Recorded for the part `home`, but out of sight of versions that would not wait. */
export function waitingFor(home: number): Located {
  return { part: NO_PART, home };
}

/** The record as it is written once nothing is waited for any more: plainly its part's. */
export function settled<T extends Located>(record: T): T {
  const { home: _home, ...rest } = record;
  return { ...rest, part: partOf(record) } as T;
}

/** A bit map of the slice's tasks; `packed` adds to it: all before `from`, and a map of the rest. */
interface Done {
  done: string;
  packed?: { from: number; map: string };
}

/**
 * A job, and at the same time its first slice: tasks 0 to `hi`. Further slices
 * have keys of their own. `done` is a bit map of the slice.
 */
export interface JobRecord extends Located, Done {
  spec: JobSpec;
  hi: number;
  at: number;
  /** Jobs it needs beyond those that its own record has room for stand in lists of this name. */
  needLists?: { name: string; count: number };
  end?: "done" | "withdrawn";
  /** When it was done, by the time of day; times of jobs that need it count from then. */
  endedAt?: number;
  moved?: boolean;
}

export interface SliceRecord extends Located, Done {
  ref: string;
  lo: number;
  hi: number;
  moved?: boolean;
}

/**
 * A rental that was asked for, or is about to be; with `hosts`, what it brought.
 * A machine's value is its address once it is recorded as up, before that it is
 * empty: work may be given to it only once it is up by its record.
 */
export interface RentalRecord {
  part: number;
  type: string;
  zone: string;
  spot: boolean;
  count: number;
  at: number;
  hosts?: Record<string, string>;
}

/** Who leads a part. The stamp of this key is the term, hence the token. */
export interface OwnerRecord {
  owner: string;
  life: string;
}

export interface PresenceRecord {
  life: string;
  /** It cannot reach its workers, or keeps ending: others should lead its parts. */
  unfit?: boolean;
  /** Of a life younger than a lease: how many before it ended young, in a row. */
  ends?: number;
  /** The number of the last suspicion of this life that it refuted; absent: of a version that knows none. */
  refutes?: number;
  /**
   * The version of the configuration that it acts by, and the newest term up to which it has proven of all its
   * partitions that their former owners can start nothing; absent: nothing was ever changed, or a program that knows
   * no configuration.
   */
  acts?: { version: number; term: number };
}

/** Somebody suspects that this life of a node is over. Standing until the node refutes the number. */
export interface SuspicionRecord {
  life: string;
  n: number;
  by: string;
}

/** A team's limit, split over the parts; null: no limit. */
export interface AllotmentRecord {
  cpus: (number | null)[];
  gpus: (number | null)[];
}

/** A team's guarantees and limits as a change has written them, and the version that did. */
export interface TeamRecord extends TeamSettings {
  version: number;
  removed?: true;
}

/** Limits that would be lower, written down before it is checked that no accepted job needs more. */
export interface PreparedChange {
  id: string;
  teams: TeamSettings[];
  /** By the time of day of whoever changes. */
  at: number;
}

/** The newest version of the configuration. */
export interface ConfigurationRecord {
  version: number;
  at: number;
  /** Of the change that made it: known again when it is repeated. */
  id: string;
  prepared?: PreparedChange;
}

/** What a version changed; null: the team was not there. */
export interface ConfigurationHistoryRecord {
  version: number;
  at: number;
  teams: { name: string; before: TeamSettings | null; after: TeamSettings | null }[];
}

/** Further jobs that a job needs; means nothing before the job's own record is there. */
export interface NeedListRecord {
  ref: string;
  needs: string[];
}

export const keys = {
  root: "t/",
  jobs: "t/j/",
  slices: "t/s/",
  needLists: "t/n/",
  rentals: "t/m/",
  owners: "t/o/",
  presence: "t/l/",
  suspicions: "t/x/",
  allotments: "t/q/",
  configurationRoot: "t/c/",
  /** Read before the teams when all is read page by page: it never says more than they do. */
  configuration: "t/c/head",
  changedTeams: "t/c/team/",
  configurationHistory: "t/c/was/",
  job: (ref: string) => `t/j/${ref}`,
  slice: (ref: string, lo: number) => `t/s/${ref}/${String(lo).padStart(6, "0")}`,
  needList: (ref: string, name: string, i: number) => `t/n/${ref}/${name}/${i}`,
  /** What one record has no room for stands in further ones. */
  rental: (name: string, further = 0) => `t/m/${name}${further > 0 ? `/${further}` : ""}`,
  owner: (part: number) => `t/o/${part}`,
  alive: (node: string) => `t/l/${node}`,
  suspicion: (node: string) => `t/x/${node}`,
  /** Team names may hold anything; keys may not hold spaces. */
  allotment: (team: string) => `t/q/${encodeURIComponent(team)}`,
  changedTeam: (team: string) => `t/c/team/${encodeURIComponent(team)}`,
  formerConfiguration: (version: number) => `t/c/was/${String(version).padStart(10, "0")}`,
};

/** Of a record's room, what the bit map of a slice may take, and what is added in the course of a job. */
const BIT_MAP = 1 / 3;
const LATER_BYTES = 192;

/** How many tasks one slice's bit map may cover, so that a record fits its limits. */
export function sliceCapacity(valueKb: number): number {
  return Math.floor(Math.min(valueKb, 32) * 1024 * BIT_MAP) * 6;
}

export function recordBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}

/** The tasks of a slice, of so many, that are recorded as done. */
export function doneOf({ done, packed }: Done, size: number): Bits {
  const bits = Bits.decode(size, done);
  if (packed !== undefined) {
    // A slice that was shortened ends before what was packed of it.
    const from = Math.min(packed.from, size);
    for (let i = 0; i < from; i++) bits.set(i);
    const rest = Bits.decode(size - from, packed.from > size ? "" : packed.map);
    for (let i = from; i < size; i++) if (rest.has(i - from)) bits.set(i);
  }
  return bits;
}

export function isDone({ done, packed }: Done, task: number): boolean {
  if (Bits.stored(done, task)) return true;
  return packed !== undefined && (task < packed.from || Bits.stored(packed.map, task - packed.from));
}

/** Tasks start in order, so all up to some point are done, and none much later. */
function pack(bits: Bits): NonNullable<Done["packed"]> {
  let from = 0;
  while (from < bits.size && bits.has(from)) from++;
  const rest = new Bits(bits.size - from);
  for (let i = from; i < bits.size; i++) if (bits.has(i)) rest.set(i - from);
  return { from, map: rest.encode() };
}

/**
 * The record as it can be written. An array that was recorded under larger limits may have a
 * bit map that no longer fits: then it is packed, in a field of its own, so that an earlier version
 * would take too little for done, never too much. If even that does not fit, the end of a job
 * says all there is to say; before, its progress cannot be recorded (null), and workers keep the results.
 */
export function fitting<T extends Done & { end?: unknown }>(record: T, size: number, valueKb: number): T | null {
  const fits = (one: T): boolean => recordBytes(one) <= valueKb * 1024;
  if (fits(record)) return record;
  const packed = { ...record, done: "", packed: pack(doneOf(record, size)) };
  if (fits(packed)) return packed;
  const { packed: _packed, ...rest } = record;
  return record.end === undefined ? null : ({ ...rest, done: "" } as T);
}

/** Bytes that a job's description may take of its record. */
export function specRoom(valueKb: number): number {
  return Math.floor(Math.min(valueKb, 32) * 1024 * (1 - BIT_MAP)) - LATER_BYTES;
}

/** The longest address a machine may come up with. */
const LONGEST_ADDR = "255.255.255.255:65535";

/**
 * What a rental brought, in as many records as it takes: each must have room for the
 * addresses of its machines, which are written later, when no more can be moved out.
 */
export function rentalRecords(rental: RentalRecord, hosts: string[], valueKb: number): RentalRecord[] {
  const records: RentalRecord[] = [];
  const least = recordBytes({ ...rental, hosts: {} });
  let room = 0;
  for (const host of hosts) {
    const bytes = recordBytes({ [host]: LONGEST_ADDR });
    if (bytes > room) {
      records.push({ ...rental, hosts: {} });
      room = valueKb * 1024 - least;
    }
    room -= bytes;
    records[records.length - 1]!.hosts![host] = "";
  }
  return records;
}
