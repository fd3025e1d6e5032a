import { Subject } from "rxjs";
import type { MachineType } from "../fleet/cloud-client.js";
import type { Committer } from "../ledger/committer.js";
import type { Mirror } from "../ledger/mirror.js";
import type { Rentals } from "../ledger/rentals.js";
import { keys, type JobRecord, type JobSpec, type OwnerRecord, type RentalRecord, type SliceRecord } from "../ledger/records.js";
import { Bits } from "../platform/bits.js";
import { sleep } from "../platform/clock.js";
import type { Scope } from "../platform/scope.js";
import { RunHistory } from "../queue/estimate.js";
import { localOrder, type LocalOrder } from "../queue/order.js";
import { runPass, type Shortage } from "../queue/pass.js";
import { choosePreemptions, PREEMPT_AFTER_PHI } from "../queue/preempt.js";
import { newUnit, type Placement, type Unit } from "../queue/unit.js";
import { aimS, type Settings } from "../settings/derived.js";
import { newMachine, type Machine, type Order, type Report, type ReportedTask } from "../workers/machine.js";
import { dropAll, newFindings, ordersFor, splitPiece, takeReport, type Findings, type ReportContext } from "../workers/reports.js";
import type { Allotments } from "./allotments.js";
import type { Guarantees, TeamUse } from "./guarantees.js";
import { addUnit, newPart, removeUnit, usageByTeam, type Part } from "./part.js";

const MAX_ORDERS = 250;
/** Tasks seen, and times the usual run time they took, before a machine counts as slow. */
const SLOW_AFTER = 3;
const SLOW_FACTOR = 2;

export type ReportAnswer =
  { kind: "orders"; token: number; orders: Order[] } | { kind: "elsewhere"; boss: string | null } | { kind: "silent" };

/**
 * Leads the parts this node holds: builds them from records, takes in reports,
 * runs the placement passes. Talks to the outside only through what it is given.
 */
export class Leader {
  readonly parts = new Map<number, Part>();
  readonly history: RunHistory;
  /** Machines with orders that should not wait for the next report. */
  readonly dispatch$ = new Subject<{ part: Part; machine: Machine }>();
  /** Teams short of allotment in a part. */
  readonly short$ = new Subject<{ part: Part; team: string; want: Shortage }>();
  /** Tasks that began to run, with their wait since submission. */
  readonly began$ = new Subject<{ klass: string; waitS: number }>();
  types: MachineType[] = [];
  private passDue = false;
  private readonly taking = new Set<string>();
  private readonly upPending = new Set<string>();
  stats = { starts: 0, takeovers: 0, preemptions: 0, fencedMs: 0 };

  constructor(
    readonly settings: Settings,
    private readonly life: string,
    private readonly mirror: Mirror,
    private readonly rentals: Rentals,
    private readonly committer: Committer,
    private readonly allotments: Allotments,
    readonly guarantees: Guarantees,
    private readonly scope: Scope,
  ) {
    this.history = new RunHistory(settings.operators.queue.guesses);
  }

  start(): void {
    this.scope.listen(this.mirror.changes$, (key) => this.onChange(key));
    this.scope.listen(this.rentals.changes$, (host) => this.reviewMachine(host));
    this.scope.routine(
      "summary",
      () => this.settings.operators.exchange.sigma * 1000,
      () => this.summarize(),
    );
    this.scope.routine(
      "watchdog",
      () => this.settings.timing.reportMs / 5,
      () => this.watch(),
    );
  }

  private get now(): number {
    return this.scope.clock.now();
  }

  /**
   * Without proof that we know all cancellations and takeovers, we must stop
   * answering workers early enough that their leases end within `cancel_s`.
   */
  silent(): boolean {
    return this.mirror.ageMs() > this.settings.timing.silentAfterMs;
  }

  // ---- records

  private onChange(key: string): void {
    if (key === "") {
      for (let part = 0; part < this.settings.nodes.length; part++) this.reviewOwner(part);
      return;
    }
    if (key.startsWith(keys.owners)) this.reviewOwner(Number(key.slice(keys.owners.length)));
    else if (key.startsWith(keys.jobs) || key.startsWith(keys.slices)) this.reviewWork(key);
    else if (key.startsWith(keys.allotments)) this.wake();
  }

