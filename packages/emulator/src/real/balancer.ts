/** The load balancer in front of the controllers. All times in this file are in ms. */
import { connect, createServer, type AddressInfo, type Server, type Socket } from "node:net";
import { sendRequest } from "./http.js";

/** Interval and timeout of the health probes of each controller. */
const PROBE_INTERVAL_MS = 1000;
const CONNECT_TIMEOUT_MS = 500;
/**
 * Maximum number of controllers tried for one client connection, and number of failed connections in a row after which a controller is
 * skipped for `SKIP_MS`.
 */
const MAX_TRIES = 3;
const SKIP_MS = 3000;
/**
 * Minimum time for which an unhealthy controller receives no connections. It doubles, up to `max`, if the controller becomes unhealthy
 * again less than `window` after the last time.
 */
const READMIT_DELAY_MS = { initial: 3000, max: 60_000, window: 120_000 };
/** Connections to a controller that is still unhealthy this long after it became so are reset. */
const RESET_DELAY_MS = 5000;
const SLOW_START_MS = 10_000;

/** A controller behind the balancer, with the state of its health checks. */
interface Node {
  name: string;
  addr: string;
  healthy: boolean;
  everHealthy: boolean;
  successesInRow: number;
  recentProbes: boolean[];
  healthySince: number;
  unhealthySince: number;
  readmitDelayMs: number;
  failuresInRow: number;
  skipUntil: number;
  connections: Set<Socket>;
}

/** The load balancer of the protocol: it distributes connections, never single requests, over the controllers that answer health probes. */
export class Balancer {
  private readonly nodes: Node[];
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private timer: NodeJS.Timeout | null = null;

  constructor(
    /** Address of the HTTP listener of each controller, by name. */
    fronts: ReadonlyMap<string, string>,
    private readonly random: () => number,
  ) {
    this.nodes = [...fronts].map(([name, addr]) => ({
      name,
      addr,
      healthy: false,
      everHealthy: false,
      successesInRow: 0,
      recentProbes: [],
      healthySince: 0,
      unhealthySince: -Infinity,
      readmitDelayMs: READMIT_DELAY_MS.initial / 2,
      failuresInRow: 0,
      skipUntil: 0,
      connections: new Set(),
    }));
    this.server = createServer((socket) => void this.accept(socket));
  }

  /** Starts probing and listening; resolves with the listening address. */
  async start(): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(0, "127.0.0.1", resolve);
    });
    const probe = (): void => {
      for (const node of this.nodes) void this.probe(node);
    };
    probe();
    this.timer = setInterval(probe, PROBE_INTERVAL_MS);
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Names of the controllers that pass their health checks. */
  get healthy(): string[] {
    return this.nodes.filter((node) => node.healthy).map(({ name }) => name);
  }

  private async probe(node: Node): Promise<void> {
    const answer = await sendRequest(false, node.addr, "GET", "/up", undefined, PROBE_INTERVAL_MS);
    const good = answer?.status === 200;
    const now = Date.now();
    node.recentProbes = [...node.recentProbes.slice(-5), good];
    node.successesInRow = good ? node.successesInRow + 1 : 0;
    if (node.healthy) {
      const bad = node.recentProbes.slice(-2).every((ok) => !ok) || node.recentProbes.filter((ok) => !ok).length >= 3;
      if (!bad) return;
      node.readmitDelayMs =
        now - node.unhealthySince < READMIT_DELAY_MS.window
          ? Math.min(READMIT_DELAY_MS.max, node.readmitDelayMs * 2)
          : READMIT_DELAY_MS.initial;
      Object.assign(node, { healthy: false, unhealthySince: now, recentProbes: [] });
      setTimeout(() => {
        if (!node.healthy) for (const socket of node.connections) socket.resetAndDestroy();
      }, RESET_DELAY_MS).unref();
    } else if (
      node.successesInRow >= (node.everHealthy ? 2 : 1) &&
      (!node.everHealthy || now - node.unhealthySince >= node.readmitDelayMs)
    ) {
      Object.assign(node, { healthy: true, everHealthy: true, healthySince: now, recentProbes: [] });
    }
  }

  /**
   * Chooses the healthy controller with the fewest open connections. One that has just become healthy is considered with a probability
   * that rises over `SLOW_START_MS`.
   */
  private choose(excluded: ReadonlySet<Node>): Node | undefined {
    const now = Date.now();
    const candidates = this.nodes.filter((node) => node.healthy && node.skipUntil <= now && !excluded.has(node));
    const admitted = candidates.filter((node) => this.random() < Math.max(0.1, Math.min(1, (now - node.healthySince) / SLOW_START_MS)));
    return (admitted.length > 0 ? admitted : candidates).sort((a, b) => a.connections.size - b.connections.size || this.random() - 0.5)[0];
  }

  private async accept(socket: Socket): Promise<void> {
    this.sockets.add(socket);
    socket.on("error", () => undefined);
    socket.once("close", () => this.sockets.delete(socket));
    const tried = new Set<Node>();
    for (let i = 0; i < MAX_TRIES && !socket.destroyed; i++) {
      const node = this.choose(tried);
      if (node === undefined) break;
      tried.add(node);
      const upstream = await this.connect(node);
      if (upstream === null) continue;
      node.connections.add(socket);
      socket.once("close", () => {
        node.connections.delete(socket);
        upstream.destroy();
      });
      upstream.once("close", () => socket.destroy());
      socket.pipe(upstream).pipe(socket);
      return;
    }
    socket.resetAndDestroy();
  }

  private connect(node: Node): Promise<Socket | null> {
    return new Promise((resolve) => {
      const colon = node.addr.lastIndexOf(":");
      const upstream = connect(Number(node.addr.slice(colon + 1)), node.addr.slice(0, colon));
      const fail = (): void => {
        clearTimeout(timer);
        upstream.destroy();
        if (++node.failuresInRow >= MAX_TRIES) Object.assign(node, { failuresInRow: 0, skipUntil: Date.now() + SKIP_MS });
        resolve(null);
      };
      const timer = setTimeout(fail, CONNECT_TIMEOUT_MS);
      upstream.once("error", fail);
      upstream.once("connect", () => {
        clearTimeout(timer);
        upstream.off("error", fail);
        upstream.on("error", () => undefined);
        node.failuresInRow = 0;
        resolve(upstream);
      });
    });
  }

  /** Stops listening and probing, and destroys all client connections. */
  close(): void {
    if (this.timer !== null) clearInterval(this.timer);
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}
