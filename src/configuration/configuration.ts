import type { StateReplica } from "../ledger/state-replica.js";
import {
  keys,
  type ConfigurationRecord,
  type OwnerRecord,
  type PreparedChange,
  type PresenceRecord,
  type TeamRecord,
} from "../ledger/records.js";
import type { Scope } from "../platform/scope.js";
import type { Settings } from "../settings/derived.js";
import { isInForce, partitionStatuses } from "./in-force.js";
import { mergeTeams, type Team } from "./teams.js";

/** Teams and limits that this controller applies: those of the platform's file with the changes recorded in the state service. */
export class Configuration {
  /** Teams merged from the platform's file and the team records; null if they must be merged: at first and after a record has changed. */
  private cached: { teams: Team[]; byName: Map<string, Team> } | null = null;
  /** Newest configuration version, and when this controller first saw it, in ms of the monotonic clock. */
  private newestSeen = { version: 0, at: -Infinity };
  /** Newest configuration version that was found in force in all partitions. */
  private inForceVersion = 0;

  constructor(
    private readonly settings: Settings,
    private readonly replica: StateReplica,
    private readonly scope: Scope,
  ) {
    scope.listen(replica.changes$, (key) => this.onRecordChanged(key));
  }

  /** When a record of the configuration has changed, discards the cached teams and logs the configuration version if it is new. */
  private onRecordChanged(key: string): void {
    if (key !== "" && !key.startsWith(keys.configurationRoot)) return;
    this.cached = null;
    if (this.version === this.newestSeen.version) return;
    this.newestSeen = { version: this.version, at: this.scope.clock.now() };
    this.scope.log.info({ version: this.version }, "configuration changed");
  }

  private get record(): ConfigurationRecord | undefined {
    return this.replica.get<ConfigurationRecord>(keys.configuration)?.v;
  }

  /** Newest configuration version; 0 if the configuration was never changed. */
  get version(): number {
    return this.record?.version ?? 0;
  }

  /** Stored revision of the configuration's head record, for conditions of transactions; 0 if there is no head record. */
  get stamp(): number {
    return this.replica.stamp(keys.configuration);
  }

  /** Configuration change that lowers limits and is still being checked; undefined if there is none. */
  get prepared(): PreparedChange | undefined {
    return this.record?.prepared;
  }

  private mergedTeams(): NonNullable<Configuration["cached"]> {
    if (this.cached !== null) return this.cached;
    const teams = mergeTeams(this.settings.platform.deployment.teams, this.teamRecords());
    return (this.cached = { teams, byName: new Map(teams.map((team) => [team.name, team])) });
  }

  /** Team records that configuration changes have written. */
  teamRecords(): TeamRecord[] {
    if (this.record === undefined) return [];
    const rows = this.replica.rows<TeamRecord>(keys.configurationRoot);
    return [...rows].filter(([key]) => key.startsWith(keys.changedTeams)).map(([, { v }]) => v);
  }

  /** All teams, including removed ones. */
  get teams(): readonly Team[] {
    return this.mergedTeams().teams;
  }

  /** The team of this name, even if it was removed; undefined if there never was one. */
  team(name: string): Team | undefined {
    return this.mergedTeams().byName.get(name);
  }

  /**
   * Teams whose jobs are accepted. Jobs of a removed team are accepted until its removal is in force everywhere:
   * otherwise this controller would refuse for good a job that another controller still accepts.
   */
  get acceptingTeams(): readonly Team[] {
    const { teams } = this;
    return teams.some(({ removed }) => removed) && this.inForce() ? teams.filter(({ removed }) => !removed) : teams;
  }

  /** Whether the newest configuration version is in force in all partitions, according to this controller's replica of the state service. */
  inForce(): boolean {
    const { version, replica, settings } = this;
    if (version === this.inForceVersion) return true;
    const statuses = partitionStatuses({
      version,
      partitions: settings.nodes.length,
      owner: (partition) => replica.get<OwnerRecord>(keys.owner(partition)),
      presence: (node) => replica.get<PresenceRecord>(keys.presenceOf(node))?.v,
      elapsedMs: this.scope.clock.now() - this.newestSeen.at,
      silentAfterMs: settings.timing.silentAfterMs,
    });
    if (isInForce(statuses)) this.inForceVersion = version;
    return this.inForceVersion === version;
  }
}
