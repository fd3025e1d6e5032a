import { startsAfterCancellation, type Happening } from "./checker.js";
import { carryOut, lastsMs, type Crowd, type Fault, type Stage } from "./faults.js";
import { seeded } from "./luck.js";
import { submissions, type Moment, type Planned, type PlannedFault, type RehearsalPlan } from "./plan.js";
import { Recoveries, tookOver } from "./recovery.js";
import { classFigures, type Report } from "./report.js";

/** A log line, service request or event that can mark an injection point. `at` in ms. */
export interface Seen {
  at: number;
  node: string;
  what: string;
  detail: Record<string, unknown>;
}

/** Returns the injection point that the observation marks, or null if it marks none. */
export type MomentOf = (seen: Seen) => Moment | null;

/** A fault injected at an injection point, and the names of what it affected. */
export interface MetMoment {
  moment: Moment;
  kind: Fault["kind"];
  met: string[];
}

/** The users of a run. The implementation records the responses in the history. */
export interface UserPort {
  /** Retries until there is a response; false if the job was refused or the user gave up. */
  submit(one: Planned): Promise<boolean>;
  /** Returns the status of the job, or any other text if the response held none. */
  poll(ref: string): Promise<string>;
  cancel(ref: string): Promise<void>;
}

/** What the driver of a run needs. */
export interface ConductorOptions {
  plan: RehearsalPlan;
  seed: number;
  stage: Stage;
  users: UserPort;
  /** Simulated users, for the faults that users cause. */
  crowd: Crowd;
  /** Time in ms. */
  clock: { now(): number; after(ms: number, fn: () => void): unknown };
  momentOf: MomentOf;
  pollMs: () => number;
  /** Returns the events recorded so far. */
  history: () => readonly Happening[];
  say?: (text: string) => void;
}

const NEED_MS = 250;
/** Interval between polls for a job that was never submitted. */
const STRANGER_MS = 15_000;
/** Larger than the number of jobs in any plan: job ids from here on are never submitted. */
const FIRST_STRANGER = 900_000;

/**
 * Executes a plan in the given environment, which is virtual or made of real processes: submits the work on schedule,
 * delays jobs until those they depend on are accepted, injects faults at their time or injection point, and collects
 * the figures of the report.
 */
export class Conductor {
  readonly planned: Planned[];
  readonly recoveries = new Recoveries();
  readonly faults: Report["faults"] = [];
  readonly moments: MetMoment[] = [];
  takeovers = 0;
  private lastTroubleMs = 0;
  private readonly told = new Map<string, "accepted" | "done" | "withdrawn">();
  private readonly pending: Extract<PlannedFault, { moment: Moment }>[];
  private began = 0;
  private begun = false;
  private placed = false;
  private strangers = 0;
  private stopped = false;

  constructor(private readonly options: ConductorOptions) {
    const { plan, seed } = options;
    this.planned = submissions(plan, seeded(seed));
    this.pending = plan.fault.filter((one): one is Extract<PlannedFault, { moment: Moment }> => "moment" in one);
  }

  private get sinceMs(): number {
    return this.options.clock.now() - this.began;
  }

  begin(): void {
    const { clock, plan } = this.options;
    this.begun = true;
    this.began = clock.now();
    for (const one of plan.fault) if ("at" in one) clock.after(one.at * 1000, () => this.strike(one.fault, () => undefined));
    for (const one of this.planned) clock.after(one.atMs, () => this.begins(one));
    clock.after(STRANGER_MS, () => void this.stranger());
  }

  /** Submits the job once the jobs that it depends on are accepted. */
  private begins(one: Planned): void {
    if (this.stopped) return;
    if ((one.spec.needs ?? []).every((need) => this.told.has(need))) void this.follow(one);
    else this.options.clock.after(NEED_MS, () => this.begins(one));
  }

