/** Incremental parser of one HTTP/1.1 response. */
export class ResponseParser {
  status = 0;
  /** Whether the connection must be closed after this response. */
  closesConnection = false;
  done = false;
  private step: "head" | "length" | "size" | "chunk" | "chunk-end" | "trailer" | "rest" = "head";
  private pending: Buffer | null = null;
  private readonly chunks: Buffer[] = [];
  private remainingBytes = 0;
  private bodyBytes = 0;

  constructor(private readonly maxBytes: number) {}

  /** The body received so far, as UTF-8 text. */
  get body(): string {
    return (this.chunks.length === 1 ? this.chunks[0]! : Buffer.concat(this.chunks)).toString("utf8");
  }

  /** Parses the next bytes. Throws if they are not a valid response or the body exceeds the maximum size. */
  push(chunk: Buffer): void {
    let bytes = this.pending === null ? chunk : Buffer.concat([this.pending, chunk]);
    this.pending = null;
    while (bytes.length > 0 && !this.done) {
      const consumed = this.parseStep(bytes);
      if (consumed < 0) {
        this.pending = bytes;
        return;
      }
      bytes = bytes.subarray(consumed);
    }
    if (this.done && bytes.length > 0) this.closesConnection = true; // unrequested bytes: the connection must not be reused
  }

  /** Handles the end of the server's side of the connection. Returns whether the response is complete. */
  end(): boolean {
    if (this.step === "rest") this.done = true;
    return this.done;
  }

  /** Returns the number of bytes consumed, or -1 if more bytes are needed. */
  private parseStep(bytes: Buffer): number {
    switch (this.step) {
      case "head":
        return this.parseHead(bytes);
      case "size":
        return this.parseLine(bytes, (text) => {
          const digits = /^([0-9a-fA-F]{1,8})[ \t]*(?:;.*)?$/.exec(text);
          if (digits === null) throw new Error("chunk without a size");
          this.remainingBytes = parseInt(digits[1]!, 16);
          this.step = this.remainingBytes === 0 ? "trailer" : "chunk";
        });
      case "chunk-end":
        return this.parseLine(bytes, (text) => {
          if (text !== "") throw new Error("chunk longer than its size");
          this.step = "size";
        });
      case "trailer":
        return this.parseLine(bytes, (text) => (this.done = text === ""));
      default:
        return this.parseBody(bytes);
    }
  }

  private parseBody(bytes: Buffer): number {
    const n = this.step === "rest" ? bytes.length : Math.min(this.remainingBytes, bytes.length);
    this.bodyBytes += n;
    if (this.bodyBytes > this.maxBytes) throw new Error("answer too long");
    this.chunks.push(bytes.subarray(0, n));
    if (this.step === "rest") return n;
    this.remainingBytes -= n;
    if (this.remainingBytes === 0) {
      if (this.step === "length") this.done = true;
      else this.step = "chunk-end";
    }
    return n;
  }

  private parseLine(bytes: Buffer, act: (text: string) => void): number {
    const end = bytes.indexOf("\r\n", 0, "latin1");
    if (end < 0 && bytes.length > MAX_HEAD_BYTES) throw new Error("line too long");
    if (end < 0) return -1;
    act(bytes.toString("latin1", 0, end));
    return end + 2;
  }

  private parseHead(bytes: Buffer): number {
    const end = bytes.indexOf("\r\n\r\n", 0, "latin1");
    if (end < 0 && bytes.length > MAX_HEAD_BYTES) throw new Error("head too long");
    if (end < 0) return -1;
    const [first, ...lines] = bytes.toString("latin1", 0, end).split("\r\n");
    const status = /^HTTP\/1\.([01]) (\d{3})(?: |$)/.exec(first!);
    if (status === null) throw new Error("not HTTP");
    this.status = Number(status[2]);
    this.closesConnection = status[1] === "0";
    let length = -1;
    let chunked = false;
    for (const line of lines) {
      const colon = line.indexOf(":");
      if (colon <= 0) throw new Error("header without a name");
      const name = line.slice(0, colon).toLowerCase();
      const value = line.slice(colon + 1).trim();
      if (name === "connection")
        this.closesConnection = value.toLowerCase() === "close" || (this.closesConnection && value.toLowerCase() !== "keep-alive");
      else if (name === "transfer-encoding") chunked = value.toLowerCase() === "chunked";
      else if (name === "content-length") {
        if (!/^\d{1,15}$/.test(value) || (length >= 0 && length !== Number(value))) throw new Error("unusable length");
        length = Number(value);
      }
    }
    // An interim response (status 1xx); the final one follows.
    if (this.status >= 100 && this.status < 200) return end + 4;
    if (chunked) this.step = "size";
    else if (this.status === 204 || this.status === 304 || length === 0) this.done = true;
    else if (length > 0) {
      this.step = "length";
      this.remainingBytes = length;
    } else {
      this.step = "rest";
      this.closesConnection = true;
    }
    return end + 4;
  }
}

const MAX_HEAD_BYTES = 32 * 1024;
