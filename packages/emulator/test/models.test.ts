import assert from "node:assert/strict";
import { request } from "node:http";
import { test } from "node:test";
import { CloudModel } from "../src/cloud-model.js";
import { ScenarioDriver, type UserClient } from "../src/scenario-driver.js";
import { injectFault, decodeFault, type SimulatedUserControl, type FaultEnvironment } from "../src/faults.js";
import { NetworkRules, type NetworkRule } from "../src/network-rules.js";
import { DEFAULT_TIMING } from "../src/environment.js";
import { parsePlan } from "../src/plan.js";
import { WorkerHost } from "../src/real/worker-host.js";
import { VirtualClock } from "../src/virtual/clock.js";

const HOUR_MS = 3_600_000;
const type = { name: "m", cpus: 4, gpus: 0, ram: 8, cacheGb: 10, fetchGbPerS: 1, price: 2, spotPrice: 1, bootS: 5, zones: ["a", "b"] };

test("reduced capacity refuses new rentals and keeps rented machines; a repeated request name still gets its first response", () => {
  const clock = new VirtualClock();
  const capacity = new Map(["a", "b"].flatMap((zone) => ["ordinary", "spot"].map((kind) => [`m/${zone}/${kind}`, 3] as const)));
  const cloud = new CloudModel(clock, { types: [type], capacity, lagMs: 0 });
  const offer = { type: "m", zone: "a", spot: true };
  const first = cloud.rent("r-1", offer, 2);
  assert.equal(first?.length, 2);
  const { affected, restore } = cloud.setCapacity("m", "*", undefined, 1);
  assert.deepEqual(affected, ["m/a/spot", "m/b/spot"]);
  assert.equal(cloud.rent("r-2", offer, 1), null);
  assert.deepEqual(cloud.rent("r-1", offer, 2), first);
  assert.equal(cloud.rentedCount, 2);
  assert.equal(cloud.rent("r-3", { ...offer, spot: false }, 5)?.length, 3, "on-demand capacity is unchanged");
  assert.deepEqual(cloud.setCapacity("nothing", "*", 1, 1).affected, []);
  assert.equal(cloud.setCapacity("*", "a", 0, 0).affected.length, 2);
  restore();
  assert.equal(cloud.rent("r-4", offer, 2)?.length, 1, "three spot machines again, two of them rented");
});

test("spot machines are charged the current price, ordinary ones a fixed price, and each at least a minute", async () => {
  const clock = new VirtualClock();
  const cloud = new CloudModel(clock, { types: [type], capacity: new Map([["m/a/spot", 1], ["m/a/ordinary", 1]]), lagMs: 0 }); // prettier-ignore
  const [spot] = cloud.rent("r-1", { type: "m", zone: "a", spot: true }, 1)!;
  await clock.run(HOUR_MS);
  assert.ok(Math.abs(cloud.cost - 1) < 1e-9, `${cloud.cost}`);
  cloud.spotFactor = 3;
  assert.equal(cloud.types()[0]!.spotPrice, 3);
  await clock.run(2 * HOUR_MS);
  cloud.spotFactor = 1;
  await clock.run(3 * HOUR_MS);
  cloud.remove(spot!);
  assert.ok(Math.abs(cloud.cost - 5) < 1e-9, `1 + 3 + 1, not ${cloud.cost}`);
  const [short] = cloud.rent("r-2", { type: "m", zone: "a", spot: false }, 1)!;
  await clock.run(clock.now() + 6000);
  cloud.remove(short!);
  assert.ok(Math.abs(cloud.cost - 5 - 2 / 60) < 1e-9, `${cloud.cost}`);
});

function post(addr: string, asker: string): Promise<number | null> {
  return new Promise((resolve) => {
    const body = JSON.stringify({ baton: 1, shift: 1, orders: [] });
    const [host, port] = addr.split(":");
    const headers = { "user-agent": `thorntrail (${asker})`, "content-length": Buffer.byteLength(body) };
    const req = request({ host: host!, port: Number(port), method: "POST", path: "/commands", headers, timeout: 300 }, (res) => {
      res.resume();
      resolve(res.statusCode ?? 0);
    });
    req.on("timeout", () => req.destroy());
    req.on("error", () => resolve(null));
    req.end(body);
  });
}

