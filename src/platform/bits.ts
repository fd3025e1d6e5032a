/** How many bits are set in each value a byte may have. */
const ONES = Uint8Array.from({ length: 256 }, (_, byte) => byte.toString(2).replaceAll("0", "").length);

/** A set of task numbers, kept as a bit map; small enough to store as it is. */
export class Bits {
  private readonly bytes: Uint8Array;
  private marked = 0;

  constructor(readonly size: number) {
    this.bytes = new Uint8Array(Math.ceil(size / 8));
  }

  static decode(size: number, text: string): Bits {
    const bits = new Bits(size);
    bits.join(Buffer.from(text, "base64"));
    return bits;
  }

  /**
   * Whether a stored map has the number, without taking the rest of it apart: a
   * leader asks this for each task a worker has finished, and an array may have
   * tens of thousands.
   */
  static stored(text: string, i: number): boolean {
    const byte = i >> 3;
    const group = Math.floor(byte / 3);
    const raw = Buffer.from(text.slice(group * 4, group * 4 + 4), "base64");
    return (((raw[byte % 3] ?? 0) >> (i & 7)) & 1) === 1;
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
    this.join(other.bytes);
  }

  private join(from: Uint8Array): void {
    const { bytes, size } = this;
    const n = Math.min(bytes.length, from.length);
    for (let b = 0; b < n; b++) {
      let added = from[b]! & ~bytes[b]!;
      // What lies beyond the last number is no member.
      if (b === bytes.length - 1 && size % 8 !== 0) added &= (1 << (size % 8)) - 1;
      bytes[b]! |= added;
      this.marked += ONES[added]!;
    }
  }

  get count(): number {
    return this.marked;
  }

  get full(): boolean {
    return this.marked === this.size;
  }
}
