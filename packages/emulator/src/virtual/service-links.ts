import type { CloudApi } from "@thorntrail/protocol/cloud";
import { NoReply } from "@thorntrail/protocol/errors";
import { LostPermit, OverRate, TooLarge, type FollowResult, type Op, type StateApi, type StateEvent } from "@thorntrail/protocol/state";
import type { Change } from "@thorntrail/store/core";
import { MemoryEngine } from "@thorntrail/store/memory-engine";
import { Store, Unfit, type StoreLimits } from "@thorntrail/store/store";
import type { StoredEvent } from "@thorntrail/store/engine";
import type { CloudModel, ModelClock } from "../cloud-model.js";
import { Links, type WrongForm } from "../links.js";

/** Runs the function within a controller's process, unless the process has ended. */
export type Via = (fn: () => void) => void;

/** The connection of one controller to a service in virtual time. */
export interface Reach {
  clock: ModelClock;
  links: Links;
  node: string;
  via: Via;
  latencyMs: () => number;
  /** Whether the service as a whole is down. */
  down: () => boolean;
  /** Called for each request that can mark an injection point. */
  seen?: (what: string, detail: unknown) => void;
}

interface Asked<T> {
  to: string;
  what: string;
  timeoutMs: number;
  run: () => T | Promise<T>;
  /** Returns the wrong response of the given form; undefined if there is none, in which case no readable response arrives. */
  spoil?: (answer: T, form: WrongForm) => T | undefined;
}

/** Makes one call, subject to the network rules; real sockets are subject to the same rules. */
export function reach<T>({ clock, links, node, via, latencyMs, down }: Reach, asked: Asked<T>): Promise<T> {
  const call = { from: node, to: asked.to, what: asked.what };
  const execute = async (): Promise<T> => asked.run();
  // The result is discarded, errors included.
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
/** Events are shared by all watchers, so each is parsed only once. */
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

/** Returns the API of the state service as used by a controller. `tooLarge` is called for each transaction that exceeds the limits. */
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

/**
 * Returns the API of the cloud as used by a controller. The cloud limits the machines per request and the calls per
 * second, with bursts worth two seconds; calls that `admit` does not allow are rejected with OverRate.
 */
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
        // As if it were the response to another request: this name rented no machines.
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

/** The store, in memory and in virtual time, with the faults on the way to it. */
export class VirtualState {
  private readonly engine = new MemoryEngine();
  private store: Store;
  private isDown = false;
  /** During a restart: when the store is back, in ms of the clock. */
  private backAt = -Infinity;
  /** Descriptions of transactions that were rejected for too many changes or too large a value. */
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

  /** Changes the limits without notice. */
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
   * Kills and restarts the process: calls in progress are not answered, open watches break. If it is killed again
   * during a restart, the later end counts: two stores on the same data would end each other's leases.
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
