/**
 * Fault definitions, shared by the command line, plan files and randomly generated plans. The same faults are injected
 * into real processes and in virtual time.
 */
import { z } from "zod";
import type { NetworkRule } from "./network-rules.js";
import { isInSample, type MachineSample } from "./endpoint-selector.js";

const seconds = z.number().finite().min(0).max(3600);
const withDuration = { for: seconds.default(10) };
/** The name of a controller, `leader` (the controller that owns the most machines) or `all`. */
const controllerTarget = z.string().min(1).default("leader");
/** The name of a machine, `busiest` or `any`. */
const machineTarget = z.string().min(1).default("busiest");
const count = z.number().int().min(1).max(1000);
const service = z.enum(["state", "cloud"]);
const share = z.number().min(0).max(1);
/** The messages that a fault can copy, and the network calls that they are. */
const COPIED_CALLS = {
  commands: { from: "controllers", to: "workers", what: "command" },
  transactions: { from: "controllers", to: "state", what: "txn" },
  rentals: { from: "controllers", to: "cloud", what: "hire" },
  deletions: { from: "controllers", to: "cloud", what: "remove" },
  "peer-messages": { from: "controllers", to: "controllers", what: "peer" },
  requests: { from: "users", to: "controllers", what: "request" },
} as const;
type CopiedChannel = keyof typeof COPIED_CALLS;
/** The channels whose messages a fault of the kind `copies` can copy. */
export const COPIED_CHANNELS = Object.keys(COPIED_CALLS) as [CopiedChannel, ...CopiedChannel[]];

