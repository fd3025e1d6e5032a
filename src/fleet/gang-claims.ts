/**
 * Records which gangs of the owned partitions are blocked, and reads the claims of the other partitions. Which gang gives way
 * is decided in `gang-precedence`.
 */
import type { MachineOffering } from "@thorntrail/protocol/cloud";
import type { JobSpec } from "@thorntrail/protocol/jobs";
import { keys, partitionOf, type GangClaimRecord, type JobRecord } from "../ledger/records.js";
import type { Partition } from "../partitions/partition.js";
import type { TaskSet } from "../queue/task-set.js";
import { isAllowed } from "../queue/placement.js";
import { ownsPartition, type FleetDependencies } from "./dependencies.js";
import { claimsOf, givesWay, sameClaims, type BlockedGang, type GangIdentity, type OfferingClaims } from "./gang-precedence.js";
import type { OfferingAvailability } from "./offering-availability.js";
import { offeringKey, tasksPerMachine, type IncompleteGang } from "./plan.js";

/**
 * Time, in leases of a worker, for which a gang must have kept only a part of its machines before it is recorded as blocked. Machines that are
 * refused once are often granted a moment later, and giving way costs the other partition a return and a rental.
 */
const BLOCKED_AFTER_LEASES = 1;

/** Keeps the claims of the owned partitions up to date in the state service, and answers by the claims of the others. */
export class GangClaims {
  /** Since when each gang has kept only a part of its machines without interruption, by partition; in ms of the monotonic clock. */
  private readonly blockedSince = new WeakMap<Partition, Map<string, number>>();
  /** Partitions whose claims are being written. */
  private readonly writing = new Set<number>();

  constructor(
    private readonly deps: FleetDependencies,
    private readonly availability: OfferingAvailability,
    /** Returns the gangs that the partition's machines can't hold completely, from its newest rental plan. */
    private readonly incompleteGangs: (partition: Partition) => readonly IncompleteGang[],
  ) {}

  /** Starts the routine that records the claims of the owned partitions. */
  start(): void {
    this.deps.scope.routine(
      "gang claims",
      () => this.deps.settings.timing.reportMs / 2,
      () => this.review(),
    );
  }

  /** Returns the test whether a gang of the partition has to give way in machines of an offering, by the claims recorded now. */
  givesWayIn(partition: Partition): (gang: TaskSet) => (offering: MachineOffering) => boolean {
    const claimants = this.claimantsByOffering(partition.id);
    if (claimants.size === 0) return () => () => false;
    return (gang) => {
      const identity = this.identityOf(gang.spec);
      return (offering) => givesWay(identity, claimants.get(offeringKey(offering)) ?? []);
    };
  }

  /**
   * The gangs for which partitions other than `partition` claim offerings. Claims for jobs that have ended or belong to another
   * partition by now are void.
   */
  private claimantsByOffering(partition: number): Map<string, GangIdentity[]> {
    const claimants = new Map<string, GangIdentity[]>();
    for (const [key, { v }] of this.deps.replica.rows<GangClaimRecord>(keys.gangClaims)) {
      const claimingPartition = Number(key.slice(keys.gangClaims.length));
      if (claimingPartition === partition) continue;
      for (const [offering, ref] of Object.entries(v.claims)) {
        const job = this.deps.replica.get<JobRecord>(keys.job(ref))?.v;
        if (job === undefined || job.end !== undefined || partitionOf(job) !== claimingPartition) continue;
        claimants.set(offering, [...(claimants.get(offering) ?? []), this.identityOf(job.spec)]);
      }
    }
    return claimants;
  }

  private identityOf(spec: JobSpec): GangIdentity {
    // A job without a record, which is never planned for, would come last.
    const submittedAt = this.deps.replica.get<JobRecord>(keys.job(spec.ref))?.v.at ?? Infinity;
    return { ref: spec.ref, urgency: spec.urgency, submittedAt };
  }

  private review(): void {
    if (!this.deps.leader.isSoleOwner()) return;
    for (const partition of this.deps.leader.partitions.values()) {
      if (partition.phase !== "serving") continue;
      const claims = claimsOf(this.blockedGangs(partition));
      if (!sameClaims(claims, this.recordedClaims(partition))) this.write(partition);
    }
  }

  private recordedClaims(partition: Partition): OfferingClaims {
    return this.deps.replica.get<GangClaimRecord>(keys.gangClaim(partition.id))?.v.claims ?? {};
  }

  /** The gangs that have kept a part of their machines for long enough because the cloud refuses the others. */
  private blockedGangs(partition: Partition): BlockedGang[] {
    const now = this.deps.scope.clock.now();
    const before = this.blockedSince.get(partition) ?? this.claimedByFormerOwner(partition);
    const since = new Map<string, number>();
    const blocked: BlockedGang[] = [];
    for (const gang of this.incompleteGangs(partition)) {
      // A gang that keeps no machine blocks nobody, so it takes no part in a circle of waiting.
      if (gang.heldTasks === 0) continue;
      const { taskSet } = gang;
      const startedAt = before.get(taskSet.key) ?? now;
      since.set(taskSet.key, startedAt);
      if (now - startedAt < this.deps.settings.timing.leaseMs * BLOCKED_AFTER_LEASES) continue;
      blocked.push({ gang: this.identityOf(taskSet.spec), refusedOfferings: this.refusedOfferings(gang) });
    }
    this.blockedSince.set(partition, since);
    return blocked;
  }

  /** Gangs that a former owner recorded as blocked: they need not wait again, but count as blocked once an offering is refused. */
  private claimedByFormerOwner(partition: Partition): Map<string, number> {
    return new Map(Object.values(this.recordedClaims(partition)).map((ref) => [keys.job(ref), -Infinity]));
  }

  /** The offerings that could hold a task of the gang and that the cloud refused recently. */
  private refusedOfferings({ taskSet, zone: onlyZone }: IncompleteGang): string[] {
    const refused: string[] = [];
    for (const type of this.deps.leader.types) {
      if (tasksPerMachine(type, taskSet) < 1) continue;
      for (const zone of type.zones.filter((name) => onlyZone === null || name === onlyZone))
        for (const spot of [true, false]) {
          const offering = { type: type.name, zone, spot };
          if (isAllowed(taskSet.spec, offering) && this.availability.wasRefused(offering)) refused.push(offeringKey(offering));
        }
    }
    return refused;
  }

  /** Writes the partition's claims of the moment at which the transaction is sent; removes the record if there are none. */
  private write(partition: Partition): void {
    if (this.writing.has(partition.id)) return;
    this.writing.add(partition.id);
    const key = keys.gangClaim(partition.id);
    const draft = () => {
      const claims = claimsOf(this.blockedGangs(partition));
      if (!ownsPartition(this.deps, partition) || sameClaims(claims, this.recordedClaims(partition))) return null;
      return {
        conditions: [
          { k: key, stamp: this.deps.replica.stamp(key) },
          { k: keys.owner(partition.id), stamp: partition.term },
        ],
        apply: [Object.keys(claims).length === 0 ? { remove: key } : { write: key, v: { claims } satisfies GangClaimRecord }],
      };
    };
    const { leaseMs } = this.deps.settings.timing;
    void this.deps.committer.commit("gang claims", draft, { shedAfterMs: leaseMs, priority: "soon" }).then((outcome) => {
      this.writing.delete(partition.id);
      if (outcome === "done")
        this.deps.scope.log.info({ part: partition.id, claims: this.recordedClaims(partition) }, "claims of blocked gangs recorded");
    });
  }
}
