import type { BernoulliCounts } from './e-variables.js';

/**
 * Counts in which older blocks matter less and less.
 *
 * @example
 * window.add({ calls: 10, bad: 1 }, 0.95);
 * window.rate; // 0.1
 */
export class DecayingCounts {
  calls = 0;

  bad = 0;

  add(counts: BernoulliCounts, keep: number): void {
    this.calls = this.calls * keep + counts.calls;
    this.bad = this.bad * keep + counts.bad;
  }

  get rate(): number {
    return this.calls > 0 ? this.bad / this.calls : 0;
  }
}