  private reviewOwner(id: number): void {
    const entry = this.mirror.get<OwnerRecord>(keys.owner(id));
    const held = this.parts.get(id);
    const ours = entry !== undefined && entry.v.owner === this.settings.self && entry.v.life === this.life;
    if (held !== undefined && (!ours || held.term !== entry.stamp)) {
      this.parts.delete(id);
      this.scope.log.info({ part: id, term: held.term, now: entry?.v.owner }, "part lost");
    }
    if (ours && !this.parts.has(id)) void this.takeFresh(id, entry.stamp);
  }

  /**
   * All that the former leader wrote comes before our claim in the ledger, but
   * our copy may lag behind the claim: a machine or job missed here would be
   * neither fenced nor counted. So read up to the claim before building the part.
   */
  private async takeFresh(id: number, term: number): Promise<void> {
    const claim = `${id}/${term}`;
    if (this.taking.has(claim)) return;
    this.taking.add(claim);
    for (;;) {
      try {
        await this.mirror.fresh();
        break;
      } catch {
        await sleep(this.scope.clock, this.settings.timing.reportMs / 5);
      }
    }
    this.taking.delete(claim);
    const entry = this.mirror.get<OwnerRecord>(keys.owner(id));
    if (entry?.stamp === term && entry.v.life === this.life && !this.parts.has(id)) this.take(id, term);
  }

  private take(id: number, term: number): void {
    const part = newPart(id, term, this.now);
    this.parts.set(id, part);
    this.stats.takeovers++;
    for (const { host, part: of } of this.rentals.all()) if (of === id) this.reviewMachine(host);
    for (const key of this.mirror.rows(keys.jobs).keys()) this.reviewWork(key);
    for (const key of this.mirror.rows(keys.slices).keys()) this.reviewWork(key);
    this.scope.log.info({ part: id, term, machines: part.machines.size, queue: part.units.size }, "leading; fencing machines");
    this.watch();
  }

  private reviewMachine(host: string): void {
    const entry = this.rentals.get(host);
    for (const part of this.parts.values()) {
      const machine = part.machines.get(host);
      if (entry === undefined || entry.part !== part.id) {
        if (machine !== undefined) {
          // Its record goes only after the cloud has confirmed that it is gone.
          this.forgetMachine(part, machine);
        }
        continue;
      }
      if (machine !== undefined) {
        if (entry.addr !== null && !machine.up) {
          machine.up = true;
          machine.idleSince = this.now;
        }
        continue;
      }
      const type = this.types.find((t) => t.name === entry.type);
      const capacity = type === undefined ? { cpus: 0, gpus: 0, ram: 0 } : { cpus: type.cpus, gpus: type.gpus, ram: type.ram };
      const wallAge = Math.max(0, this.scope.clock.wall() - entry.at);
      const fresh = newMachine(host, entry.type, entry.zone, entry.spot, capacity, this.now - wallAge);
      fresh.up = entry.addr !== null;
      fresh.addr = entry.addr;
      fresh.idleSince = this.now;
      // A machine whose record never said `up` was never given work.
      fresh.fenced = !fresh.up;
      // The former leader may go on answering until it has to fall silent.
      fresh.answeredAt = fresh.up ? this.now + this.settings.timing.silentAfterMs : -Infinity;
      fresh.books = part.usage;
      part.machines.set(host, fresh);
    }
    this.wake();
  }

  forgetMachine(part: Part, machine: Machine): void {
    const findings = newFindings();
    dropAll(machine, this.now, findings);
    part.machines.delete(machine.host);
    this.act(part, findings);
  }

  /** Types become known, or known anew, from the cloud. */
  setTypes(types: MachineType[]): void {
    this.types = types;
    for (const part of this.parts.values()) {
      for (const machine of part.machines.values()) {
        const type = types.find((t) => t.name === machine.type);
        if (type !== undefined) machine.capacity = { cpus: type.cpus, gpus: type.gpus, ram: type.ram };
      }
    }
  }

  priceOf(machine: Machine): number {
    const type = this.types.find((t) => t.name === machine.type);
    return type === undefined ? 0 : machine.spot ? type.spotPrice : type.price;
  }

