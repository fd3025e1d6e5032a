import type { Server } from "node:net";

/** Maximum share of the process's socket quota that inbound connections may use. */
const MAX_INBOUND_SHARE = 0.85;
/** Share of the socket quota used by inbound connections above which each of them is closed after its next answer. */
const CLOSE_AFTER_ANSWER_SHARE = 0.55;
/** Share of the socket quota that concurrent commands to workers may use. */
const COMMANDS_SHARE = 1 / 12;

/** Returns the maximum number of concurrent commands to workers. */
export function maxConcurrentCommands(sockets: number): number {
  return Math.max(4, Math.floor(sockets * COMMANDS_SHARE));
}

/**
 * Counts and limits a server's inbound connections. Workers and users keep theirs open
 * between requests; with more machines than sockets, some machines could not connect and
 * would look as if they had never booted. Above a threshold, connections are therefore
 * closed after the answer, so that each is held only while it is needed.
 */
export class InboundConnections {
  private open = 0;

  constructor(
    server: Server,
    private readonly sockets: number,
  ) {
    server.maxConnections = Math.floor(sockets * MAX_INBOUND_SHARE);
    server.on("connection", (socket) => {
      this.open++;
      socket.once("close", () => this.open--);
    });
  }

  /** Number of open connections. */
  get count(): number {
    return this.open;
  }

  /** Whether so many connections are open that each should be closed after its answer. */
  closesAfterAnswer(): boolean {
    return this.open > this.sockets * CLOSE_AFTER_ANSWER_SHARE;
  }
}
