import type { Via } from "./world.js";
import { NoReply } from "@thorntrail/protocol/errors";
import {
  LostPermit,
  OverRate,
  TooLarge,
  type Condition,
  type FollowResult,
  type Op,
  type StateApi,
  type StateEvent,
  type TxnResult,
} from "@thorntrail/protocol/state";
import type { VirtualClock } from "./virtual-clock.js";

interface Watch {
  prefix: string;
  from: number;
  answer: (result: FollowResult) => void;
}

/** What goes wrong between one node and the state service. */
export interface Weather {
  /** Requests are answered 503. */
  refused: boolean;
  /** Requests are held and executed when the cut ends; no reply comes. */
  cut: boolean;
  /** The next so many transactions are executed, but their replies are lost. */
  loseReplies: number;
  /** The next so many transactions are executed this much later; no reply comes. */
  late: { count: number; ms: number };
}

export interface StateLimits {
  rps: number;
  writeRps: number;
  valueKb: number;
  txnOps: number;
}

/** A rate with bursts of one second's worth. */
class Bucket {
  private level: number;
  private at = 0;

  constructor(private readonly perSecond: number) {
    this.level = perSecond;
  }

  take(now: number, count: number): boolean {
    this.level = Math.min(this.perSecond, this.level + ((now - this.at) / 1000) * this.perSecond);
    this.at = now;
    if (this.level < count) return false;
    this.level -= count;
    return true;
  }
}

/** A stand-in for the state service: consistent, with leases, watches and bad weather. */
export class StateService {
  private ledger = 0;
  private readonly data = new Map<string, { v: unknown; stamp: number; permit: number | null }>();
  private readonly log: StateEvent[] = [];
  private readonly permits = new Map<number, { ttlMs: number; until: number }>();
  private permitCount = 0;
  private watches: Watch[] = [];
  private held: { node: string; run: () => void }[] = [];
  outage = false;
  readonly weather = new Map<string, Weather>();

  /** Transactions that no service would take: too many changes, or too large a value. */
  readonly oversized: string[] = [];
  private requests: Bucket;
  private writes: Bucket;

  constructor(
    private readonly clock: VirtualClock,
    private readonly latencyMs: () => number,
    private limits: StateLimits,
  ) {
    this.requests = new Bucket(limits.rps);
    this.writes = new Bucket(limits.writeRps);
    const tick = (): void => {
      if (!this.outage) {
        for (const [permit, lease] of [...this.permits]) {
          if (lease.until > clock.now()) continue;
          this.permits.delete(permit);
          const keys = [...this.data].filter(([, e]) => e.permit === permit).map(([k]) => k);
          if (keys.length > 0) this.change(keys.map((k) => ({ remove: k })));
        }
      }
      clock.after(50, tick);
    };
    tick();
  }

  /** Without notice. */
  limit(limits: Partial<StateLimits>): void {
    this.limits = { ...this.limits, ...limits };
    this.requests = new Bucket(this.limits.rps);
    this.writes = new Bucket(this.limits.writeRps);
  }

  weatherOf(node: string): Weather {
    let weather = this.weather.get(node);
    if (weather === undefined)
      this.weather.set(node, (weather = { refused: false, cut: false, loseReplies: 0, late: { count: 0, ms: 0 } }));
    return weather;
  }

  endOutage(): void {
    this.outage = false;
    for (const lease of this.permits.values()) lease.until = this.clock.now() + lease.ttlMs;
  }

  endCut(node: string): void {
    this.weatherOf(node).cut = false;
    const due = this.held.filter((h) => h.node === node);
    this.held = this.held.filter((h) => h.node !== node);
    for (const { run } of due) run();
  }

  private change(ops: Op[]): number {
    this.ledger++;
    for (const op of ops) {
      if ("write" in op) {
        const v = JSON.parse(JSON.stringify(op.v)) as unknown;
        this.data.set(op.write, { v, stamp: this.ledger, permit: op.permit ?? null });
        this.log.push({ write: op.write, v, stamp: this.ledger });
      } else if (this.data.delete(op.remove)) this.log.push({ remove: op.remove, stamp: this.ledger });
    }
    const waiting = this.watches;
    this.watches = [];
    for (const watch of waiting) {
      const events = this.since(watch.prefix, watch.from);
      if (events.length > 0) watch.answer({ ledger: this.ledger, events });
      else this.watches.push(watch);
    }
    return this.ledger;
  }

  private since(prefix: string, from: number): StateEvent[] {
    return this.log.filter((e) => e.stamp > from && ("write" in e ? e.write : e.remove).startsWith(prefix));
  }

