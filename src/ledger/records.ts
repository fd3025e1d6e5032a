/** What is kept in the state service. Every key starts with `t/`. */

export type Urgency = "critical" | "urgent" | "normal" | "low";
export type JobKind = "array" | "gang" | "service";

export interface JobSpec {
  ref: string;
  klass: string;
  team: string;
  kind: JobKind;
  urgency: Urgency;
  tasks: number;
  cpus: number;
  gpus: number;
  ram: number;
  types: string[] | null;
  zone: string | null;
  oneZone: boolean;
  spread: boolean;
  spot: boolean;
  image: string;
  imageGb: number;
  guessS: number;
  checkpointS: number;
  flushS: number;
  deadlineS: number | null;
}

/**
 * A job, and at the same time its first slice: tasks 0 to `hi`. Further slices
 * have keys of their own. `done` is a bit map of the slice.
 */
export interface JobRecord {
  spec: JobSpec;
  part: number;
  hi: number;
  done: string;
  at: number;
  end?: "done" | "withdrawn";
  moved?: boolean;
}

export interface SliceRecord {
  ref: string;
  part: number;
  lo: number;
  hi: number;
  done: string;
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
  /** It cannot reach its workers: others should lead its parts. */
  unfit?: boolean;
}

/** A team's limit, split over the parts; null: no limit. */
export interface AllotmentRecord {
  cpus: (number | null)[];
  gpus: (number | null)[];
}

export const keys = {
  root: "t/",
  jobs: "t/j/",
  slices: "t/s/",
  rentals: "t/m/",
  owners: "t/o/",
  presence: "t/l/",
  allotments: "t/q/",
  job: (ref: string) => `t/j/${ref}`,
  slice: (ref: string, lo: number) => `t/s/${ref}/${String(lo).padStart(6, "0")}`,
  rental: (name: string) => `t/m/${name}`,
  owner: (part: number) => `t/o/${part}`,
  alive: (node: string) => `t/l/${node}`,
  /** Team names may hold anything; keys may not hold spaces. */
  allotment: (team: string) => `t/q/${encodeURIComponent(team)}`,
};

/** How many tasks one slice's bit map may cover, so that a record fits its limits. */
export function sliceCapacity(valueKb: number): number {
  return Math.floor((Math.min(valueKb, 32) * 1024) / 3) * 6;
}

/** Of a record's room, what one machine of a rental takes at most. */
const HOST_BYTES = 96;

/** How many machines one rental's record may hold. */
export function rentalCapacity(valueKb: number): number {
  return Math.max(1, Math.floor((Math.min(valueKb, 32) * 1024) / HOST_BYTES) - 2);
}
