import type { Committer } from "../ledger/committer.js";
import type { Mirror } from "../ledger/mirror.js";
import { fitting, keys, partOf, settled, type JobRecord, type SliceRecord } from "../ledger/records.js";
import { Bits } from "../platform/bits.js";
import type { Scope } from "../platform/scope.js";
import type { Allotments } from "../parts/allotments.js";
import type { Leader } from "../parts/leader.js";
import type { Ownership } from "../parts/ownership.js";
import { tasksWithin, usageOf, type Part, type Usage } from "../parts/part.js";
import type { Needs } from "../pipelines/needs.js";
import type { PeerApi } from "../peers/links.js";
import type { Answer, Query, Volunteer, Want } from "../peers/messages.js";
import { estimateWaits, utilization, type EstimateContext } from "../queue/estimate.js";
import { PREEMPT_AFTER_PHI } from "../queue/preempt.js";
import type { Shortage } from "../queue/pass.js";
import { inOrder } from "../queue/order.js";
import { newUnit, suspect, tailOf, type Unit } from "../queue/unit.js";
import { aimS, type Settings } from "../settings/derived.js";
import { best, roomiest, type Bid } from "./choice.js";

interface Asking {
  id: number;
  part: Part;
  unit: Unit;
  home: Bid;
  open: Set<number>;
  bids: Bid[];
  rest: number[];
  decide?: () => void;
}

/**
 * The superscheduler proper, symmetrically initiated: jobs whose wait at home
 * is short stay; others go to a volunteer that beats home, or, when nobody
 * volunteers, every peer is asked. One query is out at a time.
 */
export class Exchange {
  private readonly volunteers = new Map<number, { utilization: number; at: number }>();
  private readonly asked = new Map<string, number>();
  private readonly wanted = new Map<string, number>();
  private asking: Asking | null = null;
  private queries = 0;
  stats = { home: 0, volunteer: 0, asked: 0, slices: 0, queries: 0 };

  constructor(
    private readonly settings: Settings,
    private readonly leader: Leader,
    private readonly ownership: Ownership,
    private readonly allotments: Allotments,
    private readonly mirror: Mirror,
    private readonly needs: Needs,
    private readonly committer: Committer,
    private readonly peers: PeerApi,
    private readonly scope: Scope,
  ) {}

  private get tuning() {
    return this.settings.operators.exchange;
  }

  start(): void {
    this.scope.listen(this.peers.incoming$, ({ message }) => {
      if ("Volunteer" in message) this.onVolunteer(message.Volunteer);
      else if ("Query" in message) this.onQuery(message.Query);
      else if ("Answer" in message) this.onAnswer(message.Answer);
      else if ("Want" in message) this.onWant(message.Want);
    });
    this.scope.listen(this.leader.short$, ({ part, team, want }) => this.askAllotment(part, team, want));
    this.scope.routine(
      "announce",
      () => this.tuning.sigma * 1000,
      () => this.announce(),
    );
    this.scope.routine(
      "exchange",
      () => this.settings.timing.reportMs / 5,
      () => this.consider(),
    );
  }

  estimateContext(): EstimateContext {
    return {
      now: this.scope.clock.now(),
      silentMs: this.settings.timing.silentMs,
      order: this.leader.order(),
      history: this.leader.history,
      guaranteed: (unit) => this.leader.guarantees.within(unit.spec.ref),
      excess: this.leader.guarantees.excess(this.leader.use()),
      preemptAfterMs: this.tuning.phi * PREEMPT_AFTER_PHI * 1000,
      bootMs: (machine) => this.leader.bootMs(machine),
    };
  }

  private ownerOf(part: number): string | null {
    const owner = this.ownership.owner(part)?.owner;
    return owner !== undefined && this.ownership.alive(owner) ? owner : null;
  }

  // ---- volunteers