/** Schema of a fault as it is written in plans and commands. Durations (`for`, `notice`, `hang`) are in seconds, `ms` in milliseconds. */
export const faultSchema = z.discriminatedUnion("kind", [
  /** Kills the controller's process without warning and starts it again. */
  z.strictObject({ kind: z.literal("restart"), target: controllerTarget, for: seconds.default(6) }),
  /** Stalls the controller's process while its clocks continue to run. */
  z.strictObject({ kind: z.literal("freeze"), target: controllerTarget, ...withDuration }),
  /** Kills the state service at an arbitrary point and restarts it on its data. */
  z.strictObject({ kind: z.literal("restart-store"), for: seconds.default(2) }),
  /** The service `of` answers every request with 503. */
  z.strictObject({ kind: z.literal("outage"), of: service, ...withDuration }),
  /** The service `by` answers requests of one controller with 503. */
  z.strictObject({ kind: z.literal("refuse"), target: controllerTarget, by: service, ...withDuration }),
  /** Holds messages between the controller and the endpoints named in `from`, and delivers them when the fault ends. */
  z.strictObject({
    kind: z.literal("cut"),
    target: controllerTarget,
    from: z.enum(["state", "cloud", "workers", "controllers", "all"]),
    ...withDuration,
  }),
  z.strictObject({
    kind: z.literal("delay"),
    target: controllerTarget,
    to: z.enum(["state", "cloud", "workers"]),
    ms: z.number().min(1).max(60_000),
    ...withDuration,
  }),
  /** The service `by` executes `count` requests of the controller, but their responses are lost. */
  z.strictObject({
    kind: z.literal("drop"),
    target: controllerTarget,
    by: service,
    what: z.string().default("*"),
    count: count.default(1),
  }),
  /** The service `by` executes `count` requests of the controller `ms` late and sends no responses. */
  z.strictObject({
    kind: z.literal("late"),
    target: controllerTarget,
    by: service,
    what: z.string().default("*"),
    count: count.default(1),
    ms: z.number().min(1).max(120_000),
  }),
  z.strictObject({
    kind: z.literal("twice"),
    target: controllerTarget,
    by: service,
    what: z.string().default("*"),
    count: count.default(1),
  }),
  /**
   * The service `by` executes `count` requests of the controller and returns a wrong response to each. `form` says which:
   * a truncated one, a list older than the previous one, a list with deleted machines, the response to another request, or
   * an error 500.
   */
  z.strictObject({
    kind: z.literal("wrong"),
    target: controllerTarget,
    by: service,
    what: z.string().default("*"),
    form: z.enum(["cut-short", "older", "ghost", "other", "error-after"]),
    count: count.default(1),
  }),
  /** Lowers the limits of the state service from now on, without notice. */
  z.strictObject({
    kind: z.literal("limits"),
    writes: z.number().positive().optional(),
    value_kb: z.number().positive().optional(),
    changes: z.number().int().min(4).optional(),
  }),
  /** Removes the machine without notice. */
  z.strictObject({ kind: z.literal("lose"), target: machineTarget, count: count.default(1) }),
  /** Announces the removal of the machine by the cloud, then removes it. */
  z.strictObject({ kind: z.literal("take"), target: machineTarget, notice: seconds.default(20) }),
  /** The machine fails by itself, and the cloud lists it as failed until it is deleted. */
  z.strictObject({ kind: z.literal("fail"), target: machineTarget }),
  z.strictObject({ kind: z.literal("hang"), target: machineTarget, ...withDuration }),
  z.strictObject({ kind: z.literal("slow"), target: machineTarget, factor: z.number().min(1).max(100).default(4) }),
  /** Every task that the machine starts fails. */
  z.strictObject({ kind: z.literal("sick"), target: machineTarget }),
  z.strictObject({ kind: z.literal("cut-machine"), target: machineTarget, ...withDuration }),
  /**
   * Network split: a share of the machines is cut off from all controllers but the target, or from the target alone
   * (`reaches`), in both directions or in one (`way`). The two values of `reaches` select machines from opposite ends of
   * the range of name hashes, so two splits of one target whose shares add up to at most 1 affect disjoint machines.
   */
  z.strictObject({
    kind: z.literal("split"),
    target: controllerTarget.refine((name) => name !== "all", "all: expected one controller, or leader"),
    share: z.number().gt(0).max(1).default(0.5),
    reaches: z.enum(["only-target", "all-but-target"]),
    way: z.enum(["both", "to-controllers", "to-machines"]).default("both"),
    ...withDuration,
  }),
  /** The machine's reports arrive, but the responses to them and all commands sent to the machine are lost. */
  z.strictObject({ kind: z.literal("deaf"), target: machineTarget, count: count.default(1), ...withDuration }),
  /** The machine's reports reach no controller, but commands sent to the machine arrive and are answered. */
  z.strictObject({ kind: z.literal("mute"), target: machineTarget, count: count.default(1), ...withDuration }),
  /**
   * Delivers this share of all worker reports a second time: 2 s to `ms` later to the same controller or, with
   * `for_next`, to all controllers once one of them takes over a partition.
   */
  z.strictObject({
    kind: z.literal("late-reports"),
    share: share.default(0.2),
    ms: z.number().min(2000).max(120_000).default(40_000),
    for_next: z.boolean().default(false),
    ...withDuration,
  }),
  /** This share of all transactions gets no response and is executed 2 to 12 s later or, with `at_once`, immediately. */
  z.strictObject({ kind: z.literal("late-writes"), share: share.default(0.2), at_once: z.boolean().default(false), ...withDuration }),
  /**
   * This share of the commands that controllers send to machines gets no response and is executed once, 2 to 16 s later,
   * if the worker then still accepts the command's token and session.
   */
  z.strictObject({ kind: z.literal("late-commands"), share: share.default(0.2), ...withDuration }),
  /**
   * Messages that were carried out and answered arrive once more: a copy of this share of them, `least_ms` to `ms` later or,
   * with `kept`, once their sender has ended or a controller takes over a partition. Peer messages are copied in virtual
   * time only.
   */
  z
    .strictObject({
      kind: z.literal("copies"),
      of: z.enum(COPIED_CHANNELS),
      share: share.default(0.3),
      least_ms: z.number().min(0).max(120_000).default(300),
      ms: z.number().min(1).max(120_000).default(17_000),
      kept: z.boolean().default(false),
      ...withDuration,
    })
    .refine(({ least_ms, ms }) => least_ms <= ms, { path: ["least_ms"], message: "expected at most ms" }),
  /** One-way loss: messages from the controller to the endpoints named in `to` are lost, those in the other direction arrive. */
  z.strictObject({
    kind: z.literal("lose-sent"),
    target: controllerTarget,
    to: z.enum(["state", "cloud", "workers", "controllers", "all"]),
    ...withDuration,
  }),
  /** Deliberate violation to verify that it is detected: a running task is started a second time on another machine. */
  z.strictObject({ kind: z.literal("start-twice") }),
  /**
   * Within 0.2 s, users cancel the given number of running jobs, those with the longest remaining run time. Up to eight
   * of the machines that run these jobs hang for `hang` seconds.
   */
  z.strictObject({ kind: z.literal("cancel-now"), count: count.default(5), hang: seconds.default(0) }),
  /** Users cancel this share of the jobs when their last task ends. */
  z.strictObject({ kind: z.literal("cancel-at-end"), share: share.default(0.5), ...withDuration }),
  /** Users repeat submissions, cancel finished jobs, and submit jobs that fit no machine or lack a field. */
  z.strictObject({ kind: z.literal("odd-requests"), ...withDuration }),
  /** Users poll all controllers for a job within milliseconds after it was accepted, ended or was withdrawn (cancelled). */
  z.strictObject({ kind: z.literal("close-looks"), ...withDuration }),
  /**
   * Sets the number of machines available of a type (`*`: all types), in one zone or in all, for a time or permanently.
   * Machines that are already rented stay.
   */
  z.strictObject({
    kind: z.literal("capacity"),
    target: z.string().min(1),
    zone: z.string().min(1).default("*"),
    count: z.number().int().min(0).max(10_000).optional(),
    spot: z.number().int().min(0).max(10_000).optional(),
    for: seconds.optional(),
  }),
  /** Multiplies the price of spot machines. */
  z.strictObject({ kind: z.literal("prices"), factor: z.number().min(0.1).max(100), ...withDuration }),
]);
/** A validated fault. */
export type Fault = z.infer<typeof faultSchema>;
/** The name of a kind of fault, such as `restart`. */
export type FaultKind = Fault["kind"];

