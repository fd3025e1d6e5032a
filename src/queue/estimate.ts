import type { JobSpec } from "../ledger/records.js";
import type { Part, Usage } from "../parts/part.js";
import { freeRoom, usable, type Capacity, type Machine } from "../workers/machine.js";
import { inOrder, rank, type LocalOrder } from "./order.js";
import { allowed, copies, type Slot } from "./placement.js";
import { beyond } from "./preempt.js";
import { ready } from "./pass.js";
import { suspect, type Unit } from "./unit.js";

/** Owners' guesses are often wrong by half: what a class counts as before it has shown anything. */
const USUAL_SPREAD = Math.log(1.5);
const MOST_WEIGHT = 50;
/** Of the spread, by which a task that runs longer than expected goes on, in the middle. */
const GOES_ON = 0.7;

/**
 * Run times by class. Owners' guesses are off by half or more and on some days
 * all to one side, so the guess is corrected by what the class has shown. Also
 * by how much single tasks differ from that: one that has outrun what was expected
 * is no likelier to end at once for it. Taken as if it were, a full part would seem
 * about to be free, and jobs would gather where they wait the longest.
 */
export class RunHistory {
  private readonly ratios = new Map<string, { log: number; square: number; weight: number }>();

  constructor(private readonly mode: "learned" | "owner") {}

  note(spec: JobSpec, seconds: number): void {
    if (spec.guessS <= 0 || seconds <= 0) return;
    const entry = this.ratios.get(spec.klass) ?? { log: 0, square: USUAL_SPREAD ** 2, weight: 1 };
    const weight = Math.min(entry.weight + 1, MOST_WEIGHT);
    const off = Math.log(seconds / spec.guessS) - entry.log;
    entry.log += off / weight;
    entry.square += (off ** 2 - entry.square) / weight;
    entry.weight = weight;
    this.ratios.set(spec.klass, entry);
  }

  expectS(spec: JobSpec): number {
    const entry = this.mode === "learned" ? this.ratios.get(spec.klass) : undefined;
    return Math.max(1, spec.guessS * Math.exp(entry?.log ?? 0));
  }

  /** What is left of a task that has run for so long. */
  leftS(spec: JobSpec, ranS: number): number {
    const spread = Math.sqrt(this.ratios.get(spec.klass)?.square ?? USUAL_SPREAD ** 2);
    return Math.max(1, this.expectS(spec) - ranS, ranS * spread * GOES_ON);
  }
}

export interface EstimateContext {
  now: number;
  silentMs: number;
  order: LocalOrder;
  history: RunHistory;
  bootMs: (machine: Machine) => number;
  /** After this long, lower work is stopped for a job that waits. */
  preemptAfterMs: number;
  guaranteed: (unit: Unit) => boolean;
  excess: ReadonlyMap<string, Usage>;
}

/** Room that comes free; `times` tasks of the same size at once. */
interface Event {
  at: number;
  room: Room;
  freed: Capacity;
  times: number;
}

/** A machine while the queue is played forward. */
interface Room extends Slot {
  zone: number;
  index: number;
}

/** Of the age at which a machine counts as silent: what comes free within it comes free together. */
const MOMENT = 1 / 5;
const MAX_MOMENTS = 400;
const MAX_QUEUE = 60;

/** Parts of all resources in use, by the scarcest of CPUs and accelerators. */
export function utilization(part: Part): number {
  const all = { cpus: 0, gpus: 0 };
  const used = { cpus: 0, gpus: 0 };
  for (const machine of part.machines.values()) {
    if (machine.lost || machine.deleting) continue;
    all.cpus += machine.capacity.cpus;
    all.gpus += machine.capacity.gpus;
    used.cpus += machine.used.cpus;
    used.gpus += machine.used.gpus;
  }
  if (all.cpus === 0) return 1;
  return Math.max(used.cpus / all.cpus, all.gpus > 0 ? used.gpus / all.gpus : 0);
}

/**
 * A job of the queue while it is played forward. For gangs, which need room for
 * all at once, the copies each machine holds are kept, so that a machine that
 * changes costs one step and not a look at all the others.
 */
class Entry {
  tasks: number;
  private readonly held: Int32Array | null;
  /** Of each room, whether the job may use it; looked at once. */
  private readonly may: Uint8Array;
  private readonly perZone: Float64Array;

  constructor(
    readonly unit: Unit,
    private readonly rooms: Room[],
    zones: number,
  ) {
    this.tasks = unit.waiting.length;
    this.perZone = new Float64Array(zones);
    this.may = new Uint8Array(rooms.length);
    for (let i = 0; i < rooms.length; i++) this.may[i] = allowed(unit.spec, rooms[i]!.machine) ? 1 : 0;
    this.held = unit.spec.kind === "gang" ? new Int32Array(rooms.length) : null;
    if (this.held !== null) for (let i = 0; i < rooms.length; i++) this.review(i);
  }

