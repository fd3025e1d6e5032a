import { CallError } from "@thorntrail/protocol/errors";
import {
  LeaseLostError,
  RateLimitError,
  RequestTooLargeError,
  type Condition,
  type FollowResult,
  type Op,
  type Row,
  type StateApi,
  type StateEvent,
  type TxnResult,
} from "@thorntrail/protocol/state";
import { HttpClient, type Reply } from "../platform/http.js";

/**
 * Client of the state service over HTTP. All methods throw RateLimitError for status 429 and CallError if there is no usable
 * answer.
 */
export class HttpStateClient implements StateApi {
  private readonly http = new HttpClient(8);

  constructor(
    private readonly addr: string,
    private readonly timeoutMs: number,
  ) {}

  private async call(method: string, path: string, body: unknown, limitMs = this.timeoutMs, extraMs = 0): Promise<Reply> {
    const reply = await this.http.call(this.addr, method, path, body, limitMs + extraMs);
    if (reply.status === 429) throw new RateLimitError();
    if (reply.status === 503) throw new CallError("refused", "state service refuses");
    return reply;
  }

  /** Throws RequestTooLargeError if the transaction is permanently refused, LeaseLostError if it refers to a lease that does not exist. */
  async txn(conditions: Condition[], apply: Op[], limitMs?: number): Promise<TxnResult> {
    const reply = await this.call("POST", "/txn", { if: conditions, apply }, limitMs);
    if (reply.status === 200) return { ok: true, ledger: Number(reply.body["ledger"]) };
    if (reply.status === 409) {
      return { ok: false, failed: (reply.body["failed"] as string[] | undefined) ?? [], ledger: Number(reply.body["ledger"]) };
    }
    if (reply.status === 400 && String(reply.body["error"]).includes("lease")) throw new LeaseLostError("no such lease");
    if (reply.status === 400) throw new RequestTooLargeError(`txn answered 400: ${String(reply.body["error"])}`);
    throw new CallError(reply.status >= 500 ? "unanswered" : "refused", `txn answered ${reply.status}`);
  }

  async follow(prefix: string, from: number, blockMs: number, limitMs?: number): Promise<FollowResult> {
    const reply = await this.call(
      "GET",
      `/follow?prefix=${prefix}&from=${from}&blockMs=${Math.round(blockMs)}`,
      undefined,
      limitMs,
      blockMs,
    );
    if (reply.status === 410) return "too-old";
    if (reply.status !== 200) throw new CallError("unanswered", `follow answered ${reply.status}`);
    return reply.body as unknown as { ledger: number; events: StateEvent[] };
  }

  async range(
    prefix: string,
    from: string | undefined,
    limit: number,
    limitMs?: number,
  ): Promise<{ rows: Row[]; more: boolean; ledger: number }> {
    const path = `/store?prefix=${prefix}&limit=${limit}${from === undefined ? "" : `&from=${from}`}`;
    const reply = await this.call("GET", path, undefined, limitMs);
    if (reply.status !== 200) throw new CallError("unanswered", `range answered ${reply.status}`);
    return { rows: reply.body["rows"] as Row[], more: Boolean(reply.body["truncated"]), ledger: Number(reply.body["ledger"]) };
  }

  async grant(ttlMs: number, limitMs?: number): Promise<number> {
    const reply = await this.call("POST", "/leases", { ttlMs: Math.round(ttlMs) }, limitMs);
    if (reply.status !== 200) throw new CallError("unanswered", `lease answered ${reply.status}`);
    return Number(reply.body["permit"]);
  }

  async renew(permit: number, limitMs?: number): Promise<boolean> {
    const reply = await this.call("POST", `/leases/${permit}/renew`, {}, limitMs);
    if (reply.status === 404) return false;
    if (reply.status !== 200) throw new CallError("unanswered", `renewal answered ${reply.status}`);
    return true;
  }
}
