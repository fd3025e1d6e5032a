import { connect, createServer, type AddressInfo, type Server, type Socket } from "node:net";
import { ask } from "./http.js";

/** PROTOCOL's load balancer: by connection, never by request. Times in ms. */
const PROBE_MS = 1000;
const ACCEPT_MS = 500;
const TRIES = 3;
const SKIP_MS = 3000;
const PAUSE = { first: 3000, most: 60_000, window: 120_000 };
const RESET_MS = 5000;
const WARM_MS = 10_000;

interface Node {
  name: string;
  addr: string;
  healthy: boolean;
  everHealthy: boolean;
  good: number;
  last: boolean[];
  healthySince: number;
  unhealthySince: number;
  pauseMs: number;
  refusedInRow: number;
  skipUntil: number;
  open: Set<Socket>;
}

export class Balancer {
  private readonly nodes: Node[];
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private timer: NodeJS.Timeout | null = null;

  constructor(
    fronts: ReadonlyMap<string, string>,
    private readonly luck: () => number,
  ) {
    this.nodes = [...fronts].map(([name, addr]) => ({
      name,
      addr,
      healthy: false,
      everHealthy: false,
      good: 0,
      last: [],
      healthySince: 0,
      unhealthySince: -Infinity,
      pauseMs: PAUSE.first / 2,
      refusedInRow: 0,
      skipUntil: 0,
      open: new Set(),
    }));
    this.server = createServer((socket) => void this.take(socket));
  }

  async start(): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(0, "127.0.0.1", resolve);
    });
    const probe = (): void => {
      for (const node of this.nodes) void this.probe(node);
    };
    probe();
    this.timer = setInterval(probe, PROBE_MS);
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  get healthy(): string[] {
    return this.nodes.filter((node) => node.healthy).map(({ name }) => name);
  }

  private async probe(node: Node): Promise<void> {
    const answer = await ask(false, node.addr, "GET", "/up", undefined, PROBE_MS);
    const good = answer?.status === 200;
    const now = Date.now();
    node.last = [...node.last.slice(-5), good];
    node.good = good ? node.good + 1 : 0;
    if (node.healthy) {
      const bad = node.last.slice(-2).every((ok) => !ok) || node.last.filter((ok) => !ok).length >= 3;
      if (!bad) return;
      node.pauseMs = now - node.unhealthySince < PAUSE.window ? Math.min(PAUSE.most, node.pauseMs * 2) : PAUSE.first;
      Object.assign(node, { healthy: false, unhealthySince: now, last: [] });
      setTimeout(() => {
        if (!node.healthy) for (const socket of node.open) socket.resetAndDestroy();
      }, RESET_MS).unref();
    } else if (node.good >= (node.everHealthy ? 2 : 1) && (!node.everHealthy || now - node.unhealthySince >= node.pauseMs)) {
      Object.assign(node, { healthy: true, everHealthy: true, healthySince: now, last: [] });
    }
  }

  /** Favours nodes with fewer open connections; one that has just come back gets its share by and by. */
  private choose(not: ReadonlySet<Node>): Node | undefined {
    const now = Date.now();
    const fit = this.nodes.filter((node) => node.healthy && node.skipUntil <= now && !not.has(node));
    const warm = fit.filter((node) => this.luck() < Math.max(0.1, Math.min(1, (now - node.healthySince) / WARM_MS)));
    return (warm.length > 0 ? warm : fit).sort((a, b) => a.open.size - b.open.size || this.luck() - 0.5)[0];
  }

  private async take(socket: Socket): Promise<void> {
    this.sockets.add(socket);
    socket.on("error", () => undefined);
    socket.once("close", () => this.sockets.delete(socket));
    const tried = new Set<Node>();
    for (let i = 0; i < TRIES && !socket.destroyed; i++) {
      const node = this.choose(tried);
      if (node === undefined) break;
      tried.add(node);
      const through = await this.open(node);
      if (through === null) continue;
      node.open.add(socket);
      socket.once("close", () => {
        node.open.delete(socket);
        through.destroy();
      });
      through.once("close", () => socket.destroy());
      socket.pipe(through).pipe(socket);
      return;
    }
    socket.resetAndDestroy();
  }

  private open(node: Node): Promise<Socket | null> {
    return new Promise((resolve) => {
      const colon = node.addr.lastIndexOf(":");
      const through = connect(Number(node.addr.slice(colon + 1)), node.addr.slice(0, colon));
      const fail = (): void => {
        clearTimeout(timer);
        through.destroy();
        if (++node.refusedInRow >= TRIES) Object.assign(node, { refusedInRow: 0, skipUntil: Date.now() + SKIP_MS });
        resolve(null);
      };
      const timer = setTimeout(fail, ACCEPT_MS);
      through.once("error", fail);
      through.once("connect", () => {
        clearTimeout(timer);
        through.off("error", fail);
        through.on("error", () => undefined);
        node.refusedInRow = 0;
        resolve(through);
      });
    });
  }

  close(): void {
    if (this.timer !== null) clearInterval(this.timer);
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}
