import { HttpClient, NoReply } from "../platform/http.js";
import { decodeReport, encodeOrders } from "./codec.js";
import type { Order, Report } from "./machine.js";

/** `executed` false: the worker refused all of it and says how it stands. */
export interface CommandReply {
  executed: boolean;
  report: Report;
}

/** Commands sent straight to workers; scenarios stand in for it. */
export interface WorkerApi {
  command(addr: string, token: number, session: number, orders: Order[]): Promise<CommandReply>;
}

export class HttpWorkers implements WorkerApi {
  private readonly http = new HttpClient(1);

  constructor(private readonly timeoutMs: number) {}

  async command(addr: string, token: number, session: number, orders: Order[]): Promise<CommandReply> {
    const reply = await this.http.call(
      addr,
      "POST",
      "/commands",
      { baton: token, shift: session, orders: encodeOrders(orders) },
      this.timeoutMs,
    );
    const report = decodeReport(reply.body);
    if ((reply.status !== 200 && reply.status !== 409) || report === null)
      throw new NoReply("unanswered", `worker answered ${reply.status}`);
    return { executed: reply.status === 200, report };
  }
}
