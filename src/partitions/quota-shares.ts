/**
 * The partitions' shares of each team's resource limits: the quota records, their adjustment and transfers of quota.
 */
import type { Configuration } from "../configuration/configuration.js";
import { adjustedShares, startsAllowed, type Limit } from "../configuration/quota-shares.js";
import type { GroupCommitter } from "../ledger/group-committer.js";
import type { StateReplica } from "../ledger/state-replica.js";
import { keys, type QuotaShareRecord } from "../ledger/records.js";
import type { Scope } from "../platform/scope.js";
import type { Settings } from "../settings/derived.js";
import { quotaShareOf, usageOfTeam, type Partition, type Usage } from "../partitions/partition.js";

/** Splits `max` over `n` partitions in whole units, with the remainder in the first; null for each if there is no limit. */
function splitLimit(max: number, n: number): (number | null)[] {
  if (max <= 0) return Array<null>(n).fill(null);
  const each = Math.floor(max / n);
  return Array.from({ length: n }, (_, i) => (i === 0 ? max - each * (n - 1) : each));
}

/**
 * Number of periodic reviews in which a team's missing quota record is created only by the owner of the partition
 * responsible for the team: about half the lifetime of a presence key.
 */
const OWNER_ONLY_REVIEWS = 2;

/** Converts a limit from the settings, where 0 means that there is none. */
const limitOf = (max: number): Limit => (max <= 0 ? null : max);

/** Returns the partition responsible for a team: the same at every controller, and spread over the partitions by a hash of the name. */
function responsiblePartition(team: string, partitions: number): number {
  let hash = 0;
  for (const char of team) hash = (hash * 31 + char.charCodeAt(0)) >>> 0;
  return hash % partitions;
}

/**
 * Team limits, split durably over the partitions. Only a partition's owner reduces the partition's share, and only by
 * what is unused, so that the total usage never exceeds the limit, whichever nodes are cut off from each other.
 */
export class QuotaShares {
  /** Quota that transactions without a definite outcome transfer to other partitions, by giving partition and team. */
  private readonly transferring = new Map<string, Usage>();
  /** Partitions and teams whose share is being adjusted. */
  private readonly adjusting = new Set<string>();
  /** Keys of quota records that are being created. */
  private readonly creating = new Set<string>();
  private reviewDue = false;
  /** Number of periodic reviews since this node first read the state service. */
  private reviewCount = 0;

  constructor(
    private readonly settings: Settings,
    private readonly configuration: Configuration,
    /** The partitions that this node owns. */
    private readonly partitions: () => ReadonlyMap<number, Partition>,
    private readonly replica: StateReplica,
    private readonly committer: GroupCommitter,
    private readonly scope: Scope,
  ) {}

  /** Starts the periodic review, and reviews after changes of owners, configuration and shares. */
  start(): void {
    this.scope.routine(
      "quota shares",
      () => this.settings.timing.presenceMs / 4,
      () => {
        if (this.replica.loaded) this.reviewCount++;
        this.review();
      },
    );
    this.scope.listen(this.replica.changes$, (key) => {
      if (key.startsWith(keys.owners) || key.startsWith(keys.configurationRoot)) this.reviewSoon();
      else if (this.configuration.version > 0 && key.startsWith(keys.quotaShares)) this.reviewSoon();
    });
  }

  /** Schedules one review for all changes made by a transaction, after the other listeners to these changes have run. */
  private reviewSoon(): void {
    if (this.reviewDue) return;
    this.reviewDue = true;
    this.scope.clock.after(0, () => {
      this.reviewDue = false;
      if (!this.scope.closed) this.review();
    });
  }

  private review(): void {
    if (!this.replica.loaded) return;
    this.createMissing();
    this.adjustAll();
  }

  /**
   * Creates the missing quota records of teams. At first only the owner of the partition responsible for the team
   * does so, because concurrent attempts of all controllers would fail each other's transactions. After
   * `OWNER_ONLY_REVIEWS` reviews any controller creates a record that is still missing.
   */
  private createMissing(): void {
    const n = this.settings.nodes.length;
    for (const team of this.configuration.teams) {
      const key = keys.quotaShare(team.name);
      if (this.replica.get(key) !== undefined || this.creating.has(key)) continue;
      if (this.reviewCount <= OWNER_ONLY_REVIEWS && !this.partitions().has(responsiblePartition(team.name, n))) continue;
      const value: QuotaShareRecord = { cpus: splitLimit(team.cpus_max, n), gpus: splitLimit(team.gpus_max, n) };
      this.creating.add(key);
      const draft = () =>
        this.replica.get(key) !== undefined ? null : { conditions: [{ k: key, stamp: 0 }], apply: [{ write: key, v: value }] };
      const shedAfterMs = this.settings.timing.presenceMs / 4;
      void this.committer.commit("quota record", draft, { shedAfterMs }).then(() => this.creating.delete(key));
    }
  }

  /** The teams of the configuration in force. */
  get teams(): Configuration["teams"] {
    return this.configuration.teams;
  }

