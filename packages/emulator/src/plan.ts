/** Plan files, which describe a rehearsal: an environment, the work submitted to it, and the faults injected into it. */
import type { JobSpec } from "@thorntrail/protocol/jobs";
import { loadHcl, parseHcl } from "@thorntrail/store/settings";
import { z } from "zod";
import { faultSchema } from "./faults.js";

const nonNegative = z.number().finite().min(0);
const positive = z.number().finite().positive();
const name = z.string().min(1).max(100);

/**
 * Events of a run at which a plan can inject a fault. `handing-over`: a partition returns to its home controller; `claim`: a controller
 * writes the ownership record of a partition; `cession`: a transfer of quota between partitions; `done-before-clear`: a task has just
 * ended successfully, and its controller has yet to tell the worker to discard the attempt (`clear`); `pipeline-release`: a controller
 * records that a job is done, which may release jobs that depend on it.
 */
export const INJECTION_POINTS = [
  "submission",
  "first-placement",
  "fencing",
  "handing-over",
  "claim",
  "cancellation",
  "cession",
  "done-before-clear",
  "rental-in-flight",
  "pipeline-release",
] as const;
/** The name of an injection point (an event that a planned fault waits for). */
export type InjectionPoint = (typeof INJECTION_POINTS)[number];

const machineSchema = z.strictObject({
  name,
  cpus: positive,
  gpus: nonNegative.default(0),
  ram: positive,
  price: positive.default(1),
  spot_price: positive.default(0.3),
  boot: positive.default(5),
  count: z.number().int().min(0).max(10_000),
  spot: z.number().int().min(0).max(10_000).default(0),
  zones: z.array(name).min(1).default(["a"]),
});

const workSchema = z.strictObject({
  name,
  team: name,
  shape: z.enum(["array", "gang", "service"]).default("array"),
  urgency: z.enum(["critical", "urgent", "normal", "low"]).default("normal"),
  tasks: z.number().int().min(1).max(100_000).default(1),
  cpus: positive,
  gpus: nonNegative.default(0),
  ram: positive.default(1),
  run: positive,
  saves: nonNegative.default(0),
  flush: nonNegative.default(1),
  spot: z.boolean().default(false),
  one_zone: z.boolean().default(false),
  image_gb: nonNegative.default(1),
  /** Time in seconds from its submission within which a job has to be done. */
  deadline: positive.optional(),
  /** Interval between submissions of these jobs in seconds; the first is submitted at `from`. */
  every: positive,
  from: nonNegative.default(0),
  jobs: z.number().int().min(1).max(10_000),
  /** Name of another work entry of the plan: each job depends on the job with the same index of that entry. */
  after: name.optional(),
  /** Each job is cancelled this many seconds after it was accepted. */
  cancelled_after: positive.optional(),
});

/**
 * When a fault is injected: `at` seconds after the start of the run, or at the first occurrence of the injection point
 * `moment` that is at least `from` seconds after the start.
 */
const timing = z
  .object({ at: nonNegative.optional(), moment: z.enum(INJECTION_POINTS).optional(), from: z.union([nonNegative, z.string()]).optional() })
  .loose();
const faultSchemaWithTime = timing.transform((raw, context) => {
  const { at, moment: point, from, ...rest } = raw;
  // `from` has two meanings: a number is the earliest time for `moment`, in seconds; a string belongs to the fault kind `cut` and
  // names the peers whose connection to the fault's target is cut, such as `state` or `workers`.
  const after = typeof from === "number" ? from : 0;
  if (typeof from === "string") Object.assign(rest, { from });
  if ((at === undefined) === (point === undefined)) {
    context.addIssue({ code: "custom", message: "expected either at (seconds) or moment" });
    return z.NEVER;
  }
  const parsed = faultSchema.safeParse(rest);
  if (!parsed.success) {
    for (const issue of parsed.error.issues)
      context.addIssue({ code: "custom", message: issue.message, path: issue.path as (string | number)[] });
    return z.NEVER;
  }
  return { ...(at === undefined ? { moment: point!, after } : { at }), fault: parsed.data };
});

