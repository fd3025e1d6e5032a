import { isDeepStrictEqual } from "node:util";
import { NoReply } from "@thorntrail/protocol/errors";
import type { Rate } from "@thorntrail/protocol/rate";
import { LostPermit, type StateApi } from "@thorntrail/protocol/state";
import type { Caller } from "../calls/calls.js";
import type { Mirror } from "../ledger/mirror.js";
import { keys, type PresenceRecord, type SuspicionRecord } from "../ledger/records.js";
import type { Scope } from "../platform/scope.js";
import type { Settings } from "../settings/derived.js";
import { endsBefore, restMs, shown } from "./returns.js";
import { refutation } from "./suspicion.js";

/** Whom presence works with. */
export interface PresenceAround {
  settings: Settings;
  life: string;
  state: StateApi;
  mirror: Mirror;
  rate: Rate;
  /** How renewals are repeated. */
  calls: Caller;
  scope: Scope;
  /** While this node cannot reach its workers, it should not lead. */
  cutOff: () => boolean;
  /** The version of the configuration that this node acts by; null: nothing was ever changed. */
  acts: () => PresenceRecord["acts"] | null;
}

/**
 * Who is there. Presence is a key that vanishes unless its owner renews it; a silent peer or
 * a refusing service proves nothing by itself.
 *
 * A process may be back while its former life's key still stands. That key is not its own: it
 * is renewed by nobody, and may vanish at any moment, so a node counts itself as there only by a
 * key that names its present life. What the former life wrote may still be applied late: each
 * write is conditional on the key as it was read, or a node that is well would be hidden by it.
 */
export class Presence {
  private permit: number | null = null;
  /** Of a permit that was granted or renewed: when that was asked for. */
  private extendedAt = -Infinity;
  /** The permit with which our key was written last. */
  private attached: number | null = null;
  private renewing = false;
  private renewsSoon = false;
  /** Lives before this one that ended young, in a row; null: not known yet. */
  private ends: number | null = null;
  private readonly startedAt: number;
  private readonly missingSince = new Map<string, number>();

  constructor(private readonly around: PresenceAround) {
    this.startedAt = around.scope.clock.now();
  }

  start(): void {
    const { scope, mirror, settings } = this.around;
    // Which life's key stands there is known once all has been read.
    scope.listen(mirror.changes$, (key) => {
      if (key === "" && this.ends === null) void this.renew();
      else if (key === keys.configuration) void this.renew();
    });
    scope.routine(
      "presence",
      () => settings.timing.presenceMs / 4,
      () => this.renew(),
    );
  }

  async renew(): Promise<void> {
    if (this.renewing) return;
    this.renewing = true;
    const { settings, state, mirror, rate, scope } = this.around;
    const key = keys.alive(settings.self);
    try {
      while (!rate.take()) await new Promise<void>((r) => scope.clock.after(rate.waitMs(), r));
      await this.extend();
      if (!mirror.loaded) return;
      const before = mirror.get<PresenceRecord>(key);
      if (this.ends === null) this.countEnds(before?.v);
      const value = this.wanted();
      if (this.attached === this.permit && isDeepStrictEqual(before?.v, value)) return;
      const result = await state.txn([{ k: key, stamp: before?.stamp ?? 0 }], [{ write: key, v: value, permit: this.permit! }]);
      if (result.ok) {
        this.attached = this.permit;
        return mirror.put(key, value, result.ledger);
      }
      // Written by our former life a moment ago, or by a copy of our own that came late.
      await mirror.fresh();
      this.renewSoon();
    } catch (error) {
      scope.log.debug({ err: (error as Error).message }, "presence not renewed");
      if (error instanceof LostPermit) this.permit = null;
      else if (!(error instanceof NoReply)) return;
      this.renewSoon();
    } finally {
      this.renewing = false;
    }
  }

  /**
   * Renews the permit, or gets another. What was just extended is good for a while: an answer to doubt
   * need not wait for that. Only what the service has said counts, or many answers in a row would let it lapse.
   */
  private async extend(): Promise<void> {
    const { state, scope, settings } = this.around;
    const { presenceMs } = settings.timing;
    const asked = scope.clock.now();
    if (this.permit !== null && asked - this.extendedAt < presenceMs / 8) return;
    if (this.permit === null || !(await state.renew(this.permit))) this.permit = await state.grant(presenceMs);
    this.extendedAt = asked;
  }

