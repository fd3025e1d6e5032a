/**
 * A call to another service failed. `refused` means that the call was certainly not
 * executed. `unanswered` means that it may have been executed, or may be executed later, so
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
