import type { Offer } from "@thorntrail/protocol/cloud";
import type { JobSpec } from "@thorntrail/protocol/jobs";
import type { ReportAnswer, CommandReply, Order, Report, ReportedTask } from "@thorntrail/protocol/worker";
import type { VirtualClock } from "./virtual-clock.js";

export interface WorkerWorld {
  clock: VirtualClock;
  reportMs: number;
  leaseMs: number;
  gangPeerMs: number;
  luck: () => number;
  nodes: string[];
  /** A report to a node; null: no answer came. */
  report: (node: string, host: string, report: Report) => Promise<ReportAnswer | null>;
  spec: (ref: string) => JobSpec | undefined;
  /** True run time of a job's tasks. */
  runMs: (ref: string) => number;
  fetchMs: (ref: string) => number;
  sick: (host: string, ref: string) => boolean;
  on: (worker: Worker, piece: string) => void;
  off: (worker: Worker, piece: string, cause: string) => void;
  /** All present members of a gang's attempt, over all machines. */
  mates: (ref: string, attempt: number) => { worker: Worker; task: WorkerTask }[];
}

export interface WorkerTask extends ReportedTask {
  ref: string;
  since: number;
  hadImage: boolean;
}

const ANSWER_LIMIT = 4000;

/** A worker that keeps the protocol to the letter: tokens, sessions, leases. */
export class Worker {
  session = 1;
  seq = 0;
  token = 0;
  dead = false;
  hanging = false;
  readonly tasks = new Map<string, WorkerTask>();
  private readonly images = new Set<string>();
  private leaseFrom: number;
  private node: number;
  private changed = false;
  notice: number | null = null;

  constructor(
    readonly host: string,
    readonly offer: Offer,
    private readonly room: { cpus: number; gpus: number; ram: number },
    private readonly world: WorkerWorld,
  ) {
    this.leaseFrom = world.clock.now();
    this.node = Math.floor(world.luck() * world.nodes.length);
    void this.loop();
    this.tick();
  }

  snapshot(): Report {
    this.seq++;
    return {
      host: this.host,
      addr: this.host,
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

  private async loop(): Promise<void> {
    const { clock, reportMs, luck } = this.world;
    while (!this.dead) {
      const pause = reportMs * (0.75 + luck() / 2);
      const began = clock.now();
      await new Promise<void>((resolve) => {
        const step = (): void => {
          const passed = clock.now() - began;
          if (this.dead || passed >= pause || (this.changed && passed >= 500)) resolve();
          else clock.after(50, step);
        };
        step();
      });
      if (this.dead || this.hanging) continue;
      this.changed = false;
      const report = this.snapshot();
      const sentAt = clock.now();
      const { session } = this;
      const answer = await Promise.race([
        this.world.report(this.world.nodes[this.node]!, this.host, report),
        new Promise<null>((resolve) => clock.after(ANSWER_LIMIT, () => resolve(null))),
      ]);
      if (this.dead) return;
      if (
        answer === null ||
        answer.kind === "silent" ||
        (answer.kind === "elsewhere" && (answer.boss === null || !this.world.nodes.includes(answer.boss)))
      ) {
        await new Promise<void>((resolve) => clock.after(1000, resolve));
        this.node = (this.node + 1) % this.world.nodes.length;
        this.changed = true;
      } else if (answer.kind === "elsewhere") {
        this.node = this.world.nodes.indexOf(answer.boss!);
        this.changed = true;
      } else {
        if (answer.token < this.token || session !== this.session) continue;
        this.token = answer.token;
        this.leaseFrom = sentAt;
        this.execute(answer.orders);
      }
    }
  }

  /** Direct commands; they do not renew the lease. */
  command(token: number, session: number, orders: Order[]): CommandReply {
    const executed = token >= this.token && session === this.session;
    if (executed) {
      if (token > this.token) this.changed = true;
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
    this.changed = true;
    if (wasOn) this.world.off(this, task.piece, cause ?? "");
  }

  private execute(orders: Order[]): void {
    for (const order of orders) {
      const key = `${order.piece}#${order.attempt}`;
      const task = this.tasks.get(key);
      if (order.verb === "clear") {
        if (task?.state === "exited") this.tasks.delete(key);
      } else if (order.verb === "stop") {
        if (task === undefined || task.state === "exited") continue;
        const spec = this.world.spec(task.ref);
        this.exit(task, "stopped", task.state === "running" && (spec?.checkpointS ?? 0) > 0 && order.graceS >= (spec?.flushS ?? 0));
      } else if (task === undefined) this.begin(order.piece, order.attempt);
    }
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
    };
    this.tasks.set(`${piece}#${attempt}`, task);
    this.changed = true;
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
    if (used.cpus > this.room.cpus + 1e-6 || used.gpus > this.room.gpus + 1e-6 || used.ram > this.room.ram + 1e-6)
      this.exit(task, "no_room");
  }

  killAll(cause: string): void {
    for (const task of this.tasks.values()) {
      if (task.hadImage && task.state !== "exited") this.world.off(this, task.piece, cause);
      task.state = "exited";
    }
    this.tasks.clear();
  }

  private tick(): void {
    const { clock } = this.world;
    if (this.dead) return;
    clock.after(100, () => this.tick());
    if (clock.now() - this.leaseFrom > this.world.leaseMs) {
      this.killAll("lease");
      this.session++;
      this.leaseFrom = clock.now();
      this.changed = true;
    }
    if (this.hanging) return;
    for (const task of [...this.tasks.values()]) {
      if (task.state === "fetching") this.fetched(task);
      else if (task.state === "gathering") this.gathered(task);
      else if (task.state === "running") this.ran(task);
    }
  }

  private fetched(task: WorkerTask): void {
    const spec = this.world.spec(task.ref)!;
    if (!this.images.has(spec.image) && this.world.clock.now() - task.since < this.world.fetchMs(task.ref)) return;
    this.images.add(spec.image);
    task.hadImage = true;
    this.world.on(this, task.piece);
    task.state = spec.kind === "gang" && spec.tasks > 1 ? "gathering" : "running";
    task.since = this.world.clock.now();
    this.changed = true;
    if (this.world.sick(this.host, task.ref)) this.exit(task, "error");
  }

  private gathered(task: WorkerTask): void {
    const spec = this.world.spec(task.ref)!;
    const mates = this.world.mates(task.ref, task.attempt);
    if (mates.filter((m) => m.task.state === "gathering" || m.task.state === "running").length < spec.tasks) return;
    for (const mate of mates) {
      mate.task.state = "running";
      mate.task.since = this.world.clock.now();
      mate.worker.changed = true;
    }
  }

  private ran(task: WorkerTask): void {
    const spec = this.world.spec(task.ref)!;
    const now = this.world.clock.now();
    if (spec.kind === "service") return;
    if (spec.kind === "gang" && spec.tasks > 1) {
      const mates = this.world.mates(task.ref, task.attempt).filter((m) => m.task.state === "running" && !m.worker.hanging);
      if (mates.length < spec.tasks) {
        if (now - task.since > this.world.gangPeerMs) this.exit(task, "mates_gone");
        return;
      }
      if (now - task.since >= this.world.runMs(task.ref)) for (const mate of mates) mate.worker.exit(mate.task, "done");
      return;
    }
    if (now - task.since >= this.world.runMs(task.ref)) this.exit(task, "done");
  }
}
