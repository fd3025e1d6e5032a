/** Checks the recorded history of a run against the rules of the protocol, such as that no task runs twice at once. */
import type { JobSpec } from "@thorntrail/protocol/jobs";

/** Job status as a user learns it from a response; `unknown` stands for 404, `refused` for 400 and 422. */
export type ReportedStatus = "accepted" | "queued" | "running" | "done" | "withdrawn" | "unknown" | "refused";

/**
 * Returns the job status that the response to a submission, poll or cancellation reports, or null if it reports none
 * and the user retries.
 */
export function statusFromResponse(status: number, body: Record<string, unknown>): ReportedStatus | null {
  if (status === 200 || status === 201) return (body["status"] as ReportedStatus | undefined) ?? "queued";
  if (status === 404) return "unknown";
  return status === 400 || status === 422 ? "refused" : null;
}

/** An event of a run as observed outside the controllers. Times (`at`, `asked`) are in ms. */
export type HistoryEvent =
  /** A user submits a job. `never` is set if the submission is faulty: the reason why it must not be accepted. */
  | { at: number; kind: "submitted"; spec: JobSpec; never?: string }
  /** A response received at `at`; `asked` is when the poll, submission or cancellation it answers was sent. */
  | { at: number; kind: "told"; ref: string; what: ReportedStatus; asked?: number }
  | { at: number; kind: "asked-cancel"; ref: string }
  /** A poll that got a response other than 200 or 404, or none. */
  | { at: number; kind: "unanswered"; ref: string }
  /** A task starts on a machine (`on`), or ends there (`off`). */
  | { at: number; kind: "on"; piece: string; host: string; type: string; zone: string; spot: boolean }
  | { at: number; kind: "off"; piece: string; host: string; cause: string }
  /** The machine becomes available for tasks (`up`) or stops being available (`gone`). */
  | { at: number; kind: "up"; host: string; type: string; zone: string; spot: boolean; cpus: number; gpus: number; ram: number }
  | { at: number; kind: "gone"; host: string };

/** Limits that the recorded history of a run is checked against. All times are in ms. */
export interface CheckLimits {
  cancelMs: number;
  teams: Map<string, { cpus: number; gpus: number }>;
  /** Time at which the last injected fault has ended. If it is absent, unanswered polls and idle capacity are not checked. */
  faultsEndAt?: number;
  /** When the history ends; tasks that have not ended by then are still on their machines. */
  historyEndAt?: number;
}

/** After the faults have ended, an accepted job whose polls stay unanswered for longer than this counts as forgotten. */
const MAX_UNANSWERED_MS = 75_000;
/** After the faults have ended, a job must not wait this long while there is free capacity for it. */
const MAX_IDLE_CAPACITY_MS = 90_000;
const CAPACITY_CHECK_INTERVAL_MS = 1000;

const jobRefOf = (taskId: string): string => taskId.slice(0, taskId.lastIndexOf("/"));

