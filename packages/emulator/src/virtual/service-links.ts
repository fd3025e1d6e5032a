/** The controllers' connections to the state service and the cloud in virtual time, subject to the network rules. */
import type { CloudApi } from "@thorntrail/protocol/cloud";
import { CallError } from "@thorntrail/protocol/errors";
import {
  LeaseLostError,
  RateLimitError,
  RequestTooLargeError,
  type FollowResult,
  type Op,
  type StateApi,
  type StateEvent,
} from "@thorntrail/protocol/state";
import type { Change } from "@thorntrail/store/core";
import { MemoryEngine } from "@thorntrail/store/memory-engine";
import { Store, LimitExceededError, type StoreLimits } from "@thorntrail/store/store";
import type { StoredEvent } from "@thorntrail/store/engine";
import type { CloudModel, MonotonicClock } from "../cloud-model.js";
import { MessageCopies } from "../message-copies.js";
import { NetworkRules, type WrongResponseForm } from "../network-rules.js";

/** Runs the function within a controller's process, unless the process has ended. */
export type RunInProcess = (fn: () => void) => void;

/** The connection of one controller to a service in virtual time. */
export interface ServiceConnection {
  clock: MonotonicClock;
  links: NetworkRules;
  node: string;
  runInProcess: RunInProcess;
  latencyMs: () => number;
  /** Whether the service as a whole is down. */
  isDown: () => boolean;
  copies: MessageCopies;
  /** Called for each request that can mark an injection point. */
  onRequest?: (what: string, detail: unknown) => void;
}

interface ServiceCall<T> {
  to: string;
  what: string;
  timeoutMs: number;
  run: () => T | Promise<T>;
  /** Returns a response that is wrong as `form` says; undefined if there is none, in which case no readable response arrives. */
  wrongResponse?: (answer: T, form: WrongResponseForm) => T | undefined;
  /** Returns whether the service carried the request out; absent if it always does. */
  accepted?: (answer: T) => boolean;
}

/** Makes one call, subject to the same network rules as calls over real sockets. */
export function callService<T>(
  { clock, links, node, runInProcess, latencyMs, isDown, copies }: ServiceConnection,
  request: ServiceCall<T>,
): Promise<T> {
  const call = { from: node, to: request.to, what: request.what };
  const execute = async (): Promise<T> => request.run();
  // Executes the request although nobody waits for it any more: its result and its errors are discarded.
  const executeAndDiscard = (): void => void execute().catch(() => undefined);
  const executeCopy = (): Promise<boolean> =>
    isDown()
      ? Promise.resolve(false)
      : execute().then(
          (answer) => request.accepted?.(answer) ?? true,
          () => false,
        );
  return new Promise<T>((resolve, reject) => {
    const fail = (error: Error): void => runInProcess(() => reject(error));
    const failAfterTimeout = (why: string): void => void clock.after(request.timeoutMs, () => fail(new CallError("unanswered", why)));
    clock.after(latencyMs() + links.delayMs(call), () => {
      if (links.holdIfCut(call, executeAndDiscard)) return failAfterTimeout("cut");
      if (links.isLost(call)) return failAfterTimeout("lost");
      const effect = links.takeEffect(call);
      if (isDown() || effect?.kind === "refuse") return void clock.after(latencyMs(), () => fail(new CallError("refused", "503")));
      if (effect?.kind === "late") {
        clock.after(effect.ms, executeAndDiscard);
        return failAfterTimeout("held");
      }
      void execute().then(
        async (answer) => {
          copies.carriedOut(call, executeCopy);
          if (effect?.kind === "twice") await execute().catch(() => undefined);
          if (effect?.kind === "drop") return failAfterTimeout("the answer was lost");
          let response: T | undefined = answer;
          if (effect?.kind === "wrong") {
            response = request.wrongResponse?.(answer, effect.form);
            if (response === undefined)
              return void clock.after(latencyMs(), () =>
                fail(new CallError("unanswered", effect.form === "error-after" ? "answered 500" : "reply cut short")),
              );
          }
          clock.after(latencyMs(), () => {
            if (links.isCut(call)) failAfterTimeout("cut");
            else runInProcess(() => resolve(response));
          });
        },
        (error: unknown) => void clock.after(latencyMs(), () => fail(error as Error)),
      );
    });
  });
}

const parsedEvents = new WeakMap<StoredEvent, StateEvent>();
/** Parses a change event of the store. All watchers of the change stream receive the same event object, so each is parsed once. */
function parseEvent(event: StoredEvent): StateEvent {
  let parsed = parsedEvents.get(event);
  if (parsed === undefined) {
    const { key, text, stamp } = event;
    parsed = text === null ? { remove: key, stamp } : { write: key, v: JSON.parse(text), stamp };
    parsedEvents.set(event, parsed);
  }
  return parsed;
}

const toChange = (op: Op): Change => ("write" in op ? { write: op.write, text: JSON.stringify(op.v), permit: op.permit ?? null } : op);

