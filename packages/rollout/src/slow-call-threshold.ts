import type { BernoulliCounts } from './e-variables.js';
import type { VersionCounts } from './evidence-blocks.js';

/** Timed calls of the old version before its own quantile is used. */
const timedCallsMin = 200;
/** Part of the old version's calls that may lie above the line. */
const tailFraction = 0.01;

/**
 * Decides which calls of a route are slow: over the service's latency limit, or, once the old
 * version's latencies are known, over its 99th percentile and one bucket (41 %) more, whichever is
 * lower. The line is set once per move, so that both versions are measured by the same line.
 *
 * @example
 * line.calibrate(oldHistory);
 * line.countSlowCalls(block.next); // { calls, bad }
 */
export class SlowCallThreshold {
  /** Calls in buckets above this index are slow; undefined while only the limit is used. */
  #bucket: number | undefined;

  #isSet = false;

  constructor(private readonly latencyLimitMs: number) {}

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
    if (2 ** (bucket / 2) < this.latencyLimitMs) this.#bucket = bucket;
  }

  countSlowCalls(counts: VersionCounts): BernoulliCounts {
    const calls = counts.buckets.reduce((sum, count) => sum + count, 0);
    const line = this.#bucket;
    if (line === undefined) return { calls, bad: counts.overLimit };
    const bad = counts.buckets.reduce((sum, count, index) => (index > line ? sum + count : sum), 0);
    return { calls, bad };
  }
}
