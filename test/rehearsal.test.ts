import assert from "node:assert/strict";
import { spawn, spawnSync } from "node:child_process";
import { existsSync } from "node:fs";
import { test } from "node:test";
import {
  pairwiseCases,
  loadPlan,
  parsePlan,
  planForCase,
  runVirtual,
  minimisePlan,
  type RehearsalPlan,
  type Report,
} from "@thorntrail/emulator/entry";
import { decodeFault } from "@thorntrail/emulator/faults";
import { NetworkRules } from "@thorntrail/emulator/network-rules";
import fc from "fast-check";
import { injectionPointOf } from "../src/rehearsal/injection-points.js";
import { spawnController } from "../src/rehearsal/spawn-controller.js";

const base = await loadPlan("deploy/rehearsal.hcl");
const play = (plan: RehearsalPlan, seed = 1): ReturnType<typeof runVirtual> =>
  runVirtual({ plan, seed, spawn: spawnController, injectionPointOf });

function assertPassed(report: Report): void {
  assert.deepEqual(report.broken, [], report.plan);
  assert.deepEqual(report.jobs.unfinished, [], report.plan);
}

test("a rehearsal is deterministic: the same seed gives the same report", async () => {
  const [one, two] = [await play(base, 5), await play(base, 5)];
  assert.deepEqual(one, two);
  assert.equal(one.takeovers, 1);
  assertPassed(one);
});

// The cases of a campaign are pairwise combinations: every pair of values of two of the factors fault, injection point (the event
// at which the fault is injected), duration and second fault occurs in a case. The whole campaign is run by
// `thorntrail rehearse deploy/rehearsal.hcl --virtual --campaign 400`.
test("a short campaign: every eleventh pair of fault and injection point", async () => {
  for (const one of pairwiseCases(1).filter((_, i) => i % 11 === 0)) assertPassed(await play(planForCase(base, one)));
});

const fault = (raw: Record<string, unknown>, at: number): RehearsalPlan["fault"][number] => {
  const decoded = decodeFault(raw);
  if ("wrong" in decoded) throw new Error(decoded.wrong);
  return { at, fault: decoded.fault };
};

test("hard case: a rental is executed after its controller gave it up and died", async () => {
  const report = await play({
    ...base,
    fault: [
      fault({ kind: "late", target: "all", by: "cloud", what: "hire", count: 3, ms: 30_000 }, 0),
      fault({ kind: "restart", target: "leader", for: 40 }, 3),
    ],
  });
  assertPassed(report);
});

test("hard case: the store restarts between applying and answering requests, which are repeated; later it restarts under open watches", async () => {
  const report = await play({
    ...base,
    fault: [
      fault({ kind: "drop", target: "all", by: "state", what: "txn", count: 6 }, 20),
      fault({ kind: "restart-store", for: 3 }, 20.2),
      fault({ kind: "restart-store", for: 12 }, 50),
    ],
  });
  assertPassed(report);
});

test("hard case: a second restart of the store while it is down starts it only once, with all leases, and partitions keep their owners", async () => {
  // Guards against this failure, found in a randomised run: a second store process on the same data ended the leases that were
  // renewed at the first one, and partitions changed owners for ever.
  const report = await play({
    ...base,
    fault: [
      fault({ kind: "restart-store", for: 6.4 }, 30),
      fault({ kind: "restart-store", for: 2.4 }, 30.2),
      fault({ kind: "restart", target: "nest-2", for: 0.7 }, 55),
    ],
  });
  assertPassed(report);
  const unwanted = report.recoveries.filter(({ reason }) => reason === "owner gone" || reason === "owner suspected");
  assert.deepEqual(unwanted, []);
});

test("hard case: during a takeover the cloud lists no machines, although they run tasks, for longer than twice the list lag", async () => {
  const report = await play({
    ...base,
    fault: [
      fault({ kind: "restart", target: "leader", for: 30 }, 30),
      fault({ kind: "wrong", target: "all", by: "cloud", what: "list", form: "other", count: 8 }, 30),
    ],
  });
  assertPassed(report);
  // The cloud's empty list of machines is not trusted: no machine is given up because of it.
  const takeover = report.recoveries.find(({ reason }) => reason === "owner suspected");
  assert.ok(takeover !== undefined && takeover.fenced !== null && takeover.fenced < 12_000, JSON.stringify(report.recoveries));
});

test("hard case: two faults inside one takeover; a job with a deadline loses a machine and still finishes in time", async () => {
  const report = await play({
    ...base,
    fault: [
      fault({ kind: "restart", target: "leader", for: 40 }, 30),
      fault({ kind: "lose" }, 34),
      fault({ kind: "restart-store", for: 2 }, 40),
    ],
  });
  assertPassed(report);
  assert.equal(report.classes.find(({ name }) => name === "cierre")?.late, 0);
});

