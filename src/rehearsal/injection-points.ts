import type { InjectionPointOf } from "@thorntrail/emulator/entry";
import { keys } from "../ledger/records.js";

const FENCING_STARTED = "leading; fencing machines";

/** Maps a call, write or log line of a controller to the injection point (an event that planned faults wait for) that it marks; null if it marks none. */
export const injectionPointOf: InjectionPointOf = ({ what, detail }) => {
  if (what === "hire") return "rental-in-flight";
  if (what === "part taken") return detail["reason"] === "home again" ? "handing-over" : null;
  if (what === FENCING_STARTED) return Number(detail["machines"]) > 0 ? "fencing" : null;
  if (what !== "txn") return null;
  const operations = detail["apply"] as { write?: string; v?: { end?: unknown; spec?: { needs?: unknown } } }[];
  const isQuotaKey = (key: string | undefined): boolean => key?.startsWith(keys.quotaShares) === true;
  // A transaction with several quota records is the initial split of the teams' limits, not a transfer of quota.
  if (operations.some(({ write }) => isQuotaKey(write)) && operations.every(({ write }) => isQuotaKey(write)) && operations.length === 1)
    return "cession";
  if (operations.some(({ write }) => write?.startsWith(keys.owners) === true)) return "claim";
  const endsJob = (end: string): boolean => operations.some(({ write, v }) => write?.startsWith(keys.jobs) === true && v?.end === end);
  if (endsJob("withdrawn")) return "cancellation";
  if (endsJob("done")) return "pipeline-release";
  return null;
};
