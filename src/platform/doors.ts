import type { Server } from "node:net";

/** Of the sockets: most connections that may come in, and how many make the place crowded. */
const MOST = 0.85;
const CROWDED = 0.55;
/** Of the sockets: commands to workers at a time. */
const COMMANDS = 1 / 12;

export function commandsAtOnce(sockets: number): number {
  return Math.max(4, Math.floor(sockets * COMMANDS));
}

/**
 * Connections that come in. Workers and users keep theirs open between requests;
 * with more machines than sockets the rest would find the door shut, and look as
 * if they had never come up. When it is crowded, connections are closed after the
 * answer, so that they are held only while they are needed.
 */
export class Doors {
  private open = 0;

  constructor(
    server: Server,
    private readonly sockets: number,
  ) {
    server.maxConnections = Math.floor(sockets * MOST);
    server.on("connection", (socket) => {
      this.open++;
      socket.once("close", () => this.open--);
    });
  }

  get count(): number {
    return this.open;
  }

  crowded(): boolean {
    return this.open > this.sockets * CROWDED;
  }
}
