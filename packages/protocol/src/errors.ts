/**
 * A call to another service failed. `refused` means that it was certainly not executed;
 * `unanswered` that it may have been executed or may still be, so callers must read back
 * the state and make retries conditional.
 */
export class CallError extends Error {
  constructor(
    readonly kind: "refused" | "unanswered",
    message: string,
  ) {
    super(message);
  }
}