  private announce(): void {
    for (const part of this.leader.parts.values()) {
      if (part.phase !== "serving") continue;
      const used = utilization(part);
      if (used >= this.tuning.delta || part.machines.size === 0) continue;
      const message = { Volunteer: { part: part.id, utilization: used } };
      for (const node of this.settings.nodes) this.peers.send(node, message);
    }
  }

  private onVolunteer(message: Volunteer): void {
    this.volunteers.set(message.part, { utilization: message.utilization, at: this.scope.clock.now() });
  }

  /** An announcement counts until half an interval after the next was due. */
  private volunteered(part: number): boolean {
    const at = this.volunteers.get(part)?.at ?? -Infinity;
    return this.scope.clock.now() - at < this.tuning.sigma * 1500;
  }

  // ---- moving

  private movable(unit: Unit): boolean {
    return (
      !unit.moved &&
      !unit.started &&
      !unit.ended &&
      !unit.leaving &&
      unit.lo === 0 &&
      unit.hi === unit.spec.tasks &&
      unit.done.count === 0 &&
      unit.placed.size === 0 &&
      unit.waiting.length > 0 &&
      !suspect(unit)
    );
  }

  /** Waiting tasks at the end of an array may go elsewhere though the rest has started here. */
  private sliceable(unit: Unit): boolean {
    const { kind, oneZone, spread, klass } = unit.spec;
    // Other parts would have to find out anew that it fails everywhere.
    if (suspect(unit)) return false;
    // What is late already would take room from what can still start in time.
    if (this.scope.clock.wall() - unit.submittedWall > aimS(this.settings.platform, "wait", klass) * 1000) return false;
    return kind === "array" && !oneZone && !spread && !unit.moved && !unit.ended && !unit.leaving && unit.lo === 0 && tailOf(unit, 1) > 0;
  }

  private consider(): void {
    if (this.tuning.mode === "off" || this.asking !== null || this.leader.silent()) return;
    const now = this.scope.clock.now();
    for (const part of this.leader.parts.values()) {
      if (part.phase !== "serving") continue;
      // One query is out at a time, so in a burst the most urgent job must ask first.
      const candidates = inOrder(
        [...part.units.values()].filter((unit) => (this.movable(unit) || this.sliceable(unit)) && now >= (this.asked.get(unit.key) ?? 0)),
        this.leader.order(),
      );
      if (candidates.length === 0) continue;
      const asked = new Set(candidates);
      const waits = estimateWaits(part, this.estimateContext(), [], (unit) => asked.has(unit));
      for (const unit of candidates) {
        const wait = waits.get(unit.key) ?? Infinity;
        if (wait < this.tuning.phi * 1000) {
          unit.weighed = true;
          this.asked.set(unit.key, now + this.settings.timing.reportMs);
          continue;
        }
        if (this.ask(part, unit, wait)) return;
      }
    }
    if (this.asked.size > 10_000) this.asked.clear();
  }

  private ask(part: Part, unit: Unit, waitMs: number): boolean {
    const now = this.scope.clock.now();
    const { sigma, mode } = this.tuning;
    this.asked.set(unit.key, now + sigma * 1000);
    const others = this.settings.nodes.map((_, id) => id).filter((id) => id !== part.id && this.ownerOf(id) !== null);
    const volunteers = mode === "ask" ? [] : others.filter((id) => this.volunteered(id));
    if (volunteers.length === 0 && others.length === 0) unit.weighed = true;
    if (volunteers.length === 0) return mode !== "volunteers" && this.query(part, unit, waitMs, others, []);
    // Volunteers first; if none of them beats home, it is as if none had announced.
    const rest = mode === "volunteers" ? [] : others.filter((id) => !volunteers.includes(id));
    return this.query(part, unit, waitMs, volunteers, rest);
  }

