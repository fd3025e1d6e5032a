/**
 * Network faults between endpoints, used both in virtual time and with real sockets. A rule states which calls it applies
 * to, at most how many, and its effect on them. Endpoints are controllers and machines, by name, and the services `state`
 * and `cloud`.
 */
import { matchesEndpoint, type EndpointSelector } from "./endpoint-selector.js";

/** How a response is wrong. A response that cannot be wrong in the given way is truncated instead. */
export type WrongResponseForm =
  /** Truncated. */
  | "cut-short"
  /** A list of machines that is much older than usual. */
  | "older"
  /** A list of machines that includes deleted ones. */
  | "ghost"
  /** The response to another request, which is an empty list of machines. */
  | "other"
  /** The error 500, although the request was executed. */
  | "error-after";

/** The effect of a network rule on the calls that it matches. */
export type RuleEffect =
  /**
   * Messages are held and delivered in order when the rule ends; in virtual time, those between controllers are dropped instead.
   * The sender gets no response until the rule ends. Held requests to services are never answered, nor are held reports and
   * commands on real sockets.
   */
  | { kind: "cut" }
  /** Requests are answered with 503 and not executed; connections between controllers are refused. */
  | { kind: "refuse" }
  | { kind: "delay"; ms: number }
  /** The request is executed, but its response is lost. */
  | { kind: "drop" }
  /** The request is executed after `ms`, or after a random delay between `leastMs` and `ms`; no response is sent. */
  | { kind: "late"; ms: number; leastMs?: number }
  /** The request is executed twice in a row. */
  | { kind: "twice" }
  /** The message is lost without an error. */
  | { kind: "lose" }
  /** For this share of the messages, a copy arrives again 2 s to `mostMs` later. */
  | { kind: "again"; share: number; mostMs: number }
  /** For this share of the messages, a copy is stored and delivered when a controller takes over a partition. */
  | { kind: "keep"; share: number }
  /**
   * For this share of the requests, a copy is carried out once more after the request was: `leastMs` to `mostMs` later or,
   * if `kept`, once the sender has ended or a controller takes over a partition.
   */
  | { kind: "copy"; share: number; leastMs: number; mostMs: number; kept: boolean }
  /** The request is executed, but its response is wrong. */
  | { kind: "wrong"; form: WrongResponseForm };

/** Effects that apply once a request has arrived at its receiver. */
type ArrivalEffect = Exclude<RuleEffect, { kind: "cut" | "delay" | "lose" | "again" | "keep" | "copy" }>;
type CopyEffect = Extract<RuleEffect, { kind: "copy" }>;

/** Sender, receiver and kind of a message, by which network rules match it. */
export interface NetworkCall {
  from: string;
  to: string;
  /**
   * Kind of message: `txn`, `follow`, `range`, `lease`, `hire`, `remove`, `list`, `types`, `report`, `command`, `peer`,
   * `request` for a user's request, or `answer` for the response to a report or command.
   */
  what: string;
}

/** A network rule as plain data: the calls it applies to and its effect on them. */
export interface NetworkRule {
  from: EndpointSelector;
  to: EndpointSelector;
  what?: string;
  effect: RuleEffect;
  /** Number of calls that the rule applies to; if absent, all until the rule is removed. */
  count?: number;
  /** Share of the matching calls that the rule applies to, from 0 to 1; if absent, all. */
  share?: number;
}

interface ActiveRule extends Required<NetworkRule> {
  id: number;
  held: (() => void)[];
}

/** Effects that do not change how an arriving request is carried out: those on messages in transit, and copies of requests carried out. */
const NOT_ON_ARRIVAL = new Set<RuleEffect["kind"]>(["cut", "delay", "lose", "again", "keep", "copy"]);
/** Minimum delay in ms after which the effect `again` delivers the copy of a message. */
const MIN_COPY_DELAY_MS = 2000;

/** Holds the active network rules and decides how they affect each call. */
export class NetworkRules {
  private rules: ActiveRule[] = [];
  private lastRuleId = 0;

