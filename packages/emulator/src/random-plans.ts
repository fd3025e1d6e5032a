/**
 * Generates random rehearsal plans from seeds: two or three faults of many kinds, the later ones placed relative to the
 * first. Three of ten seeds generate a scenario in which two controllers both act as owner of a partition. A generated
 * plan contains all faults of its run, so it can be replayed without the generator.
 */
import { COPIED_CHANNELS, decodeFault } from "./faults.js";
import { seededRandom } from "./random.js";
import { INJECTION_POINTS, type TimedFault, type RehearsalPlan } from "./plan.js";

/** Generates one fault as it is written in a plan file. */
type FaultGenerator = (random: RandomSource) => Record<string, unknown>;

class RandomSource {
  constructor(private readonly next: () => number) {}

  decimal(min: number, max: number): number {
    return Math.round((min + this.next() * (max - min)) * 100) / 100;
  }

  integer(min: number, max: number): number {
    return min + Math.floor(this.next() * (max - min + 1));
  }

  pick<T>(list: readonly T[]): T {
    return list[Math.floor(this.next() * list.length)]!;
  }
}

/**
 * Ranges from which the durations of faults are drawn, in seconds: an instant, a few report intervals, about the duration
 * of a lease, longer than a lease, and longer than the time limit for a cancellation.
 */
const DURATIONS_S: readonly (readonly [number, number])[] = [
  [0.1, 1],
  [2, 8],
  [16, 19],
  [22, 35],
  [45, 60],
];

const randomController = (random: RandomSource): string => random.pick(["leader", "leader", "nest-0", "nest-1", "nest-2"]);
const randomDuration = (random: RandomSource): number => random.decimal(...random.pick(DURATIONS_S));

const FAULT_GENERATORS: readonly FaultGenerator[] = [
  (random) => ({
    kind: "restart",
    target: random.pick(["leader", "all", "nest-0", "nest-1"]),
    for: random.decimal(...random.pick(DURATIONS_S.slice(0, 4))),
  }),
  (random) => ({ kind: "restart", target: randomController(random), for: random.decimal(0.05, 1) }),
  (random) => ({ kind: "freeze", target: randomController(random), for: random.decimal(1, 25) }),
  (random) => ({ kind: "refuse", target: randomController(random), by: "state", for: randomDuration(random) }),
  (random) => ({ kind: "outage", of: "state", for: randomDuration(random) }),
  (random) => ({ kind: "outage", of: "cloud", for: randomDuration(random) }),
  (random) => ({ kind: "restart-store", for: random.decimal(0.5, 8) }),
  (random) => ({
    kind: "cut",
    target: randomController(random),
    from: random.pick(["state", "workers", "controllers", "cloud", "all"]),
    for: randomDuration(random),
  }),
  (random) => ({
    kind: "delay",
    target: randomController(random),
    to: random.pick(["state", "workers"]),
    ms: random.integer(500, 9000),
    for: random.decimal(2, 30),
  }),
  (random) => ({
    kind: "late",
    target: random.pick(["all", "leader"]),
    by: "state",
    what: "txn",
    count: random.integer(1, 5),
    ms: random.integer(2000, 12_000),
  }),
  (random) => ({
    kind: "late",
    target: "all",
    by: "cloud",
    what: random.pick(["hire", "remove"]),
    count: random.integer(1, 3),
    ms: random.integer(2000, 60_000),
  }),
  (random) => ({ kind: "drop", target: "all", by: "state", what: "txn", count: random.integer(1, 5) }),
  (random) => ({ kind: "twice", target: "all", by: random.pick(["state", "cloud"]), count: random.integer(1, 5) }),
  (random) => ({ kind: "wrong", target: "all", by: "state", what: "txn", form: "error-after", count: random.integer(1, 3) }),
  (random) => ({ kind: "deaf", target: "busiest", count: random.integer(1, 4), for: randomDuration(random) }),
  (random) => ({ kind: "late-reports", share: random.pick([0.1, 0.5, 1]), ms: random.integer(3000, 60_000), for: random.decimal(5, 60) }),
  (random) => ({ kind: "late-reports", share: random.pick([0.1, 0.5, 1]), for_next: true, for: random.decimal(5, 60) }),
  (random) => ({
    kind: "late-writes",
    share: random.pick([0.1, 0.3, 0.6]),
    at_once: random.pick([true, false]),
    for: random.decimal(5, 40),
  }),
  (random) => ({ kind: "mute", target: "busiest", count: random.integer(1, 4), for: randomDuration(random) }),
  (random) => ({ kind: "cancel-now", count: random.integer(1, 6), hang: random.pick([0, random.decimal(2, 40)]) }),
  (random) => ({ kind: "cancel-at-end", share: random.pick([0.3, 1]), for: random.decimal(10, 60) }),
  (random) => ({ kind: "odd-requests", for: random.decimal(5, 60) }),
  (random) => ({ kind: "close-looks", for: random.decimal(10, 60) }),
  (random) => ({ kind: "cut-machine", target: "busiest", for: randomDuration(random) }),
  (random) => ({ kind: "hang", target: "busiest", for: randomDuration(random) }),
  (random) => ({ kind: "lose", target: "busiest", count: random.integer(1, 3) }),
  (random) => ({ kind: "lose", target: "busiest", count: random.integer(4, 8) }),
  (random) => ({ kind: "capacity", target: "*", zone: random.pick(["a", "b"]), count: 0, spot: 0, for: random.decimal(5, 60) }),
  (random) => ({ kind: "take", target: "busiest", notice: random.decimal(0, 20) }),
  (random) => ({ kind: "slow", target: "busiest", factor: random.integer(2, 5) }),
];

