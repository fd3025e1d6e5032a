import type { MomentOf } from "@thorntrail/emulator/entry";
import { keys } from "../ledger/records.js";

const MACHINES = "leading; fencing machines";

/** What this controller writes and logs at the moments that plans may wait for. */
export const momentOf: MomentOf = ({ what, detail }) => {
  if (what === "hire") return "rental-in-flight";
  if (what === "part taken") return detail["reason"] === "home again" ? "handing-over" : null;
  if (what === MACHINES) return Number(detail["machines"]) > 0 ? "fencing" : null;
  if (what !== "txn") return null;
  const ops = detail["apply"] as { write?: string; v?: { end?: unknown; spec?: { needs?: unknown } } }[];
  const allotted = (key: string | undefined): boolean => key?.startsWith(keys.allotments) === true;
  // The first split of a limit is not ceded by anybody.
  if (ops.some(({ write }) => allotted(write)) && ops.every(({ write }) => allotted(write)) && ops.length === 1) return "cession";
  if (ops.some(({ write }) => write?.startsWith(keys.owners) === true)) return "claim";
  const ended = (end: string): boolean => ops.some(({ write, v }) => write?.startsWith(keys.jobs) === true && v?.end === end);
  if (ended("withdrawn")) return "cancellation";
  if (ended("done")) return "pipeline-release";
  return null;
};
