import type { BernoulliCounts } from './e-variables.js';
import { Window } from './window.js';

/** Old and new version over the same period in one data centre. */
export interface CountsPair {
  readonly old: BernoulliCounts;
  readonly next: BernoulliCounts;
}

/** Prior of the old version's rate: what is assumed before it has been seen. */
const priorRate = 0.005;
const priorCalls = 40;
/** Recent calls of a data centre before it can be called sick by itself. */
export const recentCallsMin = 10;
/** Blocks without a call of the old version after which its recent rate says nothing any more. */
const oldBlocksMax = 5;
/** Old-version rate, relative to the new one's, from which both are sick. */
const bothSickFactor = 0.7;

/** What is kept of one data centre. */
export class Stratum {
  readonly estimate = new Window();

  readonly oldRecent = new Window();

  readonly newRecent = new Window();

  /** Counts that wait until both versions have at least one call. */
  pending: CountsPair = { old: { calls: 0, bad: 0 }, next: { calls: 0, bad: 0 } };

  get oldRate(): number {
    const rate = (this.estimate.bad + priorRate * priorCalls) / (this.estimate.calls + priorCalls);
    return Math.min(0.9, Math.max(0.0005, rate));
  }

  /** Blocks since the last call of the old version. */
  blocksWithoutOld = 0;

  get hasRecentOld(): boolean {
    return this.oldRecent.calls >= recentCallsMin && this.blocksWithoutOld <= oldBlocksMax;
  }

  get areBothSick(): boolean {
    return this.hasRecentOld && this.oldRecent.rate > bothSickFactor * this.newRecent.rate;
  }
}
