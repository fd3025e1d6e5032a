import { performance } from "node:perf_hooks";
import { NEVER, type Observable } from "rxjs";

/** Time as the decisions see it; scenarios put a virtual one in its place. */
export interface Clock {
  /** Steady milliseconds. */
  now(): number;
  /** Time of day in milliseconds, right within the bound in the settings. */
  wall(): number;
  /** Runs `fn` after `ms`; the returned function cancels it. */
  after(ms: number, fn: () => void): () => void;
  /** How long, in ms, the process stood still, as soon as that is noticed. */
  readonly stood$: Observable<number>;
}

export const systemClock: Clock = {
  stood$: NEVER,
  now: () => performance.now(),
  wall: () => Date.now(),
  after(ms, fn) {
    const timer = setTimeout(fn, ms);
    return () => clearTimeout(timer);
  },
};

export function sleep(clock: Clock, ms: number): Promise<void> {
  return new Promise((resolve) => clock.after(ms, resolve));
}