const CONTROLLERS = ["nest-0", "nest-1", "nest-2"] as const;
/** Share of the seeds that generate a scenario in which an owner and its successor both act as owner of a partition. */
const DUAL_OWNER_SHARE = 0.3;

/**
 * Generates a scenario with two acting owners: one controller loses the state service and keeps answering workers until
 * it has to stop; the commands of its successors arrive late. Meanwhile machines contact other controllers, jobs are
 * cancelled, and some machines then receive nothing from any controller. Independently generated faults almost never
 * combine in this way: earlier defects of this kind were found only by reading the code.
 */
function dualOwnerFaults(random: RandomSource, at: number): TimedFault[] {
  const formerOwner = random.pick(CONTROLLERS);
  const faults: [after: number, raw: Record<string, unknown>][] = [
    [
      0,
      random.pick([
        { kind: "refuse", target: formerOwner, by: "state", for: random.decimal(30, 60) },
        { kind: "cut", target: formerOwner, from: "state", for: random.decimal(30, 60) },
      ]),
    ],
  ];
  // In half of these scenarios all steps occur: the successors' commands are delayed by at least 15 s, the former owner's commands are
  // delayed too, and afterwards the successors can neither reach the machines nor delete them.
  const allSteps = random.pick([true, false]);
  const include = (share: number): boolean => allSteps || random.decimal(0, 1) < share;
  const successors = CONTROLLERS.filter((name) => name !== formerOwner);
  const delayedForS = random.decimal(12, 26);
  for (const target of successors) {
    const ms = allSteps ? random.integer(15_000, 40_000) : random.pick([random.integer(4200, 9000), random.integer(15_000, 40_000)]);
    faults.push([random.decimal(0, 4), { kind: "delay", target, to: "workers", ms, for: delayedForS }]);
  }
  if (include(0.7))
    faults.push([
      random.decimal(4, 7),
      { kind: "delay", target: formerOwner, to: "workers", ms: 4500, for: random.decimal(allSteps ? 3.5 : 0.5, 5) },
    ]);
  if (include(0.5)) {
    const after = random.decimal(16, 20);
    for (const target of successors) faults.push([after, { kind: "cut", target, from: "workers", for: random.decimal(35, 60) }]);
  }
  if (include(0.6)) faults.push([random.decimal(5, 14), { kind: "outage", of: "cloud", for: random.decimal(30, 55) }]);
  if (random.decimal(0, 1) < 0.7)
    faults.push([random.decimal(0, 2), { kind: "cancel-now", count: random.integer(2, 8), hang: random.pick([0, 0, 12]) }]);
  if (random.decimal(0, 1) < 0.6)
    faults.push([random.decimal(18, 32), { kind: "deaf", target: "busiest", count: random.integer(3, 12), for: random.decimal(20, 35) }]);
  return faults.map(([after, raw]) => ({ at: at + after, fault: parseFault(raw) }));
}

