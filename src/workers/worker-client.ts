/** HTTP client for the workers' command interface. */
import { performance } from "node:perf_hooks";
import { mergeMap, Subject } from "rxjs";
import { CallError } from "@thorntrail/protocol/errors";
import { HttpClient } from "../platform/http.js";
import { decodeReport, encodeOrders, type CommandReply, type Order, type WorkerApi } from "@thorntrail/protocol/worker";

/**
 * HTTP client for commands to workers. A partition may have more machines than the node
 * has spare sockets, and each machine also keeps a connection for its reports. The number
 * of concurrent commands and of idle connections is therefore limited to `maxConcurrent`.
 * A command whose time limit expires while it waits is not sent.
 */
export class HttpWorkerClient implements WorkerApi {
  private readonly http: HttpClient;
  private readonly calls$ = new Subject<() => Promise<unknown>>();

  constructor(
    private readonly timeoutMs: number,
    maxConcurrent: number,
    clientName: string,
  ) {
    this.http = new HttpClient(1, maxConcurrent, clientName);
    this.calls$.pipe(mergeMap((call) => call(), maxConcurrent)).subscribe();
  }

  /**
   * Sends orders to a worker. `limitMs` includes the time spent waiting for other commands. Rejects with `CallError` if the
   * command was not sent or got no valid reply.
   */
  command(addr: string, token: number, session: number, orders: Order[], limitMs = this.timeoutMs): Promise<CommandReply> {
    const deadline = performance.now() + limitMs;
    return new Promise((resolve, reject) => {
      this.calls$.next(async () => {
        // The time limit runs from the call of `command`, so the time spent waiting is deducted.
        const remainingMs = deadline - performance.now();
        if (remainingMs <= 0) return reject(new CallError("refused", "no turn in time"));
        await this.call(addr, token, session, orders, remainingMs).then(resolve, reject);
      });
    });
  }

  private async call(addr: string, token: number, session: number, orders: Order[], limitMs: number): Promise<CommandReply> {
    const reply = await this.http.call(addr, "POST", "/commands", { baton: token, shift: session, orders: encodeOrders(orders) }, limitMs);
    const report = decodeReport(reply.body);
    if ((reply.status !== 200 && reply.status !== 409) || report === null)
      throw new CallError("unanswered", `worker answered ${reply.status}`);
    return { executed: reply.status === 200, report };
  }
}
