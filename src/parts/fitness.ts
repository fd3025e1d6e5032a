import type { Rentals } from "../ledger/rentals.js";
import { NoReply } from "@thorntrail/protocol/errors";
import type { Report, WorkerApi } from "@thorntrail/protocol/worker";
import type { Scope } from "../platform/scope.js";
import type { Settings } from "../settings/derived.js";
import type { Part } from "./part.js";

/** What a node hears of the machines it leads; `unsure`: too few, or something in between. */
export type Reachability = "most" | "few" | "unsure";

/** Of the machines that should report, how many make `most`, and how many at most are `few`. */
const MIN_SHARE_FOR_MOST = 1 / 2;
const MAX_SHARE_FOR_FEW = 1 / 10;
/** Fewer machines than this may well all be gone. */
const MIN_MACHINES = 3;
/** Machines asked at a time whether they can be reached again, and how often all must answer. */
const PROBES_PER_ROUND = 3;
const REQUIRED_GOOD_ROUNDS = 2;
/** How much longer the pause before leading again may grow if contact is lost again. */
const MAX_PAUSE_LEASES = 8;

export function hearing(partitions: Iterable<Part>, now: number, silentMs: number): Reachability {
  let expected = 0;
  let reporting = 0;
  for (const partition of partitions) {
    if (now - partition.since < silentMs) continue;
    for (const machine of partition.machines.values()) {
      if (!machine.up || machine.deleting) continue;
      expected++;
      if (now - machine.heardAt < silentMs) reporting++;
    }
  }
  if (expected < MIN_MACHINES) return "unsure";
  return reporting >= expected * MIN_SHARE_FOR_MOST ? "most" : reporting <= expected * MAX_SHARE_FOR_FEW ? "few" : "unsure";
}

/**
 * A controller that reaches the state service but not its workers would hold its
 * part while the leases of all its machines run out. If it hears next to none
 * of them while a peer does not find the same, it is this node that is cut off: it says so,
 * and others take its parts. It leads again once machines can be reached for a
 * while; the pause grows if that turns out too early.
 */
export class Fitness {
  unfit = false;
  private contactLostAt = -Infinity;
  private pauseMs: number;
  private goodRounds = 0;
  private probeIndex = 0;
  private readonly peerReports = new Map<string, { reachability: Reachability; at: number }>();

  constructor(
    private readonly settings: Settings,
    private readonly parts: ReadonlyMap<number, Part>,
    private readonly rentals: Rentals,
    private readonly workers: WorkerApi,
    private readonly hasStateService: () => boolean,
    /** Told of each answer to a probe. */
    private readonly onProbeReply: (report: Report) => void,
    private readonly scope: Scope,
  ) {
    this.pauseMs = settings.timing.leaseMs / 2;
  }

  start(): void {
    this.scope.routine(
      "fitness",
      () => this.settings.timing.reportMs / 4,
      () => (this.unfit ? this.probe() : this.evaluate()),
    );
  }

  hear(node: string, hears: string): void {
    this.peerReports.set(node, { reachability: hears as Reachability, at: this.scope.clock.now() });
  }

  own(): Reachability {
    return hearing(this.parts.values(), this.scope.clock.now(), this.settings.timing.silentMs);
  }

  private evaluate(): void {
    if (this.own() !== "few") return;
    const now = this.scope.clock.now();
    const { reportMs, leaseMs } = this.settings.timing;
    // Without the state service others may lead those machines by now: no wonder that they are not heard.
    if (!this.hasStateService()) return;
    // If no peer hears its own either, the machines are gone, or cut off from everybody.
    const others = [...this.peerReports.values()].some(({ reachability: theirs, at }) => theirs !== "few" && now - at < reportMs);
    if (!others) return;
    this.pauseMs =
      now - this.contactLostAt < leaseMs * MAX_PAUSE_LEASES ? Math.min(this.pauseMs * 2, leaseMs * MAX_PAUSE_LEASES) : leaseMs / 2;
    this.contactLostAt = now;
    this.unfit = true;
    this.goodRounds = 0;
    this.scope.log.warn({ parts: [...this.parts.keys()] }, "workers cannot be reached from here, peers reach theirs: others should lead");
  }

  private async probe(): Promise<void> {
    if (this.scope.clock.now() - this.contactLostAt < this.pauseMs) return;
    this.goodRounds = (await this.reaches()) ? this.goodRounds + 1 : 0;
    if (this.goodRounds < REQUIRED_GOOD_ROUNDS) return;
    this.unfit = false;
    this.scope.log.info({ ms: Math.round(this.scope.clock.now() - this.contactLostAt) }, "workers can be reached again");
  }

  /**
   * Do machines, of the part if one is given, answer this node? A command with the
   * lowest token and no orders changes nothing, whoever leads the machine.
   */
  async reaches(partition?: number): Promise<boolean> {
    const known = [...this.rentals.all()].filter(
      (machine) => machine.addr !== null && (partition === undefined || machine.part === partition),
    );
    const chosen = Array.from({ length: Math.min(PROBES_PER_ROUND, known.length) }, () => known[this.probeIndex++ % known.length]!);
    const answers = await Promise.all(
      chosen.map(({ addr }) =>
        this.workers.command(addr!, 0, 1, []).then(
          ({ report }) => {
            this.onProbeReply(report);
            return true;
          },
          (error: unknown) => {
            if (!(error instanceof NoReply)) throw error;
            return false;
          },
        ),
      ),
    );
    // One machine may be gone; two of three that do not answer are this node's trouble.
    return answers.filter(Boolean).length * 2 >= answers.length;
  }
}
