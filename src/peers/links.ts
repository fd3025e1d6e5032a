import { createServer, connect, type Server, type Socket } from "node:net";
import { Subject } from "rxjs";
import type { Caller } from "../calls/calls.js";
import type { Scope } from "../platform/scope.js";
import type { Settings } from "../settings/derived.js";
import { encodeFrame, FrameReader, PROTOCOL_VERSION, type Message } from "./messages.js";

/** Messages to and from peers. Implemented by PeerLinks, and by the emulator in tests. */
export interface PeerApi {
  readonly incoming$: Subject<{ from: string; message: Message }>;
  /** Sends a message; false if there is no usable connection to the node. */
  send(node: string, message: Message): boolean;
  /**
   * When connecting to a peer began to fail, in ms of the monotonic clock. Null if the peer is connected or was never
   * connected in this run of the process. A lost connection proves nothing by itself: packet filters and a shortage of
   * sockets refuse connections as well.
   */
  unreachableSince?(node: string): number | null;
}

/** Maximum number of unsent bytes on a connection; with more, the connection is closed. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** TCP links between controllers: one outgoing connection to each peer for sending; incoming connections are only read. */
export class PeerLinks implements PeerApi {
  readonly incoming$ = new Subject<{ from: string; message: Message }>();
  private readonly outgoing = new Map<string, Socket>();
  private readonly inbound = new Set<Socket>();
  /** Peers to which a connection was established in this run of the process. */
  private readonly connectedBefore = new Set<string>();
  private readonly unreachable = new Map<string, number>();
  /** The message sent last and its encoded frame. */
  private encoded: { message: Message; frame: Buffer } | null = null;
  private server: Server | null = null;

  constructor(
    private readonly settings: Settings,
    private readonly scope: Scope,
    /** Sets the connection timeout and the pauses between attempts to connect. */
    private readonly calls: Caller,
  ) {}

  /** Starts the listener and the connections to all peers. */
  start(): void {
    const [host, port] = this.settings.platform.peer_listen.split(":") as [string, string];
    this.server = createServer((socket) => this.accept(socket));
    this.server.maxConnections = this.settings.nodes.length * 4;
    this.server.on("error", (error) => this.scope.log.error({ err: error.message }, "peer listener failed"));
    this.server.listen(Number(port), host);
    for (const peer of this.settings.platform.known) this.connectTo(peer.host_name, peer.peer_addr, 0);
    this.scope.onClose(() => {
      this.server?.close();
      for (const socket of [...this.outgoing.values(), ...this.inbound]) socket.destroy();
    });
  }

  /** Connects to a peer, sends a hello message, and reconnects after a randomised pause when the connection closes. */
  private connectTo(node: string, addr: string, failures: number): void {
    if (this.scope.closed) return;
    const [host, port] = addr.split(":") as [string, string];
    const socket = connect({ host, port: Number(port), noDelay: true });
    let connected = false;
    const cancelTimeout = this.scope.clock.after(this.calls.policy.limitMs, () => {
      if (!connected) socket.destroy();
    });
    socket.on("connect", () => {
      connected = true;
      this.calls.answered();
      cancelTimeout();
      socket.write(encodeFrame({ Hello: { version: PROTOCOL_VERSION, node: this.settings.self } }));
      this.outgoing.set(node, socket);
      this.connectedBefore.add(node);
      this.unreachable.delete(node);
    });
    socket.on("error", (error) => this.scope.log.debug({ peer: node, err: error.message }, "peer link failed"));
    socket.on("data", () => undefined);
    socket.on("close", () => {
      cancelTimeout();
      if (this.outgoing.get(node) === socket) this.outgoing.delete(node);
      const nextFailures = connected ? 0 : failures + 1;
      if (!connected && this.connectedBefore.has(node) && !this.unreachable.has(node)) this.unreachable.set(node, this.scope.clock.now());
      this.scope.clock.after(this.calls.nextPauseMs(nextFailures), () => this.connectTo(node, addr, nextFailures));
    });
  }

  /** Reads messages from an incoming connection, which must begin with a hello message of the same protocol version. */
  private accept(socket: Socket): void {
    this.inbound.add(socket);
    const reader = new FrameReader();
    let from: string | null = null;
    const closeWith = (reason: string): void => {
      if (!socket.destroyed) this.scope.log.info({ peer: from ?? "unknown", reason }, "peer connection closed");
      socket.destroy();
    };
    const cancelTimeout = this.scope.clock.after(this.settings.timing.reportMs, () => {
      if (from === null) closeWith("no hello");
    });
    socket.on("data", (chunk: Buffer) => {
      try {
        for (const message of reader.push(chunk)) {
          if (from === null) {
            if (!("Hello" in message)) return closeWith("no hello");
            if (message.Hello.version !== PROTOCOL_VERSION) return closeWith(`version ${message.Hello.version}`);
            if (!this.settings.nodes.includes(message.Hello.node)) return closeWith("unknown node");
            from = message.Hello.node;
          } else {
            const sender = from;
            this.scope.costs.charge("peers", () => this.incoming$.next({ from: sender, message }));
          }
        }
      } catch (error) {
        closeWith(`malformed: ${(error as Error).message}`);
      }
    });
    socket.on("error", () => undefined);
    socket.on("close", () => {
      cancelTimeout();
      this.inbound.delete(socket);
    });
  }

  unreachableSince(node: string): number | null {
    return this.unreachable.get(node) ?? null;
  }

  send(node: string, message: Message): boolean {
    if (node === this.settings.self) {
      queueMicrotask(() => this.incoming$.next({ from: node, message }));
      return true;
    }
    const socket = this.outgoing.get(node);
    if (socket === undefined || socket.destroyed) return false;
    if (socket.writableLength > MAX_BUFFERED_BYTES) {
      socket.destroy(); // the peer does not read its messages
      return false;
    }
    // A message to all peers is encoded only once.
    if (this.encoded?.message !== message) this.encoded = { message, frame: encodeFrame(message) };
    socket.write(this.encoded.frame);
    return true;
  }
}
