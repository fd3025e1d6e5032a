import { encodeJob, type JobSpec } from "@thorntrail/protocol/jobs";
import { toldBy, type Happening } from "../checker.js";
import type { Planned } from "../plan.js";
import { agentOf, ask, objectOf, type Raw } from "./http.js";

const PATIENCE_MS = { submit: 5000, poll: 2000 };
const GIVE_UP_MS = 60_000;
const POLL_MS = 2000;

export interface JobSeen {
  planned: Planned;
  acceptedMs: number | null;
  final: "done" | "withdrawn" | null;
}

/** Users as the protocol has them: they submit through the load balancer, repeat, poll and cancel. */
export class Users {
  private readonly agent = agentOf(64);
  readonly jobs = new Map<string, JobSeen>();
  private over = false;

  constructor(
    private readonly addr: string,
    private readonly now: () => number,
    private readonly happened: (event: Happening) => void,
    private readonly luck: () => number,
  ) {}

  private wait(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
  }

  /** `asked`: when the question was sent. */
  private hear(ref: string, asked: number, answer: Raw | null): void {
    if (answer === null) return;
    const what = toldBy(answer.status, objectOf(answer.text));
    if (what !== null) this.happened({ at: this.now(), kind: "told", ref, asked, what });
  }

  private async insist(path: string, ref: string, body: string | undefined, addr = this.addr): Promise<Raw | null> {
    const until = this.now() + GIVE_UP_MS;
    while (!this.over && this.now() < until) {
      const asked = this.now();
      const answer = await ask(this.agent, addr, "POST", path, body, PATIENCE_MS.submit);
      this.hear(ref, asked, answer);
      if (answer !== null && answer.status < 429) return answer;
      await this.wait(Math.max(1000, Number(answer?.retryAfter ?? 0) * 1000));
    }
    return null;
  }

  /** Submits one job; false: it was refused, or given up. */
  async submit(planned: Planned): Promise<boolean> {
    const { spec } = planned;
    const seen: JobSeen = { planned, acceptedMs: null, final: null };
    this.jobs.set(spec.ref, seen);
    this.happened({ at: this.now(), kind: "submitted", spec });
    const accepted = await this.insist("/v2/runs", spec.ref, JSON.stringify(encodeJob(spec)));
    if (accepted === null || accepted.status >= 400) return false;
    seen.acceptedMs = this.now();
    return true;
  }

  /** The state as told; empty if there was none. */
  async poll(ref: string, addr = this.addr): Promise<string> {
    const asked = this.now();
    const answer = await ask(this.agent, addr, "GET", `/v2/runs/${ref}`, undefined, PATIENCE_MS.poll);
    this.hear(ref, asked, answer);
    if (answer?.status !== 200 && answer?.status !== 404) this.happened({ at: this.now(), kind: "unanswered", ref });
    const status = answer?.status === 200 ? objectOf(answer.text)["status"] : undefined;
    const seen = this.jobs.get(ref);
    if (seen !== undefined && (status === "done" || status === "withdrawn")) seen.final = status;
    return typeof status === "string" ? status : "";
  }

  /** The pause between two polls, in ms. */
  pollMs(): number {
    return POLL_MS * (0.75 + this.luck() / 2);
  }

  /** Submits one job and follows it to its end. */
  async follow(planned: Planned): Promise<void> {
    const { spec, cancelMs } = planned;
    if (!(await this.submit(planned))) return;
    if (cancelMs !== null) setTimeout(() => void this.cancel(spec.ref), cancelMs);
    while (!this.over && this.jobs.get(spec.ref)?.final === null) {
      await this.wait(this.pollMs());
      await this.poll(spec.ref);
    }
  }

  async cancel(ref: string, addr = this.addr): Promise<void> {
    this.happened({ at: this.now(), kind: "asked-cancel", ref });
    await this.insist(`/v2/runs/${ref}/cancel`, ref, undefined, addr);
  }

  /** A submission of what is said, at one controller; `never`: why it must not be accepted. */
  async offer(wire: Record<string, unknown>, spec: JobSpec, addr: string, never?: string): Promise<void> {
    if (never !== undefined) this.happened({ at: this.now(), kind: "submitted", spec, never });
    await this.insist("/v2/runs", spec.ref, JSON.stringify(wire), addr);
  }

  close(): void {
    this.over = true;
    this.agent.destroy();
  }
}
