/**
 * Explicit-state model of a partition with two machines and one task, two controllers that may both act as its owner, and a network
 * that delivers every start command any number of times, at any time. Tasks fail, attempts are discarded and the task is started
 * again. Answers to reports may be lost. There is no time, so no lease expires. `DirectStarts` and `raiseToken` are the production
 * code. In each state the task may run on one machine at most.
 */
import { newPartition, raiseToken } from "../../src/partitions/partition.js";
import { DirectStarts } from "../../src/workers/direct-starts.js";
import type { Machine } from "../../src/workers/machine.js";

/** Switches that each break one rule on purpose; the exploration has to find a violation with each of them. */
export interface FaultyVariant {
  /** An attempt is discarded under the token of its own start. */
  clearsUnderStartToken?: boolean;
  /** The token is raised to the newest revision, whether or not the owner still held the partition then. */
  raisesWithoutProof?: boolean;
  /** The token is raised to the revision that a write would have made whose answer was lost. */
  raisesByLostAnswer?: boolean;
  /** The token is raised, but later answers carry the term again. */
  answersBelowRaisedToken?: boolean;
  /** An attempt that a report does not list counts as gone, although its start may still arrive. */
  notListedIsProof?: boolean;
}

/** Bounds of an exploration. */
export interface Bounds {
  /** Newest revision of the state service. */
  revision: number;
  /** Number of attempts that both controllers order together. */
  attempts: number;
}

const MACHINES = [0, 1] as const;
const SESSION = 1;

type TaskStatus = "unknown" | "running" | "exited";

/** An attempt and the direct command that starts it, which may arrive from now on. */
interface Attempt {
  machine: number;
  token: number;
  term: number;
  /** What the machine's worker lists for the attempt. */
  status: TaskStatus;
}

interface Controller {
  /** 0 if the controller does not act as owner. */
  term: number;
  /** Newest revision at which the controller has read that it owns the partition. */
  knownRevision: number;
  /** Token granted to each machine. */
  granted: number[];
  fenced: boolean[];
  /** Attempts that the controller counts as possibly on a machine. */
  registered: number[];
}

interface State {
  revision: number;
  record: { owner: number; term: number };
  controllers: Controller[];
  /** Highest token that each worker has seen. */
  workerTokens: number[];
  attempts: Attempt[];
}

/** How a state was reached, newest step first. */
interface Path {
  what: string;
  before: Path | null;
}

interface QueuedState {
  state: State;
  path: Path | null;
}

const notOwner = (): Controller => ({ term: 0, knownRevision: 0, granted: [0, 0], fenced: [false, false], registered: [] });

function begin(): State {
  const owner: Controller = { term: 1, knownRevision: 1, granted: [1, 1], fenced: [true, true], registered: [] };
  return { revision: 1, record: { owner: 0, term: 1 }, controllers: [owner, notOwner()], workerTokens: [1, 1], attempts: [] };
}

function stepsOf(path: Path | null): string[] {
  const steps: string[] = [];
  for (let at = path; at !== null; at = at.before) steps.unshift(at.what);
  return steps;
}

class Explorer {
  readonly found = new Set<string>();
  broken: string | null = null;
  private layer: QueuedState[] = [];

  constructor(
    private readonly wrong: FaultyVariant,
    private readonly bounds: Bounds,
  ) {}

  run(): void {
    this.reach(begin(), null);
    while (this.layer.length > 0 && this.broken === null) {
      const states = this.layer;
      this.layer = [];
      for (const { state, path } of states) this.step(state, path);
    }
  }

  private reach(state: State, path: Path | null): void {
    const key = JSON.stringify(state);
    if (this.found.has(key) || this.broken !== null) return;
    this.found.add(key);
    const running = new Set(state.attempts.filter(({ status }) => status === "running").map(({ machine }) => machine));
    if (running.size > 1) this.broken = `the task is on two machines: ${stepsOf(path).join("; ")}`;
    this.layer.push({ state, path });
  }

  /** Explores all next steps; `act` changes a copy of the state and returns false if the step is impossible. */
  private step(state: State, before: Path | null): void {
    const text = JSON.stringify(state);
    const next = (what: string, act: (copy: State) => boolean): void => {
      const copy = JSON.parse(text) as State;
      if (act(copy)) this.reach(copy, { what, before });
    };
    next("another key is written", (s) => s.revision < this.bounds.revision && ++s.revision > 0);
    state.attempts.forEach((_, a) => {
      next(`the start of attempt ${a} arrives`, (s) => this.arrive(s, a));
      next(`attempt ${a} fails`, (s) => this.fail(s, a));
    });
    state.controllers.forEach((_, c) => {
      next(`${c} reads`, (s) => this.read(s, c));
      next(`${c} claims`, (s) => this.claim(s, c));
      for (const m of MACHINES) {
        next(`${c} starts the task on ${m}`, (s) => this.start(s, c, m));
        next(`${m} reports to ${c}`, (s) => this.report(s, c, m, true));
        next(`${m} reports to ${c}, unanswered`, (s) => this.report(s, c, m, false));
      }
    });
  }