/** Checks a complete history against the rules of the protocol and returns one line for each violation. */
export function findViolations(history: HistoryEvent[], limits: CheckLimits): string[] {
  const violations: string[] = [];
  const specs = new Map<string, JobSpec>();
  /** When a response first confirmed to a user that the job is accepted. */
  const acceptedAt = new Map<string, number>();
  const rejectionReasons = new Map<string, string>();
  const finalStatus = new Map<string, { what: "done" | "withdrawn"; at: number }>();
  const withdrawnSince = new Map<string, number>();
  const cancelRequested = new Set<string>();
  const runningOn = new Map<string, Map<string, { zone: string }>>();
  /** Returns all jobs that the job depends on, directly or transitively. */
  const allDependencies = (ref: string): Set<string> => {
    const found = new Set(specs.get(ref)?.needs);
    for (const need of found) for (const further of specs.get(need)?.needs ?? []) found.add(further);
    return found;
  };
  const doneTasks = new Map<string, Set<string>>();
  /** For each job, the time of the first unanswered poll since the last answered request. */
  const unansweredSince = new Map<string, number>();
  let startCount = 0;
  const report = (rule: string, at: number, detail: string): void => {
    violations.push(`${rule} at ${(at / 1000).toFixed(1)} s: ${detail}`);
  };
  const placementsOf = (ref: string): { taskId: string; host: string; zone: string }[] =>
    [...runningOn]
      .filter(([taskId]) => jobRefOf(taskId) === ref)
      .flatMap(([taskId, hosts]) => [...hosts].map(([host, { zone }]) => ({ taskId, host, zone })));
  const checkCancelled = (at: number): void => {
    for (const [ref, since] of withdrawnSince) {
      if (at - since > limits.cancelMs && placementsOf(ref).length > 0) {
        report("ran_cancelled", at, ref);
        withdrawnSince.delete(ref);
      }
    }
  };
  const capacityMonitor = new IdleCapacityMonitor(limits, (at, detail) => report("idle_room", at, detail));
  const unfinishedJobs = (): JobSpec[] =>
    [...specs.values()].filter(({ ref }) => acceptedAt.has(ref) && !finalStatus.has(ref) && !cancelRequested.has(ref));
  const isWaiting = (spec: JobSpec): boolean =>
    (doneTasks.get(spec.ref)?.size ?? 0) + placementsOf(spec.ref).length < spec.tasks &&
    (spec.needs ?? []).every((need) => (doneTasks.get(need)?.size ?? 0) >= (specs.get(need)?.tasks ?? Infinity));
  for (const event of history) {
    checkCancelled(event.at);
    capacityMonitor.checkUntil(event.at, () => unfinishedJobs().filter(isWaiting), runningOn, specs);
    switch (event.kind) {
      case "up":
        capacityMonitor.machines.set(event.host, event);
        break;
      case "gone":
        capacityMonitor.machines.delete(event.host);
        break;
      case "submitted":
        specs.set(event.spec.ref, event.spec);
        if (event.never !== undefined) rejectionReasons.set(event.spec.ref, event.never);
        break;
      case "asked-cancel":
        cancelRequested.add(event.ref);
        break;
      case "unanswered": {
        const since = unansweredSince.get(event.ref) ?? event.at;
        unansweredSince.set(event.ref, since);
        if (!acceptedAt.has(event.ref) || event.at - Math.max(since, limits.faultsEndAt ?? Infinity) <= MAX_UNANSWERED_MS) break;
        report("forgotten", event.at, `${event.ref} got no response since ${(since / 1000).toFixed(1)} s`);
        unansweredSince.set(event.ref, Infinity);
        break;
      }
      case "told": {
        // A non-final status contradicts an earlier final one only if its request was sent after the final status had been received:
        // responses to overlapping requests may arrive in either order.
        const { ref, what, asked = event.at } = event;
        unansweredSince.delete(ref);
        const finalSoFar = finalStatus.get(ref);
        const expectedStatus =
          finalSoFar !== undefined && (finalSoFar.at <= asked || what === "done" || what === "withdrawn") ? finalSoFar.what : undefined;
        const alreadyAccepted = (acceptedAt.get(ref) ?? Infinity) <= asked;
        if (what === "unknown") {
          if (alreadyAccepted) report("forgotten", event.at, `${ref} got 404`);
          break;
        }
        if (what === "refused") {
          if (alreadyAccepted) report("forgotten", event.at, `${ref} was refused when repeated`);
          break;
        }
        if (!specs.has(ref)) report("invented", event.at, ref);
        if (rejectionReasons.has(ref)) report("accepted_wrongly", event.at, `${ref}: ${rejectionReasons.get(ref)}`);
        if (!acceptedAt.has(ref)) acceptedAt.set(ref, event.at);
        if (what === "done" && (doneTasks.get(ref)?.size ?? 0) < (specs.get(ref)?.tasks ?? 0)) report("not_done", event.at, ref);
        if (expectedStatus !== undefined && what !== expectedStatus)
          report("went_back", event.at, `${ref} from ${expectedStatus} to ${what}`);
        const dependenciesWithdrawnAt = [...allDependencies(ref)].map((need) => withdrawnSince.get(need) ?? Infinity);
        if (what !== "done" && what !== "withdrawn" && dependenciesWithdrawnAt.some((at) => event.at - at > limits.cancelMs))
          report("orphaned", event.at, ref);
        if (what === "withdrawn" && ![ref, ...allDependencies(ref)].some((one) => cancelRequested.has(one)))
          report("went_back", event.at, `${ref} was not cancelled by its user`);
        if (what === "done" || what === "withdrawn") {
          if (finalSoFar === undefined) finalStatus.set(ref, { what, at: event.at });
          if (what === "withdrawn" && !withdrawnSince.has(ref)) withdrawnSince.set(ref, event.at);
        }
        break;
      }
      case "on": {
        startCount++;
        const ref = jobRefOf(event.piece);
        const spec = specs.get(ref);
        const hosts = runningOn.get(event.piece) ?? new Map<string, { zone: string }>();
        if ([...hosts.keys()].some((host) => host !== event.host))
          report("ran_twice", event.at, `${event.piece} on ${event.host} and ${[...hosts.keys()].join()}`);
        if (spec !== undefined) {
          const others = placementsOf(ref).filter((o) => o.taskId !== event.piece);
          const inZone = others.filter((o) => o.zone === event.zone).length + 1;
          const misplaced =
            (spec.types !== null && !spec.types.includes(event.type)) ||
            (spec.zone !== null && spec.zone !== event.zone) ||
            (!spec.spot && event.spot) ||
            (spec.oneZone && others.some((o) => o.zone !== event.zone)) ||
            (spec.spread && inZone > Math.ceil(spec.tasks / 2));
          if (misplaced) report("wrong_place", event.at, `${event.piece} on ${event.host}`);
        }
        hosts.set(event.host, { zone: event.zone });
        runningOn.set(event.piece, hosts);
        capacityMonitor.taskStarted(ref);
        for (const need of spec?.needs ?? []) {
          if ((doneTasks.get(need)?.size ?? 0) < (specs.get(need)?.tasks ?? 1))
            report("too_early", event.at, `${event.piece} before ${need} is done`);
        }
        const since = withdrawnSince.get(ref);
        if (since !== undefined && event.at - since > limits.cancelMs) report("ran_cancelled", event.at, `${event.piece} started`);
        if (spec !== undefined) {
          const limit = limits.teams.get(spec.team);
          let cpus = 0;
          let gpus = 0;
          for (const [taskId, placements] of runningOn) {
            const other = specs.get(jobRefOf(taskId));
            if (other?.team !== spec.team) continue;
            cpus += other.cpus * placements.size;
            gpus += other.gpus * placements.size;
          }
          if (limit !== undefined && ((limit.cpus > 0 && cpus > limit.cpus + 1e-6) || (limit.gpus > 0 && gpus > limit.gpus + 1e-6))) {
            report("quota", event.at, `${spec.team} uses ${cpus} CPUs, ${gpus} accelerators`);
          }
        }
        break;
      }
      case "off": {
        const hosts = runningOn.get(event.piece);
        hosts?.delete(event.host);
        if (hosts?.size === 0) runningOn.delete(event.piece);
        if (event.cause === "done") {
          const ref = jobRefOf(event.piece);
          const doneOfJob = doneTasks.get(ref) ?? new Set<string>();
          doneOfJob.add(event.piece);
          doneTasks.set(ref, doneOfJob);
        }
        break;
      }
    }
  }
  if (limits.historyEndAt !== undefined) {
    checkCancelled(limits.historyEndAt);
    capacityMonitor.checkUntil(limits.historyEndAt, () => unfinishedJobs().filter(isWaiting), runningOn, specs);
  }
  if (startCount === 0) violations.push("nothing_ran");
  return violations;
}

