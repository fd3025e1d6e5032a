import { performance } from "node:perf_hooks";
import { NEVER, type Observable } from "rxjs";

/** Source of time and timers; tests and rehearsals replace it by a virtual clock. */
export interface Clock {
  /** Monotonic time in milliseconds. */
  now(): number;
  /** Time of day in milliseconds, accurate within the bound in the settings (clock_off_ms). */
  wall(): number;
  /** Runs `fn` after `ms`; the returned function cancels it. */
  after(ms: number, fn: () => void): () => void;
  /** Emits the length in ms of each stall (time in which the process was not scheduled), as soon as it is detected. */
  readonly stall$: Observable<number>;
}

/** The operating system's clocks and timers; does not detect stalls. */
export const systemClock: Clock = {
  stall$: NEVER,
  now: () => performance.now(),
  wall: () => Date.now(),
  after(ms, fn) {
    const timer = setTimeout(fn, ms);
    return () => clearTimeout(timer);
  },
};

/** Resolves after `ms` by the clock. */
export function sleep(clock: Clock, ms: number): Promise<void> {
  return new Promise((resolve) => clock.after(ms, resolve));
}
