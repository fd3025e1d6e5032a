import { createHash } from "node:crypto";
import type { Spawned } from "@thorntrail/emulator/entry";
import { Calls } from "../calls/calls.js";
import { callPolicies } from "../calls/policy.js";
import { Controller } from "../controller.js";
import type { Held } from "../overload/overload.js";
import type { PeerApi } from "../peers/links.js";
import { Invariants } from "../platform/invariants.js";
import type { Log } from "../platform/log.js";
import { Scope } from "../platform/scope.js";
import { luckOf } from "../platform/luck.js";
import { WatchfulClock } from "../platform/stall.js";
import { derive, type Settings } from "../settings/derived.js";
import { checkOperators } from "../settings/operators.js";
import { checkPlatform } from "../settings/platform-file.js";

/** This very controller, in the time and among the services of a rehearsal. */
export function spawnController(asked: Spawned, memory?: () => Held, adjust: (settings: Settings) => Settings = (settings) => settings) {
  const settings = adjust(derive(checkPlatform("rehearsal", asked.platform), checkOperators("rehearsal", {})));
  const verbose = process.env["SCENARIO_LOG"] !== undefined;
  const log = { ...asked.log, isLevelEnabled: (level: string) => verbose || level !== "debug" } as unknown as Log;
  // A violated invariant ends the rehearsal: in virtual time nobody is served by going on.
  const scope = new Scope(new WatchfulClock(asked.clock, settings.timing.stallMs), log, undefined, new Invariants(log, true));
  const { state, cloud, workers } = asked;
  // The same life draws the same pauses: a rehearsal repeats by its seed.
  const luck = luckOf(createHash("sha256").update(`${settings.self} ${asked.life}`).digest().readInt32BE());
  const calls = new Calls(scope.clock, callPolicies({ timing: settings.timing, writeRps: settings.state.writeRps }), luck);
  const around = { state, cloud, workers, peers: asked.peers as unknown as PeerApi, calls, ...(memory === undefined ? {} : { memory }) };
  const controller = new Controller(settings, around, scope, asked.life);
  controller.start();
  return Object.assign(controller, {
    onReport: controller.leader.onReport.bind(controller.leader),
    answer: controller.relay.answer.bind(controller.relay),
    close: () => scope.close(),
  });
}

export type Rehearsed = ReturnType<typeof spawnController>;
