import type { JobSpec } from "@thorntrail/protocol/jobs";
import { Bits } from "../platform/bits.js";
import type { TeamSettings } from "../settings/platform-file.js";

/** Records in the state service: their types, keys and size limits. Every key starts with `t/`. */

/**
 * Value of `part` (the partition) in the record of a job that was submitted before the jobs it needs were done. Earlier
 * versions of the program treat such a job as belonging to no partition.
 */
const NO_PARTITION = -1;

/**
 * Partition of a record's tasks. A job that waits for other jobs is recorded with no partition in `part` and its
 * partition in `home`, because program versions without support for job dependencies would start it at once. Whether it still
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

/** Assigns a job that waits for other jobs to the partition `home`, hidden from program versions that would start it at once. */
export function waitingAssignment(home: number): PartitionAssignment {
  return { part: NO_PARTITION, home };
}

/** Returns the record of a job that no longer waits for other jobs: its partition is in `part` instead of `home`. */
export function withPartitionAssigned<T extends PartitionAssignment>(record: T): T {
  const { home: _home, ...rest } = record;
  return { ...rest, part: partitionOf(record) } as T;
}

/**
 * Finished tasks of a slice (a range of a job's tasks): `done` is a bit map; `packed` adds all tasks before `from`, and a bit
 * map that begins at `from`.
 */
interface TaskProgress {
  done: string;
  packed?: { from: number; map: string };
}

/** A job and its first slice: tasks 0 to `hi` (exclusive). Further slices have their own keys. `done` covers the first slice. */
export interface JobRecord extends PartitionAssignment, TaskProgress {
  spec: JobSpec;
  hi: number;
  at: number;
  /** Jobs that this job needs and that do not fit into its record are stored in `count` lists under this name. */
  needLists?: { name: string; count: number };
  end?: "done" | "withdrawn";
  /** Wall-clock time at which the job was done; waiting times of jobs that need this job count from this time. */
  endedAt?: number;
  moved?: boolean;
}

/** A slice (a range of a job's tasks) other than the first: tasks `lo` to `hi` (exclusive). */
export interface SliceRecord extends PartitionAssignment, TaskProgress {
  ref: string;
  lo: number;
  hi: number;
  moved?: boolean;
}

/**
 * A rental of machines that was requested from the cloud or is about to be. Once the cloud has answered, `hosts` maps
 * each rented machine to its address, which is empty until the machine is recorded as up. Tasks are started only on
 * machines that are recorded as up.
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

/** The controller that owns a partition. The stored revision of this record's key is the ownership term and serves as the fencing token. */
export interface OwnerRecord {
  owner: string;
  life: string;
}

/** Written by a partition's owner only to make a new revision, which it needs as a token for its workers. Nobody reads the value. */
export interface TokenRecord {
  term: number;
}

/** Shows that a controller is alive; removed by the state service when the controller's lease expires. */
export interface PresenceRecord {
  life: string;
  /** The node cannot reach its workers or keeps exiting, so others should own its partitions. */
  unfit?: boolean;
  /** Number of consecutive early exits before this incarnation; present only while the incarnation is younger than a lease duration. */
  ends?: number;
  /** Number of the last suspicion that this incarnation refuted; absent if the node's version does not support suspicions. */
  refutes?: number;
  /**
   * Configuration version that the node applies, and the newest ownership term up to which all its partitions are
   * fenced, so that their former owners can no longer start anything. Absent if the configuration was never changed or
   * the node's version does not support configuration versions.
   */
  acts?: { version: number; term: number };
}

/** Suspicion number `n`, raised by the node `by`, that the incarnation `life` of another node has failed. In effect until that node refutes `n`. */
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

/**
 * The blocked gangs of a partition: for each machine offering (type, zone, and spot or ordinary) that the cloud refuses, the
 * reference of the first gang that waits for it. Gangs of other partitions that come later give way to it.
 */
export interface GangClaimRecord {
  claims: Readonly<Record<string, string>>;
}

/** A team's guaranteed resources and limits as written by a configuration change, with the configuration version that it made. */
export interface TeamRecord extends TeamSettings {
  version: number;
  removed?: true;
}

/** A configuration change to lower limits, recorded before the check that no accepted job needs more. */
export interface PreparedChange {
  id: string;
  teams: TeamSettings[];
  /** Time of the preparation, by the wall clock of the process that makes the change. */
  at: number;
}

