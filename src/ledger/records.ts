import type { JobSpec } from "@thorntrail/protocol/jobs";
import { Bits } from "../platform/bits.js";
import type { TeamSettings } from "../settings/platform-file.js";

/** Records in the state service: their types, keys and size limits. Every key starts with `t/`. */

/**
 * `part` of a job that was submitted before the jobs it needs were done. Earlier versions treat such a job as
 * belonging to no partition.
 */
const NO_PARTITION = -1;

/**
 * Partition of a record's tasks. A job that waits for other jobs is recorded with no partition in `part` and its
 * partition in `home`, because versions without support for job dependencies would start it at once. Whether it still
 * waits follows from the records of the jobs it needs.
 */
interface PartitionAssignment {
  part: number;
  home?: number;
}

/** Returns the partition that the record's tasks belong to. */
export function partitionOf(record: PartitionAssignment): number {
  return record.part === NO_PARTITION && record.home !== undefined ? record.home : record.part;
}

/** Assignment of a waiting job to the partition `home`, hidden from versions that would not wait. */
export function waitingAssignment(home: number): PartitionAssignment {
  return { part: NO_PARTITION, home };
}

/** The record as it is written once the job no longer waits: with its partition in `part`. */
export function withPartitionAssigned<T extends PartitionAssignment>(record: T): T {
  const { home: _home, ...rest } = record;
  return { ...rest, part: partitionOf(record) } as T;
}

/** Finished tasks of a slice: `done` is a bit map; `packed` adds all tasks before `from` and a bit map of the rest. */
interface TaskProgress {
  done: string;
  packed?: { from: number; map: string };
}

/** A job and its first slice, tasks 0 to `hi` (exclusive). Further slices have their own keys. `done` covers the first slice. */
export interface JobRecord extends PartitionAssignment, TaskProgress {
  spec: JobSpec;
  hi: number;
  at: number;
  /** Needed jobs that do not fit into this record are stored in lists under this name. */
  needLists?: { name: string; count: number };
  end?: "done" | "withdrawn";
  /** Wall-clock time at which the job was done; waiting times of jobs that need it count from here. */
  endedAt?: number;
  moved?: boolean;
}

/** A further slice of a job: tasks `lo` to `hi` (exclusive). */
export interface SliceRecord extends PartitionAssignment, TaskProgress {
  ref: string;
  lo: number;
  hi: number;
  moved?: boolean;
}

/**
 * A rental that was requested or is about to be. `hosts` holds the rented machines once the cloud has answered: the
 * value is the machine's address once it is recorded as up, and empty before. Tasks are started only on machines
 * that are recorded as up.
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

/** Owner of a partition. The stamp of this key is the term and serves as the fencing token. */
export interface OwnerRecord {
  owner: string;
  life: string;
}

/** Presence of a node, kept alive by a lease. */
export interface PresenceRecord {
  life: string;
  /** The node cannot reach its workers or keeps exiting, so others should own its partitions. */
  unfit?: boolean;
  /** Number of consecutive early exits before this incarnation; present only while it is younger than a lease. */
  ends?: number;
  /** Number of the last suspicion that this incarnation refuted; absent if its version does not support suspicions. */
  refutes?: number;
  /**
   * Configuration version that the node applies, and the newest term up to which all its partitions are fenced, so
   * that their former owners can start nothing. Absent if the configuration was never changed or the node's version
   * does not support it.
   */
  acts?: { version: number; term: number };
}

/** Suspicion number `n` by the node `by` that this incarnation is gone. In effect until the node refutes `n`. */
export interface SuspicionRecord {
  life: string;
  n: number;
  by: string;
}

/** A team's limit, split into one share per partition; null means no limit. */
export interface QuotaShareRecord {
  cpus: (number | null)[];
  gpus: (number | null)[];
}

/** A team's guarantees and limits as written by a change, with that change's version. */
export interface TeamRecord extends TeamSettings {
  version: number;
  removed?: true;
}

/** Lower limits, recorded before the check that no accepted job needs more. */
export interface PreparedChange {
  id: string;
  teams: TeamSettings[];
  /** Wall-clock time of the process that makes the change. */
  at: number;
}

/** The newest version of the configuration. */
export interface ConfigurationRecord {
  version: number;
  at: number;
  /** Identifies the change that made this version, so that a repetition of it is recognised. */
  id: string;
  prepared?: PreparedChange;
}

/** Teams that a version changed; null means that the team did not exist. */
export interface ConfigurationHistoryRecord {
  version: number;
  at: number;
  teams: { name: string; before: TeamSettings | null; after: TeamSettings | null }[];
}

/** Further jobs that a job needs; ignored until the job's own record exists. */
export interface NeedListRecord {
  ref: string;
  needs: string[];
}

