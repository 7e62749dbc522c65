import type { BernoulliCounts } from './e-variables.js';
import { DecayingCounts } from './decaying-counts.js';

/** Counts of the old and the new version over the same period in one data centre. */
export interface BernoulliCountsPair {
  readonly old: BernoulliCounts;
  readonly next: BernoulliCounts;
}

/** Prior of the old version's rate, as if this rate had been observed over `priorCalls` calls. */
const priorRate = 0.005;
const priorCalls = 40;
/** Fewest blocks without a call of the old version after which it counts as idle. */
const idleBlocksMin = 10;
/** Factor of the recent counts after each block; about the last 20 blocks matter. */
const windowDecayFactor = 0.95;
/** Factor of the old version's counts in the estimate after each block. */
export const estimateDecayFactor = 0.98;

/** Counts and rates of one data centre. */
export class Stratum {
  readonly estimate = new DecayingCounts();

  readonly oldRecent = new DecayingCounts();

  readonly newRecent = new DecayingCounts();

  /** Counts that are not tested until both versions have at least one call. */
  pending: BernoulliCountsPair = { old: { calls: 0, bad: 0 }, next: { calls: 0, bad: 0 } };

  get oldRate(): number {
    const rate = (this.estimate.bad + priorRate * priorCalls) / (this.estimate.calls + priorCalls);
    return Math.min(0.9, Math.max(0.0005, rate));
  }

  /** Fraction of about the last 50 blocks that had a call of the old version. */
  #oldBlockFraction = 1;

  #blocksWithoutOld = 0;

  /** Adds one block; the recent counts decay only when the new version has a call. */
  add(pair: BernoulliCountsPair): void {
    const hasOld = pair.old.calls > 0;
    this.#blocksWithoutOld = hasOld ? 0 : this.#blocksWithoutOld + 1;
    this.#oldBlockFraction =
      estimateDecayFactor * this.#oldBlockFraction + (hasOld ? 1 - estimateDecayFactor : 0);
    const decayFactor = pair.next.calls > 0 ? windowDecayFactor : 1;
    this.oldRecent.add(pair.old, decayFactor);
    this.newRecent.add(pair.next, decayFactor);
  }

  /** True once the old version has had no calls here for much longer than usual. */
  get isOldVersionIdle(): boolean {
    return this.#blocksWithoutOld > idleBlocksMin + 5 / Math.max(0.02, this.#oldBlockFraction);
  }

  /** Expected rate of bad calls of any version now; `historyRate` if the old version is idle. */
  expectedRate(historyRate: number): number {
    return this.isOldVersionIdle ? historyRate : this.oldRecent.rate;
  }
}
