import { encodeJob, type JobSpec } from "@thorntrail/protocol/jobs";
import type { Happening } from "./checker.js";
import type { Crowd, Habit } from "./faults.js";

/** How simulated users send requests to a controller of their choice. The returned promises never reject. */
export interface Asking {
  controllers(): string[];
  /** Submits the job in its wire form; `never`: the reason why it must not be accepted. */
  submit(wire: Record<string, unknown>, spec: JobSpec, node: string, never?: string): Promise<unknown>;
  poll(ref: string, node: string): Promise<unknown>;
  cancel(ref: string, node: string): Promise<unknown>;
  /** Returns the actual run time of the job's tasks, in ms. */
  runMs(ref: string): number;
}

interface Known {
  spec: JobSpec;
  /** Whether a user has received confirmation that the job is accepted, and that it is finished. */
  accepted: boolean;
  over: boolean;
  done: Set<string>;
  on: Map<string, { host: string; at: number }>;
}

/** Share of the newly accepted jobs under `close-looks` that are cancelled at once. */
const CANCELLED_AT_ONCE = 0.15;
/** Delays of the polls to each controller after the event, in ms. */
const LOOKS_MS = [0, 1, 4, 15, 60];
const ODD_GAP_MS = 1000;
const CANCEL_NOW_MS = 200;
/** Larger than the number of jobs in any plan, so that the ids of faulty submissions are unused. */
const FIRST_ODD = 800_000;
/** Remaining run time of a service, whose replicas never end. */
const ENDLESS_MS = 1e9;

/** Simulated users that cancel jobs as they end, poll all controllers at once, or submit jobs that cannot run. */
export class HabitualUsers implements Crowd {
  private readonly jobs = new Map<string, Known>();
  private readonly habits = new Map<Habit, { until: number; share: number }>();
  private odd = 0;
  /** How often each behaviour took effect. */
  readonly met = { looks: 0, cancelledAtOnce: 0, cancelledAtEnd: 0, odd: 0, cancelledNow: 0 };

  constructor(
    private readonly asking: Asking,
    private readonly clock: { now(): number; after(ms: number, fn: () => void): unknown },
    private readonly luck: () => number,
  ) {}

  private has(habit: Habit): boolean {
    const one = this.habits.get(habit);
    return one !== undefined && this.clock.now() < one.until && this.luck() < one.share;
  }

  private of<T>(list: readonly T[]): T | undefined {
    return list[Math.floor(this.luck() * list.length)];
  }

  private somewhere(): string {
    return this.of(this.asking.controllers()) ?? "";
  }

  begin(habit: Habit, share: number, ms: number): string[] {
    const until = this.clock.now() + ms;
    this.habits.set(habit, { until, share });
    if (habit === "odd-requests") this.ask(until);
    return this.asking.controllers();
  }

  cancelNow(count: number): { refs: string[]; hosts: string[] } {
    const now = this.clock.now();
    const left = ({ spec, on }: Known): number => {
      const began = Math.min(...[...on.values()].map(({ at }) => at));
      return spec.kind === "service" ? ENDLESS_MS : this.asking.runMs(spec.ref) - (now - began);
    };
    const running = [...this.jobs.values()].filter(({ accepted, over, on }) => accepted && !over && on.size > 0);
    const chosen = running.sort((a, b) => left(b) - left(a)).slice(0, count);
    const hosts = new Map<string, number>();
    for (const { spec, on } of chosen) {
      this.met.cancelledNow++;
      this.clock.after(this.luck() * CANCEL_NOW_MS, () => void this.asking.cancel(spec.ref, this.somewhere()));
      for (const { host } of on.values()) hosts.set(host, (hosts.get(host) ?? 0) + 1);
    }
    return { refs: chosen.map(({ spec }) => spec.ref), hosts: [...hosts].sort((a, b) => b[1] - a[1]).map(([host]) => host) };
  }