/** The names of all kinds of faults. */
export const FAULT_KINDS = faultSchema.options.map((option) => option.shape.kind.value);

/** Kind of network call (`NetworkCall.what`) that a fault of the kind `copies` copies. */
export function copiedCall(of: CopiedChannel): string {
  return COPIED_CALLS[of].what;
}

/** Validates a fault given by a plan or a command. Returns the fault, or a message that names what is wrong and what was expected. */
export function decodeFault(raw: unknown): { fault: Fault } | { wrong: string } {
  const kind = (raw as { kind?: unknown } | null)?.kind;
  if (!FAULT_KINDS.includes(kind as FaultKind)) return { wrong: `kind: expected one of ${FAULT_KINDS.join(", ")}` };
  const parsed = faultSchema.safeParse(raw);
  if (parsed.success) return { fault: parsed.data };
  return { wrong: parsed.error.issues.map((issue) => `${issue.path.join(".") || String(kind)}: ${issue.message}`).join("; ") };
}

/** What simulated users do in addition to their planned requests. */
export type UserBehaviour = "cancel-at-end" | "odd-requests" | "close-looks";

/** Result of a change of the cloud's capacity: the affected offerings (such as `m/a/spot`) and a function that undoes the change. */
export interface CapacityOverride {
  affected: string[];
  restore: () => void;
}

/** The environment that faults are injected into: the virtual world or real processes. Times in ms. */
export interface FaultEnvironment {
  /** Refreshes the state that `leader` returns; the returned promise has to be resolved before a fault is injected. */
  prepare?(): Promise<void>;
  after(ms: number, fn: () => void): void;
  controllers(): string[];
  /** The controller that owns the most machines, as far as this can be observed without access to the controllers' memory. */
  leader(): string;
  /** Machines that are up, the busiest first. */
  machines(): string[];
  /** The machines that currently report to the controller. */
  reportingTo(controller: string): string[];
  restart(controller: string, downMs: number): void;
  freeze(controller: string, ms: number): void;
  restartStore(downMs: number): void;
  /**
   * Begins (`on`) or ends an outage of a service. In virtual time, leases in the state service get their full time to live
   * again when its outage begins or ends.
   */
  outage(of: "state" | "cloud", on: boolean): void;
  /** Adds a network rule and returns the function that removes it. */
  rule(asked: NetworkRule): () => void;
  limits(limits: { writeRps?: number; valueKb?: number; txnOps?: number }): void;
  lose(machine: string): void;
  warn(machine: string, seconds: number): void;
  fail(machine: string): void;
  hang(machine: string, on: boolean): void;
  slow(machine: string, factor: number): void;
  sicken(machine: string): void;
  /** Starts some running task a second time, on another machine. Returns the task's id, or null if that is not possible. */
  startTwice(): string | null;
  /** Sets the number of available machines of a type (`*`: all) in a zone (`*`: all); undefined leaves it unchanged. */
  capacity(type: string, zone: string, ordinary: number | undefined, spot: number | undefined): CapacityOverride;
  /** Sets the factor on the usual spot prices. */
  prices(factor: number): void;
}

/** The simulated users, as far as faults control them. */
export interface SimulatedUserControl {
  /**
   * For `ms` milliseconds, the users show the behaviour with probability `share` on each occasion. Returns the
   * controllers to which they send their requests.
   */
  enableBehaviour(behaviour: UserBehaviour, share: number, ms: number): string[];
  /**
   * Cancels the given number of running jobs with the longest remaining run time. Returns them and the machines they
   * run on, the busiest first.
   */
  cancelLongestRunning(count: number): { refs: string[]; hosts: string[] };
}

