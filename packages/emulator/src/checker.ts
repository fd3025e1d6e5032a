import type { JobSpec } from "@thorntrail/protocol/jobs";

/** Job status as a user learns it from a response; `unknown` stands for 404, `refused` for 400 and 422. */
export type Told = "accepted" | "queued" | "running" | "done" | "withdrawn" | "unknown" | "refused";

/**
 * Returns the job status that the response to a submission, poll or cancellation reports, or null if it reports none
 * and the user retries.
 */
export function toldBy(status: number, body: Record<string, unknown>): Told | null {
  if (status === 200 || status === 201) return (body["status"] as Told | undefined) ?? "queued";
  if (status === 404) return "unknown";
  return status === 400 || status === 422 ? "refused" : null;
}

/** An event of a run as observed outside the controllers. Times (`at`, `asked`) are in ms. */
export type Happening =
  /** `never`: the reason why the job must not be accepted. */
  | { at: number; kind: "submitted"; spec: JobSpec; never?: string }
  /** A response received at `at`; `asked` is when the poll, submission or cancellation it answers was sent. */
  | { at: number; kind: "told"; ref: string; what: Told; asked?: number }
  | { at: number; kind: "asked-cancel"; ref: string }
  /** A poll that got a response other than 200 or 404, or none. */
  | { at: number; kind: "unanswered"; ref: string }
  | { at: number; kind: "on"; piece: string; host: string; type: string; zone: string; spot: boolean }
  | { at: number; kind: "off"; piece: string; host: string; cause: string }
  /** The machine becomes available for tasks (`up`) or stops being available (`gone`). */
  | { at: number; kind: "up"; host: string; type: string; zone: string; spot: boolean; cpus: number; gpus: number; ram: number }
  | { at: number; kind: "gone"; host: string };

/** What a history is checked against. All times are in ms. */
export interface Limits {
  cancelMs: number;
  teams: Map<string, { cpus: number; gpus: number }>;
  /** When the last injected fault has ended. Without it, unanswered polls and idle capacity are not checked. */
  calmAt?: number;
  /** When the history ends; tasks that have not ended by then are still on their machines. */
  until?: number;
}

/** After the faults have ended, an accepted job whose polls stay unanswered for longer than this counts as forgotten. */
const FORGOTTEN_MS = 75_000;
/** After the faults have ended, a job must not wait this long while there is free capacity for it. */
const IDLE_ROOM_MS = 90_000;
const ROOM_LOOK_MS = 1000;

const refOf = (piece: string): string => piece.slice(0, piece.lastIndexOf("/"));

