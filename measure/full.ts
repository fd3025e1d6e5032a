import { spawn, type ChildProcess } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import { HttpClient } from "../src/platform/http.js";
import { keys } from "../src/ledger/records.js";
import { jobRecordOf } from "./memory.js";
import { ask, PORT, processorMs, runOf, settingsFile, UP } from "./start.js";

const PER_TXN = 16;
/** Requests under way while the state is filled. */
const LANES = 8;

function storeIn(place: string): Promise<{ child: ChildProcess; addr: string }> {
  const args = ["store", "serve", "--listen", "127.0.0.1:0", "--data", join(place, "state"), "--config", "measure/store.hcl"];
  const child = spawn(process.execPath, ["target/main.js", ...args], { stdio: ["ignore", "pipe", "ignore"] });
  return new Promise((resolve, reject) => {
    child.once("exit", () => reject(new Error("the store ended at its start")));
    child.stdout!.once("data", (line: Buffer) =>
      resolve({ child, addr: (JSON.parse(line.toString()) as { listening: string }).listening }),
    );
  });
}

async function fill(addr: string, open: number, finished: number): Promise<void> {
  const client = new HttpClient(LANES);
  let next = 0;
  const lane = async (): Promise<void> => {
    while (next < open + finished) {
      const from = next;
      next += PER_TXN;
      const apply = [];
      for (let i = from; i < Math.min(next, open + finished); i++) {
        const record = jobRecordOf(i, i >= open);
        apply.push({ write: keys.job(record.spec.ref), v: record });
      }
      const { status } = await client.call(addr, "POST", "/txn", { if: [], apply }, 10_000);
      if (status !== 200) throw new Error(`the store answered ${status}`);
    }
  };
  await Promise.all(Array.from({ length: LANES }, lane));
}

export interface Full {
  /** Until every record is read: steady and processor time, and the most memory held up to then and five seconds on. */
  readS: number;
  processorMs: number;
  peakMb: number;
}

/** A controller that starts among so many jobs. Throws if it ends by itself. */
export async function startFull(open: number, finished: number, memMb: number): Promise<Full> {
  const place = mkdtempSync(join(tmpdir(), "thorntrail-full-"));
  const store = await storeIn(place);
  let child: ChildProcess | null = null;
  try {
    await fill(store.addr, open, finished);
    const config = await settingsFile(place, store.addr, { mem_mb: memMb });
    const began = performance.now();
    child = spawn(process.execPath, [...runOf("."), config], { stdio: "ignore" });
    const until = began + 120_000;
    const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
    for (;;) {
      if (child.exitCode !== null || child.signalCode !== null) throw new Error(`ended: ${child.exitCode ?? child.signalCode}`);
      if (performance.now() > until) throw new Error("never read all there is");
      const answer = await ask(PORT, UP);
      if (answer !== null && !answer.includes("starting")) break;
      await pause(50);
    }
    const readS = (performance.now() - began) / 1000;
    const spent = processorMs(child.pid!);
    await pause(5000);
    if (child.exitCode !== null || child.signalCode !== null) throw new Error(`ended: ${child.exitCode ?? child.signalCode}`);
    const peak = /VmHWM:\s+(\d+)/.exec(readFileSync(`/proc/${child.pid}/status`, "utf8"));
    return { readS, processorMs: spent, peakMb: Number(peak![1]) / 1000 };
  } finally {
    child?.kill("SIGKILL");
    store.child.kill("SIGKILL");
    await new Promise((resolve) => setTimeout(resolve, 200));
    rmSync(place, { recursive: true, force: true });
  }
}
