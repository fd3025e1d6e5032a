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

/** Configuration that this controller applies: the platform's file and the changes recorded in the state service. */
export class Configuration {
  /** Teams derived from the records; discarded when any of them changes. */
  private cached: { teams: Team[]; byName: Map<string, Team> } | null = null;
  /** Newest version, and the time at which this controller first saw it, in steady ms. */
  private newestSeen = { version: 0, at: -Infinity };
  /** Newest version that was found in force everywhere. */
  private inForceVersion = 0;

  constructor(
    private readonly settings: Settings,
    private readonly replica: StateReplica,
    private readonly scope: Scope,
  ) {
    scope.listen(replica.changes$, (key) => this.onRecordChanged(key));
  }

  /** Discards the cached teams and logs a new version when a record of the configuration changes. */
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

  /** Newest version; 0 if the configuration was never changed. */
  get version(): number {
    return this.record?.version ?? 0;
  }

  /** Stamp of the head record, for conditions; 0 if there is none. */
  get stamp(): number {
    return this.replica.stamp(keys.configuration);
  }

  /** A change that lowers limits and is still being checked. */
  get prepared(): PreparedChange | undefined {
    return this.record?.prepared;
  }

  private mergedTeams(): NonNullable<Configuration["cached"]> {
    if (this.cached !== null) return this.cached;
    const teams = mergeTeams(this.settings.platform.deployment.teams, this.teamRecords());
    return (this.cached = { teams, byName: new Map(teams.map((team) => [team.name, team])) });
  }

  /** Team records written by changes. */
  teamRecords(): TeamRecord[] {
    if (this.record === undefined) return [];
    const rows = this.replica.rows<TeamRecord>(keys.configurationRoot);
    return [...rows].filter(([key]) => key.startsWith(keys.changedTeams)).map(([, { v }]) => v);
  }

  /** All teams, including removed ones. */
  get teams(): readonly Team[] {
    return this.mergedTeams().teams;
  }

  /** The team of this name. */
  team(name: string): Team | undefined {
    return this.mergedTeams().byName.get(name);
  }

  /**
   * Teams whose jobs are accepted. Jobs of a removed team are accepted until its removal is in force everywhere: before,
   * another controller would still accept jobs that this one refuses permanently.
   */
  get acceptingTeams(): readonly Team[] {
    const { teams } = this;
    return teams.some(({ removed }) => removed) && this.inForce() ? teams.filter(({ removed }) => !removed) : teams;
  }

  /** Whether the newest version is in force everywhere, according to this controller's replica. */
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
