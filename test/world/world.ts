import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { Subject } from "rxjs";
import { Controller } from "../../src/controller.js";
import type { MachineType } from "@thorntrail/protocol/cloud";
import { NoReply } from "@thorntrail/protocol/errors";
import type { JobSpec } from "@thorntrail/protocol/jobs";
import type { ReportAnswer, CommandReply } from "@thorntrail/protocol/worker";
import type { PeerApi } from "../../src/peers/links.js";
import type { Message } from "../../src/peers/messages.js";
import type { Log } from "../../src/platform/log.js";
import { Scope } from "../../src/platform/scope.js";
import { WatchfulClock } from "../../src/platform/stall.js";
import type { Response } from "../../src/intake/jobs.js";
import type { RequestKind } from "../../src/intake/relay.js";
import { derive } from "../../src/settings/derived.js";
import { checkOperators } from "../../src/settings/operators.js";
import type { PlatformSettings, TeamSettings } from "../../src/settings/platform-file.js";
import type { Happening, Limits } from "./checker.js";
import { CloudService } from "./cloud-service.js";
import { NodeClock } from "./node-clock.js";
import { StateService, type StateLimits } from "./state-service.js";
import { VirtualClock } from "./virtual-clock.js";
import { Worker, type WorkerWorld } from "./worker.js";

export interface Plan {
  seed: number;
  teams: TeamSettings[];
  types: MachineType[];
  capacity: Map<string, number>;
  controllers: number;
  state: StateLimits;
  /** What the settings say of the limits that come later. */
  next: PlatformSettings["deployment"]["state"]["next"];
  sockets?: number;
}

/** Three controllers with usual state limits, and nothing yet for them to do. */
export function plainPlan(): Plan {
  return {
    seed: 1,
    teams: [],
    types: [],
    capacity: new Map(),
    controllers: 3,
    state: { rps: 100, writeRps: 25, valueKb: 32, txnOps: 16 },
    next: {},
  };
}

interface Node {
  name: string;
  controller: Controller | null;
  scope: Scope | null;
  clock: NodeClock | null;
  incoming$: Subject<{ from: string; message: Message }>;
}

/** Something that happens to a controller's process, unless it has ended. */
export type Via = (fn: () => void) => void;

/** How long users wait for an answer (PROTOCOL). */
const PATIENCE_MS = { submit: 5000, poll: 2000, cancel: 5000 };

const quiet: Log = {
  error: () => undefined,
  warn: () => undefined,
  info: () => undefined,
  debug: () => undefined,
  isLevelEnabled: () => false,
};

/** Everything around the controllers, in virtual time, with seeded luck. */
export class World {
  readonly clock = new VirtualClock();
  readonly history: Happening[] = [];
  readonly state: StateService;
  readonly cloud: CloudService;
  readonly nodes = new Map<string, Node>();
  readonly workers = new Map<string, Worker>();
  readonly specs = new Map<string, JobSpec>();
  readonly runs = new Map<string, number>();
  readonly sickHosts = new Set<string>();
  /** Jobs submitted with a mistake: they fail on every machine. */
  readonly mistaken = new Set<string>();
  readonly errors: string[] = [];
  /** What the controllers logged, without its figures. */
  readonly lines: string[] = [];
  /** Pairs that cannot reach each other, as `a|b`; what is sent is held. */
  private readonly cuts = new Set<string>();
  private held: { cut: string; run: () => void }[] = [];
  private readonly luck;
  private lives = 0;
  fetchMs = 1000;

  constructor(readonly plan: Plan) {
    this.luck = xoroshiro128plus(plan.seed);
    this.state = new StateService(this.clock, () => 2 + this.random() * 6, plan.state);
    this.cloud = new CloudService(this.clock, plan.types, plan.capacity, 3000);
    this.cloud.onBoot = (host, offer) => this.boot(host, offer);
    this.cloud.onGone = (host) => {
      const worker = this.workers.get(host);
      if (worker === undefined) return;
      worker.dead = true;
      worker.killAll("gone");
      this.workers.delete(host);
    };
    for (let i = 0, name = "nest-0"; i < plan.controllers; name = `nest-${++i}`)
      this.nodes.set(name, { name, controller: null, scope: null, clock: null, incoming$: new Subject() });
  }

  random(): number {
    return uniformInt(this.luck, 0, 1_000_000) / 1_000_001;
  }

  limits(): Limits {
    return { cancelMs: 43_000, teams: new Map(this.plan.teams.map((t) => [t.name, { cpus: t.cpus_max, gpus: t.gpus_max }])) };
  }