/**
 * Counts task starts after a user received confirmation that the job is withdrawn (cancelled). Such a start breaks the
 * rule `ran_cancelled` only if it is more than `cancelMs` after the confirmation.
 */
export function countStartsAfterWithdrawal(history: readonly HistoryEvent[]): number {
  const withdrawn = new Set<string>();
  let count = 0;
  for (const event of history) {
    if (event.kind === "told" && event.what === "withdrawn") withdrawn.add(event.ref);
    else if (event.kind === "on" && withdrawn.has(jobRefOf(event.piece))) count++;
  }
  return count;
}

type MachineUp = Extract<HistoryEvent, { kind: "up" }>;

/** Detects, once the faults have ended, jobs that wait although a machine has continuously had free capacity for one of their tasks. */
class IdleCapacityMonitor {
  readonly machines = new Map<string, MachineUp>();
  private readonly waitingSince = new Map<string, number>();
  private nextCheckAt: number;

  constructor(
    private readonly limits: CheckLimits,
    private readonly report: (at: number, detail: string) => void,
  ) {
    this.nextCheckAt = limits.faultsEndAt ?? Infinity;
  }

  /** Resets the measured waiting time of a job, because one of its tasks has started. */
  taskStarted(ref: string): void {
    this.waitingSince.delete(ref);
  }