/**
 * Faults of soak runs. Those that only soak runs generate are listed here, because an addition to `FAULT_GENERATORS`
 * would change the plan that `rehearse --drawn` generates for each seed. More frequent kinds are listed several times.
 */
const SOAK_FAULT_GENERATORS: readonly FaultGenerator[] = [
  ...FAULT_GENERATORS,
  (random) => ({ kind: "late-commands", share: random.pick([0.2, 0.5]), for: random.decimal(5, 30) }),
  (random) => ({ kind: "late-commands", share: random.pick([0.2, 0.5]), for: random.decimal(5, 30) }),
  (random) => ({ kind: "late-reports", share: random.pick([0.05, 0.2]), for_next: true, for: random.decimal(10, 40) }),
  (random) => ({ kind: "late-reports", share: random.pick([0.2, 0.5]), ms: random.integer(3000, 30_000), for: random.decimal(10, 40) }),
  (random) => ({
    kind: "lose-sent",
    target: randomController(random),
    to: random.pick(["state", "workers", "controllers", "all"]),
    for: random.decimal(1, 20),
  }),
  (random) => ({
    kind: "split",
    target: random.pick(CONTROLLERS),
    reaches: random.pick(["only-target", "all-but-target"]),
    share: random.decimal(0.2, 0.8),
    way: random.pick(["both", "to-controllers", "to-machines"]),
    for: random.decimal(...random.pick(DURATIONS_S.slice(1))),
  }),
  (random) => ({ kind: "restart", target: randomController(random), for: random.decimal(0.05, 0.3) }),
  (random) => ({ kind: "restart", target: randomController(random), for: random.decimal(2, 12) }),
  (random) => ({ kind: "freeze", target: randomController(random), for: random.decimal(1, 25) }),
];

/** Share of the seeds of soak runs in which messages that were carried out arrive once more. */
const COPIES_SHARE = 0.5;
/** Factor that derives the seed of these faults' own random sequence, as `REFUSED_SPLIT_SEED_FACTOR` does for its scenario. */
const COPIES_SEED_FACTOR = 0x85ebca6b;

/**
 * Generates copies of commands for most of a run, and of one other channel, beside a machine on which all tasks fail: only tasks
 * that end soon after their start meet a copy that the network delays by seconds.
 */
function copyFaults(random: RandomSource, seconds: number): TimedFault[] {
  const at = Math.min(WARMUP_S, seconds / 2) / 2;
  const lastsS = Math.max(1, seconds - at);
  const delays = (): Record<string, unknown> =>
    random.pick([{ least_ms: 200, ms: 1000 }, { least_ms: 300, ms: 6000 }, { least_ms: 300, ms: 17_000 }, { ms: 70_000 }, { kept: true }]);
  const copies = (of: string): Record<string, unknown> => ({
    kind: "copies",
    of,
    share: random.pick([0.3, 0.6, 1]),
    for: lastsS,
    ...delays(),
  });
  return [
    { at, fault: parseFault(copies("commands")) },
    { at, fault: parseFault(copies(random.pick(COPIED_CHANNELS.filter((of) => of !== "commands")))) },
    { at: random.decimal(at, seconds), fault: parseFault({ kind: "sick", target: "busiest" }) },
  ];
}

/**
 * Share of the seeds of soak runs that add a scenario in which the state service refuses the requests of one controller
 * while the network splits its machines.
 */
const REFUSED_SPLIT_SHARE = 0.4;
/**
 * Factor that derives the seed of this scenario's own random sequence from the seed of the run, so that the run's other
 * faults do not depend on the scenario. Odd and large, so that consecutive seeds give unrelated sequences.
 */
const REFUSED_SPLIT_SEED_FACTOR = 0x9e3779b1;

/**
 * Generates a scenario in which the state service refuses one controller for longer than a lease, while some machines
 * reach only that controller and others every controller but it. The successor (the next owner of the controller's
 * partition) answers the second group while the refused controller may still consider these machines its own, and cannot
 * reach the first group.
 */
