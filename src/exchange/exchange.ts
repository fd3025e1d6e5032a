/** Search for better partitions for waiting jobs. */
import { exchangeSettings, estimateContext, liveOwnerOf, type ExchangeDependencies } from "./dependencies.js";
import { BidResponder } from "./bid-responder.js";
import { QuotaTransfers } from "./quota-transfers.js";
import { selectBid, bidWithMostFreeCapacity, type Bid } from "./bid-selection.js";
import { Migration } from "./migration.js";
import { Volunteers } from "./volunteers.js";
import type { Partition } from "../partitions/partition.js";
import { firstRequestId } from "../peers/ids.js";
import type { BidResponse } from "../peers/messages.js";
import { estimateWaits, utilization, type EstimateContext } from "../queue/estimate.js";
import { sortTaskSets } from "../queue/queue-order.js";
import { failsRepeatedly, waitingTailLength, type TaskSet } from "../queue/task-set.js";
import { objectiveS } from "../settings/derived.js";

/** A bid request that has been sent to other partitions and on which no decision has been made yet. */
interface PendingBidRequest {
  id: number;
  partition: Partition;
  taskSet: TaskSet;
  homeBid: Bid;
  /** Partitions whose bid has not arrived. */
  unanswered: Set<number>;
  bids: Bid[];
  /** Partitions to ask next if none of the bids is better than the home partition's. */
  remainingPartitions: number[];
  decide?: () => void;
}

/**
 * Superscheduler (assigns waiting jobs to partitions) with symmetric initiation: partitions with free capacity
 * announce themselves as volunteers, and partitions with waiting jobs request bids. Jobs with a short expected wait
 * in their home partition stay. For other jobs, bids are requested first from volunteers; if there are none or none
 * is better than the home partition, from all other partitions. At most one bid request is pending at a time.
 */
export class Exchange {
  private readonly volunteers: Volunteers;
  private readonly bidResponder: BidResponder;
  private readonly migration: Migration;
  private readonly quotaTransfers: QuotaTransfers;
  private readonly nextRequestAt = new Map<string, number>();
  private pendingRequest: PendingBidRequest | null = null;
  private lastRequestId: number;
  /**
   * Counters for metrics. `home`: jobs kept in their partition; `volunteer`: jobs moved to a partition that had announced
   * free capacity; `asked`: jobs moved to a partition that had not, but was asked for a bid; `slices`: slices moved;
   * `queries`: bid requests.
   */
  readonly stats = { home: 0, volunteer: 0, asked: 0, slices: 0, queries: 0 };

  constructor(private readonly dependencies: ExchangeDependencies) {
    this.lastRequestId = firstRequestId(dependencies.incarnation);
    this.volunteers = new Volunteers(dependencies);
    this.bidResponder = new BidResponder(dependencies);
    this.migration = new Migration(dependencies, (taskSet) => this.nextRequestAt.delete(taskSet.key));
    this.quotaTransfers = new QuotaTransfers(dependencies);
  }

  /** Returns the inputs of wait estimates as of now. */
  estimateContext(): EstimateContext {
    return estimateContext(this.dependencies);
  }

  /**
   * Registers the handlers for messages of other controllers and starts the periodic search for partitions in which
   * waiting jobs would start sooner.
   */
  start(): void {
    const { peers, scope, settings } = this.dependencies;
    scope.listen(peers.incoming$, ({ message }) => {
      if ("Volunteer" in message) this.volunteers.onVolunteer(message.Volunteer);
      else if ("Query" in message) this.bidResponder.onBidRequest(message.Query);
      else if ("Answer" in message) this.onBid(message.Answer);
      else if ("Want" in message) this.quotaTransfers.onQuotaRequest(message.Want);
    });
    this.quotaTransfers.start();
    this.volunteers.start();
    scope.routine(
      "exchange",
      () => settings.timing.reportMs / 5,
      () => scope.costs.charge("exchange", () => this.requestBidsForWaitingJobs()),
    );
  }

