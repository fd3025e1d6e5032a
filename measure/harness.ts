import { cpus } from "node:os";
import { parseArgs } from "node:util";
import { build, type Histogram } from "hdr-histogram-js";

/** What every measurement takes on its command line. */
export interface Options {
  quick: boolean;
  seed: number;
  repeats: number;
}

export function options(defaults: { repeats: number; quickRepeats: number }): Options {
  const { values } = parseArgs({
    options: { quick: { type: "boolean", default: false }, seed: { type: "string", default: "1" }, repeats: { type: "string" } },
  });
  const number = (text: string, name: string): number => {
    if (!/^\d+$/.test(text)) {
      process.stderr.write(`measure: --${name} ${text}: expected a whole number\n`);
      process.exit(2);
    }
    return Number(text);
  };
  return {
    quick: values.quick,
    seed: number(values.seed, "seed"),
    repeats: values.repeats === undefined ? (values.quick ? defaults.quickRepeats : defaults.repeats) : number(values.repeats, "repeats"),
  };
}

/** Times in ms, kept with three digits. */
export class Times {
  private readonly histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 3_600_000_000,
    numberOfSignificantValueDigits: 3,
  });

  add(ms: number): void {
    this.histogram.recordValue(Math.max(1, Math.round(ms * 1000)));
  }

  get count(): number {
    return this.histogram.totalCount;
  }

  at(percentile: number): number {
    return this.count === 0 ? NaN : this.histogram.getValueAtPercentile(percentile) / 1000;
  }

  get worst(): number {
    return this.count === 0 ? NaN : this.histogram.maxValue / 1000;
  }
}

export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted.length === 0 ? NaN : sorted[Math.floor(sorted.length / 2)]!;
}

export function progress(text: string): void {
  process.stderr.write(`${text}\n`);
}

/** The last line: flat names with their units. */
export function report(name: string, given: Options, figures: Record<string, number | string>): void {
  const rounded = Object.fromEntries(
    Object.entries(figures).map(([key, value]) => [key, typeof value === "number" ? Number(value.toPrecision(4)) : value]),
  );
  process.stdout.write(
    `${JSON.stringify({ measure: name, quick: given.quick, seed: given.seed, repeats: given.repeats, cores: cpus().length, ...rounded })}\n`,
  );
}
