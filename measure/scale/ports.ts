import { readFileSync } from "node:fs";
import { createServer } from "node:net";

/** Finds free ports for servers whose addresses others need before the servers start. */

const LOWEST_PORT = 20_000;

/**
 * Returns the first port that the kernel gives to outgoing connections. Ports of servers must be lower, or a connection may take
 * one before its server starts.
 */
function firstEphemeralPort(): number {
  return Number(readFileSync("/proc/sys/net/ipv4/ip_local_port_range", "utf8").split(/\s+/)[0]);
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}

/** Returns `count` free ports of this machine; throws if there are not enough. */
export async function reservePorts(count: number): Promise<number[]> {
  const found: number[] = [];
  const end = firstEphemeralPort();
  // Concurrent runs begin their search at different ports.
  const first = LOWEST_PORT + ((process.pid * 97) % Math.max(1, end - LOWEST_PORT - count * 2));
  for (let port = first; port < end && found.length < count; port++) if (await isFree(port)) found.push(port);
  if (found.length < count) throw new Error(`only ${found.length} of ${count} ports between ${first} and ${end} are free`);
  return found;
}
