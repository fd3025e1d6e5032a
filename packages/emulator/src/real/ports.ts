/**
 * Allocates ports for processes that get their listening port as a setting. The ports lie below the ephemeral range: a port of that
 * range that was found free can be taken by any other connection or listener before the process has started.
 */
import { createServer } from "node:net";

const FIRST_PORT = 12_000;
/** Upper end of the port range, exclusive; below 32,768, where the ephemeral port range commonly begins. */
const END_PORT = 32_000;
const MAX_TRIES = 200;

function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}

/** Allocates random free ports of 127.0.0.1, never the same one twice. */
export class PortAllocator {
  private readonly allocated = new Set<number>();

  /** Returns a port that is currently free. Throws if none was found in `MAX_TRIES` tries. */
  async allocate(): Promise<number> {
    for (let i = 0; i < MAX_TRIES; i++) {
      const port = FIRST_PORT + Math.floor(Math.random() * (END_PORT - FIRST_PORT));
      if (this.allocated.has(port) || !(await isFree(port))) continue;
      this.allocated.add(port);
      return port;
    }
    throw new Error(`no free port between ${FIRST_PORT} and ${END_PORT} in ${MAX_TRIES} tries`);
  }
}