  private reviewWork(key: string): void {
    const isJob = key.startsWith(keys.jobs);
    const entry = this.mirror.get<JobRecord | SliceRecord>(key);
    if (entry === undefined) return;
    const ref = isJob ? (entry.v as JobRecord).spec.ref : (entry.v as SliceRecord).ref;
    const job = this.mirror.get<JobRecord>(keys.job(ref))?.v;
    if (job === undefined) return;
    if (isJob && job.end !== undefined) {
      for (const part of this.parts.values()) for (const unit of [...(part.byRef.get(ref) ?? [])]) this.endUnit(part, unit);
      return;
    }
    if (job.end !== undefined) return;
    const lo = isJob ? 0 : (entry.v as SliceRecord).lo;
    for (const part of this.parts.values()) {
      const unit = part.units.get(key);
      if (entry.v.part !== part.id) {
        if (unit !== undefined && unit.placed.size === 0) removeUnit(part, unit);
        continue;
      }
      if (unit === undefined) {
        const bits = Bits.decode(entry.v.hi - lo, entry.v.done);
        const fresh = newUnit(key, job.spec, lo, entry.v.hi, bits, job.at, this.now);
        fresh.moved = entry.v.moved === true;
        addUnit(part, fresh);
        this.wake();
      }
    }
    // A slice elsewhere completed: the first slice's leader may now call the job done.
    if (!isJob) {
      const part = this.parts.get(job.part);
      const first = part?.units.get(keys.job(ref));
      if (part !== undefined && first !== undefined && first.done.full) this.record(part, first);
    }
  }

  private endUnit(part: Part, unit: Unit): void {
    unit.ended = true;
    for (const placement of unit.placed.values()) {
      if (!unit.done.has(placement.task)) placement.stop = { graceS: 0 };
      const machine = part.machines.get(placement.host);
      if (machine !== undefined) this.dispatch$.next({ part, machine });
    }
    removeUnit(part, unit);
    this.wake();
  }

  // ---- done-sets

  /**
   * Records what is done; nothing is told, and nothing cleared, before that. A
   * slice that is complete is recorded at once. Progress short of that is only
   * insurance against losing this node, and workers keep their results until they
   * are cleared, so it is recorded once a lease: a write for every few tasks would
   * crowd out submissions.
   */
  private record(part: Part, unit: Unit): void {
    if (unit.committing) return;
    if (unit.done.full) return this.recordNow(part, unit);
    if (unit.recordDue) return;
    unit.recordDue = true;
    this.scope.clock.after(this.settings.timing.leaseMs, () => {
      unit.recordDue = false;
      if (!unit.committing && !unit.ended && this.parts.get(part.id) === part) this.recordNow(part, unit);
    });
  }

  private recordNow(part: Part, unit: Unit): void {
    unit.committing = true;
    const { ref } = unit.spec;
    const isJob = unit.lo === 0;
    let sent = 0;
    const draft = () => {
      const entry = this.mirror.get<JobRecord | SliceRecord>(unit.key);
      const job = this.mirror.get<JobRecord>(keys.job(ref));
      if (entry === undefined || job === undefined || job.v.end !== undefined || entry.v.part !== part.id) return null;
      if (this.mirror.stamp(keys.owner(part.id)) !== part.term) return null;
      const bits = Bits.decode(unit.hi - unit.lo, entry.v.done);
      const before = bits.count;
      bits.merge(unit.done);
      const complete = isJob && bits.full && this.slicesFull(ref);
      if (bits.count === before && !complete) return null;
      sent = unit.done.count;
      const value = { ...entry.v, done: bits.encode(), ...(complete ? { end: "done" as const } : {}) };
      return {
        conditions: [
          { k: unit.key, stamp: entry.stamp },
          { k: keys.owner(part.id), stamp: part.term },
        ],
        apply: [{ write: unit.key, v: value }],
      };
    };
    void this.committer.commit("done", draft, { first: unit.done.full }).then((outcome) => {
      unit.committing = false;
      if (outcome === "done") {
        this.scope.log.debug({ part: part.id, job: ref, done: unit.done.count, of: unit.hi - unit.lo }, "progress recorded");
        if (unit.done.count > sent) this.record(part, unit);
      }
    });
  }