/** Keys and key prefixes of the records. */
export const keys = {
  root: "t/",
  jobs: "t/j/",
  slices: "t/s/",
  needLists: "t/n/",
  rentals: "t/m/",
  owners: "t/o/",
  presence: "t/l/",
  suspicions: "t/x/",
  quotaShares: "t/q/",
  configurationRoot: "t/c/",
  /** Sorts before the teams, so a paged read of all records never returns a head newer than the teams. */
  configuration: "t/c/head",
  changedTeams: "t/c/team/",
  configurationHistory: "t/c/was/",
  job: (ref: string) => `t/j/${ref}`,
  slice: (ref: string, lo: number) => `t/s/${ref}/${String(lo).padStart(6, "0")}`,
  needList: (ref: string, name: string, i: number) => `t/n/${ref}/${name}/${i}`,
  /** `index` above 0 is for further records of a rental that does not fit into one. */
  rental: (name: string, index = 0) => `t/m/${name}${index > 0 ? `/${index}` : ""}`,
  owner: (partition: number) => `t/o/${partition}`,
  presenceOf: (node: string) => `t/l/${node}`,
  suspicion: (node: string) => `t/x/${node}`,
  /** Team names may contain any character; keys must not contain spaces. */
  quotaShare: (team: string) => `t/q/${encodeURIComponent(team)}`,
  changedTeam: (team: string) => `t/c/team/${encodeURIComponent(team)}`,
  configurationVersion: (version: number) => `t/c/was/${String(version).padStart(10, "0")}`,
};

/** Share of a record's size limit that the bit map of a slice may take. */
const BIT_MAP_SHARE = 1 / 3;
/** Bytes reserved for members that are added while a job runs. */
const RESERVED_BYTES = 192;

/** Number of tasks that one slice's bit map may cover so that the record fits the limit. */
export function sliceCapacity(valueKb: number): number {
  return Math.floor(Math.min(valueKb, 32) * 1024 * BIT_MAP_SHARE) * 6;
}

/** Size of a record's JSON text in bytes. */
export function recordBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}

/** Tasks that are recorded as done in a slice of `size` tasks. */
export function doneTasks({ done, packed }: TaskProgress, size: number): Bits {
  const bits = Bits.decode(size, done);
  if (packed !== undefined) {
    // A slice that was shortened after packing can end before `from`.
    const from = Math.min(packed.from, size);
    for (let i = 0; i < from; i++) bits.set(i);
    const rest = Bits.decode(size - from, packed.from > size ? "" : packed.map);
    for (let i = from; i < size; i++) if (rest.has(i - from)) bits.set(i);
  }
  return bits;
}

/** Whether a task of the slice, counted from its start, is recorded as done. */
export function isDone({ done, packed }: TaskProgress, task: number): boolean {
  if (Bits.storedHas(done, task)) return true;
  return packed !== undefined && (task < packed.from || Bits.storedHas(packed.map, task - packed.from));
}

/** Packs a bit map. Tasks start in order, so the finished ones form a prefix and a short remainder. */
function pack(bits: Bits): NonNullable<TaskProgress["packed"]> {
  let from = 0;
  while (from < bits.size && bits.has(from)) from++;
  const rest = new Bits(bits.size - from);
  for (let i = from; i < bits.size; i++) if (bits.has(i)) rest.set(i - from);
  return { from, map: rest.encode() };
}

/**
 * Returns the record in a form that fits the size limit. The bit map of an array recorded under larger limits may
 * no longer fit; it is then packed into a separate member, so that an earlier version sees too few tasks as done,
 * never too many. If that does not fit either, the progress of an ended job is dropped, since its end is sufficient.
 * Before the end, the progress cannot be recorded: the result is null, and workers keep the task results.
 */
export function fitToLimit<T extends TaskProgress & { end?: unknown }>(record: T, size: number, valueKb: number): T | null {
  const fits = (candidate: T): boolean => recordBytes(candidate) <= valueKb * 1024;
  if (fits(record)) return record;
  const packed = { ...record, done: "", packed: pack(doneTasks(record, size)) };
  if (fits(packed)) return packed;
  const { packed: _packed, ...rest } = record;
  return record.end === undefined ? null : ({ ...rest, done: "" } as T);
}

/** Largest size of a job's description in its record, in bytes. */
export function maxSpecBytes(valueKb: number): number {
  return Math.floor(Math.min(valueKb, 32) * 1024 * (1 - BIT_MAP_SHARE)) - RESERVED_BYTES;
}

/** Longest address that a machine can have, used to reserve space. */
const LONGEST_ADDR = "255.255.255.255:65535";

/**
 * Splits a rental's machines into as many records as necessary. Each record reserves space for the addresses of its
 * machines, which are written later, when machines can no longer be moved to another record.
 */
export function rentalRecords(rental: RentalRecord, hosts: string[], valueKb: number): RentalRecord[] {
  const records: RentalRecord[] = [];
  const emptyBytes = recordBytes({ ...rental, hosts: {} });
  let freeBytes = 0;
  for (const host of hosts) {
    const bytes = recordBytes({ [host]: LONGEST_ADDR });
    if (bytes > freeBytes) {
      records.push({ ...rental, hosts: {} });
      freeBytes = valueKb * 1024 - emptyBytes;
    }
    freeBytes -= bytes;
    records[records.length - 1]!.hosts![host] = "";
  }
  return records;
}
