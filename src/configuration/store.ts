import { randomUUID } from "node:crypto";
import { isDeepStrictEqual } from "node:util";
import { CallError } from "@thorntrail/protocol/errors";
import { RateLimitError, type Condition, type Op, type StateApi } from "@thorntrail/protocol/state";
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
 * Reads and changes the configuration in the state service, for operators' commands. A change is one conditional
 * transaction under the next version. A change that lowers limits is first recorded as prepared: from then on no job
 * that needs more is accepted, so the check of the accepted jobs that follows misses none.
 */

/** Number of configuration versions whose changes are kept in the history. */
export const HISTORY_VERSIONS = 100;
/** Operations in a change's transaction besides one for each team: the head record, the new history entry and the removal of the oldest one. */
const RESERVED_OPS = 3;
/** Number of records read in one request to the state service. */
const PAGE_SIZE = 500;
/** Maximum number of attempts to make a read or write that is not answered. */
const MAX_TRIES = 20;
/** Pause between two attempts, before jitter. */
const RETRY_MS = 200;
const REQUEST_TIMEOUT_MS = 2000;

/** Thrown with the reason if a configuration change was not made or the configuration could not be read. */
export class ChangeRefused extends Error {
  constructor(
    /** `invalid`: the change is not allowed; `conflict`: another change was made first; `unavailable`: the state service does not answer. */
    readonly code: "invalid" | "conflict" | "unavailable",
    message: string,
  ) {
    super(message);
  }
}

/** The configuration as recorded in the state service: head record, teams and history of changes. */
export interface ConfigurationState {
  head: ConfigurationRecord | null;
  /** Stored revision of the head record; 0 if the configuration was never changed. */
  stamp: number;
  teams: Team[];
  history: ConfigurationHistoryRecord[];
}

const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** Reads and changes the configuration recorded in the state service. All methods throw ChangeRefused if the service does not answer. */
export class ConfigurationStore {
  constructor(
    private readonly state: StateApi,
    private readonly base: readonly TeamSettings[],
    private readonly limits: StateLimits,
    private readonly wallClock: () => number = () => Date.now(),
    private readonly sleep: (ms: number) => Promise<void> = pause,
  ) {}

  /** Reads the head record, the teams and the history of changes. */
  async read(): Promise<ConfigurationState> {
    const rows = await this.rows<unknown>(keys.configurationRoot);
    const head = rows.get(keys.configuration);
    const rowsOf = <T>(prefix: string): T[] => [...rows].filter(([key]) => key.startsWith(prefix)).map(([, { v }]) => v as T);
    return {
      head: (head?.v as ConfigurationRecord | undefined) ?? null,
      stamp: head?.stamp ?? 0,
      teams: mergeTeams(this.base, rowsOf<TeamRecord>(keys.changedTeams)),
      history: rowsOf<ConfigurationHistoryRecord>(keys.configurationHistory),
    };
  }

  /** Owner records of the partitions, by key. */
  async owners(): Promise<Map<string, { v: OwnerRecord; stamp: number }>> {
    return this.rows<OwnerRecord>(keys.owners);
  }

  /** Presence records of the controllers, by key. */
  async presence(): Promise<Map<string, { v: PresenceRecord; stamp: number }>> {
    return this.rows<PresenceRecord>(keys.presence);
  }

  /** Makes the change; resolves with its configuration version, or with the newest version if the change has no effect. Throws ChangeRefused. */
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

  /** Throws ChangeRefused if the change is invalid or exceeds the state service's limits. */
  private check(change: TeamChange, teams: readonly Team[]): void {
    const errors = changeErrors(change, teams, Math.max(1, this.limits.txnOps - RESERVED_OPS));
    const head: ConfigurationRecord = { version: Number.MAX_SAFE_INTEGER, at: this.wallClock(), id: randomUUID() };
    if (errors.length === 0) {
      const bytes = recordBytes(historyRecord(change, teams, head)) + recordBytes(change.set);
      const maxBytes = this.limits.valueKb * 1024;
      if (bytes > maxBytes) errors.push(`(top): ${bytes} bytes: expected at most ${maxBytes}, by the state service's limits`);
    }
    if (errors.length > 0) throw new ChangeRefused("invalid", errors.join("; "));
  }

