import FlatQueue from "flatqueue";
import { performance } from "node:perf_hooks";
import { DEFAULT_LIMITS } from "../packages/graphs/src/admission.js";
import { GraphMachine } from "../packages/graphs/src/machine.js";
import type { DecisionSink, TaskSpec } from "../packages/graphs/src/model.js";
import { seededRandom } from "../src/platform/seeded-random.js";
import { median, parseOptions, progress, report, LatencyHistogram } from "./harness.js";

/**
 * Measures the task graph scheduler without network I/O: its CPU time per task for three graph
 * sizes, its heap, and the makespan of published graph shapes in virtual time, relative to the
 * lower bound max(critical path, work / width). The baseline is a FIFO scheduler that sends one
 * task at a time to each free CPU.
 */
const given = parseOptions({ repeats: 20, quickRepeats: 3 });
/** One-way latency between the owner and an executor, in ms. */
const LATENCY_MS = 2;
const EXECUTORS = 8;
const CPUS = 4;
/**
 * Expected run time, in ms for each CPU of an executor, of the tasks that may queue at it. The environment variable sets it as a
 * multiple of the one-way latency.
 */
const TARGET_BACKLOG_MS = Number(process.env["AT_HAND"] ?? 5) * LATENCY_MS;

/** A task with its true run time in ms. */
interface TimedTask {
  spec: TaskSpec;
  ms: number;
  /** Keys of tasks that must end before this one is submitted, for graphs that grow at run time. */
  after?: string[];
}

const timedTask = (key: string, ms: number, needs: string[] = [], fn = key.replace(/[\d,.]+/g, "")): TimedTask => ({
  spec: { key, fn, args: "", needs: needs.map((need) => `${need}:0`), returns: 1, cpus: 1, retries: 3, retryErrors: false },
  ms,
});

/** Generates the tasks of a graph; `vary` randomises a run time. */
type Shape = (vary: (ms: number) => number) => TimedTask[];
const range = (n: number): number[] => Array.from({ length: n }, (_, i) => i);

/** Graph shapes from published task graph benchmarks (tiled Cholesky, stencil, tree and map reduction, sweeps). */
const SHAPES: Record<string, Shape> = {
  map_reduce: (vary) => {
    const maps = range(400).map((i) => timedTask(`map${i}`, vary(50)));
    const reduces = range(20).map((r) =>
      timedTask(
        `reduce${r}`,
        vary(80),
        range(400)
          .filter((i) => i % 20 === r)
          .map((i) => `map${i}`),
      ),
    );
    return [
      ...maps,
      ...reduces,
      timedTask(
        "sum",
        vary(40),
        range(20).map((r) => `reduce${r}`),
      ),
    ];
  },
  tree_reduce: (vary) => {
    const tasks = range(512).map((i) => timedTask(`n0.${i}`, vary(30)));
    for (let level = 1; level <= 9; level++)
      for (let i = 0; i < 512 >> level; i++)
        tasks.push(timedTask(`n${level}.${i}`, vary(20), [`n${level - 1}.${2 * i}`, `n${level - 1}.${2 * i + 1}`], `r${level}`));
    return tasks;
  },
  stencil: (vary) =>
    range(20).flatMap((t) =>
      range(64).map((x) =>
        timedTask(`s${t}.${x}`, vary(40), t === 0 ? [] : [x - 1, x, x + 1].filter((n) => n >= 0 && n < 64).map((n) => `s${t - 1}.${n}`)),
      ),
    ),
  cholesky: (vary) => {
    const n = 14;
    const tasks: TimedTask[] = [];
    // Key of the task that wrote the latest version of each tile.
    const tile = new Map<string, string>();
    const setTile = (at: string, key: string): void => void tile.set(at, key);
    const lastWriter = (at: string): string[] => (tile.has(at) ? [tile.get(at)!] : []);
    for (let k = 0; k < n; k++) {
      tasks.push(timedTask(`potrf${k}`, vary(20), lastWriter(`${k},${k}`)));
      setTile(`${k},${k}`, `potrf${k}`);
      for (let i = k + 1; i < n; i++) {
        tasks.push(timedTask(`trsm${k}.${i}`, vary(30), [`potrf${k}`, ...lastWriter(`${i},${k}`)], "trsm"));
        setTile(`${i},${k}`, `trsm${k}.${i}`);
      }
      for (let i = k + 1; i < n; i++)
        for (let j = k + 1; j <= i; j++) {
          const key = `gemm${k}.${i}.${j}`;
          tasks.push(timedTask(key, vary(35), [...new Set([`trsm${k}.${i}`, `trsm${k}.${j}`]), ...lastWriter(`${i},${j}`)], "gemm"));
          setTile(`${i},${j}`, key);
        }
    }
    return tasks;
  },
  /** Successive halving: 256 trials of up to six steps. After each step half of the trials end; which ones is known only then. */
  sweep: (vary) => {
    const tasks: TimedTask[] = [];
    for (let step = 0; step < 6; step++)
      for (let trial = 0; trial < 256 >> step; trial++) {
        const one = timedTask(`step${step}.${trial}`, vary(60), step === 0 ? [] : [`step${step - 1}.${trial}`], "step");
        if (step > 0) one.after = [`step${step - 1}.${trial}`, `step${step - 1}.${trial + (256 >> step)}`];
        tasks.push(one);
      }
    return tasks;
  },
};