  /** Returns how much of the team's limit the partition may use, less what is being transferred to other partitions. */
  grantedShare(partition: number, team: string): Usage {
    const record = this.replica.get<QuotaShareRecord>(keys.quotaShare(team))?.v;
    const share = this.startableShare(quotaShareOf(record, partition), record, team);
    const pending = this.transferring.get(`${partition}|${team}`);
    return pending === undefined ? share : { cpus: share.cpus - pending.cpus, gpus: share.gpus - pending.gpus };
  }

  /**
   * Returns how much of a partition's quota share may be used to start tasks: nothing while the shares of all
   * partitions still sum to more than a lowered limit.
   */
  private startableShare(share: Usage, record: QuotaShareRecord | undefined, team: string): Usage {
    const limits = this.configuration.version === 0 ? undefined : this.configuration.team(team);
    if (limits === undefined || record === undefined) return share;
    return {
      cpus: startsAllowed(record.cpus, limitOf(limits.cpus_max)) ? share.cpus : 0,
      gpus: startsAllowed(record.gpus, limitOf(limits.gpus_max)) ? share.gpus : 0,
    };
  }

  /** Adjusts the shares of the owned partitions to the limits of the newest configuration. */
  private adjustAll(): void {
    for (const { name } of this.configuration.teamRecords())
      for (const partition of this.partitions().values()) if (partition.phase === "serving") this.adjust(partition, name);
  }

  private adjust(partition: Partition, team: string): void {
    const label = `${partition.id}|${team}`;
    if (this.adjusting.has(label) || this.transferring.has(label) || this.nextShares(partition, team) === null) return;
    this.adjusting.add(label);
    const { term } = partition;
    const key = keys.quotaShare(team);
    const draft = () => {
      if (this.replica.stamp(keys.owner(partition.id)) !== term) return null;
      const next = this.nextShares(partition, team);
      if (next === null) return null;
      return {
        conditions: [
          { k: key, stamp: this.replica.stamp(key) },
          { k: keys.owner(partition.id), stamp: term },
          { k: keys.configuration, stamp: this.configuration.stamp },
        ],
        apply: [{ write: key, v: next }],
      };
    };
    void this.committer.commit("adjust quota", draft, { shedAfterMs: this.settings.timing.presenceMs }).then((outcome) => {
      this.adjusting.delete(label);
      if (outcome === "done") this.scope.log.info({ part: partition.id, team }, "quota share adjusted");
    });
  }

  /** Returns the team's quota record as the owner of this partition would write it next; null if nothing changes. */
  private nextShares(partition: Partition, team: string): QuotaShareRecord | null {
    const record = this.replica.get<QuotaShareRecord>(keys.quotaShare(team))?.v;
    const limits = this.configuration.team(team);
    if (record === undefined || limits === undefined) return null;
    const used = usageOfTeam(partition, team);
    const raises = responsiblePartition(team, this.settings.nodes.length) === partition.id;
    const next = (name: "cpus" | "gpus"): QuotaShareRecord["cpus"] | null => {
      const shares = adjustedShares(record[name], limitOf(limits[`${name}_max`]), { partition: partition.id, used: used[name], raises });
      return shares === null ? null : [...shares];
    };
    const [cpus, gpus] = [next("cpus"), next("gpus")];
    return cpus === null && gpus === null ? null : { cpus: cpus ?? record.cpus, gpus: gpus ?? record.gpus };
  }

  /** Transfers up to `want` of the partition's surplus share to partition `to`. */
  transfer(partition: Partition, to: number, team: string, want: Usage, surplus: Usage): void {
    const label = `${partition.id}|${team}`;
    if (this.transferring.has(label) || this.adjusting.has(label) || partition.phase !== "serving" || to === partition.id) return;
    const finite = (x: number): number => (Number.isFinite(x) ? Math.max(0, x) : 0);
    const transferred = {
      cpus: Math.min(finite(want.cpus), finite(surplus.cpus)),
      gpus: Math.min(finite(want.gpus), finite(surplus.gpus)),
    };
    if (transferred.cpus <= 0 && transferred.gpus <= 0) return;
    const key = keys.quotaShare(team);
    this.transferring.set(label, transferred);
    const term = partition.term;
    const expectedStamp = this.replica.stamp(key);
    const draft = () => {
      const entry = this.replica.get<QuotaShareRecord>(key);
      if (entry === undefined || entry.stamp !== expectedStamp || this.replica.stamp(keys.owner(partition.id)) !== term) return null;
      const move = (list: (number | null)[], amount: number): (number | null)[] =>
        list.map((x, i) => (x === null ? null : i === partition.id ? x - amount : i === to ? x + amount : x));
      return {
        conditions: [
          { k: key, stamp: entry.stamp },
          { k: keys.owner(partition.id), stamp: term },
        ],
        apply: [{ write: key, v: { cpus: move(entry.v.cpus, transferred.cpus), gpus: move(entry.v.gpus, transferred.gpus) } }],
      };
    };
    void this.committer.commit("cede", draft).then((outcome) => {
      this.transferring.delete(label);
      if (outcome === "done") this.scope.log.info({ part: partition.id, to, team, ...transferred }, "quota transferred");
    });
  }
}