/** Schema of a plan file. Times are in seconds. */
export const planSchema = z
  .strictObject({
    name: name.default("rehearsal"),
    seconds: positive.max(3600),
    controllers: z.number().int().min(1).max(9).default(3),
    seed: z.number().int().min(0).default(1),
    /** How long a run waits for unfinished jobs once `seconds` have passed. Jobs that are then still unfinished count as a failure. */
    settle: nonNegative.default(60),
    state: z
      .strictObject({
        rps: positive.default(150),
        writes: positive.default(50),
        value_kb: positive.default(32),
        changes: z.number().int().min(4).default(16),
      })
      .prefault({}),
    boots: z
      .strictObject({ never: nonNegative.max(1).default(0), slow: nonNegative.max(1).default(0), early: nonNegative.max(1).default(0) })
      .optional(),
    team: z
      .array(
        z.strictObject({
          name,
          cpus: nonNegative.default(0),
          most_cpus: nonNegative.default(0),
          gpus: nonNegative.default(0),
          most_gpus: nonNegative.default(0),
        }),
      )
      .min(1),
    machine: z.array(machineSchema).min(1),
    work: z.array(workSchema).min(1),
    fault: z.array(faultSchemaWithTime).default([]),
  })
  .superRefine((plan, context) => {
    const teams = new Set(plan.team.map((team) => team.name));
    const works = new Set(plan.work.map((one) => one.name));
    const controllers = Array.from({ length: plan.controllers }, (_, i) => `nest-${i}`);
    plan.fault.forEach(({ fault: one }, i) => {
      if (one.kind !== "split" || one.target === "leader" || controllers.includes(one.target)) return;
      context.addIssue({
        code: "custom",
        path: ["fault", i, "target"],
        message: `${one.target}: expected a controller, leader or ${controllers.join(", ")}`,
      });
    });
    plan.work.forEach((one, i) => {
      if (!teams.has(one.team))
        context.addIssue({ code: "custom", path: ["work", i, "team"], message: `expected one of ${[...teams].join(", ")}` });
      if (one.after !== undefined && (!works.has(one.after) || one.after === one.name))
        context.addIssue({
          code: "custom",
          path: ["work", i, "after"],
          message: `expected the name of other work: ${[...works].join(", ")}`,
        });
    });
  });
/** A validated plan: cluster, workload and faults of a rehearsal. */
export type RehearsalPlan = z.infer<typeof planSchema>;
/** A fault of a plan with the time or the injection point at which it is injected. */
export type TimedFault = RehearsalPlan["fault"][number];

const LIST_BLOCKS = ["team", "machine", "work", "fault"];

/** Loads a plan file; rejects if it does not match the schema. */
export function loadPlan(file: string): Promise<RehearsalPlan> {
  return loadHcl(file, planSchema as z.ZodType<RehearsalPlan>, LIST_BLOCKS);
}

/** Parses the text of a plan file; `file` is its name in error messages. Rejects if it does not match the schema. */
export function parsePlan(file: string, text: string): Promise<RehearsalPlan> {
  return parseHcl(file, text, planSchema as z.ZodType<RehearsalPlan>, LIST_BLOCKS);
}

/** One submission of a plan: its time, its job, the actual run time of the job's tasks, and when the job is cancelled. */
export interface PlannedSubmission {
  atMs: number;
  spec: JobSpec;
  runMs: number;
  cancelMs: number | null;
}

/** Returns all submissions of a plan in order of time. Actual run times vary at random by up to 20 % around the planned ones. */
export function plannedSubmissions(plan: RehearsalPlan, random: () => number): PlannedSubmission[] {
  const result: PlannedSubmission[] = [];
  const refs = new Map<string, string>();
  let count = 0;
  const arrivals = plan.work.flatMap((one) =>
    Array.from({ length: one.jobs }, (_, index) => ({ one, index, atMs: (one.from + index * one.every) * 1000 })),
  );
  arrivals.sort((a, b) => a.atMs - b.atMs || plan.work.indexOf(a.one) - plan.work.indexOf(b.one));
  for (const { one, index, atMs } of arrivals) {
    const ref = `run-${String(++count).padStart(6, "0")}`;
    refs.set(`${one.name}/${index}`, ref);
    const need = one.after === undefined ? undefined : refs.get(`${one.after}/${index}`);
    const runMs = one.run * 1000 * (0.8 + 0.4 * random());
    result.push({
      atMs,
      runMs,
      cancelMs: one.cancelled_after === undefined ? null : one.cancelled_after * 1000,
      spec: {
        ref,
        klass: one.name,
        team: one.team,
        kind: one.shape,
        urgency: one.urgency,
        tasks: one.tasks,
        cpus: one.cpus,
        gpus: one.gpus,
        ram: one.ram,
        types: null,
        zone: null,
        oneZone: one.one_zone,
        spread: false,
        spot: one.spot,
        image: `img-${one.name}`,
        imageGb: one.image_gb,
        guessS: one.run,
        checkpointS: one.saves,
        flushS: one.flush,
        deadlineS: one.deadline ?? null,
        ...(need === undefined ? {} : { needs: [need] }),
      },
    });
  }
  return result;
}
