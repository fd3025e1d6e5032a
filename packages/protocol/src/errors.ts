/**
 * `refused`: certainly not executed. `unanswered`: may have been executed, or
 * may yet be, so callers must read back and condition what they repeat.
 */
export class NoReply extends Error {
  constructor(
    readonly kind: "refused" | "unanswered",
    message: string,
  ) {
    super(message);
  }
}
