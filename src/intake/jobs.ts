import type { GroupCommitter } from "../ledger/group-committer.js";
import type { StateReplica } from "../ledger/state-replica.js";
import { doneTasks, fitToLimit, keys, type JobRecord } from "../ledger/records.js";
import type { OverloadMonitor } from "../overload/overload.js";
import type { Scope } from "../platform/scope.js";
import type { Leader } from "../partitions/leader.js";
import type { JobDependencies } from "../pipelines/job-dependencies.js";
import { rank } from "../queue/queue-order.js";
import type { Settings } from "../settings/derived.js";
import type { Admission } from "./admission.js";
import { type JobSpec, decodeJob, isJobRef } from "@thorntrail/protocol/jobs";
import type { Submissions } from "./submissions.js";

/** Response to a user's request, independent of the transport. */
export interface Response {
  status: number;
  body: Record<string, unknown>;
  retryAfterS?: number;
}

/** Handles users' requests to submit, poll and cancel jobs, independent of the transport. */
export class Jobs {
  constructor(
    private readonly settings: Settings,
    private readonly leader: Leader,
    private readonly replica: StateReplica,
    private readonly needs: JobDependencies,
    private readonly submissions: Submissions,
    private readonly admission: Admission,
    private readonly committer: GroupCommitter,
    private readonly overload: OverloadMonitor,
    private readonly scope: Scope,
  ) {}

  private isTerminal(ref: string): boolean {
    return this.needs.outcome(ref) !== undefined;
  }

  private unavailable(error: string, status = 503): Response {
    return { status, body: { error }, retryAfterS: status === 429 ? this.overload.retryAfterS() : 1 };
  }

  private stateReachable(): boolean {
    return this.replica.loaded && this.replica.ageMs() < this.settings.timing.contactMs;
  }

