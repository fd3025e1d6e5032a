import { connect, createServer, type AddressInfo, type Server, type Socket } from "node:net";
import type { Links } from "../links.js";

/** One line between two controllers, in one direction: what a cut holds goes on its way when it ends. */
export async function openPeerLine(
  links: Links,
  from: string,
  to: string,
  target: () => string,
): Promise<{ addr: string; close: () => void }> {
  const sockets = new Set<Socket>();
  const call = { from, to, what: "peer" };
  const server: Server = createServer((socket) => {
    const addr = target();
    const colon = addr.lastIndexOf(":");
    const through = connect(Number(addr.slice(colon + 1)), addr.slice(0, colon));
    const pass = (into: Socket) => (chunk: Buffer) => {
      // What is lost out of a stream breaks it; the other way is left alone until then.
      if (into === through && links.loses(call)) return void socket.destroy();
      const write = (): void => void (into.destroyed || into.write(chunk));
      if (!links.hold(call, write)) write();
    };
    for (const [one, other] of [
      [socket, through],
      [through, socket],
    ] as const) {
      sockets.add(one);
      one.on("data", pass(other));
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
