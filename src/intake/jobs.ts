import type { Committer } from "../ledger/committer.js";
import type { Mirror } from "../ledger/mirror.js";
import { doneOf, fitting, keys, type JobRecord } from "../ledger/records.js";
import type { Overload } from "../overload/overload.js";
import type { Scope } from "../platform/scope.js";
import type { Leader } from "../parts/leader.js";
import type { Needs } from "../pipelines/needs.js";
import { rank } from "../queue/order.js";
import type { Settings } from "../settings/derived.js";
import type { Admission } from "./admission.js";
import { type JobSpec, decodeJob, isRef } from "@thorntrail/protocol/jobs";
import type { Submissions } from "./submissions.js";

export interface Response {
  status: number;
  body: Record<string, unknown>;
  retryAfterS?: number;
}

/** What users may ask for, apart from how it reaches us. */
export class Jobs {
  constructor(
    private readonly settings: Settings,
    private readonly leader: Leader,
    private readonly mirror: Mirror,
    private readonly needs: Needs,
    private readonly submissions: Submissions,
    private readonly admission: Admission,
    private readonly committer: Committer,
    private readonly overload: Overload,
    private readonly scope: Scope,
  ) {}

  private ended(ref: string): boolean {
    return this.needs.fate(ref) !== undefined;
  }

