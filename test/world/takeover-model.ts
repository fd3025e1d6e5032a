/**
 * Randomised model of one partition under a sequence of owners, with several machines, job arrays and gangs. It uses the
 * production report handler, lease watch, command dispatch and scheduling cycle, and the emulator's workers. Messages between
 * them are delayed by up to many seconds, lost, repeated and reordered; a repeated command may arrive after it was answered. Before each takeover, tasks are preempted and start
 * again on other machines, and some machines become slow to reach; reports that arrive before the new owner starts are queued
 * and read in random order. Completed tasks are durable at once.
 */
import { Subject } from "rxjs";
import { findViolations, type HistoryEvent } from "@thorntrail/emulator/checker";
import { seededRandom } from "@thorntrail/emulator/random";
import { VirtualClock } from "@thorntrail/emulator/virtual/clock";
import { Worker, type WorkerDependencies } from "@thorntrail/emulator/worker-model";
import { CallError } from "@thorntrail/protocol/errors";
import type { JobSpec } from "@thorntrail/protocol/jobs";
import type { CommandReply, Report, ReportAnswer, WorkerApi } from "@thorntrail/protocol/worker";
import type { GroupCommitter } from "../../src/ledger/group-committer.js";
import type { StateReplica } from "../../src/ledger/state-replica.js";
import type { RentalIndex } from "../../src/ledger/rentals.js";
import { Audit } from "../../src/partitions/audit.js";
import type { MachineStartup } from "../../src/partitions/machine-startup.js";
import { FindingEffects } from "../../src/partitions/finding-effects.js";
import type { Leader } from "../../src/partitions/leader.js";
import type { LeaderContext } from "../../src/partitions/leader-context.js";
import { addMachine, newPartition, type Partition } from "../../src/partitions/partition.js";
import type { Progress } from "../../src/partitions/progress.js";
import type { Recovery } from "../../src/partitions/recovery.js";
import { ReportHandler } from "../../src/partitions/report-handler.js";
import { StartGuard } from "../../src/partitions/start-guard.js";
import { TokenRaiser } from "../../src/partitions/token-raiser.js";
import { LeaseWatch } from "../../src/partitions/lease-watch.js";
import { Scope } from "../../src/platform/scope.js";
import { RunTimeHistory } from "../../src/queue/history.js";
import { runSchedulingCycle } from "../../src/queue/scheduling-cycle.js";
import { ClassAccounting } from "../../src/job-classes/class-accounting.js";
import { CommandDispatcher } from "../../src/workers/command-dispatcher.js";
import { newMachine, type Machine } from "../../src/workers/machine.js";
import { callsFor, TIMING } from "./calls.js";
import { schedulingContext, enqueue, specOf } from "./partitions.js";

const MACHINES = 6;
const TAKEOVERS = 6;
const RUN_SECONDS = 130;
const JOBS: readonly Partial<JobSpec>[] = [
  { kind: "array", tasks: 4, cpus: 8 },
  { kind: "array", tasks: 3, cpus: 5, checkpointS: 5, flushS: 2 },
  { kind: "gang", tasks: 3, cpus: 5 },
  { kind: "gang", tasks: 2, cpus: 8, checkpointS: 5, flushS: 2 },
];
const ANSWER_LIMIT_MS = 2000;

/** Result of one run of the model. */
export interface TakeoverRun {
  /** Rules that the run violated, and errors that were logged. */
  broken: string[];
  /**
   * Number of reports from which an owner adopted an attempt (run of a task) beside another attempt of the same task. If it is
   * 0, the run has not exercised this case.
   */
  surplus: number;
  /** Number of task starts on workers. */
  started: number;
}

/** Returns a random message delay: mostly below 62 ms, sometimes seconds, rarely up to 11.5 s; 0.3 to 4.3 s for a slow machine. */
function delayMs(random: () => number, slow: boolean): number {
  const kind = random();
  if (slow) return 300 + random() * 4000;
  if (kind < 0.8) return 2 + random() * 60;
  return kind < 0.93 ? 100 + random() * 2500 : 2500 + random() * 9000;
}

/**
 * Faults before a takeover, in ms. The former owner ends at a random time in the last `GONE_BEFORE_MS`. Tasks are preempted at
 * random times in the `STOPS_BEFORE_MS` before that period. `SLOW_BEFORE_MS` before the takeover, some machines become slow.
 */