  checkUntil(
    at: number,
    waiting: () => JobSpec[],
    runningOn: Map<string, Map<string, { zone: string }>>,
    specs: Map<string, JobSpec>,
  ): void {
    for (; this.nextCheckAt <= at; this.nextCheckAt += CAPACITY_CHECK_INTERVAL_MS) {
      const free = this.freeCapacity(runningOn, specs);
      const jobs = waiting();
      const names = new Set(jobs.map(({ ref }) => ref));
      for (const ref of this.waitingSince.keys()) if (!names.has(ref)) this.waitingSince.delete(ref);
      for (const spec of jobs) {
        if (!this.fits(spec, free, runningOn, specs)) this.waitingSince.delete(spec.ref);
        else if (!this.waitingSince.has(spec.ref)) this.waitingSince.set(spec.ref, this.nextCheckAt);
        else if (this.nextCheckAt - this.waitingSince.get(spec.ref)! >= MAX_IDLE_CAPACITY_MS) {
          this.report(this.nextCheckAt, `${spec.ref} waits although there is free capacity`);
          this.waitingSince.set(spec.ref, Infinity);
        }
      }
    }
  }

  private freeCapacity(runningOn: Map<string, Map<string, { zone: string }>>, specs: Map<string, JobSpec>): MachineUp[] {
    const free = new Map([...this.machines].map(([host, machine]) => [host, { ...machine }]));
    for (const [taskId, hosts] of runningOn) {
      const spec = specs.get(jobRefOf(taskId));
      if (spec === undefined) continue;
      for (const host of hosts.keys()) {
        const machine = free.get(host);
        if (machine === undefined) continue;
        machine.cpus -= spec.cpus;
        machine.gpus -= spec.gpus;
        machine.ram -= spec.ram;
      }
    }
    return [...free.values()];
  }

  /** Whether one more task, or for a gang all missing tasks, fits into the free capacity and the team's quota limit. */
  private fits(
    spec: JobSpec,
    free: MachineUp[],
    runningOn: Map<string, Map<string, { zone: string }>>,
    specs: Map<string, JobSpec>,
  ): boolean {
    const placed = [...runningOn].filter(([taskId]) => jobRefOf(taskId) === spec.ref).flatMap(([, hosts]) => [...hosts.values()]);
    const needed = spec.kind === "gang" ? spec.tasks - placed.length : 1;
    const limit = this.limits.teams.get(spec.team);
    const used = { cpus: 0, gpus: 0 };
    for (const [taskId, hosts] of runningOn) {
      const other = specs.get(jobRefOf(taskId));
      if (other?.team !== spec.team) continue;
      used.cpus += other.cpus * hosts.size;
      used.gpus += other.gpus * hosts.size;
    }
    if (limit !== undefined && limit.cpus > 0 && used.cpus + needed * spec.cpus > limit.cpus + 1e-6) return false;
    if (limit !== undefined && limit.gpus > 0 && used.gpus + needed * spec.gpus > limit.gpus + 1e-6) return false;
    const zones = spec.oneZone ? [...new Set(free.map(({ zone }) => zone))] : [null];
    return zones.some((requiredZone) => {
      if (requiredZone !== null && placed.some(({ zone }) => zone !== requiredZone)) return false;
      const inZone = new Map<string, number>();
      for (const { zone } of placed) inZone.set(zone, (inZone.get(zone) ?? 0) + 1);
      let fittingTasks = 0;
      for (const machine of free) {
        if (requiredZone !== null && machine.zone !== requiredZone) continue;
        if ((spec.types !== null && !spec.types.includes(machine.type)) || (spec.zone !== null && spec.zone !== machine.zone)) continue;
        if (!spec.spot && machine.spot) continue;
        const maxInZone = spec.spread ? Math.ceil(spec.tasks / 2) - (inZone.get(machine.zone) ?? 0) : Infinity;
        const fitting = Math.floor(
          Math.min(
            machine.cpus / spec.cpus + 1e-9,
            spec.gpus > 0 ? machine.gpus / spec.gpus + 1e-9 : Infinity,
            spec.ram > 0 ? machine.ram / spec.ram + 1e-9 : Infinity,
            maxInZone,
          ),
        );
        fittingTasks += Math.max(0, fitting);
        inZone.set(machine.zone, (inZone.get(machine.zone) ?? 0) + Math.max(0, fitting));
      }
      return fittingTasks >= needed;
    });
  }
}