  private slicesFull(ref: string): boolean {
    const spec = this.mirror.get<JobRecord>(keys.job(ref))!.v;
    if (spec.hi >= spec.spec.tasks) return true;
    let covered = spec.hi;
    for (const [key, entry] of this.mirror.rows<SliceRecord>(keys.slices)) {
      if (!key.startsWith(`${keys.slices}${ref}/`)) continue;
      const slice = entry.v;
      if (!Bits.decode(slice.hi - slice.lo, slice.done).full) return false;
      covered += slice.hi - slice.lo;
    }
    return covered >= spec.spec.tasks;
  }

  private recordedDone(piece: string): boolean {
    const { ref, task } = splitPiece(piece);
    const job = this.mirror.get<JobRecord>(keys.job(ref));
    if (job === undefined) return false;
    if (job.v.end !== undefined) return true;
    const found = this.recordOf(ref, task);
    return found !== null && Bits.decode(found.hi - found.lo, found.done).has(task - found.lo);
  }

  private recordOf(ref: string, task: number): { lo: number; hi: number; done: string } | null {
    const job = this.mirror.get<JobRecord>(keys.job(ref));
    if (job === undefined) return null;
    if (task < job.v.hi) return { lo: 0, hi: job.v.hi, done: job.v.done };
    for (const [key, entry] of this.mirror.rows<SliceRecord>(keys.slices)) {
      if (key.startsWith(`${keys.slices}${ref}/`) && task >= entry.v.lo && task < entry.v.hi) return entry.v;
    }
    return null;
  }

  // ---- reports

  partOfMachine(host: string): Part | null {
    const record = this.rentals.get(host);
    return record === undefined ? null : (this.parts.get(record.part) ?? null);
  }

  /** A worker's own report, and what to answer. */
  onReport(report: Report): ReportAnswer {
    if (!this.mirror.loaded || this.silent()) return { kind: "silent" };
    const record = this.rentals.get(report.host);
    if (record === undefined) return { kind: "elsewhere", boss: null };
    const part = this.parts.get(record.part);
    if (part === undefined) return { kind: "elsewhere", boss: this.mirror.get<OwnerRecord>(keys.owner(record.part))?.v.owner ?? null };
    if (report.token > part.term) {
      // Somebody newer leads it: an answer of ours would be dropped anyway.
      void this.mirror.fresh().catch(() => undefined);
      const owner = this.mirror.get<OwnerRecord>(keys.owner(record.part))?.v.owner ?? null;
      return { kind: "elsewhere", boss: owner === this.settings.self ? null : owner };
    }
    const machine = part.machines.get(report.host);
    if (machine === undefined || machine.deleting) return { kind: "silent" };
    const newer = this.take1(part, machine, report, true);
    const orders: Order[] = [];
    if (newer && machine.up && machine.fenced) {
      orders.push(...ordersFor(machine, "report", (task) => this.clearable(task), MAX_ORDERS));
      for (const placement of machine.placements.values()) if (placement.state === null) placement.offeredSeq = report.seq;
    } else if (!machine.up) this.recordUp(part, machine);
    machine.answeredAt = this.now;
    return { kind: "orders", token: part.term, orders };
  }

  private clearable(task: ReportedTask): boolean {
    return task.cause !== "done" || this.recordedDone(task.piece);
  }

  /** A report that came as the body of an answer to a direct command. */
  onCommandReply(part: Part, machine: Machine, report: Report): void {
    if (this.parts.get(part.id) !== part || part.machines.get(machine.host) !== machine) return;
    this.take1(part, machine, report, false);
  }

  private take1(part: Part, machine: Machine, report: Report, viaReport: boolean): boolean {
    const findings = newFindings();
    const context: ReportContext = {
      now: this.now,
      viaReport,
      leaseMs: this.settings.timing.leaseMs,
      coolMs: this.settings.timing.reportMs,
      unitOf: (ref, task) => {
        for (const unit of part.byRef.get(ref) ?? []) if (task >= unit.lo && task < unit.hi) return { unit, task: task - unit.lo };
        return null;
      },
      strangerOf: (ref) => this.stranger(ref),
    };
    const wasDraining = machine.draining;
    const newer = takeReport(part, machine, report, context, findings);
    if (!wasDraining && machine.draining)
      this.scope.log.info({ part: part.id, host: machine.host }, "machine set aside: it failed tasks of several jobs");
    this.act(part, findings);
    if (newer && part.phase === "fencing") this.reviewFence(part);
    return newer;
  }

