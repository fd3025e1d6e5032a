import { parseOptions, progress, report } from "./harness.js";
import { measureLoadedStart } from "./full.js";
import { measureMemory } from "./memory.js";
import { bareRuntimeMs, measureStarts } from "./start.js";

/** Where processor time and memory go. `--against DIR`: beside another checkout, built, in turn. */
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
// Finished jobs stay for ever, so a start among many is the one that has least room.
const [open, finished, memMb] = options.quick ? [1000, 6000, 140] : [10_000, 60_000, 140];
const loadedStart = await measureLoadedStart(open, finished, memMb);
progress(
  `start among ${open} open and ${finished} finished jobs: ${loadedStart.readS.toFixed(1)} s, ${loadedStart.processorMs.toFixed(0)} ms, peak ${loadedStart.peakMb.toFixed(0)} MB`,
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
