/** A set of task numbers, kept as a bit map; small enough to store as it is. */
export class Bits {
  private readonly bytes: Uint8Array;
  private marked = 0;

  constructor(readonly size: number) {
    this.bytes = new Uint8Array(Math.ceil(size / 8));
  }

  static decode(size: number, text: string): Bits {
    const bits = new Bits(size);
    const raw = Buffer.from(text, "base64");
    for (let i = 0; i < size && i >> 3 < raw.length; i++) {
      if ((raw[i >> 3]! >> (i & 7)) & 1) bits.set(i);
    }
    return bits;
  }

  encode(): string {
    let end = this.bytes.length;
    while (end > 0 && this.bytes[end - 1] === 0) end--;
    return Buffer.from(this.bytes.subarray(0, end)).toString("base64");
  }

  has(i: number): boolean {
    return ((this.bytes[i >> 3]! >> (i & 7)) & 1) === 1;
  }

  set(i: number): void {
    if (i < 0 || i >= this.size || this.has(i)) return;
    this.bytes[i >> 3]! |= 1 << (i & 7);
    this.marked++;
  }

  merge(other: Bits): void {
    for (let i = 0; i < this.size; i++) if (other.has(i)) this.set(i);
  }

  get count(): number {
    return this.marked;
  }

  get full(): boolean {
    return this.marked === this.size;
  }
}
