/** Stand-ins for the services behind the fault-injecting proxies: a stub of the cloud, and a forwarder to the state service. */
import { encodeListed, encodeType, type MachineOffering } from "@thorntrail/protocol/cloud";
import { TokenBucket } from "@thorntrail/protocol/token-bucket";
import type { CloudModel } from "../cloud-model.js";
import type { WrongResponseForm } from "../network-rules.js";
import type { ProxiedRequest } from "./fault-proxy.js";
import { createAgent, sendRequest, parseObject, type RawResponse } from "./http.js";

const jsonResponse = (status: number, value: unknown): RawResponse => ({
  status,
  text: JSON.stringify(value),
  retryAfter: status >= 429 ? "1" : undefined,
});

/** Maximum numbers of machines that one request to the cloud's API can list, delete or rent. */
const MAX_LISTED = 500;
const MAX_DELETED = 100;
const MAX_RENTED = 50;

function parsePath({ path }: ProxiedRequest): { path: string; query: URLSearchParams } {
  const queryStart = path.indexOf("?");
  return {
    path: queryStart < 0 ? path : path.slice(0, queryStart),
    query: new URLSearchParams(queryStart < 0 ? "" : path.slice(queryStart + 1)),
  };
}

/** Stub of the cloud provider's HTTP API, backed by the cloud model. Rejects requests above the rate limit. */
export class CloudStub {
  private readonly rate: TokenBucket;
  /** While true, every request to the cloud is answered with 503. */
  down = false;

  constructor(
    private readonly model: CloudModel,
    clock: { now(): number },
    rps: number,
  ) {
    this.rate = new TokenBucket(clock, rps, rps * 2);
  }

  /** Name of the operation, as used in network rules (`NetworkCall.what`). */
  operationOf(request: ProxiedRequest): string {
    const { path } = parsePath(request);
    if (path === "/machine_types") return "types";
    if (path === "/hosts/delete") return "remove";
    return request.method === "POST" ? "hire" : "list";
  }

  /** Executes a request on the cloud model. */
  execute(request: ProxiedRequest): Promise<RawResponse> {
    return Promise.resolve(this.handle(request));
  }

  private handle(request: ProxiedRequest): RawResponse {
    if (this.down) return jsonResponse(503, { error: "trouble" });
    if (!this.rate.take()) return jsonResponse(429, { error: "over the rate" });
    const { path, query } = parsePath(request);
    const route = `${request.method} ${path}`;
    if (route === "GET /machine_types") return jsonResponse(200, { builds: this.model.types().map(encodeType) });
    if (route === "GET /hosts") return this.list(query)!;
    const body = parseObject(request.body);
    if (route === "POST /hosts") {
      const { hire, build, yard, loaner, count } = body;
      if (typeof hire !== "string" || typeof build !== "string" || typeof yard !== "string" || !Number.isInteger(count))
        return jsonResponse(400, { error: "expected hire, build, yard, loaner and a whole count" });
      if (Number(count) < 1 || Number(count) > MAX_RENTED) return jsonResponse(400, { error: `count: expected 1 to ${MAX_RENTED}` });
      const offer: MachineOffering = { type: build, zone: yard, spot: loaner === true };
      const hosts = this.model.rent(hire, offer, Number(count));
      return hosts === null ? jsonResponse(503, { error: "no capacity" }) : jsonResponse(200, { hosts });
    }
    if (route === "POST /hosts/delete") {
      const { hosts } = body;
      if (!Array.isArray(hosts) || hosts.length > MAX_DELETED)
        return jsonResponse(400, { error: `hosts: expected at most ${MAX_DELETED} names` });
      for (const host of hosts) this.model.remove(String(host));
      return jsonResponse(200, {});
    }
    return jsonResponse(404, { error: "no such path" });
  }

  private list(query: URLSearchParams, form?: WrongResponseForm): RawResponse | undefined {
    const limit = Math.min(MAX_LISTED, Number(query.get("limit") ?? MAX_LISTED));
    const from = query.get("from") ?? undefined;
    const listed = form === undefined ? this.model.list(from, limit) : this.model.invalidList(form, from, limit);
    return listed === undefined ? undefined : jsonResponse(200, { hosts: listed.machines.map(encodeListed), truncated: listed.more });
  }

  /** Builds an answer that is wrong as `form` says; undefined if there is none for this request. */
  wrongAnswer(request: ProxiedRequest, form: WrongResponseForm): RawResponse | undefined {
    const operation = this.operationOf(request);
    if (operation === "list") return this.list(parsePath(request).query, form);
    if (form === "other") return jsonResponse(200, { hosts: [] });
    return undefined;
  }
}

/** Forwards requests to the process of the state service. */
export class StateForwarder {
  private readonly agent = createAgent(64);
  /** While true, every request to the state service is answered with 503. */
  down = false;

  /** `addr` returns null while the store is not running. */
  constructor(private readonly addr: () => string | null) {}

  /** Name of the operation, as used in network rules (`NetworkCall.what`). */
  operationOf({ method, path }: ProxiedRequest): string {
    if (path === "/txn") return "txn";
    if (path.startsWith("/follow")) return "follow";
    if (path.startsWith("/leases")) return "lease";
    return method === "GET" ? "range" : "other";
  }

  /** Forwards a request; null if the store is not running or does not answer within 70 s. */
  forward({ method, path, body }: ProxiedRequest): Promise<RawResponse | null> {
    const addr = this.addr();
    if (this.down) return Promise.resolve(jsonResponse(503, { error: "trouble" }));
    if (addr === null) return Promise.resolve(null);
    return sendRequest(this.agent, addr, method, path, body === "" ? undefined : body, 70_000);
  }
}
