import { decodeFault } from "./faults.js";
import { seeded } from "./luck.js";
import { MOMENTS, type PlannedFault, type RehearsalPlan } from "./plan.js";

/**
 * Randomly generated plans: two or three faults of all kinds, the later ones placed relative to the first. Three of ten
 * seeds generate a partition with two controllers that both act as its owner. The plan of a seed describes its run
 * completely and can be replayed on its own.
 */
type Draw = (luck: Luck) => Record<string, unknown>;

class Luck {
  constructor(private readonly next: () => number) {}

  between(least: number, most: number): number {
    return Math.round((least + this.next() * (most - least)) * 100) / 100;
  }

  whole(least: number, most: number): number {
    return least + Math.floor(this.next() * (most - least + 1));
  }

  of<T>(list: readonly T[]): T {
    return list[Math.floor(this.next() * list.length)]!;
  }
}

/**
 * Ranges of durations in seconds: an instant, several report intervals, nearly a lease, more than a lease, and longer
 * than the time limit for a cancellation.
 */
const LENGTHS: readonly (readonly [number, number])[] = [
  [0.1, 1],
  [2, 8],
  [16, 19],
  [22, 35],
  [45, 60],
];

const nodes = (luck: Luck): string => luck.of(["leader", "leader", "nest-0", "nest-1", "nest-2"]);
const lasting = (luck: Luck): number => luck.between(...luck.of(LENGTHS));

const TROUBLES: readonly Draw[] = [
  (luck) => ({
    kind: "restart",
    target: luck.of(["leader", "all", "nest-0", "nest-1"]),
    for: luck.between(...luck.of(LENGTHS.slice(0, 4))),
  }),
  (luck) => ({ kind: "restart", target: nodes(luck), for: luck.between(0.05, 1) }),
  (luck) => ({ kind: "freeze", target: nodes(luck), for: luck.between(1, 25) }),
  (luck) => ({ kind: "refuse", target: nodes(luck), by: "state", for: lasting(luck) }),
  (luck) => ({ kind: "outage", of: "state", for: lasting(luck) }),
  (luck) => ({ kind: "outage", of: "cloud", for: lasting(luck) }),
  (luck) => ({ kind: "restart-store", for: luck.between(0.5, 8) }),
  (luck) => ({ kind: "cut", target: nodes(luck), from: luck.of(["state", "workers", "controllers", "cloud", "all"]), for: lasting(luck) }),
  (luck) => ({
    kind: "delay",
    target: nodes(luck),
    to: luck.of(["state", "workers"]),
    ms: luck.whole(500, 9000),
    for: luck.between(2, 30),
  }),
  (luck) => ({
    kind: "late",
    target: luck.of(["all", "leader"]),
    by: "state",
    what: "txn",
    count: luck.whole(1, 5),
    ms: luck.whole(2000, 12_000),
  }),
  (luck) => ({
    kind: "late",
    target: "all",
    by: "cloud",
    what: luck.of(["hire", "remove"]),
    count: luck.whole(1, 3),
    ms: luck.whole(2000, 60_000),
  }),
  (luck) => ({ kind: "drop", target: "all", by: "state", what: "txn", count: luck.whole(1, 5) }),
  (luck) => ({ kind: "twice", target: "all", by: luck.of(["state", "cloud"]), count: luck.whole(1, 5) }),
  (luck) => ({ kind: "wrong", target: "all", by: "state", what: "txn", form: "error-after", count: luck.whole(1, 3) }),
  (luck) => ({ kind: "deaf", target: "busiest", count: luck.whole(1, 4), for: lasting(luck) }),
  (luck) => ({ kind: "late-reports", share: luck.of([0.1, 0.5, 1]), ms: luck.whole(3000, 60_000), for: luck.between(5, 60) }),
  (luck) => ({ kind: "late-reports", share: luck.of([0.1, 0.5, 1]), for_next: true, for: luck.between(5, 60) }),
  (luck) => ({ kind: "late-writes", share: luck.of([0.1, 0.3, 0.6]), at_once: luck.of([true, false]), for: luck.between(5, 40) }),
  (luck) => ({ kind: "mute", target: "busiest", count: luck.whole(1, 4), for: lasting(luck) }),
  (luck) => ({ kind: "cancel-now", count: luck.whole(1, 6), hang: luck.of([0, luck.between(2, 40)]) }),
  (luck) => ({ kind: "cancel-at-end", share: luck.of([0.3, 1]), for: luck.between(10, 60) }),
  (luck) => ({ kind: "odd-requests", for: luck.between(5, 60) }),
  (luck) => ({ kind: "close-looks", for: luck.between(10, 60) }),
  (luck) => ({ kind: "cut-machine", target: "busiest", for: lasting(luck) }),
  (luck) => ({ kind: "hang", target: "busiest", for: lasting(luck) }),
  (luck) => ({ kind: "lose", target: "busiest", count: luck.whole(1, 3) }),
  (luck) => ({ kind: "lose", target: "busiest", count: luck.whole(4, 8) }),
  (luck) => ({ kind: "capacity", target: "*", zone: luck.of(["a", "b"]), count: 0, spot: 0, for: luck.between(5, 60) }),
  (luck) => ({ kind: "take", target: "busiest", notice: luck.between(0, 20) }),
  (luck) => ({ kind: "slow", target: "busiest", factor: luck.whole(2, 5) }),
];

