import type { Committer } from "../ledger/committer.js";
import type { Mirror } from "../ledger/mirror.js";
import { keys, sliceCapacity, type JobRecord, type JobSpec, type SliceRecord } from "../ledger/records.js";
import type { Rentals } from "../ledger/rentals.js";
import { Bits } from "../platform/bits.js";
import type { Scope } from "../platform/scope.js";
import type { Leader } from "../parts/leader.js";
import type { Ownership } from "../parts/ownership.js";
import type { Settings } from "../settings/derived.js";
import { neverRuns } from "./admission.js";
import { decodeJob, isRef } from "./codec.js";

export interface Response {
  status: number;
  body: Record<string, unknown>;
  retryAfterS?: number;
}

const MAX_BACKLOG_PER_WRITE = 4;

/** What users may ask for, apart from how it reaches us. */
export class Jobs {
  private turn = 0;

  constructor(
    private readonly settings: Settings,
    private readonly leader: Leader,
    private readonly ownership: Ownership,
    private readonly mirror: Mirror,
    private readonly rentals: Rentals,
    private readonly committer: Committer,
    private readonly scope: Scope,
  ) {}

  private unavailable(error: string, status = 503): Response {
    return { status, body: { error }, retryAfterS: status === 429 ? 2 : 1 };
  }

  private reachable(): boolean {
    return this.mirror.loaded && this.mirror.ageMs() < this.settings.timing.contactMs;
  }

  /** Resolves false if it takes longer: the user is told to come back instead. */
  private within(work: Promise<unknown>, ms: number): Promise<boolean> {
    return new Promise((resolve) => {
      const cancel = this.scope.clock.after(ms, () => resolve(false));
      work.then(
        () => {
          cancel();
          resolve(true);
        },
        () => {
          cancel();
          resolve(false);
        },
      );
    });
  }

  /** The time is looked at again afterwards: what was read before this process stood still is not fresh. */
  private async fresh(): Promise<boolean> {
    const limitMs = this.settings.timing.stateTimeoutMs * 0.75;
    const began = this.scope.clock.now();
    return (await this.within(this.mirror.fresh(), limitMs)) && this.scope.clock.now() - began <= limitMs + this.settings.timing.stallMs;
  }

  async submit(raw: unknown): Promise<Response> {
    const decoded = decodeJob(raw);
    if ("fault" in decoded) return { status: 400, body: { error: decoded.fault } };
    const { spec } = decoded;
    const known = this.mirror.get<JobRecord>(keys.job(spec.ref))?.v;
    if (known?.end !== undefined) return this.state(spec.ref);
    if (!this.reachable()) return this.unavailable("the state service does not answer");
    if (known !== undefined) return (await this.fresh()) ? this.state(spec.ref) : this.unavailable("the state service does not answer");
    if (this.leader.types.length === 0) return this.unavailable("machine types are not known yet");
    const never = neverRuns(spec, this.settings.platform.deployment.teams, this.leader.types);
    if (never !== null) {
      if (!(await this.fresh())) return this.unavailable("the state service does not answer");
      if (this.mirror.get(keys.job(spec.ref)) !== undefined) return this.state(spec.ref);
      return { status: 422, body: { error: never } };
    }
    if (this.committer.backlog > MAX_BACKLOG_PER_WRITE * this.settings.platform.deployment.state.write_rps) {
      return this.unavailable("too many requests", 429);
    }
    const part = this.choosePart();
    if (part === null) return this.unavailable("no part has a leader yet");
    const records = this.recordsFor(spec, part);
    let outcome = "shed";
    const shedAfterMs = this.settings.timing.stateTimeoutMs;
    const answered = await this.within(
      this.committer
        .commit(
          "submit",
          () =>
            this.mirror.get(keys.job(spec.ref)) !== undefined
              ? null
              : { conditions: [...records.keys()].map((k) => ({ k, stamp: 0 })), apply: [...records].map(([write, v]) => ({ write, v })) },
          { shedAfterMs, turn: "now" },
        )
        .then((result) => (outcome = result)),
      shedAfterMs * 1.5,
    );
    if (!answered || outcome === "shed") return this.unavailable("the job could not be recorded in time");
    if (outcome === "done") {
      this.scope.log.debug({ job: spec.ref, part }, "job accepted");
      return { status: 201, body: { ref: spec.ref, status: "queued" } };
    }
    return (await this.fresh()) ? this.state(spec.ref) : this.unavailable("the state service does not answer");
  }

