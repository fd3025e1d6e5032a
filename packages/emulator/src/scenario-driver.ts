/** Runs a rehearsal plan (workload and faults) in an environment, which is virtual or made of real processes. */
import { countStartsAfterWithdrawal, type HistoryEvent } from "./checker.js";
import { copiedCall, injectFault, durationMs, type SimulatedUserControl, type Fault, type FaultEnvironment } from "./faults.js";
import { seededRandom } from "./random.js";
import { plannedSubmissions, type InjectionPoint, type PlannedSubmission, type TimedFault, type RehearsalPlan } from "./plan.js";
import { RecoveryTracker, isTakeoverAfterLoss } from "./recovery.js";
import { classStatistics, type Report } from "./report.js";

/** A log line of a controller or a request to a service, which can mark an injection point. `at` is in ms. */
export interface Observation {
  at: number;
  node: string;
  what: string;
  detail: Record<string, unknown>;
}

/** Returns the injection point that the observation marks, or null if it marks none. */
export type InjectionPointOf = (seen: Observation) => InjectionPoint | null;

/** A fault injected at an injection point, and the names of what it affected. */
export interface InjectedAtPoint {
  moment: InjectionPoint;
  kind: Fault["kind"];
  met: string[];
}

/** Client by which a run submits, polls and cancels its jobs. Implementations record the responses in the history. */
export interface UserClient {
  /** Submits a job, repeatedly until there is a response; false if the job was refused or the user gave up. */
  submit(one: PlannedSubmission): Promise<boolean>;
  /** Returns the status of the job, or any other text if the response held none. */
  poll(ref: string): Promise<string>;
  cancel(ref: string): Promise<void>;
}

/** Plan, environment, users and clock of one run. */
export interface ScenarioDriverOptions {
  plan: RehearsalPlan;
  seed: number;
  environment: FaultEnvironment;
  users: UserClient;
  /** Additional users, whose behaviour is part of some faults, such as `cancel-now`. */
  simulatedUsers: SimulatedUserControl;
  /** Clock of the run, in ms. */
  clock: { now(): number; after(ms: number, fn: () => void): unknown };
  injectionPointOf: InjectionPointOf;
  pollMs: () => number;
  /** Returns the events that workers and users have recorded so far. */
  history: () => readonly HistoryEvent[];
  log?: (text: string) => void;
}

const DEPENDENCY_CHECK_MS = 250;
/** Interval between polls for a job that was never submitted. */
const UNKNOWN_JOB_POLL_MS = 15_000;
/** Number of the first job id that is never submitted; larger than the number of jobs in any plan. */
const FIRST_UNKNOWN_JOB = 900_000;

/**
 * Runs a plan in the given environment: submits the work on schedule, delays jobs until those they depend on are accepted,
 * injects faults at their time or injection point, and collects the figures of the report.
 */
export class ScenarioDriver {
  readonly submissions: PlannedSubmission[];
  readonly recoveries = new RecoveryTracker();
  readonly faults: Report["faults"] = [];
  readonly faultsAtPoints: InjectedAtPoint[] = [];
  takeovers = 0;
  private lastFaultEndMs = 0;
  private readonly jobStatuses = new Map<string, "accepted" | "done" | "withdrawn">();
  private readonly pendingFaults: Extract<TimedFault, { moment: InjectionPoint }>[];
  private startedAt = 0;
  private started = false;
  private anyTaskStarted = false;
  private unknownJobPolls = 0;
  private stopped = false;

  constructor(private readonly options: ScenarioDriverOptions) {
    const { plan, seed } = options;
    this.submissions = plannedSubmissions(plan, seededRandom(seed));
    this.pendingFaults = plan.fault.filter((one): one is Extract<TimedFault, { moment: InjectionPoint }> => "moment" in one);
  }

  private get elapsedMs(): number {
    return this.options.clock.now() - this.startedAt;
  }

  start(): void {
    const { clock, plan } = this.options;
    this.started = true;
    this.startedAt = clock.now();
    for (const one of plan.fault) if ("at" in one) clock.after(one.at * 1000, () => this.inject(one.fault, () => undefined));
    for (const one of this.submissions) clock.after(one.atMs, () => this.submitWhenReady(one));
    clock.after(UNKNOWN_JOB_POLL_MS, () => void this.pollUnknownJob());
  }

  /** Submits the job once the jobs that it depends on are accepted. */
  private submitWhenReady(one: PlannedSubmission): void {
    if (this.stopped) return;
    if ((one.spec.needs ?? []).every((need) => this.jobStatuses.has(need))) void this.submitAndPoll(one);
    else this.options.clock.after(DEPENDENCY_CHECK_MS, () => this.submitWhenReady(one));
  }