const NODES = ["nest-0", "nest-1", "nest-2"] as const;
/** Share of the seeds that generate a scenario in which an owner and its successor both act as owner of a partition. */
const DIVIDED_SHARE = 0.3;

/**
 * One controller loses the state service and keeps answering workers until it has to stop; the commands of its
 * successors arrive late. Meanwhile machines contact other controllers, jobs are cancelled, and some machines then
 * receive nothing from any controller. Independently generated faults almost never combine in this way: the defects
 * found here before had been found only by reading the code.
 */
function divided(luck: Luck, at: number): PlannedFault[] {
  const old = luck.of(NODES);
  const found: [after: number, raw: Record<string, unknown>][] = [
    [
      0,
      luck.of([
        { kind: "refuse", target: old, by: "state", for: luck.between(30, 60) },
        { kind: "cut", target: old, from: "state", for: luck.between(30, 60) },
      ]),
    ],
  ];
  // Half of the time all steps occur: the successors' commands are delayed throughout, the former owner's too, and afterwards machines
  // can be neither reached nor deleted.
  const whole = luck.of([true, false]);
  const may = (share: number): boolean => whole || luck.between(0, 1) < share;
  const others = NODES.filter((name) => name !== old);
  const unheardFor = luck.between(12, 26);
  for (const target of others) {
    const ms = whole ? luck.whole(15_000, 40_000) : luck.of([luck.whole(4200, 9000), luck.whole(15_000, 40_000)]);
    found.push([luck.between(0, 4), { kind: "delay", target, to: "workers", ms, for: unheardFor }]);
  }
  if (may(0.7))
    found.push([luck.between(4, 7), { kind: "delay", target: old, to: "workers", ms: 4500, for: luck.between(whole ? 3.5 : 0.5, 5) }]);
  if (may(0.5)) {
    const after = luck.between(16, 20);
    for (const target of others) found.push([after, { kind: "cut", target, from: "workers", for: luck.between(35, 60) }]);
  }
  if (may(0.6)) found.push([luck.between(5, 14), { kind: "outage", of: "cloud", for: luck.between(30, 55) }]);
  if (luck.between(0, 1) < 0.7)
    found.push([luck.between(0, 2), { kind: "cancel-now", count: luck.whole(2, 8), hang: luck.of([0, 0, 12]) }]);
  if (luck.between(0, 1) < 0.6)
    found.push([luck.between(18, 32), { kind: "deaf", target: "busiest", count: luck.whole(3, 12), for: luck.between(20, 35) }]);
  return found.map(([after, raw]) => ({ at: at + after, fault: read(raw) }));
}

/**
 * Further faults that only soak runs generate, so that the plans of `rehearse --drawn` stay the same for each seed. The
 * more frequent ones are listed twice.
 */
const SOAK_TROUBLES: readonly Draw[] = [
  ...TROUBLES,
  (luck) => ({ kind: "late-commands", share: luck.of([0.2, 0.5]), for: luck.between(5, 30) }),
  (luck) => ({ kind: "late-commands", share: luck.of([0.2, 0.5]), for: luck.between(5, 30) }),
  (luck) => ({ kind: "late-reports", share: luck.of([0.05, 0.2]), for_next: true, for: luck.between(10, 40) }),
  (luck) => ({ kind: "late-reports", share: luck.of([0.2, 0.5]), ms: luck.whole(3000, 30_000), for: luck.between(10, 40) }),
  (luck) => ({
    kind: "lose-sent",
    target: nodes(luck),
    to: luck.of(["state", "workers", "controllers", "all"]),
    for: luck.between(1, 20),
  }),
  (luck) => ({
    kind: "split",
    target: luck.of(NODES),
    reaches: luck.of(["only-target", "all-but-target"]),
    share: luck.between(0.2, 0.8),
    way: luck.of(["both", "to-controllers", "to-machines"]),
    for: luck.between(...luck.of(LENGTHS.slice(1))),
  }),
  (luck) => ({ kind: "restart", target: nodes(luck), for: luck.between(0.05, 0.3) }),
  (luck) => ({ kind: "restart", target: nodes(luck), for: luck.between(2, 12) }),
  (luck) => ({ kind: "freeze", target: nodes(luck), for: luck.between(1, 25) }),
];

