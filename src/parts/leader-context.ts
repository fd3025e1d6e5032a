import type { Subject } from "rxjs";
import type { MachineType } from "@thorntrail/protocol/cloud";
import type { Scope } from "../platform/scope.js";
import type { RunHistory } from "../queue/history.js";
import type { Shortage } from "../queue/pass.js";
import type { Settings } from "../settings/derived.js";
import type { Machine } from "../workers/machine.js";
import type { Account } from "../served/account.js";
import type { Audit } from "./audit.js";
import type { NewerToken } from "./ended-terms.js";
import type { Part } from "./part.js";
import type { StartGuard } from "./start-guard.js";

export interface LeaderStats {
  starts: number;
  takeovers: number;
  preemptions: number;
  fencedMs: number;
  /** Terms that ended on a worker's word of a newer owner. */
  superseded: number;
}

/** What the duties of leading share: the parts this node leads, and whom to tell. */
export interface LeaderContext {
  readonly settings: Settings;
  readonly scope: Scope;
  readonly parts: Map<number, Part>;
  readonly history: RunHistory;
  readonly types: MachineType[];
  typeOf(name: string): MachineType | undefined;
  readonly stats: LeaderStats;
  /** What became of the work led here, by class. */
  readonly account: Account;
  /** Machines with orders that should not wait for the next report. */
  readonly dispatch$: Subject<{ part: Part; machine: Machine }>;
  /** Teams short of allotment in a part. */
  readonly short$: Subject<{ part: Part; team: string; want: Shortage }>;
  /** Tasks that began to run, with their wait since submission. */
  readonly began$: Subject<{ klass: string; waitS: number }>;
  readonly audit: Audit;
  readonly startGuard: StartGuard;
  readonly now: number;
  /** When the newest read began that found the terms that this node leads under; steady ms. */
  readonly provenAt: number;
  /** Reads the state service anew, so that `provenAt` is no older than this call; rejects with `NoReply`. */
  proveOwnership(): Promise<void>;
  /** No proof that all cancellations and takeovers are known: workers must not be answered. */
  silent(): boolean;
  /** A worker shows a newer owner's token: the partition's term ends here at once. False: it is not believed. */
  supersede(partition: Part, seen: NewerToken): boolean;
  /** Runs a placement pass soon. */
  wake(): void;
}
