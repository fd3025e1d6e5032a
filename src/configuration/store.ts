import { randomUUID } from "node:crypto";
import { isDeepStrictEqual } from "node:util";
import { NoReply } from "@thorntrail/protocol/errors";
import { OverRate, type Condition, type Op, type StateApi } from "@thorntrail/protocol/state";
import {
  keys,
  recordBytes,
  type ConfigurationHistoryRecord,
  type ConfigurationRecord,
  type JobRecord,
  type OwnerRecord,
  type PresenceRecord,
  type TeamRecord,
} from "../ledger/records.js";
import type { StateLimits } from "../settings/derived.js";
import type { TeamSettings } from "../settings/platform-file.js";
import { changeErrors, lowersLimits, changeRecords, unrunnableJob, mergeTeams, type Team, type TeamChange } from "./teams.js";

/**
 * Reads and changes the configuration in the state service, for whoever operates the fleet. A change is one conditional
 * transaction under the next version. One that lowers limits is prepared first: from then on no job is accepted that
 * would need more, so the check that follows sees every job that counts.
 */

/** Versions whose changes are kept. */
export const HISTORY_VERSIONS = 100;
/** Of a transaction's changes: the head, what the version changed, and the history's oldest entry. */
const RESERVED_OPS = 3;
const PAGE_SIZE = 500;
/** A change of the state that was not answered is looked up and asked for again so often. */
const MAX_TRIES = 20;
const RETRY_MS = 200;
const REQUEST_TIMEOUT_MS = 2000;

/** Why a change was not made. */
export class ChangeRefused extends Error {
  constructor(
    /** `invalid`: the change itself; `conflict`: another change came first; `unavailable`: the state service does not answer. */
    readonly code: "invalid" | "conflict" | "unavailable",
    message: string,
  ) {
    super(message);
  }
}

export interface ConfigurationState {
  head: ConfigurationRecord | null;
  /** Of the head; 0: nothing was ever changed. */
  stamp: number;
  teams: Team[];
  history: ConfigurationHistoryRecord[];
}

const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

export class ConfigurationStore {
  constructor(
    private readonly state: StateApi,
    private readonly base: readonly TeamSettings[],
    private readonly limits: StateLimits,
    private readonly wallClock: () => number = () => Date.now(),
    private readonly rest: (ms: number) => Promise<void> = pause,
  ) {}

  async read(): Promise<ConfigurationState> {
    const rows = await this.rows<unknown>(keys.configurationRoot);
    const head = rows.get(keys.configuration);
    const of = <T>(prefix: string): T[] => [...rows].filter(([key]) => key.startsWith(prefix)).map(([, { v }]) => v as T);
    return {
      head: (head?.v as ConfigurationRecord | undefined) ?? null,
      stamp: head?.stamp ?? 0,
      teams: mergeTeams(this.base, of<TeamRecord>(keys.changedTeams)),
      history: of<ConfigurationHistoryRecord>(keys.configurationHistory),
    };
  }

  async owners(): Promise<Map<string, { v: OwnerRecord; stamp: number }>> {
    return this.rows<OwnerRecord>(keys.owners);
  }

  async presence(): Promise<Map<string, { v: PresenceRecord; stamp: number }>> {
    return this.rows<PresenceRecord>(keys.presence);
  }

  /** Makes the change; resolves with the version that has it, the newest if nothing differs. Throws ChangeRefused. */
  async set(change: TeamChange): Promise<{ version: number; changed: boolean }> {
    const id = randomUUID();
    let before = await this.read();
    this.check(change, before.teams);
    if (isNoOp(change, before.teams)) return { version: before.head?.version ?? 0, changed: false };
    if (lowersLimits(change, before.teams)) before = await this.prepare(change, before, id);
    const version = (before.head?.version ?? 0) + 1;
    const head: ConfigurationRecord = { version, at: this.wallClock(), id };
    const records = changeRecords(change, before.teams, version);
    const oldest = keys.configurationVersion(version - HISTORY_VERSIONS);
    await this.write(before.stamp, id, [
      { write: keys.configuration, v: head },
      ...records.map((record) => ({ write: keys.changedTeam(record.name), v: record })),
      { write: keys.configurationVersion(version), v: historyRecord(change, before.teams, head) },
      ...(version > HISTORY_VERSIONS ? [{ remove: oldest }] : []),
    ]);
    return { version, changed: true };
  }