  private tooLarge(conditions: Condition[], apply: Op[]): boolean {
    const { valueKb, txnOps } = this.limits;
    const sizes = apply.map((op) => ("write" in op ? Buffer.byteLength(JSON.stringify(op.v)) : 0));
    const whole = Buffer.byteLength(JSON.stringify({ if: conditions, apply }));
    const large =
      apply.length > txnOps || conditions.length > 4 * txnOps || whole > 64 * 1024 || sizes.some((size) => size > valueKb * 1024);
    if (large) this.oversized.push(`${apply.length} changes, ${conditions.length} conditions, ${whole} bytes, ${sizes.join()}`);
    return large;
  }

  private execute(conditions: Condition[], apply: Op[]): TxnResult | "no lease" | "too large" {
    if (this.tooLarge(conditions, apply)) return "too large";
    const failed = conditions.filter((c) => (this.data.get(c.k)?.stamp ?? 0) !== c.stamp).map((c) => c.k);
    if (failed.length > 0) return { ok: false, failed, ledger: this.ledger };
    if (apply.some((op) => "write" in op && op.permit !== undefined && !this.permits.has(op.permit))) return "no lease";
    return { ok: true, ledger: apply.length > 0 ? this.change(apply) : this.ledger };
  }

  /** The service as one node reaches it. */
  client(node: string, via: Via): StateApi {
    const { clock } = this;
    const call = <T>(run: () => T, writes = 0, timeoutMs = 2000): Promise<T> =>
      new Promise((resolve, reject) => {
        const weather = this.weatherOf(node);
        clock.after(this.latencyMs(), () => {
          if (!this.requests.take(clock.now(), 1) || !this.writes.take(clock.now(), writes))
            return clock.after(this.latencyMs(), () => via(() => reject(new OverRate())));
          if (this.outage || weather.refused) return clock.after(this.latencyMs(), () => via(() => reject(new NoReply("refused", "503"))));
          if (weather.cut) {
            this.held.push({ node, run: () => void run() });
            return clock.after(timeoutMs, () => via(() => reject(new NoReply("unanswered", "cut"))));
          }
          const result = run();
          clock.after(this.latencyMs(), () => {
            if (weather.cut) return void clock.after(timeoutMs, () => via(() => reject(new NoReply("unanswered", "cut"))));
            via(() => resolve(result));
          });
        });
      });
    return {
      txn: async (conditions, apply) => {
        const weather = this.weatherOf(node);
        if (weather.late.count > 0) {
          weather.late.count--;
          clock.after(weather.late.ms, () => this.execute(conditions, apply));
          await new Promise<void>((resolve) => clock.after(2000, resolve));
          throw new NoReply("unanswered", "held");
        }
        const result = await call(() => this.execute(conditions, apply), apply.length);
        if (weather.loseReplies > 0) {
          weather.loseReplies--;
          await new Promise<void>((resolve) => clock.after(2000, resolve));
          throw new NoReply("unanswered", "reply lost");
        }
        if (result === "no lease") throw new LostPermit("no such lease");
        if (result === "too large") throw new TooLarge("too large");
        return result;
      },
      follow: async (prefix, from, blockMs) => {
        const first = await call(() => ({ ledger: this.ledger, events: this.since(prefix, from) }));
        if (first.events.length > 0 || blockMs === 0) return first;
        return new Promise((resolve) => {
          const watch: Watch = {
            prefix,
            from,
            answer: (result) => clock.after(this.latencyMs(), () => via(() => resolve(result))),
          };
          const missed = this.since(prefix, from);
          if (missed.length > 0) return void watch.answer({ ledger: this.ledger, events: missed });
          this.watches.push(watch);
          clock.after(blockMs, () => {
            const at = this.watches.indexOf(watch);
            if (at < 0) return;
            this.watches.splice(at, 1);
            const { ledger } = this;
            via(() => resolve({ ledger, events: [] }));
          });
        });
      },
      range: (prefix, from, limit) =>
        call(() => {
          const all = [...this.data]
            .filter(([k]) => k.startsWith(prefix) && (from === undefined || k > from))
            .sort(([a], [b]) => (a < b ? -1 : 1));
          return {
            rows: all.slice(0, limit).map(([k, e]) => ({ k, v: e.v, stamp: e.stamp })),
            more: all.length > limit,
            ledger: this.ledger,
          };
        }),
      grant: (ttlMs) =>
        call(() => {
          this.permits.set(++this.permitCount, { ttlMs, until: clock.now() + ttlMs });
          return this.permitCount;
        }),
      renew: (permit) =>
        call(() => {
          const lease = this.permits.get(permit);
          if (lease === undefined) return false;
          lease.until = clock.now() + lease.ttlMs;
          return true;
        }),
    };
  }
}
