import { fitting, keys, partOf, settled, type JobRecord, type SliceRecord } from "../ledger/records.js";
import type { Part } from "../parts/part.js";
import { tailOf, type Unit } from "../queue/unit.js";
import type { ExchangeAround } from "./around.js";

/** Gives jobs, and slices of arrays, to other parts. */
export class Moving {
  constructor(
    private readonly around: ExchangeAround,
    /** The rest of a job that gave a slice away may be asked about again. */
    private readonly askAgain: (unit: Unit) => void,
  ) {}

  /** Until the transaction's answer is certain, the job must not be started here. */
  move(part: Part, unit: Unit, to: number): void {
    unit.leaving = true;
    this.around.scope.log.debug({ part: part.id, term: part.term, to, job: unit.spec.ref }, "migration begun");
    const draft = () => {
      const entry = this.around.mirror.get<JobRecord>(unit.key);
      if (entry === undefined || partOf(entry.v) !== part.id || entry.v.end !== undefined) return null;
      if (this.around.mirror.stamp(keys.owner(part.id)) !== part.term) return null;
      return {
        conditions: [
          { k: unit.key, stamp: entry.stamp },
          { k: keys.owner(part.id), stamp: part.term },
        ],
        apply: [{ write: unit.key, v: { ...settled(entry.v), part: to, moved: true } }],
      };
    };
    void this.around.committer.commit("move", draft).then((outcome) => {
      if (outcome === "shed") unit.leaving = false;
      this.around.scope.log.debug({ part: part.id, term: part.term, to, job: unit.spec.ref, outcome }, "job moved");
    });
  }

  /**
   * The last of an array's waiting tasks, as many as the other part has room for,
   * become a slice of their own there. Until the transaction's answer is certain
   * they wait in neither part.
   */
  moveSlice(part: Part, unit: Unit, to: number, room: number): void {
    const whole = unit.hi;
    const count = Math.min(tailOf(unit, room), whole - 1);
    if (count <= 0) return;
    const lo = whole - count;
    const migrating = unit.waiting.filter((task) => task >= lo);
    unit.leavingFrom = lo;
    this.around.scope.log.debug({ part: part.id, term: part.term, to, job: unit.spec.ref, from: lo, tasks: count }, "migration begun");
    unit.waiting = unit.waiting.filter((task) => task < lo);
    const { ref } = unit.spec;
    const key = keys.slice(ref, lo);
    const draft = () => {
      const entry = this.around.mirror.get<JobRecord>(unit.key);
      if (entry === undefined || partOf(entry.v) !== part.id || entry.v.end !== undefined || entry.v.hi !== whole) return null;
      if (this.around.mirror.stamp(keys.owner(part.id)) !== part.term || this.around.mirror.get(key) !== undefined) return null;
      const rest = fitting<JobRecord>({ ...settled(entry.v), hi: lo }, lo, this.around.settings.state.valueKb);
      if (rest === null) return null;
      const slice: SliceRecord = { ref, part: to, lo, hi: whole, done: "", moved: true };
      return {
        conditions: [
          { k: unit.key, stamp: entry.stamp },
          { k: keys.owner(part.id), stamp: part.term },
          { k: key, stamp: 0 },
        ],
        apply: [
          { write: unit.key, v: rest },
          { write: key, v: slice },
        ],
      };
    };
    void this.around.committer.commit("slice", draft).then((outcome) => {
      const moved = (this.around.mirror.get<JobRecord>(unit.key)?.v.hi ?? 0) <= lo;
      unit.leavingFrom = Infinity;
      if (!moved && !unit.ended) unit.waiting.push(...migrating.filter((task) => !unit.attempts.hasTask(ref, task)));
      this.askAgain(unit);
      this.around.scope.log.debug({ part: part.id, to, job: ref, tasks: count, moved, outcome }, "slice moved");
    });
  }
}