function workerHost(links: NetworkRules): WorkerHost {
  const began = performance.now();
  return new WorkerHost(links, new Map(), {
    ...DEFAULT_TIMING,
    reportMs: 60_000,
    clock: {
      now: () => performance.now() - began,
      after: (ms, fn) => {
        const timer = setTimeout(fn, ms);
        timer.unref();
        return () => clearTimeout(timer);
      },
    },
    random: () => 0.5,
    nodes: ["nest-0", "nest-1"],
    spec: () => undefined,
    runMs: () => 1000,
    fetchMs: () => 0,
    slowdown: () => 1,
    failsTasks: () => false,
    savedProgress: new Map(),
    onTaskStarted: () => undefined,
    onTaskEnded: () => undefined,
  });
}

const OFFER = { type: "m", zone: "a", spot: false };
const CAPACITY = { cpus: 1, gpus: 0, ram: 1 };

test("on real sockets a cut between one controller and the machines holds its commands and no others", async () => {
  const links = new NetworkRules();
  const host = workerHost(links);
  const addr = await host.boot("i-000001", OFFER, CAPACITY);
  const end = links.add({ from: "nest-0", to: "workers", effect: { kind: "cut" } });
  assert.equal(await post(addr, "nest-1"), 200);
  const { seq } = host.workers.get("i-000001")!;
  assert.equal(await post(addr, "nest-0"), null);
  assert.equal(host.workers.get("i-000001")!.seq, seq, "held, not executed");
  end();
  await new Promise((resolve) => setTimeout(resolve, 50));
  assert.ok(host.workers.get("i-000001")!.seq > seq, "executed when the cut ended");
  assert.equal(await post(addr, "nest-0"), 200);
  host.close();
});

test("on real sockets a split separates some machines from the target and others from all other controllers, in both directions or one", async () => {
  const links = new NetworkRules();
  const host = workerHost(links);
  const names = Array.from({ length: 8 }, (_, i) => `i-00000${i + 1}`);
  const addrs = new Map<string, string>();
  for (const name of names) addrs.set(name, await host.boot(name, OFFER, CAPACITY));
  const environment = {
    controllers: () => ["nest-0", "nest-1"],
    reportingTo: () => names,
    rule: (asked: NetworkRule) => links.add(asked),
    after: () => undefined,
  } as unknown as FaultEnvironment;
  const reachedBy = async (asker: string): Promise<string[]> => {
    const answers = await Promise.all(names.map(async (name) => [name, await post(addrs.get(name)!, asker)] as const));
    return answers.filter(([, status]) => status === 200).map(([name]) => name);
  };
  const inject = (fields: Record<string, unknown>): string[] => {
    const decoded = decodeFault({ kind: "split", target: "nest-0", ...fields });
    assert.ok("fault" in decoded, JSON.stringify(decoded));
    return injectFault(environment, decoded.fault, undefined as unknown as SimulatedUserControl);
  };
  const only = inject({ reaches: "only-target", share: 0.5, way: "both" });
  const others = inject({ reaches: "all-but-target", share: 0.5, way: "to-machines" });
  assert.ok(only.length > 0 && others.length > 0, JSON.stringify([only, others]));
  assert.deepEqual([...only, ...others].sort(), names, "each machine is affected exactly once");
  assert.deepEqual(await reachedBy("nest-0"), only);
  assert.deepEqual(await reachedBy("nest-1"), others);
  host.close();
});

