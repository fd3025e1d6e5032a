import { createHash } from "node:crypto";
import type { ControllerDependencies } from "@thorntrail/emulator/entry";
import { Calls } from "../calls/calls.js";
import { callPolicies } from "../calls/policy.js";
import { Controller } from "../controller.js";
import type { MemoryUsage } from "../overload/overload.js";
import type { PeerApi } from "../peers/links.js";
import { Invariants } from "../platform/invariants.js";
import type { Log } from "../platform/log.js";
import { Scope } from "../platform/scope.js";
import { seededRandom } from "../platform/seeded-random.js";
import { StallDetectingClock } from "../platform/stall.js";
import { derive, type Settings } from "../settings/derived.js";
import { checkOperators } from "../settings/operators.js";
import { checkPlatform } from "../settings/platform-file.js";

/** Starts a controller on the clock, state service, cloud, workers and peers that a rehearsal provides. */
export function spawnController(
  environment: ControllerDependencies,
  memory?: () => MemoryUsage,
  adjust: (settings: Settings) => Settings = (settings) => settings,
  { strictInvariants = true }: { strictInvariants?: boolean } = {},
) {
  const settings = adjust(derive(checkPlatform("rehearsal", environment.platform), checkOperators("rehearsal", {})));
  const verbose = process.env["SCENARIO_LOG"] !== undefined;
  const log = { ...environment.log, isLevelEnabled: (level: string) => verbose || level !== "debug" } as unknown as Log;
  // By default a violated invariant ends the rehearsal, because in virtual time there are no users for whom to continue.
  const invariants = new Invariants(log, strictInvariants);
  const scope = new Scope(new StallDetectingClock(environment.clock, settings.timing.stallMs), log, undefined, invariants);
  const { state, cloud, workers } = environment;
  // The random source is seeded with the node and its incarnation, so that rehearsals with the same seed run identically.
  const random = seededRandom(createHash("sha256").update(`${settings.self} ${environment.incarnation}`).digest().readInt32BE());
  const calls = new Calls(scope.clock, callPolicies({ timing: settings.timing, writeRps: settings.state.writeRps }), random);
  const deps = {
    state,
    cloud,
    workers,
    peers: environment.peers as unknown as PeerApi,
    calls,
    ...(memory === undefined ? {} : { memory }),
  };
  const controller = new Controller(settings, deps, scope, environment.incarnation);
  controller.start();
  return Object.assign(controller, {
    onReport: controller.leader.onReport.bind(controller.leader),
    answer: controller.relay.answer.bind(controller.relay),
    close: () => scope.close(),
  });
}

/** A controller in a rehearsal. */
export type RehearsedController = ReturnType<typeof spawnController>;
