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
      help: "Time from submission to running, by class",
      labelNames: ["class"],
      buckets: [1, 2, 5, 10, 20, 50, 100, 200, 500],
      registers,
    });
    new Counter({
      name: "thorntrail_answers_total",
      help: "Responses to users by HTTP status",
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
    gauge("parts", "Partitions owned by this node", () => leader.partitions.size);
    gauge(
      "machines",
      "Machines of this node's partitions",
      sum((partition) => partition.machines.size),
    );
    gauge(
      "queued_tasks",
      "Tasks waiting in this node's partitions",
      sum((partition) => [...partition.taskSets.values()].reduce((n, taskSet) => n + taskSet.waiting.length, 0)),
    );
    gauge("invariant_violations_total", "Invariant violations, each logged at level error", () => leader.scope.invariants.violations);
    gauge("ownership_proof_age_ms", "Time since the start of the newest read that confirmed this node's terms", () =>
      Math.min(leader.proofAgeMs, Number.MAX_SAFE_INTEGER),
    );
    gauge(
      "unproven_leases",
      "Machines whose lease has expired by the clock but may have been renewed by a new owner",
      () => leader.unprovenLeases,
    );
    gauge("stale_restarts_total", "Tasks ordered again without fresh proof of ownership", () => leader.audit.staleRestarts);
    gauge("superseded_terms_total", "Terms that ended because a worker reported a newer owner's token", () => leader.stats.superseded);
    gauge("tokens_raised_total", "Times that a worker's token was raised within a term", () => leader.stats.tokensRaised);
    gauge("direct_starts_refused_total", "Direct starts that workers refused for their token or session", () => leader.stats.startsRefused);
    gauge("attempts_seen_again_total", "Attempts on a machine after a proof that they no longer exist", () => leader.stats.seenAgain);
    gauge("starts_total", "Attempts reported as running", () => leader.stats.starts);
    gauge("preemptions_total", "Tasks stopped for work of higher priority", () => leader.stats.preemptions);
    gauge("takeovers_total", "Partitions taken over", () => leader.stats.takeovers);
    gauge("moves_home_total", "Jobs that stayed in their home partition after bid requests", () => exchange.stats.home);
    gauge("moves_volunteer_total", "Jobs migrated to volunteers", () => exchange.stats.volunteer);
    gauge("moves_asked_total", "Jobs migrated to partitions that had not volunteered", () => exchange.stats.asked);
    gauge("slices_moved_total", "Slices of arrays migrated to partitions with free capacity", () => exchange.stats.slices);
    gauge("queries_total", "Rounds of bid requests to other partitions", () => exchange.stats.queries);
    gauge("hired_total", "Machines rented", () => fleet.stats.rented);
    gauge("returned_total", "Machines returned", () => fleet.stats.returned);
    gauge("hire_refusals_total", "Rentals refused or partly filled", () => fleet.stats.refused);
    gauge("state_transactions_total", "Transactions sent", () => committer.stats.transactions);
    gauge("state_writes_total", "Writes sent", () => committer.stats.writes);
    gauge("state_conflicts_total", "Transactions refused because a record's stamp had changed", () => committer.stats.conflicts);
    gauge("state_unanswered_total", "Transactions without an answer", () => committer.stats.unanswered);
    gauge("relayed_total", "Requests that a peer answered for this node", () => relay.stats.answered);
    gauge("stalls_total", "Stalls: times that this process was not scheduled while its clocks ran on", () => stalls.count);
    gauge("stalled_ms_total", "Total length of the stalls", () => stalls.ms);
    const { overload } = controller;
    gauge("overload_level", "Overload level from 0 (easy) to 4 (drowning), see docs/operations/overload.md", () => overload.level);
    gauge("overload_lag_ms", "Largest recent delay of a timer", () => overload.measured.lagMs);
    gauge(
      "overload_memory_ratio",
      "Resident memory as a share of the quota, or heap as a share of its limit if that is greater",
      () => overload.measured.memory,
    );
    gauge("overload_shed_total", "Work that was shed for lack of processor time, memory or writes", () => overload.stats.shed);
    gauge("silent_peers", "Controllers whose presence has expired", () => presence.silentNodes().length);
    gauge("suspicions_total", "Suspicions recorded by this node", () => detector.stats.suspicions);
    gauge("suspicions_refuted_total", "Suspicions refuted by the suspected controller", () => detector.stats.refuted);
    gauge("verdicts_total", "Suspicions not refuted in time", () => detector.stats.verdicts);
    gauge("cut_off_from_workers", "1 while this node cannot reach its workers", () => Number(fitness.unfit));
    gauge(
      "takeover_ms",
      "Duration of the newest fence: from the takeover of a partition until all its machines were fenced",
      () => leader.stats.fencedMs,
    );
    new Gauge({
      name: "thorntrail_calls_total",
      help: "Calls to other processes by operation and outcome; long pauses: the target's retry budget was spent",
      labelNames: ["operation", "what"],
      registers,
      collect() {
        for (const { operation, stats } of controller.calls.all())
          for (const [what, count] of Object.entries(stats)) this.set({ operation, what }, count as number);
      },
    });
    new Gauge({
      name: "thorntrail_call_budget",
      help: "Retries left before calls to a target pause for the maximum time",
      labelNames: ["target"],
      registers,
      collect() {
        for (const [target, left] of controller.calls.budgets()) if (Number.isFinite(left)) this.set({ target }, left);
      },
    });
    this.recoveries = { spans: leader.recovery.spans, registers };
    for (const [name, help, read] of [
      ["recovery_silent_ms", "Newest takeover: absence of the former owner before the claim", "silentMs"],
      ["recovery_fenced_ms", "Newest takeover: from the claim until all machines were fenced", "fencedMs"],
      ["recovery_placed_ms", "Newest takeover: from the claim to the first task start", "placedMs"],
      [
        "recovery_back_ms",
        "Newest takeover: from the claim until, once fenced, a task had started, no earlier work waited or the shortest boot time had passed",
        "backMs",
      ],
    ] as const)
      gauge(name, help, () => leader.recovery.spans.at(-1)?.[read] ?? 0);
    gauge(
      "price_per_hour",
      "Price per hour of the machines of this node's partitions",
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
 * Registers, for each step of a takeover, percentiles of the time from the claim to the step over the remembered takeovers.
 * The histogram library is loaded on the first request, because processor time is scarce at start-up.
 */
async function registerSpread(spans: readonly RecoverySpan[], registers: Registry[]): Promise<Gauge> {
  const { build } = await import("hdr-histogram-js");
  return new Gauge({
    name: "thorntrail_recovery_spread_ms",
    help: "Remembered takeovers: from the claim until fenced, first task start and end of the recovery, by percentile",
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
