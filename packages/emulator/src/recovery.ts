/**
 * How the cluster came back from each loss of a controller's part: told from what the
 * controllers log as spans, and from what is seen to start outside. Times in ms from
 * the loss; null: it did not come to that.
 */
export interface Recovery {
  part: number;
  reason: string;
  lostAt: number;
  detected: number | null;
  claimed: number | null;
  fenced: number | null;
  placed: number | null;
  back: number | null;
}

/** Did a controller take a part, for whatever reason? */
export function isTakeover(what: string): boolean {
  return what === "part taken";
}

/** Did a part change hands because its leader was lost? */
export function tookOver(what: string, detail: Record<string, unknown>): boolean {
  return isTakeover(what) && String(detail["reason"]).startsWith("owner");
}

interface LogLine {
  at: number;
  node: string;
  what: string;
  detail: Record<string, unknown>;
}

/** Gathers spans while a rehearsal runs. */
export class Recoveries {
  readonly all: Recovery[] = [];
  private readonly unfinished = new Map<number, Recovery>();
  private lostAt = new Map<string, number>();
  private silentSince = new Map<string, number>();

  /** A controller ended, stands still, or is cut off from now on. */
  lost(node: string, at: number): void {
    this.lostAt.set(node, at);
    this.silentSince.delete(node);
  }

  hear({ at, what, detail }: LogLine): void {
    if (what === "controller is silent" || what === "controller is suspected") {
      const peer = String(detail["peer"]);
      if (!this.silentSince.has(peer)) this.silentSince.set(peer, at);
    } else if (what === "part taken") {
      const former = String(detail["former"]);
      const lostAt = this.lostAt.get(former);
      // Coming home again is planned; a first start is no loss.
      if (lostAt === undefined || String(detail["reason"]) === "home again" || detail["reason"] === "unowned") return;
      const silent = this.silentSince.get(former);
      const span: Recovery = {
        part: Number(detail["part"]),
        reason: String(detail["reason"]),
        lostAt,
        detected: silent === undefined ? null : silent - lostAt,
        claimed: at - lostAt,
        fenced: null,
        placed: null,
        back: null,
      };
      this.all.push(span);
      this.unfinished.set(span.part, span);
    } else if (what === "all machines accounted for; placing") {
      const span = this.unfinished.get(Number(detail["part"]));
      if (span !== undefined) span.fenced ??= at - span.lostAt;
    } else if (what === "recovered") {
      const span = this.unfinished.get(Number(detail["part"]));
      if (span === undefined) return;
      span.placed = detail["placedMs"] === null ? null : (span.claimed ?? 0) + Number(detail["placedMs"]);
      span.back = (span.claimed ?? 0) + Number(detail["backMs"]);
      this.unfinished.delete(span.part);
    }
  }
}
