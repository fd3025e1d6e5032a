import type { Log } from "./log.js";

/** Thrown in strict mode when an invariant does not hold. */
export class InvariantViolated extends Error {}

/**
 * Handles violations of invariants that are checked at run time. A violation is counted and logged at error level, and
 * the caller continues with a safe choice. If `strict`, as in virtual time, InvariantViolated is thrown instead.
 */
export class Invariants {
  violations = 0;

  constructor(
    private readonly log: Log,
    private readonly strict = false,
  ) {}

  /** Reports a violation. Throws InvariantViolated if strict. */
  reportViolation(invariant: string, detail: Record<string, unknown>): void {
    this.violations++;
    this.log.error({ invariant, ...detail }, "invariant violated");
    if (this.strict) throw new InvariantViolated(`${invariant}: ${JSON.stringify(detail)}`);
  }
}