  /** Sooner than the next renewal is due: one lost answer must not use up half of the time there is. */
  private renewSoon(): void {
    if (this.renewsSoon) return;
    this.renewsSoon = true;
    void this.around.calls.rest().then(() => {
      this.renewsSoon = false;
      if (!this.around.scope.closed) void this.renew();
    });
  }

  private countEnds(former: PresenceRecord | undefined): void {
    this.ends = endsBefore(former);
    const ms = restMs(this.ends, this.around.settings.timing.leaseMs);
    if (ms > 0) this.around.scope.log.warn({ ends: this.ends, ms }, "this controller keeps ending: others should lead for a while");
  }

  private wanted(): PresenceRecord {
    const young = this.ageMs() < this.around.settings.timing.leaseMs;
    return shown(this.around.life, this.unfit(), this.ends ?? 0, young, this.refutation(), this.around.acts());
  }

  private refutation(): number {
    const { mirror, settings, life } = this.around;
    return refutation(mirror.get<SuspicionRecord>(keys.suspicion(settings.self))?.v, life);
  }

  /** Somebody suspects that this life is over, and has not been told otherwise. */
  doubted(): boolean {
    return this.own() && (this.record(this.around.settings.self)?.refutes ?? 0) < this.refutation();
  }

  private ageMs(): number {
    return this.around.scope.clock.now() - this.startedAt;
  }

  /** Others should lead our parts: we cannot reach our workers, or keep ending. */
  unfit(): boolean {
    return this.around.cutOff() || this.rests();
  }

  /** It ends again and again, and somebody else can lead meanwhile. */
  private rests(): boolean {
    const { settings } = this.around;
    if (this.ageMs() >= restMs(this.ends ?? 0, settings.timing.leaseMs)) return false;
    return settings.nodes.some((node) => node !== settings.self && this.able(node));
  }

  /** What others see of us differs from how it is. */
  outdated(): boolean {
    const { acts, settings } = this.around;
    if (this.unfit() !== this.saysUnfit(settings.self) || this.doubted()) return true;
    return !isDeepStrictEqual(this.record(settings.self)?.acts ?? null, acts());
  }

  private record(node: string): PresenceRecord | undefined {
    return this.around.mirror.get<PresenceRecord>(keys.alive(node))?.v;
  }

  /** Some life of the node is there. */
  alive(node: string): boolean {
    return this.record(node) !== undefined;
  }

  /** This life of ours is seen by all. */
  own(): boolean {
    return this.record(this.around.settings.self)?.life === this.around.life;
  }

  saysUnfit(node: string): boolean {
    return this.record(node)?.unfit === true;
  }

  /** There, and fit to lead. */
  able(node: string): boolean {
    return this.alive(node) && !this.saysUnfit(node);
  }

  /** We have been there for as long as a key lasts: who was seen by nobody all the time is gone. */
  settled(): boolean {
    return this.ageMs() > this.around.settings.timing.presenceMs;
  }

  /** For how long, in ms, the node has not been there; null: it is. */
  missingMs(node: string): number | null {
    const since = this.missingSince.get(node);
    return since === undefined ? null : this.around.scope.clock.now() - since;
  }

  /** Nodes whose presence ran out, and for how long they have been silent. */
  silentNodes(): { node: string; ms: number }[] {
    return [...this.missingSince.keys()].map((node) => ({ node, ms: Math.round(this.missingMs(node)!) }));
  }

  /** This process stood still: what it did not see meanwhile says nothing of others. */
  stoodStill(ms: number): void {
    for (const [node, since] of this.missingSince) this.missingSince.set(node, since + ms);
  }

  /** Takes note of who is missing, and who is back. `partsOf`: what a node leads by the records. */
  noteSilence(node: string, partsOf: (node: string) => number[]): void {
    const missing = this.missingMs(node);
    if (this.alive(node)) {
      if (missing === null) return;
      this.missingSince.delete(node);
      this.around.scope.log.info({ peer: node, ms: Math.round(missing) }, "controller is back");
    } else if (missing === null) {
      this.missingSince.set(node, this.around.scope.clock.now());
      if (this.settled()) this.around.scope.log.warn({ peer: node, parts: partsOf(node) }, "controller is silent");
    }
  }
}
