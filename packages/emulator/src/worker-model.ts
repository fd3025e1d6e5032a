import type { Offer } from "@thorntrail/protocol/cloud";
import type { JobSpec } from "@thorntrail/protocol/jobs";
import type { CommandReply, Order, Report, ReportAnswer, ReportedTask } from "@thorntrail/protocol/worker";
import type { ModelClock } from "./cloud-model.js";

/** What a worker model depends on, for virtual time and real sockets alike. */
export interface WorkerWorld {
  clock: ModelClock;
  reportMs: number;
  leaseMs: number;
  gangPeerMs: number;
  gangWaitMs: number;
  luck: () => number;
  nodes: readonly string[];
  /** Sends a report to a controller; null if no response arrived. */
  report: (node: string, host: string, report: Report) => Promise<ReportAnswer | null>;
  spec: (ref: string) => JobSpec | undefined;
  /** Actual run time of a job's tasks in ms, on a machine of normal speed. */
  runMs: (ref: string) => number;
  fetchMs: (ref: string) => number;
  /** Factor on the run time of tasks on the machine. */
  slowness: (host: string) => number;
  sick: (host: string, ref: string) => boolean;
  /** Checkpointed progress in ms of run time, which survives the loss of machines; by task, or by job for gangs. */
  saved: Map<string, number>;
  on: (worker: Worker, piece: string) => void;
  off: (worker: Worker, piece: string, cause: string) => void;
  /** All present members of an attempt of a gang, across all machines. */
  mates: (ref: string, attempt: number) => { worker: Worker; task: WorkerTask }[];
}

/** A task on a worker, with what the worker keeps beyond what it reports. Times in ms of the clock. */
export interface WorkerTask extends ReportedTask {
  ref: string;
  /** When the current state began. */
  since: number;
  hadImage: boolean;
  /** Run time completed when the task began to run, in ms. */
  before: number;
  /** When the first `stop` for it arrived; null if none has. */
  stoppedAt: number | null;
  /** Since when a member of its gang is missing; null if none is. */
  missedAt: number | null;
}

const ANSWER_LIMIT = 4000;
const RETRY_MS = 1000;
const LEAST_GAP_MS = 500;
/**
 * Interval at which a member of a gang checks the others, in ms. In gangs with more than GANG_LOOKERS members each
 * checks less often, because any member's check covers all.
 */
const GANG_LOOK_MS = 100;
const GANG_LOOKERS = 16;

/** A worker that implements the protocol exactly: tokens, sessions, leases, gangs, checkpoints. */
export class Worker {
  session = 1;
  seq = 0;
  token = 0;
  dead = false;
  private hung = false;
  readonly tasks = new Map<string, WorkerTask>();
  /** Address on which it listens. */
  addr: string;
  private readonly images = new Set<string>();
  private leaseFrom: number;
  private node: number;
  private changed = false;
  private cancelTick: () => void = () => undefined;
  private cancelReport: () => void = () => undefined;
  private nudge: () => void = () => undefined;
  notice: number | null = null;

  constructor(
    readonly host: string,
    readonly offer: Offer,
    private readonly room: { cpus: number; gpus: number; ram: number },
    private readonly world: WorkerWorld,
  ) {
    this.addr = host;
    this.leaseFrom = world.clock.now();
    this.node = Math.floor(world.luck() * world.nodes.length);
    void this.loop();
    this.arm();
  }

  /** The controller that it currently reports to. */
  get reportsTo(): string {
    return this.world.nodes[this.node]!;
  }

  get hanging(): boolean {
    return this.hung;
  }

  set hanging(on: boolean) {
    this.hung = on;
    if (!on) this.look();
  }

  /** The machine disappears with everything on it. */
  die(): void {
    this.dead = true;
    this.cancelTick();
    this.cancelReport();
    for (const task of this.tasks.values()) this.keepCheckpoint(task);
    this.killAll("gone");
  }

  snapshot(): Report {
    this.seq++;
    return {
      host: this.host,
      addr: this.addr,
      type: this.offer.type,
      zone: this.offer.zone,
      spot: this.offer.spot,
      session: this.session,
      seq: this.seq,
      token: this.token,
      noticeS: this.notice,
      tasks: [...this.tasks.values()].map(({ piece, attempt, state, cause, saved }) => ({ piece, attempt, state, cause, saved })),
    };
  }