  /** Home, unless it has all the machines it can hold: then the part with the fewest. */
  private choosePart(): number | null {
    const own = [...this.leader.parts.values()];
    const least = <T>(list: T[], load: (one: T) => number): T => list.reduce((a, b) => (load(b) < load(a) ? b : a));
    const machines = (id: number): number => this.rentals.count(id);
    if (own.length > 0) {
      const home = least(own, (p) => (p.phase === "serving" ? 0 : 1e6) + p.units.size).id;
      if (machines(home) < this.settings.mostMachines) return home;
    }
    const led = this.settings.nodes.map((_, id) => id).filter((id) => this.ownership.owner(id) !== undefined);
    if (led.length === 0) return null;
    return own.length > 0 ? least(led, machines) : led[this.turn++ % led.length]!;
  }

  private recordsFor(spec: JobSpec, part: number): Map<string, JobRecord | SliceRecord> {
    const size = sliceCapacity(this.settings.platform.deployment.state.value_kb);
    const records = new Map<string, JobRecord | SliceRecord>();
    // Tasks that must agree on zones stay with one leader; a gang is one slice.
    const together = spec.oneZone || spec.spread;
    const n = this.settings.nodes.length;
    const first = spec.kind === "gang" ? spec.tasks : Math.min(size, spec.tasks);
    records.set(keys.job(spec.ref), { spec, part, hi: first, done: "", at: this.scope.clock.wall() });
    for (let lo = first, i = 1; lo < spec.tasks; lo += size, i++) {
      records.set(keys.slice(spec.ref, lo), {
        ref: spec.ref,
        part: together ? part : (part + i) % n,
        lo,
        hi: Math.min(lo + size, spec.tasks),
        done: "",
      });
    }
    return records;
  }

  async poll(ref: string): Promise<Response> {
    if (!isRef(ref)) return { status: 404, body: { error: "no such job" } };
    const known = this.mirror.get<JobRecord>(keys.job(ref))?.v;
    // A final state stays; anything else may have been overtaken elsewhere.
    if (known?.end === undefined && !(this.reachable() && (await this.fresh())))
      return this.unavailable("the state service does not answer");
    return this.state(ref);
  }

  async cancel(ref: string): Promise<Response> {
    const key = keys.job(ref);
    if (!isRef(ref)) return { status: 404, body: { error: "no such job" } };
    if (this.mirror.get<JobRecord>(key)?.v.end !== undefined) return this.state(ref);
    if (!this.reachable()) return this.unavailable("the state service does not answer");
    if (this.mirror.get(key) === undefined) {
      if (!(await this.fresh())) return this.unavailable("the state service does not answer");
      if (this.mirror.get(key) === undefined) return { status: 404, body: { error: "no such job" } };
    }
    const { stateTimeoutMs } = this.settings.timing;
    const answered = await this.within(
      this.committer.commit(
        "cancel",
        () => {
          const entry = this.mirror.get<JobRecord>(key);
          if (entry === undefined || entry.v.end !== undefined) return null;
          return {
            conditions: [{ k: key, stamp: entry.stamp }],
            apply: [{ write: key, v: { ...entry.v, end: "withdrawn" } satisfies JobRecord }],
          };
        },
        { shedAfterMs: stateTimeoutMs, turn: "now" },
      ),
      stateTimeoutMs * 1.5,
    );
    if (!answered || this.mirror.get<JobRecord>(key)?.v.end === undefined)
      return this.unavailable("the cancellation could not be recorded in time");
    return this.state(ref);
  }

  private state(ref: string): Response {
    const job = this.mirror.get<JobRecord>(keys.job(ref))?.v;
    if (job === undefined) return { status: 404, body: { error: "no such job" } };
    const total = job.spec.tasks;
    let done = job.end === "done" ? total : Bits.decode(job.hi, job.done).count;
    let running = 0;
    if (job.end === undefined) {
      if (job.hi < total) {
        for (const [key, entry] of this.mirror.rows<SliceRecord>(keys.slices)) {
          if (key.startsWith(`${keys.slices}${ref}/`)) done += Bits.decode(entry.v.hi - entry.v.lo, entry.v.done).count;
        }
      }
      for (const part of this.leader.parts.values()) {
        for (const unit of part.byRef.get(ref) ?? []) for (const p of unit.placed.values()) if (p.state === "running") running++;
      }
    }
    const status = job.end ?? (running > 0 || done > 0 ? "running" : "queued");
    return { status: 200, body: { ref, status, done, running } };
  }
}
