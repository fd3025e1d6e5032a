import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { Controller } from "../controller.js";
import type { RecoverySpan } from "../partitions/recovery.js";
import { estimateWaits } from "../queue/estimate.js";

/** The controller's metrics in the Prometheus text format. */
export class Exposition {
  private readonly registry = new Registry();
  private readonly waitSeconds: Histogram;
  private readonly recoveries: { spans: readonly RecoverySpan[]; registers: Registry[] };
  private spread: Gauge | null = null;

  /** `answers`: number of responses to users by status. */
  constructor(controller: Controller, answers: ReadonlyMap<number, number>) {
    const registers = [this.registry];
    this.waitSeconds = new Histogram({
      name: "thorntrail_wait_seconds",
      help: "From submission to running, by class",
      labelNames: ["class"],
      buckets: [1, 2, 5, 10, 20, 50, 100, 200, 500],
      registers,
    });
    new Counter({
      name: "thorntrail_answers_total",
      help: "Answers by status",
      labelNames: ["status"],
      registers,
      collect() {
        this.reset();
        for (const [status, count] of answers) this.inc({ status: String(status) }, count);
      },
    });
    const { leader, exchange, fleet, committer, relay, stalls, presence, detector, fitness } = controller;
    const gauge = (name: string, help: string, read: () => number): void => {
      new Gauge({
        name: `thorntrail_${name}`,
        help,
        registers,
        collect() {
          this.set(read());
        },
      });
    };
    const sum = (read: (partition: Parameters<typeof estimateWaits>[0]) => number) => () =>
      [...leader.partitions.values()].reduce((n, partition) => n + read(partition), 0);
    gauge("parts", "Parts led by this node", () => leader.partitions.size);
    gauge(
      "machines",
      "Machines of this node's parts",
      sum((partition) => partition.machines.size),
    );
    gauge(
      "queued_tasks",
      "Tasks waiting in this node's parts",
      sum((partition) => [...partition.taskSets.values()].reduce((n, taskSet) => n + taskSet.waiting.length, 0)),
    );
    gauge("invariant_violations_total", "Invariants that did not hold, each logged at error", () => leader.scope.invariants.violations);
    gauge("ownership_proof_age_ms", "Since the newest read that found this node's terms began", () =>
      Math.min(leader.proofAgeMs, Number.MAX_SAFE_INTEGER),
    );
    gauge(
      "unproven_leases",
      "Machines whose lease is over by the clock, and may have been renewed by an heir",
      () => leader.unprovenLeases,
    );
    gauge("stale_restarts_total", "Tasks ordered again without fresh proof of ownership", () => leader.audit.staleRestarts);
    gauge("superseded_terms_total", "Terms that ended as a worker showed a newer owner's token", () => leader.stats.superseded);
    gauge("starts_total", "Tasks seen to begin", () => leader.stats.starts);
    gauge("preemptions_total", "Tasks stopped for work of higher priority", () => leader.stats.preemptions);
    gauge("takeovers_total", "Parts taken over", () => leader.stats.takeovers);
    gauge("moves_home_total", "Jobs asked about that stayed home", () => exchange.stats.home);
    gauge("moves_volunteer_total", "Jobs moved to volunteers", () => exchange.stats.volunteer);
    gauge("moves_asked_total", "Jobs moved after asking every peer", () => exchange.stats.asked);
    gauge("slices_moved_total", "Slices of arrays moved to parts with room", () => exchange.stats.slices);
    gauge("queries_total", "Queries sent to other parts", () => exchange.stats.queries);
    gauge("hired_total", "Machines rented", () => fleet.stats.rented);
    gauge("returned_total", "Machines returned", () => fleet.stats.returned);
    gauge("hire_refusals_total", "Rentals refused or partly filled", () => fleet.stats.refused);
    gauge("state_transactions_total", "Transactions sent", () => committer.stats.transactions);
    gauge("state_writes_total", "Writes sent", () => committer.stats.writes);
    gauge("state_conflicts_total", "Transactions refused for a changed stamp", () => committer.stats.conflicts);
    gauge("state_unanswered_total", "Transactions without an answer", () => committer.stats.unanswered);
    gauge("relayed_total", "Requests a peer answered for this node", () => relay.stats.answered);
    gauge("stalls_total", "Times this process stood still while its clocks ran on", () => stalls.count);
    gauge("stalled_ms_total", "For how long, in all", () => stalls.ms);
    const { overload } = controller;
    gauge("overload_level", "0 easy to 4 drowning, see docs/operations/overload.md", () => overload.level);
    gauge("overload_lag_ms", "Worst lateness of timers lately", () => overload.measured.lagMs);
    gauge("overload_memory_ratio", "Memory held, of the quota", () => overload.measured.memory);
    gauge("overload_shed_total", "What was put off for lack of processor, memory or writes", () => overload.stats.shed);
    gauge("silent_peers", "Controllers whose presence ran out", () => presence.silentNodes().length);
    gauge("suspicions_total", "Times this node wrote down that it suspects another", () => detector.stats.suspicions);
    gauge("suspicions_refuted_total", "Suspicions that the suspect answered", () => detector.stats.refuted);
    gauge("verdicts_total", "Suspicions that nobody answered in time", () => detector.stats.verdicts);
    gauge("cut_off_from_workers", "1 while this node cannot reach its workers", () => Number(fitness.unfit));
    gauge("takeover_ms", "From taking the newest part to its first placement pass", () => leader.stats.fencedMs);
    new Gauge({
      name: "thorntrail_calls_total",
      help: "Calls to the outside by operation and what became of them; a long pause: the target's budget of repetitions was spent",
      labelNames: ["operation", "what"],
      registers,
      collect() {
        for (const { operation, stats } of controller.calls.all())
          for (const [what, count] of Object.entries(stats)) this.set({ operation, what }, count as number);
      },
    });
    new Gauge({
      name: "thorntrail_call_budget",
      help: "Repetitions left before calls to a target wait for the longest pause",
      labelNames: ["target"],
      registers,
      collect() {
        for (const [target, left] of controller.calls.budgets()) if (Number.isFinite(left)) this.set({ target }, left);
      },
    });
    this.recoveries = { spans: leader.recovery.spans, registers };
    for (const [name, help, read] of [
      ["recovery_silent_ms", "Of the newest takeover: silence of the former leader before the claim", "silentMs"],
      ["recovery_fenced_ms", "Of the newest takeover: from the claim until all machines were accounted for", "fencedMs"],
      ["recovery_placed_ms", "Of the newest takeover: from the claim to the first start", "placedMs"],
      ["recovery_back_ms", "Of the newest takeover: from the claim until nothing waited for it", "backMs"],
    ] as const)
      gauge(name, help, () => leader.recovery.spans.at(-1)?.[read] ?? 0);
    gauge(
      "price_per_hour",
      "Of the machines of this node's parts",
      sum((partition) => [...partition.machines.values()].reduce((n, machine) => n + leader.priceOf(machine), 0)),
    );
  }

