import type { Mirror } from "../ledger/mirror.js";
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
import { isInForce, standingsOf } from "./in-force.js";
import { mergeTeams, type Team } from "./teams.js";

/** The configuration that this controller acts by: the platform's file, and the changes recorded in the state service. */
export class Configuration {
  /** Made from the records when asked for, and again after any of them changed. */
  private cached: { teams: Team[]; byName: Map<string, Team> } | null = null;
  /** When this controller first saw the newest version, in steady ms. */
  private newestSeen = { version: 0, at: -Infinity };
  private inForceVersion = 0;

  constructor(
    private readonly settings: Settings,
    private readonly replica: Mirror,
    private readonly scope: Scope,
  ) {
    scope.listen(replica.changes$, (key) => this.onRecordChanged(key));
  }

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

  /** 0: nothing was ever changed. */
  get version(): number {
    return this.record?.version ?? 0;
  }

  /** The record's stamp, for conditions; 0: it is not there. */
  get stamp(): number {
    return this.replica.stamp(keys.configuration);
  }

  /** A change that lowers limits and has not been decided yet. */
  get prepared(): PreparedChange | undefined {
    return this.record?.prepared;
  }

  private mergedTeams(): NonNullable<Configuration["cached"]> {
    if (this.cached !== null) return this.cached;
    const teams = mergeTeams(this.settings.platform.deployment.teams, this.changed());
    return (this.cached = { teams, byName: new Map(teams.map((team) => [team.name, team])) });
  }

  /** What changes have written of teams. */
  changed(): TeamRecord[] {
    if (this.record === undefined) return [];
    const rows = this.replica.rows<TeamRecord>(keys.configurationRoot);
    return [...rows].filter(([key]) => key.startsWith(keys.changedTeams)).map(([, { v }]) => v);
  }

  /** All teams, removed ones among them. */
  get teams(): readonly Team[] {
    return this.mergedTeams().teams;
  }

  team(name: string): Team | undefined {
    return this.mergedTeams().byName.get(name);
  }

  /**
   * Teams whose jobs are accepted. A removed team's are until its removal is in force everywhere: before, another
   * controller would still accept what this one refuses for good.
   */
  get accepting(): readonly Team[] {
    const { teams } = this;
    return teams.some(({ removed }) => removed) && this.inForce() ? teams.filter(({ removed }) => !removed) : teams;
  }

  /** Is the newest version in force everywhere, as far as this controller can tell? */
  inForce(): boolean {
    const { version, replica: mirror, settings } = this;
    if (version === this.inForceVersion) return true;
    const standings = standingsOf({
      version,
      partitions: settings.nodes.length,
      owner: (partition) => mirror.get<OwnerRecord>(keys.owner(partition)),
      presence: (node) => mirror.get<PresenceRecord>(keys.alive(node))?.v,
      elapsedMs: this.scope.clock.now() - this.newestSeen.at,
      silentAfterMs: settings.timing.silentAfterMs,
    });
    if (isInForce(standings)) this.inForceVersion = version;
    return this.inForceVersion === version;
  }
}
