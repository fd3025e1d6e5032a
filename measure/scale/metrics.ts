import { sendRequest } from "../../packages/emulator/src/real/http.js";

/** Reads metrics of the store and of controllers over HTTP. */

const TIMEOUT_MS = 5000;

/** Counters of the state service. */
export interface StateCounters {
  changes: number;
  conflicts: number;
  refused: number;
  ledger: number;
  groupAnswers: number;
}

/** Returns the metrics whose names begin with `prefix`. The key of each is its name without the prefix, followed by its labels. */
function parseMetrics(text: string, prefix: string): Map<string, number> {
  const found = new Map<string, number>();
  for (const line of text.split("\n")) {
    const match = /^([a-z_]+)(\{[^}]*\})? ([-0-9.e+]+)$/.exec(line);
    if (match !== null && match[1]!.startsWith(prefix)) found.set(match[1]!.slice(prefix.length) + (match[2] ?? ""), Number(match[3]));
  }
  return found;
}

/** Reads the counters of the state service from its admin listener; NaN for those that it does not return. */
export async function readStateCounters(adminAddress: string): Promise<StateCounters> {
  const response = await sendRequest(false, adminAddress, "GET", "/metrics", undefined, TIMEOUT_MS);
  const metrics = parseMetrics(response?.text ?? "", "thorntrail_store_");
  const read = (name: string): number => metrics.get(name) ?? NaN;
  return {
    changes: read("changes_total"),
    conflicts: read("conflicts_total"),
    refused: read("refused_total"),
    ledger: read("ledger"),
    groupAnswers: read("group_answers_total"),
  };
}

/** Returns the sum of a metric over controllers; one without the metric counts as 0. */
export async function sumControllerMetric(addresses: readonly string[], name: string): Promise<number> {
  const responses = await Promise.all(addresses.map((address) => sendRequest(false, address, "GET", "/metrics", undefined, TIMEOUT_MS)));
  return responses.reduce((sum, response) => sum + (parseMetrics(response?.text ?? "", "thorntrail_").get(name) ?? 0), 0);
}