  private unavailable(error: string, status = 503): Response {
    return { status, body: { error }, retryAfterS: status === 429 ? this.overload.retryAfterS() : 1 };
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
  private async fresh(patienceMs: number): Promise<boolean> {
    const limitMs = Math.min(patienceMs, this.settings.timing.stateTimeoutMs * 0.75);
    const began = this.scope.clock.now();
    const read = this.mirror.fresh(began + limitMs);
    return (await this.within(read, limitMs)) && this.scope.clock.now() - began <= limitMs + this.settings.timing.stallMs;
  }

  /** `patienceMs`: whoever asks has given up by then. */
  async submit(raw: unknown, patienceMs = Infinity): Promise<Response> {
    const decoded = decodeJob(raw);
    if ("fault" in decoded) return { status: 400, body: { error: decoded.fault } };
    const { spec } = decoded;
    const known = this.mirror.get<JobRecord>(keys.job(spec.ref))?.v;
    if (this.ended(spec.ref)) return this.state(spec.ref);
    if (!this.reachable()) return this.unavailable("the state service does not answer");
    if (known !== undefined)
      return (await this.fresh(patienceMs)) ? this.state(spec.ref) : this.unavailable("the state service does not answer");
    if (this.leader.types.length === 0) return this.unavailable("machine types are not known yet");
    const refused = (): string | null =>
      this.admission.refused(spec) ??
      (this.submissions.fits(spec) ? null : "its description is longer than can be recorded") ??
      this.wrongNeed(spec);
    let never = refused();
    if (never !== null) {
      if (!(await this.fresh(patienceMs))) return this.unavailable("the state service does not answer");
      if (this.mirror.get(keys.job(spec.ref)) !== undefined) return this.state(spec.ref);
      // A job it names may have been accepted elsewhere a moment ago.
      never = refused();
      if (never !== null) return { status: 422, body: { error: never } };
    }
    if (this.admission.undecided(spec)) {
      this.submissions.abandonPrepared();
      return this.unavailable("a change of the team's limits is being decided");
    }
    const hurry = rank(spec.urgency) <= rank("urgent");
    if (this.overload.sheds(hurry ? "urgent submission" : "submission")) return this.unavailable("too many requests", 429);
    const part = this.submissions.choosePart();
    if (part === null) return this.unavailable("no part has a leader yet");
    const shedAfterMs = Math.min(patienceMs, this.settings.timing.stateTimeoutMs);
    const began = this.scope.clock.now();
    let outcome = "shed";
    const work = this.submissions.record(spec, part, shedAfterMs).then((result) => (outcome = result));
    if (!(await this.within(work, shedAfterMs * 1.5)) || outcome === "shed")
      return this.unavailable("the job could not be recorded in time");
    if (outcome === "done") {
      const fate = this.needs.fate(spec.ref);
      const ms = Math.round(this.scope.clock.now() - began);
      this.scope.log.debug({ job: spec.ref, part, needs: spec.needs?.length ?? 0, fate, ms }, "job accepted");
      return fate === undefined ? { status: 201, body: { ref: spec.ref, status: "queued" } } : { ...this.state(spec.ref), status: 201 };
    }
    if (!(await this.fresh(patienceMs))) return this.unavailable("the state service does not answer");
    if (this.mirror.get(keys.job(spec.ref)) !== undefined) return this.state(spec.ref);
    // The configuration changed before the job was recorded.
    never = refused();
    return never === null ? this.unavailable("the configuration is changing") : { status: 422, body: { error: never } };
  }

  /** Why the jobs it names cannot be waited for, or null. Call only with a mirror that is fresh, or has them all. */
  private wrongNeed(spec: JobSpec): string | null {
    for (const ref of spec.needs ?? []) {
      const need = this.mirror.get<JobRecord>(keys.job(ref))?.v;
      if (need === undefined) return `waitsOn names ${ref}, which was never accepted`;
      if (need.spec.kind === "service") return `waitsOn names ${ref}, which is a service and never done`;
    }
    return null;
  }

  async poll(ref: string, patienceMs = Infinity): Promise<Response> {
    if (!isRef(ref)) return { status: 404, body: { error: "no such job" } };
    // A final state stays; anything else may have been overtaken elsewhere.
    if (!this.ended(ref) && !(this.reachable() && (await this.fresh(patienceMs))))
      return this.unavailable("the state service does not answer");
    return this.state(ref);
  }

  async cancel(ref: string, patienceMs = Infinity): Promise<Response> {
    const key = keys.job(ref);
    if (!isRef(ref)) return { status: 404, body: { error: "no such job" } };
    if (this.ended(ref)) return this.state(ref);
    if (!this.reachable()) return this.unavailable("the state service does not answer");
    if (this.mirror.get(key) === undefined) {
      if (!(await this.fresh(patienceMs))) return this.unavailable("the state service does not answer");
      if (this.mirror.get(key) === undefined) return { status: 404, body: { error: "no such job" } };
    }
    const shedAfterMs = Math.min(patienceMs, this.settings.timing.stateTimeoutMs);
    const answered = await this.within(
      this.committer.commit(
        "cancel",
        () => {
          const entry = this.mirror.get<JobRecord>(key);
          if (entry === undefined || this.ended(ref)) return null;
          const v = fitting<JobRecord>({ ...entry.v, end: "withdrawn" }, entry.v.hi, this.settings.state.valueKb);
          return { conditions: [{ k: key, stamp: entry.stamp }], apply: [{ write: key, v }] };
        },
        { shedAfterMs, turn: "now" },
      ),
      shedAfterMs * 1.5,
    );
    if (!answered || !this.ended(ref)) return this.unavailable("the cancellation could not be recorded in time");
    return this.state(ref);
  }

  private state(ref: string): Response {
    const job = this.mirror.get<JobRecord>(keys.job(ref))?.v;
    if (job === undefined) return { status: 404, body: { error: "no such job" } };
    const total = job.spec.tasks;
    // Cancelled with a job that it needs is cancelled, whether or not its own record says so.
    const fate = this.needs.fate(ref);
    let done = fate === "done" ? total : doneOf(job, job.hi).count;
    let running = 0;
    if (fate === undefined) {
      if (job.hi < total) {
        for (const [, { v }] of this.mirror.slicesOf(ref)) done += doneOf(v, v.hi - v.lo).count;
      }
      for (const part of this.leader.parts.values()) {
        for (const unit of part.byRef.get(ref) ?? []) for (const p of unit.placed.values()) if (p.state === "running") running++;
      }
    }
    const status = fate ?? (running > 0 || done > 0 ? "running" : "queued");
    if (this.scope.log.isLevelEnabled("debug"))
      this.scope.log.debug({ job: ref, status, done, readAgoMs: Math.round(this.mirror.ageMs()) }, "answer to a user");
    return { status: 200, body: { ref, status, done, running } };
  }
}
