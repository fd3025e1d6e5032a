import { parseOptions, progress, report } from "./harness.js";
import { measureLoadedStart } from "./full.js";
import { measureMemory } from "./memory.js";
import { bareRuntimeMs, measureStarts } from "./start.js";

/**
 * Measures the processor time and the memory of a controller at its start, and its memory per item.
 * `--against DIR` also measures the start of another checkout, which has to be built.
 */
const againstIndex = process.argv.indexOf("--against");
const baselineDir = againstIndex < 0 ? null : process.argv.splice(againstIndex, 2)[1]!;
const options = parseOptions({ repeats: 15, quickRepeats: 5 });

const bareMs = bareRuntimeMs(options.repeats);
const current = await measureStarts(".", options.repeats);
const baseline = baselineDir === null ? null : await measureStarts(baselineDir, options.repeats);
progress(
  `start: bare runtime ${bareMs.toFixed(0)} ms, first answer ${current.firstAnswerMs.toFixed(0)} ms, first submission ${current.submissionMs.toFixed(0)} ms`,
);
const memory = await measureMemory(options.quick);
for (const [name, bytes] of Object.entries(memory)) progress(`${name}: ${bytes.toFixed(0)}`);
// Finished jobs are never deleted, so a start with many of them comes closest to the memory limit.
const [open, finished, memMb] = options.quick ? [1000, 6000, 140] : [10_000, 60_000, 140];
const loadedStart = await measureLoadedStart(open, finished, memMb);
progress(
  `start with ${open} open and ${finished} finished jobs: ${loadedStart.readS.toFixed(1)} s, ${loadedStart.processorMs.toFixed(0)} ms, peak ${loadedStart.peakMb.toFixed(0)} MB`,
);
report("costs", options, {
  bare_ms: bareMs,
  start_first_answer_ms: current.firstAnswerMs,
  start_submission_ms: current.submissionMs,
  ...memory,
  full_open_jobs: open,
  full_finished_jobs: finished,
  full_read_s: loadedStart.readS,
  full_processor_ms: loadedStart.processorMs,
  full_peak_mb: loadedStart.peakMb,
  ...(baseline === null ? {} : { before_first_answer_ms: baseline.firstAnswerMs, before_submission_ms: baseline.submissionMs }),
});
