/** Computes a partition's bids for jobs of other partitions: when it would start such a job and how long the job would run. */
import { keys, type JobRecord } from "../ledger/records.js";
import { tasksThatFit } from "../partitions/partition.js";
import type { BidRequest } from "../peers/messages.js";
import { Bits } from "../platform/bits.js";
import { estimateWaits, utilization } from "../queue/estimate.js";
import { newTaskSet } from "../queue/task-set.js";
import { estimateContext, unusedQuota, type ExchangeDependencies } from "./dependencies.js";

/** Answers bid requests of other partitions: estimates when and how fast a partition would run their job. */
export class BidResponder {
  constructor(private readonly dependencies: ExchangeDependencies) {}

  /**
   * Sends a bid for the job. The bid has an infinite wait if this node does not serve the partition, the job's record
   * is not available, this controller has no recent proof that it still owns the partition, or it sheds load.
   */
  onBidRequest(query: BidRequest): void {
    const partition = this.dependencies.leader.partitions.get(query.part);
    const job = this.dependencies.replica.get<JobRecord>(keys.job(query.job))?.v;
    if (
      partition === undefined ||
      partition.phase !== "serving" ||
      job === undefined ||
      this.dependencies.leader.isSilent() ||
      this.dependencies.overload.sheds("volunteering")
    ) {
      this.dependencies.peers.send(query.from, {
        Answer: { id: query.id, part: query.part, waitMs: Infinity, runMs: 0, utilization: 1, atOnce: 0 },
      });
      return;
    }
    const candidate = newTaskSet(
      keys.job(query.job),
      job.spec,
      0,
      job.hi,
      new Bits(job.hi),
      this.dependencies.needs.eligibleSinceWall(job),
      this.dependencies.scope.clock.now(),
    );
    candidate.urgency = this.dependencies.needs.urgency(query.job);
    const atOnce = new Map<string, number>();
    const context = estimateContext(this.dependencies);
    const waits = this.dependencies.scope.costs.charge("estimate", () =>
      estimateWaits(partition, context, [candidate], (taskSet) => taskSet === candidate, atOnce),
    );
    const waitMs = waits.get(candidate.key) ?? Infinity;
    const runMs = this.dependencies.leader.history.expectedRunS(job.spec) * 1000;
    const tasksWithinQuota = tasksThatFit(job.spec, unusedQuota(this.dependencies, partition, job.spec.team));
    this.dependencies.peers.send(query.from, {
      Answer: {
        id: query.id,
        part: partition.id,
        waitMs,
        runMs,
        utilization: utilization(partition),
        atOnce: Math.min(tasksWithinQuota, atOnce.get(candidate.key) ?? 0),
      },
    });
  }
}
