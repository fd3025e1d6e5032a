import type { Scope } from "../platform/scope.js";
import type { Settings } from "../settings/derived.js";
import { LEVELS, nextLevel, sheds, overloadThresholds, type Level, type OverloadMetrics, type SheddableWork, type Thresholds } from "./levels.js";

/** Waits told to users, in seconds: they come back by then, or give up after 60. */
const MIN_RETRY_AFTER_S = 1;
const MAX_RETRY_AFTER_S = 30;
/** Passes come further apart the later their timers are, but not by more than this. */
const MAX_STRETCH = 4;
const MB = 1e6;

/** Bytes of memory: all of the process, and of V8's heap with what it may be at most, its garbage included. */
export interface Held {
  resident: number;
  heap: number;
  heapMost: number;
}

export interface OverloadDependencies {
  settings: Settings;
  scope: Scope;
  /** What this process holds, in bytes. */
  memory: () => Held;
  /** Changes that wait for the state service. */
  backlog: () => number;
}

/**
 * Overload as an ordinary state: measured in one place, a few times each report interval, and
 * asked by all slices before they take on what can wait. It asks none of them.
 */
export class Overload {
  level: Level = 0;
  readonly stats = { shed: 0, worstLevel: 0 as Level, worstLagMs: 0, worstMemory: 0 };
  measured: OverloadMetrics = { lagMs: 0, memory: 0, backlogS: 0 };
  /** Lateness seen in the newest looks, the newest last. */
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
    // A process that stood still, or whose clocks jumped, is not one that can't keep up.
    scope.listen(scope.clock.stood$, () => {
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
      const line = {
        from: LEVELS[before],
        to: LEVELS[this.level],
        lagMs: Math.round(lagMs),
        memory: Math.round(memory * 100) / 100,
        backlogS,
      };
      if (this.level > before) scope.log.warn(line, "overload rises");
      else scope.log.info(line, "overload eases");
    }
  }

  /** At our share of the writes. */
  private backlogS(): number {
    const { settings, backlog } = this.dependencies;
    return (backlog() * settings.nodes.length) / settings.state.writeRps;
  }

  /**
   * The larger of two shares: of the quota, and of what V8 may hold, which is fixed before the settings
   * are read. The heap counts as the least of some looks, since all of them include garbage. Asking the
   * kernel costs several calls, so it is asked once a report interval.
   */
  private memory(): number {
    const { settings, memory } = this.dependencies;
    if (this.sampleCount++ % SAMPLES_PER_REPORT > 0) return this.measured.memory;
    const { resident, heap, heapMost } = memory();
    this.heapSamples.push(heapMost > 0 ? heap / heapMost : 0);
    if (this.heapSamples.length > HEAP_SAMPLES) this.heapSamples.shift();
    return Math.max(resident / (settings.platform.deployment.quota.mem_mb * MB), Math.min(...this.heapSamples));
  }

  /** Whether this is to wait; whoever asks says so at once to whom it concerns. */
  sheds(what: SheddableWork): boolean {
    if (!sheds(this.level, what)) return false;
    this.stats.shed++;
    return true;
  }

  /** For `Retry-After`: when what keeps us busy should be through, by what was measured. */
  retryAfterS(): number {
    const s = Math.max(this.backlogS(), (this.measured.lagMs / 1000) * 2);
    return Math.min(MAX_RETRY_AFTER_S, Math.max(MIN_RETRY_AFTER_S, Math.ceil(s)));
  }

  /** How much further apart passes come, given how far apart they would: whoever is late gains nothing by more of them. */
  stretch(gapMs: number): number {
    return Math.min(MAX_STRETCH, 1 + this.measured.lagMs / Math.max(gapMs, this.sampleIntervalMs()));
  }
}

/** Looks each report interval. */
const SAMPLES_PER_REPORT = 10;
/** Of these, how many the lag is the worst of: it is to be over soon after its cause is. */
const LAG_SAMPLES = 4;
/** Looks at the heap, one each report interval, of which the least counts. */
const HEAP_SAMPLES = 4;
