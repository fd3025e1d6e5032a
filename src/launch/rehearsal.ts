import { loadPlan, playReal, BRISK } from "@thorntrail/emulator/entry";
import { momentOf } from "../rehearsal/moments.js";

/** When the leader is ended and a machine is lost, and how long work comes in. Seconds. */
const LOSS_AT = 4;
const SECONDS = 9;

/**
 * The first seconds of the demo with controllers that keep what V8 compiled of them: start, renting,
 * reports, placement, users, and a takeover. Arguments: the program that stands in for `main.js`, with its flags.
 */
const plan = await loadPlan("deploy/demo.hcl");
const [restart, lose] = plan.fault;
const fault = [restart, lose].flatMap((one) => (one === undefined ? [] : [{ ...one, at: LOSS_AT }]));
const report = await playReal({
  program: [process.execPath, ...process.argv.slice(2)],
  plan: { ...plan, seconds: SECONDS, fault },
  timing: BRISK,
  seed: 1,
  momentOf,
  progress: () => undefined,
  patienceMs: 1000,
  stop: AbortSignal.timeout(30_000),
});
process.exit(report.jobs.submitted > 0 ? 0 : 1);