  /** Announces that the cloud removes the machine in this many seconds. */
  warn(seconds: number): void {
    this.notice = seconds;
    this.mark();
  }

  private mark(): void {
    this.changed = true;
    this.nudge();
  }

  /** Waits until the next report is due: at the interval, or at the minimum gap after a change. */
  private turn(began: number, pause: number): Promise<void> {
    const { clock } = this.world;
    return new Promise((resolve) => {
      const done = (): void => {
        this.cancelReport();
        this.nudge = () => undefined;
        resolve();
      };
      const wait = (): void => {
        const passed = clock.now() - began;
        const left = (this.changed ? Math.min(pause, LEAST_GAP_MS) : pause) - passed;
        this.cancelReport();
        if (left <= 0) done();
        else this.cancelReport = clock.after(left, done);
      };
      this.nudge = wait;
      wait();
    });
  }

  private async loop(): Promise<void> {
    const { clock, reportMs, luck } = this.world;
    while (!this.dead) {
      await this.turn(clock.now(), reportMs * (0.75 + luck() / 2));
      if (this.dead) return;
      if (this.hung) continue;
      this.changed = false;
      const report = this.snapshot();
      const sentAt = clock.now();
      const { session } = this;
      const answer = await new Promise<ReportAnswer | null>((resolve) => {
        const cancel = clock.after(ANSWER_LIMIT, () => resolve(null));
        void this.world.report(this.world.nodes[this.node]!, this.host, report).then((said) => {
          cancel();
          resolve(said);
        });
      });
      if (this.dead) return;
      if (
        answer === null ||
        answer.kind === "silent" ||
        (answer.kind === "elsewhere" && (answer.boss === null || !this.world.nodes.includes(answer.boss)))
      ) {
        await new Promise<void>((resolve) => clock.after(RETRY_MS, resolve));
        this.node = (this.node + 1) % this.world.nodes.length;
        this.changed = true;
      } else if (answer.kind === "elsewhere") {
        const next = this.world.nodes.indexOf(answer.boss!);
        if (next === this.node) await new Promise<void>((resolve) => clock.after(RETRY_MS, resolve));
        this.node = next === this.node ? (this.node + 1) % this.world.nodes.length : next;
        this.changed = true;
      } else {
        // Stale responses are dropped: they neither issue commands nor renew the lease.
        if (answer.token < this.token || session !== this.session || clock.now() - sentAt > ANSWER_LIMIT) continue;
        this.token = answer.token;
        this.leaseFrom = sentAt;
        this.execute(answer.orders);
      }
    }
  }

  /** Executes direct commands, which do not renew the lease. */
  command(token: number, session: number, orders: Order[]): CommandReply {
    const executed = token >= this.token && session === this.session;
    if (executed) {
      if (token > this.token) this.mark();
      this.token = token;
      this.execute(orders);
    }
    return { executed, report: this.snapshot() };
  }

  private exit(task: WorkerTask, cause: ReportedTask["cause"], saved = false): void {
    const wasOn = task.hadImage && task.state !== "exited";
    task.state = "exited";
    task.cause = cause;
    task.saved = saved;
    if (wasOn) this.world.off(this, task.piece, cause ?? "");
    this.mark();
  }

  private execute(orders: Order[]): void {
    for (const order of orders) {
      const key = `${order.piece}#${order.attempt}`;
      const task = this.tasks.get(key);
      if (order.verb === "clear") {
        if (task?.state === "exited") this.tasks.delete(key);
      } else if (order.verb === "stop") {
        if (task !== undefined && task.state !== "exited") this.stop(task, order.graceS);
      } else if (task === undefined) this.begin(order.piece, order.attempt);
    }
    this.look();
  }

  private stop(task: WorkerTask, graceS: number): void {
    const spec = this.world.spec(task.ref);
    if (task.state === "saving") {
      if (graceS === 0) this.exit(task, "stopped");
      return;
    }
    const saves = task.state === "running" && (spec?.checkpointS ?? 0) > 0 && graceS >= (spec?.flushS ?? 0);
    if (!saves) return this.exit(task, "stopped");
    // Progress ends with the stop command.
    task.before = this.progress(task);
    task.state = "saving";
    task.since = task.stoppedAt = this.world.clock.now();
    this.mark();
  }

