/** The result of a rehearsal, and the statistics of its job classes (a class is one work entry of the plan). */
import { build } from "hdr-histogram-js";
import type { HistoryEvent } from "./checker.js";
import type { Fault } from "./faults.js";
import type { CopyCounts } from "./message-copies.js";
import type { PlannedSubmission } from "./plan.js";
import type { Recovery } from "./recovery.js";

/** A fault that was carried out: its time in seconds, the targets it affected (`met`), and the fault as planned. */
export interface FaultOccurrence {
  at: number;
  kind: string;
  met: string[];
  fault: Fault;
}

/**
 * Whether a split affected machines of a controller while the state service refused just that controller for longer than a lease
 * (`leaseS`, in seconds). Only in this case can a new owner answer the reports of machines that the former owner
 * considers lost.
 */
export function hadSplitWhileRefused(faults: readonly FaultOccurrence[], leaseS: number): boolean {
  const refusals = faults.filter(({ fault }) => fault.kind === "refuse" && fault.by === "state" && fault.for > leaseS);
  return faults.some(({ at, met, fault }) => {
    if (fault.kind !== "split" || met.length === 0) return false;
    return refusals.some(
      (refusal) =>
        refusal.fault.kind === "refuse" &&
        refusal.fault.target === fault.target &&
        at < refusal.at + refusal.fault.for &&
        refusal.at < at + fault.for,
    );
  });
}

/** The result of a rehearsal, in the same form for real processes and virtual time. Times in seconds. */
export interface Report {
  plan: string;
  mode: "real" | "virtual";
  seed: number;
  seconds: number;
  jobs: { submitted: number; accepted: number; done: number; withdrawn: number; unfinished: string[] };
  /** Descriptions of the broken rules. */
  broken: string[];
  /**
   * Number of task starts after a user received confirmation that the job is cancelled, including starts within the time
   * limit for a cancellation.
   */
  started_cancelled: number;
  faults: FaultOccurrence[];
  takeovers: number;
  recoveries: Recovery[];
  classes: ClassStatistics[];
  /**
   * Errors in the logs; in addition, processes that exited on their own (real processes) or transactions that exceeded the
   * limits of the state service (virtual time).
   */
  trouble: string[];
  cost: number;
  /** Copies of messages that were carried out before (faults of the kind `copies`), by the kind of message. */
  copies: Record<string, CopyCounts>;
  /** Reports of the emulated workers, on real processes: how many were sent, and how many of them late. */
  reports?: { sent: number; late: number };
}

/** Statistics of the jobs of one class; start and end times are measured from the first attempt to submit a job. */
export interface ClassStatistics {
  name: string;
  jobs: number;
  done: number;
  start_p50_s: number | null;
  start_p99_s: number | null;
  done_p50_s: number | null;
  done_p99_s: number | null;
  late: number;
}

/** Collects durations in ms and returns percentiles in seconds with three significant digits; null if there are none. */
export class DurationHistogram {
  private readonly histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 86_400_000, numberOfSignificantValueDigits: 3 });

  /** Adds a duration in ms; those below 1 ms count as 1 ms. */
  add(ms: number): void {
    this.histogram.recordValue(Math.max(1, Math.round(ms)));
  }

  /** Number of durations added. */
  get count(): number {
    return this.histogram.totalCount;
  }

  /** Returns the given percentile (0 to 100) in seconds. */
  percentileS(percentile: number): number | null {
    return this.count === 0 ? null : this.histogram.getValueAtPercentile(percentile) / 1000;
  }

  /** The longest duration, in seconds. */
  get maxS(): number | null {
    return this.count === 0 ? null : this.histogram.maxValue / 1000;
  }
}

/** Computes the statistics of each job class from a run's events. Times are measured from the first attempt to submit a job. */
export function classStatistics(history: readonly HistoryEvent[], planned: ReadonlyMap<string, PlannedSubmission>): ClassStatistics[] {
  const submitted = new Map<string, number>();
  const firstStart = new Map<string, number>();
  const done = new Map<string, number>();
  for (const event of history) {
    if (event.kind === "submitted" && !submitted.has(event.spec.ref)) submitted.set(event.spec.ref, event.at);
    else if (event.kind === "on") {
      const ref = event.piece.slice(0, event.piece.lastIndexOf("/"));
      if (!firstStart.has(ref)) firstStart.set(ref, event.at);
    } else if (event.kind === "told" && event.what === "done" && !done.has(event.ref)) done.set(event.ref, event.at);
  }
  const classes = new Map<string, { jobs: number; done: number; late: number; starts: DurationHistogram; ends: DurationHistogram }>();
  for (const [ref, at] of submitted) {
    const spec = planned.get(ref)?.spec;
    if (spec === undefined) continue;
    let one = classes.get(spec.klass);
    if (one === undefined)
      classes.set(spec.klass, (one = { jobs: 0, done: 0, late: 0, starts: new DurationHistogram(), ends: new DurationHistogram() }));
    one.jobs++;
    const started = firstStart.get(ref);
    const ended = done.get(ref);
    if (started !== undefined) one.starts.add(started - at);
    if (ended !== undefined) {
      one.done++;
      one.ends.add(ended - at);
    }
    if (spec.deadlineS !== null && (ended ?? Infinity) - at > spec.deadlineS * 1000) one.late++;
  }
  return [...classes].map(([name, one]) => ({
    name,
    jobs: one.jobs,
    done: one.done,
    start_p50_s: one.starts.percentileS(50),
    start_p99_s: one.starts.percentileS(99),
    done_p50_s: one.ends.percentileS(50),
    done_p99_s: one.ends.percentileS(99),
    late: one.late,
  }));
}

/** Formats the numbers of copies of messages, such as `command 12 (3 accepted)`; empty if there were none. */
export function formatCopies(copies: Report["copies"]): string {
  return Object.entries(copies)
    .map(([what, { delivered, accepted }]) => `${what} ${delivered} (${accepted} accepted)`)
    .join(", ");
}

const formatSeconds = (value: number | null): string => (value === null ? "-" : value.toFixed(1));

/** Formats the statistics of all job classes as a table for a terminal. */
export function formatTable(report: Report): string {
  const head = ["class", "jobs", "done", "start p50", "start p99", "done p50", "done p99", "late"];
  const rows = report.classes.map((one) => [
    one.name,
    String(one.jobs),
    String(one.done),
    formatSeconds(one.start_p50_s),
    formatSeconds(one.start_p99_s),
    formatSeconds(one.done_p50_s),
    formatSeconds(one.done_p99_s),
    String(one.late),
  ]);
  const widths = head.map((_, i) => Math.max(...[head, ...rows].map((row) => row[i]!.length)));
  const line = (row: string[]): string => row.map((cell, i) => (i === 0 ? cell.padEnd(widths[i]!) : cell.padStart(widths[i]!))).join("  ");
  return [line(head), ...rows.map(line)].join("\n");
}