/** Head record of the configuration: its newest version, and a prepared change if there is one. */
export interface ConfigurationRecord {
  version: number;
  at: number;
  /** Identifies the change that made this version, so that a repetition of the change is recognised. */
  id: string;
  prepared?: PreparedChange;
}

/** Teams that a configuration version changed; `before` or `after` is null if the team did not exist then. */
export interface ConfigurationHistoryRecord {
  version: number;
  at: number;
  teams: { name: string; before: TeamSettings | null; after: TeamSettings | null }[];
}

/** Jobs that the job `ref` needs and that did not fit into its record; ignored until that record exists. */
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
  gangClaims: "t/g/",
  configurationRoot: "t/c/",
  /** Head record. Its key sorts before those of the teams, so a paged read of all records never returns a head record newer than the team records. */
  configuration: "t/c/head",
  changedTeams: "t/c/team/",
  configurationHistory: "t/c/was/",
  job: (ref: string) => `t/j/${ref}`,
  slice: (ref: string, lo: number) => `t/s/${ref}/${String(lo).padStart(6, "0")}`,
  needList: (ref: string, name: string, i: number) => `t/n/${ref}/${name}/${i}`,
  /** A rental that does not fit into one record has further ones, with an `index` above 0. */
  rental: (name: string, index = 0) => `t/m/${name}${index > 0 ? `/${index}` : ""}`,
  owner: (partition: number) => `t/o/${partition}`,
  token: (partition: number) => `t/f/${partition}`,
  gangClaim: (partition: number) => `t/g/${partition}`,
  presenceOf: (node: string) => `t/l/${node}`,
  suspicion: (node: string) => `t/x/${node}`,
  /** The team's name is encoded, because it may contain any character and keys must not contain spaces. */
  quotaShare: (team: string) => `t/q/${encodeURIComponent(team)}`,
  changedTeam: (team: string) => `t/c/team/${encodeURIComponent(team)}`,
  configurationVersion: (version: number) => `t/c/was/${String(version).padStart(10, "0")}`,
};

/** Share of a record's size limit that the bit map of a slice's finished tasks may take. */
const BIT_MAP_SHARE = 1 / 3;
/** Bytes of a job's record reserved for members that are added while the job runs. */
const RESERVED_BYTES = 192;

/** Maximum number of tasks in a slice, so that the record with their bit map fits the size limit. */
export function sliceCapacity(valueKb: number): number {
  return Math.floor(Math.min(valueKb, 32) * 1024 * BIT_MAP_SHARE) * 6;
}

/** Size of a record's JSON text in bytes. */
export function recordBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}

/** Returns the tasks that are recorded as done in a slice (a range of a job's tasks) of `size` tasks. */
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

/** Packs a bit map into the number of finished tasks before the first unfinished one and a bit map of the rest, short since tasks start in order. */
function pack(bits: Bits): NonNullable<TaskProgress["packed"]> {
  let from = 0;
  while (from < bits.size && bits.has(from)) from++;
  const rest = new Bits(bits.size - from);
  for (let i = from; i < bits.size; i++) if (bits.has(i)) rest.set(i - from);
  return { from, map: rest.encode() };
}

/**
 * Returns the record in a form that fits the size limit. The bit map of a job array recorded under larger limits may no
 * longer fit; it is then packed into a separate member, so that an earlier version of the program sees too few tasks as
 * done, never too many. If the packed map does not fit either, the progress of an ended job is dropped, since its end
 * is sufficient. The progress of a job that has not ended then cannot be recorded: the result is null, and workers keep
 * the task results.
 */
export function fitToLimit<T extends TaskProgress & { end?: unknown }>(record: T, size: number, valueKb: number): T | null {
  const fits = (candidate: T): boolean => recordBytes(candidate) <= valueKb * 1024;
  if (fits(record)) return record;
  const packed = { ...record, done: "", packed: pack(doneTasks(record, size)) };
  if (fits(packed)) return packed;
  const { packed: _packed, ...rest } = record;
  return record.end === undefined ? null : ({ ...rest, done: "" } as T);
}

/** Maximum size of a job's description in its record, in bytes. */
export function maxSpecBytes(valueKb: number): number {
  return Math.floor(Math.min(valueKb, 32) * 1024 * (1 - BIT_MAP_SHARE)) - RESERVED_BYTES;
}

/** Longest address that a machine can have, used to reserve space. */
const LONGEST_ADDR = "255.255.255.255:65535";

/**
 * Splits the rented machines into as many rental records as necessary. Each record reserves space for its machines'
 * addresses, which are written later, when machines can no longer be moved to another record.
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
