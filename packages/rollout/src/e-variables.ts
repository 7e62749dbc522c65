/** Number of calls of a version and number of bad ones among them. */
export interface BernoulliCounts {
  readonly calls: number;
  readonly bad: number;
}

const logLikelihoodRatio = (counts: BernoulliCounts, rate: number, reference: number): number =>
  counts.bad * Math.log(rate / reference) +
  (counts.calls - counts.bad) * Math.log((1 - rate) / (1 - reference));

/**
 * Logarithm of the two-sample E-variable of one block (Turner, Ly, Grünwald, "Generic E-variables
 * for exact sequential k-sample tests that allow for optional stopping"): likelihood ratio of
 * (`oldRate`, `newRate`) against their mean weighted by the numbers of calls. Its expectation is at
 * most 1 whenever both versions have the same rate, whatever that rate is. Returns 0 if the
 * alternative rate is not above the old version's rate or if one version has no call.
 *
 * @example
 * twoSampleLogFactor({ calls: 99, bad: 0 }, { calls: 1, bad: 1 }, 0.01, 0.4); // > 0
 */
export const twoSampleLogFactor = (
  old: BernoulliCounts,
  next: BernoulliCounts,
  oldRate: number,
  newRate: number,
): number => {
  if (old.calls === 0 || next.calls === 0 || newRate <= oldRate) return 0;
  const mean = (old.calls * oldRate + next.calls * newRate) / (old.calls + next.calls);
  return logLikelihoodRatio(old, oldRate, mean) + logLikelihoodRatio(next, newRate, mean);
};

/**
 * Logarithm of the E-variable of one block for the null hypothesis that the rate is at most
 * `limitRate`. Returns 0 if the alternative rate is not above the limit.
 *
 * @example
 * limitLogFactor({ calls: 10, bad: 5 }, 0.02, 0.4); // > 0
 */
export const limitLogFactor = (
  counts: BernoulliCounts,
  limitRate: number,
  newRate: number,
): number => (newRate <= limitRate ? 0 : logLikelihoodRatio(counts, newRate, limitRate));
