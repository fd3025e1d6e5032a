/** Measures how fast partitions recover after the loss of their owner, from log lines of the controllers. */

/** The recovery of one partition after its owner was lost. Times but `lostAt` are in ms since the loss; null if a step was not reached. */
export interface Recovery {
  part: number;
  reason: string;
  lostAt: number;
  /** Time until a peer first logged that the lost controller is silent or suspected. */
  detected: number | null;
  /** Time until another controller took over the partition. */
  claimed: number | null;
  /** Time until fencing ended: all machines of the partition were accounted for. */
  fenced: number | null;
  /** Time in ms from the loss until the new owner saw the first task start; null if it saw none during the recovery. */
  placed: number | null;
  /**
   * Time until the recovery ended. Once fencing is complete, any one of three things ends it: no task that arrived before the end of
   * fencing is waiting, a task has started, or the shortest boot time of a machine has passed since.
   */
  back: number | null;
}

/** Whether a log line reports that a controller took over a partition, for any reason. */
export function isTakeover(what: string): boolean {
  return what === "part taken";
}

/** Whether a log line reports that a controller took over a partition because its owner was lost. */
export function isTakeoverAfterLoss(what: string, detail: Record<string, unknown>): boolean {
  return isTakeover(what) && String(detail["reason"]).startsWith("owner");
}

interface LogLine {
  at: number;
  node: string;
  what: string;
  detail: Record<string, unknown>;
}

/** Collects the recoveries of partitions during a rehearsal from the controllers' log lines. */
export class RecoveryTracker {
  readonly all: Recovery[] = [];
  private readonly unfinished = new Map<number, Recovery>();
  private lostAt = new Map<string, number>();
  private silentSince = new Map<string, number>();

  /** Records the time at which a controller was killed, stalled or cut off. */
  recordLoss(node: string, at: number): void {
    this.lostAt.set(node, at);
    this.silentSince.delete(node);
  }

  /** Updates the recoveries from one log line of a controller. */
  processLogLine({ at, what, detail }: LogLine): void {
    if (what === "controller is silent" || what === "controller is suspected") {
      const peer = String(detail["peer"]);
      if (!this.silentSince.has(peer)) this.silentSince.set(peer, at);
    } else if (what === "part taken") {
      const former = String(detail["former"]);
      const lostAt = this.lostAt.get(former);
      // Not a recovery: the return of a partition to its home controller is planned, and an unowned partition lost no owner.
      if (lostAt === undefined || String(detail["reason"]) === "home again" || detail["reason"] === "unowned") return;
      const silentAt = this.silentSince.get(former);
      const recovery: Recovery = {
        part: Number(detail["part"]),
        reason: String(detail["reason"]),
        lostAt,
        detected: silentAt === undefined ? null : silentAt - lostAt,
        claimed: at - lostAt,
        fenced: null,
        placed: null,
        back: null,
      };
      this.all.push(recovery);
      this.unfinished.set(recovery.part, recovery);
    } else if (what === "all machines accounted for; placing") {
      const recovery = this.unfinished.get(Number(detail["part"]));
      if (recovery !== undefined) recovery.fenced ??= at - recovery.lostAt;
    } else if (what === "recovered") {
      const recovery = this.unfinished.get(Number(detail["part"]));
      if (recovery === undefined) return;
      recovery.placed = detail["placedMs"] === null ? null : (recovery.claimed ?? 0) + Number(detail["placedMs"]);
      recovery.back = (recovery.claimed ?? 0) + Number(detail["backMs"]);
      this.unfinished.delete(recovery.part);
    }
  }
}
