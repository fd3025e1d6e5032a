/** Detects that this node is cut off from its workers while other controllers reach theirs. */
import type { RentalIndex } from "../ledger/rentals.js";
import { CallError } from "@thorntrail/protocol/errors";
import type { Report, WorkerApi } from "@thorntrail/protocol/worker";
import type { Scope } from "../platform/scope.js";
import type { Settings } from "../settings/derived.js";
import type { Partition } from "../partitions/partition.js";

/**
 * How many of a node's machines report to it: `most`, `few`, or `unsure` if the share lies in between or there are too
 * few machines.
 */
export type Reachability = "most" | "few" | "unsure";

/** Minimum share of a node's machines that report to it for the result `most`, and maximum share for `few`. */
const MIN_SHARE_FOR_MOST = 1 / 2;
const MAX_SHARE_FOR_FEW = 1 / 10;
/**
 * Minimum number of machines from which this node may conclude that it is cut off; fewer may all be gone at the same
 * time.
 */
const MIN_MACHINES = 3;
/**
 * Number of machines probed per round, and number of successful rounds in a row after which a cut-off node counts as
 * fit to own partitions again.
 */
const PROBES_PER_ROUND = 3;
const REQUIRED_GOOD_ROUNDS = 2;
/**
 * Maximum pause before a cut-off node probes its machines, as a multiple of the worker lease. If the node loses
 * contact again within this time of the previous loss, the pause doubles.
 */
const MAX_PAUSE_LEASES = 8;

/** Returns whether most or few of the partitions' machines have reported within the last `silentMs`, or `unsure`. */
export function reachabilityOf(partitions: Iterable<Partition>, now: number, silentMs: number): Reachability {
  let expected = 0;
  let reporting = 0;
  for (const partition of partitions) {
    if (now - partition.takenOverAt < silentMs) continue;
    for (const machine of partition.machines.values()) {
      if (!machine.up || machine.deleting) continue;
      expected++;
      if (now - machine.lastReceivedAt < silentMs) reporting++;
    }
  }
  if (expected < MIN_MACHINES) return "unsure";
  return reporting >= expected * MIN_SHARE_FOR_MOST ? "most" : reporting <= expected * MAX_SHARE_FOR_FEW ? "few" : "unsure";
}

/**
 * Decides whether this node is fit to own partitions. A controller that reaches the state service but not its workers
 * would keep its partitions while the leases of all their machines expire. If few of its machines report while a peer
 * does not see the same, this node is the one that is cut off: it declares itself unfit and others take its partitions.
 * It becomes fit again after a pause, once machines answer in several rounds of probes; the pause grows when contact is
 * lost again soon.
 */
export class Fitness {
  /** Whether this node should not own partitions at present, because it is cut off from its workers. */
  unfit = false;
  private contactLostAt = -Infinity;
  private pauseMs: number;
  private goodRounds = 0;
  private probeIndex = 0;
  private readonly peerReports = new Map<string, { reachability: Reachability; at: number }>();

  constructor(
    private readonly settings: Settings,
    private readonly partitions: ReadonlyMap<number, Partition>,
    private readonly rentals: RentalIndex,
    private readonly workers: WorkerApi,
    private readonly hasStateService: () => boolean,
    /** Called with the report that a worker's reply to a probe contains. */
    private readonly onProbeReply: (report: Report) => void,
    private readonly scope: Scope,
  ) {
    this.pauseMs = settings.timing.leaseMs / 2;
  }

  /** Starts the periodic check whether this node reaches its workers. */
  start(): void {
    this.scope.routine(
      "fitness",
      () => this.settings.timing.reportMs / 4,
      () => (this.unfit ? this.probe() : this.evaluate()),
    );
  }

  /** Records a peer's message that states how many of the peer's own machines report to it. */
  notePeerReport(node: string, reported: string): void {
    this.peerReports.set(node, { reachability: reported as Reachability, at: this.scope.clock.now() });
  }

  /** Returns how many of this node's machines report to it. */
  ownReachability(): Reachability {
    return reachabilityOf(this.partitions.values(), this.scope.clock.now(), this.settings.timing.silentMs);
  }

  private evaluate(): void {
    if (this.ownReachability() !== "few") return;
    const now = this.scope.clock.now();
    const { reportMs, leaseMs } = this.settings.timing;
    // While the state service cannot be reached, other controllers may have taken over this node's machines, which
    // would explain the missing reports.
    if (!this.hasStateService()) return;
    // If no peer receives reports from its machines either, the machines are gone or cut off from all controllers.
    const others = [...this.peerReports.values()].some(({ reachability: theirs, at }) => theirs !== "few" && now - at < reportMs);
    if (!others) return;
    this.pauseMs =
      now - this.contactLostAt < leaseMs * MAX_PAUSE_LEASES ? Math.min(this.pauseMs * 2, leaseMs * MAX_PAUSE_LEASES) : leaseMs / 2;
    this.contactLostAt = now;
    this.unfit = true;
    this.goodRounds = 0;
    this.scope.log.warn(
      { parts: [...this.partitions.keys()] },
      "workers cannot be reached from here, peers reach theirs: others should lead",
    );
  }

  private async probe(): Promise<void> {
    if (this.scope.clock.now() - this.contactLostAt < this.pauseMs) return;
    this.goodRounds = (await this.canReachMachines()) ? this.goodRounds + 1 : 0;
    if (this.goodRounds < REQUIRED_GOOD_ROUNDS) return;
    this.unfit = false;
    this.scope.log.info({ ms: Math.round(this.scope.clock.now() - this.contactLostAt) }, "workers can be reached again");
  }

  /**
   * Probes a few machines, of all partitions or of the given one, and returns whether at least half of them answer.
   * The probe is a command with the lowest token and no orders, which changes nothing whichever controller owns the
   * machine.
   */
  async canReachMachines(partition?: number): Promise<boolean> {
    const registered = [...this.rentals.all()].filter(
      (machine) => machine.addr !== null && (partition === undefined || machine.partition === partition),
    );
    const chosen = Array.from(
      { length: Math.min(PROBES_PER_ROUND, registered.length) },
      () => registered[this.probeIndex++ % registered.length]!,
    );
    const answers = await Promise.all(
      chosen.map(({ addr }) =>
        this.workers.command(addr!, 0, 1, []).then(
          ({ report }) => {
            this.onProbeReply(report);
            return true;
          },
          (error: unknown) => {
            if (!(error instanceof CallError)) throw error;
            return false;
          },
        ),
      ),
    );
    // One machine may be gone; if two of three do not answer, the fault is on this node's side.
    return answers.filter(Boolean).length * 2 >= answers.length;
  }
}