  private arrive({ attempts, workerTokens }: State, a: number): boolean {
    const attempt = attempts[a]!;
    if (attempt.token < workerTokens[attempt.machine]!) return false;
    workerTokens[attempt.machine] = attempt.token;
    if (attempt.status === "unknown") attempt.status = "running";
    return true;
  }

  private fail({ attempts }: State, a: number): boolean {
    if (attempts[a]!.status !== "running") return false;
    attempts[a]!.status = "exited";
    return true;
  }

  private read({ record, revision, controllers }: State, c: number): boolean {
    const controller = controllers[c]!;
    if (controller.term === 0) return false;
    if (record.owner === c && record.term === controller.term) controller.knownRevision = revision;
    else controllers[c] = notOwner();
    return true;
  }

  private claim(state: State, c: number): boolean {
    if (state.controllers[c]!.term > 0 || state.revision >= this.bounds.revision) return false;
    const term = ++state.revision;
    state.record = { owner: c, term };
    state.controllers[c] = { ...notOwner(), term, knownRevision: term, granted: [term, term] };
    return true;
  }

  private start({ controllers, attempts }: State, c: number, machine: number): boolean {
    const { term, fenced, registered, granted } = controllers[c]!;
    if (term === 0 || !fenced.every(Boolean) || registered.length > 0 || attempts.length >= this.bounds.attempts) return false;
    registered.push(attempts.length);
    attempts.push({ machine, token: granted[machine]!, term, status: "unknown" });
    return true;
  }

  /** The direct starts that the controller has sent to the machine in its present term. */
  private directStarts({ attempts }: State, { term }: Controller, machine: number): DirectStarts {
    const starts = new DirectStarts();
    attempts.forEach((attempt, a) => {
      if (attempt.machine === machine && attempt.term === term) starts.recordSent(String(a), SESSION, attempt.token);
    });
    return starts;
  }

  private report(state: State, c: number, m: number, answered: boolean): boolean {
    const controller = state.controllers[c]!;
    if (controller.term === 0) return false;
    const shown = state.workerTokens[m]!;
    if (shown > Math.max(...controller.granted)) {
      state.controllers[c] = notOwner();
      return true;
    }
    if (shown >= controller.term) controller.fenced[m] = true;
    this.justRaised = false;
    const starts = this.directStarts(state, controller, m);
    state.attempts.forEach(({ machine, status }, a) => {
      if (machine === m) this.learn(controller, a, status, starts, shown);
    });
    const exited = state.attempts.flatMap(({ machine, status }, a) => (machine === m && status === "exited" ? [a] : []));
    if (controller.fenced[m]!) this.raise(state, controller, m, exited, starts);
    const granted = controller.granted[m]!;
    const answerToken = this.wrong.answersBelowRaisedToken === true && !this.justRaised ? controller.term : granted;
    if (!answered || answerToken < shown) return true;
    state.workerTokens[m] = answerToken;
    for (const a of exited)
      if (controller.fenced[m]! && this.isSpent(starts, a, granted, state.attempts[a]!.token)) state.attempts[a]!.status = "unknown";
    return true;
  }

  /** Whether the present report's answer is the one that raises the token. */
  private justRaised = false;

  private isSpent(starts: DirectStarts, a: number, token: number, startToken: number): boolean {
    if (this.wrong.clearsUnderStartToken === true && startToken <= token) return true;
    return starts.spentBy(String(a), SESSION, token) !== null;
  }

  private learn(controller: Controller, a: number, status: TaskStatus, starts: DirectStarts, shown: number): void {
    const isRegistered = controller.registered.includes(a);
    if (status === "running") {
      if (!isRegistered) controller.registered.push(a);
      return;
    }
    const isGone = status === "exited" || this.wrong.notListedIsProof === true || starts.spentBy(String(a), SESSION, shown) !== null;
    if (isRegistered && isGone) controller.registered = controller.registered.filter((other) => other !== a);
  }

  private raise(state: State, controller: Controller, m: number, exited: readonly number[], starts: DirectStarts): void {
    const held = exited.some((a) => starts.spentBy(String(a), SESSION, controller.granted[m]!) === null);
    if (!held) return;
    const revision =
      this.wrong.raisesWithoutProof === true
        ? state.revision
        : this.wrong.raisesByLostAnswer === true
          ? controller.knownRevision + 1
          : controller.knownRevision;
    const before = controller.granted[m]!;
    const machine = { grantedToken: before } as Machine;
    raiseToken(newPartition(0, controller.term, 0), machine, revision);
    controller.granted[m] = machine.grantedToken;
    this.justRaised = machine.grantedToken > before;
  }
}

/** Explores all states; `broken` is the first violation with the steps that led to it, or null. */
export function exploreCopies(wrong: FaultyVariant, bounds: Bounds): { states: number; broken: string | null } {
  const explorer = new Explorer(wrong, bounds);
  explorer.run();
  return { states: explorer.found.size, broken: explorer.broken };
}