/** Returns the API of the state service as used by a controller. `tooLarge` is called for each transaction that exceeds the limits. */
export function connectState(
  store: () => Store,
  connection: ServiceConnection,
  tooLarge: (what: string) => void,
  timeoutMs = 2000,
): StateApi {
  const call = <T>(what: string, run: () => T | Promise<T>, limitMs = timeoutMs, extraMs = 0): Promise<T> =>
    callService(connection, { to: "state", what, timeoutMs: limitMs + extraMs, run });
  return {
    txn: (conditions, apply, limitMs = timeoutMs) =>
      callService(connection, {
        to: "state",
        what: "txn",
        timeoutMs: limitMs,
        accepted: ({ ok }) => ok,
        run: async () => {
          connection.onRequest?.("txn", apply);
          try {
            const answer = await store().txn(conditions, apply.map(toChange));
            if (answer.kind === "applied") return { ok: true, ledger: answer.ledger };
            if (answer.kind === "conflict") return { ok: false, failed: answer.failed, ledger: answer.ledger };
          } catch (error) {
            if (!(error instanceof LimitExceededError)) throw error;
            tooLarge(error.message);
            throw new RequestTooLargeError(error.message);
          }
          throw new LeaseLostError("no such lease");
        },
      }),
    follow: (prefix, from, blockMs, limitMs) =>
      call(
        "follow",
        async (): Promise<FollowResult> => {
          const result = await store().follow(prefix, from, blockMs);
          return result === "too-old" ? result : { ledger: result.ledger, events: result.events.map(parseEvent) };
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
 * second, with bursts worth two seconds; calls that `admit` does not allow are rejected with RateLimitError.
 */
export function connectCloud(model: CloudModel, connection: ServiceConnection, admit: () => boolean, timeoutMs = 5000): CloudApi {
  const call = <T>(what: string, run: () => T, wrongResponse?: ServiceCall<T>["wrongResponse"]): Promise<T> =>
    callService(connection, {
      to: "cloud",
      what,
      timeoutMs,
      run: () => {
        if (!admit()) throw new RateLimitError();
        return run();
      },
      ...(wrongResponse === undefined ? {} : { wrongResponse }),
    });
  return {
    types: () => call("types", () => model.types()),
    rent: (name, offer, count) =>
      call(
        "hire",
        () => {
          connection.onRequest?.("hire", name);
          return model.rent(name, offer, count);
        },
        // The wrong response `other` belongs to another request, which rented no machines.
        (answer, form) => (form === "other" && answer !== null ? [] : undefined),
      ),
    remove: (hosts) => call("remove", () => hosts.forEach((host) => model.remove(host))),
    list: (from, limit) =>
      call(
        "list",
        () => model.list(from, limit),
        (_answer, form) => model.invalidList(form, from, limit),
      ),
  };
}

/** The state service in virtual time: a store in memory, and the faults on the connections to it. */
export class VirtualState {
  private readonly engine = new MemoryEngine();
  private store: Store;
  private isDown = false;
  /** When the store is started again, in ms of the clock; -Infinity if no restart is in progress, Infinity while the store starts. */
  private restartEndsAt = -Infinity;
  /** Descriptions of transactions that were rejected for too many changes or too large a value. */
  readonly oversized: string[] = [];
  onRequest: (node: string, what: string, detail: unknown) => void = () => undefined;

  constructor(
    private readonly clock: MonotonicClock,
    private readonly latencyMs: () => number,
    private limits: StoreLimits,
    readonly links = new NetworkRules(),
    private readonly copies = new MessageCopies(links, clock, Math.random),
  ) {
    this.store = Store.createEmpty(this.engine, clock, limits);
  }

  /** Changes the limits of the state service at once, without an announcement. */
  changeLimits(limits: Partial<StoreLimits>): void {
    this.limits = this.store.setLimits(limits);
  }

  set outage(on: boolean) {
    this.store.setSuspended(on);
  }

  endOutage(): void {
    this.store.setSuspended(false);
  }

  /**
   * Kills the state service and restarts it after `downMs`: calls in progress are not answered, and open watches of
   * the change stream report no more events. If it is killed again before it is back, only one store is opened, at the end
   * of the later downtime, because two stores on the same data would end each other's leases.
   */
  restart(downMs: number): void {
    this.store.simulateCrash();
    this.isDown = true;
    this.restartEndsAt = Math.max(this.restartEndsAt, this.clock.now() + downMs);
    this.clock.after(downMs, () => {
      if (this.clock.now() < this.restartEndsAt) return;
      this.restartEndsAt = Infinity;
      void Store.open(this.engine, this.clock, this.limits).then((store) => {
        this.store = store;
        this.isDown = false;
        this.restartEndsAt = -Infinity;
      });
    });
  }

  client(node: string, runInProcess: RunInProcess): StateApi {
    const connection: ServiceConnection = {
      clock: this.clock,
      links: this.links,
      node,
      runInProcess,
      latencyMs: this.latencyMs,
      isDown: () => this.isDown,
      copies: this.copies,
      onRequest: (what, detail) => this.onRequest(node, what, detail),
    };
    return connectState(
      () => this.store,
      connection,
      (what) => this.oversized.push(what),
    );
  }
}
