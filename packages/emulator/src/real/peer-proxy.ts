import { connect, createServer, type AddressInfo, type Server, type Socket } from "node:net";
import type { NetworkRules } from "../network-rules.js";

/**
 * Starts a TCP proxy for the peer connections that controller `from` opens to controller `to`. Data held by a network rule of the kind
 * `cut` is delivered when the rule ends.
 */
export async function startPeerProxy(
  links: NetworkRules,
  from: string,
  to: string,
  target: () => string,
): Promise<{ addr: string; close: () => void }> {
  const sockets = new Set<Socket>();
  const call = { from, to, what: "peer" };
  const server: Server = createServer((socket) => {
    const addr = target();
    const colon = addr.lastIndexOf(":");
    const upstream = connect(Number(addr.slice(colon + 1)), addr.slice(0, colon));
    const forward = (into: Socket) => (chunk: Buffer) => {
      // Loss breaks the connection, because TCP cannot lose a part of a stream. Rules for loss apply only to data from `from` to `to`.
      if (into === upstream && links.isLost(call)) return void socket.destroy();
      const write = (): void => void (into.destroyed || into.write(chunk));
      if (!links.holdIfCut(call, write)) write();
    };
    for (const [one, other] of [
      [socket, upstream],
      [upstream, socket],
    ] as const) {
      sockets.add(one);
      one.on("data", forward(other));
      one.on("error", () => undefined);
      one.once("close", () => {
        sockets.delete(one);
        other.destroy();
      });
    }
  });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(0, "127.0.0.1", resolve);
  });
  return {
    addr: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    close: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}
