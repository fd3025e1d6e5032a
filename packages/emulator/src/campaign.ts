/**
 * Generates a campaign of rehearsals (test runs of a plan) with pairwise coverage: every pair of values of two of the
 * factors fault, injection point, duration and second fault occurs in at least one rehearsal.
 */
import { make, sorters } from "covertable";
import { decodeFault, type Fault } from "./faults.js";
import { INJECTION_POINTS, type InjectionPoint, type RehearsalPlan } from "./plan.js";

/** Durations of the injected faults, in seconds. */
const durationsS = { short: 3, long: 30 } as const;
type DurationName = keyof typeof durationsS;

const FAULTS_BY_NAME: Record<string, (seconds: number) => Record<string, unknown>> = {
  restart: (s) => ({ kind: "restart", for: Math.max(2, s * 0.8) }),
  "restart all": (s) => ({ kind: "restart", target: "all", for: Math.max(2, s / 3) }),
  freeze: (s) => ({ kind: "freeze", for: s }),
  "cut from state": (s) => ({ kind: "cut", from: "state", for: s }),
  "cut from workers": (s) => ({ kind: "cut", from: "workers", for: s }),
  "cut from all": (s) => ({ kind: "cut", from: "all", for: s }),
  "refused by state": (s) => ({ kind: "refuse", by: "state", for: s }),
  "store restarts": (s) => ({ kind: "restart-store", for: s / 3 }),
  "state outage": (s) => ({ kind: "outage", of: "state", for: s }),
  "cloud outage": (s) => ({ kind: "outage", of: "cloud", for: s }),
  "answers lost": () => ({ kind: "drop", target: "all", by: "state", what: "txn", count: 3 }),
  "late transactions": (s) => ({ kind: "late", target: "all", by: "state", what: "txn", count: 2, ms: s * 1000 }),
  "late rentals": (s) => ({ kind: "late", target: "all", by: "cloud", what: "hire", count: 2, ms: s * 1000 }),
  "rental answered for another": () => ({ kind: "wrong", target: "all", by: "cloud", what: "hire", form: "other" }),
  "list older than the last": () => ({ kind: "wrong", target: "all", by: "cloud", what: "list", form: "older", count: 4 }),
  "list without machines": () => ({ kind: "wrong", target: "all", by: "cloud", what: "list", form: "other", count: 4 }),
  "list with ghosts": () => ({ kind: "wrong", target: "all", by: "cloud", what: "list", form: "ghost", count: 4 }),
  "executed, answered 500": () => ({ kind: "wrong", target: "all", by: "state", what: "txn", form: "error-after", count: 3 }),
  "no more machines": (s) => ({ kind: "capacity", target: "*", count: 0, spot: 0, for: s }),
  "prices triple": (s) => ({ kind: "prices", factor: 3, for: s }),
  "twice at the cloud": () => ({ kind: "twice", target: "all", by: "cloud", what: "hire", count: 2 }),
  "machine lost": () => ({ kind: "lose" }),
  "machine taken": () => ({ kind: "take", notice: 5 }),
  "machine fails": () => ({ kind: "fail" }),
  "machine hangs": (s) => ({ kind: "hang", for: s }),
  "machine sick": () => ({ kind: "sick" }),
  "machine slow": () => ({ kind: "slow", factor: 5 }),
  "machine cut": (s) => ({ kind: "cut-machine", for: s }),
  "machine deaf": (s) => ({ kind: "deaf", for: s }),
  "copied commands": (s) => ({ kind: "copies", of: "commands", share: 0.5, ms: s * 1000, for: 30 }),
  "copied transactions": (s) => ({ kind: "copies", of: "transactions", share: 0.5, ms: s * 1000, for: 30 }),
  "late reports": (s) => ({ kind: "late-reports", share: 0.5, ms: 25_000, for: s }),
};

/** One combination of a fault, its injection point (the event at which it is injected), its duration and a second fault. */
export interface CoverageCase {
  fault: string;
  moment: InjectionPoint;
  length: DurationName;
  /** Name of a second fault that is injected later in the run, or `none`. */
  beside: string;
}

/** Seconds after the start of a run from which machines are up that a fault can affect. */
const WARMUP_S = 12;

const SECOND_FAULTS = ["none", "machine lost", "restart", "answers lost", "store restarts"];

/**
 * Returns cases in which every pair of values of two different factors, such as a fault and an injection point, occurs.
 * The seed selects one of many such lists.
 */
export function pairwiseCases(seed: number): CoverageCase[] {
  const factors = {
    fault: Object.keys(FAULTS_BY_NAME),
    moment: [...INJECTION_POINTS],
    length: Object.keys(durationsS),
    beside: SECOND_FAULTS,
  };
  const rows = make(factors, { length: 2, sorter: sorters.hash, seed });
  return rows as unknown as CoverageCase[];
}

function buildFault(name: string, length: DurationName): Fault {
  const decoded = decodeFault(FAULTS_BY_NAME[name]!(durationsS[length]));
  if ("wrong" in decoded) throw new Error(`${name}: ${decoded.wrong}`);
  return decoded.fault;
}

/**
 * Returns the plan with the faults of one case instead of its own. If the injection point occurs only during or after a
 * takeover, adds a controller restart that causes one.
 */
export function planForCase(base: RehearsalPlan, one: CoverageCase): RehearsalPlan {
  const fault: RehearsalPlan["fault"] = [
    { moment: one.moment, after: one.moment === "first-placement" ? 0 : WARMUP_S, fault: buildFault(one.fault, one.length) },
  ];
  if (one.moment === "fencing") fault.push({ at: 20, fault: buildFault("restart", "short") });
  // Keeps the controller down long enough for another one to take over its partition, which is handed back afterwards.
  if (one.moment === "handing-over") fault.push({ at: 20, fault: buildFault("restart", "long") });
  if (one.beside !== "none") fault.push({ at: 26, fault: buildFault(one.beside, "short") });
  return { ...base, name: `${one.fault}, ${one.length}, at ${one.moment}${one.beside === "none" ? "" : `, beside ${one.beside}`}`, fault };
}

/** The result of running a plan with the faults of one case. */
export interface CaseResult {
  fault: string;
  moment: InjectionPoint;
  /** Whether the injection point occurred and the fault injected there affected something. */
  seen: boolean;
  broken: number;
  unfinished: number;
}

/**
 * Formats a table of faults by injection points: `+` the fault affected something there, `.` it did not or the point was not
 * reached, `!` a rule of the protocol was broken, blank: not run.
 */
export function formatCoverageTable(results: readonly CaseResult[]): string {
  const width = Math.max(...Object.keys(FAULTS_BY_NAME).map((name) => name.length));
  const lines = INJECTION_POINTS.map((point, i) => `${" ".repeat(width)} ${"| ".repeat(i)}${point}`);
  for (const fault of Object.keys(FAULTS_BY_NAME)) {
    const cells = INJECTION_POINTS.map((point) => {
      const matching = results.filter((one) => one.fault === fault && one.moment === point);
      if (matching.length === 0) return " ";
      return matching.some((one) => one.broken > 0) ? "!" : matching.some((one) => one.seen) ? "+" : ".";
    });
    lines.push(`${fault.padEnd(width)} ${cells.join(" ")}`);
  }
  return lines.join("\n");
}