/** Checks a complete history against the rules of the protocol and returns one line for each violation. */
export function brokenRules(history: Happening[], limits: Limits): string[] {
  const broken: string[] = [];
  const specs = new Map<string, JobSpec>();
  /** When a response first confirmed to a user that the job is accepted. */
  const accepted = new Map<string, number>();
  const refusable = new Map<string, string>();
  const final = new Map<string, { what: "done" | "withdrawn"; at: number }>();
  const withdrawnAt = new Map<string, number>();
  const askedCancel = new Set<string>();
  const on = new Map<string, Map<string, { zone: string }>>();
  /** Returns all jobs that the job depends on, directly or transitively. */
  const allNeeds = (ref: string): Set<string> => {
    const found = new Set(specs.get(ref)?.needs);
    for (const need of found) for (const further of specs.get(need)?.needs ?? []) found.add(further);
    return found;
  };
  const doneTasks = new Map<string, Set<string>>();
  /** For each job, the time of the first unanswered poll since the last answered request. */
  const unansweredSince = new Map<string, number>();
  let started = 0;
  const say = (rule: string, at: number, detail: string): void => {
    broken.push(`${rule} at ${(at / 1000).toFixed(1)} s: ${detail}`);
  };
  const onOf = (ref: string): { piece: string; host: string; zone: string }[] =>
    [...on]
      .filter(([piece]) => refOf(piece) === ref)
      .flatMap(([piece, hosts]) => [...hosts].map(([host, { zone }]) => ({ piece, host, zone })));
  const checkCancelled = (at: number): void => {
    for (const [ref, since] of withdrawnAt) {
      if (at - since > limits.cancelMs && onOf(ref).length > 0) {
        say("ran_cancelled", at, ref);
        withdrawnAt.delete(ref);
      }
    }
  };
  const room = new RoomWatch(limits, (at, detail) => say("idle_room", at, detail));
  const open = (): JobSpec[] => [...specs.values()].filter(({ ref }) => accepted.has(ref) && !final.has(ref) && !askedCancel.has(ref));
  const waits = (spec: JobSpec): boolean =>
    (doneTasks.get(spec.ref)?.size ?? 0) + onOf(spec.ref).length < spec.tasks &&
    (spec.needs ?? []).every((need) => (doneTasks.get(need)?.size ?? 0) >= (specs.get(need)?.tasks ?? Infinity));
  for (const event of history) {
    checkCancelled(event.at);
    room.look(event.at, () => open().filter(waits), on, specs);
    switch (event.kind) {
      case "up":
        room.machines.set(event.host, event);
        break;
      case "gone":
        room.machines.delete(event.host);
        break;
      case "submitted":
        specs.set(event.spec.ref, event.spec);
        if (event.never !== undefined) refusable.set(event.spec.ref, event.never);
        break;
      case "asked-cancel":
        askedCancel.add(event.ref);
        break;
      case "unanswered": {
        const since = unansweredSince.get(event.ref) ?? event.at;
        unansweredSince.set(event.ref, since);
        if (!accepted.has(event.ref) || event.at - Math.max(since, limits.calmAt ?? Infinity) <= FORGOTTEN_MS) break;
        say("forgotten", event.at, `${event.ref} was answered nothing since ${(since / 1000).toFixed(1)} s`);
        unansweredSince.set(event.ref, Infinity);
        break;
      }
      case "told": {
        // A status is checked only against responses received before this request was sent. Of two overlapping requests, either response
        // may be the older one.
        const { ref, what, asked = event.at } = event;
        unansweredSince.delete(ref);
        const ended = final.get(ref);
        const last = ended !== undefined && (ended.at <= asked || what === "done" || what === "withdrawn") ? ended.what : undefined;
        const known = (accepted.get(ref) ?? Infinity) <= asked;
        if (what === "unknown") {
          if (known) say("forgotten", event.at, `${ref} got 404`);
          break;
        }
        if (what === "refused") {
          if (known) say("forgotten", event.at, `${ref} was refused when repeated`);
          break;
        }
        if (!specs.has(ref)) say("invented", event.at, ref);
        if (refusable.has(ref)) say("accepted_wrongly", event.at, `${ref}: ${refusable.get(ref)}`);
        if (!accepted.has(ref)) accepted.set(ref, event.at);
        if (what === "done" && (doneTasks.get(ref)?.size ?? 0) < (specs.get(ref)?.tasks ?? 0)) say("not_done", event.at, ref);
        if (last !== undefined && what !== last) say("went_back", event.at, `${ref} from ${last} to ${what}`);
        const gone = [...allNeeds(ref)].map((need) => withdrawnAt.get(need) ?? Infinity);
        if (what !== "done" && what !== "withdrawn" && gone.some((at) => event.at - at > limits.cancelMs)) say("orphaned", event.at, ref);
        if (what === "withdrawn" && ![ref, ...allNeeds(ref)].some((one) => askedCancel.has(one)))
          say("went_back", event.at, `${ref} was not cancelled by its user`);
        if (what === "done" || what === "withdrawn") {
          if (ended === undefined) final.set(ref, { what, at: event.at });
          if (what === "withdrawn" && !withdrawnAt.has(ref)) withdrawnAt.set(ref, event.at);
        }
        break;
      }
      case "on": {
        started++;
        const ref = refOf(event.piece);
        const spec = specs.get(ref);
        const hosts = on.get(event.piece) ?? new Map<string, { zone: string }>();
        if ([...hosts.keys()].some((host) => host !== event.host))
          say("ran_twice", event.at, `${event.piece} on ${event.host} and ${[...hosts.keys()].join()}`);
        if (spec !== undefined) {
          const others = onOf(ref).filter((o) => o.piece !== event.piece);
          const inZone = others.filter((o) => o.zone === event.zone).length + 1;
          const misplaced =
            (spec.types !== null && !spec.types.includes(event.type)) ||
            (spec.zone !== null && spec.zone !== event.zone) ||
            (!spec.spot && event.spot) ||
            (spec.oneZone && others.some((o) => o.zone !== event.zone)) ||
            (spec.spread && inZone > Math.ceil(spec.tasks / 2));
          if (misplaced) say("wrong_place", event.at, `${event.piece} on ${event.host}`);
        }
        hosts.set(event.host, { zone: event.zone });
        on.set(event.piece, hosts);
        room.served(ref);
        for (const need of spec?.needs ?? []) {
          if ((doneTasks.get(need)?.size ?? 0) < (specs.get(need)?.tasks ?? 1))
            say("too_early", event.at, `${event.piece} before ${need} is done`);
        }
        const since = withdrawnAt.get(ref);
        if (since !== undefined && event.at - since > limits.cancelMs) say("ran_cancelled", event.at, `${event.piece} started`);
        if (spec !== undefined) {
          const limit = limits.teams.get(spec.team);
          let cpus = 0;
          let gpus = 0;
          for (const [piece, where] of on) {
            const other = specs.get(refOf(piece));
            if (other?.team !== spec.team) continue;
            cpus += other.cpus * where.size;
            gpus += other.gpus * where.size;
          }
          if (limit !== undefined && ((limit.cpus > 0 && cpus > limit.cpus + 1e-6) || (limit.gpus > 0 && gpus > limit.gpus + 1e-6))) {
            say("quota", event.at, `${spec.team} uses ${cpus} CPUs, ${gpus} accelerators`);
          }
        }
        break;
      }
      case "off": {
        const hosts = on.get(event.piece);
        hosts?.delete(event.host);
        if (hosts?.size === 0) on.delete(event.piece);
        if (event.cause === "done") {
          const ref = refOf(event.piece);
          const set = doneTasks.get(ref) ?? new Set<string>();
          set.add(event.piece);
          doneTasks.set(ref, set);
        }
        break;
      }
    }
  }
  if (limits.until !== undefined) {
    checkCancelled(limits.until);
    room.look(limits.until, () => open().filter(waits), on, specs);
  }
  if (started === 0) broken.push("nothing_ran");
  return broken;
}

