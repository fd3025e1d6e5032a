/**
 * Thrown if a call to another process failed. `refused`: the call was certainly not
 * executed. `unanswered`: the call may have been executed, or may be executed later, so
 * callers must read back the state and make retries conditional.
 */
export class CallError extends Error {
  constructor(
    readonly kind: "refused" | "unanswered",
    message: string,
  ) {
    super(message);
  }
}
