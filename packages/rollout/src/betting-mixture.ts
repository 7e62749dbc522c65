/** Alternative rates of bad calls of the new version, with one bet of the mixture on each. */
export const alternativeRates = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.7, 0.95] as const;

/** Blocks after which half of the reserve has been put into bets; suits moves of 10 min. */
const reserveHalvingBlocks = 100;

const logSum = (values: readonly number[]): number => {
  const largest = Math.max(...values);
  if (largest === -Infinity) return -Infinity;
  return largest + Math.log(values.reduce((sum, value) => sum + Math.exp(value - largest), 0));
};

/**
 * Mixture of bets, one per alternative rate, with a reserve that is not bet. Its wealth is an
 * E-process: it starts at 1, and under the null hypothesis it exceeds x with a probability of at
 * most 1/x at any time. After each block a fraction of the reserve goes into the bets, so that good
 * calls at the beginning do not hide a defect that starts late (fixed-share mixture of Herbster and
 * Warmuth; still an E-process, since the fractions are fixed before the block).
 *
 * @example
 * const mixture = new BettingMixture();
 * mixture.bet((rate) => blockLogFactor(rate));
 * if (mixture.logWealth > Math.log(1 / alpha)) reject();
 */
export class BettingMixture {
  #logReserve = Math.log(0.5);

  #logBets = alternativeRates.map(() => Math.log(0.5 / alternativeRates.length));

  #blocks = 0;

  /** Natural logarithm of the wealth. */
  get logWealth(): number {
    return logSum([this.#logReserve, ...this.#logBets]);
  }

  /** Adds one block; `logFactorOf` returns the logarithm of its E-variable for an alternative. */
  bet(logFactorOf: (alternativeRate: number) => number): void {
    this.#logBets = this.#logBets.map(
      (logBet, index) => logBet + logFactorOf(alternativeRates[index] ?? 0),
    );
    const fraction = 1 / (this.#blocks + reserveHalvingBlocks);
    const logRefill = this.#logReserve + Math.log(fraction / alternativeRates.length);
    this.#logBets = this.#logBets.map((logBet) => logSum([logBet, logRefill]));
    this.#logReserve += Math.log(1 - fraction);
    this.#blocks += 1;
  }

  /** Resets the wealth to 1. */
  reset(): void {
    this.#logReserve = Math.log(0.5);
    this.#logBets = alternativeRates.map(() => Math.log(0.5 / alternativeRates.length));
    this.#blocks = 0;
  }
}