/**
 * Counts task starts after a user received confirmation that the job is withdrawn. The rule `ran_cancelled` is broken
 * only after `cancelMs`.
 */
export function startsAfterCancellation(history: readonly Happening[]): number {
  const told = new Set<string>();
  let count = 0;
  for (const event of history) {
    if (event.kind === "told" && event.what === "withdrawn") told.add(event.ref);
    else if (event.kind === "on" && told.has(refOf(event.piece))) count++;
  }
  return count;
}

type Machine = Extract<Happening, { kind: "up" }>;

/** Detects, once the faults have ended, jobs that wait although a machine has continuously had free capacity for one of their tasks. */
class RoomWatch {
  readonly machines = new Map<string, Machine>();
  private readonly since = new Map<string, number>();
  private nextLook: number;

  constructor(
    private readonly limits: Limits,
    private readonly say: (at: number, detail: string) => void,
  ) {
    this.nextLook = limits.calmAt ?? Infinity;
  }

  /** Restarts the wait of a job one of whose tasks has started. */
  served(ref: string): void {
    this.since.delete(ref);
  }

  look(at: number, waiting: () => JobSpec[], on: Map<string, Map<string, { zone: string }>>, specs: Map<string, JobSpec>): void {
    for (; this.nextLook <= at; this.nextLook += ROOM_LOOK_MS) {
      const free = this.free(on, specs);
      const jobs = waiting();
      const names = new Set(jobs.map(({ ref }) => ref));
      for (const ref of this.since.keys()) if (!names.has(ref)) this.since.delete(ref);
      for (const spec of jobs) {
        if (!this.could(spec, free, on, specs)) this.since.delete(spec.ref);
        else if (!this.since.has(spec.ref)) this.since.set(spec.ref, this.nextLook);
        else if (this.nextLook - this.since.get(spec.ref)! >= IDLE_ROOM_MS) {
          this.say(this.nextLook, `${spec.ref} waits though there is room`);
          this.since.set(spec.ref, Infinity);
        }
      }
    }
  }

