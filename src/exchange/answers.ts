import { keys, type JobRecord } from "../ledger/records.js";
import { tasksWithin } from "../parts/part.js";
import type { Query } from "../peers/messages.js";
import { Bits } from "../platform/bits.js";
import { estimateWaits, utilization } from "../queue/estimate.js";
import { newUnit } from "../queue/unit.js";
import { estimateContext, spareOf, type ExchangeAround } from "./around.js";

/** Says what a part would make of a job that another asks about. */
export class Answers {
  constructor(private readonly around: ExchangeAround) {}

  onQuery(query: Query): void {
    const part = this.around.leader.parts.get(query.part);
    const job = this.around.mirror.get<JobRecord>(keys.job(query.job))?.v;
    if (
      part === undefined ||
      part.phase !== "serving" ||
      job === undefined ||
      this.around.leader.silent() ||
      this.around.overload.sheds("volunteering")
    ) {
      this.around.peers.send(query.from, {
        Answer: { id: query.id, part: query.part, waitMs: Infinity, runMs: 0, utilization: 1, atOnce: 0 },
      });
      return;
    }
    const probe = newUnit(
      keys.job(query.job),
      job.spec,
      0,
      job.hi,
      new Bits(job.hi),
      this.around.needs.sinceWall(job),
      this.around.scope.clock.now(),
    );
    probe.urgency = this.around.needs.urgency(query.job);
    const atOnce = new Map<string, number>();
    const context = estimateContext(this.around);
    const waits = this.around.scope.costs.spend("estimate", () => estimateWaits(part, context, [probe], (unit) => unit === probe, atOnce));
    const waitMs = waits.get(probe.key) ?? Infinity;
    const runMs = this.around.leader.history.expectS(job.spec) * 1000;
    const within = tasksWithin(job.spec, spareOf(this.around, part, job.spec.team));
    this.around.peers.send(query.from, {
      Answer: {
        id: query.id,
        part: part.id,
        waitMs,
        runMs,
        utilization: utilization(part),
        atOnce: Math.min(within, atOnce.get(probe.key) ?? 0),
      },
    });
  }
}
