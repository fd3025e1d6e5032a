/** The users who submit, poll and cancel jobs in a rehearsal on real processes. */
import { encodeJob, type JobSpec } from "@thorntrail/protocol/jobs";
import { statusFromResponse, type HistoryEvent } from "../checker.js";
import type { PlannedSubmission } from "../plan.js";
import type { MessageCopies } from "../message-copies.js";
import { createAgent, sendRequest, parseObject, type RawResponse } from "./http.js";

/** How long users wait for the answer to a request before they repeat it. */
const TIMEOUT_MS = { submit: 5000, poll: 2000 };
/** How long a submission or cancellation is repeated without an answer. */
const RETRY_LIMIT_MS = 60_000;
const POLL_MS = 2000;
/** How network rules match a user's request; the load balancer chooses the controller. */
const USER_REQUEST = { from: "users", to: "balancer", what: "request" } as const;

/** A submitted job as its user sees it. */
export interface TrackedJob {
  planned: PlannedSubmission;
  acceptedMs: number | null;
  terminalState: "done" | "withdrawn" | null;
}

/** Simulated users that follow the protocol: they submit through the load balancer, repeat unanswered requests, poll and cancel. */
export class Users {
  private readonly agent = createAgent(64);
  readonly jobs = new Map<string, TrackedJob>();
  private closed = false;

  constructor(
    private readonly addr: string,
    private readonly now: () => number,
    private readonly recordEvent: (event: HistoryEvent) => void,
    private readonly random: () => number,
    private readonly copies: MessageCopies,
  ) {}

  private wait(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
  }

  /** Records the job state that an answer contains; `sentAt` is the time at which the request was sent. */
  private recordAnswer(ref: string, sentAt: number, answer: RawResponse | null): void {
    if (answer === null) return;
    const what = statusFromResponse(answer.status, parseObject(answer.text));
    if (what !== null) this.recordEvent({ at: this.now(), kind: "told", ref, asked: sentAt, what });
  }

  /** Repeats a POST until it is answered with a status below 429; null after `RETRY_LIMIT_MS` or once closed. */
  private async postUntilAnswered(path: string, ref: string, body: string | undefined, addr = this.addr): Promise<RawResponse | null> {
    const until = this.now() + RETRY_LIMIT_MS;
    while (!this.closed && this.now() < until) {
      const sentAt = this.now();
      const answer = await sendRequest(this.agent, addr, "POST", path, body, TIMEOUT_MS.submit);
      this.recordAnswer(ref, sentAt, answer);
      if (answer !== null && answer.status < 429) {
        this.copies.carriedOut(USER_REQUEST, () => this.sendAgain(addr, path, body));
        return answer;
      }
      await this.wait(Math.max(1000, Number(answer?.retryAfter ?? 0) * 1000));
    }
    return null;
  }

  /** Sends a copy of a request that was answered; returns whether the copy is answered without an error. */
  private async sendAgain(addr: string, path: string, body: string | undefined): Promise<boolean> {
    if (this.closed) return false;
    const answer = await sendRequest(this.agent, addr, "POST", path, body, TIMEOUT_MS.submit);
    return answer !== null && answer.status < 400;
  }

  /** Submits one job; false if it was refused or never answered. */
  async submit(planned: PlannedSubmission): Promise<boolean> {
    const { spec } = planned;
    const job: TrackedJob = { planned, acceptedMs: null, terminalState: null };
    this.jobs.set(spec.ref, job);
    this.recordEvent({ at: this.now(), kind: "submitted", spec });
    const accepted = await this.postUntilAnswered("/v2/runs", spec.ref, JSON.stringify(encodeJob(spec)));
    if (accepted === null || accepted.status >= 400) return false;
    job.acceptedMs = this.now();
    return true;
  }

  /** Returns the job's state as answered; an empty string if the answer contains none. */
  async poll(ref: string, addr = this.addr): Promise<string> {
    const sentAt = this.now();
    const answer = await sendRequest(this.agent, addr, "GET", `/v2/runs/${ref}`, undefined, TIMEOUT_MS.poll);
    this.recordAnswer(ref, sentAt, answer);
    if (answer?.status !== 200 && answer?.status !== 404) this.recordEvent({ at: this.now(), kind: "unanswered", ref });
    const status = answer?.status === 200 ? parseObject(answer.text)["status"] : undefined;
    const job = this.jobs.get(ref);
    if (job !== undefined && (status === "done" || status === "withdrawn")) job.terminalState = status;
    return typeof status === "string" ? status : "";
  }

  /** A randomised pause between two polls, in ms: 0.75 to 1.25 times `POLL_MS`. */
  pollMs(): number {
    return POLL_MS * (0.75 + this.random() / 2);
  }

  /** Submits one job and polls it until it is done or withdrawn. */
  async follow(planned: PlannedSubmission): Promise<void> {
    const { spec, cancelMs } = planned;
    if (!(await this.submit(planned))) return;
    if (cancelMs !== null) setTimeout(() => void this.cancel(spec.ref), cancelMs);
    while (!this.closed && this.jobs.get(spec.ref)?.terminalState === null) {
      await this.wait(this.pollMs());
      await this.poll(spec.ref);
    }
  }

  /** Requests the cancellation of a job, repeatedly until answered. */
  async cancel(ref: string, addr = this.addr): Promise<void> {
    this.recordEvent({ at: this.now(), kind: "asked-cancel", ref });
    await this.postUntilAnswered(`/v2/runs/${ref}/cancel`, ref, undefined, addr);
  }

  /** Submits the job description `wire` unchanged to one controller; `never` is the reason why a faulty one must not be accepted. */
  async submitRaw(wire: Record<string, unknown>, spec: JobSpec, addr: string, never?: string): Promise<void> {
    if (never !== undefined) this.recordEvent({ at: this.now(), kind: "submitted", spec, never });
    await this.postUntilAnswered("/v2/runs", spec.ref, JSON.stringify(wire), addr);
  }

  /** Stops all retries and polls. */
  close(): void {
    this.closed = true;
    this.agent.destroy();
  }
}
