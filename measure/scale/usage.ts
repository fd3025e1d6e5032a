import { readdirSync, readFileSync } from "node:fs";

/** Reads what the kernel counts for processes and for the loopback interface. */

/** Returns the processor time of all threads of a process in ms; NaN if the process no longer exists. */
export function readProcessorMs(pid: number): number {
  try {
    let nanoseconds = 0;
    for (const thread of readdirSync(`/proc/${pid}/task`))
      nanoseconds += Number(readFileSync(`/proc/${pid}/task/${thread}/schedstat`, "utf8").split(" ")[0]);
    return nanoseconds / 1e6;
  } catch {
    return NaN;
  }
}

/** Returns the anonymous resident memory of a process in MB, so without shared pages; NaN if the process no longer exists. */
export function readMemoryMb(pid: number): number {
  try {
    const text = readFileSync(`/proc/${pid}/status`, "utf8");
    const kb = (name: string): number => Number(new RegExp(`${name}:\\s+(\\d+)`).exec(text)?.[1] ?? NaN);
    return kb("RssAnon") / 1000;
  } catch {
    return NaN;
  }
}

/** Counters of a network interface. */
export interface Traffic {
  bytes: number;
  packets: number;
}

/** Returns the traffic of the loopback interface, including headers; each packet counts once. */
export function readLoopbackTraffic(): Traffic {
  const line = /^\s*lo:\s*(.*)$/m.exec(readFileSync("/proc/net/dev", "utf8"))![1]!.split(/\s+/).map(Number);
  return { bytes: line[0]!, packets: line[1]! };
}
