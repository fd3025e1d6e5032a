import { Subject } from "rxjs";
import { brokenRules, type Happening } from "@thorntrail/emulator/checker";
import { seeded } from "@thorntrail/emulator/luck";
import { VirtualClock } from "@thorntrail/emulator/virtual/clock";
import { Worker, type WorkerWorld } from "@thorntrail/emulator/worker-model";
import { CallError } from "@thorntrail/protocol/errors";
import type { JobSpec } from "@thorntrail/protocol/jobs";
import type { CommandReply, Report, ReportAnswer, WorkerApi } from "@thorntrail/protocol/worker";
import type { StateReplica } from "../../src/ledger/state-replica.js";
import type { RentalIndex } from "../../src/ledger/rentals.js";
import { Audit } from "../../src/parts/audit.js";
import type { MachineStartup } from "../../src/parts/machine-startup.js";
import { FindingEffects } from "../../src/parts/finding-effects.js";
import type { Leader } from "../../src/parts/leader.js";
import type { LeaderContext } from "../../src/parts/leader-context.js";
import { addMachine, newPartition, type Partition } from "../../src/parts/partition.js";
import type { Progress } from "../../src/parts/progress.js";
import type { Recovery } from "../../src/parts/recovery.js";
import { ReportHandler } from "../../src/parts/report-handler.js";
import { StartGuard } from "../../src/parts/start-guard.js";
import { LeaseWatch } from "../../src/parts/lease-watch.js";
import { Scope } from "../../src/platform/scope.js";
import { RunTimeHistory } from "../../src/queue/history.js";
import { runSchedulingCycle } from "../../src/queue/scheduling-cycle.js";
import { ClassAccounting } from "../../src/served/class-accounting.js";
import { CommandDispatcher } from "../../src/workers/command-dispatcher.js";
import { newMachine, type Machine } from "../../src/workers/machine.js";
import { callsFor, TIMING } from "./calls.js";
import { pass, queueUp, specOf } from "./parts.js";

/**
 * One partition under owner after owner, over several machines, with arrays and gangs. The owners' report handler, watch,
 * dispatch and scheduling cycle are the real ones, the workers the emulator's; between them messages are late by up to many
 * seconds, lost, repeated and reordered. Before each takeover attempts change machines; what reports arrive until the new
 * owner begins wait for it in no order, and some machines are slow to be reached then. What is done is durable at once.
 */
const MACHINES = 6;
const TAKEOVERS = 6;
const SECONDS = 130;
const JOBS: readonly Partial<JobSpec>[] = [
  { kind: "array", tasks: 4, cpus: 8 },
  { kind: "array", tasks: 3, cpus: 5, checkpointS: 5, flushS: 2 },
  { kind: "gang", tasks: 3, cpus: 5 },
  { kind: "gang", tasks: 2, cpus: 8, checkpointS: 5, flushS: 2 },
];
const ANSWER_LIMIT_MS = 2000;

export interface TakeoverRun {
  broken: string[];
  /** Attempts adopted beside another of the same task: without any, the run shows nothing. */
  surplus: number;
  started: number;
}

/** How late a message is: most of them hardly, some by seconds, a few by many; those of a slow machine by seconds. */
function latenessMs(random: () => number, slow: boolean): number {
  const kind = random();
  if (slow) return 300 + random() * 4000;
  if (kind < 0.8) return 2 + random() * 60;
  return kind < 0.93 ? 100 + random() * 2500 : 2500 + random() * 9000;
}

/** Before a takeover, in ms: attempts are stopped from then on, machines are slow from then on, the owner is gone from then on. */
const STOPS_BEFORE_MS = 7000;
const SLOW_BEFORE_MS = 3000;
const GONE_BEFORE_MS = 5000;
const SLOW_FOR_MS = 9000;
const SLOW_MACHINES = 3;
const STOPS = 7;

const LOST = 0.06;
const REPEATED = 0.3;
const REPEATED_LATEST_MS = 25_000;

class Owner {
  readonly part: Partition;
  readonly scope: Scope;
  private readonly reports: ReportHandler;
  private readonly watch: LeaseWatch;
  readonly dispatch$ = new Subject<{ partition: Partition; machine: Machine }>();
  readonly parts: Map<number, Partition>;