  /** Spec of a job that is not ours to run, so that what it uses still counts. */
  private stranger(ref: string): Unit {
    const job = this.mirror.get<JobRecord>(keys.job(ref))?.v;
    const spec: JobSpec =
      job?.spec ??
      ({
        ref,
        klass: "",
        team: "",
        kind: "array",
        urgency: "low",
        tasks: 1,
        cpus: 0,
        gpus: 0,
        ram: 0,
        types: null,
        zone: null,
        oneZone: false,
        spread: false,
        spot: true,
        image: "",
        imageGb: 0,
        guessS: 0,
        checkpointS: 0,
        flushS: 0,
        deadlineS: null,
      } satisfies JobSpec);
    const unit = newUnit(`stranger/${ref}`, { ...spec }, 0, 0, new Bits(0), 0, this.now);
    unit.ended = true;
    return unit;
  }

  /** Machines of a rental that have come up are recorded together, in one write. */
  private recordUp(part: Part, machine: Machine): void {
    const key = this.rentals.get(machine.host)?.key;
    if (key === undefined || machine.addr === null || this.upPending.has(key)) return;
    this.upPending.add(key);
    const came = (host: string): string | null => {
      const known = part.machines.get(host);
      return known === undefined || known.heardAt === -Infinity || known.deleting ? null : known.addr;
    };
    const draft = () => {
      const entry = this.mirror.get<RentalRecord>(key);
      if (entry?.v.hosts === undefined || this.mirror.stamp(keys.owner(part.id)) !== part.term) return null;
      const hosts = { ...entry.v.hosts };
      let more = 0;
      for (const [host, addr] of Object.entries(hosts)) {
        const at = addr === "" ? came(host) : null;
        if (at === null) continue;
        hosts[host] = at;
        more++;
      }
      if (more === 0) return null;
      return {
        conditions: [
          { k: key, stamp: entry.stamp },
          { k: keys.owner(part.id), stamp: part.term },
        ],
        apply: [{ write: key, v: { ...entry.v, hosts } satisfies RentalRecord }],
      };
    };
    void this.committer.commit("up", draft, { first: true }).then((outcome) => {
      this.upPending.delete(key);
      if (outcome === "shed") return;
      // Those that came up while the write was under way.
      const hosts = this.mirror.get<RentalRecord>(key)?.v.hosts ?? {};
      const late = Object.entries(hosts).find(([host, addr]) => addr === "" && came(host) !== null);
      const next = late === undefined ? undefined : part.machines.get(late[0]);
      if (next !== undefined && this.parts.get(part.id) === part) this.recordUp(part, next);
      this.wake();
    });
  }

  private act(part: Part, findings: Findings): void {
    for (const unit of findings.finished) this.record(part, unit);
    for (const { unit, seconds, host } of findings.runs) {
      this.judgePace(part, unit, seconds, host);
      this.history.note(unit.spec, seconds);
    }
    for (const placement of findings.began) this.began(part, placement);
    for (const unit of findings.broken) this.bringDown(part, unit);
    if (findings.changed) this.wake();
  }

  private began(part: Part, placement: Placement): void {
    const { spec, submittedWall, moved } = placement.unit;
    this.stats.starts++;
    this.began$.next({ klass: spec.klass, waitS: Math.max(0, this.scope.clock.wall() - submittedWall) / 1000 });
    this.scope.log.debug(
      {
        part: part.id,
        job: spec.ref,
        task: placement.task,
        class: spec.klass,
        host: placement.host,
        waitMs: Math.round(this.scope.clock.wall() - submittedWall),
        startMs: Math.round(this.now - placement.orderedAt),
        moved,
      },
      "running",
    );
  }

