import { spawn, spawnSync } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { performance } from "node:perf_hooks";
import { parse, stringify } from "smol-toml";
import { buildPlatform, DEFAULT_TIMING } from "@thorntrail/emulator/environment";
import { loadPlan } from "../packages/emulator/src/entry.js";
import { median } from "./harness.js";

/** Measures the processor time that a controller takes to start. */

/** Returns the processor time that the main thread of a process has used so far, in ms, from the kernel's scheduler statistics. */
export function processorMs(pid: number): number {
  return Number(readFileSync(`/proc/${pid}/schedstat`, "utf8").split(" ")[0]) / 1e6;
}

/** Returns the arguments of the `run` command in a checkout's deploy/service.toml, without the program. */
export function runArguments(dir: string): string[] {
  const { run } = parse(readFileSync(join(dir, "deploy/service.toml"), "utf8")) as { run: string };
  const [, ...words] = run.split(/\s+/);
  return words;
}

/** Sends a request on a new connection; resolves with the first bytes of the response, or null if there is none. */
export function sendRawRequest(port: number, text: string): Promise<string | null> {
  return new Promise((resolve) => {
    const socket = connect({ host: "127.0.0.1", port });
    socket.on("connect", () => socket.write(text));
    socket.on("data", (chunk: Buffer) => {
      resolve(chunk.toString("latin1"));
      socket.destroy();
    });
    socket.on("error", () => resolve(null));
    socket.on("close", () => resolve(null));
  });
}

export const HEALTH_REQUEST = "GET /up HTTP/1.1\r\nhost: a\r\n\r\n";
const SUBMISSION_BODY = JSON.stringify({ ref: "run-000001" });
const SUBMISSION_REQUEST = `POST /v2/runs HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\ncontent-length: ${SUBMISSION_BODY.length}\r\n\r\n${SUBMISSION_BODY}`;
export const CONTROLLER_PORT = 18_080;

/** Processor time of a controller from its start, in ms. */
export interface StartCost {
  /** Until the first answer to a health check. */
  firstAnswerMs: number;
  /** Until the first answer to a submission. */
  submissionMs: number;
}

/**
 * Writes the settings of a controller of two, whose peer and cloud refuse connections, and returns
 * the path of the file. `quota` overrides members of the plan's quota.
 */
export async function writeSettings(dir: string, state: string, quota: Record<string, number> = {}): Promise<string> {
  const path = join(dir, "settings.toml");
  const { deployment } = buildPlatform(await loadPlan("deploy/rehearsal.hcl"), DEFAULT_TIMING);
  const known = [{ host_name: "nest-1", area: "a", peer_addr: "127.0.0.1:1" }];
  const endpoints = { cloud: "127.0.0.1:1", state };
  const settings = {
    host_name: "nest-0",
    area: "a",
    front: `127.0.0.1:${CONTROLLER_PORT}`,
    peer_listen: `127.0.0.1:${CONTROLLER_PORT + 1}`,
    known,
    endpoints,
  };
  const all = { ...deployment, quota: { ...(deployment["quota"] as Record<string, number>), ...quota } };
  writeFileSync(path, stringify({ ...settings, deployment: all }));
  return path;
}

/** Starts the controller of a checkout `repeats` times, while all other services refuse connections, and returns the medians. */
export async function measureStarts(dir: string, repeats: number): Promise<StartCost> {
  const settingsDir = mkdtempSync(join(tmpdir(), "thorntrail-start-"));
  const settingsPath = await writeSettings(settingsDir, "127.0.0.1:1");
  const firstAnswerTimes: number[] = [];
  const submissionTimes: number[] = [];
  for (let i = 0; i < repeats; i++) {
    const child = spawn(process.execPath, [...runArguments(dir), settingsPath], { cwd: resolve(dir), stdio: "ignore" });
    const deadline = performance.now() + 20_000;
    const waitForAnswer = async (text: string): Promise<number> => {
      while ((await sendRawRequest(CONTROLLER_PORT, text)) === null) {
        if (performance.now() > deadline) throw new Error(`${dir}: the controller did not answer within 20 s`);
        await new Promise((resolve) => setTimeout(resolve, 5));
      }
      return processorMs(child.pid!);
    };
    firstAnswerTimes.push(await waitForAnswer(HEALTH_REQUEST));
    submissionTimes.push(await waitForAnswer(SUBMISSION_REQUEST));
    child.kill("SIGKILL");
    await new Promise((resolve) => child.once("exit", resolve));
  }
  rmSync(settingsDir, { recursive: true });
  return { firstAnswerMs: median(firstAnswerTimes), submissionMs: median(submissionTimes) };
}

/** Returns the median processor time of a Node.js process that does nothing, in ms. */
export function bareRuntimeMs(repeats: number): number {
  const times: number[] = [];
  for (let i = 0; i < repeats; i++) {
    const code = "process.stdout.write(String(require('fs').readFileSync('/proc/self/schedstat','utf8').split(' ')[0]/1e6))";
    times.push(Number(spawnSync(process.execPath, ["-e", code], { encoding: "utf8" }).stdout));
  }
  return median(times);
}
