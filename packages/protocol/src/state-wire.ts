/** The wire format of requests to the state service, and the bounds that its protocol sets. */
import * as z from "zod";

/** Bounds that the protocol of the state service defines, independent of settings. Sizes are in bytes, times in ms. */
export const STATE_BOUNDS = {
  bodyBytes: 64 * 1024,
  keyBytes: 200,
  pageItems: 1000,
  pageBytes: 512 * 1024,
  /** Number of latest changes kept in the history, from which watches can start. */
  historyChanges: 10_000,
  ttlMs: { min: 100, max: 600_000 },
  blockMs: 60_000,
  /** Maximum time from the expiry of a lease until the service ends the lease and removes its keys. */
  maxExpiryDelayMs: 100,
  /** Maximum number of conditions in a transaction, as a multiple of the maximum number of its changes. */
  conditionsPerChange: 4,
} as const;

const key = z
  .string()
  .refine(
    (text) => text.length > 0 && Buffer.byteLength(text) <= STATE_BOUNDS.keyBytes && !/\s/.test(text),
    "a key of 1 to 200 bytes without spaces",
  );
const stamp = z.number().int().min(0).max(Number.MAX_SAFE_INTEGER);
const value = z.custom<unknown>((v) => v !== undefined, "a value is missing");

const txnSchema = z.object({
  if: z.array(z.object({ k: key, stamp })).nullish(),
  apply: z
    .array(
      z.union(
        [z.object({ write: key, v: value, permit: stamp.nullish() }), z.object({ remove: key })],
        "a write with a value, or a remove",
      ),
    )
    .nullish(),
});
const grantSchema = z.object({ ttlMs: z.number().int().min(STATE_BOUNDS.ttlMs.min).max(STATE_BOUNDS.ttlMs.max) });

/** A transaction request as it is sent: conditions in `if`, changes in `apply`. */
export type TxnRequest = z.infer<typeof txnSchema>;

function valueOrFault<T>(parsed: z.ZodSafeParseResult<T>): T | { fault: string } {
  if (parsed.success) return parsed.data;
  const [issue] = parsed.error.issues;
  return { fault: `${issue!.path.join(".") || "body"}: ${issue!.message}` };
}

/** Decodes a transaction request, or returns a description of its first fault. */
export function decodeTxn(raw: unknown): TxnRequest | { fault: string } {
  return valueOrFault(txnSchema.safeParse(raw));
}

/** Decodes a request for a lease, or returns a description of its first fault. */
export function decodeGrant(raw: unknown): { ttlMs: number } | { fault: string } {
  return valueOrFault(grantSchema.safeParse(raw));
}

/** Returns null if the text is a valid key, otherwise a description of what a valid key looks like. */
export function keyFault(text: string): string | null {
  const parsed = key.safeParse(text);
  return parsed.success ? null : parsed.error.issues[0]!.message;
}
