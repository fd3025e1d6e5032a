import { monitorEventLoopDelay } from "node:perf_hooks";
import { encodeJob } from "../../packages/protocol/src/jobs.js";
import { createAgent, sendRequest, parseObject, type RawResponse } from "../../packages/emulator/src/real/http.js";
import { seededRandom } from "@thorntrail/emulator/random";
import { LatencyHistogram } from "../harness.js";
import { steadyMs, type ClientsSeen, type FromClients, type PlannedJob, type ToClients } from "./messages.js";

/**
 * The client population of a scale run: submits each job at its time to the controllers in turn, repeats
 * as PROTOCOL says, and polls it until it is done; beside that, extra polls of accepted jobs at a steady rate.
 */

const SUBMIT_PATIENCE_MS = 5000;
const POLL_PATIENCE_MS = 2000;
const GIVE_UP_MS = 60_000;
const RETRY_MS = 1000;
/** As a load balancer does: a connection that fails so soon goes to another node, up to three in all. */
const CONNECT_LIMIT_MS = 500;
const NODES_TRIED = 3;
const POLL_EVERY_MS = 5000;
const LOOP_RESOLUTION_MS = 10;
const MOST_CONNECTIONS = 128;

const say = (message: FromClients): void => void process.send!(message);
const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

class Clients {
  private readonly agent = createAgent(MOST_CONNECTIONS);
  private readonly random: () => number;
  private readonly submitTimes = new LatencyHistogram();
  private readonly pollTimes = new LatencyHistogram();
  private readonly answers = new Map<number, number>();
  private readonly submissions = new Map<string, ClientsSeen["submissions"][number]>();
  private readonly accepted: string[] = [];
  private next = 0;
  private polls = 0;

  constructor(private readonly asked: Extract<ToClients, { kind: "init" }>) {
    this.random = seededRandom(asked.seed);
  }

  start(): void {
    for (const job of this.asked.jobs) setTimeout(() => void this.follow(job), job.atMs);
    if (this.asked.pollsPerS > 0) setInterval(() => this.pollSome(), 1000 / this.asked.pollsPerS);
  }

  /** Connections are spread evenly, as by a load balancer. */
  private front(): string {
    const { fronts } = this.asked;
    return fronts[this.next++ % fronts.length]!;
  }

  /** Null: no answer within the time. */
  private async request(method: string, path: string, body: string | undefined, patienceMs: number): Promise<RawResponse | null> {
    for (let tried = 1; ; tried++) {
      const asked = steadyMs();
      const answer = await sendRequest(this.agent, this.front(), method, path, body, patienceMs);
      if (answer === null && tried < NODES_TRIED && steadyMs() - asked < CONNECT_LIMIT_MS) continue;
      const status = answer?.status ?? 0;
      this.answers.set(status, (this.answers.get(status) ?? 0) + 1);
      return answer;
    }
  }

  private async submit({ spec }: PlannedJob): Promise<boolean> {
    const at = steadyMs();
    const seen = { ref: spec.ref, at, acceptedAt: null as number | null, tries: 0, doneAt: null };
    this.submissions.set(spec.ref, seen);
    const body = JSON.stringify(encodeJob(spec));
    while (steadyMs() - at < GIVE_UP_MS) {
      seen.tries++;
      const answer = await this.request("POST", "/v2/runs", body, SUBMIT_PATIENCE_MS);
      if (answer !== null && answer.status < 400) {
        seen.acceptedAt = steadyMs();
        this.submitTimes.add(seen.acceptedAt - at);
        this.accepted.push(spec.ref);
        return true;
      }
      if (answer !== null && answer.status < 429) return false;
      await pause(Math.max(RETRY_MS, Number(answer?.retryAfter ?? 0) * 1000));
    }
    return false;
  }

  private async poll(ref: string): Promise<string> {
    const asked = steadyMs();
    const answer = await this.request("GET", `/v2/runs/${ref}`, undefined, POLL_PATIENCE_MS);
    this.polls++;
    if (answer?.status !== 200) return "";
    this.pollTimes.add(steadyMs() - asked);
    return String(parseObject(answer.text)["status"]);
  }

  private async follow(job: PlannedJob): Promise<void> {
    if (!(await this.submit(job)) || !this.asked.followed) return;
    for (;;) {
      await pause(POLL_EVERY_MS * (0.75 + this.random() / 2));
      if ((await this.poll(job.spec.ref)) !== "done") continue;
      this.submissions.get(job.spec.ref)!.doneAt = steadyMs();
      return;
    }
  }

  private pollSome(): void {
    if (this.accepted.length > 0) void this.poll(this.accepted[Math.floor(this.random() * this.accepted.length)]!);
  }

  view(): Omit<ClientsSeen, "loopP99Ms" | "loopWorstMs"> {
    const spread = (times: LatencyHistogram) => ({ p50: times.percentileMs(50), p99: times.percentileMs(99), worst: times.maxMs });
    return {
      submissions: [...this.submissions.values()],
      submitMs: spread(this.submitTimes),
      polls: this.polls,
      pollMs: spread(this.pollTimes),
      answers: [...this.answers],
    };
  }
}

/** Runs until the coordinator is gone. */
export function runClients(): void {
  const loop = monitorEventLoopDelay({ resolution: LOOP_RESOLUTION_MS });
  loop.enable();
  let clients: Clients | null = null;
  process.on("disconnect", () => process.exit(0));
  process.on("message", (message: ToClients) => {
    if (message.kind === "init") {
      clients = new Clients(message);
      clients.start();
      say({ kind: "ready" });
    } else {
      const lateness = { loopP99Ms: loop.percentile(99) / 1e6 - LOOP_RESOLUTION_MS, loopWorstMs: loop.max / 1e6 - LOOP_RESOLUTION_MS };
      say({ kind: "seen", seen: { ...clients!.view(), ...lateness } });
    }
  });
}
