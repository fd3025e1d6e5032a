import { parseOptions, progress, report } from "./harness.js";
import { startFull } from "./full.js";
import { memoryEach } from "./memory.js";
import { bareMs, starts } from "./start.js";

/** Where processor time and memory go. `--against DIR`: beside another checkout, built, in turn. */
const at = process.argv.indexOf("--against");
const against = at < 0 ? null : process.argv.splice(at, 2)[1]!;
const given = parseOptions({ repeats: 15, quickRepeats: 5 });

const bare = bareMs(given.repeats);
const here = await starts(".", given.repeats);
const there = against === null ? null : await starts(against, given.repeats);
progress(
  `start: bare runtime ${bare.toFixed(0)} ms, first answer ${here.firstMs.toFixed(0)} ms, first submission ${here.submissionMs.toFixed(0)} ms`,
);
const memory = await memoryEach(given.quick);
for (const [name, bytes] of Object.entries(memory)) progress(`${name}: ${bytes.toFixed(0)}`);
// Finished jobs stay for ever, so a start among many is the one that has least room.
const [open, finished, memMb] = given.quick ? [1000, 6000, 140] : [10_000, 60_000, 140];
const full = await startFull(open, finished, memMb);
progress(
  `start among ${open} open and ${finished} finished jobs: ${full.readS.toFixed(1)} s, ${full.processorMs.toFixed(0)} ms, peak ${full.peakMb.toFixed(0)} MB`,
);
report("costs", given, {
  bare_ms: bare,
  start_first_answer_ms: here.firstMs,
  start_submission_ms: here.submissionMs,
  ...memory,
  full_open_jobs: open,
  full_finished_jobs: finished,
  full_read_s: full.readS,
  full_processor_ms: full.processorMs,
  full_peak_mb: full.peakMb,
  ...(there === null ? {} : { before_first_answer_ms: there.firstMs, before_submission_ms: there.submissionMs }),
});