function refusedWhileSplitFaults(random: RandomSource, at: number): TimedFault[] {
  const target = random.pick(CONTROLLERS);
  const lastsS = random.decimal(28, 45);
  const onlyTargetShare = random.decimal(0.25, 0.6);
  const after = random.decimal(-0.5, 1.5);
  const randomWay = (): string => random.pick(["both", "both", "to-controllers", "to-machines"]);
  const faults: [after: number, raw: Record<string, unknown>][] = [
    [0, { kind: "refuse", target, by: "state", for: lastsS }],
    [after, { kind: "split", target, reaches: "only-target", share: onlyTargetShare, way: randomWay(), for: lastsS }],
    [after, { kind: "split", target, reaches: "all-but-target", share: 1 - onlyTargetShare, way: randomWay(), for: lastsS }],
  ];
  // During an outage of the cloud, the successor cannot end its wait for an unreachable machine by deleting it.
  if (random.decimal(0, 1) < 0.8) faults.push([random.decimal(0, 4), { kind: "outage", of: "cloud", for: random.decimal(30, 50) }]);
  return faults.map(([later, raw]) => ({ at: at + later, fault: parseFault(raw) }));
}

/**
 * Seconds after the start of a run by which machines are up and the first work runs. Generated faults begin after that,
 * or after half of a soak run that is shorter than twice this time.
 */
const WARMUP_S = 12;

function parseFault(raw: Record<string, unknown>): TimedFault["fault"] {
  const decoded = decodeFault(raw);
  if ("wrong" in decoded) throw new Error(`${JSON.stringify(raw)}: ${decoded.wrong}`);
  return decoded.fault;
}

const randomFault = (random: RandomSource): TimedFault["fault"] => parseFault(random.pick(FAULT_GENERATORS)(random));

/** Mean time between the faults of a soak plan, in seconds. */
const SOAK_FAULT_INTERVAL_S = 6;

/** Adds faults at random times to the plan's own; the same seed generates the same plan. */
export function soakPlan(base: RehearsalPlan, seed: number): RehearsalPlan {
  const random = new RandomSource(seededRandom(seed));
  const count = Math.max(1, Math.round((base.seconds - WARMUP_S) / SOAK_FAULT_INTERVAL_S));
  const fault = Array.from({ length: count }, (): TimedFault => {
    const at = random.decimal(Math.min(WARMUP_S, base.seconds / 2), base.seconds);
    return { at, fault: parseFault(random.pick(SOAK_FAULT_GENERATORS)(random)) };
  });
  const splitRandom = new RandomSource(seededRandom(Math.imul(seed + 1, REFUSED_SPLIT_SEED_FACTOR)));
  if (splitRandom.decimal(0, 1) < REFUSED_SPLIT_SHARE)
    fault.push(...refusedWhileSplitFaults(splitRandom, splitRandom.decimal(WARMUP_S + 1, Math.max(WARMUP_S + 1, base.seconds - 30))));
  const copiesRandom = new RandomSource(seededRandom(Math.imul(seed + 1, COPIES_SEED_FACTOR)));
  if (copiesRandom.decimal(0, 1) < COPIES_SHARE) fault.push(...copyFaults(copiesRandom, base.seconds));
  return { ...base, name: `${base.name}, seed ${seed}`, fault: [...base.fault, ...fault] };
}

/** Replaces the plan's faults by randomly generated ones; the same seed generates the same plan. */
export function randomPlan(base: RehearsalPlan, seed: number): RehearsalPlan {
  const random = new RandomSource(seededRandom(seed));
  const name = `${base.name}, drawn ${seed}`;
  if (random.decimal(0, 1) < DUAL_OWNER_SHARE)
    return { ...base, name, fault: dualOwnerFaults(random, random.decimal(WARMUP_S, Math.max(WARMUP_S, base.seconds * 0.5))) };
  const first = randomFault(random);
  const at = random.decimal(WARMUP_S, Math.max(WARMUP_S, base.seconds * 0.6));
  const fault: TimedFault[] = [{ at, fault: first }];
  const lastsS = "for" in first ? (first.for ?? 0) : 0;
  for (let more = random.integer(1, 2); more > 0; more--) {
    const second = randomFault(random);
    // The further fault is placed during the first one, around the end of the first, or at an injection point after its start.
    const relation = random.integer(0, 2);
    if (relation === 0) fault.push({ at: at + random.decimal(0, Math.max(2, lastsS)), fault: second });
    else if (relation === 1) fault.push({ at: at + Math.max(0, lastsS + random.decimal(-1, 1)), fault: second });
    else fault.push({ moment: random.pick(INJECTION_POINTS), after: at, fault: second });
  }
  return { ...base, name, fault };
}