  private begin(piece: string, attempt: number): void {
    const ref = piece.slice(0, piece.lastIndexOf("/"));
    const spec = this.world.spec(ref);
    const task: WorkerTask = {
      piece,
      attempt,
      ref,
      state: "fetching",
      cause: null,
      saved: false,
      since: this.world.clock.now(),
      hadImage: false,
      before: 0,
      stoppedAt: null,
      missedAt: null,
    };
    this.tasks.set(`${piece}#${attempt}`, task);
    this.mark();
    if (spec === undefined) return this.exit(task, "no_such");
    const live = [...this.tasks.values()].filter((t) => t !== task && t.state !== "exited");
    if (live.some((t) => t.piece === piece)) return this.exit(task, "busy");
    const used = { cpus: spec.cpus, gpus: spec.gpus, ram: spec.ram };
    for (const other of live) {
      const s = this.world.spec(other.ref)!;
      used.cpus += s.cpus;
      used.gpus += s.gpus;
      used.ram += s.ram;
    }
    const { cpus, gpus, ram } = this.room;
    if (used.cpus > cpus + 1e-6 || used.gpus > gpus + 1e-6 || used.ram > ram + 1e-6) this.exit(task, "no_room");
  }

  killAll(cause: string): void {
    for (const task of this.tasks.values()) {
      if (task.hadImage && task.state !== "exited") this.world.off(this, task.piece, cause);
      task.state = "exited";
    }
    this.tasks.clear();
  }

  // Updates over time

  private savedKey(task: WorkerTask): string {
    return this.isGang(task) ? task.ref : task.piece;
  }

  private isGang(task: WorkerTask): boolean {
    const spec = this.world.spec(task.ref);
    return spec?.kind === "gang" && spec.tasks > 1;
  }

  /** Run time completed, in ms on a machine of normal speed. */
  private progress(task: WorkerTask): number {
    if (task.state !== "running") return task.before;
    return task.before + (this.world.clock.now() - task.since) / this.paceOf(task);
  }

  /** A gang runs at the speed of its slowest machine. */
  private paceOf(task: WorkerTask): number {
    if (!this.isGang(task)) return this.world.slowness(this.host);
    return Math.max(1, ...this.world.mates(task.ref, task.attempt).map(({ worker }) => this.world.slowness(worker.host)));
  }

  /** Records the last periodic checkpoint of a task that ends without saving. */
  private keepCheckpoint(task: WorkerTask): void {
    const stepMs = (this.world.spec(task.ref)?.checkpointS ?? 0) * 1000;
    if (stepMs > 0 && task.hadImage) this.keep(task, Math.floor(this.progress(task) / stepMs) * stepMs);
  }

  private keep(task: WorkerTask, ms: number): void {
    const key = this.savedKey(task);
    this.world.saved.set(key, Math.max(ms, this.world.saved.get(key) ?? 0));
  }

  /** Schedules the next update: the earliest time at which a state can change without a command. */
  private arm(): void {
    this.cancelTick();
    if (this.dead) return;
    const { clock, leaseMs } = this.world;
    const now = clock.now();
    let next = this.leaseFrom + leaseMs + 1;
    if (!this.hung) {
      for (const task of this.tasks.values()) {
        if (task.state === "exited") continue;
        if (task.state === "fetching") next = Math.min(next, this.imageAt(task));
        else if (this.isGang(task)) next = Math.min(next, now + this.gangLookMs(task));
        else if (task.state === "saving") next = Math.min(next, task.since + this.world.spec(task.ref)!.flushS * 1000);
        else if (this.world.spec(task.ref)?.kind !== "service") next = Math.min(next, now + this.leftMs(task));
      }
    }
    this.cancelTick = clock.after(Math.max(1, next - now), () => this.look());
  }

  private gangLookMs(task: WorkerTask): number {
    const members = this.world.spec(task.ref)!.tasks;
    // More often than the time within which a missing member has to be detected.
    return Math.min(GANG_LOOK_MS * Math.max(1, members / GANG_LOOKERS), this.world.gangPeerMs / 2);
  }

  private imageAt(task: WorkerTask): number {
    const image = this.world.spec(task.ref)?.image;
    return image === undefined || this.images.has(image) ? 0 : task.since + this.world.fetchMs(task.ref);
  }

  private leftMs(task: WorkerTask): number {
    return (this.world.runMs(task.ref) - this.progress(task)) * this.paceOf(task);
  }

