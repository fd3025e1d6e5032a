import { createServer, connect, type Server, type Socket } from "node:net";
import { Subject } from "rxjs";
import type { Caller } from "../calls/calls.js";
import type { Scope } from "../platform/scope.js";
import type { Settings } from "../settings/derived.js";
import { encodeFrame, FrameReader, PROTOCOL_VERSION, type Message } from "./messages.js";

/** Peers as the exchange uses them; scenarios stand in for it. */
export interface PeerApi {
  readonly incoming$: Subject<{ from: string; message: Message }>;
  send(node: string, message: Message): boolean;
  /**
   * Since when, in steady ms, a peer that was connected before cannot be connected again; null: it is, or
   * it never was in this life. It proves nothing: filters and want of sockets refuse connections too.
   */
  unreachableSince?(node: string): number | null;
}

const MAX_BUFFERED = 256 * 1024;

/** One outgoing connection to each peer; what comes in on others is only read. */
export class PeerLinks implements PeerApi {
  readonly incoming$ = new Subject<{ from: string; message: Message }>();
  private readonly outgoing = new Map<string, Socket>();
  private readonly inbound = new Set<Socket>();
  private readonly connectedBefore = new Set<string>();
  private readonly unreachable = new Map<string, number>();
  /** The newest message as it is sent. */
  private encoded: { message: Message; frame: Buffer } | null = null;
  private server: Server | null = null;

  constructor(
    private readonly settings: Settings,
    private readonly scope: Scope,
    /** How long a connection may take, and the pauses between tries. */
    private readonly calls: Caller,
  ) {}

  start(): void {
    const [host, port] = this.settings.platform.peer_listen.split(":") as [string, string];
    this.server = createServer((socket) => this.accept(socket));
    this.server.maxConnections = this.settings.nodes.length * 4;
    this.server.on("error", (error) => this.scope.log.error({ err: error.message }, "peer listener failed"));
    this.server.listen(Number(port), host);
    for (const peer of this.settings.platform.known) this.connectTo(peer.host_name, peer.peer_addr, 0);
    this.scope.onEnd(() => {
      this.server?.close();
      for (const socket of [...this.outgoing.values(), ...this.inbound]) socket.destroy();
    });
  }

  /** A routine for each peer: connect, greet, and again after a jittered pause. */
  private connectTo(node: string, addr: string, failures: number): void {
    if (this.scope.closed) return;
    const [host, port] = addr.split(":") as [string, string];
    const socket = connect({ host, port: Number(port), noDelay: true });
    let greeted = false;
    const limit = this.scope.clock.after(this.calls.policy.limitMs, () => {
      if (!greeted) socket.destroy();
    });
    socket.on("connect", () => {
      greeted = true;
      this.calls.answered();
      limit();
      socket.write(encodeFrame({ Hello: { version: PROTOCOL_VERSION, node: this.settings.self } }));
      this.outgoing.set(node, socket);
      this.connectedBefore.add(node);
      this.unreachable.delete(node);
    });
    socket.on("error", (error) => this.scope.log.debug({ peer: node, err: error.message }, "peer link failed"));
    socket.on("data", () => undefined);
    socket.on("close", () => {
      limit();
      if (this.outgoing.get(node) === socket) this.outgoing.delete(node);
      const tries = greeted ? 0 : failures + 1;
      if (!greeted && this.connectedBefore.has(node) && !this.unreachable.has(node)) this.unreachable.set(node, this.scope.clock.now());
      this.scope.clock.after(this.calls.pauseMs(tries), () => this.connectTo(node, addr, tries));
    });
  }

  private accept(socket: Socket): void {
    this.inbound.add(socket);
    const reader = new FrameReader();
    let from: string | null = null;
    const drop = (reason: string): void => {
      if (!socket.destroyed) this.scope.log.info({ peer: from ?? "unknown", reason }, "peer connection closed");
      socket.destroy();
    };
    const limit = this.scope.clock.after(this.settings.timing.reportMs, () => {
      if (from === null) drop("no hello");
    });
    socket.on("data", (chunk: Buffer) => {
      try {
        for (const message of reader.push(chunk)) {
          if (from === null) {
            if (!("Hello" in message)) return drop("no hello");
            if (message.Hello.version !== PROTOCOL_VERSION) return drop(`version ${message.Hello.version}`);
            if (!this.settings.nodes.includes(message.Hello.node)) return drop("unknown node");
            from = message.Hello.node;
          } else {
            const sender = from;
            this.scope.costs.spend("peers", () => this.incoming$.next({ from: sender, message }));
          }
        }
      } catch (error) {
        drop(`malformed: ${(error as Error).message}`);
      }
    });
    socket.on("error", () => undefined);
    socket.on("close", () => {
      limit();
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
    if (socket.writableLength > MAX_BUFFERED) {
      socket.destroy(); // a peer that does not read is as good as gone
      return false;
    }
    // What is said to all peers is encoded once.
    if (this.encoded?.message !== message) this.encoded = { message, frame: encodeFrame(message) };
    socket.write(this.encoded.frame);
    return true;
  }
}
