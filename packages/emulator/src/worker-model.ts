/** Model of a worker, for virtual time and for real sockets. */
import type { MachineOffering } from "@thorntrail/protocol/cloud";
import type { JobSpec } from "@thorntrail/protocol/jobs";
import type { CommandReply, Order, Report, ReportAnswer, ReportedTask } from "@thorntrail/protocol/worker";
import type { MonotonicClock } from "./cloud-model.js";

/** Clock, protocol times, network and job data that a worker model is given. */
export interface WorkerDependencies {
  clock: MonotonicClock;
  reportMs: number;
  leaseMs: number;
  gangPeerMs: number;
  gangWaitMs: number;
  random: () => number;
  nodes: readonly string[];
  /** Sends a report to a controller; null if no response arrived. */
  report: (node: string, host: string, report: Report) => Promise<ReportAnswer | null>;
  spec: (ref: string) => JobSpec | undefined;
  /** Actual run time of a job's tasks in ms, on a machine of normal speed. */
  runMs: (ref: string) => number;
  fetchMs: (ref: string) => number;
  /** Returns the factor by which tasks run longer on this machine. */
  slowdown: (host: string) => number;
  failsTasks: (host: string, ref: string) => boolean;
  /** Checkpointed progress in ms of run time, which survives the loss of machines; by task, or by job for gangs. */
  savedProgress: Map<string, number>;
  onTaskStarted: (worker: Worker, taskId: string) => void;
  onTaskEnded: (worker: Worker, taskId: string, cause: string) => void;
  /** Returns the tasks of one attempt of a gang that any worker still lists, each with its worker. */
  gangMembers: (ref: string, attempt: number) => { worker: Worker; task: WorkerTask }[];
}

/** A task on a worker: the fields that the worker reports and those that it keeps to itself. Times are in ms of the clock. */
export interface WorkerTask extends ReportedTask {
  ref: string;
  /** When the current state began. */
  stateSince: number;
  imageReady: boolean;
  /** Run time completed when the current state began, in ms. */
  progressAtStateStart: number;
  /** When the first `stop` command for the task arrived; null if none has. */
  stopReceivedAt: number | null;
  /** When another member of the task's gang was first found missing; null if none has been. */
  memberMissingSince: number | null;
}

const RESPONSE_TIMEOUT_MS = 4000;
const RETRY_MS = 1000;
const MIN_REPORT_GAP_MS = 500;
/**
 * Interval at which a member of a gang checks the others, in ms. In gangs with more than GANG_CHECKING_MEMBERS members each
 * checks less often, because the check of any one member starts or completes the whole gang.
 */
const GANG_CHECK_MS = 100;
const GANG_CHECKING_MEMBERS = 16;

/** A worker that implements the worker protocol exactly: tokens, sessions, leases, gangs, checkpoints. */
export class Worker {
  session = 1;
  seq = 0;
  token = 0;
  removed = false;
  private isHung = false;
  readonly tasks = new Map<string, WorkerTask>();
  /** Address on which the worker listens. */
  addr: string;
  private readonly images = new Set<string>();
  private leaseRenewedAt: number;
  /** When a higher token was last counted as a change to report. */
  private tokenReportedAt = -Infinity;
  private nodeIndex: number;
  private changed = false;
  private cancelUpdate: () => void = () => undefined;
  private cancelReport: () => void = () => undefined;
  private rescheduleReport: () => void = () => undefined;
  removalNoticeS: number | null = null;

  constructor(
    readonly host: string,
    readonly offer: MachineOffering,
    private readonly capacity: { cpus: number; gpus: number; ram: number },
    private readonly dependencies: WorkerDependencies,
  ) {
    this.addr = host;
    this.leaseRenewedAt = dependencies.clock.now();
    this.nodeIndex = Math.floor(dependencies.random() * dependencies.nodes.length);
    void this.reportLoop();
    this.scheduleUpdate();
  }

  /** The controller that the worker currently reports to. */
  get reportsTo(): string {
    return this.dependencies.nodes[this.nodeIndex]!;
  }