  look(): void {
    if (this.dead) return;
    const { clock, leaseMs } = this.world;
    if (clock.now() - this.leaseFrom > leaseMs) {
      for (const task of this.tasks.values()) this.keepCheckpoint(task);
      this.killAll("lease");
      this.session++;
      this.leaseFrom = clock.now();
      this.mark();
    }
    if (!this.hung) {
      for (const task of [...this.tasks.values()]) {
        if (task.state === "fetching") this.fetched(task);
        if (task.state === "gathering") this.gathered(task);
        else if (task.state === "running") this.ran(task);
        else if (task.state === "saving") this.saves(task);
      }
    }
    this.arm();
  }

  private fetched(task: WorkerTask): void {
    const spec = this.world.spec(task.ref)!;
    const { clock } = this.world;
    if (clock.now() < this.imageAt(task)) return;
    this.images.add(spec.image);
    task.hadImage = true;
    this.world.on(this, task.piece);
    task.since = clock.now();
    task.before = this.world.saved.get(this.savedKey(task)) ?? 0;
    task.state = this.isGang(task) ? "gathering" : "running";
    this.mark();
    if (this.world.sick(this.host, task.ref)) this.exit(task, "error");
  }

  private gathered(task: WorkerTask): void {
    const spec = this.world.spec(task.ref)!;
    const { clock, gangWaitMs } = this.world;
    const mates = this.world.mates(task.ref, task.attempt);
    if (mates.filter((m) => m.task.state === "gathering" || m.task.state === "running").length < spec.tasks) {
      if (clock.now() - task.since > gangWaitMs) this.exit(task, "alone");
      return;
    }
    const before = this.world.saved.get(task.ref) ?? 0;
    for (const mate of mates) {
      if (mate.task.state !== "gathering") continue;
      Object.assign(mate.task, { state: "running", since: clock.now(), before });
      mate.worker.mark();
    }
  }

  private ran(task: WorkerTask): void {
    const spec = this.world.spec(task.ref)!;
    if (spec.kind === "service") return;
    if (!this.isGang(task)) {
      if (this.leftMs(task) <= 0.5) this.exit(task, "done");
      return;
    }
    const { clock, gangPeerMs } = this.world;
    const mates = this.world.mates(task.ref, task.attempt);
    const there = mates.filter((m) => !m.worker.hung && (m.task.state === "running" || m.task.state === "saving"));
    if (there.length < spec.tasks) {
      // A gang is checkpointed as a whole: the progress saved is that when the first member was found missing.
      if (task.missedAt === null) this.keepCheckpoint(task);
      task.missedAt ??= clock.now();
      if (clock.now() - task.missedAt > gangPeerMs) this.exit(task, "mates_gone");
      return;
    }
    const first = Math.min(...there.map((m) => m.task.stoppedAt ?? Infinity));
    // Other members were stopped, and the stop for this one has not arrived in time.
    if (clock.now() - first > gangPeerMs) return this.exit(task, "mates_gone");
    if (first === Infinity && this.leftMs(task) <= 0.5) for (const mate of there) mate.worker.exit(mate.task, "done");
  }

  private saves(task: WorkerTask): void {
    const spec = this.world.spec(task.ref)!;
    const { clock, gangPeerMs } = this.world;
    if (clock.now() - task.since < spec.flushS * 1000) return;
    if (!this.isGang(task)) {
      this.keep(task, task.before);
      return this.exit(task, "stopped", true);
    }
    const mates = this.world.mates(task.ref, task.attempt);
    const told = mates.filter((m) => m.task.stoppedAt !== null);
    const first = Math.min(...told.map((m) => m.task.stoppedAt!));
    if (told.length >= spec.tasks) {
      this.keep(task, Math.min(...told.map((m) => m.task.before)));
      return this.exit(task, "stopped", true);
    }
    if (clock.now() - first > gangPeerMs) this.exit(task, "mates_gone");
  }
}

/**
 * Starts some running task on a second machine in violation of the protocol, to test that this is detected. Returns the
 * task's id, or null if there is none to start.
 */
export function startTwice(workers: Iterable<Worker>): string | null {
  const up = [...workers].filter((worker) => !worker.dead && !worker.hanging);
  for (const first of up) {
    for (const { piece, state, attempt } of first.tasks.values()) {
      if (state !== "running") continue;
      for (const second of up) {
        if (second === first) continue;
        const { report } = second.command(second.token, second.session, [{ verb: "start", piece, attempt: attempt + 1 }]);
        if (report.tasks.some((task) => task.piece === piece && task.state !== "exited")) return piece;
      }
    }
  }
  return null;
}
