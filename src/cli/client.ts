import { NoReply } from "@thorntrail/protocol/errors";
import { readFileSync } from "node:fs";
import { HttpClient, type Reply } from "../platform/http.js";

/** What went wrong, in one line that says what to do. */
export class CommandFailed extends Error {}

const TIMEOUT_MS = 5000;

async function call(node: string, method: string, path: string, body?: unknown): Promise<Reply> {
  if (!/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/.test(node)) throw new CommandFailed(`--node ${node}: give an address like 10.0.0.1:8080`);
  try {
    return await new HttpClient(1).call(node, method, path, body, TIMEOUT_MS);
  } catch (error) {
    if (error instanceof NoReply) throw new CommandFailed(`${node} does not answer (${error.message}): try another node`);
    throw error;
  }
}

function settled(reply: Reply): Record<string, unknown> {
  if (reply.status < 300) return reply.body;
  const why = String(reply.body["error"] ?? `status ${reply.status}`);
  throw new CommandFailed(
    reply.status === 503 || reply.status === 429 ? `not now: ${why}; try again in a few seconds` : `${why} (status ${reply.status})`,
  );
}

export async function submitJob(node: string, file: string): Promise<Record<string, unknown>> {
  let job: unknown;
  try {
    job = JSON.parse(readFileSync(file, "utf8"));
  } catch (error) {
    throw new CommandFailed(`${file}: ${(error as Error).message}`);
  }
  return settled(await call(node, "POST", "/v2/runs", job));
}

export async function showJob(node: string, ref: string): Promise<Record<string, unknown>> {
  return settled(await call(node, "GET", `/v2/runs/${encodeURIComponent(ref)}`));
}

export async function cancelJob(node: string, ref: string): Promise<Record<string, unknown>> {
  return settled(await call(node, "POST", `/v2/runs/${encodeURIComponent(ref)}/cancel`, {}));
}

export async function clusterStatus(node: string): Promise<Record<string, unknown>> {
  return settled(await call(node, "GET", "/cluster"));
}

/** The status view as lines for a person. */
export function statusLines(view: Record<string, unknown>): string {
  const lines = [`node ${String(view["node"])}, ready: ${String(view["ready"])}, state read ${String(view["stateAgeMs"])} ms ago`];
  lines.push(`present: ${(view["present"] as string[]).join(", ")}`);
  for (const { node, ms } of (view["silent"] ?? []) as { node: string; ms: number }[])
    lines.push(`silent: ${node} for ${Math.round(ms / 1000)} s`);
  if (view["cutOffFromWorkers"] === true) lines.push("this node cannot reach its workers: others should lead");
  if (Number(view["stalls"] ?? 0) > 0)
    lines.push(`this process stood still ${String(view["stalls"])} times, ${String(view["stoodStillMs"])} ms in all`);
  for (const part of view["parts"] as Record<string, unknown>[]) {
    const known =
      part["phase"] === undefined
        ? ""
        : `, ${String(part["phase"])}, ${String(part["queuedTasks"])} tasks of ${String(part["queuedJobs"])} jobs queued, longest wait ${String(part["longestWaitS"])} s`;
    lines.push(
      `part ${String(part["part"])}: led by ${String(part["owner"])}${part["ownerPresent"] === true ? "" : " (absent)"}, term ${String(part["term"])}, machines ${String(part["machinesUp"])} up of ${String(part["machines"])}${known}`,
    );
  }
  for (const team of view["allotments"] as { team: string; cpus: (number | null)[]; gpus: (number | null)[] }[]) {
    const list = (amounts: (number | null)[]): string => amounts.map((x) => x ?? "no limit").join("/");
    lines.push(`team ${team.team}: CPUs ${list(team.cpus)}, accelerators ${list(team.gpus)} by part`);
  }
  return lines.join("\n");
}