  private async follow(one: Planned): Promise<void> {
    const { clock, users, pollMs } = this.options;
    const { ref } = one.spec;
    this.came("submission");
    if (!(await users.submit(one))) return;
    this.told.set(ref, "accepted");
    if (one.cancelMs !== null) clock.after(one.cancelMs, () => void users.cancel(ref));
    while (!this.over(ref) && !this.stopped) {
      await new Promise<void>((resolve) => void clock.after(pollMs(), resolve));
      const state = await users.poll(ref);
      if (state === "done" || state === "withdrawn") this.told.set(ref, state);
    }
  }

  /** Polls regularly for jobs that were never submitted; the responses are checked with the rest of the history. */
  private async stranger(): Promise<void> {
    if (this.stopped) return;
    await this.options.users.poll(`run-${FIRST_STRANGER + ++this.strangers}`);
    this.options.clock.after(STRANGER_MS, () => void this.stranger());
  }

  /** Receives log lines and service requests. */
  hear(seen: Seen): void {
    this.recoveries.hear(seen);
    if (tookOver(seen.what, seen.detail)) this.takeovers++;
    const moment = this.options.momentOf(seen);
    if (moment !== null) this.came(moment);
  }

  /** Receives the events of tasks on their machines. */
  happened(event: Happening): void {
    if (event.kind === "on" && !this.placed) {
      this.placed = true;
      this.came("first-placement");
    }
    if (event.kind === "off" && event.cause === "done") this.came("done-before-clear");
  }

  private came(moment: Moment): void {
    if (!this.begun || this.stopped) return;
    const i = this.pending.findIndex((one) => one.moment === moment && this.sinceMs >= one.after * 1000);
    if (i < 0) return;
    const [{ fault }] = this.pending.splice(i, 1) as [(typeof this.pending)[number]];
    // Deferred, so that the fault does not interrupt the processing of the observation.
    this.options.clock.after(0, () => this.strike(fault, (met) => this.moments.push({ moment, kind: fault.kind, met })));
  }

  private strike(fault: Fault, then: (met: string[]) => void): void {
    const { stage, clock, say } = this.options;
    const act = (): void => {
      if (this.stopped) return;
      const met = carryOut(stage, fault, this.options.crowd);
      this.lastTroubleMs = Math.max(this.lastTroubleMs, clock.now() + lastsMs(fault));
      this.faults.push({ at: Math.round(this.sinceMs) / 1000, kind: fault.kind, met, fault });
      if (fault.kind === "restart" || fault.kind === "freeze" || fault.kind === "cut")
        for (const node of met) this.recoveries.lost(node, clock.now());
      say?.(`fault: ${fault.kind} met ${met.join(", ") || "nobody"}`);
      then(met);
    };
    const prepared = stage.prepare?.();
    if (prepared === undefined) act();
    else void prepared.then(act);
  }

  /** When all faults injected so far have ended, in ms. */
  calmAt(): number {
    return this.lastTroubleMs;
  }

  over(ref: string): boolean {
    const state = this.told.get(ref);
    return state === "done" || state === "withdrawn";
  }

  get allOver(): boolean {
    return this.planned.every(({ spec }) => this.over(spec.ref));
  }

  get countOver(): number {
    return this.planned.filter(({ spec }) => this.over(spec.ref)).length;
  }

  /** Stops polling and fault injection. */
  stop(): void {
    this.stopped = true;
  }

  report(rest: Pick<Report, "mode" | "broken" | "trouble" | "cost" | "reports">): Report & { moments: MetMoment[] } {
    const { plan, seed } = this.options;
    const states = [...this.told.values()];
    return {
      plan: plan.name,
      seed,
      seconds: Math.round(this.sinceMs) / 1000,
      jobs: {
        submitted: this.planned.length,
        accepted: states.length,
        done: states.filter((state) => state === "done").length,
        withdrawn: states.filter((state) => state === "withdrawn").length,
        unfinished: this.planned.map(({ spec }) => spec.ref).filter((ref) => !this.over(ref)),
      },
      faults: this.faults,
      moments: this.moments,
      takeovers: this.takeovers,
      recoveries: this.recoveries.all,
      started_cancelled: startsAfterCancellation(this.options.history()),
      classes: classFigures(this.options.history(), new Map(this.planned.map((one) => [one.spec.ref, one]))),
      ...rest,
    };
  }
}
