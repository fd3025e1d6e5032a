import type { Scope } from "../platform/scope.js";
import type { Settings } from "../settings/derived.js";
import {
  LEVELS,
  nextLevel,
  sheds,
  overloadThresholds,
  type Level,
  type OverloadMetrics,
  type SheddableWork,
  type Thresholds,
} from "./levels.js";

/** Bounds of `Retry-After` for users, in seconds. Users give up after 60. */
const MIN_RETRY_AFTER_S = 1;
const MAX_RETRY_AFTER_S = 30;
/** Maximum factor by which timer lag extends the gap between scheduling cycles. */
const MAX_CYCLE_GAP_FACTOR = 4;
const MB = 1e6;

/** Memory in bytes: resident size of the process, V8's heap including garbage, and the limit of that heap. */
export interface MemoryUsage {
  resident: number;
  heap: number;
  heapMax: number;
}

/** What the overload monitor uses: settings, clock and log, and the values that it measures. */
export interface OverloadDependencies {
  settings: Settings;
  scope: Scope;
  /** Memory use of this process, in bytes. */
  memory: () => MemoryUsage;
  /** Number of changes that wait to be written to the state service. */
  backlog: () => number;
}

/**
 * Measures overload several times per report interval. Other modules check `sheds` before they accept work that can
 * wait; the monitor does not depend on them.
 */
export class OverloadMonitor {
  /** Current overload level. */
  level: Level = 0;
  readonly stats = { shed: 0, worstLevel: 0 as Level, worstLagMs: 0, worstMemory: 0 };
  measured: OverloadMetrics = { lagMs: 0, memory: 0, backlogS: 0 };
  /** Timer delays of the latest samples in ms, the newest last. */
  private readonly lagSamples: number[] = [];
  private dueAt = Infinity;
  private sampleCount = 0;
  private readonly heapSamples: number[] = [];

  private readonly thresholds: Thresholds;

  constructor(private readonly dependencies: OverloadDependencies) {
    const { timing, nodes } = dependencies.settings;
    this.thresholds = overloadThresholds(timing, nodes.length);
  }

  start(): void {
    const { scope } = this.dependencies;
    this.dueAt = scope.clock.now();
    scope.routine(
      "overload",
      () => this.sampleIntervalMs(),
      () => this.sample(),
    );
    // The timer delay caused by a stall of the process or a clock jump is not overload.
    scope.listen(scope.clock.stall$, () => {
      this.lagSamples.length = 0;
      this.dueAt = Infinity;
    });
  }

  private sampleIntervalMs(): number {
    return this.dependencies.settings.timing.reportMs / SAMPLES_PER_REPORT;
  }

  private sample(): void {
    const { scope } = this.dependencies;
    const now = scope.clock.now();
    this.lagSamples.push(Math.max(0, now - this.dueAt));
    if (this.lagSamples.length > LAG_SAMPLES) this.lagSamples.shift();
    this.dueAt = now + this.sampleIntervalMs();
    this.measured = {
      lagMs: Math.max(...this.lagSamples),
      memory: this.memory(),
      backlogS: this.backlogS(),
    };
    const before = this.level;
    this.level = nextLevel(before, this.measured, this.thresholds);
    const { stats, measured } = this;
    stats.worstLevel = Math.max(stats.worstLevel, this.level) as Level;
    stats.worstLagMs = Math.max(stats.worstLagMs, Math.round(measured.lagMs));
    stats.worstMemory = Math.max(stats.worstMemory, Math.round(measured.memory * 100) / 100);
    if (this.level !== before) {
      const { lagMs, memory, backlogS } = measured;
      const fields = {
        from: LEVELS[before],
        to: LEVELS[this.level],
        lagMs: Math.round(lagMs),
        memory: Math.round(memory * 100) / 100,
        backlogS,
      };
      if (this.level > before) scope.log.warn(fields, "overload rises");
      else scope.log.info(fields, "overload eases");
    }
  }

  /** Time in seconds to write the backlog at this node's share of the write rate. */
  private backlogS(): number {
    const { settings, backlog } = this.dependencies;
    return (backlog() * settings.nodes.length) / settings.state.writeRps;
  }

  /**
   * Memory use as the larger of two shares: resident memory of the quota, and heap of V8's heap limit, which is fixed
   * before the settings are read. The heap counts with the smallest of several samples, since each sample includes
   * garbage. Reading the values takes several system calls, so they are read once per report interval.
   */
  private memory(): number {
    const { settings, memory } = this.dependencies;
    if (this.sampleCount++ % SAMPLES_PER_REPORT > 0) return this.measured.memory;
    const { resident, heap, heapMax } = memory();
    this.heapSamples.push(heapMax > 0 ? heap / heapMax : 0);
    if (this.heapSamples.length > HEAP_SAMPLES) this.heapSamples.shift();
    return Math.max(resident / (settings.platform.deployment.quota.mem_mb * MB), Math.min(...this.heapSamples));
  }

  /** Whether this kind of work is to be shed now. If so, it is counted as shed, and the caller rejects or skips it. */
  sheds(what: SheddableWork): boolean {
    if (!sheds(this.level, what)) return false;
    this.stats.shed++;
    return true;
  }

  /** Value for `Retry-After`, in seconds: the estimated time until the backlog is written and the timer lag has ended. */
  retryAfterS(): number {
    const s = Math.max(this.backlogS(), (this.measured.lagMs / 1000) * 2);
    return Math.min(MAX_RETRY_AFTER_S, Math.max(MIN_RETRY_AFTER_S, Math.ceil(s)));
  }

  /** Factor by which to extend the normal gap between scheduling cycles (`gapMs`): a lagging process gains nothing from more cycles. */
  cycleGapFactor(gapMs: number): number {
    return Math.min(MAX_CYCLE_GAP_FACTOR, 1 + this.measured.lagMs / Math.max(gapMs, this.sampleIntervalMs()));
  }
}

/** Number of overload measurements per report interval. */
const SAMPLES_PER_REPORT = 10;
/** The measured timer lag is the maximum of this many latest samples; few, so that it falls soon after its cause ends. */
const LAG_SAMPLES = 4;
/** The measured heap size is the minimum of this many latest samples, which are taken once per report interval. */
const HEAP_SAMPLES = 4;