/** Lower bound of the makespan in ms, from the true run times: max(critical path, work / width). */
function lowerBound(tasks: readonly TimedTask[]): number {
  const ends = new Map<string, number>();
  let work = 0;
  for (const { spec, ms, after = [] } of tasks) {
    const from = Math.max(0, ...[...spec.needs.map((key) => key.slice(0, -2)), ...after].map((key) => ends.get(key)!));
    ends.set(spec.key, from + ms);
    work += ms;
  }
  return Math.max(...ends.values(), work / (EXECUTORS * CPUS));
}

/** Executors in virtual time: each runs tasks on its CPUs, one CPU per task, and queues the others by rank. */
class Simulation implements DecisionSink {
  now = 0;
  private readonly events = new FlatQueue<() => void>();
  private readonly queues = new Map<string, { lease: number; key: string; rank: number }[]>();
  private readonly busyCpus = new Map<string, number>();
  readonly finals = new Map<string, number>();
  readonly machine: GraphMachine;

  constructor(
    private readonly msOf: ReadonlyMap<string, number>,
    targetBacklogMs: number,
    private readonly onFinal: (key: string) => void,
  ) {
    this.machine = new GraphMachine({ sink: this, now: () => this.now, targetBacklogMs, defaultRuntimeMs: 20 });
    this.machine.join("c");
    for (let i = 0; i < EXECUTORS; i++) {
      this.queues.set(`e${i}`, []);
      this.busyCpus.set(`e${i}`, 0);
      this.machine.attach(`e${i}`, CPUS);
    }
  }

  after(ms: number, fn: () => void): void {
    this.events.push(fn, this.now + ms);
  }

  run(executor: string, lease: number, { key }: TaskSpec, _inputs: unknown, rank: number): void {
    this.after(LATENCY_MS, () => {
      const queue = this.queues.get(executor)!;
      const at = queue.findIndex((other) => other.rank < rank);
      queue.splice(at < 0 ? queue.length : at, 0, { lease, key, rank });
      this.startQueued(executor);
    });
  }

  /** Starts queued tasks while there are free CPUs. */
  private startQueued(executor: string): void {
    const queue = this.queues.get(executor)!;
    while (queue.length > 0 && this.busyCpus.get(executor)! < CPUS) {
      const { lease, key } = queue.shift()!;
      this.busyCpus.set(executor, this.busyCpus.get(executor)! + 1);
      const ms = this.msOf.get(key)!;
      this.after(ms, () => {
        this.busyCpus.set(executor, this.busyCpus.get(executor)! - 1);
        this.startQueued(executor);
        this.after(LATENCY_MS, () => this.machine.done(executor, lease, [{ bytes: 10, inline: "v" }], ms));
      });
    }
  }