  /** A machine on which several tasks took much longer than their kin is returned when empty. */
  private judgePace(part: Part, unit: Unit, seconds: number, host: string): void {
    const machine = part.machines.get(host);
    // A gang runs as fast as its slowest machine, so its times accuse none of them.
    if (machine === undefined || unit.spec.kind !== "array") return;
    machine.pace.sum += Math.log(seconds / this.history.expectS(unit.spec));
    machine.pace.count++;
    if (machine.draining || machine.pace.count < SLOW_AFTER || machine.pace.sum / machine.pace.count < Math.log(SLOW_FACTOR)) return;
    machine.draining = true;
    this.scope.log.info({ part: part.id, host, factor: Math.exp(machine.pace.sum / machine.pace.count) }, "machine set aside: slow");
  }

  /**
   * Work that can save, and replicas, leave a machine that is going while there is
   * time; what would finish first, or cannot save anyway, runs on.
   */
  private evacuate(part: Part, machine: Machine): void {
    const { reportMs } = this.settings.timing;
    const leftMs = machine.noticeAt === null ? Infinity : machine.noticeAt - this.now;
    for (const placement of machine.placements.values()) {
      const { spec } = placement.unit;
      if (placement.stop !== null || placement.state !== "running") continue;
      const flushMs = spec.flushS * 1000;
      const isService = spec.kind === "service";
      if (!isService && (machine.noticeAt === null || spec.checkpointS <= 0)) continue;
      const runLeftMs = this.history.expectS(spec) * 1000 - (this.now - (placement.runningAt ?? this.now));
      const now = isService || (leftMs < flushMs + 2 * reportMs && leftMs > flushMs && runLeftMs > leftMs);
      if (!now) continue;
      // All of a gang must be told within `gang_peer_s` of the first, or the save fails.
      const together = spec.kind === "gang" ? [...placement.unit.placed.values()] : [placement];
      for (const mate of together) {
        const host = part.machines.get(mate.host);
        if (mate.stop !== null || host === undefined) continue;
        mate.stop = { graceS: spec.flushS };
        this.dispatch$.next({ part, machine: host });
      }
    }
  }

  /** A gang lost a member: the rest must go before all can start again. */
  private bringDown(part: Part, unit: Unit): void {
    for (const placement of unit.placed.values()) {
      if (placement.stop !== null) continue;
      placement.stop = { graceS: 0 };
      const machine = part.machines.get(placement.host);
      if (machine !== undefined) this.dispatch$.next({ part, machine });
    }
  }

  // ---- time

  private watch(): void {
    const { expiryMs } = this.settings.timing;
    for (const part of this.parts.values()) {
      for (const machine of part.machines.values()) {
        if (!machine.lost && machine.up && this.now > machine.answeredAt + expiryMs) {
          // Nobody answered it validly for longer than its lease: its tasks are gone.
          machine.lost = true;
          machine.fenced = true;
          const findings = newFindings();
          dropAll(machine, this.now, findings);
          findings.changed = true;
          this.scope.log.info({ part: part.id, host: machine.host }, "machine lost: its lease ran out");
          this.act(part, findings);
        }
        if (part.phase === "serving" && (machine.noticeAt !== null || machine.draining)) this.evacuate(part, machine);
        if (!machine.fenced && !machine.lost && part.phase === "fencing") this.dispatch$.next({ part, machine });
      }
      if (part.phase === "fencing") this.reviewFence(part);
    }
    this.wake();
  }

  private reviewFence(part: Part): void {
    for (const machine of part.machines.values()) if (!machine.fenced) return;
    part.phase = "serving";
    this.stats.fencedMs = Math.round(this.now - part.since);
    this.scope.log.info(
      { part: part.id, term: part.term, ms: Math.round(this.now - part.since), machines: part.machines.size },
      "all machines accounted for; placing",
    );
    // Gangs found incomplete cannot be completed by a new attempt: bring them down.
    for (const unit of part.units.values()) {
      if (unit.spec.kind === "gang" && unit.placed.size > 0 && unit.waiting.length > 0) this.bringDown(part, unit);
      if (unit.done.count > 0) this.record(part, unit);
    }
    this.wake();
  }