  /** Records the time in seconds from submission to running. */
  countWait(klass: string, seconds: number): void {
    this.waitSeconds.observe({ class: klass }, seconds);
  }

  /** Returns the metrics as text. */
  async text(): Promise<string> {
    this.spread ??= await registerSpread(this.recoveries.spans, this.recoveries.registers);
    return this.registry.metrics();
  }
}

const PERCENTILES = [50, 90, 99, 100];

/**
 * Registers percentiles of the durations of the remembered recoveries, by step. The histogram
 * library is loaded on the first request, because processor time is scarce at start-up.
 */
async function registerSpread(spans: readonly RecoverySpan[], registers: Registry[]): Promise<Gauge> {
  const { build } = await import("hdr-histogram-js");
  return new Gauge({
    name: "thorntrail_recovery_spread_ms",
    help: "Of remembered takeovers: from the claim until fenced, first placed, and back, by percentile",
    labelNames: ["step", "percentile"],
    registers,
    collect() {
      for (const step of ["fencedMs", "placedMs", "backMs"] as const) {
        const times = build({ lowestDiscernibleValue: 1, highestTrackableValue: 3_600_000, numberOfSignificantValueDigits: 3 });
        for (const span of spans) if (span[step] !== null) times.recordValue(Math.max(1, span[step]));
        if (times.totalCount === 0) continue;
        for (const percentile of PERCENTILES)
          this.set({ step: step.slice(0, -2), percentile: String(percentile) }, times.getValueAtPercentile(percentile));
      }
    },
  });
}
