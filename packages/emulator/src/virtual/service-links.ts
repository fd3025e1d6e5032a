import type { CloudApi } from "@thorntrail/protocol/cloud";
import { NoReply } from "@thorntrail/protocol/errors";
import { LostPermit, OverRate, TooLarge, type FollowResult, type Op, type StateApi, type StateEvent } from "@thorntrail/protocol/state";
import type { Change } from "@thorntrail/store/core";
import { MemoryEngine } from "@thorntrail/store/memory-engine";
import { Store, Unfit, type StoreLimits } from "@thorntrail/store/store";
import type { StoredEvent } from "@thorntrail/store/engine";
import type { CloudModel, ModelClock } from "../cloud-model.js";
import { Links, type WrongForm } from "../links.js";

/** Something that happens to a controller's process, unless it has ended. */
export type Via = (fn: () => void) => void;

/** How one controller reaches a service in virtual time. */
export interface Reach {
  clock: ModelClock;
  links: Links;
  node: string;
  via: Via;
  latencyMs: () => number;
  /** The service as a whole is down. */
  down: () => boolean;
  /** Something was asked for: plans may wait for it. */
  seen?: (what: string, detail: unknown) => void;
}

interface Asked<T> {
  to: string;
  what: string;
  timeoutMs: number;
  run: () => T | Promise<T>;
  /** What a wrong answer of this form would be; undefined: there is none, and no answer comes that can be read. */
  spoil?: (answer: T, form: WrongForm) => T | undefined;
}

/** One call through whatever lies in its way: the same rules that real sockets are put through. */
export function reach<T>({ clock, links, node, via, latencyMs, down }: Reach, asked: Asked<T>): Promise<T> {
  const call = { from: node, to: asked.to, what: asked.what };
  const execute = async (): Promise<T> => asked.run();
  // Nobody hears what came of it, a refusal neither.
  const executeUnheard = (): void => void execute().catch(() => undefined);
  return new Promise<T>((resolve, reject) => {
    const fail = (error: Error): void => via(() => reject(error));
    const silent = (why: string): void => void clock.after(asked.timeoutMs, () => fail(new NoReply("unanswered", why)));
    clock.after(latencyMs() + links.delayMs(call), () => {
      if (links.hold(call, executeUnheard)) return silent("cut");
      if (links.loses(call)) return silent("lost");
      const effect = links.judge(call);
      if (down() || effect?.kind === "refuse") return void clock.after(latencyMs(), () => fail(new NoReply("refused", "503")));
      if (effect?.kind === "late") {
        clock.after(effect.ms, executeUnheard);
        return silent("held");
      }
      void execute().then(
        async (answer) => {
          if (effect?.kind === "twice") await execute().catch(() => undefined);
          if (effect?.kind === "drop") return silent("the answer was lost");
          let said: T | undefined = answer;
          if (effect?.kind === "wrong") {
            said = asked.spoil?.(answer, effect.form);
            if (said === undefined)
              return void clock.after(latencyMs(), () =>
                fail(new NoReply("unanswered", effect.form === "error-after" ? "answered 500" : "reply cut short")),
              );
          }
          clock.after(latencyMs(), () => {
            if (links.blocked(call)) silent("cut");
            else via(() => resolve(said));
          });
        },
        (error: unknown) => void clock.after(latencyMs(), () => fail(error as Error)),
      );
    });
  });
}

const parsed = new WeakMap<StoredEvent, StateEvent>();
/** Events are shared by all that are told of them, and so is what they say. */
function eventOf(event: StoredEvent): StateEvent {
  let said = parsed.get(event);
  if (said === undefined) {
    const { key, text, stamp } = event;
    said = text === null ? { remove: key, stamp } : { write: key, v: JSON.parse(text), stamp };
    parsed.set(event, said);
  }
  return said;
}

const changeOf = (op: Op): Change => ("write" in op ? { write: op.write, text: JSON.stringify(op.v), permit: op.permit ?? null } : op);

