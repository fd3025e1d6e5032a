/** Job descriptions: the stored form, and the decoding and encoding of users' submissions. */
import * as z from "zod";

/** Priority of a job, from highest to lowest. */
export type Urgency = "critical" | "urgent" | "normal" | "low";
/** Kind of a job. `array`: independent tasks; `gang`: tasks that run at the same time; `service`: tasks that run until cancelled. */
export type JobKind = "array" | "gang" | "service";

/** Description of a job, stored under these member names. Times are in seconds, sizes in GB; resources are per task. */
export interface JobSpec {
  /** ID of the job, such as run-000412. */
  ref: string;
  /** Class of the job, chosen by the user; objectives and run time estimates apply to a class. */
  klass: string;
  team: string;
  kind: JobKind;
  urgency: Urgency;
  tasks: number;
  cpus: number;
  gpus: number;
  ram: number;
  /** Machine types on which the tasks may run; null for any. */
  types: string[] | null;
  /** Zone in which the tasks must run; null for any. */
  zone: string | null;
  /** All tasks run in one zone. */
  oneZone: boolean;
  /** No zone has more than half of the tasks. */
  spread: boolean;
  /** The tasks may run on spot machines. */
  spot: boolean;
  image: string;
  imageGb: number;
  /** The user's estimate of a task's run time. */
  guessS: number;
  /** Interval between checkpoints of a task; 0 if the task saves none. */
  checkpointS: number;
  /** Time that a stopped task needs to save a final checkpoint. */
  flushS: number;
  /** Deadline in seconds from the submission; null if there is none. */
  deadlineS: number | null;
  /** IDs of the jobs that must be done before any task of this job starts. */
  needs?: string[];
}

const MAX_NAME_LENGTH = 200;
const MAX_AMOUNT = 1e9;
const amount = z.number().finite().min(0).max(MAX_AMOUNT);
const name = z.string().min(1).max(MAX_NAME_LENGTH);
const KIND_BY_SHAPE: Record<string, JobKind> = { sweep: "array", gang: "gang", daemon: "service" };

/** Maximum number of jobs that one job can depend on; the size limit of a request does not admit more. */
const MAX_NEEDS = 5000;

const REF_PATTERN = /^run-\d{6,20}$/;

const jobSchema = z.object({
  ref: z.string().regex(REF_PATTERN, "must look like run-000412"),
  lane: name,
  desk: name,
  shape: z.enum(["sweep", "gang", "daemon"]),
  urgency: z.enum(["critical", "urgent", "normal", "low"]),
  pieces: z.number().int().min(1).max(100_000),
  cpus: amount,
  accelerators: amount,
  ramGb: amount,
  bundle: name,
  imageGb: amount,
  builds: z.array(name).max(64).nullish(),
  yard: name.nullish(),
  samePlace: z.boolean(),
  spread: z.boolean(),
  loaner: z.boolean(),
  guessS: amount,
  snapshotS: amount,
  flushS: amount,
  closeS: amount.nullish(),
  waitsOn: z.array(z.string().regex(REF_PATTERN, "must look like run-000412")).max(MAX_NEEDS).nullish(),
});

/** Whether the text has the form of a job ID. */
export function isJobRef(text: string): boolean {
  return REF_PATTERN.test(text);
}

/** Decodes a user's submission of a job, or returns a description of its first fault. */
export function decodeJob(raw: unknown): { spec: JobSpec } | { fault: string } {
  const parsed = jobSchema.safeParse(raw);
  if (!parsed.success) {
    const issue = parsed.error.issues[0]!;
    return { fault: `${issue.path.join(".") || "body"}: ${issue.message}` };
  }
  const wire = parsed.data;
  const needs = [...new Set(wire.waitsOn ?? [])];
  return {
    spec: {
      ref: wire.ref,
      klass: wire.lane,
      team: wire.desk,
      kind: KIND_BY_SHAPE[wire.shape]!,
      urgency: wire.urgency,
      tasks: wire.pieces,
      cpus: wire.cpus,
      gpus: wire.accelerators,
      ram: wire.ramGb,
      types: wire.builds ?? null,
      zone: wire.yard ?? null,
      oneZone: wire.samePlace,
      spread: wire.spread,
      spot: wire.loaner,
      image: wire.bundle,
      imageGb: wire.imageGb,
      guessS: wire.guessS,
      checkpointS: wire.snapshotS,
      flushS: wire.flushS,
      deadlineS: wire.closeS ?? null,
      ...(needs.length > 0 ? { needs } : {}),
    },
  };
}

const SHAPE_BY_KIND: Record<JobKind, string> = { array: "sweep", gang: "gang", service: "daemon" };

/** Encodes a job in the format of users' submissions. */
export function encodeJob(spec: JobSpec): Record<string, unknown> {
  return {
    ref: spec.ref,
    lane: spec.klass,
    desk: spec.team,
    shape: SHAPE_BY_KIND[spec.kind],
    urgency: spec.urgency,
    pieces: spec.tasks,
    cpus: spec.cpus,
    accelerators: spec.gpus,
    ramGb: spec.ram,
    bundle: spec.image,
    imageGb: spec.imageGb,
    builds: spec.types,
    yard: spec.zone,
    samePlace: spec.oneZone,
    spread: spec.spread,
    loaner: spec.spot,
    guessS: spec.guessS,
    snapshotS: spec.checkpointS,
    flushS: spec.flushS,
    closeS: spec.deadlineS,
    waitsOn: spec.needs,
  };
}