  /** Asks the parts given; `rest`: whom to ask next if none of them beats home. */
  private query(part: Part, unit: Unit, waitMs: number, targets: number[], rest: number[]): boolean {
    const id = ++this.queries;
    const runMs = this.leader.history.expectS(unit.spec) * 1000;
    this.asking = {
      id,
      part,
      unit,
      home: { part: part.id, waitMs, runMs, utilization: utilization(part), atOnce: 0 },
      open: new Set(),
      bids: [],
      rest,
    };
    this.stats.queries++;
    for (const target of targets) {
      const sent = this.peers.send(this.ownerOf(target)!, { Query: { id, part: target, job: unit.spec.ref, from: this.settings.self } });
      if (sent) this.asking.open.add(target);
    }
    if (this.asking.open.size === 0) {
      this.asking = null;
      unit.weighed = true;
      return false;
    }
    this.asking.decide = () => this.decide(id);
    this.scope.clock.after(this.tuning.answer_limit * 1000, () => this.decide(id));
    return true;
  }

  private onQuery(query: Query): void {
    const part = this.leader.parts.get(query.part);
    const job = this.mirror.get<JobRecord>(keys.job(query.job))?.v;
    if (part === undefined || part.phase !== "serving" || job === undefined || this.leader.silent()) {
      this.peers.send(query.from, { Answer: { id: query.id, part: query.part, waitMs: Infinity, runMs: 0, utilization: 1, atOnce: 0 } });
      return;
    }
    const probe = newUnit(keys.job(query.job), job.spec, 0, job.hi, new Bits(job.hi), this.needs.sinceWall(job), this.scope.clock.now());
    probe.urgency = this.needs.urgency(query.job);
    const atOnce = new Map<string, number>();
    const waits = estimateWaits(part, this.estimateContext(), [probe], (unit) => unit === probe, atOnce);
    const waitMs = waits.get(probe.key) ?? Infinity;
    const runMs = this.leader.history.expectS(job.spec) * 1000;
    const within = tasksWithin(job.spec, this.spareOf(part, job.spec.team));
    this.peers.send(query.from, {
      Answer: {
        id: query.id,
        part: part.id,
        waitMs,
        runMs,
        utilization: utilization(part),
        atOnce: Math.min(within, atOnce.get(probe.key) ?? 0),
      },
    });
  }

  /** Of the team's allotment in the part, what nothing uses. */
  private spareOf(part: Part, team: string): Usage {
    const held = this.allotments.held(part.id, team);
    const used = usageOf(part, team);
    return { cpus: held.cpus - used.cpus, gpus: held.gpus - used.gpus };
  }

  private onAnswer(answer: Answer): void {
    const asking = this.asking;
    if (asking === null || asking.id !== answer.id || !asking.open.delete(answer.part)) return;
    asking.bids.push(answer);
    if (asking.open.size === 0) asking.decide?.();
  }

  private decide(id: number): void {
    const asking = this.asking;
    if (asking === null || asking.id !== id) return;
    this.asking = null;
    const { part, unit } = asking;
    if (this.leader.parts.get(part.id) !== part || !(this.movable(unit) || this.sliceable(unit))) return;
    const choice = best(asking.home, asking.bids, this.tuning.epsilon);
    const soon = choice.waitMs < this.tuning.phi * 1000;
    const most = this.sliceable(unit) && !(soon && this.movable(unit)) ? roomiest(asking.bids) : null;
    if (most !== null) {
      this.stats.slices++;
      unit.weighed = true;
      this.moveSlice(part, unit, most.part, most.atOnce);
      return;
    }
    if (!this.movable(unit) || choice.part === part.id) {
      if (asking.rest.length > 0 && this.query(part, unit, asking.home.waitMs, asking.rest, [])) return;
      this.stats.home++;
      unit.weighed = true;
      return;
    }
    this.stats[this.volunteered(choice.part) ? "volunteer" : "asked"]++;
    this.move(part, unit, choice.part);
  }

