import { spawn, type ChildProcess } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import { HttpClient } from "../src/platform/http.js";
import { keys } from "../src/ledger/records.js";
import { jobRecord } from "./memory.js";
import { sendRawRequest, CONTROLLER_PORT, processorMs, runArguments, writeSettings, HEALTH_REQUEST } from "./start.js";

/** Measures the start of a controller whose state service holds many jobs. */

const CHANGES_PER_TRANSACTION = 16;
/** Requests in flight while the jobs are written. */
const CONCURRENT_REQUESTS = 8;

/** Starts a store process with its data below `dir`; resolves once it listens. */
function startStore(dir: string): Promise<{ child: ChildProcess; addr: string }> {
  const args = ["store", "serve", "--listen", "127.0.0.1:0", "--data", join(dir, "state"), "--config", "measure/store.hcl"];
  const child = spawn(process.execPath, ["target/main.js", ...args], { stdio: ["ignore", "pipe", "ignore"] });
  return new Promise((resolve, reject) => {
    child.once("exit", () => reject(new Error("the store exited during its start")));
    child.stdout!.once("data", (line: Buffer) =>
      resolve({ child, addr: (JSON.parse(line.toString()) as { listening: string }).listening }),
    );
  });
}

/** Writes the records of `open` unfinished jobs and `finished` finished ones to the store. */
async function writeJobs(addr: string, open: number, finished: number): Promise<void> {
  const client = new HttpClient(CONCURRENT_REQUESTS);
  let next = 0;
  const writeBatches = async (): Promise<void> => {
    while (next < open + finished) {
      const from = next;
      next += CHANGES_PER_TRANSACTION;
      const apply = [];
      for (let i = from; i < Math.min(next, open + finished); i++) {
        const record = jobRecord(i, i >= open);
        apply.push({ write: keys.job(record.spec.ref), v: record });
      }
      const { status } = await client.call(addr, "POST", "/txn", { if: [], apply }, 10_000);
      if (status !== 200) throw new Error(`the store answered with status ${status}`);
    }
  };
  await Promise.all(Array.from({ length: CONCURRENT_REQUESTS }, writeBatches));
}

/** Cost of a start until the controller has read every record. */
export interface LoadedStart {
  /** Elapsed time. */
  readS: number;
  /** Processor time. */
  processorMs: number;
  /** Largest resident memory until five seconds after all records were read. */
  peakMb: number;
}

/**
 * Starts a controller whose state service holds `open` unfinished and `finished` finished jobs. Throws if it exits, or has not read
 * all records after 120 s.
 */
export async function measureLoadedStart(open: number, finished: number, memMb: number): Promise<LoadedStart> {
  const dir = mkdtempSync(join(tmpdir(), "thorntrail-full-"));
  const store = await startStore(dir);
  let child: ChildProcess | null = null;
  try {
    await writeJobs(store.addr, open, finished);
    const settingsPath = await writeSettings(dir, store.addr, { mem_mb: memMb });
    const startedAt = performance.now();
    child = spawn(process.execPath, [...runArguments("."), settingsPath], { stdio: "ignore" });
    const deadline = startedAt + 120_000;
    const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
    for (;;) {
      if (child.exitCode !== null || child.signalCode !== null)
        throw new Error(`the controller exited: ${child.exitCode ?? child.signalCode}`);
      if (performance.now() > deadline) throw new Error("the controller did not read all records within 120 s");
      const answer = await sendRawRequest(CONTROLLER_PORT, HEALTH_REQUEST);
      if (answer !== null && !answer.includes("starting")) break;
      await sleep(50);
    }
    const readS = (performance.now() - startedAt) / 1000;
    const processorMsUsed = processorMs(child.pid!);
    await sleep(5000);
    if (child.exitCode !== null || child.signalCode !== null)
      throw new Error(`the controller exited: ${child.exitCode ?? child.signalCode}`);
    const peakMatch = /VmHWM:\s+(\d+)/.exec(readFileSync(`/proc/${child.pid}/status`, "utf8"));
    return { readS, processorMs: processorMsUsed, peakMb: Number(peakMatch![1]) / 1000 };
  } finally {
    child?.kill("SIGKILL");
    store.child.kill("SIGKILL");
    await new Promise((resolve) => setTimeout(resolve, 200));
    rmSync(dir, { recursive: true, force: true });
  }
}