  private check(change: TeamChange, teams: readonly Team[]): void {
    const faults = changeErrors(change, teams, Math.max(1, this.limits.txnOps - RESERVED_OPS));
    const head: ConfigurationRecord = { version: Number.MAX_SAFE_INTEGER, at: this.wallClock(), id: randomUUID() };
    if (faults.length === 0) {
      const bytes = recordBytes(historyRecord(change, teams, head)) + recordBytes(change.set);
      const most = this.limits.valueKb * 1024;
      if (bytes > most) faults.push(`(top): ${bytes} bytes: expected at most ${most}, by the state service's limits`);
    }
    if (faults.length > 0) throw new ChangeRefused("invalid", faults.join("; "));
  }

  /** From here on nothing is accepted that the lower limits would leave without the means to run. */
  private async prepare(change: TeamChange, before: ConfigurationState, id: string): Promise<ConfigurationState> {
    const prepared = { id, teams: change.set, at: this.wallClock() };
    const head: ConfigurationRecord = { ...(before.head ?? { version: 0, at: this.wallClock(), id }), prepared };
    const stamp = await this.write(before.stamp, id, [{ write: keys.configuration, v: head }]);
    const open: JobRecord["spec"][] = [];
    for (const { v } of (await this.rows<JobRecord>(keys.jobs)).values()) if (v.end === undefined) open.push(v.spec);
    const stranded = unrunnableJob(change, open);
    if (stranded === null) return { ...before, head, stamp };
    const { prepared: _prepared, ...rest } = head;
    await this.write(stamp, rest.id, [{ write: keys.configuration, v: rest }]);
    throw new ChangeRefused("invalid", `teams: ${stranded}: expected limits that every accepted job can run within`);
  }

  /**
   * Writes under the condition that the head still has the stamp; resolves with the new one. What was not answered is
   * read back: applied late, it has the effect of one application, since the head's stamp has changed.
   */
  private async write(stamp: number, id: string, apply: Op[]): Promise<number> {
    const conditions: Condition[] = [{ k: keys.configuration, stamp }];
    const wanted = apply[0] as { write: string; v: ConfigurationRecord };
    for (let i = 0; i < MAX_TRIES; i++) {
      try {
        const result = await this.state.txn(conditions, apply, REQUEST_TIMEOUT_MS);
        if (result.ok) return result.ledger;
      } catch (error) {
        if (!(error instanceof NoReply) && !(error instanceof OverRate)) throw error;
        await this.rest(RETRY_MS * (1 + Math.random()));
        continue;
      }
      const now = (await this.rows<ConfigurationRecord>(keys.configuration)).get(keys.configuration);
      if (now !== undefined && isDeepStrictEqual(now.v, JSON.parse(JSON.stringify(wanted.v)))) return now.stamp;
      throw new ChangeRefused(
        "conflict",
        `another change came first, now version ${now?.v.version ?? 0}: look at it, then set again (${id})`,
      );
    }
    throw new ChangeRefused("unavailable", "the state service does not answer: whether the change was made, `config get` will say");
  }

  private async rows<T>(prefix: string): Promise<Map<string, { v: T; stamp: number }>> {
    const rows = new Map<string, { v: T; stamp: number }>();
    let from: string | undefined;
    for (let i = 0; i < MAX_TRIES;) {
      try {
        const page = await this.state.range(prefix, from, PAGE_SIZE, REQUEST_TIMEOUT_MS);
        for (const { k, v, stamp } of page.rows) rows.set(k, { v: v as T, stamp });
        if (!page.more) return rows;
        from = page.rows.at(-1)!.k;
      } catch (error) {
        if (!(error instanceof NoReply) && !(error instanceof OverRate)) throw error;
        i++;
        await this.rest(RETRY_MS * (1 + Math.random()));
      }
    }
    throw new ChangeRefused("unavailable", "the state service does not answer");
  }
}

function limitsOf(team: Team | undefined): TeamSettings | null {
  if (team === undefined || team.removed) return null;
  const { removed: _removed, ...limits } = team;
  return limits;
}

function isNoOp({ set, remove }: TeamChange, teams: readonly Team[]): boolean {
  const named = new Map(teams.map((team) => [team.name, team]));
  return remove.length === 0 && set.every((team) => isDeepStrictEqual(limitsOf(named.get(team.name)), { ...team }));
}

function historyRecord({ set, remove }: TeamChange, teams: readonly Team[], head: ConfigurationRecord): ConfigurationHistoryRecord {
  const named = new Map(teams.map((team) => [team.name, team]));
  const changed = [...set.map((after) => ({ name: after.name, after })), ...remove.map((name) => ({ name, after: null }))];
  return {
    version: head.version,
    at: head.at,
    teams: changed.map(({ name, after }) => ({ name, before: limitsOf(named.get(name)), after })),
  };
}
