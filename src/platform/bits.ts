/** Number of set bits for each value of a byte. */
const BIT_COUNTS = Uint8Array.from({ length: 256 }, (_, byte) => byte.toString(2).replaceAll("0", "").length);

/** A set of task numbers, kept as a bitmap that is compact enough to be stored in records. */
export class Bits {
  private readonly bytes: Uint8Array;
  private setCount = 0;

  constructor(readonly size: number) {
    this.bytes = new Uint8Array(Math.ceil(size / 8));
  }

  /** Decodes a stored bitmap; numbers from `size` on are ignored. */
  static decode(size: number, text: string): Bits {
    const bits = new Bits(size);
    bits.addBytes(Buffer.from(text, "base64"));
    return bits;
  }

  /**
   * Whether a stored bitmap contains the number, without decoding the rest of the bitmap:
   * the owner of a partition checks this for each task that a worker has finished, and a
   * job array may have tens of thousands of tasks.
   */
  static storedHas(text: string, i: number): boolean {
    const byte = i >> 3;
    const group = Math.floor(byte / 3);
    const raw = Buffer.from(text.slice(group * 4, group * 4 + 4), "base64");
    return (((raw[byte % 3] ?? 0) >> (i & 7)) & 1) === 1;
  }

  /** Encodes the bitmap for storage, without trailing zero bytes. */
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
    this.setCount++;
  }

  merge(other: Bits): void {
    this.addBytes(other.bytes);
  }

  private addBytes(from: Uint8Array): void {
    const { bytes, size } = this;
    const n = Math.min(bytes.length, from.length);
    for (let b = 0; b < n; b++) {
      let added = from[b]! & ~bytes[b]!;
      // Bits of the last byte beyond the highest number of the set are ignored.
      if (b === bytes.length - 1 && size % 8 !== 0) added &= (1 << (size % 8)) - 1;
      bytes[b]! |= added;
      this.setCount += BIT_COUNTS[added]!;
    }
  }

  get count(): number {
    return this.setCount;
  }

  get full(): boolean {
    return this.setCount === this.size;
  }
}
