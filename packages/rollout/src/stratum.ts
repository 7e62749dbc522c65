import type { BernoulliCounts } from './e-variables.js';
import { DecayingCounts } from './decaying-counts.js';

/** Old and new version over the same period in one data centre. */
export interface BernoulliCountsPair {
  readonly old: BernoulliCounts;
  readonly next: BernoulliCounts;
}

/** Prior of the old version's rate: what is assumed before it has been seen. */
const priorRate = 0.005;
const priorCalls = 40;
/** Fewest blocks without a call of the old version after which it counts as gone. */
const oldBlocksMin = 10;
/** Part of the recent counts that stays after each block; about the last 20 blocks matter. */
const windowKeep = 0.95;
/** Part of the old version's counts that stays in the estimate after each block. */
export const estimateDecayFactor = 0.98;

/** What is kept of one data centre. */
export class Stratum {
  readonly estimate = new DecayingCounts();

  readonly oldRecent = new DecayingCounts();

  readonly newRecent = new DecayingCounts();

  /** Counts that wait until both versions have at least one call. */
  pending: BernoulliCountsPair = { old: { calls: 0, bad: 0 }, next: { calls: 0, bad: 0 } };

  get oldRate(): number {
    const rate = (this.estimate.bad + priorRate * priorCalls) / (this.estimate.calls + priorCalls);
    return Math.min(0.9, Math.max(0.0005, rate));
  }

  /** Part of the blocks that had a call of the old version, over the last 50 or so. */
  #oldBlocksPart = 1;

  #blocksWithoutOld = 0;

  /** Adds one block; the recent windows move on only when the new version has a call. */
  add(pair: BernoulliCountsPair): void {
    const hasOld = pair.old.calls > 0;
    this.#blocksWithoutOld = hasOld ? 0 : this.#blocksWithoutOld + 1;
    this.#oldBlocksPart =
      estimateDecayFactor * this.#oldBlocksPart + (hasOld ? 1 - estimateDecayFactor : 0);
    const keep = pair.next.calls > 0 ? windowKeep : 1;
    this.oldRecent.add(pair.old, keep);
    this.newRecent.add(pair.next, keep);
  }

  /** True once the old version has had no call here for much longer than usual. */
  get isOldVersionIdle(): boolean {
    return this.#blocksWithoutOld > oldBlocksMin + 5 / Math.max(0.02, this.#oldBlocksPart);
  }

  /** Rate of bad calls that any version has here now. */
  expectedRate(historyRate: number): number {
    return this.isOldVersionIdle ? historyRate : this.oldRecent.rate;
  }
}