  private settingsOf(name: string): PlatformSettings {
    return {
      host_name: name,
      area: "a",
      front: "127.0.0.1:1",
      peer_listen: "127.0.0.1:1",
      known: [...this.nodes.keys()].filter((n) => n !== name).map((n) => ({ host_name: n, area: "a", peer_addr: "127.0.0.1:1" })),
      endpoints: { cloud: "127.0.0.1:1", state: "127.0.0.1:1" },
      deployment: {
        size: this.nodes.size,
        zones: ["a", "b"],
        clock_off_ms: 1000,
        teams: this.plan.teams,
        objectives: [],
        workers: { report_s: 2.5, lease_s: 18, gang_wait_s: 35, gang_peer_s: 4, cancel_s: 43 },
        state: {
          rps: this.plan.state.rps,
          write_rps: this.plan.state.writeRps,
          value_kb: this.plan.state.valueKb,
          txn_ops: this.plan.state.txnOps,
          next: this.plan.next,
        },
        cloud: { rps: 5, list_lag_s: 3 },
        quota: { core_share: 0.3, mem_mb: 178, sockets: this.plan.sockets ?? 1500 },
      },
    };
  }

  startNode(name: string): void {
    const node = this.nodes.get(name)!;
    if (node.controller !== null) return;
    const print = (entry: unknown, text?: string): void => {
      if (text !== undefined) this.lines.push(text);
      if (process.env["SCENARIO_LOG"] !== undefined) console.log((this.clock.now() / 1000).toFixed(2), name, text, JSON.stringify(entry));
    };
    const log: Log = {
      ...quiet,
      info: print,
      warn: print,
      debug: print,
      error: (entry: unknown) => this.errors.push(JSON.stringify(entry)),
    } as Log;
    const clock = new NodeClock(this.clock);
    const settings = derive(this.settingsOf(name), checkOperators("operators", {}));
    const scope = new Scope(new WatchfulClock(clock, settings.timing.stallMs), log);
    const via: Via = (fn) => {
      if (!scope.closed) clock.deliver(() => (scope.closed ? undefined : fn()));
    };
    const peers: PeerApi = {
      incoming$: node.incoming$,
      send: (to, message) => {
        const sent = (): void => this.via(to)(() => this.nodes.get(to)?.incoming$.next({ from: name, message }));
        this.carry(name, to, sent, false);
        return true;
      },
    };
    node.scope = scope;
    node.clock = clock;
    node.controller = new Controller(
      settings,
      {
        state: this.state.client(name, via),
        cloud: this.cloud.client(name, via),
        workers: {
          command: (addr, token, session, orders) => this.command(name, addr, (worker) => worker.command(token, session, orders), via),
        },
        peers,
      },
      scope,
      `life-${++this.lives}`,
    );
    node.controller.start();
  }

  private via(name: string): Via {
    const node = this.nodes.get(name);
    return (fn) => {
      if (node?.clock !== null && node?.clock !== undefined && node.scope?.closed === false) node.clock.deliver(fn);
    };
  }

  /** The process stands still while its clocks run on. */
  freeze(name: string, ms: number): void {
    const clock = this.nodes.get(name)!.clock!;
    clock.freeze();
    this.clock.after(ms, () => clock.thaw());
  }

  killNode(name: string): void {
    const node = this.nodes.get(name)!;
    node.scope?.close();
    node.controller = null;
    node.scope = null;
    node.incoming$ = new Subject();
  }

  cut(a: string, b: string): void {
    this.cuts.add(`${a}|${b}`);
  }

  mend(a: string, b: string): void {
    const cut = `${a}|${b}`;
    this.cuts.delete(cut);
    const due = this.held.filter((h) => h.cut === cut);
    this.held = this.held.filter((h) => h.cut !== cut);
    for (const { run } of due) run();
  }

  private cutBetween(a: string, b: string): string | null {
    for (const cut of [`${a}|${b}`, `${b}|${a}`, `${a}|*`, `${b}|*`, `${a}|workers`, `${b}|workers`]) {
      if (!this.cuts.has(cut)) continue;
      if (cut.endsWith("|workers") && !(this.nodes.has(a) !== this.nodes.has(b))) continue;
      return cut;
    }
    return null;
  }

  /** Packets arrive in order after a cut ends, even if the sender has given up. */
  private carry(from: string, to: string, run: () => void, hold = true): void {
    this.clock.after(0.5 + this.random() * 2, () => {
      const cut = this.cutBetween(from, to);
      if (cut === null) run();
      else if (hold) this.held.push({ cut, run: () => this.clock.after(1, run) });
    });
  }

