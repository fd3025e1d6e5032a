import { encodeJob } from "@thorntrail/protocol/jobs";
import { brokenRules } from "../checker.js";
import { seeded } from "../luck.js";
import { carryOut, type Fault, type Stage } from "../faults.js";
import { platformOf, USUAL } from "../place.js";
import { submissions, type Moment, type PlannedFault, type RehearsalPlan } from "../plan.js";
import { Recoveries } from "../recovery.js";
import { classFigures, type Report } from "../report.js";
import { World, type ControllerPort, type Seen, type Spawned } from "./world.js";

/** The world in virtual time as faults see it. */
export function virtualStage<C extends ControllerPort>(world: World<C>): Stage {
  const live = (host: string): number => [...world.workers.get(host)!.tasks.values()].filter((task) => task.state !== "exited").length;
  return {
    after: (ms, fn) => void world.clock.after(ms, fn),
    controllers: () => [...world.nodes.keys()],
    leader: () => {
      const counts = new Map<string, number>();
      for (const worker of world.workers.values()) counts.set(worker.reportsTo, (counts.get(worker.reportsTo) ?? 0) + 1);
      const up = [...world.nodes.values()].filter((node) => node.controller !== null).map(({ name }) => name);
      return up.sort((a, b) => (counts.get(b) ?? 0) - (counts.get(a) ?? 0) || (a < b ? -1 : 1))[0] ?? "nest-0";
    },
    machines: () => [...world.workers.keys()].sort((a, b) => live(b) - live(a) || (a < b ? -1 : 1)),
    restart: (name, awayMs) => {
      world.killNode(name);
      world.clock.after(awayMs, () => world.startNode(name));
    },
    freeze: (name, ms) => world.freeze(name, ms),
    restartStore: (awayMs) => world.state.restart(awayMs),
    outage: (of, on) => {
      if (of === "cloud") world.cloudOutage = on;
      else world.state.outage = on;
    },
    rule: (asked) => world.links.add(asked),
    limits: (limits) => world.state.limit(limits),
    lose: (host) => world.cloud.remove(host),
    warn: (host, seconds) => world.workers.get(host)?.warn(seconds),
    fail: (host) => world.cloud.fail(host),
    hang: (host, on) => {
      const worker = world.workers.get(host);
      if (worker !== undefined) worker.hanging = on;
    },
    slow: (host, factor) => world.slowDown(host, factor),
    sicken: (host) => void world.sickHosts.add(host),
  };
}

/** Says which moment something seen is, in the words of plans; null: none of them. */
export type MomentOf = (seen: Seen) => Moment | null;

export interface VirtualOptions<C extends ControllerPort> {
  plan: RehearsalPlan;
  seed: number;
  spawn: (asked: Spawned) => C;
  momentOf: MomentOf;
}

/** A fault at its moment: seen, and whom it met. */
export interface MetMoment {
  moment: Moment;
  kind: Fault["kind"];
  met: string[];
}

const POLL_MS = 5000;

