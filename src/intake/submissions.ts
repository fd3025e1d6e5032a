import type { JobSpec } from "@thorntrail/protocol/jobs";
import { createHash } from "node:crypto";
import type { Configuration } from "../configuration/current.js";
import type { Committer, Outcome } from "../ledger/committer.js";
import type { Mirror } from "../ledger/mirror.js";
import {
  keys,
  recordBytes,
  sliceCapacity,
  specRoom,
  waitingFor,
  type ConfigurationRecord,
  type JobRecord,
  type SliceRecord,
} from "../ledger/records.js";
import type { Rentals } from "../ledger/rentals.js";
import type { Leader } from "../parts/leader.js";
import type { Ownership } from "../parts/ownership.js";
import type { Needs } from "../pipelines/needs.js";
import type { Scope } from "../platform/scope.js";
import type { Settings } from "../settings/derived.js";
import type { Admission } from "./admission.js";

/** The longest that a change of limits stays undecided: whoever prepared it has ended. */
const UNDECIDED_MS = 30_000;

/** Takes refs from `refs` as long as they fit into `bytes`. */
function takeRefs(refs: string[], bytes: number): string[] {
  const taken: string[] = [];
  for (let left = bytes; refs.length > 0;) {
    left -= JSON.stringify(refs[0]).length + 1;
    if (left < 0) break;
    taken.push(refs.shift()!);
  }
  return taken;
}

/** Whom submissions work with. */
export interface SubmissionsAround {
  settings: Settings;
  configuration: Configuration;
  admission: Admission;
  leader: Leader;
  ownership: Ownership;
  mirror: Mirror;
  rentals: Rentals;
  needs: Needs;
  committer: Committer;
  scope: Scope;
}

/** Makes records of what users submit. */
export class Submissions {
  private turn = 0;

  constructor(private readonly around: SubmissionsAround) {}

  /** Home, unless it has all the machines it can hold: then the part with the fewest. Null: nobody leads any. */
  choosePart(): number | null {
    const own = [...this.around.leader.parts.values()];
    const least = <T>(list: T[], load: (one: T) => number): T => list.reduce((a, b) => (load(b) < load(a) ? b : a));
    const machines = (id: number): number => this.around.rentals.count(id);
    if (own.length > 0) {
      const home = least(own, (p) => (p.phase === "serving" ? 0 : 1e6) + p.units.size).id;
      if (machines(home) < this.around.settings.mostMachines) return home;
    }
    const led = this.around.settings.nodes.map((_, id) => id).filter((id) => this.around.ownership.owner(id) !== undefined);
    if (led.length === 0) return null;
    return own.length > 0 ? least(led, machines) : led[this.turn++ % led.length]!;
  }

  /** Can the description be stored at all, but for the jobs it needs? */
  fits(spec: JobSpec): boolean {
    const { needs: _needs, ...rest } = spec;
    return recordBytes(rest) <= specRoom(this.around.settings.state.valueKb);
  }

  /**
   * Records the job. What a single transaction cannot take of a large one goes ahead
   * of it: slices, and lists of needed jobs, mean nothing before the job is there, and
   * those already there from an earlier try are left as they are.
   */
  async record(spec: JobSpec, part: number, shedAfterMs: number): Promise<Outcome> {
    const { txnOps } = this.around.settings.state;
    const key = keys.job(spec.ref);
    const options = { shedAfterMs, turn: "now" } as const;
    const draftOf = (rowsOf: () => Map<string, unknown>) => () => {
      if (this.around.mirror.get(key) !== undefined || this.stopped(spec)) return null;
      const rows = [...rowsOf()].filter(([k]) => this.around.mirror.get(k) === undefined);
      if (rows.length === 0) return null;
      // A job is accepted by the newest configuration, or not at all.
      const conditions = [...rows.map(([k]) => ({ k, stamp: 0 })), { k: keys.configuration, stamp: this.around.configuration.stamp }];
      return { conditions, apply: rows.map(([write, v]) => ({ write, v })) };
    };
    const ahead = [...this.ahead(spec, part)];
    while (ahead.length >= txnOps) {
      const some = new Map(ahead.splice(0, txnOps));
      if (
        (await this.around.committer.commit(
          "submit, ahead",
          draftOf(() => some),
          options,
        )) === "shed"
      )
        return "shed";
    }
    // As things stand when it is sent: a job it needs may have ended meanwhile.
    return this.around.committer.commit(
      "submit",
      draftOf(() => new Map<string, unknown>([[key, this.job(spec, part)], ...ahead])),
      options,
    );
  }

