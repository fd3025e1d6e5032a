/** The state and services that the components of a partition owner share. */
import type { Subject } from "rxjs";
import type { MachineType } from "@thorntrail/protocol/cloud";
import type { Scope } from "../platform/scope.js";
import type { RunTimeHistory } from "../queue/history.js";
import type { QuotaShortage } from "../queue/scheduling-cycle.js";
import type { Settings } from "../settings/derived.js";
import type { Machine } from "../workers/machine.js";
import type { ClassAccounting } from "../job-classes/class-accounting.js";
import type { Audit } from "../partitions/audit.js";
import type { NewerToken } from "../partitions/ended-terms.js";
import type { Partition } from "../partitions/partition.js";
import type { StartGuard } from "../partitions/start-guard.js";

/** Counters since the start of this process; `fencedMs` is how long the last fencing of a partition took. */
export interface LeaderStats {
  starts: number;
  takeovers: number;
  preemptions: number;
  fencedMs: number;
  /** Number of terms that this node ended because a worker reported a newer owner's token. */
  superseded: number;
  /** Number of times that a worker's token was raised within a term. */
  tokensRaised: number;
  /** Number of direct starts that workers refused because of their token or session. */
  startsRefused: number;
  /** Number of attempts that were on a machine again after a proof that they no longer exist. */
  seenAgain: number;
}

/** State of the owned partitions, and the event streams and services that the owner's components share. */
export interface LeaderContext {
  readonly settings: Settings;
  readonly scope: Scope;
  /** Owned partitions by id. */
  readonly partitions: Map<number, Partition>;
  readonly history: RunTimeHistory;
  readonly types: MachineType[];
  typeOf(name: string): MachineType | undefined;
  readonly stats: LeaderStats;
  /** Outcomes of the attempts in owned partitions, by job class. */
  readonly account: ClassAccounting;
  /** Emits each machine to which a command should be sent without waiting for its next report. */
  readonly dispatch$: Subject<{ partition: Partition; machine: Machine }>;
  /** Emits teams whose quota share in a partition is too small for their queued tasks. */
  readonly quotaShortage$: Subject<{ partition: Partition; team: string; want: QuotaShortage }>;
  /** Emits the job class of each task that starts to run, and its wait since submission in seconds. */
  readonly taskStarted$: Subject<{ klass: string; waitS: number }>;
  readonly audit: Audit;
  readonly startGuard: StartGuard;
  /** Current time of the monotonic clock, in ms. */
  readonly now: number;
  /** When the newest read of the state service that confirmed the terms of the owned partitions began, in ms of the monotonic clock. */
  readonly provenAt: number;
  /** Reads the state service, so that `provenAt` is no older than this call. Rejects with `CallError`. */
  proveOwnership(): Promise<void>;
  /** Returns whether this node must not answer workers, because it may not know of recent cancellations and takeovers. */
  isSilent(): boolean;
  /**
   * Ends the partition's term at once because a worker reported a newer owner's token. Returns false if tokens of this
   * worker are not accepted as evidence.
   */
  endSupersededTerm(partition: Partition, seen: NewerToken): boolean;
  /** Requests a scheduling cycle. */
  requestSchedulingCycle(): void;
}
