/**
 * Network faults between two endpoints, for virtual time and real sockets alike. A rule states which calls it applies
 * to, for how long or how many times, and its effect on them. Endpoints are names of controllers and machines, `state`
 * and `cloud`.
 */
import { isParty, type Party } from "./party.js";

/** The ways in which a response can be wrong. */
export type WrongForm = "cut-short" | "older" | "ghost" | "other" | "error-after";

/** The effect of a rule on a call. */
export type Effect =
  /** Messages are held and delivered in order when the rule ends; the sender gets no response. */
  | { kind: "cut" }
  /** Answered with 503 and not executed. */
  | { kind: "refuse" }
  | { kind: "delay"; ms: number }
  /** Executed, but the response is lost. */
  | { kind: "drop" }
  /** Executed `ms` later, or at random between `leastMs` and `ms`; no response is sent. */
  | { kind: "late"; ms: number; leastMs?: number }
  /** Executed a second time immediately afterwards. */
  | { kind: "twice" }
  /** Lost without an error. */
  | { kind: "lose" }
  /** For this share of the messages, a copy arrives again 2 s to `mostMs` later. */
  | { kind: "again"; share: number; mostMs: number }
  /** For this share of the messages, a copy is stored and delivered when a controller takes over a partition. */
  | { kind: "keep"; share: number }
  /** Executed, but the response is wrong. */
  | { kind: "wrong"; form: WrongForm };

/** Effects on a call that has arrived. */
type Executed = Exclude<Effect, { kind: "cut" | "delay" | "lose" | "again" | "keep" }>;

/** A message between two endpoints, as rules match it. */
export interface Call {
  from: string;
  to: string;
  /** Kind of request: `txn`, `follow`, `range`, `lease`, `hire`, `remove`, `list`, `types`, `report`, `command`, `peer`. */
  what: string;
}

/** A rule to add, as plain data. */
export interface RuleAsked {
  from: Party;
  to: Party;
  what?: string;
  effect: Effect;
  /** Number of calls that the rule applies to; without it, all until the rule is removed. */
  count?: number;
  /** Share of the matching calls that the rule applies to; without it, all. */
  share?: number;
}

interface Rule extends Required<RuleAsked> {
  id: number;
  held: (() => void)[];
}

/** Effects on a message in transit, independent of its kind of request. */
const ON_THE_WAY = new Set<Effect["kind"]>(["cut", "delay", "lose", "again", "keep"]);
/** Minimum delay of the copy of a message, in ms. */
const LEAST_AGAIN_MS = 2000;

/** The active network rules and the decisions that follow from them. */
export class Links {
  private rules: Rule[] = [];
  private count = 0;

  constructor(private readonly luck: () => number = Math.random) {}

  /** Adds a rule and returns the function that removes it; removal delivers the messages that the rule holds. */
  add(asked: RuleAsked): () => void {
    const rule: Rule = { what: "*", count: Infinity, share: 1, ...asked, id: ++this.count, held: [] };
    this.rules.push(rule);
    return () => {
      this.rules = this.rules.filter((other) => other !== rule);
      for (const run of rule.held.splice(0)) run();
    };
  }

  private find(call: Call, fits: (effect: Effect) => boolean): Rule | undefined {
    return this.rules.find(
      (rule) =>
        fits(rule.effect) &&
        rule.count > 0 &&
        (rule.what === "*" || rule.what === call.what) &&
        // A cut applies in both directions, all other effects only to calls from `from` to `to`.
        ((isParty(rule.from, call.from) && isParty(rule.to, call.to)) ||
          (rule.effect.kind === "cut" && isParty(rule.from, call.to) && isParty(rule.to, call.from))),
    );
  }

  /** Holds the call if a cut applies to it, and returns whether it does. */
  hold(call: Call, run: () => void): boolean {
    const rule = this.find(call, ({ kind }) => kind === "cut");
    rule?.held.push(run);
    return rule !== undefined;
  }

  /** Whether a cut applies to the call. Messages that cannot be held, such as the response to a caller that has given up, are lost. */
  blocked(call: Call): boolean {
    return this.find(call, ({ kind }) => kind === "cut") !== undefined;
  }

  /** Whether connections for the call are refused. */
  refuses(call: Call): boolean {
    return this.find(call, ({ kind }) => kind === "refuse") !== undefined;
  }

  delayMs(call: Call): number {
    const rule = this.find(call, ({ kind }) => kind === "delay");
    return rule?.effect.kind === "delay" ? rule.effect.ms : 0;
  }

  /** Whether the message is lost. */
  loses(call: Call): boolean {
    return this.find(call, ({ kind }) => kind === "lose") !== undefined;
  }

  /** Delay in ms after which a copy of the message arrives again, or null for none. */
  againMs(call: Call, luck: () => number): number | null {
    const effect = this.find(call, ({ kind }) => kind === "again")?.effect;
    if (effect?.kind !== "again" || luck() >= effect.share) return null;
    return LEAST_AGAIN_MS + luck() * Math.max(0, effect.mostMs - LEAST_AGAIN_MS);
  }

  /** Whether a copy of the message is stored for the next takeover of a partition. */
  keeps(call: Call): boolean {
    const effect = this.find(call, ({ kind }) => kind === "keep")?.effect;
    return effect?.kind === "keep" && this.luck() < effect.share;
  }

  /** Returns the effect on a call that has arrived, and counts it against rules with a limited number of calls. */
  judge(call: Call): Executed | null {
    const rule = this.find(call, ({ kind }) => !ON_THE_WAY.has(kind));
    if (rule === undefined || (rule.share < 1 && this.luck() >= rule.share)) return null;
    rule.count--;
    if (rule.count <= 0) this.rules = this.rules.filter((other) => other !== rule);
    const effect = rule.effect as Executed;
    if (effect.kind !== "late" || effect.leastMs === undefined) return effect;
    return { kind: "late", ms: effect.leastMs + this.luck() * (effect.ms - effect.leastMs) };
  }
}
