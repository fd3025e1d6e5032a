export { World, plainPlan, type ControllerPort, type Plan, type Spawned } from "./virtual/world.js";
export {
  CommandFailed,
  demo,
  emulatorServe,
  faultCommand,
  finish,
  rehearseReal,
  rehearseSoak,
  rehearseVirtual,
  type RehearseVirtual,
} from "./commands.js";
export { type MetMoment, type MomentOf } from "./conductor.js";
export { playVirtual, type VirtualOptions } from "./virtual/play.js";
export { cases, coverageTable, planOf, type Covered } from "./campaign.js";
export { shrink } from "./shrink.js";
export { loadPlan, parsePlan, type Moment, type RehearsalPlan } from "./plan.js";
export { Spread, type Report } from "./report.js";
export { BRISK } from "./place.js";
export { soakSeed, timeless, type SoakRun } from "./soak.js";
export { playReal } from "./real/play.js";
