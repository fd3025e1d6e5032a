import type { PeerApi } from "../peers/links.js";
import { firstRequestId } from "../peers/ids.js";
import type { Scope } from "../platform/scope.js";
import type { Settings } from "../settings/derived.js";
import type { Jobs, Response } from "./jobs.js";

const REQUEST_KINDS = ["submit", "poll", "cancel"] as const;
/** Kind of a user's request that controllers relay to each other. */
export type RequestKind = (typeof REQUEST_KINDS)[number];

interface PendingRequest {
  from: string;
  resolve: (answer: Response | null) => void;
  cancel: () => void;
}

/** Share of the state service's timeout after which a user's request that is not answered yet is relayed to a peer as well. */
const HEDGE_SHARE = 1 / 8;
/** Share of the state service's timeout for which a peer's answer to a relayed request is awaited. */
const PATIENCE_SHARE = 1 / 2;
const MAX_PENDING = 500;

/** Returns undefined if the text is not JSON. */
function decodeJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/**
 * Relays users' requests to a peer while this node alone cannot reach the state service: users stay connected to this
 * node for some seconds until the load balancer notices. Both nodes may therefore execute a submission or
 * cancellation; these are conditional writes, so the result is the same.
 */
export class Relay {
  private readonly pending = new Map<number, PendingRequest>();
  private lastId: number;
  stats = { asked: 0, answered: 0, served: 0 };

  constructor(
    private readonly settings: Settings,
    private readonly jobs: Jobs,
    private readonly peers: PeerApi,
    private readonly peersWithState: () => string[],
    private readonly scope: Scope,
    incarnation: string,
  ) {
    this.lastId = firstRequestId(incarnation);
  }

  start(): void {
    this.scope.listen(this.peers.incoming$, ({ from, message }) => {
      if ("Relay" in message) void this.serve(from, message.Relay);
      else if ("Relayed" in message) {
        const { id, status, body, retryAfterS } = message.Relayed;
        const request = this.pending.get(id);
        if (request === undefined || request.from !== from) return;
        const parsed = decodeJson(body);
        if (parsed === null || typeof parsed !== "object") return this.logIgnored(from, "an answer that is not an object");
        this.stats.answered++;
        this.settle(id, { status, body: parsed as Record<string, unknown>, ...(retryAfterS > 0 ? { retryAfterS } : {}) });
      }
    });
  }

  private settle(id: number, answer: Response | null): void {
    const request = this.pending.get(id);
    this.pending.delete(id);
    request?.cancel();
    request?.resolve(answer);
  }

  private local(kind: RequestKind, body: unknown, patienceMs?: number): Promise<Response> {
    if (kind === "submit") return this.jobs.submit(body, patienceMs);
    return kind === "poll" ? this.jobs.poll(String(body), patienceMs) : this.jobs.cancel(String(body), patienceMs);
  }

  /** Time in ms for which the sender of a relayed request awaits the answer, and hence for which the receiver processes the request. */
  private patienceMs(): number {
    return this.settings.timing.stateTimeoutMs * PATIENCE_SHARE;
  }

  /** Logs a message from a peer that is ignored; the relayed request times out at its sender, which handles it alone. */
  private logIgnored(from: string, what: string): void {
    this.scope.log.warn({ peer: from, what }, "relayed request or answer ignored");
  }

  private async serve(from: string, request: { id: number; kind: string; body: string }): Promise<void> {
    const kind = REQUEST_KINDS.find((one) => one === request.kind);
    const body = decodeJson(request.body);
    // Peers of a later version may send kinds of requests that are unknown here; these must not be handled as cancellations.
    if (kind === undefined || body === undefined)
      return this.logIgnored(from, kind === undefined ? `kind ${request.kind.slice(0, 40)}` : "not JSON");
    this.stats.served++;
    const answer = await this.local(kind, body, this.patienceMs());
    this.peers.send(from, {
      Relayed: { id: request.id, status: answer.status, body: JSON.stringify(answer.body), retryAfterS: answer.retryAfterS ?? 0 },
    });
  }

  private askPeer(kind: RequestKind, body: unknown): Promise<Response | null> {
    const peers = this.peersWithState();
    if (peers.length === 0 || this.pending.size >= MAX_PENDING) return Promise.resolve(null);
    const id = ++this.lastId;
    this.stats.asked++;
    return new Promise((resolve) => {
      const cancel = this.scope.clock.after(this.patienceMs(), () => this.settle(id, null));
      const to = peers[id % peers.length]!;
      this.pending.set(id, { from: to, resolve, cancel });
      if (!this.peers.send(to, { Relay: { id, kind, body: JSON.stringify(body) } })) this.settle(id, null);
    });
  }

  /** Answers a user's request: with this node's answer, or with a peer's if this node's is late or is 503. */
  async answer(kind: RequestKind, body: unknown): Promise<Response> {
    const own = this.local(kind, body);
    const isDefinite = (answer: Response | null): answer is Response => answer !== null && answer.status !== 503;
    const first = await Promise.race([
      own,
      new Promise<null>((resolve) => this.scope.clock.after(this.settings.timing.stateTimeoutMs * HEDGE_SHARE, () => resolve(null))),
    ]);
    if (isDefinite(first)) return first;
    const other = this.askPeer(kind, body);
    const quickest = await Promise.race([own.then((a) => (isDefinite(a) ? a : other)), other.then((a) => (isDefinite(a) ? a : own))]);
    return isDefinite(quickest) ? quickest : own;
  }
}
