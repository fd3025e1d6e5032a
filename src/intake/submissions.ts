import type { JobSpec } from "@thorntrail/protocol/jobs";
import { createHash } from "node:crypto";
import type { Configuration } from "../configuration/configuration.js";
import type { CommitOutcome } from "../ledger/batch.js";
import type { GroupCommitter } from "../ledger/group-committer.js";
import type { StateReplica } from "../ledger/state-replica.js";
import {
  keys,
  recordBytes,
  sliceCapacity,
  maxSpecBytes,
  waitingAssignment,
  type ConfigurationRecord,
  type JobRecord,
  type SliceRecord,
} from "../ledger/records.js";
import type { RentalIndex } from "../ledger/rentals.js";
import type { Leader } from "../partitions/leader.js";
import type { Ownership } from "../partitions/ownership.js";
import type { JobDependencies } from "../pipelines/job-dependencies.js";
import type { Scope } from "../platform/scope.js";
import type { Settings } from "../settings/derived.js";
import type { Admission } from "./admission.js";

/**
 * Time after which a prepared configuration change to lower limits is abandoned, because the process that prepared it
 * has probably ended.
 */
const MAX_UNDECIDED_MS = 30_000;

/** Removes and returns the first job references in `refs` that fit into `bytes` as JSON. */
function takeRefs(refs: string[], bytes: number): string[] {
  const taken: string[] = [];
  for (let bytesLeft = bytes; refs.length > 0;) {
    bytesLeft -= JSON.stringify(refs[0]).length + 1;
    if (bytesLeft < 0) break;
    taken.push(refs.shift()!);
  }
  return taken;
}

/** What `Submissions` uses to choose a partition and to check and record a job. */
export interface SubmissionsDependencies {
  settings: Settings;
  configuration: Configuration;
  admission: Admission;
  leader: Leader;
  ownership: Ownership;
  replica: StateReplica;
  rentals: RentalIndex;
  needs: JobDependencies;
  committer: GroupCommitter;
  scope: Scope;
}

/** Records submitted jobs in the state service. */
export class Submissions {
  private nextOwned = 0;

  constructor(private readonly deps: SubmissionsDependencies) {}

  /**
   * Chooses the partition for a new job: among those that this controller owns, a serving one with the fewest task sets;
   * if that one has the maximum number of machines, the partition with the fewest machines of all that have an owner. If
   * this controller owns none, the partitions that have an owner are chosen in turn. Returns null if none has an owner.
   */
  choosePartition(): number | null {
    const ownPartitions = [...this.deps.leader.partitions.values()];
    const leastBy = <T>(list: T[], load: (one: T) => number): T => list.reduce((a, b) => (load(b) < load(a) ? b : a));
    const machines = (id: number): number => this.deps.rentals.count(id);
    if (ownPartitions.length > 0) {
      const home = leastBy(ownPartitions, (p) => (p.phase === "serving" ? 0 : 1e6) + p.taskSets.size).id;
      if (machines(home) < this.deps.settings.maxMachines) return home;
    }
    const owned = this.deps.settings.nodes.map((_, id) => id).filter((id) => this.deps.ownership.owner(id) !== undefined);
    if (owned.length === 0) return null;
    return ownPartitions.length > 0 ? leastBy(owned, machines) : owned[this.nextOwned++ % owned.length]!;
  }

  /** Whether the job description, without its list of needed jobs, fits into a record. */
  descriptionFits(spec: JobSpec): boolean {
    const { needs: _needs, ...rest } = spec;
    return recordBytes(rest) <= maxSpecBytes(this.deps.settings.state.valueKb);
  }

  /**
   * Records the job. Records of a large job that do not fit into one transaction with the
   * job's own record are written in earlier ones: slices (ranges of a job's tasks) and lists of
   * needed jobs have no effect until the job's own record exists. Those left by an earlier
   * attempt to submit the job are kept.
   */
  async record(spec: JobSpec, partition: number, shedAfterMs: number): Promise<CommitOutcome> {
    const { txnOps } = this.deps.settings.state;
    const key = keys.job(spec.ref);
    const options = { shedAfterMs, priority: "now" } as const;
    const draftOf = (rowsOf: () => Map<string, unknown>) => () => {
      if (this.deps.replica.get(key) !== undefined || this.notAdmitted(spec)) return null;
      const rows = [...rowsOf()].filter(([k]) => this.deps.replica.get(k) === undefined);
      if (rows.length === 0) return null;
      // The condition on the configuration's revision ensures that a job is accepted only if the newest configuration version admits it.
      const conditions = [...rows.map(([k]) => ({ k, stamp: 0 })), { k: keys.configuration, stamp: this.deps.configuration.stamp }];
      return { conditions, apply: rows.map(([write, v]) => ({ write, v })) };
    };
    const remainingRows = [...this.secondaryRows(spec, partition)];
    while (remainingRows.length >= txnOps) {
      const batch = new Map(remainingRows.splice(0, txnOps));
      if (
        (await this.deps.committer.commit(
          "submit, ahead",
          draftOf(() => batch),
          options,
        )) === "shed"
      )
        return "shed";
    }
    // The job's own record is built when its transaction is sent, because a job that it needs may end before that.
    return this.deps.committer.commit(
      "submit",
      draftOf(() => new Map<string, unknown>([[key, this.jobRecord(spec, partition)], ...remainingRows])),
      options,
    );
  }

