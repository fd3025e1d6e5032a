import FlatQueue from "flatqueue";
import { performance } from "node:perf_hooks";
import { BOUNDS } from "../packages/graphs/src/admission.js";
import { GraphMachine } from "../packages/graphs/src/machine.js";
import type { Out, TaskAsked } from "../packages/graphs/src/model.js";
import { seededRandom } from "../src/platform/seeded-random.js";
import { median, options, progress, report, Times } from "./harness.js";

/**
 * The decisions of a graph's owner, without sockets: what a task costs it at three sizes, its
 * heap, and the makespan of published graph shapes in virtual time against the bound
 * max(critical path, work / width), beside the same executors fed one task at a time in the
 * order of arrival.
 */
const given = options({ repeats: 20, quickRepeats: 3 });
/** One way between owner and executor, in ms. */
const LATENCY_MS = 2;
const EXECUTORS = 8;
const CPUS = 4;
const AT_HAND_MS = Number(process.env["AT_HAND"] ?? 5) * LATENCY_MS;

interface Job {
  asked: TaskAsked;
  ms: number;
  /** Submitted only when these have ended, for graphs that grow while they run. */
  after?: string[];
}

const job = (key: string, ms: number, needs: string[] = [], fn = key.replace(/[\d,.]+/g, "")): Job => ({
  asked: { key, fn, args: "", needs: needs.map((need) => `${need}:0`), returns: 1, cpus: 1, retries: 3, retryErrors: false },
  ms,
});

type Shape = (vary: (ms: number) => number) => Job[];
const range = (n: number): number[] => Array.from({ length: n }, (_, i) => i);

