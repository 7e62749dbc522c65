import type { BernoulliCounts } from './e-variables.js';
import type { VersionCounts } from './evidence-blocks.js';

/** Fewest timed calls of the old version from which its quantile is used. */
const timedCallsMin = 200;
/** Largest fraction of the old version's calls above the quantile. */
const tailFraction = 0.01;

/**
 * Latency above which a call of a route is slow: the service's latency limit, or, once the old
 * version's latencies are known, its 99th percentile plus one bucket (41 %), whichever is lower. The
 * threshold is set once per move, so that the same one applies to both versions.
 *
 * @example
 * threshold.calibrate(oldHistory);
 * threshold.countSlowCalls(block.next); // { calls, bad }
 */
export class SlowCallThreshold {
  /** Calls in buckets above this index are slow; undefined while only the limit is used. */
  #thresholdBucket: number | undefined;

  #isSet = false;

  constructor(private readonly latencyLimitMs: number) {}

  /** Sets the threshold once the old version has enough timed calls; later calls change nothing. */
  calibrate(oldHistory: VersionCounts): void {
    if (this.#isSet) return;
    const timed = oldHistory.buckets.reduce((sum, count) => sum + count, 0);
    if (timed < timedCallsMin) return;
    this.#isSet = true;
    let above = timed;
    const quantileBucket = oldHistory.buckets.findIndex((count) => {
      above -= count;
      return above <= timed * tailFraction;
    });
    const bucket = quantileBucket + 1;
    if (2 ** (bucket / 2) < this.latencyLimitMs) this.#thresholdBucket = bucket;
  }

  countSlowCalls(counts: VersionCounts): BernoulliCounts {
    const calls = counts.buckets.reduce((sum, count) => sum + count, 0);
    const thresholdBucket = this.#thresholdBucket;
    if (thresholdBucket === undefined) return { calls, bad: counts.overLimit };
    const bad = counts.buckets.reduce(
      (sum, count, index) => (index > thresholdBucket ? sum + count : sum),
      0,
    );
    return { calls, bad };
  }
}
