import { readdirSync, readFileSync } from "node:fs";

/** What the kernel counts of processes and of the loopback interface. */

/** Processor time of all threads of a process so far, in ms; NaN once it is gone. */
export function processorMsOf(pid: number): number {
  try {
    let nanoseconds = 0;
    for (const thread of readdirSync(`/proc/${pid}/task`))
      nanoseconds += Number(readFileSync(`/proc/${pid}/task/${thread}/schedstat`, "utf8").split(" ")[0]);
    return nanoseconds / 1e6;
  } catch {
    return NaN;
  }
}

/** Memory of a process's own, shared pages of the runtime left out, in MB; NaN once it is gone. */
export function memoryMbOf(pid: number): number {
  try {
    const text = readFileSync(`/proc/${pid}/status`, "utf8");
    const kb = (name: string): number => Number(new RegExp(`${name}:\\s+(\\d+)`).exec(text)?.[1] ?? NaN);
    return kb("RssAnon") / 1000;
  } catch {
    return NaN;
  }
}

export interface Traffic {
  bytes: number;
  packets: number;
}

/** All that has passed over the loopback interface, headers included, counted once. */
export function loopbackTraffic(): Traffic {
  const line = /^\s*lo:\s*(.*)$/m.exec(readFileSync("/proc/net/dev", "utf8"))![1]!.split(/\s+/).map(Number);
  return { bytes: line[0]!, packets: line[1]! };
}
