import { encodeListed, encodeType, type Offer } from "@thorntrail/protocol/cloud";
import { Rate } from "@thorntrail/protocol/rate";
import type { CloudModel } from "../cloud-model.js";
import type { WrongForm } from "../links.js";
import type { Passing } from "./gate.js";
import { agentOf, ask, objectOf, type Raw } from "./http.js";

const json = (status: number, value: unknown): Raw => ({
  status,
  text: JSON.stringify(value),
  retryAfter: status >= 429 ? "1" : undefined,
});

const MOST_LISTED = 500;
const MOST_DELETED = 100;
const MOST_HIRED = 50;

function pathOf({ path }: Passing): { path: string; query: URLSearchParams } {
  const mark = path.indexOf("?");
  return { path: mark < 0 ? path : path.slice(0, mark), query: new URLSearchParams(mark < 0 ? "" : path.slice(mark + 1)) };
}

/** The cloud's HTTP face over the model. */
export class CloudFace {
  private readonly rate: Rate;
  down = false;

  constructor(
    private readonly model: CloudModel,
    clock: { now(): number },
    rps: number,
  ) {
    this.rate = new Rate(clock, rps, rps * 2);
  }

  what(passing: Passing): string {
    const { path } = pathOf(passing);
    if (path === "/machine_types") return "types";
    if (path === "/hosts/delete") return "remove";
    return passing.method === "POST" ? "hire" : "list";
  }

  execute(passing: Passing): Promise<Raw> {
    return Promise.resolve(this.answer(passing));
  }

  private answer(passing: Passing): Raw {
    if (this.down) return json(503, { error: "trouble" });
    if (!this.rate.take()) return json(429, { error: "over the rate" });
    const { path, query } = pathOf(passing);
    const what = `${passing.method} ${path}`;
    if (what === "GET /machine_types") return json(200, { builds: this.model.types().map(encodeType) });
    if (what === "GET /hosts") return this.list(query)!;
    const body = objectOf(passing.body);
    if (what === "POST /hosts") {
      const { hire, build, yard, loaner, count } = body;
      if (typeof hire !== "string" || typeof build !== "string" || typeof yard !== "string" || !Number.isInteger(count))
        return json(400, { error: "expected hire, build, yard, loaner and a whole count" });
      if (Number(count) < 1 || Number(count) > MOST_HIRED) return json(400, { error: `count: expected 1 to ${MOST_HIRED}` });
      const offer: Offer = { type: build, zone: yard, spot: loaner === true };
      const hosts = this.model.hire(hire, offer, Number(count));
      return hosts === null ? json(503, { error: "no capacity" }) : json(200, { hosts });
    }
    if (what === "POST /hosts/delete") {
      const { hosts } = body;
      if (!Array.isArray(hosts) || hosts.length > MOST_DELETED)
        return json(400, { error: `hosts: expected at most ${MOST_DELETED} names` });
      for (const host of hosts) this.model.remove(String(host));
      return json(200, {});
    }
    return json(404, { error: "no such path" });
  }

  private list(query: URLSearchParams, form?: WrongForm): Raw | undefined {
    const limit = Math.min(MOST_LISTED, Number(query.get("limit") ?? MOST_LISTED));
    const from = query.get("from") ?? undefined;
    const listed = form === undefined ? this.model.list(from, limit) : this.model.wrongList(form, from, limit);
    return listed === undefined ? undefined : json(200, { hosts: listed.machines.map(encodeListed), truncated: listed.more });
  }

  spoil(passing: Passing, form: WrongForm): Raw | undefined {
    const what = this.what(passing);
    if (what === "list") return this.list(pathOf(passing).query, form);
    if (form === "other") return json(200, { hosts: [] });
    return undefined;
  }
}

/** Passes requests on to the store process. */
export class StateFace {
  private readonly agent = agentOf(64);
  down = false;

  constructor(private readonly addr: () => string | null) {}

  what({ method, path }: Passing): string {
    if (path === "/txn") return "txn";
    if (path.startsWith("/follow")) return "follow";
    if (path.startsWith("/leases")) return "lease";
    return method === "GET" ? "range" : "other";
  }

  execute({ method, path, body }: Passing): Promise<Raw | null> {
    const addr = this.addr();
    if (this.down) return Promise.resolve(json(503, { error: "trouble" }));
    if (addr === null) return Promise.resolve(null);
    return ask(this.agent, addr, method, path, body === "" ? undefined : body, 70_000);
  }
}