  holds(room: Room): number {
    return this.may[room.index] === 1 ? Math.min(this.tasks, copies(this.unit.spec, room.free)) : 0;
  }

  /** Room number `i` has changed. */
  review(i: number): void {
    if (this.held === null) return;
    const room = this.rooms[i]!;
    const now = this.holds(room);
    this.perZone[this.unit.spec.oneZone ? room.zone : 0]! += now - this.held[i]!;
    this.held[i] = now;
  }

  /** The zone in which all of a gang fits now; -1: any zone will do; null: none. */
  gangZone(): number | null {
    if (!this.unit.spec.oneZone) return this.perZone[0]! >= this.tasks ? -1 : null;
    const zone = this.perZone.findIndex((n) => n >= this.tasks);
    return zone < 0 ? null : zone;
  }

  heldBy(i: number): number {
    return this.held === null ? 0 : this.held[i]!;
  }
}

/**
 * Plays the queue forward: machines free up as running tasks are expected to
 * end, booting ones count from when they should be up. Gives the wait in ms of
 * the slices asked for (`wanted`; all if not given); infinite if the part cannot
 * hold it. What is behind the last of them in the queue does not matter, and once
 * all are known nothing more is played: a burst must not make every question dear.
 * `atOnce` is told how many tasks there is room for now of those that have to wait.
 */
export function estimateWaits(
  part: Part,
  context: EstimateContext,
  extra: Unit[] = [],
  wanted: ((unit: Unit) => boolean) | null = null,
  atOnce: Map<string, number> = new Map(),
): Map<string, number> {
  const { now, history } = context;
  const moment = context.silentMs * MOMENT;
  const rooms: Room[] = [];
  const zones = new Map<string, number>();
  const events: Event[] = [];
  const runMs = new Map<JobSpec, number>();
  const expectMs = (spec: JobSpec): number => {
    let ms = runMs.get(spec);
    if (ms === undefined) runMs.set(spec, (ms = history.expectS(spec) * 1000));
    return ms;
  };
  const due = (at: number): number => now + Math.ceil((at - now) / moment) * moment;
  for (const machine of part.machines.values()) {
    if (machine.deleting || machine.draining || machine.lost || machine.noticeAt !== null) continue;
    if (!zones.has(machine.zone)) zones.set(machine.zone, zones.size);
    const room: Room = { machine, free: freeRoom(machine), zone: zones.get(machine.zone)!, index: rooms.length };
    if (!usable(machine, now, context.silentMs)) {
      const readyAt = machine.up
        ? Math.max(now + 1000, machine.avoidUntil)
        : Math.max(now + 1000, machine.hiredAt + context.bootMs(machine));
      events.push({ at: due(readyAt), room, freed: { ...room.free }, times: 1 });
      room.free = { cpus: 0, gpus: 0, ram: 0 };
    }
    rooms.push(room);
    for (const { unit, runningAt } of machine.placements.values()) {
      const left = runningAt === null ? expectMs(unit.spec) : history.leftS(unit.spec, (now - runningAt) / 1000) * 1000;
      events.push({ at: due(now + left), room, freed: unit.spec, times: 1 });
    }
  }
  events.sort((a, b) => a.at - b.at);
  const all = [...extra];
  for (const u of part.units.values()) {
    if (!u.ended && !u.leaving && u.waiting.length > 0 && !suspect(u) && (ready(u, now) || u.notBefore > now)) all.push(u);
  }
  const queue = inOrder(all, context.order);
  let length = Math.min(queue.length, MAX_QUEUE);
  if (wanted !== null) while (length > 0 && !wanted(queue[length - 1]!)) length--;
  const waits = new Map<string, number>();
  let left = queue.slice(0, length).map((unit) => new Entry(unit, rooms, Math.max(1, zones.size)));
  let open = wanted === null ? left.length : left.filter((entry) => wanted(entry.unit)).length;
  const known = (entry: Entry, ms: number): void => {
    waits.set(entry.unit.key, ms);
    if (wanted === null || wanted(entry.unit)) open--;
  };

  const take = (room: Room, entry: Entry, n: number, at: number): void => {
    const { spec } = entry.unit;
    shift(room.free, spec, -n);
    entry.tasks -= n;
    insert(events, { at: due(at + expectMs(spec)), room, freed: spec, times: n });
    for (const other of left) other.review(room.index);
  };
  /** Places what it can of the entry; `only`: the machines that have changed. */
  const settle = (entry: Entry, at: number, only: Iterable<Room>): boolean => {
    if (entry.unit.spec.kind === "gang") {
      const zone = entry.gangZone();
      if (zone === null) return false;
      for (let i = 0; i < rooms.length && entry.tasks > 0; i++) {
        const n = Math.min(entry.tasks, entry.heldBy(i));
        if (n > 0 && (zone < 0 || rooms[i]!.zone === zone)) take(rooms[i]!, entry, n, at);
      }
    } else {
      for (const room of only) {
        const n = entry.holds(room);
        if (n > 0) take(room, entry, n, at);
        if (entry.tasks === 0) break;
      }
    }
    if (entry.tasks > 0) return false;
    known(entry, Math.max(0, at - now));
    return true;
  };
  left = left.filter((entry) => !settle(entry, now, rooms));
  for (const entry of left) atOnce.set(entry.unit.key, entry.unit.waiting.length - entry.tasks);
  const soft = new SoftRooms(part, rooms, context);
  left = left.filter((entry) => {
    if (!soft.makeRoom(entry.unit, entry.tasks)) return true;
    known(entry, context.preemptAfterMs);
    return false;
  });
  for (let i = 0, moments = 0; moments < MAX_MOMENTS && i < events.length && open > 0; moments++) {
    const { at } = events[i]!;
    const changed: Room[] = [];
    // What comes free at one moment is given out together, or the first small job
    // would take from under a gang what is there for all of it.
    for (; i < events.length && events[i]!.at === at; i++) {
      const { room, freed, times } = events[i]!;
      shift(room.free, freed, times);
      if (!changed.includes(room)) changed.push(room);
    }
    for (const entry of left) for (const room of changed) entry.review(room.index);
    let gone = 0;
    for (const entry of left) if (settle(entry, at, changed)) gone++;
    if (gone > 0) left = left.filter((entry) => entry.tasks > 0);
  }
  for (const entry of left) waits.set(entry.unit.key, Infinity);
  return waits;
}