const STOPS_BEFORE_MS = 7000;
const SLOW_BEFORE_MS = 3000;
const GONE_BEFORE_MS = 5000;
const SLOW_FOR_MS = 9000;
const SLOW_MACHINES = 3;
const STOPS = 7;

/** Fractions of messages that are lost and of reports and commands that arrive twice, the second time up to `REPEATED_LATEST_MS` later. */
const LOST = 0.06;
const REPEATED = 0.3;
const REPEATED_LATEST_MS = 25_000;

/** Newest revision of the state service, which the next owner's term exceeds. */
interface Revision {
  newest: number;
}

/** One owner of the partition: the production components of one term, with stubs for the state service. */
class Owner {
  readonly partition: Partition;
  readonly scope: Scope;
  private readonly reports: ReportHandler;
  private readonly watch: LeaseWatch;
  readonly dispatch$ = new Subject<{ partition: Partition; machine: Machine }>();
  readonly partitions: Map<number, Partition>;

  constructor(revision: Revision, clock: VirtualClock, hosts: Iterable<Worker>, done: Set<string>, workers: WorkerApi, errors: string[]) {
    const term = ++revision.newest;
    const ignore = (): void => undefined;
    const fail = (entry: unknown, text?: string): void => void errors.push(`${text} ${JSON.stringify(entry)}`);
    this.scope = new Scope(clock, { error: fail, warn: ignore, info: ignore, debug: ignore, isLevelEnabled: () => false });
    this.partition = newPartition(0, term, clock.now());
    this.partitions = new Map([[0, this.partition]]);
    for (const { host, addr } of hosts) this.takeOver(host, addr, clock.now());
    JOBS.forEach((job, i) => this.queue(specOf({ ...job, ref: `run-00000${i + 1}` }), done));
    const context = this.contextOf(clock);
    const progress = {
      record: (_partition: Partition, taskSet: { spec: JobSpec; lo: number; hi: number; done: { has: (task: number) => boolean } }) => {
        for (let task = 0; task < taskSet.hi - taskSet.lo; task++) if (taskSet.done.has(task)) done.add(`${taskSet.spec.ref}/${task}`);
      },
      isRecordedDone: (taskId: string) => done.has(taskId),
    } as unknown as Progress;
    const recovery = { checkCompletion: ignore, recordFenced: ignore, recordTaskStart: ignore } as unknown as Recovery;
    const replica = {
      loaded: true,
      get: () => undefined,
      stamp: () => term,
      get completeRevision() {
        return revision.newest;
      },
      refresh: () => Promise.resolve(),
    } as unknown as StateReplica;
    const committer = { commit: () => Promise.resolve("settled") } as unknown as GroupCommitter;
    const rentals = { get: () => ({ partition: 0 }) } as unknown as RentalIndex;
    const effects = new FindingEffects(context, progress, recovery);
    this.watch = new LeaseWatch(context, progress, effects, recovery);
    this.reports = new ReportHandler(
      context,
      replica,
      rentals,
      progress,
      { record: ignore } as unknown as MachineStartup,
      effects,
      this.watch,
      new TokenRaiser(context, replica, committer),
    );
    const leader = Object.assign(Object.create(context) as Leader, {
      onCommandReply: (partition: Partition, machine: Machine, report: Report) => this.reports.onCommandReply(partition, machine, report),
    });
    new CommandDispatcher(leader, workers, callsFor(clock, term), this.scope).start();
  }

  /** Adds a machine known only from the state service; for `silentAfterMs`, the former owner may still answer the machine's reports. */
  private takeOver(host: string, addr: string, now: number): void {
    const machine = newMachine(host, "m", "a", false, { cpus: 16, gpus: 0, ram: 64 }, 0);
    Object.assign(machine, { up: true, addr, answeredAt: now + TIMING.silentAfterMs, lastReportAt: now });
    addMachine(this.partition, machine);
  }

  private queue(spec: JobSpec, done: ReadonlySet<string>): void {
    const taskSet = enqueue(this.partition, spec);
    for (let task = 0; task < spec.tasks; task++) if (done.has(`${spec.ref}/${task}`)) taskSet.done.set(task);
    taskSet.waiting = taskSet.waiting.filter((task) => !taskSet.done.has(task));
  }