  /** Until the transaction's answer is certain, the job must not be started here. */
  private move(part: Part, unit: Unit, to: number): void {
    unit.leaving = true;
    const draft = () => {
      const entry = this.mirror.get<JobRecord>(unit.key);
      if (entry === undefined || partOf(entry.v) !== part.id || entry.v.end !== undefined) return null;
      if (this.mirror.stamp(keys.owner(part.id)) !== part.term) return null;
      return {
        conditions: [
          { k: unit.key, stamp: entry.stamp },
          { k: keys.owner(part.id), stamp: part.term },
        ],
        apply: [{ write: unit.key, v: { ...settled(entry.v), part: to, moved: true } }],
      };
    };
    void this.committer.commit("move", draft).then((outcome) => {
      if (outcome === "shed") unit.leaving = false;
      this.scope.log.debug({ part: part.id, to, job: unit.spec.ref, outcome }, "job moved");
    });
  }

  /**
   * The last of an array's waiting tasks, as many as the other part has room for,
   * become a slice of their own there. Until the transaction's answer is certain
   * they wait in neither part.
   */
  private moveSlice(part: Part, unit: Unit, to: number, room: number): void {
    const whole = unit.hi;
    const count = Math.min(tailOf(unit, room), whole - 1);
    if (count <= 0) return;
    const lo = whole - count;
    const gone = unit.waiting.filter((task) => task >= lo);
    unit.waiting = unit.waiting.filter((task) => task < lo);
    const { ref } = unit.spec;
    const key = keys.slice(ref, lo);
    const draft = () => {
      const entry = this.mirror.get<JobRecord>(unit.key);
      if (entry === undefined || partOf(entry.v) !== part.id || entry.v.end !== undefined || entry.v.hi !== whole) return null;
      if (this.mirror.stamp(keys.owner(part.id)) !== part.term || this.mirror.get(key) !== undefined) return null;
      const rest = fitting<JobRecord>({ ...settled(entry.v), hi: lo }, lo, this.settings.state.valueKb);
      if (rest === null) return null;
      const slice: SliceRecord = { ref, part: to, lo, hi: whole, done: "", moved: true };
      return {
        conditions: [
          { k: unit.key, stamp: entry.stamp },
          { k: keys.owner(part.id), stamp: part.term },
          { k: key, stamp: 0 },
        ],
        apply: [
          { write: unit.key, v: rest },
          { write: key, v: slice },
        ],
      };
    };
    void this.committer.commit("slice", draft).then((outcome) => {
      const moved = (this.mirror.get<JobRecord>(unit.key)?.v.hi ?? 0) <= lo;
      if (!moved && !unit.ended) unit.waiting.push(...gone);
      this.asked.delete(unit.key);
      this.scope.log.debug({ part: part.id, to, job: ref, tasks: count, moved, outcome }, "slice moved");
    });
  }

  // ---- allotments

  private askAllotment(part: Part, team: string, want: Shortage): void {
    const now = this.scope.clock.now();
    const label = `${part.id}|${team}`;
    if (now < (this.wanted.get(label) ?? 0)) return;
    this.wanted.set(label, now + this.settings.timing.reportMs / 2);
    for (let id = 0; id < this.settings.nodes.length; id++) {
      const owner = this.ownerOf(id);
      if (id !== part.id && owner !== null)
        this.peers.send(owner, {
          Want: { part: part.id, team, cpus: want.cpus, gpus: want.gpus, nowCpus: want.now.cpus, nowGpus: want.now.gpus },
        });
    }
  }

  private onWant(want: Want): void {
    for (const part of this.leader.parts.values()) {
      if (part.id === want.part || part.phase !== "serving") continue;
      // What waits here and has no room does not use the allotment either: a part that
      // has room for the team at this moment may have it.
      const unused = this.spareOf(part, want.team);
      const free = { ...unused };
      for (const unit of part.units.values()) {
        if (unit.spec.team !== want.team) continue;
        free.cpus -= unit.spec.cpus * unit.waiting.length;
        free.gpus -= unit.spec.gpus * unit.waiting.length;
      }
      const spare = {
        cpus: Math.max(free.cpus, Math.min(unused.cpus, want.nowCpus)),
        gpus: Math.max(free.gpus, Math.min(unused.gpus, want.nowGpus)),
      };
      this.allotments.cede(part, want.part, want.team, want, spare);
    }
  }
}