function shift(room: Capacity, by: Capacity, times: number): void {
  room.cpus += by.cpus * times;
  room.gpus += by.gpus * times;
  room.ram += by.ram * times;
}

/**
 * Could lower work on the part's machines be stopped to hold a job? Without
 * counting that, urgent jobs flee from parts full of low work to parts where
 * nothing may be stopped for them, and there they stay put.
 */
class SoftRooms {
  private readonly lists = new Map<string, { room: Room; free: Capacity }[]>();
  private readonly lowest: number;

  constructor(
    part: Part,
    private readonly rooms: Room[],
    private readonly context: EstimateContext,
  ) {
    let lowest = -1;
    for (const unit of part.units.values()) {
      if (unit.placed.size > 0 && unit.spec.kind !== "gang") lowest = Math.max(lowest, rank(unit.spec.urgency));
    }
    this.lowest = lowest;
  }

  private for(unit: Unit, level: number, claims: boolean): { room: Room; free: Capacity }[] {
    const name = `${level}|${claims ? unit.spec.team : ""}`;
    let list = this.lists.get(name);
    if (list === undefined) {
      list = [];
      for (const room of this.rooms) {
        if (!room.machine.fenced || !room.machine.up) continue;
        const free = { ...room.free };
        for (const placement of room.machine.placements.values()) {
          const { spec } = placement.unit;
          const lower = spec.kind !== "gang" && rank(spec.urgency) > level;
          if (lower || (claims && beyond(placement, unit, this.context.excess))) shift(free, spec, 1);
        }
        list.push({ room, free });
      }
      this.lists.set(name, list);
    }
    return list;
  }

  /** If so, what it takes is not there for the next one. */
  makeRoom(unit: Unit, tasks: number): boolean {
    const { spec } = unit;
    const level = rank(spec.urgency);
    const claims = this.context.guaranteed(unit);
    if (spec.spread || (!claims && level >= this.lowest)) return false;
    const list = this.for(unit, level, claims);
    const zones = spec.oneZone ? new Set(list.map(({ room }) => room.machine.zone)) : [null];
    for (const zone of zones) if (this.makeRoomIn(zone, spec, tasks, list)) return true;
    return false;
  }

  private makeRoomIn(zone: string | null, spec: JobSpec, tasks: number, list: { room: Room; free: Capacity }[]): boolean {
    const chosen: { free: Capacity; n: number }[] = [];
    let missing = tasks;
    for (const { room, free } of list) {
      if (missing === 0) break;
      if (zone !== null && room.machine.zone !== zone) continue;
      const n = allowed(spec, room.machine) ? Math.min(missing, copies(spec, free)) : 0;
      if (n > 0) chosen.push({ free, n });
      missing -= n;
    }
    if (missing > 0) return false;
    for (const { free, n } of chosen) shift(free, spec, -n);
    return true;
  }
}

/** Keeps `events` in order of time. */
function insert(events: Event[], event: Event): void {
  let low = 0;
  let high = events.length;
  while (low < high) {
    const mid = (low + high) >> 1;
    if (events[mid]!.at <= event.at) low = mid + 1;
    else high = mid;
  }
  events.splice(low, 0, event);
}