  /** One line a part, enough to see from logs alone where work waits and room lies idle. */
  private summarize(): void {
    for (const part of this.parts.values()) {
      const types: Record<string, string> = {};
      for (const machine of part.machines.values()) {
        const name = `${machine.type}${machine.spot ? "/spot" : ""}`;
        const [up, all] = (types[name] ?? "0/0").split("/").slice(-2).map(Number) as [number, number];
        types[name] = `${up + Number(machine.up && !machine.lost)}/${all + 1}`;
      }
      const waiting: Record<string, number> = {};
      for (const unit of part.units.values())
        if (unit.waiting.length > 0) waiting[unit.spec.klass] = (waiting[unit.spec.klass] ?? 0) + unit.waiting.length;
      const used = Object.fromEntries([...usageByTeam(part)].map(([team, u]) => [team, `${Math.round(u.cpus)}c ${Math.round(u.gpus)}g`]));
      const held = Object.fromEntries(
        this.settings.platform.deployment.teams.map(({ name }) => {
          const h = this.allotments.held(part.id, name);
          return [name, `${Number.isFinite(h.cpus) ? Math.round(h.cpus) : "-"}c ${Number.isFinite(h.gpus) ? Math.round(h.gpus) : "-"}g`];
        }),
      );
      this.scope.log.info({ part: part.id, term: part.term, phase: part.phase, types, waiting, used, held }, "part");
    }
  }

  // ---- placement

  /** Runs a pass soon; many events share one. */
  wake(): void {
    if (this.passDue) return;
    this.passDue = true;
    this.scope.clock.after(this.settings.timing.passGapMs, () => {
      this.passDue = false;
      if (!this.scope.closed) this.pass();
    });
  }

  order(): LocalOrder {
    return localOrder({
      mode: this.settings.operators.queue.order,
      nowWall: this.scope.clock.wall(),
      finishS: (klass) => aimS(this.settings.platform, "finished", klass),
      expectS: (unit) => this.history.expectS(unit.spec),
      guaranteed: (unit) => this.guarantees.within(unit.spec.ref),
    });
  }

  bootMs(machine: Machine): number {
    return (this.types.find((type) => type.name === machine.type)?.bootS ?? 0) * 1000;
  }

  /** Half of the time in which tasks of the class should start; without such an aim, a lease. */
  private reserveAfterMs(klass: string): number {
    const aim = aimS(this.settings.platform, "wait", klass);
    return Number.isFinite(aim) ? (aim * 1000) / 2 : this.settings.timing.leaseMs;
  }

  /** What each team uses in the parts this node leads. */
  use(): TeamUse[] {
    const sum = new Map<string, TeamUse>();
    for (const part of this.parts.values()) {
      for (const [team, { cpus, gpus }] of part.usage) {
        const entry = sum.get(team) ?? { team, cpus: 0, gpus: 0 };
        sum.set(team, { team, cpus: entry.cpus + cpus, gpus: entry.gpus + gpus });
      }
    }
    return [...sum.values()];
  }

  private pass(): void {
    if (this.silent() || this.types.length === 0) return;
    const { backfill } = this.settings.operators.queue;
    const order = this.order();
    const claims = {
      guaranteed: (unit: Unit) => this.guarantees.within(unit.spec.ref),
      excess: this.guarantees.excess(this.use()),
    };
    for (const part of this.parts.values()) {
      const context = {
        now: this.now,
        silentMs: this.settings.timing.reportMs * 2,
        order,
        backfill,
        allotment: (team: string) => this.allotments.held(part.id, team),
        expectS: (unit: Unit) => this.history.expectS(unit.spec),
        bootMs: (machine: Machine) => this.bootMs(machine),
        reserveAfterMs: (klass: string) => this.reserveAfterMs(klass),
      };
      const result = runPass(part, context);
      const patienceMs = this.settings.operators.exchange.phi * PREEMPT_AFTER_PHI * 1000;
      for (const placement of choosePreemptions(part, { ...context, ...claims, patienceMs })) {
        const { spec } = placement.unit;
        placement.stop = { graceS: spec.checkpointS > 0 ? spec.flushS : 0 };
        this.stats.preemptions++;
        this.scope.log.debug(
          { part: part.id, job: spec.ref, task: placement.task, host: placement.host },
          "stopped for work of higher priority",
        );
        result.touched.add(part.machines.get(placement.host)!);
      }
      for (const machine of result.touched) this.dispatch$.next({ part, machine });
      for (const [team, want] of result.short) this.short$.next({ part, team, want });
    }
  }
}
