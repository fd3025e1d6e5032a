/** Interface of the emulator package for the program's commands, its tests and its measurements. */
export { VirtualWorld, defaultWorldOptions, type ControllerPort, type WorldOptions, type ControllerDependencies } from "./virtual/world.js";
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
export { type InjectedAtPoint, type InjectionPointOf } from "./scenario-driver.js";
export { runVirtual, type VirtualRunOptions } from "./virtual/play.js";
export { pairwiseCases, formatCoverageTable, planForCase, type CaseResult } from "./campaign.js";
export { minimisePlan } from "./minimise-plan.js";
export { loadPlan, parsePlan, type InjectionPoint, type RehearsalPlan } from "./plan.js";
export { DurationHistogram, type Report } from "./report.js";
export { FAST_TIMING } from "./environment.js";
export { runSoakSeed, timingIndependent, type SoakRun } from "./soak.js";
export { playReal } from "./real/play.js";
