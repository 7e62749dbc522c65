import type { BernoulliCounts } from './e-variables.js';

/**
 * Counts of blocks in which the weight of each block decays exponentially with its age.
 *
 * @example
 * counts.add({ calls: 10, bad: 1 }, 0.95);
 * counts.rate; // 0.1
 */
export class DecayingCounts {
  calls = 0;

  bad = 0;

  /** Multiplies the kept counts by `decayFactor` (0 to 1) and adds a block. */
  add(counts: BernoulliCounts, decayFactor: number): void {
    this.calls = this.calls * decayFactor + counts.calls;
    this.bad = this.bad * decayFactor + counts.bad;
  }

  /** Fraction of the calls that are bad; 0 without calls. */
  get rate(): number {
    return this.calls > 0 ? this.bad / this.calls : 0;
  }
}
