/** Simulated users whose habits provoke races. */
import { encodeJob, type JobSpec } from "@thorntrail/protocol/jobs";
import type { HistoryEvent } from "./checker.js";
import type { SimulatedUserControl, UserBehaviour } from "./faults.js";

/** How simulated users send requests to a controller of their choice. The returned promises never reject. */
export interface RequestSender {
  controllers(): string[];
  /** Submits the job as `wire` describes it. `never` is set if the submission is faulty: the reason why it must not be accepted. */
  submit(wire: Record<string, unknown>, spec: JobSpec, node: string, never?: string): Promise<unknown>;
  poll(ref: string, node: string): Promise<unknown>;
  cancel(ref: string, node: string): Promise<unknown>;
  /** Returns the actual run time of the job's tasks, in ms. */
  runMs(ref: string): number;
}

interface TrackedJob {
  spec: JobSpec;
  /** Whether a user has received confirmation that the job is accepted. */
  accepted: boolean;
  /** Whether a user has received confirmation that the job is done or withdrawn. */
  finished: boolean;
  doneTasks: Set<string>;
  runningOn: Map<string, { host: string; at: number }>;
}

/** Share of newly accepted jobs that users cancel at once while the behaviour `close-looks` is enabled. */
const CANCEL_AT_ONCE_SHARE = 0.15;
/** Delays in ms after which users poll each controller once a job was accepted or has ended (behaviour `close-looks`). */
const POLL_DELAYS_MS = [0, 1, 4, 15, 60];
const ODD_REQUEST_INTERVAL_MS = 1000;
const CANCEL_NOW_SPREAD_MS = 200;
/** Number of the first faulty submission; larger than the number of jobs in any plan, so that their ids are unused. */
const FIRST_FAULTY_JOB = 800_000;
/** Assumed remaining run time in ms of a service, whose tasks never end by themselves. */
const SERVICE_REMAINING_MS = 1e9;

/** Simulated users that cancel jobs as they end, poll all controllers at once, or submit jobs that cannot run. */
export class SimulatedUsers implements SimulatedUserControl {
  private readonly jobs = new Map<string, TrackedJob>();
  private readonly behaviours = new Map<UserBehaviour, { until: number; share: number }>();
  private faultyJobs = 0;
  /** How often each behaviour took effect. */
  readonly effects = { looks: 0, cancelledAtOnce: 0, cancelledAtEnd: 0, odd: 0, cancelledNow: 0 };

  constructor(
    private readonly sender: RequestSender,
    private readonly clock: { now(): number; after(ms: number, fn: () => void): unknown },
    private readonly random: () => number,
  ) {}

  private isActive(behaviour: UserBehaviour): boolean {
    const active = this.behaviours.get(behaviour);
    return active !== undefined && this.clock.now() < active.until && this.random() < active.share;
  }

  private pick<T>(list: readonly T[]): T | undefined {
    return list[Math.floor(this.random() * list.length)];
  }

  private randomController(): string {
    return this.pick(this.sender.controllers()) ?? "";
  }

  enableBehaviour(behaviour: UserBehaviour, share: number, ms: number): string[] {
    const until = this.clock.now() + ms;
    this.behaviours.set(behaviour, { until, share });
    if (behaviour === "odd-requests") this.sendOddRequests(until);
    return this.sender.controllers();
  }

  cancelLongestRunning(count: number): { refs: string[]; hosts: string[] } {
    const now = this.clock.now();
    const remainingMs = ({ spec, runningOn }: TrackedJob): number => {
      const startedAt = Math.min(...[...runningOn.values()].map(({ at }) => at));
      return spec.kind === "service" ? SERVICE_REMAINING_MS : this.sender.runMs(spec.ref) - (now - startedAt);
    };
    const running = [...this.jobs.values()].filter(({ accepted, finished, runningOn }) => accepted && !finished && runningOn.size > 0);
    const chosen = running.sort((a, b) => remainingMs(b) - remainingMs(a)).slice(0, count);
    const hosts = new Map<string, number>();
    for (const { spec, runningOn } of chosen) {
      this.effects.cancelledNow++;
      this.clock.after(this.random() * CANCEL_NOW_SPREAD_MS, () => void this.sender.cancel(spec.ref, this.randomController()));
      for (const { host } of runningOn.values()) hosts.set(host, (hosts.get(host) ?? 0) + 1);
    }
    return { refs: chosen.map(({ spec }) => spec.ref), hosts: [...hosts].sort((a, b) => b[1] - a[1]).map(([host]) => host) };
  }