  /** Resolves with whether the work succeeds within `ms`; if not, the user is asked to retry. */
  private completesWithin(work: Promise<unknown>, ms: number): Promise<boolean> {
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

  /**
   * Brings the replica up to date; false if that fails or takes too long. The elapsed time is checked again after the
   * read, because data read before a stall of this process is not fresh.
   */
  private async refreshReplica(patienceMs: number): Promise<boolean> {
    const limitMs = Math.min(patienceMs, this.settings.timing.stateTimeoutMs * 0.75);
    const startedAt = this.scope.clock.now();
    const read = this.replica.refresh(startedAt + limitMs);
    return (await this.completesWithin(read, limitMs)) && this.scope.clock.now() - startedAt <= limitMs + this.settings.timing.stallMs;
  }

  /** Accepts a job, or returns the status of the recorded one. `patienceMs`: time after which the requester no longer waits. */
  async submit(raw: unknown, patienceMs = Infinity): Promise<Response> {
    const decoded = decodeJob(raw);
    if ("fault" in decoded) return { status: 400, body: { error: decoded.fault } };
    const { spec } = decoded;
    const existing = this.replica.get<JobRecord>(keys.job(spec.ref))?.v;
    if (this.isTerminal(spec.ref)) return this.statusResponse(spec.ref);
    if (!this.stateReachable()) return this.unavailable("the state service does not answer");
    if (existing !== undefined)
      return (await this.refreshReplica(patienceMs))
        ? this.statusResponse(spec.ref)
        : this.unavailable("the state service does not answer");
    if (this.leader.types.length === 0) return this.unavailable("machine types are not known yet");
    const rejectionReason = (): string | null =>
      this.admission.rejectionReason(spec) ??
      (this.submissions.descriptionFits(spec) ? null : "its description is longer than can be recorded") ??
      this.invalidNeed(spec);
    let rejection = rejectionReason();
    if (rejection !== null) {
      if (!(await this.refreshReplica(patienceMs))) return this.unavailable("the state service does not answer");
      if (this.replica.get(keys.job(spec.ref)) !== undefined) return this.statusResponse(spec.ref);
      // Checked again after the refresh, because another controller may have accepted a job that this job depends on.
      rejection = rejectionReason();
      if (rejection !== null) return { status: 422, body: { error: rejection } };
    }
    if (this.admission.affectedByPreparedChange(spec)) {
      this.submissions.abandonStaleChange();
      return this.unavailable("a change of the team's limits is being decided");
    }
    const isUrgent = rank(spec.urgency) <= rank("urgent");
    if (this.overload.sheds(isUrgent ? "urgent submission" : "submission")) return this.unavailable("too many requests", 429);
    const partition = this.submissions.choosePartition();
    if (partition === null) return this.unavailable("no part has a leader yet");
    const shedAfterMs = Math.min(patienceMs, this.settings.timing.stateTimeoutMs);
    const startedAt = this.scope.clock.now();
    let outcome = "shed";
    const work = this.submissions.record(spec, partition, shedAfterMs).then((result) => (outcome = result));
    if (!(await this.completesWithin(work, shedAfterMs * 1.5)) || outcome === "shed")
      return this.unavailable("the job could not be recorded in time");
    if (outcome === "done") {
      const terminalState = this.needs.outcome(spec.ref);
      const ms = Math.round(this.scope.clock.now() - startedAt);
      this.scope.log.debug({ job: spec.ref, part: partition, needs: spec.needs?.length ?? 0, fate: terminalState, ms }, "job accepted");
      return terminalState === undefined
        ? { status: 201, body: { ref: spec.ref, status: "queued" } }
        : { ...this.statusResponse(spec.ref), status: 201 };
    }
    if (!(await this.refreshReplica(patienceMs))) return this.unavailable("the state service does not answer");
    if (this.replica.get(keys.job(spec.ref)) !== undefined) return this.statusResponse(spec.ref);
    // The job was not recorded because the configuration changed after the first check.
    rejection = rejectionReason();
    return rejection === null ? this.unavailable("the configuration is changing") : { status: 422, body: { error: rejection } };
  }

  /**
   * Returns why the job's dependencies are invalid; null if they are valid. The result is reliable only if the replica is fresh or
   * contains all of them.
   */
  private invalidNeed(spec: JobSpec): string | null {
    for (const ref of spec.needs ?? []) {
      const need = this.replica.get<JobRecord>(keys.job(ref))?.v;
      if (need === undefined) return `waitsOn names ${ref}, which was never accepted`;
      if (need.spec.kind === "service") return `waitsOn names ${ref}, which is a service and never done`;
    }
    return null;
  }

  /** Returns the status of a job. `patienceMs`: time after which the requester no longer waits. */
  async poll(ref: string, patienceMs = Infinity): Promise<Response> {
    if (!isJobRef(ref)) return { status: 404, body: { error: "no such job" } };
    // A terminal state never changes, but another controller may have changed any other state since the last read.
    if (!this.isTerminal(ref) && !(this.stateReachable() && (await this.refreshReplica(patienceMs))))
      return this.unavailable("the state service does not answer");
    return this.statusResponse(ref);
  }

  /** Records the cancellation of a job. `patienceMs`: time after which the requester no longer waits. */
  async cancel(ref: string, patienceMs = Infinity): Promise<Response> {
    const key = keys.job(ref);
    if (!isJobRef(ref)) return { status: 404, body: { error: "no such job" } };
    if (this.isTerminal(ref)) return this.statusResponse(ref);
    if (!this.stateReachable()) return this.unavailable("the state service does not answer");
    if (this.replica.get(key) === undefined) {
      if (!(await this.refreshReplica(patienceMs))) return this.unavailable("the state service does not answer");
      if (this.replica.get(key) === undefined) return { status: 404, body: { error: "no such job" } };
    }
    const shedAfterMs = Math.min(patienceMs, this.settings.timing.stateTimeoutMs);
    const answered = await this.completesWithin(
      this.committer.commit(
        "cancel",
        () => {
          const entry = this.replica.get<JobRecord>(key);
          if (entry === undefined || this.isTerminal(ref)) return null;
          const v = fitToLimit<JobRecord>({ ...entry.v, end: "withdrawn" }, entry.v.hi, this.settings.state.valueKb);
          return { conditions: [{ k: key, stamp: entry.stamp }], apply: [{ write: key, v }] };
        },
        { shedAfterMs, priority: "now" },
      ),
      shedAfterMs * 1.5,
    );
    if (!answered || !this.isTerminal(ref)) return this.unavailable("the cancellation could not be recorded in time");
    return this.statusResponse(ref);
  }

  private statusResponse(ref: string): Response {
    const job = this.replica.get<JobRecord>(keys.job(ref))?.v;
    if (job === undefined) return { status: 404, body: { error: "no such job" } };
    const total = job.spec.tasks;
    // A job is cancelled as soon as one of its dependencies is, even before its own record is updated.
    const terminalState = this.needs.outcome(ref);
    let done = terminalState === "done" ? total : doneTasks(job, job.hi).count;
    let running = 0;
    if (terminalState === undefined) {
      if (job.hi < total) {
        for (const [, { v }] of this.replica.slicesOf(ref)) done += doneTasks(v, v.hi - v.lo).count;
      }
      for (const partition of this.leader.partitions.values()) {
        for (const taskSet of partition.taskSetsByJob.get(ref) ?? [])
          for (const placement of taskSet.placements.values()) if (placement.state === "running") running++;
      }
    }
    const status = terminalState ?? (running > 0 || done > 0 ? "running" : "queued");
    if (this.scope.log.isLevelEnabled("debug"))
      this.scope.log.debug({ job: ref, status, done, readAgoMs: Math.round(this.replica.ageMs()) }, "answer to a user");
    return { status: 200, body: { ref, status, done, running } };
  }
}