const MAX_HANGING_MACHINES = 8;
const LATE_WRITE_DELAY = { leastMs: 2000, ms: 12_000 };
const LATE_COMMAND_DELAY = { leastMs: 2000, ms: 16_000 };

/** Time in ms from the injection of the fault to its end, or to its last delayed effect if that is later. */
export function durationMs(fault: Fault): number {
  const heldMs = "for" in fault ? (fault.for ?? 0) * 1000 : 0;
  if (fault.kind === "late-writes" && !fault.at_once) return heldMs + LATE_WRITE_DELAY.ms;
  if (fault.kind === "late-commands") return heldMs + LATE_COMMAND_DELAY.ms;
  if (fault.kind === "cancel-now") return fault.hang * 1000;
  return heldMs + ("ms" in fault ? fault.ms : 0) + ("notice" in fault ? fault.notice * 1000 : 0);
}

function resolveControllers(environment: FaultEnvironment, target: string): string[] {
  if (target === "all") return environment.controllers();
  return [target === "leader" ? environment.leader() : target];
}

function resolveMachines(environment: FaultEnvironment, target: string, max = 1): string[] {
  const up = environment.machines();
  if (target === "busiest" || target === "any") return up.slice(0, max);
  return up.filter((name) => name === target);
}

type SplitFault = Extract<Fault, { kind: "split" }>;

/**
 * Cuts off a share of the machines from the target controller, or from every other controller. Returns the separated
 * machines that currently report to the target (`affected`), and a function that ends the split.
 */
function injectSplit(
  environment: FaultEnvironment,
  { share, reaches, way }: SplitFault,
  target: string,
): { affected: string[]; end: () => void } {
  const onlyTarget = reaches === "only-target";
  const machines: MachineSample = onlyTarget ? { least: 0, most: share } : { least: 1 - share, most: 1 };
  const separatedFrom = onlyTarget ? environment.controllers().filter((name) => name !== target) : [target];
  const ruleByDirection = {
    both: { from: machines, to: separatedFrom, effect: { kind: "cut" } },
    "to-controllers": { from: machines, to: separatedFrom, effect: { kind: "lose" } },
    "to-machines": { from: separatedFrom, to: machines, effect: { kind: "lose" } },
  } as const;
  const affected = environment.reportingTo(target).filter((name) => isInSample(machines, name));
  return { affected, end: environment.rule(ruleByDirection[way]) };
}

