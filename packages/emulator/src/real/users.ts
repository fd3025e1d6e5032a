import { encodeJob } from "@thorntrail/protocol/jobs";
import type { Happening } from "../checker.js";
import type { Planned } from "../plan.js";
import { agentOf, ask, objectOf, type Raw } from "./http.js";

const PATIENCE_MS = { submit: 5000, poll: 2000 };
const GIVE_UP_MS = 60_000;
const POLL_MS = 2000;

export interface JobSeen {
  planned: Planned;
  submittedMs: number;
  acceptedMs: number | null;
  final: "done" | "withdrawn" | null;
  finalMs: number | null;
}

/** Users as the protocol has them: they submit through the load balancer, repeat, poll and cancel. */
export class Users {
  private readonly agent = agentOf(64);
  readonly jobs = new Map<string, JobSeen>();
  private over = false;

  constructor(
    private readonly addr: string,
    private readonly now: () => number,
    private readonly history: Happening[],
    private readonly luck: () => number,
  ) {}

  private wait(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
  }

  private hear(ref: string, answer: Raw | null): void {
    if (answer === null) return;
    const at = this.now();
    if (answer.status === 200 || answer.status === 201)
      this.history.push({ at, kind: "told", ref, what: (objectOf(answer.text)["status"] as "done" | undefined) ?? "queued" });
    else if (answer.status === 404) this.history.push({ at, kind: "told", ref, what: "unknown" });
    else if (answer.status === 400 || answer.status === 422) this.history.push({ at, kind: "told", ref, what: "refused" });
  }

  private async insist(path: string, ref: string, body: string | undefined): Promise<Raw | null> {
    const until = this.now() + GIVE_UP_MS;
    while (!this.over && this.now() < until) {
      const answer = await ask(this.agent, this.addr, "POST", path, body, PATIENCE_MS.submit);
      this.hear(ref, answer);
      if (answer !== null && answer.status < 429) return answer;
      await this.wait(Math.max(1000, Number(answer?.retryAfter ?? 0) * 1000));
    }
    return null;
  }

  /** Submits one job and follows it to its end. */
  async follow(planned: Planned): Promise<void> {
    const { spec, cancelMs } = planned;
    const seen: JobSeen = { planned, submittedMs: this.now(), acceptedMs: null, final: null, finalMs: null };
    this.jobs.set(spec.ref, seen);
    this.history.push({ at: this.now(), kind: "submitted", spec });
    const accepted = await this.insist("/v2/runs", spec.ref, JSON.stringify(encodeJob(spec)));
    if (accepted === null || accepted.status >= 400) return;
    seen.acceptedMs = this.now();
    if (cancelMs !== null) setTimeout(() => void this.cancel(spec.ref), cancelMs);
    while (!this.over && seen.final === null) {
      await this.wait(POLL_MS * (0.75 + this.luck() / 2));
      const answer = await ask(this.agent, this.addr, "GET", `/v2/runs/${spec.ref}`, undefined, PATIENCE_MS.poll);
      this.hear(spec.ref, answer);
      const status = answer?.status === 200 ? objectOf(answer.text)["status"] : undefined;
      if (status === "done" || status === "withdrawn") Object.assign(seen, { final: status, finalMs: this.now() });
    }
  }

  async cancel(ref: string): Promise<void> {
    this.history.push({ at: this.now(), kind: "asked-cancel", ref });
    await this.insist(`/v2/runs/${ref}/cancel`, ref, undefined);
  }

  close(): void {
    this.over = true;
    this.agent.destroy();
  }
}