  /** Receives submissions, responses and the events of tasks, in order. */
  hear(event: Happening): void {
    if (event.kind === "submitted") {
      if (event.never === undefined && !this.jobs.has(event.spec.ref))
        this.jobs.set(event.spec.ref, { spec: event.spec, accepted: false, over: false, done: new Set(), on: new Map() });
    } else if (event.kind === "told") {
      const job = this.jobs.get(event.ref);
      if (job === undefined || event.what === "unknown" || event.what === "refused") return;
      const over = event.what === "done" || event.what === "withdrawn";
      if (!job.accepted || (over && !job.over)) this.look(job, !job.accepted && !over);
      job.accepted = true;
      job.over ||= over;
    } else if (event.kind === "on" || event.kind === "off") this.task(event);
  }

  private task(event: Extract<Happening, { kind: "on" | "off" }>): void {
    const job = this.jobs.get(event.piece.slice(0, event.piece.lastIndexOf("/")));
    if (job === undefined) return;
    if (event.kind === "on") return void job.on.set(event.piece, { host: event.host, at: event.at });
    job.on.delete(event.piece);
    if (event.cause !== "done" || job.done.size === job.spec.tasks) return;
    job.done.add(event.piece);
    if (job.done.size < job.spec.tasks) return;
    this.look(job, false);
    if (this.has("cancel-at-end")) {
      this.met.cancelledAtEnd++;
      void this.asking.cancel(job.spec.ref, this.somewhere());
    }
  }

  /** Polls all controllers within milliseconds, repeats the submission, and cancels a share of the jobs that were just accepted. */
  private look({ spec }: Known, fresh: boolean): void {
    if (!this.has("close-looks")) return;
    this.met.looks++;
    const { ref } = spec;
    for (const node of this.asking.controllers())
      for (const ms of LOOKS_MS) this.clock.after(ms + this.luck(), () => void this.asking.poll(ref, node));
    for (const ms of LOOKS_MS.slice(1, 3))
      this.clock.after(ms + this.luck(), () => void this.asking.submit(encodeJob(spec), spec, this.somewhere()));
    if (!fresh || this.luck() >= CANCELLED_AT_ONCE) return;
    this.met.cancelledAtOnce++;
    this.clock.after(this.luck() * LOOKS_MS[2]!, () => void this.asking.cancel(ref, this.somewhere()));
  }

  /**
   * Sends at regular intervals a repeated submission, a cancellation of a finished job, and a job that fits no machine
   * or lacks a field.
   */
  private ask(until: number): void {
    if (this.clock.now() >= until) return;
    const jobs = [...this.jobs.values()].filter(({ accepted }) => accepted);
    const open = this.of(jobs.filter(({ over }) => !over));
    if (open !== undefined) void this.asking.submit(encodeJob(open.spec), open.spec, this.somewhere());
    const over = this.of(jobs.filter((job) => job.over && job.done.size === job.spec.tasks));
    if (over !== undefined) void this.asking.cancel(over.spec.ref, this.somewhere());
    const like = this.of(jobs)?.spec;
    if (like !== undefined) {
      const spec = { ...like, ref: `run-${FIRST_ODD + this.odd++}` };
      const wire = encodeJob(spec);
      const field = this.of(Object.keys(wire).filter((name) => REQUIRED.has(name)))!;
      const wrong: [Record<string, unknown>, string] =
        this.luck() < 0.5
          ? [encodeJob({ ...spec, cpus: 1e6 }), "fits no machine"]
          : [Object.fromEntries(Object.entries(wire).filter(([name]) => name !== field)), `lacks ${field}`];
      this.met.odd++;
      void this.asking.submit(wrong[0], spec, this.somewhere(), wrong[1]);
    }
    this.clock.after(ODD_GAP_MS, () => this.ask(until));
  }
}

/** Required fields of a submission. */
const REQUIRED = new Set(["lane", "desk", "shape", "urgency", "pieces", "cpus", "accelerators", "ramGb", "bundle"]);