/** Injects the fault and returns the names of what it affected; empty if there was nothing to affect. */
export function injectFault(environment: FaultEnvironment, fault: Fault, users: SimulatedUserControl): string[] {
  const endAfter = (seconds: number, end: () => void): void => environment.after(seconds * 1000, end);
  const each = (names: string[], act: (name: string) => void): string[] => {
    for (const name of names) act(name);
    return names;
  };
  const hang = (names: string[], seconds: number): string[] =>
    each(names, (name) => {
      environment.hang(name, true);
      endAfter(seconds, () => environment.hang(name, false));
    });
  switch (fault.kind) {
    case "restart":
      return each(resolveControllers(environment, fault.target), (name) => environment.restart(name, fault.for * 1000));
    case "freeze":
      return each(resolveControllers(environment, fault.target), (name) => environment.freeze(name, fault.for * 1000));
    case "restart-store":
      environment.restartStore(fault.for * 1000);
      return ["state"];
    case "outage":
      environment.outage(fault.of, true);
      endAfter(fault.for, () => environment.outage(fault.of, false));
      return [fault.of];
    case "refuse":
      return each(resolveControllers(environment, fault.target), (from) =>
        endAfter(fault.for, environment.rule({ from, to: fault.by, effect: { kind: "refuse" } })),
      );
    case "cut":
      return each(resolveControllers(environment, fault.target), (from) =>
        endAfter(fault.for, environment.rule({ from, to: fault.from === "all" ? "*" : fault.from, effect: { kind: "cut" } })),
      );
    case "delay":
      return each(resolveControllers(environment, fault.target), (from) =>
        endAfter(fault.for, environment.rule({ from, to: fault.to, effect: { kind: "delay", ms: fault.ms } })),
      );
    case "drop":
    case "twice":
    case "late":
    case "wrong": {
      const effect =
        fault.kind === "late"
          ? { kind: fault.kind, ms: fault.ms }
          : fault.kind === "wrong"
            ? { kind: fault.kind, form: fault.form }
            : { kind: fault.kind };
      return each(resolveControllers(environment, fault.target), (from) =>
        environment.rule({ from, to: fault.by, what: fault.what, effect, count: fault.count }),
      );
    }
    case "limits":
      environment.limits({
        ...(fault.writes === undefined ? {} : { writeRps: fault.writes }),
        ...(fault.value_kb === undefined ? {} : { valueKb: fault.value_kb }),
        ...(fault.changes === undefined ? {} : { txnOps: fault.changes }),
      });
      return ["state"];
    case "lose":
      return each(resolveMachines(environment, fault.target, fault.count), (name) => environment.lose(name));
    case "take":
      return each(resolveMachines(environment, fault.target), (name) => {
        environment.warn(name, fault.notice);
        endAfter(fault.notice, () => environment.lose(name));
      });
    case "fail":
      return each(resolveMachines(environment, fault.target), (name) => environment.fail(name));
    case "hang":
      return hang(resolveMachines(environment, fault.target), fault.for);
    case "slow":
      return each(resolveMachines(environment, fault.target), (name) => environment.slow(name, fault.factor));
    case "sick":
      return each(resolveMachines(environment, fault.target), (name) => environment.sicken(name));
    case "start-twice": {
      const taskId = environment.startTwice();
      return taskId === null ? [] : [taskId];
    }
    case "capacity": {
      const { affected, restore } = environment.capacity(fault.target, fault.zone, fault.count, fault.spot);
      if (fault.for !== undefined) endAfter(fault.for, restore);
      return affected;
    }
    case "prices":
      environment.prices(fault.factor);
      endAfter(fault.for, () => environment.prices(1));
      return ["cloud"];
    case "split":
      return resolveControllers(environment, fault.target).flatMap((target) => {
        const { affected, end } = injectSplit(environment, fault, target);
        endAfter(fault.for, end);
        return affected;
      });
    case "deaf":
      return each(resolveMachines(environment, fault.target, fault.count), (to) =>
        endAfter(fault.for, environment.rule({ from: "*", to, effect: { kind: "lose" } })),
      );
    case "mute":
      return each(resolveMachines(environment, fault.target, fault.count), (from) =>
        endAfter(fault.for, environment.rule({ from, to: "*", what: "report", effect: { kind: "lose" } })),
      );
    case "late-reports": {
      const { share } = fault;
      const effect = fault.for_next ? ({ kind: "keep", share } as const) : ({ kind: "again", share, mostMs: fault.ms } as const);
      endAfter(fault.for, environment.rule({ from: "workers", to: "controllers", what: "report", effect }));
      return environment.machines();
    }
    case "late-writes": {
      const effect = fault.at_once ? ({ kind: "drop" } as const) : ({ kind: "late", ...LATE_WRITE_DELAY } as const);
      endAfter(fault.for, environment.rule({ from: "*", to: "state", what: "txn", effect, share: fault.share }));
      return environment.controllers();
    }
    case "late-commands": {
      const effect = { kind: "late", ...LATE_COMMAND_DELAY } as const;
      endAfter(fault.for, environment.rule({ from: "controllers", to: "workers", what: "command", effect, share: fault.share }));
      return environment.machines();
    }
    case "copies": {
      const effect = { kind: "copy", share: fault.share, leastMs: fault.least_ms, mostMs: fault.ms, kept: fault.kept } as const;
      endAfter(fault.for, environment.rule({ ...COPIED_CALLS[fault.of], effect }));
      return [fault.of];
    }
    case "lose-sent":
      return each(resolveControllers(environment, fault.target), (from) =>
        endAfter(fault.for, environment.rule({ from, to: fault.to === "all" ? "*" : fault.to, effect: { kind: "lose" } })),
      );
    case "cancel-now": {
      const { refs, hosts } = users.cancelLongestRunning(fault.count);
      if (fault.hang > 0) hang(hosts.slice(0, MAX_HANGING_MACHINES), fault.hang);
      return refs;
    }
    case "cancel-at-end":
      return users.enableBehaviour(fault.kind, fault.share, fault.for * 1000);
    case "odd-requests":
    case "close-looks":
      return users.enableBehaviour(fault.kind, 1, fault.for * 1000);
    case "cut-machine":
      return each(resolveMachines(environment, fault.target), (from) =>
        endAfter(fault.for, environment.rule({ from, to: "*", effect: { kind: "cut" } })),
      );
  }
}
