import type { JobSpec } from "@thorntrail/protocol/jobs";

/** What happened, as seen from outside the controllers. */
export type Happening =
  | { at: number; kind: "submitted"; spec: JobSpec }
  | { at: number; kind: "told"; ref: string; what: "accepted" | "queued" | "running" | "done" | "withdrawn" | "unknown" | "refused" }
  | { at: number; kind: "asked-cancel"; ref: string }
  /** A poll that was answered neither 200 nor 404. */
  | { at: number; kind: "unanswered"; ref: string }
  | { at: number; kind: "on"; piece: string; host: string; type: string; zone: string; spot: boolean }
  | { at: number; kind: "off"; piece: string; host: string; cause: string };

export interface Limits {
  cancelMs: number;
  teams: Map<string, { cpus: number; gpus: number }>;
  /** All troubles are over by then; without it, nothing is said of jobs whose polls stay unanswered. */
  calmAt?: number;
  /** When the history was closed: what is on a machine then is still there. */
  until?: number;
}

/** After the troubles, a job about which no question is answered for so long is forgotten. */
const FORGOTTEN_MS = 75_000;

const refOf = (piece: string): string => piece.slice(0, piece.lastIndexOf("/"));

/** Goes over a whole history and names every rule of the protocol it breaks. */
export function brokenRules(history: Happening[], limits: Limits): string[] {
  const broken: string[] = [];
  const specs = new Map<string, JobSpec>();
  const accepted = new Set<string>();
  const final = new Map<string, "done" | "withdrawn">();
  const withdrawnAt = new Map<string, number>();
  const askedCancel = new Set<string>();
  const on = new Map<string, Map<string, { zone: string }>>();
  /** All jobs that the job needs, directly or through others. */
  const allNeeds = (ref: string): Set<string> => {
    const found = new Set(specs.get(ref)?.needs);
    for (const need of found) for (const further of specs.get(need)?.needs ?? []) found.add(further);
    return found;
  };
  const doneTasks = new Map<string, Set<string>>();
  /** Of accepted jobs: the first of the polls that stayed unanswered, none answered since. */
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
  for (const event of history) {
    checkCancelled(event.at);
    switch (event.kind) {
      case "submitted":
        specs.set(event.spec.ref, event.spec);
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
        const { ref, what } = event;
        unansweredSince.delete(ref);
        const last = final.get(ref);
        if (what === "unknown") {
          if (accepted.has(ref)) say("forgotten", event.at, `${ref} got 404`);
          break;
        }
        if (what === "refused") {
          if (accepted.has(ref)) say("forgotten", event.at, `${ref} was refused when repeated`);
          break;
        }
        if (!specs.has(ref)) say("invented", event.at, ref);
        accepted.add(ref);
        if (what === "done" && (doneTasks.get(ref)?.size ?? 0) < (specs.get(ref)?.tasks ?? 0)) say("not_done", event.at, ref);
        if (last !== undefined && what !== last) say("went_back", event.at, `${ref} from ${last} to ${what}`);
        const gone = [...allNeeds(ref)].map((need) => withdrawnAt.get(need) ?? Infinity);
        if (what !== "done" && what !== "withdrawn" && gone.some((at) => event.at - at > limits.cancelMs)) say("orphaned", event.at, ref);
        if (what === "withdrawn" && ![ref, ...allNeeds(ref)].some((one) => askedCancel.has(one)))
          say("went_back", event.at, `${ref} was not cancelled by its user`);
        if (what === "done" || what === "withdrawn") {
          final.set(ref, what);
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
  if (limits.until !== undefined) checkCancelled(limits.until);
  if (started === 0) broken.push("nothing_ran");
  return broken;
}