/** Share of the soak seeds that add a scenario in which the state service refuses one controller while the network splits its machines. */
const SPLIT_SHARE = 0.4;
/**
 * Derives the seed of an independent random sequence, so that the other faults of a seed stay the same. Odd and large,
 * because seeds are consecutive.
 */
const SPLIT_SEED = 0x9e3779b1;

/**
 * The state service refuses one controller for longer than a lease; some of its machines reach only that controller,
 * others every controller but it. Its successor answers the latter while the refused controller may still consider them
 * its own, and cannot reach the former.
 */
function refusedWhileSplit(luck: Luck, at: number): PlannedFault[] {
  const target = luck.of(NODES);
  const lastsS = luck.between(28, 45);
  const onlyShare = luck.between(0.25, 0.6);
  const after = luck.between(-0.5, 1.5);
  const way = (): string => luck.of(["both", "both", "to-controllers", "to-machines"]);
  const found: [after: number, raw: Record<string, unknown>][] = [
    [0, { kind: "refuse", target, by: "state", for: lastsS }],
    [after, { kind: "split", target, reaches: "only-target", share: onlyShare, way: way(), for: lastsS }],
    [after, { kind: "split", target, reaches: "all-but-target", share: 1 - onlyShare, way: way(), for: lastsS }],
  ];
  // Without the cloud, a successor cannot end its wait for a machine by deleting it.
  if (luck.between(0, 1) < 0.8) found.push([luck.between(0, 4), { kind: "outage", of: "cloud", for: luck.between(30, 50) }]);
  return found.map(([later, raw]) => ({ at: at + later, fault: read(raw) }));
}

/** Warm-up time in seconds: by then machines are up and the first work runs. */
const WARM_S = 12;

function read(raw: Record<string, unknown>): PlannedFault["fault"] {
  const decoded = decodeFault(raw);
  if ("wrong" in decoded) throw new Error(`${JSON.stringify(raw)}: ${decoded.wrong}`);
  return decoded.fault;
}

const trouble = (luck: Luck): PlannedFault["fault"] => read(luck.of(TROUBLES)(luck));

/** Mean time between the faults of a soak plan, in seconds. */
const SOAK_FAULT_S = 6;

/** Adds faults at random times to the plan's own; the same seed generates the same plan. */
export function soakPlan(base: RehearsalPlan, seed: number): RehearsalPlan {
  const luck = new Luck(seeded(seed));
  const count = Math.max(1, Math.round((base.seconds - WARM_S) / SOAK_FAULT_S));
  const fault = Array.from({ length: count }, (): PlannedFault => {
    const at = luck.between(Math.min(WARM_S, base.seconds / 2), base.seconds);
    return { at, fault: read(luck.of(SOAK_TROUBLES)(luck)) };
  });
  const splits = new Luck(seeded(Math.imul(seed + 1, SPLIT_SEED)));
  if (splits.between(0, 1) < SPLIT_SHARE)
    fault.push(...refusedWhileSplit(splits, splits.between(WARM_S + 1, Math.max(WARM_S + 1, base.seconds - 30))));
  return { ...base, name: `${base.name}, seed ${seed}`, fault: [...base.fault, ...fault] };
}

/** Replaces the plan's faults by randomly generated ones; the same seed generates the same plan. */
export function drawnPlan(base: RehearsalPlan, seed: number): RehearsalPlan {
  const luck = new Luck(seeded(seed));
  const name = `${base.name}, drawn ${seed}`;
  if (luck.between(0, 1) < DIVIDED_SHARE)
    return { ...base, name, fault: divided(luck, luck.between(WARM_S, Math.max(WARM_S, base.seconds * 0.5))) };
  const first = trouble(luck);
  const at = luck.between(WARM_S, Math.max(WARM_S, base.seconds * 0.6));
  const fault: PlannedFault[] = [{ at, fault: first }];
  const lastsS = "for" in first ? (first.for ?? 0) : 0;
  for (let more = luck.whole(1, 2); more > 0; more--) {
    const second = trouble(luck);
    // During the first fault, around its end, or at the next occurrence of an injection point after its start.
    const place = luck.whole(0, 2);
    if (place === 0) fault.push({ at: at + luck.between(0, Math.max(2, lastsS)), fault: second });
    else if (place === 1) fault.push({ at: at + Math.max(0, lastsS + luck.between(-1, 1)), fault: second });
    else fault.push({ moment: luck.of(MOMENTS), after: at, fault: second });
  }
  return { ...base, name, fault };
}