  /** Returns whether the whole job may migrate to another partition: none of its tasks has started, and it has not migrated before. */
  private isMigratable(taskSet: TaskSet): boolean {
    return (
      !taskSet.migrated &&
      !taskSet.started &&
      !taskSet.ended &&
      !taskSet.migrating &&
      taskSet.lo === 0 &&
      taskSet.hi === taskSet.spec.tasks &&
      taskSet.done.count === 0 &&
      !taskSet.attempts.hasJob(taskSet.spec.ref) &&
      taskSet.waiting.length > 0 &&
      !failsRepeatedly(taskSet)
    );
  }

  /**
   * Returns whether waiting tasks at the end of a job array may migrate as a slice with a record of its own, even if
   * tasks before them have started here.
   */
  private isSliceable(taskSet: TaskSet): boolean {
    const { kind, oneZone, spread, klass } = taskSet.spec;
    // A job that fails repeatedly stays here: other partitions would repeat its failures before they consider it
    // faulty.
    if (failsRepeatedly(taskSet)) return false;
    // A job that has already missed its start objective stays here: it would take capacity from jobs that can still
    // start in time.
    if (
      this.dependencies.scope.clock.wall() - taskSet.submittedWall >
      objectiveS(this.dependencies.settings.platform, "wait", klass) * 1000
    )
      return false;
    return (
      kind === "array" &&
      !oneZone &&
      !spread &&
      !taskSet.migrated &&
      !taskSet.ended &&
      !taskSet.migrating &&
      taskSet.lo === 0 &&
      waitingTailLength(taskSet, 1) > 0
    );
  }

  /** Requests bids for the first waiting job, in queue order, whose expected wait is too long. */
  private requestBidsForWaitingJobs(): void {
    if (exchangeSettings(this.dependencies).mode === "off" || this.pendingRequest !== null || this.dependencies.leader.isSilent()) return;
    const now = this.dependencies.scope.clock.now();
    for (const partition of this.dependencies.leader.partitions.values()) {
      if (partition.phase !== "serving") continue;
      // Only one bid request is pending at a time, so the most urgent job of a burst must come first.
      const candidates = sortTaskSets(
        [...partition.taskSets.values()].filter(
          (taskSet) => (this.isMigratable(taskSet) || this.isSliceable(taskSet)) && now >= (this.nextRequestAt.get(taskSet.key) ?? 0),
        ),
        this.dependencies.leader.queueOrder(),
      );
      if (candidates.length === 0) continue;
      const candidateSet = new Set(candidates);
      const context = estimateContext(this.dependencies);
      const waits = this.dependencies.scope.costs.charge("estimate", () =>
        estimateWaits(partition, context, [], (taskSet) => candidateSet.has(taskSet)),
      );
      for (const taskSet of candidates) {
        const wait = waits.get(taskSet.key) ?? Infinity;
        if (wait < exchangeSettings(this.dependencies).phi * 1000) {
          taskSet.migrationConsidered = true;
          this.nextRequestAt.set(taskSet.key, now + this.dependencies.settings.timing.reportMs);
          continue;
        }
        if (this.requestBids(partition, taskSet, wait)) return;
      }
    }
    if (this.nextRequestAt.size > 10_000) this.nextRequestAt.clear();
  }

  /** Requests bids for a job from volunteers, or from all other partitions if there are none. Returns whether a request was sent. */
  private requestBids(partition: Partition, taskSet: TaskSet, waitMs: number): boolean {
    const now = this.dependencies.scope.clock.now();
    const { sigma, mode } = exchangeSettings(this.dependencies);
    this.nextRequestAt.set(taskSet.key, now + sigma * 1000);
    const others = this.dependencies.settings.nodes
      .map((_, id) => id)
      .filter((id) => id !== partition.id && liveOwnerOf(this.dependencies, id) !== null);
    const volunteers = mode === "ask" ? [] : others.filter((id) => this.volunteers.isVolunteer(id));
    if (volunteers.length === 0 && others.length === 0) taskSet.migrationConsidered = true;
    if (volunteers.length === 0) return mode !== "volunteers" && this.sendBidRequest(partition, taskSet, waitMs, others, []);
    // If no volunteer is better than the home partition, the others are asked as if there were no volunteers.
    const remainingPartitions = mode === "volunteers" ? [] : others.filter((id) => !volunteers.includes(id));
    return this.sendBidRequest(partition, taskSet, waitMs, volunteers, remainingPartitions);
  }