test("a plan with an invalid split is rejected: target, share, direction", async () => {
  const parseError = async (fields: string): Promise<string> => {
    const fault = `fault {\n kind = "split"\n at = 3\n reaches = "only-target"\n ${fields}\n}\n`;
    return parsePlan("plan.hcl", PLAN + fault).then(
      () => "taken",
      (error: Error) => error.message,
    );
  };
  assert.equal(await parseError('target = "nest-1"'), "taken");
  assert.match(await parseError('target = "nest-7"'), /plan\.hcl: fault\.2\.target: nest-7: expected a controller, leader or nest-0/);
  assert.match(await parseError('target = "all"'), /plan\.hcl: fault\.2\.target: /);
  assert.match(await parseError("share = 1.5"), /plan\.hcl: fault\.2\.share: .*<=1/);
  assert.match(await parseError("share = 0"), /plan\.hcl: fault\.2\.share: .*>0/);
  assert.match(await parseError('way = "sideways"'), /plan\.hcl: fault\.2\.way: .*to-controllers/);
});

const PLAN = `
name = "x"
seconds = 60
team { name = "t" }
machine {
  name = "m"
  cpus = 4
  ram = 8
  count = 1
}
work {
  name = "first"
  team = "t"
  cpus = 1
  run = 1
  every = 1
  jobs = 1
}
work {
  name = "second"
  team = "t"
  cpus = 1
  run = 1
  every = 1
  jobs = 1
  after = "first"
}
fault {
  moment = "submission"
  from   = 5
  kind   = "prices"
  factor = 2
  for    = 7
}
fault {
  at     = 20
  kind   = "capacity"
  target = "m"
  count  = 0
  for    = 3
}
`;

test("the driver submits jobs once their dependencies are accepted, injects faults at injection points, polls unknown jobs, and stops", async () => {
  const clock = new VirtualClock();
  const asked: string[] = [];
  const actions: string[] = [];
  const users: UserClient = {
    submit: async ({ spec }) => {
      asked.push(`${Math.round(clock.now() / 1000)} submit ${spec.klass}`);
      await new Promise<void>((resolve) => clock.after(6000, resolve));
      return true;
    },
    poll: (ref) => {
      asked.push(`poll ${ref}`);
      return Promise.resolve(ref.startsWith("run-9") ? "" : clock.now() > 30_000 ? "done" : "running");
    },
    cancel: () => Promise.resolve(),
  };
  const environment = {
    after: (ms: number, fn: () => void) => void clock.after(ms, fn),
    prepare: () => Promise.resolve(),
    prices: (factor: number) => void actions.push(`${Math.round(clock.now() / 1000)} prices ${factor}`),
    capacity: (...of: unknown[]) => (
      actions.push(`${Math.round(clock.now() / 1000)} capacity ${of.join()}`),
      { affected: ["m/a/ordinary"], restore: () => void actions.push(`${Math.round(clock.now() / 1000)} restored`) }
    ),
  } as unknown as FaultEnvironment;
  const plan = await parsePlan("plan.hcl", PLAN);
  const simulatedUsers = { enableBehaviour: () => [], cancelLongestRunning: () => ({ refs: [], hosts: [] }) };
  const driver = new ScenarioDriver({
    plan,
    seed: 1,
    environment,
    users,
    simulatedUsers,
    clock,
    injectionPointOf: () => null,
    pollMs: () => 2000,
    history: () => [],
  });
  driver.observe({ at: 0, node: "n", what: "part taken", detail: { reason: "owner gone" } });
  driver.start();
  await clock.run(60_000);
  assert.deepEqual(asked.slice(0, 2), ["0 submit first", "6 submit second"]);
  // The first submission was before the fault's time `from`, so the price fault is injected at the second submission.
  assert.deepEqual(actions, ["6 prices 2", "13 prices 1", "20 capacity m,*,0,", "23 restored"]);
  assert.deepEqual(driver.faultsAtPoints, [{ moment: "submission", kind: "prices", met: ["cloud"] }]);
  assert.ok(asked.filter((one) => one.startsWith("poll run-9")).length >= 3);
  assert.equal(driver.allFinished, true);
  const report = driver.report({ mode: "virtual", copies: {}, broken: [], trouble: [], cost: 0 });
  assert.deepEqual([report.jobs.done, report.takeovers, report.faults.length], [2, 1, 2]);
  driver.stop();
  const count = asked.length;
  await clock.run(120_000);
  assert.equal(asked.length, count);
});
