import { connect, type Socket } from "node:net";
import { performance } from "node:perf_hooks";
import { NoReply } from "@thorntrail/protocol/errors";
import { AnswerReader } from "./http-reading.js";

export interface Reply {
  status: number;
  body: Record<string, unknown>;
}

const MAX_REPLY_BYTES = 64 * 1024 * 1024;
/** Idle connections that are kept to one host. */
const MOST_IDLE_TO_ONE = 4;

/** A request on its way: waiting for a connection, or written to one. */
interface Ask {
  text: string;
  deadline: number;
  /** Bytes of it may have reached the other side. */
  written: boolean;
  line: Line | null;
  settle: (outcome: Reply | NoReply) => void;
}

/** A connection; one request at a time. */
interface Line {
  socket: Socket;
  host: Host;
  connected: boolean;
  ask: Ask | null;
  reader: AnswerReader | null;
}

interface Host {
  addr: string;
  open: number;
  idle: Line[];
  waiting: Ask[];
}

/**
 * HTTP/1.1 on `net`, a few connections to each host, kept open after use. Node's own
 * client makes streams and events by the dozen for each call, which was a good part of what
 * a controller spends on an order or a change (docs/measured.md).
 */
export class HttpClient {
  private readonly hosts = new Map<string, Host>();
  private idle = 0;

  /** `maxSockets` to a host; `mostIdle`: hosts to which an idle one is kept; `asker`: who asks, for whoever is asked to tell apart. */
  constructor(
    private readonly maxSockets: number,
    private readonly mostIdle = maxSockets,
    private readonly asker = "controller",
  ) {}

  /** What never left this process counts as refused: nobody can have acted on it. */
  call(addr: string, method: string, path: string, body: unknown, timeoutMs: number): Promise<Reply> {
    return new Promise((resolve, reject) => {
      const payload = body === undefined ? "" : JSON.stringify(body);
      // Addresses come from others: none may write headers of its own into a request.
      if (!/^[\x21-\x7e]+:\d{1,5}$/.test(addr) || !/^[\x21-\x7e]+$/.test(path)) {
        reject(new NoReply("refused", "not an address or path that can be asked"));
        return;
      }
      const content = body === undefined ? "" : `content-type: application/json\r\ncontent-length: ${Buffer.byteLength(payload)}\r\n`;
      const ask: Ask = {
        text: `${method} ${path} HTTP/1.1\r\nhost: ${addr}\r\nuser-agent: thorntrail (${this.asker})\r\n${content}\r\n${payload}`,
        deadline: performance.now() + timeoutMs,
        written: false,
        line: null,
        settle: (outcome) => {
          clearTimeout(timer);
          if (outcome instanceof NoReply) reject(outcome);
          else resolve(outcome);
        },
      };
      const timer = setTimeout(() => this.giveUp(ask, addr), timeoutMs);
      this.give(this.host(addr), ask);
    });
  }

  private host(addr: string): Host {
    let host = this.hosts.get(addr);
    if (host === undefined) this.hosts.set(addr, (host = { addr, open: 0, idle: [], waiting: [] }));
    return host;
  }

  private giveUp(ask: Ask, addr: string): void {
    const { line } = ask;
    const host = this.hosts.get(addr);
    if (host !== undefined) host.waiting = host.waiting.filter((one) => one !== ask);
    ask.settle(new NoReply(ask.written ? "unanswered" : "refused", "timeout"));
    if (line === null) return;
    line.ask = null;
    // What was written may still be answered: nothing else may be asked on this connection.
    line.socket.destroy();
  }

  private give(host: Host, ask: Ask): void {
    const line = this.idleTo(host);
    if (line !== null) this.put(line, ask);
    else if (host.open < this.maxSockets) this.open(host, ask);
    else host.waiting.push(ask);
  }

  private idleTo(host: Host): Line | null {
    for (let line = host.idle.pop(); line !== undefined; line = host.idle.pop()) {
      this.idle--;
      // Closed a moment ago, and not yet said so.
      if (line.socket.destroyed) continue;
      line.socket.ref();
      return line;
    }
    return null;
  }

  private open(host: Host, ask: Ask): void {
    const colon = host.addr.lastIndexOf(":");
    const port = Number(host.addr.slice(colon + 1));
    if (port > 65535) return ask.settle(new NoReply("refused", "no such port"));
    const socket = connect({ host: host.addr.slice(0, colon), port, noDelay: true });
    const line: Line = { socket, host, connected: false, ask, reader: null };
    ask.line = line;
    host.open++;
    let fault: NodeJS.ErrnoException | null = null;
    socket.on("connect", () => {
      line.connected = true;
      if (line.ask !== null) this.put(line, line.ask);
    });
    socket.on("data", (chunk: Buffer) => this.take(line, chunk));
    socket.on("error", (error: NodeJS.ErrnoException) => (fault = error));
    socket.on("end", () => this.ended(line));
    socket.on("close", () => this.closed(line, fault));
  }

  /** Writes the request to a connection that is free for it. */
  private put(line: Line, ask: Ask): void {
    line.ask = ask;
    ask.line = line;
    // A process that stood still between asking and being connected must not send
    // what it was entitled to say long ago, even if the connection is handled before the timer.
    if (performance.now() >= ask.deadline) {
      line.ask = null;
      ask.settle(new NoReply("refused", "connected too late"));
      return this.free(line);
    }
    line.reader = new AnswerReader(MAX_REPLY_BYTES);
    ask.written = true;
    line.socket.write(ask.text);
  }

  private take(line: Line, chunk: Buffer): void {
    const { reader } = line;
    if (reader === null || line.ask === null) {
      line.socket.destroy();
      return;
    }
    try {
      reader.push(chunk);
    } catch (error) {
      this.fail(line, (error as Error).message);
      line.socket.destroy();
      return;
    }
    if (reader.done) this.answered(line, reader);
  }

  private ended(line: Line): void {
    if (line.ask !== null && line.reader?.end() === true) this.answered(line, line.reader);
    line.socket.destroy();
  }

  private answered(line: Line, reader: AnswerReader): void {
    const ask = line.ask!;
    line.ask = null;
    line.reader = null;
    if (reader.closes) line.socket.destroy();
    else this.free(line);
    try {
      const text = reader.body;
      const parsed: unknown = text === "" ? {} : JSON.parse(text);
      const body = parsed !== null && typeof parsed === "object" ? (parsed as Record<string, unknown>) : {};
      ask.settle({ status: reader.status, body });
    } catch {
      ask.settle(new NoReply("unanswered", "reply is not JSON"));
    }
  }

  private fail(line: Line, message: string): void {
    const { ask } = line;
    line.ask = null;
    ask?.settle(new NoReply(ask.written ? "unanswered" : "refused", message));
  }

  private free(line: Line): void {
    const { host } = line;
    const next = host.waiting.shift();
    if (next !== undefined) this.put(line, next);
    else if (host.idle.length < MOST_IDLE_TO_ONE && this.idle < this.mostIdle) {
      host.idle.push(line);
      this.idle++;
      // Kept for the next call, not to keep a process alive that has none: a command would never return.
      line.socket.unref();
    } else line.socket.destroy();
  }

  private closed(line: Line, fault: NodeJS.ErrnoException | null): void {
    const { host } = line;
    host.open--;
    const at = host.idle.indexOf(line);
    if (at >= 0) {
      host.idle.splice(at, 1);
      this.idle--;
    }
    this.fail(line, fault?.message ?? "reply cut short");
    const next = host.waiting.shift();
    if (next !== undefined) this.open(host, next);
    else if (host.open === 0) this.hosts.delete(host.addr);
  }
}
