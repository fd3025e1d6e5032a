import { CallError } from "@thorntrail/protocol/errors";
import { readFileSync } from "node:fs";
import { HttpClient, type Reply } from "../platform/http.js";

/** The commands that send users' requests to a controller. */

/** Thrown if a command failed; the message is one line for the user. */
export class CommandFailed extends Error {}

const TIMEOUT_MS = 5000;

async function call(node: string, method: string, path: string, body?: unknown): Promise<Reply> {
  if (!/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/.test(node)) throw new CommandFailed(`--node ${node}: give an address like 10.0.0.1:8080`);
  try {
    return await new HttpClient(1).call(node, method, path, body, TIMEOUT_MS);
  } catch (error) {
    if (error instanceof CallError) throw new CommandFailed(`${node} does not answer (${error.message}): try another node`);
    throw error;
  }
}

/** Returns the body of a successful reply; throws CommandFailed for any other. */
function unwrap(reply: Reply): Record<string, unknown> {
  if (reply.status < 300) return reply.body;
  const reason = String(reply.body["error"] ?? `status ${reply.status}`);
  throw new CommandFailed(
    reply.status === 503 || reply.status === 429 ? `not now: ${reason}; try again in a few seconds` : `${reason} (status ${reply.status})`,
  );
}

/** Submits the job in a JSON file. Throws CommandFailed. */
export async function submitJob(node: string, file: string): Promise<Record<string, unknown>> {
  let job: unknown;
  try {
    job = JSON.parse(readFileSync(file, "utf8"));
  } catch (error) {
    throw new CommandFailed(`${file}: ${(error as Error).message}`);
  }
  return unwrap(await call(node, "POST", "/v2/runs", job));
}

/** Returns the status of a job. Throws CommandFailed. */
export async function showJob(node: string, ref: string): Promise<Record<string, unknown>> {
  return unwrap(await call(node, "GET", `/v2/runs/${encodeURIComponent(ref)}`));
}

/** Cancels a job. Throws CommandFailed. */
export async function cancelJob(node: string, ref: string): Promise<Record<string, unknown>> {
  return unwrap(await call(node, "POST", `/v2/runs/${encodeURIComponent(ref)}/cancel`, {}));
}

/** Returns a controller's view of the cluster, as served at /cluster. Throws CommandFailed. */
export async function clusterStatus(node: string): Promise<Record<string, unknown>> {
  return unwrap(await call(node, "GET", "/cluster"));
}

/** Formats the /cluster view as text. */
export function statusLines(view: Record<string, unknown>): string {
  const lines = [`node ${String(view["node"])}, ready: ${String(view["ready"])}, state read ${String(view["stateAgeMs"])} ms ago`];
  lines.push(`present: ${(view["present"] as string[]).join(", ")}`);
  for (const { node, ms } of (view["silent"] ?? []) as { node: string; ms: number }[])
    lines.push(`silent: ${node} for ${Math.round(ms / 1000)} s`);
  if (view["cutOffFromWorkers"] === true) lines.push("this node cannot reach its workers: others should lead");
  if (Number(view["stalls"] ?? 0) > 0)
    lines.push(`this process stood still ${String(view["stalls"])} times, ${String(view["stoodStillMs"])} ms in all`);
  for (const partition of view["parts"] as Record<string, unknown>[]) {
    const details =
      partition["phase"] === undefined
        ? ""
        : `, ${String(partition["phase"])}, ${String(partition["queuedTasks"])} tasks of ${String(partition["queuedJobs"])} jobs queued, longest wait ${String(partition["longestWaitS"])} s`;
    lines.push(
      `part ${String(partition["part"])}: led by ${String(partition["owner"])}${partition["ownerPresent"] === true ? "" : " (absent)"}, term ${String(partition["term"])}, machines ${String(partition["machinesUp"])} up of ${String(partition["machines"])}${details}`,
    );
  }
  for (const team of view["allotments"] as { team: string; cpus: (number | null)[]; gpus: (number | null)[] }[]) {
    const list = (amounts: (number | null)[]): string => amounts.map((x) => x ?? "no limit").join("/");
    lines.push(`team ${team.team}: CPUs ${list(team.cpus)}, accelerators ${list(team.gpus)} by part`);
  }
  return lines.join("\n");
}
