export { World, plainPlan, type ControllerPort, type Plan, type Spawned } from "./virtual/world.js";
export { CommandFailed, demo, finish, rehearseReal } from "./commands.js";