  /** By the configuration as it is now. */
  private stopped(spec: JobSpec): boolean {
    return this.around.admission.refused(spec) !== null || this.around.admission.undecided(spec);
  }

  /** Ends the preparation of a change whose author has not decided it in time: a copy that comes late then fails. */
  abandonPrepared(): void {
    const { configuration, mirror, committer, scope, settings } = this.around;
    const { prepared, stamp } = configuration;
    const waitMs = UNDECIDED_MS + settings.platform.deployment.clock_off_ms * 2;
    if (prepared === undefined || scope.clock.wall() - prepared.at < waitMs) return;
    void committer.commit(
      "abandon change",
      () => {
        const record = mirror.get<ConfigurationRecord>(keys.configuration);
        if (record === undefined || record.stamp !== stamp) return null;
        const { prepared: _prepared, ...rest } = record.v;
        return { conditions: [{ k: keys.configuration, stamp }], apply: [{ write: keys.configuration, v: rest }] };
      },
      { turn: "now", shedAfterMs: settings.timing.stateTimeoutMs },
    );
  }

  /** The first slice, which is the job's own record. A gang is one slice. */
  private firstSlice(spec: JobSpec): number {
    return spec.kind === "gang" ? spec.tasks : Math.min(sliceCapacity(this.around.settings.state.valueKb), spec.tasks);
  }

  /** Of what it needs, what its own record has no room for: part of a list that is named by what it says. */
  private lists(spec: JobSpec): { inline: string[]; name: string; lists: string[][] } {
    const room = specRoom(this.around.settings.state.valueKb);
    const { needs = [], ...rest } = spec;
    const left = [...needs];
    const inline = takeRefs(left, room - recordBytes(rest));
    const lists: string[][] = [];
    const name = left.length === 0 ? "" : createHash("sha256").update(left.join()).digest("hex").slice(0, 16);
    while (left.length > 0) lists.push(takeRefs(left, room));
    return { inline, name, lists };
  }

  private ahead(spec: JobSpec, part: number): Map<string, unknown> {
    const rows = new Map<string, unknown>();
    const { name, lists } = this.lists(spec);
    lists.forEach((refs, i) => rows.set(keys.needList(spec.ref, name, i), { ref: spec.ref, needs: refs }));
    const size = this.firstSlice(spec);
    // Tasks that must agree on zones stay with one leader.
    const together = spec.oneZone || spec.spread;
    const n = this.around.settings.nodes.length;
    for (let lo = size, i = 1; lo < spec.tasks; lo += size, i++) {
      const at = together ? part : (part + i) % n;
      const slice: SliceRecord = {
        ...(spec.needs === undefined ? { part: at } : waitingFor(at)),
        ref: spec.ref,
        lo,
        hi: Math.min(lo + size, spec.tasks),
        done: "",
      };
      rows.set(keys.slice(spec.ref, lo), slice);
    }
    return rows;
  }

  /** With one that it needs cancelled, it is recorded as cancelled; with all of them done, as any other. */
  private job(spec: JobSpec, part: number): JobRecord {
    const at = this.around.scope.clock.wall();
    const hi = this.firstSlice(spec);
    const { needs, ...plain } = spec;
    if (needs === undefined) return { spec, part, hi, done: "", at };
    const fates = needs.map((ref) => this.around.needs.fate(ref));
    if (fates.includes("withdrawn")) return { spec: plain, part, hi, done: "", at, end: "withdrawn" };
    if (fates.every((fate) => fate === "done")) return { spec: plain, part, hi, done: "", at };
    const { inline, name, lists } = this.lists(spec);
    return {
      ...waitingFor(part),
      spec: { ...plain, needs: inline },
      hi,
      done: "",
      at,
      ...(lists.length > 0 ? { needLists: { name, count: lists.length } } : {}),
    };
  }
}
