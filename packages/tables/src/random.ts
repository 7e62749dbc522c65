import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Source of random numbers; seeded, so that a run can be repeated. */
export interface RandomSource {
  /** Returns a number, uniform in [0, 1). */
  next(): number;
  /** Returns an integer, uniform in [0, bound). */
  nextInt(bound: number): number;
}

/**
 * Generates seeded random numbers (xoroshiro128+ of `pure-rand`).
 *
 * @example
 * const random = new SeededRandom(42);
 * const peer = peers[random.nextInt(peers.length)];
 */
export class SeededRandom implements RandomSource {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  next(): number {
    return uniformFloat64(this.#generator);
  }

  nextInt(bound: number): number {
    return Math.floor(this.next() * bound);
  }
}