  /** Whether the current configuration rejects the job, or a configuration change that is not decided yet may reject it. */
  private notAdmitted(spec: JobSpec): boolean {
    return this.deps.admission.rejectionReason(spec) !== null || this.deps.admission.affectedByPreparedChange(spec);
  }

  /** Abandons a prepared configuration change that was not decided in time; a late write of the decision then fails its condition. */
  abandonStaleChange(): void {
    const { configuration, replica, committer, scope, settings } = this.deps;
    const { prepared, stamp } = configuration;
    const waitMs = MAX_UNDECIDED_MS + settings.platform.deployment.clock_off_ms * 2;
    if (prepared === undefined || scope.clock.wall() - prepared.at < waitMs) return;
    void committer.commit(
      "abandon change",
      () => {
        const record = replica.get<ConfigurationRecord>(keys.configuration);
        if (record === undefined || record.stamp !== stamp) return null;
        const { prepared: _prepared, ...rest } = record.v;
        return { conditions: [{ k: keys.configuration, stamp }], apply: [{ write: keys.configuration, v: rest }] };
      },
      { priority: "now", shedAfterMs: settings.timing.stateTimeoutMs },
    );
  }

  /** Number of tasks in the job's first slice (a range of a job's tasks), which is stored in the job's own record. A gang is one slice. */
  private firstSliceTasks(spec: JobSpec): number {
    return spec.kind === "gang" ? spec.tasks : Math.min(sliceCapacity(this.deps.settings.state.valueKb), spec.tasks);
  }

  /** Splits the refs of needed jobs into those that fit into the job's own record and further lists, which are named by a hash of their content. */
  private splitNeeds(spec: JobSpec): { inline: string[]; name: string; lists: string[][] } {
    const maxBytes = maxSpecBytes(this.deps.settings.state.valueKb);
    const { needs = [], ...rest } = spec;
    const remaining = [...needs];
    const inline = takeRefs(remaining, maxBytes - recordBytes(rest));
    const lists: string[][] = [];
    const name = remaining.length === 0 ? "" : createHash("sha256").update(remaining.join()).digest("hex").slice(0, 16);
    while (remaining.length > 0) lists.push(takeRefs(remaining, maxBytes));
    return { inline, name, lists };
  }

  /** Records that may be written before the job's own: lists of needed jobs, and all slices (ranges of a job's tasks) but the first. */
  private secondaryRows(spec: JobSpec, partition: number): Map<string, unknown> {
    const rows = new Map<string, unknown>();
    const { name, lists } = this.splitNeeds(spec);
    lists.forEach((refs, i) => rows.set(keys.needList(spec.ref, name, i), { ref: spec.ref, needs: refs }));
    const size = this.firstSliceTasks(spec);
    // Tasks that must share a zone or be spread over zones stay in one partition.
    const singlePartition = spec.oneZone || spec.spread;
    const n = this.deps.settings.nodes.length;
    for (let lo = size, i = 1; lo < spec.tasks; lo += size, i++) {
      const slicePartition = singlePartition ? partition : (partition + i) % n;
      const slice: SliceRecord = {
        ...(spec.needs === undefined ? { part: slicePartition } : waitingAssignment(slicePartition)),
        ref: spec.ref,
        lo,
        hi: Math.min(lo + size, spec.tasks),
        done: "",
      };
      rows.set(keys.slice(spec.ref, lo), slice);
    }
    return rows;
  }

  /** Builds the job's own record: cancelled if a job that it needs was cancelled, waiting while one is unfinished, otherwise ready to run. */
  private jobRecord(spec: JobSpec, partition: number): JobRecord {
    const at = this.deps.scope.clock.wall();
    const hi = this.firstSliceTasks(spec);
    const { needs, ...plain } = spec;
    if (needs === undefined) return { spec, part: partition, hi, done: "", at };
    const outcomes = needs.map((ref) => this.deps.needs.outcome(ref));
    if (outcomes.includes("withdrawn")) return { spec: plain, part: partition, hi, done: "", at, end: "withdrawn" };
    if (outcomes.every((outcome) => outcome === "done")) return { spec: plain, part: partition, hi, done: "", at };
    const { inline, name, lists } = this.splitNeeds(spec);
    return {
      ...waitingAssignment(partition),
      spec: { ...plain, needs: inline },
      hi,
      done: "",
      at,
      ...(lists.length > 0 ? { needLists: { name, count: lists.length } } : {}),
    };
  }
}