  private command(node: string, host: string, act: (worker: Worker) => CommandReply, via: Via): Promise<CommandReply> {
    return new Promise((resolve, reject) => {
      this.clock.after(2000, () => via(() => reject(new NoReply("unanswered", "timeout"))));
      this.carry(node, host, () => {
        const worker = this.workers.get(host);
        if (worker === undefined || worker.hanging) return;
        const reply = act(worker);
        this.carry(host, node, () => via(() => resolve(reply)));
      });
    });
  }

  private boot(host: string, offer: { type: string; zone: string; spot: boolean }): void {
    const type = this.plan.types.find((t) => t.name === offer.type)!;
    const around: WorkerWorld = {
      clock: this.clock,
      reportMs: 2500,
      leaseMs: 18_000,
      gangPeerMs: 4000,
      luck: () => this.random(),
      nodes: [...this.nodes.keys()],
      report: (node, from, report) =>
        new Promise<ReportAnswer | null>((resolve) => {
          this.carry(from, node, () => {
            const target = this.nodes.get(node)?.controller;
            if (target === null || target === undefined) return resolve(null);
            this.via(node)(() => {
              const answer = target.leader.onReport(report);
              this.carry(node, from, () => resolve(answer));
            });
          });
        }),
      spec: (ref) => this.specs.get(ref),
      runMs: (ref) => this.runs.get(ref) ?? 10_000,
      fetchMs: () => this.fetchMs,
      sick: (name, ref) => this.sickHosts.has(name) || this.mistaken.has(ref),
      on: (worker, piece) => this.history.push({ at: this.clock.now(), kind: "on", piece, host: worker.host, ...worker.offer }),
      off: (worker, piece, cause) => this.history.push({ at: this.clock.now(), kind: "off", piece, host: worker.host, cause }),
      mates: (ref, attempt) =>
        [...this.workers.values()].flatMap((worker) =>
          [...worker.tasks.values()].filter((t) => t.ref === ref && t.attempt === attempt).map((task) => ({ worker, task })),
        ),
    };
    this.workers.set(host, new Worker(host, offer, { cpus: type.cpus, gpus: type.gpus, ram: type.ram }, around));
  }

  // ---- users

  private target(name?: string): Node | null {
    const up = [...this.nodes.values()].filter((n) => n.controller !== null);
    if (name !== undefined) return this.nodes.get(name)!;
    return up.length === 0 ? null : up[Math.floor(this.random() * up.length)]!;
  }

  /** A user's request; undefined: no answer came while the user waited. */
  private ask(kind: RequestKind, body: unknown, name?: string): Promise<Response | undefined> {
    const node = this.target(name);
    const controller = node?.controller;
    if (node === null || controller === null || controller === undefined) return Promise.resolve(undefined);
    return new Promise((resolve) => {
      this.clock.after(PATIENCE_MS[kind], () => resolve(undefined));
      this.via(node.name)(() => void controller.relay.answer(kind, body).then(resolve));
    });
  }

  private told(ref: string, status: number, body: Record<string, unknown>): void {
    if (status === 201 || status === 200)
      this.history.push({ at: this.clock.now(), kind: "told", ref, what: (body["status"] as "done" | undefined) ?? "queued" });
    else if (status === 404) this.history.push({ at: this.clock.now(), kind: "told", ref, what: "unknown" });
    else if (status === 400 || status === 422) this.history.push({ at: this.clock.now(), kind: "told", ref, what: "refused" });
  }

  async submit(wire: Record<string, unknown>, spec: JobSpec, node?: string): Promise<void> {
    this.specs.set(spec.ref, spec);
    this.history.push({ at: this.clock.now(), kind: "submitted", spec });
    for (let i = 0; i < 60; i++) {
      const answer = await this.ask("submit", wire, node);
      if (answer !== undefined) this.told(spec.ref, answer.status, answer.body);
      if (answer !== undefined && answer.status < 500 && answer.status !== 429) return;
      await new Promise<void>((resolve) => this.clock.after(1000, resolve));
    }
  }

  async poll(ref: string, node?: string): Promise<string> {
    const answer = await this.ask("poll", ref, node);
    if (answer === undefined) return "down";
    this.told(ref, answer.status, answer.body);
    return answer.status === 200 ? String(answer.body["status"]) : String(answer.status);
  }

  async cancel(ref: string, node?: string): Promise<void> {
    this.history.push({ at: this.clock.now(), kind: "asked-cancel", ref });
    for (let i = 0; i < 60; i++) {
      const answer = await this.ask("cancel", ref, node);
      if (answer !== undefined) this.told(ref, answer.status, answer.body);
      if (answer?.status === 200) return;
      await new Promise<void>((resolve) => this.clock.after(1000, resolve));
    }
  }
}