  get hanging(): boolean {
    return this.isHung;
  }

  set hanging(on: boolean) {
    this.isHung = on;
    if (!on) this.update();
  }

  /** Removes the machine with everything on it. */
  remove(): void {
    this.removed = true;
    this.cancelUpdate();
    this.cancelReport();
    for (const task of this.tasks.values()) this.saveLastCheckpoint(task);
    this.endAllTasks("gone");
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
      noticeS: this.removalNoticeS,
      tasks: [...this.tasks.values()].map(({ taskId, attempt, state, cause, saved }) => ({ taskId, attempt, state, cause, saved })),
    };
  }

  /** Records the cloud's notice that it removes the machine in this many seconds; the next report contains it. */
  announceRemoval(seconds: number): void {
    this.removalNoticeS = seconds;
    this.markChanged();
  }

  private markChanged(): void {
    this.changed = true;
    this.rescheduleReport();
  }

  /** Waits until the next report is due: after the interval, or after the minimum gap if something has changed. */
  private waitForNextReport(startedAt: number, intervalMs: number): Promise<void> {
    const { clock } = this.dependencies;
    return new Promise((resolve) => {
      const done = (): void => {
        this.cancelReport();
        this.rescheduleReport = () => undefined;
        resolve();
      };
      const schedule = (): void => {
        const passed = clock.now() - startedAt;
        const left = (this.changed ? Math.min(intervalMs, MIN_REPORT_GAP_MS) : intervalMs) - passed;
        this.cancelReport();
        if (left <= 0) done();
        else this.cancelReport = clock.after(left, done);
      };
      this.rescheduleReport = schedule;
      schedule();
    });
  }

  private async reportLoop(): Promise<void> {
    const { clock, reportMs, random } = this.dependencies;
    while (!this.removed) {
      await this.waitForNextReport(clock.now(), reportMs * (0.75 + random() / 2));
      if (this.removed) return;
      if (this.isHung) continue;
      this.changed = false;
      const report = this.snapshot();
      const sentAt = clock.now();
      const { session } = this;
      const answer = await new Promise<ReportAnswer | null>((resolve) => {
        const cancel = clock.after(RESPONSE_TIMEOUT_MS, () => resolve(null));
        void this.dependencies.report(this.dependencies.nodes[this.nodeIndex]!, this.host, report).then((response) => {
          cancel();
          resolve(response);
        });
      });
      if (this.removed) return;
      if (
        answer === null ||
        answer.kind === "silent" ||
        (answer.kind === "elsewhere" && (answer.boss === null || !this.dependencies.nodes.includes(answer.boss)))
      ) {
        await new Promise<void>((resolve) => clock.after(RETRY_MS, resolve));
        this.nodeIndex = (this.nodeIndex + 1) % this.dependencies.nodes.length;
        this.changed = true;
      } else if (answer.kind === "elsewhere") {
        const next = this.dependencies.nodes.indexOf(answer.boss!);
        if (next === this.nodeIndex) await new Promise<void>((resolve) => clock.after(RETRY_MS, resolve));
        this.nodeIndex = next === this.nodeIndex ? (this.nodeIndex + 1) % this.dependencies.nodes.length : next;
        this.changed = true;
      } else {
        // Stale responses are dropped: they neither issue commands nor renew the lease.
        if (answer.token < this.token || session !== this.session || clock.now() - sentAt > RESPONSE_TIMEOUT_MS) continue;
        this.acceptToken(answer.token);
        this.leaseRenewedAt = sentAt;
        this.execute(answer.orders);
      }
    }
  }

  /** Executes commands that a controller sends in a request of its own, not in response to a report. They do not renew the lease. */
  command(token: number, session: number, orders: Order[]): CommandReply {
    const executed = token >= this.token && session === this.session;
    if (executed) {
      this.acceptToken(token);
      this.execute(orders);
    }
    return { executed, report: this.snapshot() };
  }

  /** Takes over a token that is not lower than its own. A higher one is reported as a change at most twice per lease. */
  private acceptToken(token: number): void {
    const now = this.dependencies.clock.now();
    if (token > this.token && now - this.tokenReportedAt >= this.dependencies.leaseMs / 2) {
      this.tokenReportedAt = now;
      this.markChanged();
    }
    this.token = token;
  }

  private exitTask(task: WorkerTask, cause: ReportedTask["cause"], saved = false): void {
    const wasStarted = task.imageReady && task.state !== "exited";
    task.state = "exited";
    task.cause = cause;
    task.saved = saved;
    if (wasStarted) this.dependencies.onTaskEnded(this, task.taskId, cause ?? "");
    this.markChanged();
  }

  private execute(orders: Order[]): void {
    for (const order of orders) {
      const key = `${order.taskId}#${order.attempt}`;
      const task = this.tasks.get(key);
      if (order.verb === "clear") {
        if (task?.state === "exited") this.tasks.delete(key);
      } else if (order.verb === "stop") {
        if (task !== undefined && task.state !== "exited") this.stopTask(task, order.graceS);
      } else if (task === undefined) this.startTask(order.taskId, order.attempt);
    }
    this.update();
  }

  private stopTask(task: WorkerTask, graceS: number): void {
    const spec = this.dependencies.spec(task.ref);
    if (task.state === "saving") {
      if (graceS === 0) this.exitTask(task, "stopped");
      return;
    }
    const canSave = task.state === "running" && (spec?.checkpointS ?? 0) > 0 && graceS >= (spec?.flushS ?? 0);
    if (!canSave) return this.exitTask(task, "stopped");
    // The task makes no progress after the stop command.
    task.progressAtStateStart = this.progressOf(task);
    task.state = "saving";
    task.stateSince = task.stopReceivedAt = this.dependencies.clock.now();
    this.markChanged();
  }

  private startTask(taskId: string, attempt: number): void {
    const ref = taskId.slice(0, taskId.lastIndexOf("/"));
    const spec = this.dependencies.spec(ref);
    const task: WorkerTask = {
      taskId,
      attempt,
      ref,
      state: "fetching",
      cause: null,
      saved: false,
      stateSince: this.dependencies.clock.now(),
      imageReady: false,
      progressAtStateStart: 0,
      stopReceivedAt: null,
      memberMissingSince: null,
    };
    this.tasks.set(`${taskId}#${attempt}`, task);
    this.markChanged();
    if (spec === undefined) return this.exitTask(task, "no_such");
    const activeTasks = [...this.tasks.values()].filter((t) => t !== task && t.state !== "exited");
    if (activeTasks.some((t) => t.taskId === taskId)) return this.exitTask(task, "busy");
    const used = { cpus: spec.cpus, gpus: spec.gpus, ram: spec.ram };
    for (const other of activeTasks) {
      const s = this.dependencies.spec(other.ref)!;
      used.cpus += s.cpus;
      used.gpus += s.gpus;
      used.ram += s.ram;
    }
    const { cpus, gpus, ram } = this.capacity;
    if (used.cpus > cpus + 1e-6 || used.gpus > gpus + 1e-6 || used.ram > ram + 1e-6) this.exitTask(task, "no_room");
  }

  endAllTasks(cause: string): void {
    for (const task of this.tasks.values()) {
      if (task.imageReady && task.state !== "exited") this.dependencies.onTaskEnded(this, task.taskId, cause);
      task.state = "exited";
    }
    this.tasks.clear();
  }

  // State changes that follow from the passage of time

  private progressKey(task: WorkerTask): string {
    return this.isGang(task) ? task.ref : task.taskId;
  }

  private isGang(task: WorkerTask): boolean {
    const spec = this.dependencies.spec(task.ref);
    return spec?.kind === "gang" && spec.tasks > 1;
  }

  /** Run time that the task has completed, in ms on a machine of normal speed. */
  private progressOf(task: WorkerTask): number {
    if (task.state !== "running") return task.progressAtStateStart;
    return task.progressAtStateStart + (this.dependencies.clock.now() - task.stateSince) / this.slowdownOf(task);
  }

  /** Factor by which the task runs longer than on a machine of normal speed. A gang runs at the speed of its slowest machine. */
  private slowdownOf(task: WorkerTask): number {
    if (!this.isGang(task)) return this.dependencies.slowdown(this.host);
    return Math.max(
      1,
      ...this.dependencies.gangMembers(task.ref, task.attempt).map(({ worker }) => this.dependencies.slowdown(worker.host)),
    );
  }

  /** Records the last periodic checkpoint of a task that ends without saving. */
  private saveLastCheckpoint(task: WorkerTask): void {
    const stepMs = (this.dependencies.spec(task.ref)?.checkpointS ?? 0) * 1000;
    if (stepMs > 0 && task.imageReady) this.saveProgress(task, Math.floor(this.progressOf(task) / stepMs) * stepMs);
  }

  private saveProgress(task: WorkerTask, ms: number): void {
    const key = this.progressKey(task);
    this.dependencies.savedProgress.set(key, Math.max(ms, this.dependencies.savedProgress.get(key) ?? 0));
  }

  /** Schedules the next update: the earliest time at which a state can change without a command. */
  private scheduleUpdate(): void {
    this.cancelUpdate();
    if (this.removed) return;
    const { clock, leaseMs } = this.dependencies;
    const now = clock.now();
    let next = this.leaseRenewedAt + leaseMs + 1;
    if (!this.isHung) {
      for (const task of this.tasks.values()) {
        if (task.state === "exited") continue;
        if (task.state === "fetching") next = Math.min(next, this.imageReadyAt(task));
        else if (this.isGang(task)) next = Math.min(next, now + this.gangCheckMs(task));
        else if (task.state === "saving") next = Math.min(next, task.stateSince + this.dependencies.spec(task.ref)!.flushS * 1000);
        else if (this.dependencies.spec(task.ref)?.kind !== "service") next = Math.min(next, now + this.remainingMs(task));
      }
    }
    this.cancelUpdate = clock.after(Math.max(1, next - now), () => this.update());
  }

  private gangCheckMs(task: WorkerTask): number {
    const members = this.dependencies.spec(task.ref)!.tasks;
    // At least twice within `gangPeerMs`, the time within which a missing member has to be detected.
    return Math.min(GANG_CHECK_MS * Math.max(1, members / GANG_CHECKING_MEMBERS), this.dependencies.gangPeerMs / 2);
  }

  private imageReadyAt(task: WorkerTask): number {
    const image = this.dependencies.spec(task.ref)?.image;
    return image === undefined || this.images.has(image) ? 0 : task.stateSince + this.dependencies.fetchMs(task.ref);
  }

  private remainingMs(task: WorkerTask): number {
    return (this.dependencies.runMs(task.ref) - this.progressOf(task)) * this.slowdownOf(task);
  }

  update(): void {
    if (this.removed) return;
    const { clock, leaseMs } = this.dependencies;
    if (clock.now() - this.leaseRenewedAt > leaseMs) {
      for (const task of this.tasks.values()) this.saveLastCheckpoint(task);
      this.endAllTasks("lease");
      this.session++;
      this.leaseRenewedAt = clock.now();
      this.markChanged();
    }
    if (!this.isHung) {
      for (const task of [...this.tasks.values()]) {
        if (task.state === "fetching") this.updateFetching(task);
        if (task.state === "gathering") this.updateGathering(task);
        else if (task.state === "running") this.updateRunning(task);
        else if (task.state === "saving") this.updateSaving(task);
      }
    }
    this.scheduleUpdate();
  }

  private updateFetching(task: WorkerTask): void {
    const spec = this.dependencies.spec(task.ref)!;
    const { clock } = this.dependencies;
    if (clock.now() < this.imageReadyAt(task)) return;
    this.images.add(spec.image);
    task.imageReady = true;
    this.dependencies.onTaskStarted(this, task.taskId);
    task.stateSince = clock.now();
    task.progressAtStateStart = this.dependencies.savedProgress.get(this.progressKey(task)) ?? 0;
    task.state = this.isGang(task) ? "gathering" : "running";
    this.markChanged();
    if (this.dependencies.failsTasks(this.host, task.ref)) this.exitTask(task, "error");
  }

  private updateGathering(task: WorkerTask): void {
    const spec = this.dependencies.spec(task.ref)!;
    const { clock, gangWaitMs } = this.dependencies;
    const members = this.dependencies.gangMembers(task.ref, task.attempt);
    if (members.filter((m) => m.task.state === "gathering" || m.task.state === "running").length < spec.tasks) {
      if (clock.now() - task.stateSince > gangWaitMs) this.exitTask(task, "alone");
      return;
    }
    const savedProgress = this.dependencies.savedProgress.get(task.ref) ?? 0;
    for (const member of members) {
      if (member.task.state !== "gathering") continue;
      Object.assign(member.task, { state: "running", stateSince: clock.now(), progressAtStateStart: savedProgress });
      member.worker.markChanged();
    }
  }

  private updateRunning(task: WorkerTask): void {
    const spec = this.dependencies.spec(task.ref)!;
    if (spec.kind === "service") return;
    if (!this.isGang(task)) {
      if (this.remainingMs(task) <= 0.5) this.exitTask(task, "done");
      return;
    }
    const { clock, gangPeerMs } = this.dependencies;
    const members = this.dependencies.gangMembers(task.ref, task.attempt);
    const activeMembers = members.filter((m) => !m.worker.isHung && (m.task.state === "running" || m.task.state === "saving"));
    if (activeMembers.length < spec.tasks) {
      // A gang is checkpointed as a whole, so its last checkpoint is the one before a member was first found missing.
      if (task.memberMissingSince === null) this.saveLastCheckpoint(task);
      task.memberMissingSince ??= clock.now();
      if (clock.now() - task.memberMissingSince > gangPeerMs) this.exitTask(task, "mates_gone");
      return;
    }
    const firstStopAt = Math.min(...activeMembers.map((m) => m.task.stopReceivedAt ?? Infinity));
    // Another member received a stop command, and this one has received none within `gangPeerMs` after it.
    if (clock.now() - firstStopAt > gangPeerMs) return this.exitTask(task, "mates_gone");
    if (firstStopAt === Infinity && this.remainingMs(task) <= 0.5)
      for (const member of activeMembers) member.worker.exitTask(member.task, "done");
  }

  private updateSaving(task: WorkerTask): void {
    const spec = this.dependencies.spec(task.ref)!;
    const { clock, gangPeerMs } = this.dependencies;
    if (clock.now() - task.stateSince < spec.flushS * 1000) return;
    if (!this.isGang(task)) {
      this.saveProgress(task, task.progressAtStateStart);
      return this.exitTask(task, "stopped", true);
    }
    const members = this.dependencies.gangMembers(task.ref, task.attempt);
    const stopped = members.filter((m) => m.task.stopReceivedAt !== null);
    const firstStopAt = Math.min(...stopped.map((m) => m.task.stopReceivedAt!));
    if (stopped.length >= spec.tasks) {
      this.saveProgress(task, Math.min(...stopped.map((m) => m.task.progressAtStateStart)));
      return this.exitTask(task, "stopped", true);
    }
    if (clock.now() - firstStopAt > gangPeerMs) this.exitTask(task, "mates_gone");
  }
}

/**
 * Starts some running task on a second machine in violation of the protocol, to test that this is detected. Returns the
 * task's id, or null if there is none to start.
 */
export function startDuplicate(workers: Iterable<Worker>): string | null {
  const running = [...workers].filter((worker) => !worker.removed && !worker.hanging);
  for (const first of running) {
    for (const { taskId, state, attempt } of first.tasks.values()) {
      if (state !== "running") continue;
      for (const second of running) {
        if (second === first) continue;
        const { report } = second.command(second.token, second.session, [{ verb: "start", taskId, attempt: attempt + 1 }]);
        if (report.tasks.some((task) => task.taskId === taskId && task.state !== "exited")) return taskId;
      }
    }
  }
  return null;
}