  recall(executor: string, lease: number): void {
    this.after(LATENCY_MS, () => {
      const queue = this.queues.get(executor)!;
      const at = queue.findIndex((one) => one.lease === lease);
      if (at < 0) return;
      queue.splice(at, 1);
      this.after(LATENCY_MS, () => this.machine.returned(executor, lease));
    });
  }

  stop(): void {}
  drop(): void {}
  ready(): void {}

  final(_client: string, key: string): void {
    this.finals.set(key, this.now);
    this.onFinal(key);
  }

  /** Runs all events in the order of their virtual times. */
  runAll(): void {
    for (let fn = this.events.peek(); fn !== undefined; fn = this.events.peek()) {
      this.now = this.events.peekValue()!;
      this.events.pop();
      fn();
    }
  }
}

/** Makespan in ms under the baseline: tasks in the order of arrival, one at a time to each free CPU. */
function fifoMakespan(tasks: readonly TimedTask[]): number {
  const predecessors = new Map(
    tasks.map(({ spec, after = [] }) => [spec.key, new Set([...spec.needs.map((key) => key.slice(0, -2)), ...after])]),
  );
  const waiting = tasks.map((one) => one);
  const events = new FlatQueue<string>();
  const msOf = new Map(tasks.map(({ spec, ms }) => [spec.key, ms]));
  let free = EXECUTORS * CPUS;
  let now = 0;
  const done = new Set<string>();
  const start = (): void => {
    for (let i = 0; i < waiting.length && free > 0; i++) {
      const key = waiting[i]!.spec.key;
      if ([...predecessors.get(key)!].some((need) => !done.has(need))) continue;
      waiting.splice(i--, 1);
      free--;
      events.push(key, now + 2 * LATENCY_MS + msOf.get(key)!);
    }
  };
  for (start(); events.length > 0; start()) {
    now = events.peekValue()!;
    done.add(events.pop()!);
    free++;
  }
  return now;
}

/** Makespan in ms under the graph scheduler. Throws if a task is rejected or gets no outcome. */
function makespan(tasks: readonly TimedTask[]): number {
  const msOf = new Map(tasks.map(({ spec, ms }) => [spec.key, ms]));
  const later = new Map<string, TimedTask[]>();
  const missing = new Map<TimedTask, number>();
  const submit = ({ spec }: TimedTask): void => {
    const rejection = simulation.machine.submit("c", spec);
    if (rejection !== null) throw new Error(`${spec.key}: ${rejection.detail}`);
  };
  const simulation = new Simulation(msOf, TARGET_BACKLOG_MS, (key) => {
    for (const one of later.get(key) ?? []) {
      missing.set(one, missing.get(one)! - 1);
      // The client receives the outcome and submits the next task: one round trip.
      if (missing.get(one) === 0) simulation.after(2 * LATENCY_MS, () => (submit(one), simulation.machine.dispatch()));
    }
  });
  for (const one of tasks) {
    if (one.after === undefined) submit(one);
    else {
      missing.set(one, one.after.length);
      for (const key of one.after) later.set(key, [...(later.get(key) ?? []), one]);
    }
  }
  simulation.machine.dispatch();
  simulation.runAll();
  if (simulation.finals.size !== tasks.length) throw new Error(`${tasks.length - simulation.finals.size} tasks have no outcome`);
  return Math.max(...simulation.finals.values());
}

