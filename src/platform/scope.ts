import { Observable, Subject, takeUntil, type Subscription } from "rxjs";
import { sleep, type Clock } from "./clock.js";
import { CpuAccounting } from "./cpu-accounting.js";
import { Invariants } from "./invariants.js";
import type { Log } from "./log.js";

/**
 * Lifetime of routines, subscriptions and resources. Closing a scope ends everything started in it:
 * routines start no further step, subscriptions are cancelled, and cleanups run once.
 */
export class Scope {
  private readonly end$ = new Subject<void>();
  closed = false;

  constructor(
    readonly clock: Clock,
    readonly log: Log,
    readonly costs: CpuAccounting = new CpuAccounting(),
    readonly invariants: Invariants = new Invariants(log),
  ) {}

  /** Creates a scope that closes with this one. */
  child(): Scope {
    const scope = new Scope(this.clock, this.log, this.costs, this.invariants);
    this.onClose(() => scope.close());
    return scope;
  }

  /** Runs `cleanup` when the scope closes. */
  onClose(cleanup: () => void): void {
    this.end$.subscribe({ complete: cleanup });
  }

  /** Subscribes to `source` until the scope closes. */
  listen<T>(source: Observable<T>, handler: (value: T) => void): Subscription {
    return source.pipe(takeUntil(this.end$)).subscribe(handler);
  }

  /** Calls `step` repeatedly until the scope closes, pausing for `pauseMs()` after each call. Errors are logged and do not end the routine. */
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