  constructor(term: number, clock: VirtualClock, hosts: Iterable<Worker>, done: Set<string>, workers: WorkerApi, errors: string[]) {
    const ignore = (): void => undefined;
    const fail = (entry: unknown, text?: string): void => void errors.push(`${text} ${JSON.stringify(entry)}`);
    this.scope = new Scope(clock, { error: fail, warn: ignore, info: ignore, debug: ignore, isLevelEnabled: () => false });
    this.part = newPartition(0, term, clock.now());
    this.parts = new Map([[0, this.part]]);
    for (const { host, addr } of hosts) this.takeOver(host, addr, clock.now());
    JOBS.forEach((job, i) => this.queue(specOf({ ...job, ref: `run-00000${i + 1}` }), done));
    const context = this.contextOf(clock);
    const progress = {
      record: (_part: Partition, unit: { spec: JobSpec; lo: number; hi: number; done: { has: (task: number) => boolean } }) => {
        for (let task = 0; task < unit.hi - unit.lo; task++) if (unit.done.has(task)) done.add(`${unit.spec.ref}/${task}`);
      },
      isRecordedDone: (piece: string) => done.has(piece),
    } as unknown as Progress;
    const recovery = { checkCompletion: ignore, recordFenced: ignore, recordTaskStart: ignore } as unknown as Recovery;
    const mirror = { loaded: true, get: () => undefined, refresh: () => Promise.resolve() } as unknown as StateReplica;
    const rentals = { get: () => ({ partition: 0 }) } as unknown as RentalIndex;
    const effects = new FindingEffects(context, progress, recovery);
    this.watch = new LeaseWatch(context, progress, effects, recovery);
    this.reports = new ReportHandler(
      context,
      mirror,
      rentals,
      progress,
      { record: ignore } as unknown as MachineStartup,
      effects,
      this.watch,
    );
    const leader = Object.assign(Object.create(context) as Leader, {
      onCommandReply: (part: Partition, machine: Machine, report: Report) => this.reports.onCommandReply(part, machine, report),
    });
    new CommandDispatcher(leader, workers, callsFor(clock, term), this.scope).start();
  }

  /** As for a machine of the partition's records: the former owner may answer it for a while yet. */
  private takeOver(host: string, addr: string, now: number): void {
    const machine = newMachine(host, "m", "a", false, { cpus: 16, gpus: 0, ram: 64 }, 0);
    Object.assign(machine, { up: true, addr, answeredAt: now + TIMING.silentAfterMs, lastReportAt: now });
    addMachine(this.part, machine);
  }

  private queue(spec: JobSpec, done: ReadonlySet<string>): void {
    const unit = queueUp(this.part, spec);
    for (let task = 0; task < spec.tasks; task++) if (done.has(`${spec.ref}/${task}`)) unit.done.set(task);
    unit.waiting = unit.waiting.filter((task) => !unit.done.has(task));
  }

