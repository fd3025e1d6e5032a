/** Tracks the latest time until which a worker's lease may last, and decides whether it has provably expired. */
import type { Machine } from "./machine.js";

/**
 * Updates the latest time at which the machine's lease may have been renewed, after a report has been answered. A lease
 * is counted from the time at which a report was sent. An outdated report was sent before the newest one was received,
 * so the answer to it renews the lease from that time at the latest. A machine that has not reported this owner's term
 * may have received none of this owner's answers, and the former owner's last answer may reach it much later; a report
 * from such a machine therefore never moves the time back.
 */
export function recordLeaseRenewal(machine: Machine, isNewReport: boolean, now: number): void {
  const renewedAt = isNewReport ? now : machine.lastReceivedAt;
  machine.answeredAt = machine.fenced && isNewReport ? renewedAt : Math.max(machine.answeredAt, renewedAt);
}

/**
 * Returns whether the machine's lease has provably expired, so that no attempt is left on it. `provenAt` is when the
 * newest read of the state service that found this owner's term began. Until then no other controller owned the
 * partition; since then a new owner may have answered the machine. A lease that expires after `provenAt` may therefore
 * have been renewed, even if it has expired by the local clock.
 */
export function isLeaseExpired(machine: Machine, provenAt: number, expiryMs: number): boolean {
  return machine.up && provenAt > machine.answeredAt + expiryMs;
}
