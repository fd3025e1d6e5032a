/** Users in virtual time, who repeat unanswered requests as the protocol requires and record the responses. */
import type { JobSpec } from "@thorntrail/protocol/jobs";
import { statusFromResponse, type HistoryEvent } from "../checker.js";
import type { VirtualClock } from "./clock.js";

/** Kinds of requests that users send. */
export type RequestKind = "submit" | "poll" | "cancel";
/** A controller's response to a user. */
export interface Answer {
  status: number;
  body: Record<string, unknown>;
  retryAfterS?: number;
}

/** Sends a user's request to one controller; `then` is called with the response, if one arrives. */
export type SendRequest = (kind: RequestKind, body: unknown, then: (answer: Answer) => void) => void;

/** Clock, history and connections that the users are given. */
export interface UsersDependencies {
  readonly clock: VirtualClock;
  readonly history: HistoryEvent[];
  readonly specs: Map<string, JobSpec>;
  /** Returns a function that sends requests to the controller of that name, or to any that is up; null if there is none. */
  connect(name: string | undefined): SendRequest | null;
  recordEvent(event: HistoryEvent): void;
}

/** Timeouts of users' requests in ms, as the protocol defines them. */
const REQUEST_TIMEOUT_MS = { submit: 5000, poll: 2000, cancel: 5000 };

/** Sends users' requests and records their responses in the history. */
export class VirtualUsers {
  constructor(private readonly dependencies: UsersDependencies) {}

  /** Sends one request; undefined if no response arrived within the timeout. */
  private sendRequest(kind: RequestKind, body: unknown, name?: string): Promise<Answer | undefined> {
    const send = this.dependencies.connect(name);
    if (send === null) return Promise.resolve(undefined);
    return new Promise((resolve) => {
      this.dependencies.clock.after(REQUEST_TIMEOUT_MS[kind], () => resolve(undefined));
      send(kind, body, resolve);
    });
  }

  /** Records the job status that a response reports; `asked` is when the request was sent. */
  private recordResponse(ref: string, asked: number, status: number, body: Record<string, unknown>): void {
    const what = statusFromResponse(status, body);
    if (what !== null) this.dependencies.recordEvent({ at: this.dependencies.clock.now(), kind: "told", ref, asked, what });
  }

  /**
   * Submits a job, repeatedly until there is a response. Returns false if the job was refused or the user gave up. `never` is the reason
   * why a faulty job must not be accepted.
   */
  async submit(wire: Record<string, unknown>, spec: JobSpec, node?: string, never?: string): Promise<boolean> {
    if (!this.dependencies.specs.has(spec.ref))
      this.dependencies.recordEvent({
        at: this.dependencies.clock.now(),
        kind: "submitted",
        spec,
        ...(never === undefined ? {} : { never }),
      });
    this.dependencies.specs.set(spec.ref, spec);
    for (let i = 0; i < 60; i++) {
      const asked = this.dependencies.clock.now();
      const answer = await this.sendRequest("submit", wire, node);
      if (answer !== undefined) this.recordResponse(spec.ref, asked, answer.status, answer.body);
      if (answer !== undefined && answer.status < 500 && answer.status !== 429) return answer.status < 300;
      await new Promise<void>((resolve) => this.dependencies.clock.after(1000, resolve));
    }
    return false;
  }

  async poll(ref: string, node?: string): Promise<string> {
    const asked = this.dependencies.clock.now();
    const answer = await this.sendRequest("poll", ref, node);
    if (answer?.status !== 200 && answer?.status !== 404)
      this.dependencies.history.push({ at: this.dependencies.clock.now(), kind: "unanswered", ref });
    if (answer === undefined) return "down";
    this.recordResponse(ref, asked, answer.status, answer.body);
    return answer.status === 200 ? String(answer.body["status"]) : String(answer.status);
  }

  async cancel(ref: string, node?: string): Promise<void> {
    this.dependencies.history.push({ at: this.dependencies.clock.now(), kind: "asked-cancel", ref });
    for (let i = 0; i < 60; i++) {
      const asked = this.dependencies.clock.now();
      const answer = await this.sendRequest("cancel", ref, node);
      if (answer !== undefined) this.recordResponse(ref, asked, answer.status, answer.body);
      if (answer?.status === 200) return;
      await new Promise<void>((resolve) => this.dependencies.clock.after(1000, resolve));
    }
  }
}
