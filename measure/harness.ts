import { cpus } from "node:os";
import { parseArgs } from "node:util";
import { build, type Histogram } from "hdr-histogram-js";

/** Command-line parsing, statistics and output that all measurements share. */

/** Command-line options that every measurement accepts. */
export interface MeasurementOptions {
  /** Runs smaller sizes and fewer repeats. */
  quick: boolean;
  seed: number;
  repeats: number;
}

/** Parses the command line. Ends the process with exit code 2 if an option is invalid. */
export function parseOptions(defaults: { repeats: number; quickRepeats: number }): MeasurementOptions {
  const { values } = parseArgs({
    options: { quick: { type: "boolean", default: false }, seed: { type: "string", default: "1" }, repeats: { type: "string" } },
  });
  const parseWholeNumber = (text: string, name: string): number => {
    if (!/^\d+$/.test(text)) {
      process.stderr.write(`measure: --${name} ${text}: expected a whole number\n`);
      process.exit(2);
    }
    return Number(text);
  };
  return {
    quick: values.quick,
    seed: parseWholeNumber(values.seed, "seed"),
    repeats:
      values.repeats === undefined
        ? values.quick
          ? defaults.quickRepeats
          : defaults.repeats
        : parseWholeNumber(values.repeats, "repeats"),
  };
}

/** Histogram of durations in ms with three significant digits and a resolution of 1 us. */
export class LatencyHistogram {
  private readonly histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 3_600_000_000,
    numberOfSignificantValueDigits: 3,
  });

  /** Adds a duration in ms; those below 1 us count as 1 us. */
  add(ms: number): void {
    this.histogram.recordValue(Math.max(1, Math.round(ms * 1000)));
  }

  /** Number of durations added. */
  get count(): number {
    return this.histogram.totalCount;
  }

  /** Returns the given percentile (0 to 100) in ms, or NaN if the histogram is empty. */
  percentileMs(percentile: number): number {
    return this.count === 0 ? NaN : this.histogram.getValueAtPercentile(percentile) / 1000;
  }

  /** The longest duration in ms, or NaN if the histogram is empty. */
  get maxMs(): number {
    return this.count === 0 ? NaN : this.histogram.maxValue / 1000;
  }
}

/** Returns the median (for an even count the upper of the two middle values), or NaN for an empty list. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted.length === 0 ? NaN : sorted[Math.floor(sorted.length / 2)]!;
}

/** Writes a progress line to standard error. */
export function progress(text: string): void {
  process.stderr.write(`${text}\n`);
}

/** Writes the result to standard output as one line of JSON: flat names with their units, numbers to four significant digits. */
export function report(name: string, options: MeasurementOptions, figures: Record<string, number | string>): void {
  const rounded = Object.fromEntries(
    Object.entries(figures).map(([key, value]) => [key, typeof value === "number" ? Number(value.toPrecision(4)) : value]),
  );
  process.stdout.write(
    `${JSON.stringify({ measure: name, quick: options.quick, seed: options.seed, repeats: options.repeats, cores: cpus().length, ...rounded })}\n`,
  );
}