  /**
   * Records the lower limits, after which no job that needs more is accepted, and then checks the jobs accepted earlier.
   * Throws ChangeRefused if one of them could never run within the lower limits.
   */
  private async prepare(change: TeamChange, before: ConfigurationState, id: string): Promise<ConfigurationState> {
    const prepared = { id, teams: change.set, at: this.wallClock() };
    const head: ConfigurationRecord = { ...(before.head ?? { version: 0, at: this.wallClock(), id }), prepared };
    const stamp = await this.write(before.stamp, id, [{ write: keys.configuration, v: head }]);
    const openSpecs: JobRecord["spec"][] = [];
    for (const { v } of (await this.rows<JobRecord>(keys.jobs)).values()) if (v.end === undefined) openSpecs.push(v.spec);
    const unrunnable = unrunnableJob(change, openSpecs);
    if (unrunnable === null) return { ...before, head, stamp };
    const { prepared: _prepared, ...rest } = head;
    await this.write(stamp, rest.id, [{ write: keys.configuration, v: rest }]);
    throw new ChangeRefused("invalid", `teams: ${unrunnable}: expected limits that every accepted job can run within`);
  }

  /**
   * Writes if the head record still has the stored revision `stamp`; resolves with its new revision. An unanswered write is
   * repeated under the same condition, so it is applied at most once; if the condition fails, the head record is read back
   * to see whether this write was applied.
   */
  private async write(stamp: number, id: string, apply: Op[]): Promise<number> {
    const conditions: Condition[] = [{ k: keys.configuration, stamp }];
    const wanted = apply[0] as { write: string; v: ConfigurationRecord };
    for (let i = 0; i < MAX_TRIES; i++) {
      try {
        const result = await this.state.txn(conditions, apply, REQUEST_TIMEOUT_MS);
        if (result.ok) return result.ledger;
      } catch (error) {
        if (!(error instanceof CallError) && !(error instanceof RateLimitError)) throw error;
        await this.sleep(RETRY_MS * (1 + Math.random()));
        continue;
      }
      const current = (await this.rows<ConfigurationRecord>(keys.configuration)).get(keys.configuration);
      if (current !== undefined && isDeepStrictEqual(current.v, JSON.parse(JSON.stringify(wanted.v)))) return current.stamp;
      throw new ChangeRefused(
        "conflict",
        `another change came first, now version ${current?.v.version ?? 0}: look at it, then set again (${id})`,
      );
    }
    throw new ChangeRefused("unavailable", "the state service does not answer: `config get` shows whether the change was made");
  }

  /** Reads all records under a prefix, page by page. */
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
        if (!(error instanceof CallError) && !(error instanceof RateLimitError)) throw error;
        i++;
        await this.sleep(RETRY_MS * (1 + Math.random()));
      }
    }
    throw new ChangeRefused("unavailable", "the state service does not answer");
  }
}

/** A team's guaranteed resources and limits; null if there is no such team or it was removed. */
function limitsOf(team: Team | undefined): TeamSettings | null {
  if (team === undefined || team.removed) return null;
  const { removed: _removed, ...limits } = team;
  return limits;
}

/** Whether the configuration change would leave every team as it is. */
function isNoOp({ set, remove }: TeamChange, teams: readonly Team[]): boolean {
  const byName = new Map(teams.map((team) => [team.name, team]));
  return remove.length === 0 && set.every((team) => isDeepStrictEqual(limitsOf(byName.get(team.name)), { ...team }));
}

/** History entry of a change, with each team's settings before and after. */
function historyRecord({ set, remove }: TeamChange, teams: readonly Team[], head: ConfigurationRecord): ConfigurationHistoryRecord {
  const byName = new Map(teams.map((team) => [team.name, team]));
  const changed = [...set.map((after) => ({ name: after.name, after })), ...remove.map((name) => ({ name, after: null }))];
  return {
    version: head.version,
    at: head.at,
    teams: changed.map(({ name, after }) => ({ name, before: limitsOf(byName.get(name)), after })),
  };
}
