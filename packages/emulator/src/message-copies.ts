/**
 * Copies of messages that were already carried out: each is carried out once more at a later time, or once its sender has
 * ended or a controller has taken over a partition. Nobody waits for the response to a copy. Used in virtual time and with
 * real sockets; which messages are copied is decided by the network rules.
 */
import type { NetworkCall, NetworkRules } from "./network-rules.js";

/** Carries a message out once more. Returns whether its receiver accepted it; a worker does if token and session still match. */
export type DeliverCopy = () => boolean | Promise<boolean>;

/** Numbers of copies of one kind of message. */
export interface CopyCounts {
  delivered: number;
  /** Copies that their receivers accepted. */
  accepted: number;
}

interface KeptCopy {
  call: NetworkCall;
  deliver: DeliverCopy;
}

/** Maximum number of copies that are kept; beyond it, the oldest are dropped. */
const MAX_KEPT_COPIES = 1000;
/** Maximum delay in ms between the event that releases kept copies and their delivery. */
const MAX_RELEASE_DELAY_MS = 500;

/** Schedules, keeps and delivers copies of messages, and counts them. */
export class MessageCopies {
  private readonly countsByKind = new Map<string, CopyCounts>();
  private kept: KeptCopy[] = [];

  constructor(
    private readonly links: NetworkRules,
    private readonly clock: { after(ms: number, fn: () => void): unknown },
    private readonly random: () => number,
  ) {}

  /** Called when a message has been carried out; schedules or keeps a copy of it if a network rule says so. */
  carriedOut(call: NetworkCall, deliver: DeliverCopy): void {
    const effect = this.links.copyEffect(call);
    if (effect === null) return;
    if (!effect.kept) {
      const delayMs = effect.leastMs + this.random() * (effect.mostMs - effect.leastMs);
      this.clock.after(delayMs, () => void this.deliver({ call, deliver }));
      return;
    }
    this.kept.push({ call, deliver });
    if (this.kept.length > MAX_KEPT_COPIES) this.kept.shift();
  }

  /** Delivers the kept copies of a sender whose process has ended, in their original order. */
  releaseFrom(sender: string): void {
    this.release(({ call }) => call.from === sender);
  }

  /** Delivers all kept copies, in their original order, because a controller has taken over a partition. */
  releaseAll(): void {
    this.release(() => true);
  }

  /** Numbers of copies so far, by the kind of message as in `NetworkCall.what`. */
  get counts(): Record<string, CopyCounts> {
    return Object.fromEntries(this.countsByKind);
  }

  private release(concerns: (copy: KeptCopy) => boolean): void {
    const released = this.kept.filter(concerns);
    if (released.length === 0) return;
    this.kept = this.kept.filter((copy) => !concerns(copy));
    this.clock.after(MAX_RELEASE_DELAY_MS * this.random(), () => {
      for (const copy of released) void this.deliver(copy);
    });
  }

  private async deliver({ call, deliver }: KeptCopy): Promise<void> {
    let counts = this.countsByKind.get(call.what);
    if (counts === undefined) this.countsByKind.set(call.what, (counts = { delivered: 0, accepted: 0 }));
    counts.delivered++;
    if (await deliver()) counts.accepted++;
  }
}