  private contextOf(clock: VirtualClock): LeaderContext & { isSilent: () => boolean } {
    return {
      settings: { timing: TIMING, self: "nest-0" } as unknown as LeaderContext["settings"],
      scope: this.scope,
      partitions: this.parts,
      history: new RunTimeHistory("owner"),
      types: [],
      typeOf: () => undefined,
      stats: { starts: 0, takeovers: 0, preemptions: 0, fencedMs: 0, superseded: 0 },
      account: new ClassAccounting(),
      audit: new Audit(clock, this.scope.log, () => 0, TIMING.reportMs),
      startGuard: new StartGuard(this.scope),
      dispatch$: this.dispatch$,
      quotaShortage$: new Subject(),
      taskStarted$: new Subject(),
      get now() {
        return clock.now();
      },
      // The state service is there all the while: each read finds the owner's term until its successor begins.
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

  /** Time passes: leases end, the fence is looked at, and what waits is placed. */
  look(): void {
    this.watch.check();
    const { changedMachines: touched } = runSchedulingCycle(this.part, { ...pass, now: this.scope.clock.now() });
    for (const machine of touched) this.dispatch$.next({ partition: this.part, machine });
  }

  /** Stops some task, as for work of higher priority: it starts again, mostly elsewhere. */
  preempt(random: () => number): void {
    const placements = [...this.part.machines.values()].flatMap((machine) => [...machine.placements.values()]);
    const chosen = placements[Math.floor(random() * placements.length)];
    if (chosen === undefined || chosen.stop !== null) return;
    const machine = this.part.machines.get(chosen.host)!;
    machine.avoidUntil = this.scope.clock.now() + 10_000;
    const { spec, placements: placed } = chosen.taskSet;
    for (const one of spec.kind === "gang" ? placed.values() : [chosen]) one.stop = { graceS: spec.flushS };
    this.dispatch$.next({ partition: this.part, machine });
  }

  get surplus(): number {
    let count = 0;
    for (const machine of this.part.machines.values())
      for (const placement of machine.placements.values()) if (placement.taskSet.placements.get(placement.task) !== placement) count++;
    return count;
  }
}

/** The same seed plays the same run. */
export async function playTakeovers(seed: number): Promise<TakeoverRun> {
  const clock = new VirtualClock();
  const random = seeded(seed);
  const history: Happening[] = [];
  const errors: string[] = [];
  const done = new Set<string>();
  const specs = new Map(JOBS.map((job, i) => [`run-00000${i + 1}`, specOf({ ...job, ref: `run-00000${i + 1}` })]));
  const hosts = new Map<string, Worker>();
  let owner: Owner | null = null;
  const world: WorkerWorld = {
    clock,
    reportMs: TIMING.reportMs,
    leaseMs: TIMING.leaseMs,
    gangPeerMs: 4000,
    gangWaitMs: 35_000,
    luck: random,
    nodes: ["nest-0"],
    spec: (ref) => specs.get(ref),
    runMs: (ref) => 40_000 + 15_000 * Number(ref.at(-1)),
    fetchMs: () => 300,
    slowness: () => 1,
    sick: () => false,
    saved: new Map(),
    on: ({ host, offer }, piece) => void history.push({ at: clock.now(), kind: "on", piece, host, ...offer }),
    off: ({ host }, piece, cause) => void history.push({ at: clock.now(), kind: "off", piece, host, cause }),
    mates: (ref, attempt) =>
      [...hosts.values()].flatMap((worker) =>
        [...worker.tasks.values()].filter((task) => task.ref === ref && task.attempt === attempt).map((task) => ({ worker, task })),
      ),
    report: (_node, host, report) =>
      new Promise((resolve) => {
        if (random() < REPEATED) clock.after(random() * REPEATED_LATEST_MS, () => arrive(report, () => undefined));
        if (random() < LOST) return;
        clock.after(latenessMs(random, slow.has(host)), () =>
          arrive(report, (answer) => {
            if (random() >= LOST) clock.after(latenessMs(random, slow.has(host)), () => resolve(answer));
          }),
        );
      }),
  };
  const slow = new Set<string>();
  let surplus = 0;
  /** Reports that no owner has read yet. */
  const queued: { report: Report; answer: (answer: ReportAnswer) => void }[] = [];
  const arrive = (report: Report, answer: (answer: ReportAnswer) => void): void => {
    if (owner === null) queued.push({ report, answer });
    else take(owner, report, answer);
  };
  const take = (by: Owner, report: Report, answer: (answer: ReportAnswer) => void): void => {
    const before = by.surplus;
    answer(by.onReport(report));
    if (by.surplus > before) surplus++;
  };
  const commandsOf = (from: () => Owner | null): WorkerApi => ({
    command: (addr, token, session, orders) =>
      new Promise<CommandReply>((resolve, reject) => {
        const asker = from();
        const heard = (act: () => void) => (): void => {
          if (owner === asker) act();
        };
        clock.after(
          ANSWER_LIMIT_MS,
          heard(() => reject(new CallError("unanswered", "timeout"))),
        );
        if (random() < LOST) return;
        clock.after(latenessMs(random, slow.has(addr)), () => {
          const reply = hosts.get(addr)!.command(token, session, orders);
          if (random() < LOST) return;
          clock.after(
            latenessMs(random, slow.has(addr)),
            heard(() => resolve(reply)),
          );
        });
      }),
  });
  for (let i = 0; i < MACHINES; i++) {
    const host = `i-${i}`;
    hosts.set(host, new Worker(host, { type: "m", zone: "a", spot: false }, { cpus: 16, gpus: 0, ram: 64 }, world));
  }
  const begin = (term: number): void => {
    const next: Owner = new Owner(
      term,
      clock,
      hosts.values(),
      done,
      commandsOf(() => next),
      errors,
    );
    owner = next;
    for (const { report, answer } of queued.splice(0).sort(() => random() - 0.5)) take(next, report, answer);
  };
  const end = (): void => {
    owner?.scope.close();
    owner = null;
  };
  const slowDown = (): void => {
    const chosen = [...hosts.keys()].sort(() => random() - 0.5).slice(0, SLOW_MACHINES);
    for (const host of chosen) slow.add(host);
    clock.after(SLOW_FOR_MS, () => chosen.forEach((host) => slow.delete(host)));
  };
  begin(1);
  for (let i = 1; i <= TAKEOVERS; i++) {
    const at = (SECONDS / (TAKEOVERS + 1)) * (i + random() * 0.3) * 1000;
    for (let n = 0; n < STOPS; n++) clock.after(at - GONE_BEFORE_MS - random() * STOPS_BEFORE_MS, () => owner?.preempt(random));
    clock.after(at - SLOW_BEFORE_MS, slowDown);
    clock.after(at - random() * GONE_BEFORE_MS, end);
    clock.after(at, () => begin(i + 1));
  }
  for (let at = 0; at < SECONDS * 1000; at += 250) {
    clock.after(at, () => {
      owner?.look();
    });
  }
  await clock.run(SECONDS * 1000);
  (owner as Owner | null)?.scope.close();
  for (const worker of hosts.values()) worker.die();
  const broken = brokenRules(history, { cancelMs: Infinity, teams: new Map() });
  return { broken: [...broken, ...errors], surplus, started: history.filter(({ kind }) => kind === "on").length };
}
