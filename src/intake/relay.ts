import type { PeerApi } from "../peers/links.js";
import { firstId } from "../peers/ids.js";
import type { Scope } from "../platform/scope.js";
import type { Settings } from "../settings/derived.js";
import type { Jobs, Response } from "./jobs.js";

const KINDS = ["submit", "poll", "cancel"] as const;
export type RequestKind = (typeof KINDS)[number];

interface Waiting {
  from: string;
  resolve: (answer: Response | null) => void;
  cancel: () => void;
}

/** Of the time allowed to the state service: when to ask a peer as well, and for how long. */
const HEDGE = 1 / 8;
const PATIENCE = 1 / 2;
const MAX_WAITING = 500;

/** Undefined: not JSON. */
function decode(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/**
 * Users stay connected to a node that has lost the state service alone, for
 * seconds until the load balancer notices. Such a node passes their requests to
 * a peer that has it. Submissions and cancellations may so be carried out twice:
 * both are conditional, and the answer is the same.
 */
export class Relay {
  private readonly waiting = new Map<number, Waiting>();
  private lastId: number;
  stats = { asked: 0, answered: 0, served: 0 };

  constructor(
    private readonly settings: Settings,
    private readonly jobs: Jobs,
    private readonly peers: PeerApi,
    private readonly peersWithState: () => string[],
    private readonly scope: Scope,
    life: string,
  ) {
    this.lastId = firstId(life);
  }

  start(): void {
    this.scope.listen(this.peers.incoming$, ({ from, message }) => {
      if ("Relay" in message) void this.serve(from, message.Relay);
      else if ("Relayed" in message) {
        const { id, status, body, retryAfterS } = message.Relayed;
        const waiting = this.waiting.get(id);
        if (waiting === undefined || waiting.from !== from) return;
        const said = decode(body);
        if (said === null || typeof said !== "object") return this.refuse(from, "an answer that is not an object");
        this.stats.answered++;
        this.settle(id, { status, body: said as Record<string, unknown>, ...(retryAfterS > 0 ? { retryAfterS } : {}) });
      }
    });
  }

  private settle(id: number, answer: Response | null): void {
    const waiting = this.waiting.get(id);
    this.waiting.delete(id);
    waiting?.cancel();
    waiting?.resolve(answer);
  }

  private local(kind: RequestKind, body: unknown, patienceMs?: number): Promise<Response> {
    if (kind === "submit") return this.jobs.submit(body, patienceMs);
    return kind === "poll" ? this.jobs.poll(String(body), patienceMs) : this.jobs.cancel(String(body), patienceMs);
  }

  /** How long a peer is waited for, and hence how long a peer's request is worked for. */
  private patienceMs(): number {
    return this.settings.timing.stateTimeoutMs * PATIENCE;
  }

  /** Nothing is done about it: whoever asked asks somebody else when its time is over. */
  private refuse(from: string, what: string): void {
    this.scope.log.warn({ peer: from, what }, "relayed request or answer ignored");
  }

  private async serve(from: string, ask: { id: number; kind: string; body: string }): Promise<void> {
    const kind = KINDS.find((one) => one === ask.kind);
    const body = decode(ask.body);
    // A later version may ask for what this one does not know: that is never a cancellation.
    if (kind === undefined || body === undefined)
      return this.refuse(from, kind === undefined ? `kind ${ask.kind.slice(0, 40)}` : "not JSON");
    this.stats.served++;
    const answer = await this.local(kind, body, this.patienceMs());
    this.peers.send(from, {
      Relayed: { id: ask.id, status: answer.status, body: JSON.stringify(answer.body), retryAfterS: answer.retryAfterS ?? 0 },
    });
  }

  private ask(kind: RequestKind, body: unknown): Promise<Response | null> {
    const peers = this.peersWithState();
    if (peers.length === 0 || this.waiting.size >= MAX_WAITING) return Promise.resolve(null);
    const id = ++this.lastId;
    this.stats.asked++;
    return new Promise((resolve) => {
      const cancel = this.scope.clock.after(this.patienceMs(), () => this.settle(id, null));
      const to = peers[id % peers.length]!;
      this.waiting.set(id, { from: to, resolve, cancel });
      if (!this.peers.send(to, { Relay: { id, kind, body: JSON.stringify(body) } })) this.settle(id, null);
    });
  }

  /** Our own answer, or a peer's if ours is late or is that we cannot tell. */
  async answer(kind: RequestKind, body: unknown): Promise<Response> {
    const own = this.local(kind, body);
    const firm = (answer: Response | null): answer is Response => answer !== null && answer.status !== 503;
    const first = await Promise.race([
      own,
      new Promise<null>((resolve) => this.scope.clock.after(this.settings.timing.stateTimeoutMs * HEDGE, () => resolve(null))),
    ]);
    if (firm(first)) return first;
    const other = this.ask(kind, body);
    const quickest = await Promise.race([own.then((a) => (firm(a) ? a : other)), other.then((a) => (firm(a) ? a : own))]);
    return firm(quickest) ? quickest : own;
  }
}