const figures: Record<string, number> = {};
for (const [name, shape] of Object.entries(SHAPES)) {
  const ratios: number[] = [];
  const fifoRatios: number[] = [];
  for (let i = 0; i < given.repeats; i++) {
    const random = seededRandom(given.seed + i);
    const tasks = shape((ms) => ms * (0.8 + 0.4 * random()));
    const minMakespan = lowerBound(tasks);
    ratios.push(makespan(tasks) / minMakespan);
    fifoRatios.push(fifoMakespan(tasks) / minMakespan);
  }
  figures[`${name}_makespan_to_bound`] = median(ratios);
  figures[`${name}_makespan_to_bound_worst`] = Math.max(...ratios);
  figures[`${name}_plain_to_bound`] = median(fifoRatios);
  progress(
    `${name}: ${median(ratios).toFixed(3)} of the bound (worst ${Math.max(...ratios).toFixed(3)}), FIFO baseline ${median(fifoRatios).toFixed(3)}`,
  );
}

/**
 * Measures the scheduler's time per task in us from submission to outcome, and its heap in MiB, for n tasks, every second of which
 * needs the one before it.
 */
function cost(n: number): { usEach: number; heapMb: number; decision: LatencyHistogram } {
  const ignore = (): void => undefined;
  const leases: [string, number][] = [];
  const out: DecisionSink = {
    run: (executor, lease) => void leases.push([executor, lease]),
    recall: ignore,
    stop: ignore,
    drop: ignore,
    final: ignore,
    ready: ignore,
  };
  const decision = new LatencyHistogram();
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const machine = new GraphMachine({
    sink: out,
    now: () => performance.now(),
    targetBacklogMs: 10,
    defaultRuntimeMs: 1,
    limits: { ...DEFAULT_LIMITS, openPerClient: 2 * n, open: 2 * n },
  });
  machine.join("c");
  const from = performance.now();
  for (let i = 0; i < n; i++) {
    const needs = i % 2 === 0 ? [] : [`task-${i - 1}:0`];
    machine.submit("c", { key: `task-${i}`, fn: "f", args: "0123456789", needs, returns: 1, cpus: 1, retries: 3, retryErrors: false });
  }
  let elapsedMs = performance.now() - from;
  globalThis.gc?.();
  const heapMb = (process.memoryUsage().heapUsed - before) / 2 ** 20;
  const again = performance.now();
  for (let i = 0; i < 16; i++) machine.attach(`e${i}`, 4);
  for (let i = 0; i < leases.length; i++) {
    const [executor, lease] = leases[i]!;
    const at = performance.now();
    machine.done(executor, lease, [{ bytes: 8, inline: "12345678" }], 1);
    decision.add(performance.now() - at);
  }
  elapsedMs += performance.now() - again;
  if (machine.counts.open > 0) throw new Error(`${machine.counts.open} tasks have no outcome`);
  return { usEach: (elapsedMs * 1000) / n, heapMb, decision };
}

cost(10_000);
const each = new Map<number, number[]>();
let heap = 0;
for (let i = 0; i < Math.min(given.repeats, 5); i++)
  for (const n of [1000, 10_000, 100_000]) {
    // Small graphs finish within the resolution of the clock, so one measurement covers several runs.
    const rounds = Math.max(1, 20_000 / n);
    const costs = Array.from({ length: rounds }, () => cost(n));
    each.set(n, [...(each.get(n) ?? []), median(costs.map(({ usEach }) => usEach))]);
    if (n === 100_000) {
      heap = Math.max(heap, costs[0]!.heapMb);
      figures["decision_p50_us"] = costs[0]!.decision.percentileMs(50) * 1000;
      figures["decision_p99_us"] = costs[0]!.decision.percentileMs(99) * 1000;
    }
  }
for (const [n, list] of each) figures[`cost_us_per_task_${n}`] = median(list);
report("graphs", given, {
  executors: EXECUTORS,
  cpus_each: CPUS,
  latency_ms: LATENCY_MS,
  ...figures,
  ratio_cost_100000_to_1000: figures["cost_us_per_task_100000"]! / figures["cost_us_per_task_1000"]!,
  heap_mb_100000_tasks: heap,
});