  /** Processes the next event of the run and reacts to it as the enabled behaviours demand. */
  observe(event: HistoryEvent): void {
    if (event.kind === "submitted") {
      if (event.never === undefined && !this.jobs.has(event.spec.ref))
        this.jobs.set(event.spec.ref, { spec: event.spec, accepted: false, finished: false, doneTasks: new Set(), runningOn: new Map() });
    } else if (event.kind === "told") {
      const job = this.jobs.get(event.ref);
      if (job === undefined || event.what === "unknown" || event.what === "refused") return;
      const finished = event.what === "done" || event.what === "withdrawn";
      if (!job.accepted || (finished && !job.finished)) this.pollEverywhere(job, !job.accepted && !finished);
      job.accepted = true;
      job.finished ||= finished;
    } else if (event.kind === "on" || event.kind === "off") this.recordTaskEvent(event);
  }

  private recordTaskEvent(event: Extract<HistoryEvent, { kind: "on" | "off" }>): void {
    const job = this.jobs.get(event.piece.slice(0, event.piece.lastIndexOf("/")));
    if (job === undefined) return;
    if (event.kind === "on") return void job.runningOn.set(event.piece, { host: event.host, at: event.at });
    job.runningOn.delete(event.piece);
    if (event.cause !== "done" || job.doneTasks.size === job.spec.tasks) return;
    job.doneTasks.add(event.piece);
    if (job.doneTasks.size < job.spec.tasks) return;
    this.pollEverywhere(job, false);
    if (this.isActive("cancel-at-end")) {
      this.effects.cancelledAtEnd++;
      void this.sender.cancel(job.spec.ref, this.randomController());
    }
  }

  /**
   * If `close-looks` is enabled: polls all controllers for the job within milliseconds, repeats its submission, and
   * cancels a share of the jobs that were just accepted.
   */
  private pollEverywhere({ spec }: TrackedJob, justAccepted: boolean): void {
    if (!this.isActive("close-looks")) return;
    this.effects.looks++;
    const { ref } = spec;
    for (const node of this.sender.controllers())
      for (const ms of POLL_DELAYS_MS) this.clock.after(ms + this.random(), () => void this.sender.poll(ref, node));
    for (const ms of POLL_DELAYS_MS.slice(1, 3))
      this.clock.after(ms + this.random(), () => void this.sender.submit(encodeJob(spec), spec, this.randomController()));
    if (!justAccepted || this.random() >= CANCEL_AT_ONCE_SHARE) return;
    this.effects.cancelledAtOnce++;
    this.clock.after(this.random() * POLL_DELAYS_MS[2]!, () => void this.sender.cancel(ref, this.randomController()));
  }

  /**
   * Until the time `until`, repeats at regular intervals the submission of an unfinished job, cancels a finished job, and
   * submits a job that fits no machine or lacks a field.
   */
  private sendOddRequests(until: number): void {
    if (this.clock.now() >= until) return;
    const jobs = [...this.jobs.values()].filter(({ accepted }) => accepted);
    const openJob = this.pick(jobs.filter(({ finished }) => !finished));
    if (openJob !== undefined) void this.sender.submit(encodeJob(openJob.spec), openJob.spec, this.randomController());
    const finishedJob = this.pick(jobs.filter((job) => job.finished && job.doneTasks.size === job.spec.tasks));
    if (finishedJob !== undefined) void this.sender.cancel(finishedJob.spec.ref, this.randomController());
    const template = this.pick(jobs)?.spec;
    if (template !== undefined) {
      const spec = { ...template, ref: `run-${FIRST_FAULTY_JOB + this.faultyJobs++}` };
      const wire = encodeJob(spec);
      const field = this.pick(Object.keys(wire).filter((name) => REQUIRED_FIELDS.has(name)))!;
      const faulty: [Record<string, unknown>, string] =
        this.random() < 0.5
          ? [encodeJob({ ...spec, cpus: 1e6 }), "fits no machine"]
          : [Object.fromEntries(Object.entries(wire).filter(([name]) => name !== field)), `lacks ${field}`];
      this.effects.odd++;
      void this.sender.submit(faulty[0], spec, this.randomController(), faulty[1]);
    }
    this.clock.after(ODD_REQUEST_INTERVAL_MS, () => this.sendOddRequests(until));
  }
}

/** Required fields of a submission. */
const REQUIRED_FIELDS = new Set(["lane", "desk", "shape", "urgency", "pieces", "cpus", "accelerators", "ramGb", "bundle"]);
