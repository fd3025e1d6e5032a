import type { CloudApi, ListedMachine, MachineType, MachineOffering } from "@thorntrail/protocol/cloud";
import { CallError } from "@thorntrail/protocol/errors";
import { RateLimitError } from "@thorntrail/protocol/state";
import { HttpClient, type Reply } from "../platform/http.js";

type JsonObject = Record<string, unknown>;

/** Client of the cloud's HTTP API. Throws CallError if a call fails, and RateLimitError if the cloud answers 429. */
export class HttpCloud implements CloudApi {
  private readonly http = new HttpClient(4);

  constructor(
    private readonly addr: string,
    private readonly timeoutMs: number,
  ) {}

  private async call(method: string, path: string, body: unknown, limitMs = this.timeoutMs): Promise<Reply> {
    const reply = await this.http.call(this.addr, method, path, body, limitMs);
    if (reply.status === 429) throw new RateLimitError();
    return reply;
  }

  async types(limitMs?: number): Promise<MachineType[]> {
    const reply = await this.call("GET", "/machine_types", undefined, limitMs);
    if (reply.status !== 200) throw new CallError("refused", `types answered ${reply.status}`);
    return (reply.body["builds"] as JsonObject[]).map((raw) => ({
      name: String(raw["label"]),
      cpus: Number(raw["cpus"] ?? 0),
      gpus: Number(raw["accelerators"] ?? 0),
      ram: Number(raw["ramGb"] ?? 0),
      cacheGb: Number(raw["localGb"] ?? 0),
      fetchGbPerS: Number(raw["fetchGbPerS"] ?? 1),
      price: Number(raw["rate"] ?? 0),
      spotPrice: Number(raw["marketPrice"] ?? raw["rate"] ?? 0),
      bootS: Number(raw["bootS"] ?? 0),
      zones: ((raw["yards"] as unknown[] | undefined) ?? []).map(String),
    }));
  }

  async rent(name: string, offer: MachineOffering, count: number, limitMs?: number): Promise<string[] | null> {
    const body = { hire: name, build: offer.type, yard: offer.zone, loaner: offer.spot, count };
    const reply = await this.call("POST", "/hosts", body, limitMs);
    if (reply.status === 200) return (reply.body["hosts"] as unknown[]).map(String);
    if (reply.status === 503 && reply.body["error"] === "no capacity") return null;
    throw new CallError(reply.status === 503 ? "refused" : "unanswered", `hire answered ${reply.status}`);
  }

  async remove(hosts: string[], limitMs?: number): Promise<void> {
    const reply = await this.call("POST", "/hosts/delete", { hosts }, limitMs);
    if (reply.status !== 200) throw new CallError("unanswered", `delete answered ${reply.status}`);
  }

  async list(from: string | undefined, limit: number, limitMs?: number): Promise<{ machines: ListedMachine[]; more: boolean }> {
    const reply = await this.call("GET", `/hosts?limit=${limit}${from === undefined ? "" : `&from=${from}`}`, undefined, limitMs);
    if (reply.status !== 200) throw new CallError("refused", `list answered ${reply.status}`);
    const machines = (reply.body["hosts"] as JsonObject[]).map((raw) => ({
      host: String(raw["ref"]),
      addr: String(raw["addr"]),
      type: String(raw["build"]),
      zone: String(raw["yard"]),
      spot: Boolean(raw["loaner"]),
      state: String(raw["status"]),
      ageS: Number(raw["ageS"]),
    }));
    return { machines, more: Boolean(reply.body["truncated"]) };
  }
}