  private free(on: Map<string, Map<string, { zone: string }>>, specs: Map<string, JobSpec>): Machine[] {
    const free = new Map([...this.machines].map(([host, machine]) => [host, { ...machine }]));
    for (const [piece, hosts] of on) {
      const spec = specs.get(refOf(piece));
      if (spec === undefined) continue;
      for (const host of hosts.keys()) {
        const machine = free.get(host);
        if (machine === undefined) continue;
        machine.cpus -= spec.cpus;
        machine.gpus -= spec.gpus;
        machine.ram -= spec.ram;
      }
    }
    return [...free.values()];
  }

  /** Whether one more task, or for a gang all missing tasks, fits into the free capacity and the team's limit. */
  private could(spec: JobSpec, free: Machine[], on: Map<string, Map<string, { zone: string }>>, specs: Map<string, JobSpec>): boolean {
    const present = [...on].filter(([piece]) => refOf(piece) === spec.ref).flatMap(([, hosts]) => [...hosts.values()]);
    const wanted = spec.kind === "gang" ? spec.tasks - present.length : 1;
    const limit = this.limits.teams.get(spec.team);
    const used = { cpus: 0, gpus: 0 };
    for (const [piece, hosts] of on) {
      const other = specs.get(refOf(piece));
      if (other?.team !== spec.team) continue;
      used.cpus += other.cpus * hosts.size;
      used.gpus += other.gpus * hosts.size;
    }
    if (limit !== undefined && limit.cpus > 0 && used.cpus + wanted * spec.cpus > limit.cpus + 1e-6) return false;
    if (limit !== undefined && limit.gpus > 0 && used.gpus + wanted * spec.gpus > limit.gpus + 1e-6) return false;
    const zones = spec.oneZone ? [...new Set(free.map(({ zone }) => zone))] : [null];
    return zones.some((only) => {
      if (only !== null && present.some(({ zone }) => zone !== only)) return false;
      const inZone = new Map<string, number>();
      for (const { zone } of present) inZone.set(zone, (inZone.get(zone) ?? 0) + 1);
      let places = 0;
      for (const machine of free) {
        if (only !== null && machine.zone !== only) continue;
        if ((spec.types !== null && !spec.types.includes(machine.type)) || (spec.zone !== null && spec.zone !== machine.zone)) continue;
        if (!spec.spot && machine.spot) continue;
        const most = spec.spread ? Math.ceil(spec.tasks / 2) - (inZone.get(machine.zone) ?? 0) : Infinity;
        const fit = Math.floor(
          Math.min(
            machine.cpus / spec.cpus + 1e-9,
            spec.gpus > 0 ? machine.gpus / spec.gpus + 1e-9 : Infinity,
            spec.ram > 0 ? machine.ram / spec.ram + 1e-9 : Infinity,
            most,
          ),
        );
        places += Math.max(0, fit);
        inZone.set(machine.zone, (inZone.get(machine.zone) ?? 0) + Math.max(0, fit));
      }
      return places >= wanted;
    });
  }
}
