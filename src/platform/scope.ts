import { Observable, Subject, takeUntil, type Subscription } from "rxjs";
import { sleep, type Clock } from "./clock.js";
import { Costs } from "./costs.js";
import { Invariants } from "./invariants.js";
import type { Log } from "./log.js";

/**
 * The life of a duty. Everything started in a scope ends with it: routines see
 * `closed`, subscriptions are taken until the end, cleanups run once.
 */
export class Scope {
  private readonly end$ = new Subject<void>();
  closed = false;

  constructor(
    readonly clock: Clock,
    readonly log: Log,
    readonly costs: Costs = new Costs(),
    readonly invariants: Invariants = new Invariants(log),
  ) {}

  child(): Scope {
    const scope = new Scope(this.clock, this.log, this.costs, this.invariants);
    this.onEnd(() => scope.close());
    return scope;
  }

  onEnd(cleanup: () => void): void {
    this.end$.subscribe({ complete: cleanup });
  }

  listen<T>(source: Observable<T>, handler: (value: T) => void): Subscription {
    return source.pipe(takeUntil(this.end$)).subscribe(handler);
  }

  /** Calls `step` until the scope closes, with a pause after each call. */
  routine(name: string, pauseMs: () => number, step: () => Promise<void> | void): void {
    const run = async (): Promise<void> => {
      while (!this.closed) {
        try {
          await step();
        } catch (error) {
          this.log.error({ routine: name, err: String((error as Error)?.stack ?? error) }, "routine step failed");
        }
        await sleep(this.clock, pauseMs());
      }
    };
    void run();
  }

  close(): void {
    if (this.closed) return;
    this.closed = true;
    this.end$.next();
    this.end$.complete();
  }
}