/** Shapes as published for task graph benchmarks (tiled Cholesky, stencil, tree and map reduction, sweeps). */
const SHAPES: Record<string, Shape> = {
  map_reduce: (vary) => {
    const maps = range(400).map((i) => job(`map${i}`, vary(50)));
    const reduces = range(20).map((r) =>
      job(
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
      job(
        "sum",
        vary(40),
        range(20).map((r) => `reduce${r}`),
      ),
    ];
  },
  tree_reduce: (vary) => {
    const jobs = range(512).map((i) => job(`n0.${i}`, vary(30)));
    for (let level = 1; level <= 9; level++)
      for (let i = 0; i < 512 >> level; i++)
        jobs.push(job(`n${level}.${i}`, vary(20), [`n${level - 1}.${2 * i}`, `n${level - 1}.${2 * i + 1}`], `r${level}`));
    return jobs;
  },
  stencil: (vary) =>
    range(20).flatMap((t) =>
      range(64).map((x) =>
        job(`s${t}.${x}`, vary(40), t === 0 ? [] : [x - 1, x, x + 1].filter((n) => n >= 0 && n < 64).map((n) => `s${t - 1}.${n}`)),
      ),
    ),
  cholesky: (vary) => {
    const n = 14;
    const jobs: Job[] = [];
    // The newest version of each tile.
    const tile = new Map<string, string>();
    const made = (at: string, key: string): void => void tile.set(at, key);
    const of = (at: string): string[] => (tile.has(at) ? [tile.get(at)!] : []);
    for (let k = 0; k < n; k++) {
      jobs.push(job(`potrf${k}`, vary(20), of(`${k},${k}`)));
      made(`${k},${k}`, `potrf${k}`);
      for (let i = k + 1; i < n; i++) {
        jobs.push(job(`trsm${k}.${i}`, vary(30), [`potrf${k}`, ...of(`${i},${k}`)], "trsm"));
        made(`${i},${k}`, `trsm${k}.${i}`);
      }
      for (let i = k + 1; i < n; i++)
        for (let j = k + 1; j <= i; j++) {
          const key = `gemm${k}.${i}.${j}`;
          jobs.push(job(key, vary(35), [...new Set([`trsm${k}.${i}`, `trsm${k}.${j}`]), ...of(`${i},${j}`)], "gemm"));
          made(`${i},${j}`, key);
        }
    }
    return jobs;
  },
  /** Trials of eight steps each; after every step the worse half ends, which only then is known. */
  sweep: (vary) => {
    const jobs: Job[] = [];
    for (let step = 0; step < 6; step++)
      for (let trial = 0; trial < 256 >> step; trial++) {
        const one = job(`step${step}.${trial}`, vary(60), step === 0 ? [] : [`step${step - 1}.${trial}`], "step");
        if (step > 0) one.after = [`step${step - 1}.${trial}`, `step${step - 1}.${trial + (256 >> step)}`];
        jobs.push(one);
      }
    return jobs;
  },
};

/** max(critical path, work / width), of the true run times. */
function bound(jobs: readonly Job[]): number {
  const ends = new Map<string, number>();
  let work = 0;
  for (const { asked, ms, after = [] } of jobs) {
    const from = Math.max(0, ...[...asked.needs.map((key) => key.slice(0, -2)), ...after].map((key) => ends.get(key)!));
    ends.set(asked.key, from + ms);
    work += ms;
  }
  return Math.max(...ends.values(), work / (EXECUTORS * CPUS));
}

/** Executors as the owner's protocol has them, in virtual time: so many tasks at a time, the rest in line. */
class Simulation implements Out {
  now = 0;
  private readonly events = new FlatQueue<() => void>();
  private readonly line = new Map<string, { lease: number; key: string; rank: number }[]>();
  private readonly busy = new Map<string, number>();
  readonly finals = new Map<string, number>();
  readonly machine: GraphMachine;

  constructor(
    private readonly msOf: ReadonlyMap<string, number>,
    atHandMs: number,
    private readonly onFinal: (key: string) => void,
  ) {
    this.machine = new GraphMachine({ out: this, now: () => this.now, atHandMs, firstMs: 20 });
    this.machine.join("c");
    for (let i = 0; i < EXECUTORS; i++) {
      this.line.set(`e${i}`, []);
      this.busy.set(`e${i}`, 0);
      this.machine.attach(`e${i}`, CPUS);
    }
  }

  after(ms: number, fn: () => void): void {
    this.events.push(fn, this.now + ms);
  }

  run(executor: string, lease: number, { key }: TaskAsked, _inputs: unknown, rank: number): void {
    this.after(LATENCY_MS, () => {
      const line = this.line.get(executor)!;
      const at = line.findIndex((other) => other.rank < rank);
      line.splice(at < 0 ? line.length : at, 0, { lease, key, rank });
      this.work(executor);
    });
  }

  private work(executor: string): void {
    const line = this.line.get(executor)!;
    while (line.length > 0 && this.busy.get(executor)! < CPUS) {
      const { lease, key } = line.shift()!;
      this.busy.set(executor, this.busy.get(executor)! + 1);
      const ms = this.msOf.get(key)!;
      this.after(ms, () => {
        this.busy.set(executor, this.busy.get(executor)! - 1);
        this.work(executor);
        this.after(LATENCY_MS, () => this.machine.done(executor, lease, [{ bytes: 10, inline: "v" }], ms));
      });
    }
  }

  recall(executor: string, lease: number): void {
    this.after(LATENCY_MS, () => {
      const line = this.line.get(executor)!;
      const at = line.findIndex((one) => one.lease === lease);
      if (at < 0) return;
      line.splice(at, 1);
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

  play(): void {
    for (let fn = this.events.peek(); fn !== undefined; fn = this.events.peek()) {
      this.now = this.events.peekValue()!;
      this.events.pop();
      fn();
    }
  }
}

/** Order by arrival and one task to a free CPU: an owner that plans nothing. */
function plain(jobs: readonly Job[]): number {
  const left = new Map(
    jobs.map(({ asked, after = [] }) => [asked.key, new Set([...asked.needs.map((key) => key.slice(0, -2)), ...after])]),
  );
  const waits = jobs.map((one) => one);
  const events = new FlatQueue<string>();
  const msOf = new Map(jobs.map(({ asked, ms }) => [asked.key, ms]));
  let free = EXECUTORS * CPUS;
  let now = 0;
  const done = new Set<string>();
  const start = (): void => {
    for (let i = 0; i < waits.length && free > 0; i++) {
      const key = waits[i]!.asked.key;
      if ([...left.get(key)!].some((need) => !done.has(need))) continue;
      waits.splice(i--, 1);
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

function makespan(jobs: readonly Job[]): number {
  const msOf = new Map(jobs.map(({ asked, ms }) => [asked.key, ms]));
  const later = new Map<string, Job[]>();
  const missing = new Map<Job, number>();
  const submit = ({ asked }: Job): void => {
    const refused = simulation.machine.submit("c", asked);
    if (refused !== null) throw new Error(`${asked.key}: ${refused.detail}`);
  };
  const simulation = new Simulation(msOf, AT_HAND_MS, (key) => {
    for (const one of later.get(key) ?? []) {
      missing.set(one, missing.get(one)! - 1);
      // The client hears of it, and submits: there and back.
      if (missing.get(one) === 0) simulation.after(2 * LATENCY_MS, () => (submit(one), simulation.machine.dispatch()));
    }
  });
  for (const one of jobs) {
    if (one.after === undefined) submit(one);
    else {
      missing.set(one, one.after.length);
      for (const key of one.after) later.set(key, [...(later.get(key) ?? []), one]);
    }
  }
  simulation.machine.dispatch();
  simulation.play();
  if (simulation.finals.size !== jobs.length) throw new Error(`${jobs.length - simulation.finals.size} tasks have no answer`);
  return Math.max(...simulation.finals.values());
}

const figures: Record<string, number> = {};
for (const [name, shape] of Object.entries(SHAPES)) {
  const ratios: number[] = [];
  const plains: number[] = [];
  for (let i = 0; i < given.repeats; i++) {
    const luck = seededRandom(given.seed + i);
    const jobs = shape((ms) => ms * (0.8 + 0.4 * luck()));
    const least = bound(jobs);
    ratios.push(makespan(jobs) / least);
    plains.push(plain(jobs) / least);
  }
  figures[`${name}_makespan_to_bound`] = median(ratios);
  figures[`${name}_makespan_to_bound_worst`] = Math.max(...ratios);
  figures[`${name}_plain_to_bound`] = median(plains);
  progress(
    `${name}: ${median(ratios).toFixed(3)} of the bound (worst ${Math.max(...ratios).toFixed(3)}), fed plainly ${median(plains).toFixed(3)}`,
  );
}

/** What a task costs the owner, submission to answer, in a graph of a fan-out, pairs and a reduction. */
function cost(n: number): { usEach: number; heapMb: number; decision: Times } {
  const none = (): void => undefined;
  const held: [string, number][] = [];
  const out: Out = {
    run: (executor, lease) => void held.push([executor, lease]),
    recall: none,
    stop: none,
    drop: none,
    final: none,
    ready: none,
  };
  const decision = new Times();
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const machine = new GraphMachine({
    out,
    now: () => performance.now(),
    atHandMs: 10,
    firstMs: 1,
    bounds: { ...BOUNDS, openPerClient: 2 * n, open: 2 * n },
  });
  machine.join("c");
  const from = performance.now();
  for (let i = 0; i < n; i++) {
    const needs = i % 2 === 0 ? [] : [`task-${i - 1}:0`];
    machine.submit("c", { key: `task-${i}`, fn: "f", args: "0123456789", needs, returns: 1, cpus: 1, retries: 3, retryErrors: false });
  }
  let spent = performance.now() - from;
  globalThis.gc?.();
  const heapMb = (process.memoryUsage().heapUsed - before) / 2 ** 20;
  const again = performance.now();
  for (let i = 0; i < 16; i++) machine.attach(`e${i}`, 4);
  for (let i = 0; i < held.length; i++) {
    const [executor, lease] = held[i]!;
    const at = performance.now();
    machine.done(executor, lease, [{ bytes: 8, inline: "12345678" }], 1);
    decision.add(performance.now() - at);
  }
  spent += performance.now() - again;
  if (machine.counts.open > 0) throw new Error(`${machine.counts.open} tasks have no answer`);
  return { usEach: (spent * 1000) / n, heapMb, decision };
}

cost(10_000);
const each = new Map<number, number[]>();
let heap = 0;
for (let i = 0; i < Math.min(given.repeats, 5); i++)
  for (const n of [1000, 10_000, 100_000]) {
    // Small graphs are over before the clock has ticked: several make one measurement.
    const rounds = Math.max(1, 20_000 / n);
    const costs = Array.from({ length: rounds }, () => cost(n));
    each.set(n, [...(each.get(n) ?? []), median(costs.map(({ usEach }) => usEach))]);
    if (n === 100_000) {
      heap = Math.max(heap, costs[0]!.heapMb);
      figures["decision_p50_us"] = costs[0]!.decision.at(50) * 1000;
      figures["decision_p99_us"] = costs[0]!.decision.at(99) * 1000;
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
