import type { Log } from "./log.js";

/** Something that must hold by construction does not. */
export class InvariantViolated extends Error {}

/**
 * Invariants asserted at run time, where they are relied upon. A service logs each violation at error, counts it and goes
 * on with the safe choice, which whoever asserts has to make; where `strict`, as in virtual time, it throws.
 */
export class Invariants {
  violations = 0;

  constructor(
    private readonly log: Log,
    private readonly strict = false,
  ) {}

  violated(invariant: string, detail: Record<string, unknown>): void {
    this.violations++;
    this.log.error({ invariant, ...detail }, "invariant violated");
    if (this.strict) throw new InvariantViolated(`${invariant}: ${JSON.stringify(detail)}`);
  }
}