/** Plays a plan in virtual time: the same models, rules and controllers, and the same seed gives the same run. */
export async function playVirtual<C extends ControllerPort>(options: VirtualOptions<C>): Promise<Report & { moments: MetMoment[] }> {
  const { plan, seed } = options;
  const { types, capacity } = platformOf(plan, USUAL);
  const world = new World<C>(
    {
      seed: seed + 1,
      teams: plan.team.map(({ name, cpus, most_cpus, gpus, most_gpus }) => ({
        name,
        cpus,
        cpus_max: most_cpus,
        gpus,
        gpus_max: most_gpus,
      })),
      types,
      capacity,
      controllers: plan.controllers,
      state: { rps: plan.state.rps, writeRps: plan.state.writes, valueKb: plan.state.value_kb, txnOps: plan.state.changes },
      next: {},
      objectives: plan.work
        .filter((one) => one.deadline !== undefined)
        .map((one) => ({ kind: "finished", class: one.name, within_s: one.deadline! })),
      ...(plan.boots === undefined ? {} : { boots: plan.boots }),
    },
    options.spawn,
  );
  const stage = virtualStage(world);
  const planned = submissions(plan, seeded(seed));
  const byRef = new Map(planned.map((one) => [one.spec.ref, one]));
  const recoveries = new Recoveries();
  const faults: Report["faults"] = [];
  const moments: MetMoment[] = [];
  let takeovers = 0;
  const strike = (fault: Fault): string[] => {
    const met = carryOut(stage, fault);
    faults.push({ at: Math.round(world.clock.now()) / 1000, kind: fault.kind, met });
    if (fault.kind === "restart" || fault.kind === "freeze" || fault.kind === "cut")
      for (const node of met) recoveries.lost(node, world.clock.now());
    return met;
  };
  const pending = plan.fault.filter((one): one is Extract<PlannedFault, { moment: Moment }> => "moment" in one);
  const came = (moment: Moment): void => {
    const i = pending.findIndex((one) => one.moment === moment && world.clock.now() >= one.after * 1000);
    if (i < 0) return;
    const [{ fault }] = pending.splice(i, 1) as [(typeof pending)[number]];
    // Right after what was seen, not in the midst of it.
    world.clock.after(0, () => moments.push({ moment, kind: fault.kind, met: strike(fault) }));
  };
  world.seen$.subscribe((seen) => {
    recoveries.hear(seen);
    if (seen.what === "part taken" && String(seen.detail["reason"]).startsWith("owner")) takeovers++;
    const moment = options.momentOf(seen);
    if (moment !== null) came(moment);
  });
  for (const one of plan.fault) if ("at" in one) world.clock.after(one.at * 1000, () => strike(one.fault));
  const told = new Map<string, "accepted" | "done" | "withdrawn">();
  const over = (ref: string): boolean => told.get(ref) === "done" || told.get(ref) === "withdrawn";
  const accepted = (ref: string): boolean => told.has(ref);
  const follow = async (one: (typeof planned)[number]): Promise<void> => {
    const { ref } = one.spec;
    world.runs.set(ref, one.runMs);
    came("submission");
    await world.submit(encodeJob(one.spec), one.spec);
    told.set(ref, "accepted");
    if (one.cancelMs !== null) world.clock.after(one.cancelMs, () => void world.cancel(ref));
    while (!over(ref)) {
      await new Promise<void>((resolve) => world.clock.after(POLL_MS, resolve));
      const status = await world.poll(ref);
      if (status === "done" || status === "withdrawn") told.set(ref, status);
    }
  };
  for (const one of planned) {
    const go = (): void => {
      if ((one.spec.needs ?? []).every(accepted)) void follow(one);
      else world.clock.after(250, go);
    };
    world.clock.after(one.atMs, go);
  }
  let firstOn = false;
  world.onHappening = (event) => {
    if (event.kind === "on" && !firstOn) {
      firstOn = true;
      came("first-placement");
    }
    if (event.kind === "off" && event.cause === "done") came("done-before-clear");
  };
  for (const name of world.nodes.keys()) world.startNode(name);
  const last = (plan.seconds + plan.settle) * 1000;
  while (world.clock.now() < last && !(world.clock.now() > plan.seconds * 1000 && planned.every(({ spec }) => over(spec.ref))))
    await world.clock.run(world.clock.now() + 1000);
  // Whatever was cancelled must be gone by then, and late messages have come.
  await world.clock.run(world.clock.now() + USUAL.cancelMs);
  const broken = brokenRules(world.history, world.limits());
  for (const name of world.nodes.keys()) world.killNode(name);
  return {
    plan: plan.name,
    mode: "virtual",
    seed,
    seconds: world.clock.now() / 1000,
    jobs: {
      submitted: planned.length,
      accepted: told.size,
      done: [...told.values()].filter((state) => state === "done").length,
      withdrawn: [...told.values()].filter((state) => state === "withdrawn").length,
      unfinished: planned.map(({ spec }) => spec.ref).filter((ref) => !over(ref)),
    },
    broken,
    faults,
    moments,
    takeovers,
    recoveries: recoveries.all,
    classes: classFigures(world.history, byRef),
    trouble: [...world.errors, ...world.state.oversized],
    cost: world.cloud.cost,
  };
}