  /** Sends a bid request to `targets`; `remainingPartitions` are asked next if no target is better. Returns whether it was sent to any. */
  private sendBidRequest(
    partition: Partition,
    taskSet: TaskSet,
    waitMs: number,
    targets: number[],
    remainingPartitions: number[],
  ): boolean {
    const id = ++this.lastRequestId;
    const runMs = this.dependencies.leader.history.expectedRunS(taskSet.spec) * 1000;
    this.pendingRequest = {
      id,
      partition,
      taskSet,
      homeBid: { part: partition.id, waitMs, runMs, utilization: utilization(partition), atOnce: 0 },
      unanswered: new Set(),
      bids: [],
      remainingPartitions,
    };
    this.stats.queries++;
    for (const target of targets) {
      // The owner of a remaining partition may have failed or become suspected since the partition was selected.
      const owner = liveOwnerOf(this.dependencies, target);
      if (owner === null) continue;
      const message = { Query: { id, part: target, job: taskSet.spec.ref, from: this.dependencies.settings.self } };
      if (this.dependencies.peers.send(owner, message)) this.pendingRequest.unanswered.add(target);
    }
    if (this.pendingRequest.unanswered.size === 0) {
      this.pendingRequest = null;
      taskSet.migrationConsidered = true;
      return false;
    }
    this.pendingRequest.decide = () => this.decide(id);
    this.dependencies.scope.clock.after(exchangeSettings(this.dependencies).answer_limit * 1000, () => this.decide(id));
    return true;
  }

  /** Records another partition's bid, and decides about the job once all bids have arrived. */
  private onBid(answer: BidResponse): void {
    const request = this.pendingRequest;
    if (request === null || request.id !== answer.id || !request.unanswered.delete(answer.part)) return;
    request.bids.push(answer);
    if (request.unanswered.size === 0) request.decide?.();
  }

  /** Decides by the bids whether to migrate the job or a slice of it, to ask the remaining partitions, or to keep the job here. */
  private decide(id: number): void {
    const request = this.pendingRequest;
    if (request === null || request.id !== id) return;
    this.pendingRequest = null;
    const { partition, taskSet } = request;
    if (this.dependencies.leader.partitions.get(partition.id) !== partition || !(this.isMigratable(taskSet) || this.isSliceable(taskSet)))
      return;
    const selected = selectBid(request.homeBid, request.bids, exchangeSettings(this.dependencies).epsilon);
    const startsSoon = selected.waitMs < exchangeSettings(this.dependencies).phi * 1000;
    const sliceBid =
      this.isSliceable(taskSet) && !(startsSoon && this.isMigratable(taskSet)) ? bidWithMostFreeCapacity(request.bids) : null;
    if (sliceBid !== null) {
      this.stats.slices++;
      taskSet.migrationConsidered = true;
      this.migration.migrateSlice(partition, taskSet, sliceBid.part, sliceBid.atOnce);
      return;
    }
    if (!this.isMigratable(taskSet) || selected.part === partition.id) {
      if (
        request.remainingPartitions.length > 0 &&
        this.sendBidRequest(partition, taskSet, request.homeBid.waitMs, request.remainingPartitions, [])
      )
        return;
      this.stats.home++;
      taskSet.migrationConsidered = true;
      return;
    }
    this.stats[this.volunteers.isVolunteer(selected.part) ? "volunteer" : "asked"]++;
    this.migration.migrate(partition, taskSet, selected.part);
  }
}
