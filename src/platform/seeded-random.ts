import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const RESOLUTION = 1_000_000;

/** Returns a pseudo-random generator of numbers in [0, 1), deterministic for the seed. */
export function seededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformInt(generator, 0, RESOLUTION - 1) / RESOLUTION;
}
