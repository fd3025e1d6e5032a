/** Interface of the emulator package for the program's commands, its tests and its measurements. */
export { World, plainPlan, type ControllerPort, type Plan, type Spawned } from "./virtual/world.js";
export {
  demo,
  emulatorServe,
  faultCommand,
  finishRehearsal,
  rehearseReal,
  rehearseVirtual,
  type RehearseVirtualOptions,
} from "./commands.js";
export { CommandFailed } from "./cli.js";
export { rehearseSoak } from "./soak-command.js";
export { type MetMoment, type MomentOf } from "./conductor.js";
export { playVirtual, type VirtualOptions } from "./virtual/play.js";
export { cases, coverageTable, planOf, type Covered } from "./campaign.js";
export { shrink } from "./shrink.js";
export { loadPlan, parsePlan, type Moment, type RehearsalPlan } from "./plan.js";
export { DurationHistogram, type Report } from "./report.js";
export { BRISK } from "./place.js";
export { runSoakSeed, timingIndependent, type SoakRun } from "./soak.js";
export { playReal } from "./real/play.js";