  private contextOf(clock: VirtualClock): LeaderContext & { isSilent: () => boolean } {
    return {
      settings: { timing: TIMING, self: "nest-0" } as unknown as LeaderContext["settings"],
      scope: this.scope,
      partitions: this.partitions,
      history: new RunTimeHistory("owner"),
      types: [],
      typeOf: () => undefined,
      stats: { starts: 0, takeovers: 0, preemptions: 0, fencedMs: 0, superseded: 0, tokensRaised: 0, startsRefused: 0, seenAgain: 0 },
      account: new ClassAccounting(),
      audit: new Audit(clock, this.scope.log, () => 0, TIMING.reportMs),
      startGuard: new StartGuard(this.scope),
      dispatch$: this.dispatch$,
      quotaShortage$: new Subject(),
      taskStarted$: new Subject(),
      get now() {
        return clock.now();
      },
      // The state service is always available, so the ownership is proven at any time until the successor starts.
      get provenAt() {
        return clock.now();
      },
      proveOwnership: () => Promise.resolve(),
      endSupersededTerm: () => false,
      isSilent: () => this.scope.closed,
      requestSchedulingCycle: () => undefined,
    };
  }

  onReport(report: Report): ReportAnswer {
    return this.reports.onReport(report);
  }

  /** Does the owner's periodic work: expires leases, advances fencing and runs a scheduling cycle. */
  advance(): void {
    this.watch.check();
    const { changedMachines } = runSchedulingCycle(this.partition, { ...schedulingContext, now: this.scope.clock.now() });
    for (const machine of changedMachines) this.dispatch$.next({ partition: this.partition, machine });
  }

  /** Preempts a random running task or, if it belongs to a gang, the whole gang. The tasks start again, mostly on other machines. */
  preempt(random: () => number): void {
    const placements = [...this.partition.machines.values()].flatMap((machine) => [...machine.placements.values()]);
    const victim = placements[Math.floor(random() * placements.length)];
    if (victim === undefined || victim.stop !== null) return;
    const machine = this.partition.machines.get(victim.host)!;
    machine.avoidUntil = this.scope.clock.now() + 10_000;
    const { spec, placements: placed } = victim.taskSet;
    for (const placement of spec.kind === "gang" ? placed.values() : [victim]) placement.stop = { graceS: spec.flushS };
    this.dispatch$.next({ partition: this.partition, machine });
  }

  /** Number of attempts on machines that are not the current attempt of their task. */
  get surplus(): number {
    let count = 0;
    for (const machine of this.partition.machines.values())
      for (const placement of machine.placements.values()) if (placement.taskSet.placements.get(placement.task) !== placement) count++;
    return count;
  }
}

