/** Runs rehearsal plans (workload and faults) in virtual time. */
import { encodeJob } from "@thorntrail/protocol/jobs";
import { findViolations } from "../checker.js";
import { ScenarioDriver, type InjectedAtPoint, type InjectionPointOf } from "../scenario-driver.js";
import type { FaultEnvironment } from "../faults.js";
import { buildPlatform, DEFAULT_TIMING } from "../environment.js";
import type { RehearsalPlan } from "../plan.js";
import type { Report } from "../report.js";
import { startDuplicate } from "../worker-model.js";
import { VirtualWorld, type ControllerPort, type ControllerDependencies } from "./world.js";

/** Returns an interface by which faults are injected into the virtual world. */
export function virtualEnvironment<C extends ControllerPort>(world: VirtualWorld<C>): FaultEnvironment {
  const activeTaskCount = (host: string): number =>
    [...world.workers.get(host)!.tasks.values()].filter((task) => task.state !== "exited").length;
  return {
    after: (ms, fn) => void world.clock.after(ms, fn),
    controllers: () => [...world.nodes.keys()],
    leader: () => {
      const counts = new Map<string, number>();
      for (const worker of world.workers.values()) counts.set(worker.reportsTo, (counts.get(worker.reportsTo) ?? 0) + 1);
      const up = [...world.nodes.values()].filter((node) => node.controller !== null).map(({ name }) => name);
      return up.sort((a, b) => (counts.get(b) ?? 0) - (counts.get(a) ?? 0) || (a < b ? -1 : 1))[0] ?? "nest-0";
    },
    machines: () => [...world.workers.keys()].sort((a, b) => activeTaskCount(b) - activeTaskCount(a) || (a < b ? -1 : 1)),
    reportingTo: (controller) => [...world.workers.values()].filter(({ reportsTo }) => reportsTo === controller).map(({ host }) => host),
    restart: (name, downMs) => {
      world.killController(name);
      world.clock.after(downMs, () => world.startController(name));
    },
    freeze: (name, ms) => world.freeze(name, ms),
    restartStore: (downMs) => world.state.restart(downMs),
    outage: (of, on) => {
      if (of === "cloud") world.cloudOutage = on;
      else world.state.outage = on;
    },
    rule: (asked) => world.links.add(asked),
    limits: (limits) => world.state.changeLimits(limits),
    lose: (host) => world.cloud.remove(host),
    warn: (host, seconds) => world.workers.get(host)?.announceRemoval(seconds),
    fail: (host) => world.cloud.fail(host),
    hang: (host, on) => {
      const worker = world.workers.get(host);
      if (worker !== undefined) worker.hanging = on;
    },
    slow: (host, factor) => world.slowDown(host, factor),
    sicken: (host) => void world.failingHosts.add(host),
    startTwice: () => startDuplicate(world.workers.values()),
    capacity: (type, zone, ordinary, spot) => world.cloud.setCapacity(type, zone, ordinary, spot),
    prices: (factor) => {
      world.cloud.spotFactor = factor;
    },
  };
}

/** Plan, seed and controller factory of a run in virtual time. */
export interface VirtualRunOptions<C extends ControllerPort> {
  plan: RehearsalPlan;
  seed: number;
  spawn: (asked: ControllerDependencies) => C;
  injectionPointOf: InjectionPointOf;
}

const POLL_MS = 5000;

/** Runs a plan in virtual time, with the same models, rules and controllers as on real processes. The same seed gives the same run. */
export async function runVirtual<C extends ControllerPort>(
  options: VirtualRunOptions<C>,
): Promise<Report & { moments: InjectedAtPoint[] }> {
  const { plan, seed } = options;
  const { types, capacity } = buildPlatform(plan, DEFAULT_TIMING);
  const world = new VirtualWorld<C>(
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
  const driver = new ScenarioDriver({
    plan,
    seed,
    environment: virtualEnvironment(world),
    clock: world.clock,
    injectionPointOf: options.injectionPointOf,
    simulatedUsers: world.simulatedUsers,
    pollMs: () => POLL_MS,
    history: () => world.history,
    users: {
      submit: async (one) => {
        world.runTimesMs.set(one.spec.ref, one.runMs);
        return world.submit(encodeJob(one.spec), one.spec);
      },
      poll: (ref) => world.poll(ref),
      cancel: (ref) => world.cancel(ref),
    },
  });
  world.observations$.subscribe((seen) => driver.observe(seen));
  world.onEvent = (event) => driver.recordEvent(event);
  driver.start();
  for (const name of world.nodes.keys()) world.startController(name);
  const endMs = (plan.seconds + plan.settle) * 1000;
  while (world.clock.now() < endMs && !(world.clock.now() > plan.seconds * 1000 && driver.allFinished))
    await world.clock.run(world.clock.now() + 1000);
  // The run continues until the time limit of any cancellation has passed and delayed messages have arrived.
  await world.clock.run(world.clock.now() + DEFAULT_TIMING.cancelMs);
  const broken = findViolations(world.history, { ...world.limits(), faultsEndAt: driver.faultsEndAt() });
  driver.stop();
  for (const name of world.nodes.keys()) world.killController(name);
  return driver.report({
    mode: "virtual",
    copies: world.copies.counts,
    broken,
    trouble: [...world.errors, ...world.state.oversized],
    cost: world.cloud.cost,
  });
}