  private async submitAndPoll(one: PlannedSubmission): Promise<void> {
    const { clock, users, pollMs } = this.options;
    const { ref } = one.spec;
    this.reachInjectionPoint("submission");
    if (!(await users.submit(one))) return;
    this.jobStatuses.set(ref, "accepted");
    if (one.cancelMs !== null) clock.after(one.cancelMs, () => void users.cancel(ref));
    while (!this.isFinished(ref) && !this.stopped) {
      await new Promise<void>((resolve) => void clock.after(pollMs(), resolve));
      const state = await users.poll(ref);
      if (state === "done" || state === "withdrawn") this.jobStatuses.set(ref, state);
    }
  }

  /** Polls regularly for jobs that were never submitted; the responses are checked with the rest of the history. */
  private async pollUnknownJob(): Promise<void> {
    if (this.stopped) return;
    await this.options.users.poll(`run-${FIRST_UNKNOWN_JOB + ++this.unknownJobPolls}`);
    this.options.clock.after(UNKNOWN_JOB_POLL_MS, () => void this.pollUnknownJob());
  }

  /** Processes a controller's log line or request to a service: updates the recoveries and injects the faults that wait for it. */
  observe(seen: Observation): void {
    this.recoveries.processLogLine(seen);
    if (isTakeoverAfterLoss(seen.what, seen.detail)) this.takeovers++;
    const injectionPoint = this.options.injectionPointOf(seen);
    if (injectionPoint !== null) this.reachInjectionPoint(injectionPoint);
  }

  /** Processes an event that workers or users recorded: the first start and each successful end of a task are injection points. */
  recordEvent(event: HistoryEvent): void {
    if (event.kind === "on" && !this.anyTaskStarted) {
      this.anyTaskStarted = true;
      this.reachInjectionPoint("first-placement");
    }
    if (event.kind === "off" && event.cause === "done") this.reachInjectionPoint("done-before-clear");
  }

  private reachInjectionPoint(injectionPoint: InjectionPoint): void {
    if (!this.started || this.stopped) return;
    const i = this.pendingFaults.findIndex((one) => one.moment === injectionPoint && this.elapsedMs >= one.after * 1000);
    if (i < 0) return;
    const [{ fault }] = this.pendingFaults.splice(i, 1) as [(typeof this.pendingFaults)[number]];
    // The fault is injected by a timer, so that it does not interrupt the processing of the observation.
    this.options.clock.after(0, () =>
      this.inject(fault, (met) => this.faultsAtPoints.push({ moment: injectionPoint, kind: fault.kind, met })),
    );
  }

  private inject(fault: Fault, then: (met: string[]) => void): void {
    const { environment, clock, log } = this.options;
    const apply = (): void => {
      if (this.stopped) return;
      const met = injectFault(environment, fault, this.options.simulatedUsers);
      this.lastFaultEndMs = Math.max(this.lastFaultEndMs, clock.now() + durationMs(fault));
      this.faults.push({ at: Math.round(this.elapsedMs) / 1000, kind: fault.kind, met, fault });
      if (fault.kind === "restart" || fault.kind === "freeze" || fault.kind === "cut")
        for (const node of met) this.recoveries.recordLoss(node, clock.now());
      log?.(`fault: ${fault.kind} affected ${met.join(", ") || "nothing"}`);
      then(met);
    };
    const prepared = environment.prepare?.();
    if (prepared === undefined) apply();
    else void prepared.then(apply);
  }

  /** Time at which all faults injected so far have ended, in ms of the run's clock. */
  faultsEndAt(): number {
    return this.lastFaultEndMs;
  }

  isFinished(ref: string): boolean {
    const state = this.jobStatuses.get(ref);
    return state === "done" || state === "withdrawn";
  }

  get allFinished(): boolean {
    return this.submissions.every(({ spec }) => this.isFinished(spec.ref));
  }

  get finishedCount(): number {
    return this.submissions.filter(({ spec }) => this.isFinished(spec.ref)).length;
  }

  /** Stops polling and fault injection. */
  stop(): void {
    this.stopped = true;
  }

  report(rest: Pick<Report, "mode" | "broken" | "trouble" | "cost" | "reports" | "copies">): Report & { moments: InjectedAtPoint[] } {
    const { plan, seed } = this.options;
    const states = [...this.jobStatuses.values()];
    return {
      plan: plan.name,
      seed,
      seconds: Math.round(this.elapsedMs) / 1000,
      jobs: {
        submitted: this.submissions.length,
        accepted: states.length,
        done: states.filter((state) => state === "done").length,
        withdrawn: states.filter((state) => state === "withdrawn").length,
        unfinished: this.submissions.map(({ spec }) => spec.ref).filter((ref) => !this.isFinished(ref)),
      },
      // Whether a fault of the kind `copies` affected anything is known only at the end.
      faults: this.faults.map((one) =>
        one.fault.kind === "copies" && rest.copies[copiedCall(one.fault.of)] === undefined ? { ...one, met: [] } : one,
      ),
      moments: this.faultsAtPoints,
      takeovers: this.takeovers,
      recoveries: this.recoveries.all,
      started_cancelled: countStartsAfterWithdrawal(this.options.history()),
      classes: classStatistics(this.options.history(), new Map(this.submissions.map((one) => [one.spec.ref, one]))),
      ...rest,
    };
  }
}
