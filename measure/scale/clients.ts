import { monitorEventLoopDelay } from "node:perf_hooks";
import { encodeJob } from "../../packages/protocol/src/jobs.js";
import { createAgent, sendRequest, parseObject, type RawResponse } from "../../packages/emulator/src/real/http.js";
import { seededRandom } from "@thorntrail/emulator/random";
import { LatencyHistogram } from "../harness.js";
import { monotonicMs, type ClientsStats, type ClientsToCoordinator, type PlannedJob, type CoordinatorToClients } from "./messages.js";

/**
 * The client process of a scale run. Submits each job at its time to the controllers in turn, with the retries that the
 * protocol asks of clients, and polls it until it is done. In addition, polls random accepted jobs at a steady rate.
 */

const SUBMIT_TIMEOUT_MS = 5000;
const POLL_TIMEOUT_MS = 2000;
const SUBMIT_GIVE_UP_MS = 60_000;
const RETRY_MS = 1000;
/** A connection that fails within this time is retried at another node, as a load balancer does. */
const FAST_FAILURE_MS = 500;
const MAX_NODES_TRIED = 3;
const POLL_INTERVAL_MS = 5000;
const LOOP_RESOLUTION_MS = 10;
const MAX_CONNECTIONS = 128;

const sendToCoordinator = (message: ClientsToCoordinator): void => void process.send!(message);
const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** Submits and polls jobs, and collects the statistics of these requests. */
class ClientPopulation {
  private readonly agent = createAgent(MAX_CONNECTIONS);
  private readonly random: () => number;
  private readonly submitTimes = new LatencyHistogram();
  private readonly pollTimes = new LatencyHistogram();
  private readonly responses = new Map<number, number>();
  private readonly submissions = new Map<string, ClientsStats["submissions"][number]>();
  private readonly accepted: string[] = [];
  private nextController = 0;
  private polls = 0;

  constructor(private readonly config: Extract<CoordinatorToClients, { kind: "init" }>) {
    this.random = seededRandom(config.seed);
  }

  start(): void {
    for (const job of this.config.jobs) setTimeout(() => void this.submitAndPoll(job), job.submitAtMs);
    if (this.config.pollsPerS > 0) setInterval(() => this.pollRandomJob(), 1000 / this.config.pollsPerS);
  }

  /** Returns the controllers' addresses in turn, as a load balancer spreads connections. */
  private nextAddress(): string {
    const { apiAddresses } = this.config;
    return apiAddresses[this.nextController++ % apiAddresses.length]!;
  }

  /** Sends a request; null if there is no response within `timeoutMs`. */
  private async request(method: string, path: string, body: string | undefined, timeoutMs: number): Promise<RawResponse | null> {
    for (let nodesTried = 1; ; nodesTried++) {
      const sentAt = monotonicMs();
      const response = await sendRequest(this.agent, this.nextAddress(), method, path, body, timeoutMs);
      if (response === null && nodesTried < MAX_NODES_TRIED && monotonicMs() - sentAt < FAST_FAILURE_MS) continue;
      const status = response?.status ?? 0;
      this.responses.set(status, (this.responses.get(status) ?? 0) + 1);
      return response;
    }
  }

  /** Submits a job until it is accepted or rejected; returns whether it was accepted. */
  private async submit({ spec }: PlannedJob): Promise<boolean> {
    const at = monotonicMs();
    const submission = { ref: spec.ref, at, acceptedAt: null as number | null, attempts: 0, doneAt: null };
    this.submissions.set(spec.ref, submission);
    const body = JSON.stringify(encodeJob(spec));
    while (monotonicMs() - at < SUBMIT_GIVE_UP_MS) {
      submission.attempts++;
      const response = await this.request("POST", "/v2/runs", body, SUBMIT_TIMEOUT_MS);
      if (response !== null && response.status < 400) {
        submission.acceptedAt = monotonicMs();
        this.submitTimes.add(submission.acceptedAt - at);
        this.accepted.push(spec.ref);
        return true;
      }
      if (response !== null && response.status < 429) return false;
      await sleep(Math.max(RETRY_MS, Number(response?.retryAfter ?? 0) * 1000));
    }
    return false;
  }

  /** Polls a job and returns its status; an empty string without a valid response. */
  private async poll(ref: string): Promise<string> {
    const sentAt = monotonicMs();
    const response = await this.request("GET", `/v2/runs/${ref}`, undefined, POLL_TIMEOUT_MS);
    this.polls++;
    if (response?.status !== 200) return "";
    this.pollTimes.add(monotonicMs() - sentAt);
    return String(parseObject(response.text)["status"]);
  }

  private async submitAndPoll(job: PlannedJob): Promise<void> {
    if (!(await this.submit(job)) || !this.config.pollUntilDone) return;
    for (;;) {
      await sleep(POLL_INTERVAL_MS * (0.75 + this.random() / 2));
      if ((await this.poll(job.spec.ref)) !== "done") continue;
      this.submissions.get(job.spec.ref)!.doneAt = monotonicMs();
      return;
    }
  }

  private pollRandomJob(): void {
    if (this.accepted.length > 0) void this.poll(this.accepted[Math.floor(this.random() * this.accepted.length)]!);
  }

  stats(): Omit<ClientsStats, "loopP99Ms" | "loopMaxMs"> {
    const percentiles = (times: LatencyHistogram) => ({ p50: times.percentileMs(50), p99: times.percentileMs(99), worst: times.maxMs });
    return {
      submissions: [...this.submissions.values()],
      submitMs: percentiles(this.submitTimes),
      polls: this.polls,
      pollMs: percentiles(this.pollTimes),
      responses: [...this.responses],
    };
  }
}

/** Runs the client process until the coordinator disconnects. */
export function runClients(): void {
  const loop = monitorEventLoopDelay({ resolution: LOOP_RESOLUTION_MS });
  loop.enable();
  let clients: ClientPopulation | null = null;
  process.on("disconnect", () => process.exit(0));
  process.on("message", (message: CoordinatorToClients) => {
    if (message.kind === "init") {
      clients = new ClientPopulation(message);
      clients.start();
      sendToCoordinator({ kind: "ready" });
    } else {
      const loopDelay = { loopP99Ms: loop.percentile(99) / 1e6 - LOOP_RESOLUTION_MS, loopMaxMs: loop.max / 1e6 - LOOP_RESOLUTION_MS };
      sendToCoordinator({ kind: "stats", stats: { ...clients!.stats(), ...loopDelay } });
    }
  });
}
