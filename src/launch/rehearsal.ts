import { loadPlan, playReal, FAST_TIMING } from "@thorntrail/emulator/entry";
import { injectionPointOf } from "../rehearsal/injection-points.js";

/** Time in seconds, from the start of the rehearsal, at which a controller is restarted and a machine is lost. */
const FAULTS_AT_S = 4;
/** Duration of the build's rehearsal in seconds. */
const DURATION_S = 9;

/**
 * Entry point of the build's rehearsal: plays the first seconds of the demo, with its faults, with controllers that save
 * V8's code cache. These seconds cover start-up, rentals, reports, placement, users' requests and a takeover. Arguments:
 * the program that replaces `main.js`, preceded by Node's flags.
 */
const plan = await loadPlan("deploy/demo.hcl");
const [restart, lose] = plan.fault;
const fault = [restart, lose].flatMap((one) => (one === undefined ? [] : [{ ...one, at: FAULTS_AT_S }]));
const report = await playReal({
  program: [process.execPath, ...process.argv.slice(2)],
  plan: { ...plan, seconds: DURATION_S, fault },
  timing: FAST_TIMING,
  seed: 1,
  injectionPointOf,
  progress: () => undefined,
  settleMs: 1000,
  stop: AbortSignal.timeout(30_000),
});
process.exit(report.jobs.submitted > 0 ? 0 : 1);