/** The state service as a controller's ledger uses it. */
export function stateLink(store: () => Store, around: Reach, tooLarge: (what: string) => void, timeoutMs = 2000): StateApi {
  const call = <T>(what: string, run: () => T | Promise<T>, limitMs = timeoutMs, extraMs = 0): Promise<T> =>
    reach(around, { to: "state", what, timeoutMs: limitMs + extraMs, run });
  return {
    txn: (conditions, apply, limitMs) =>
      call(
        "txn",
        async () => {
          around.seen?.("txn", apply);
          try {
            const answer = await store().txn(conditions, apply.map(changeOf));
            if (answer.kind === "applied") return { ok: true, ledger: answer.ledger };
            if (answer.kind === "conflict") return { ok: false, failed: answer.failed, ledger: answer.ledger };
          } catch (error) {
            if (!(error instanceof Unfit)) throw error;
            tooLarge(error.message);
            throw new TooLarge(error.message);
          }
          throw new LostPermit("no such lease");
        },
        limitMs,
      ),
    follow: (prefix, from, blockMs, limitMs) =>
      call(
        "follow",
        async (): Promise<FollowResult> => {
          const told = await store().follow(prefix, from, blockMs);
          return told === "too-old" ? told : { ledger: told.ledger, events: told.events.map(eventOf) };
        },
        limitMs,
        blockMs,
      ),
    range: (prefix, from, limit, limitMs) =>
      call(
        "range",
        async () => {
          const { rows, more, ledger } = await store().range(prefix, from, limit);
          return {
            rows: rows.map(({ key, stored }) => ({ k: key, v: JSON.parse(stored.text) as unknown, stamp: stored.stamp })),
            more,
            ledger,
          };
        },
        limitMs,
      ),
    grant: (ttlMs, limitMs) => call("lease", () => store().grant(Math.round(ttlMs)), limitMs),
    renew: (permit, limitMs) => call("lease", () => store().renew(permit), limitMs),
  };
}

/** The most names the cloud takes in one request, and calls a second: bursts are worth two seconds. */
export function cloudLink(model: CloudModel, around: Reach, admit: () => boolean, timeoutMs = 5000): CloudApi {
  const call = <T>(what: string, run: () => T, spoil?: Asked<T>["spoil"]): Promise<T> =>
    reach(around, {
      to: "cloud",
      what,
      timeoutMs,
      run: () => {
        if (!admit()) throw new OverRate();
        return run();
      },
      ...(spoil === undefined ? {} : { spoil }),
    });
  return {
    types: () => call("types", () => model.types()),
    hire: (name, offer, count) =>
      call(
        "hire",
        () => {
          around.seen?.("hire", name);
          return model.hire(name, offer, count);
        },
        // An answer to some other request: names that nobody rented under this one.
        (answer, form) => (form === "other" && answer !== null ? [] : undefined),
      ),
    remove: (hosts) => call("remove", () => hosts.forEach((host) => model.remove(host))),
    list: (from, limit) =>
      call(
        "list",
        () => model.list(from, limit),
        (_answer, form) => model.wrongList(form, from, limit),
      ),
  };
}

/** The store itself, in memory and in virtual time, with what can go wrong on the way to it. */
export class VirtualState {
  private readonly engine = new MemoryEngine();
  private store: Store;
  private isDown = false;
  /** While it is away: when it comes back, in ms of the clock. */
  private backAt = -Infinity;
  /** Transactions that no service would take: too many changes, or too large a value. */
  readonly oversized: string[] = [];
  seen: (node: string, what: string, detail: unknown) => void = () => undefined;

  constructor(
    private readonly clock: ModelClock,
    private readonly latencyMs: () => number,
    private limits: StoreLimits,
    readonly links = new Links(),
  ) {
    this.store = Store.fresh(this.engine, clock, limits);
  }

  /** Without notice. */
  limit(limits: Partial<StoreLimits>): void {
    this.limits = this.store.limit(limits);
  }

  set outage(on: boolean) {
    this.store.suspend(on);
  }

  endOutage(): void {
    this.store.suspend(false);
  }

  /**
   * The process ends and starts again: what was under way is not answered, open watches break. One that ends once more
   * while it is away stays away for the longer: two stores on the same data would end each other's leases.
   */
  restart(awayMs: number): void {
    this.store.abandon();
    this.isDown = true;
    this.backAt = Math.max(this.backAt, this.clock.now() + awayMs);
    this.clock.after(awayMs, () => {
      if (this.clock.now() < this.backAt) return;
      this.backAt = Infinity;
      void Store.open(this.engine, this.clock, this.limits).then((store) => {
        this.store = store;
        this.isDown = false;
        this.backAt = -Infinity;
      });
    });
  }

  client(node: string, via: Via): StateApi {
    const around: Reach = {
      clock: this.clock,
      links: this.links,
      node,
      via,
      latencyMs: this.latencyMs,
      down: () => this.isDown,
      seen: (what, detail) => this.seen(node, what, detail),
    };
    return stateLink(
      () => this.store,
      around,
      (what) => this.oversized.push(what),
    );
  }
}