test("randomly generated faults break no rule, and all jobs finish", async () => {
  const faultChoices = fc.array(fc.tuple(fc.nat(pairwiseCases(1).length - 1), fc.integer({ min: 5, max: 80 })), {
    minLength: 1,
    maxLength: 4,
  });
  await fc.assert(
    fc.asyncProperty(faultChoices, fc.nat(1000), async (chosen, seed) => {
      const faults = chosen.map(([i, at]) => {
        const [first] = planForCase(base, pairwiseCases(1)[i]!).fault;
        return { at, fault: first!.fault };
      });
      assertPassed(await play({ ...base, fault: faults }, seed));
    }),
    { numRuns: 8, seed: 16 },
  );
});

test("the last job of an otherwise idle cluster is not assigned for ever to the one machine on which it fails", async () => {
  // Found by the test of randomly generated faults: the machine had failed no other job and the job had failed on no other machine,
  // so neither was considered faulty, and no other machine was rented.
  const faults = [
    fault({ kind: "fail" }, 25),
    fault({ kind: "drop", target: "all", by: "state", what: "txn", count: 3 }, 27),
    fault({ kind: "sick" }, 49),
  ];
  assertPassed(await play({ ...base, fault: faults }, 7));
});

test("a plan is minimised to the faults and work that still fail", async () => {
  const needed = (plan: RehearsalPlan): Promise<boolean> =>
    Promise.resolve(plan.fault.some(({ fault: { kind } }) => kind === "lose") && plan.work.some(({ name }) => name === "fotos"));
  const faults = ["restart", "lose", "sick", "freeze", "fail"].map((kind, i) => fault({ kind }, i));
  const { plan, runs } = await minimisePlan({ ...base, fault: faults }, needed, 100);
  assert.deepEqual([plan.fault.map((one) => one.fault.kind), plan.work.map(({ name }) => name)], [["lose"], ["fotos"]]);
  assert.ok(runs < 20);
});

test("links: calls held by a cut are delivered in order when it ends; rules with a count apply to no more calls than that", () => {
  const links = new NetworkRules();
  const call = { from: "nest-0", to: "state", what: "txn" };
  const delivered: number[] = [];
  const end = links.add({ from: "nest-0", to: "state", effect: { kind: "cut" } });
  for (const n of [1, 2])
    assert.equal(
      links.holdIfCut(call, () => delivered.push(n)),
      true,
    );
  assert.equal(links.isCut({ ...call, from: "state", to: "nest-0" }), true, "a cut has no direction");
  assert.equal(links.isCut({ ...call, from: "nest-1" }), false);
  end();
  assert.deepEqual(delivered, [1, 2]);
  links.add({ from: "*", to: "cloud", what: "hire", effect: { kind: "twice" }, count: 2 });
  const hire = { from: "nest-1", to: "cloud", what: "hire" };
  assert.deepEqual(
    [links.takeEffect({ ...hire, what: "list" }), links.takeEffect(hire), links.takeEffect(hire), links.takeEffect(hire)],
    [null, { kind: "twice" }, { kind: "twice" }, null],
  );
});

test("links: loss and duplication apply to one direction, and do not use up the count of other rules", () => {
  const links = new NetworkRules();
  const end = links.add({ from: "*", to: "i-000001", effect: { kind: "lose" } });
  assert.deepEqual(
    ["command", "answer"].map((what) => links.isLost({ from: "nest-0", to: "i-000001", what })),
    [true, true],
  );
  assert.equal(links.isLost({ from: "i-000001", to: "nest-0", what: "report" }), false, "reports of the machine arrive");
  links.add({ from: "workers", to: "controllers", what: "report", effect: { kind: "again", share: 0.5, mostMs: 12_000 } });
  const report = { from: "i-000001", to: "nest-0", what: "report" };
  const random = (first: number): (() => number) => {
    const values = [first, 1];
    return () => values.shift()!;
  };
  assert.deepEqual([links.copyDelayMs(report, random(0.4)), links.copyDelayMs(report, random(0.5))], [12_000, null]);
  assert.equal(links.copyDelayMs({ ...report, what: "command" }, random(0)), null);
  assert.equal(links.takeEffect(report), null);
  end();
  assert.equal(links.isLost({ from: "nest-0", to: "i-000001", what: "command" }), false);
});

