/** One answer of an HTTP/1.1 server, read as its bytes come. */
export class AnswerReader {
  status = 0;
  /** The server closes the connection after it. */
  closes = false;
  done = false;
  private step: "head" | "length" | "size" | "chunk" | "chunk-end" | "trailer" | "rest" = "head";
  private pending: Buffer | null = null;
  private readonly parts: Buffer[] = [];
  private left = 0;
  private taken = 0;

  constructor(private readonly mostBytes: number) {}

  get body(): string {
    return (this.parts.length === 1 ? this.parts[0]! : Buffer.concat(this.parts)).toString("utf8");
  }

  /** Throws on what is no answer, or a larger one than is taken. */
  push(chunk: Buffer): void {
    let bytes = this.pending === null ? chunk : Buffer.concat([this.pending, chunk]);
    this.pending = null;
    while (bytes.length > 0 && !this.done) {
      const used = this.read(bytes);
      if (used < 0) {
        this.pending = bytes;
        return;
      }
      bytes = bytes.subarray(used);
    }
    if (this.done && bytes.length > 0) this.closes = true; // more than was asked for: not to be used again
  }

  /** The server has closed its side: is that the end of the answer? */
  end(): boolean {
    if (this.step === "rest") this.done = true;
    return this.done;
  }

  /** Bytes that were dealt with; -1: it takes more of them. */
  private read(bytes: Buffer): number {
    switch (this.step) {
      case "head":
        return this.head(bytes);
      case "size":
        return this.line(bytes, (text) => {
          const digits = /^([0-9a-fA-F]{1,8})[ \t]*(?:;.*)?$/.exec(text);
          if (digits === null) throw new Error("chunk without a size");
          this.left = parseInt(digits[1]!, 16);
          this.step = this.left === 0 ? "trailer" : "chunk";
        });
      case "chunk-end":
        return this.line(bytes, (text) => {
          if (text !== "") throw new Error("chunk longer than its size");
          this.step = "size";
        });
      case "trailer":
        return this.line(bytes, (text) => (this.done = text === ""));
      default:
        return this.take(bytes);
    }
  }

  private take(bytes: Buffer): number {
    const n = this.step === "rest" ? bytes.length : Math.min(this.left, bytes.length);
    this.taken += n;
    if (this.taken > this.mostBytes) throw new Error("answer too long");
    this.parts.push(bytes.subarray(0, n));
    if (this.step === "rest") return n;
    this.left -= n;
    if (this.left === 0) {
      if (this.step === "length") this.done = true;
      else this.step = "chunk-end";
    }
    return n;
  }

  private line(bytes: Buffer, act: (text: string) => void): number {
    const end = bytes.indexOf("\r\n", 0, "latin1");
    if (end < 0 && bytes.length > MAX_HEAD) throw new Error("line too long");
    if (end < 0) return -1;
    act(bytes.toString("latin1", 0, end));
    return end + 2;
  }

  private head(bytes: Buffer): number {
    const end = bytes.indexOf("\r\n\r\n", 0, "latin1");
    if (end < 0 && bytes.length > MAX_HEAD) throw new Error("head too long");
    if (end < 0) return -1;
    const [first, ...lines] = bytes.toString("latin1", 0, end).split("\r\n");
    const status = /^HTTP\/1\.([01]) (\d{3})(?: |$)/.exec(first!);
    if (status === null) throw new Error("not HTTP");
    this.status = Number(status[2]);
    this.closes = status[1] === "0";
    let length = -1;
    let chunked = false;
    for (const line of lines) {
      const colon = line.indexOf(":");
      if (colon <= 0) throw new Error("header without a name");
      const name = line.slice(0, colon).toLowerCase();
      const value = line.slice(colon + 1).trim();
      if (name === "connection") this.closes = value.toLowerCase() === "close" || (this.closes && value.toLowerCase() !== "keep-alive");
      else if (name === "transfer-encoding") chunked = value.toLowerCase() === "chunked";
      else if (name === "content-length") {
        if (!/^\d{1,15}$/.test(value) || (length >= 0 && length !== Number(value))) throw new Error("unusable length");
        length = Number(value);
      }
    }
    // Only on the way to the answer.
    if (this.status >= 100 && this.status < 200) return end + 4;
    if (chunked) this.step = "size";
    else if (this.status === 204 || this.status === 304 || length === 0) this.done = true;
    else if (length > 0) {
      this.step = "length";
      this.left = length;
    } else {
      this.step = "rest";
      this.closes = true;
    }
    return end + 4;
  }
}

const MAX_HEAD = 32 * 1024;