/** Runs the model; the same seed gives the same run. */
export async function playTakeovers(seed: number): Promise<TakeoverRun> {
  const clock = new VirtualClock();
  const random = seededRandom(seed);
  const history: HistoryEvent[] = [];
  const errors: string[] = [];
  const done = new Set<string>();
  const specs = new Map(JOBS.map((job, i) => [`run-00000${i + 1}`, specOf({ ...job, ref: `run-00000${i + 1}` })]));
  const hosts = new Map<string, Worker>();
  let owner: Owner | null = null;
  const world: WorkerDependencies = {
    clock,
    reportMs: TIMING.reportMs,
    leaseMs: TIMING.leaseMs,
    gangPeerMs: 4000,
    gangWaitMs: 35_000,
    random,
    nodes: ["nest-0"],
    spec: (ref) => specs.get(ref),
    runMs: (ref) => 40_000 + 15_000 * Number(ref.at(-1)),
    fetchMs: () => 300,
    slowdown: () => 1,
    failsTasks: () => false,
    savedProgress: new Map(),
    onTaskStarted: ({ host, offer }, taskId) => void history.push({ at: clock.now(), kind: "on", piece: taskId, host, ...offer }),
    onTaskEnded: ({ host }, taskId, cause) => void history.push({ at: clock.now(), kind: "off", piece: taskId, host, cause }),
    gangMembers: (ref, attempt) =>
      [...hosts.values()].flatMap((worker) =>
        [...worker.tasks.values()].filter((task) => task.ref === ref && task.attempt === attempt).map((task) => ({ worker, task })),
      ),
    report: (_node, host, report) =>
      new Promise((resolve) => {
        if (random() < REPEATED) clock.after(random() * REPEATED_LATEST_MS, () => arrive(report, () => undefined));
        if (random() < LOST) return;
        clock.after(delayMs(random, slow.has(host)), () =>
          arrive(report, (answer) => {
            if (random() >= LOST) clock.after(delayMs(random, slow.has(host)), () => resolve(answer));
          }),
        );
      }),
  };
  const slow = new Set<string>();
  let surplus = 0;
  /** Reports that arrived while the partition had no owner, with the functions that answer them. */
  const queued: { report: Report; answer: (answer: ReportAnswer) => void }[] = [];
  const arrive = (report: Report, answer: (answer: ReportAnswer) => void): void => {
    if (owner === null) queued.push({ report, answer });
    else deliver(owner, report, answer);
  };
  const deliver = (by: Owner, report: Report, answer: (answer: ReportAnswer) => void): void => {
    const before = by.surplus;
    answer(by.onReport(report));
    if (by.surplus > before) surplus++;
  };
  const commandsOf = (from: () => Owner | null): WorkerApi => ({
    command: (addr, token, session, orders) =>
      new Promise<CommandReply>((resolve, reject) => {
        const sender = from();
        const unlessReplaced = (act: () => void) => (): void => {
          if (owner === sender) act();
        };
        clock.after(
          ANSWER_LIMIT_MS,
          unlessReplaced(() => reject(new CallError("unanswered", "timeout"))),
        );
        const copyMs = random() * REPEATED_LATEST_MS;
        if (random() < REPEATED) clock.after(copyMs, () => void hosts.get(addr)!.command(token, session, orders));
        if (random() < LOST) return;
        clock.after(delayMs(random, slow.has(addr)), () => {
          const reply = hosts.get(addr)!.command(token, session, orders);
          if (random() < LOST) return;
          clock.after(
            delayMs(random, slow.has(addr)),
            unlessReplaced(() => resolve(reply)),
          );
        });
      }),
  });
  for (let i = 0; i < MACHINES; i++) {
    const host = `i-${i}`;
    hosts.set(host, new Worker(host, { type: "m", zone: "a", spot: false }, { cpus: 16, gpus: 0, ram: 64 }, world));
  }
  const revision: Revision = { newest: 0 };
  const startOwner = (): void => {
    const next: Owner = new Owner(
      revision,
      clock,
      hosts.values(),
      done,
      commandsOf(() => next),
      errors,
    );
    owner = next;
    for (const { report, answer } of queued.splice(0).sort(() => random() - 0.5)) deliver(next, report, answer);
  };
  const endOwner = (): void => {
    owner?.scope.close();
    owner = null;
  };
  const slowMachinesDown = (): void => {
    const chosen = [...hosts.keys()].sort(() => random() - 0.5).slice(0, SLOW_MACHINES);
    for (const host of chosen) slow.add(host);
    clock.after(SLOW_FOR_MS, () => chosen.forEach((host) => slow.delete(host)));
  };
  startOwner();
  for (let i = 1; i <= TAKEOVERS; i++) {
    const at = (RUN_SECONDS / (TAKEOVERS + 1)) * (i + random() * 0.3) * 1000;
    for (let n = 0; n < STOPS; n++) clock.after(at - GONE_BEFORE_MS - random() * STOPS_BEFORE_MS, () => owner?.preempt(random));
    clock.after(at - SLOW_BEFORE_MS, slowMachinesDown);
    clock.after(at - random() * GONE_BEFORE_MS, endOwner);
    clock.after(at, startOwner);
  }
  for (let at = 0; at < RUN_SECONDS * 1000; at += 250) {
    clock.after(at, () => {
      revision.newest++;
      owner?.advance();
    });
  }
  await clock.run(RUN_SECONDS * 1000);
  (owner as Owner | null)?.scope.close();
  for (const worker of hosts.values()) worker.remove();
  const broken = findViolations(history, { cancelMs: Infinity, teams: new Map() });
  return { broken: [...broken, ...errors], surplus, started: history.filter(({ kind }) => kind === "on").length };
}
