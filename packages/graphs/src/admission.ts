/** Admission control of submitted tasks. */
import type { Client, TaskSpec } from "./model.js";

/** Limits beyond which submitted tasks are rejected. */
export interface AdmissionLimits {
  /** Maximum number of unfinished tasks of one client. */
  openPerClient: number;
  /** Maximum number of unfinished tasks of all clients. */
  open: number;
  /** Maximum size of the specs of one client's unfinished tasks, in bytes. */
  bytesPerClient: number;
  /** Maximum size of the specs of all unfinished tasks, in bytes. */
  bytes: number;
  /** Maximum length of one task's `args`, in UTF-16 code units. */
  taskBytes: number;
  /** Maximum number of objects that one task takes as input. */
  needs: number;
  /** Maximum number of objects that one task produces. */
  returns: number;
}

/** Admission limits of a graph whose options set no others. */
export const DEFAULT_LIMITS: AdmissionLimits = {
  openPerClient: 120_000,
  open: 200_000,
  bytesPerClient: 16 * 2 ** 20,
  bytes: 24 * 2 ** 20,
  taskBytes: 256 * 1024,
  needs: 20_000,
  returns: 1000,
};

const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 30_000;
/** Weight of the newest interval (at least one second) in the smoothed completion rate. */
const RATE_SMOOTHING = 0.3;

/** Approximate memory of a task spec with this number of distinct inputs, in bytes. */
export const specBytes = ({ key, fn, args }: TaskSpec, needs: number): number => key.length + fn.length + args.length + needs * 8;

/**
 * Rejects submissions before memory runs short. A rejected client receives a retry delay: the
 * excess over the limits divided by the recent rate at which tasks finished.
 */
export class Admission {
  private openTasks = 0;
  private openBytes = 0;
  private closedSinceUpdate = 0;
  private closedPerMs = 0;
  private rateUpdatedAt: number;

  constructor(
    private readonly limits: AdmissionLimits,
    now: number,
  ) {
    this.rateUpdatedAt = now;
  }

  /** Returns a message that names what is malformed in a task spec, or null if nothing is. */
  validate({ key, fn, args, needs, returns, cpus, retries }: TaskSpec): string | null {
    const { taskBytes, needs: maxNeeds, returns: maxReturns } = this.limits;
    if (key === "" || key.length > 200) return "key: expected 1 to 200 characters";
    if (fn === "" || fn.length > 200) return "fn: expected 1 to 200 characters";
    if (args.length > taskBytes) return `args: expected at most ${taskBytes} bytes`;
    if (needs.length > maxNeeds) return `needs: expected at most ${maxNeeds}`;
    if (!Number.isInteger(returns) || returns < 0 || returns > maxReturns) return `returns: expected 0 to ${maxReturns}`;
    if (!(cpus > 0) || !Number.isFinite(cpus)) return "cpus: expected more than 0";
    if (!Number.isInteger(retries) || retries < 0) return "retries: expected a whole number from 0";
    return null;
  }

  /** Returns null if a task of this size is within the limits now, else the delay in ms after which its client may retry. */
  retryAfterMs(client: Client, size: number, now: number): number | null {
    const { limits } = this;
    const excessTasks = Math.max(client.openTasks + 1 - limits.openPerClient, this.openTasks + 1 - limits.open);
    const excessBytes = Math.max(client.openBytes + size - limits.bytesPerClient, this.openBytes + size - limits.bytes);
    if (excessTasks <= 0 && excessBytes <= 0) return null;
    this.updateRate(now);
    const meanBytes = this.openTasks === 0 ? 1 : this.openBytes / this.openTasks;
    const excess = Math.max(excessTasks, excessBytes / Math.max(1, meanBytes));
    return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, this.closedPerMs > 0 ? excess / this.closedPerMs : MAX_RETRY_MS));
  }

  /** Updates the completion rate, at most once per second. */
  private updateRate(now: number): void {
    if (now - this.rateUpdatedAt < 1000) return;
    const newest = this.closedSinceUpdate / (now - this.rateUpdatedAt);
    this.closedPerMs = this.closedPerMs === 0 ? newest : this.closedPerMs + RATE_SMOOTHING * (newest - this.closedPerMs);
    this.closedSinceUpdate = 0;
    this.rateUpdatedAt = now;
  }

  /** Counts a task that was admitted. */
  taskOpened(client: Client, size: number): void {
    client.openTasks++;
    client.openBytes += size;
    this.openTasks++;
    this.openBytes += size;
  }

  /** Counts a task that reached its final outcome. */
  taskClosed(client: Client, size: number, now: number): void {
    client.openTasks--;
    client.openBytes -= size;
    this.openTasks--;
    this.openBytes -= size;
    this.closedSinceUpdate++;
    this.updateRate(now);
  }

  /** Number of unfinished tasks. */
  get unfinished(): number {
    return this.openTasks;
  }
}