  constructor(private readonly random: () => number = Math.random) {}

  /** Adds a rule and returns the function that removes it; removal delivers the messages that the rule holds. */
  add(requested: NetworkRule): () => void {
    const rule: ActiveRule = { what: "*", count: Infinity, share: 1, ...requested, id: ++this.lastRuleId, held: [] };
    this.rules.push(rule);
    return () => {
      this.rules = this.rules.filter((other) => other !== rule);
      for (const deliver of rule.held.splice(0)) deliver();
    };
  }

  private find(call: NetworkCall, fits: (effect: RuleEffect) => boolean): ActiveRule | undefined {
    return this.rules.find(
      (rule) =>
        fits(rule.effect) &&
        rule.count > 0 &&
        (rule.what === "*" || rule.what === call.what) &&
        // A cut applies in both directions, all other effects only to calls from `from` to `to`.
        ((matchesEndpoint(rule.from, call.from) && matchesEndpoint(rule.to, call.to)) ||
          (rule.effect.kind === "cut" && matchesEndpoint(rule.from, call.to) && matchesEndpoint(rule.to, call.from))),
    );
  }

  /** Holds the call if a cut applies to it, and returns whether it does. */
  holdIfCut(call: NetworkCall, deliver: () => void): boolean {
    const rule = this.find(call, ({ kind }) => kind === "cut");
    rule?.held.push(deliver);
    return rule !== undefined;
  }

  /**
   * Whether a cut applies to the call. Used for messages that a cut drops instead of holding, such as messages between
   * controllers and responses of services.
   */
  isCut(call: NetworkCall): boolean {
    return this.find(call, ({ kind }) => kind === "cut") !== undefined;
  }

  /** Whether connections for the call are refused. */
  isRefused(call: NetworkCall): boolean {
    return this.find(call, ({ kind }) => kind === "refuse") !== undefined;
  }

  delayMs(call: NetworkCall): number {
    const rule = this.find(call, ({ kind }) => kind === "delay");
    return rule?.effect.kind === "delay" ? rule.effect.ms : 0;
  }

  /** Whether a rule with the effect `lose` applies to the message. */
  isLost(call: NetworkCall): boolean {
    return this.find(call, ({ kind }) => kind === "lose") !== undefined;
  }

  /** Delay in ms after which a copy of the message arrives again, or null for none. */
  copyDelayMs(call: NetworkCall, random: () => number): number | null {
    const effect = this.find(call, ({ kind }) => kind === "again")?.effect;
    if (effect?.kind !== "again" || random() >= effect.share) return null;
    return MIN_COPY_DELAY_MS + random() * Math.max(0, effect.mostMs - MIN_COPY_DELAY_MS);
  }

  /** Whether a copy of the message is stored for the next takeover of a partition. */
  shouldStoreCopy(call: NetworkCall): boolean {
    const effect = this.find(call, ({ kind }) => kind === "keep")?.effect;
    return effect?.kind === "keep" && this.random() < effect.share;
  }

  /** Returns when a copy of a call that was carried out is carried out again; null if it is not. */
  copyEffect(call: NetworkCall): CopyEffect | null {
    const effect = this.find(call, ({ kind }) => kind === "copy")?.effect;
    return effect?.kind === "copy" && this.random() < effect.share ? effect : null;
  }

  /** Returns the effect on a call that has arrived, and counts it against rules with a limited number of calls. */
  takeEffect(call: NetworkCall): ArrivalEffect | null {
    const rule = this.find(call, ({ kind }) => !NOT_ON_ARRIVAL.has(kind));
    if (rule === undefined || (rule.share < 1 && this.random() >= rule.share)) return null;
    rule.count--;
    if (rule.count <= 0) this.rules = this.rules.filter((other) => other !== rule);
    const effect = rule.effect as ArrivalEffect;
    if (effect.kind !== "late" || effect.leastMs === undefined) return effect;
    return { kind: "late", ms: effect.leastMs + this.random() * (effect.ms - effect.leastMs) };
  }
}