test("malformed plans and faults are refused with file, field and expectation", async () => {
  const head = `seconds = 10\nteam {\n name = "t"\n}\nmachine {\n name = "m"\n cpus = 4\n ram = 4\n count = 2\n}\n`;
  const work = `work {\n name = "w"\n team = "t"\n cpus = 1\n run = 1\n every = 1\n jobs = 1\n}\n`;
  await parsePlan("p.hcl", head + work);
  for (const [text, wrong] of [
    [`${head}${work}fault {`, /p\.hcl/],
    [`${head}${work.replace('"t"', '"x"')}`, /p\.hcl: work\.0\.team: expected one of t/],
    [`${head}${work}fault {\n kind = "lose"\n}\n`, /fault\.0: expected either at/],
    [`${head}${work}fault {\n at = 1\n kind = "explode"\n}\n`, /fault\.0/],
    [`${head}${work}fault {\n at = 1\n kind = "lose"\n target = 3\n}\n`, /fault\.0\.target/],
    [`${head}${work}weather = 1\n`, /weather/],
    [work, /team/],
  ] as const)
    await assert.rejects(parsePlan("p.hcl", text), (error: Error) => wrong.test(error.message) && error.message.startsWith("p.hcl"));
  assert.match((decodeFault({ kind: "explode" }) as { wrong: string }).wrong, /expected one of restart, freeze/);
  assert.match((decodeFault({ kind: "freeze", for: -1 }) as { wrong: string }).wrong, /^for: /);
  assert.match((decodeFault(null) as { wrong: string }).wrong, /expected one of/);
});

test("real processes: an emulator started by hand carries out a fault and a job, and leaves no process", async () => {
  const child = spawn(process.execPath, ["target/main.js", "emulator", "serve", "deploy/demo.hcl", "--admin", "127.0.0.1:0"], {
    stdio: ["ignore", "pipe", "inherit"],
    env: { ...process.env, LOG_LEVEL: "error" },
  });
  try {
    const line = await new Promise<string>((resolve, reject) => {
      child.stdout.once("data", (data: Buffer) => resolve(data.toString()));
      child.once("exit", (code) => reject(new Error(`ended with ${code}`)));
    });
    const { admin, controllers } = JSON.parse(line) as { admin: string; controllers: Record<string, string> };
    const run = (...args: string[]): ReturnType<typeof spawnSync> =>
      spawnSync(process.execPath, ["target/main.js", ...args], { encoding: "utf8" });
    const job = {
      ...{
        ref: "run-000001",
        lane: "portal",
        desk: "mesa-azuay",
        shape: "sweep",
        urgency: "urgent",
        pieces: 2,
        cpus: 1,
        accelerators: 0,
        ramGb: 1,
      },
      ...{
        bundle: "b",
        imageGb: 0.1,
        builds: null,
        yard: null,
        samePlace: false,
        spread: false,
        loaner: false,
        guessS: 1,
        snapshotS: 0,
        flushS: 0,
      },
    };
    assert.equal(
      (await fetch(`http://${admin}/jobs`, { method: "POST", headers: { "content-type": "application/json" }, body: JSON.stringify(job) }))
        .status,
      202,
    );
    const bad = run("fault", "--emulator", admin, "freeze", "for=long");
    assert.equal(bad.status, 4);
    assert.match(String(bad.stderr), /fault freeze: for: /);
    const lost = run("fault", "--emulator", admin, "drop", "target=all", "by=state", "what=txn");
    assert.equal(lost.status, 0, String(lost.stderr));
    assert.deepEqual(JSON.parse(String(lost.stdout)), { kind: "drop", met: Object.keys(controllers) });
    let status: { over: number; broken: string[]; ended: string[] } = { over: 0, broken: [], ended: [] };
    for (let i = 0; i < 60 && status.over < 1; i++) {
      await new Promise((resolve) => setTimeout(resolve, 500));
      status = (await (await fetch(`http://${admin}/status`)).json()) as typeof status;
    }
    assert.deepEqual([status.over, status.broken, status.ended], [1, [], []]);
    assert.match(String(run("show", "--node", Object.values(controllers)[0]!, "run-000001").stdout), /"done"/);
  } finally {
    const exited = new Promise((resolve) => child.once("exit", resolve));
    child.kill("SIGTERM");
    await exited;
  }
  assert.equal(existsSync(`/proc/${child.pid}`), false);
});

test("a campaign divided between processes runs the same cases, and a malformed turn is refused", () => {
  const rehearse = (...args: string[]) =>
    spawnSync(process.execPath, ["target/main.js", "rehearse", "deploy/rehearsal.hcl", "--virtual", "--campaign", "3", ...args], {
      encoding: "utf8",
    });
  const last = (text: string): string => text.trim().split("\n").at(-1)!;
  const shared = rehearse("--processes", "2");
  assert.equal(shared.status, 0, shared.stderr);
  assert.match(last(shared.stdout), /^campaign: 3 rehearsals, \d met their moment, 0 broke a rule, 0 left work/);
  const bad = rehearse("--turn", "3/2");
  assert.equal(bad.status, 4);
  assert.match(last(bad.stderr), /--turn 3\/2: expected a turn such as 0\/4/);
});
