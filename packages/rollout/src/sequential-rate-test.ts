import { BettingMixture } from './betting-mixture.js';
import { limitLogFactor, twoSampleLogFactor, type BernoulliCounts } from './e-variables.js';
import { Stratum, estimateDecayFactor, type BernoulliCountsPair } from './stratum.js';

/** Fewest recent calls of a data centre that show whether the new version exceeds its limit. */
const limitedCallsMin = 3;
/** Fewest recent calls of a data centre that show whether it alone is unhealthy. */
const recentCallsMin = 10;
/** Fewest calls of the old version from which a limit for the new version is derived. */
const historyCallsMin = 100;

const sumCounts = (left: BernoulliCounts, right: BernoulliCounts): BernoulliCounts => ({
  calls: left.calls + right.calls,
  bad: left.bad + right.bad,
});

/**
 * Sequential tests of one route and one kind of evidence. `twoSampleTest` tests over the same period
 * within each data centre whether the new version is worse than the old one by more than the material
 * difference. `limitTest` uses the data centres where the old version no longer has calls, and tests
 * whether the new version exceeds `limitRate`, the lower of the absolute limit and the rate that the
 * old version's history allows; a data centre that alone is unhealthy is left out.
 *
 * @example
 * const test = new SequentialRateTest(0.02, 0.005);
 * test.observe(new Map([['ath-1', { old, next }]]));
 * test.twoSampleTest.logWealth;
 */
export class SequentialRateTest {
  readonly twoSampleTest = new BettingMixture();

  readonly limitTest = new BettingMixture();

  readonly #strata = new Map<string, Stratum>();

  readonly #history = { calls: 0, bad: 0 };

  #stageExcess = 0;

  constructor(
    /** Highest rate of bad calls that the service's own limit allows. */
    private readonly absoluteLimit: number,
    /** Smallest difference of the rates that matters. */
    readonly materialDifference: number,
  ) {}

  get oldHistoryRate(): number {
    return this.#history.calls > 0 ? this.#history.bad / this.#history.calls : 0;
  }

  /**
   * Rate of bad calls that the new version must not exceed: the absolute limit without enough
   * history, otherwise the lower of the rate that the history allows and the absolute limit, which is
   * raised to 1.2 times the old version's rate if that is higher; at most 0.9.
   */
  get limitRate(): number {
    if (this.#history.calls < historyCallsMin) return this.absoluteLimit;
    const history = (this.#history.bad + 0.5) / (this.#history.calls + 1);
    const fromHistory = Math.max(1.5 * history, history + this.materialDifference);
    return Math.min(0.9, fromHistory, Math.max(this.absoluteLimit, 1.2 * history));
  }

  /** Difference of the recent rates, new minus old, over the data centres with both versions. */
  get recentRateDifference(): number {
    const both = [...this.#strata.values()].filter(
      ({ oldRecent, newRecent }) => oldRecent.calls > 0 && newRecent.calls > 0,
    );
    const calls = both.reduce((sum, { newRecent }) => sum + newRecent.calls, 0);
    const weighted = both.reduce(
      (sum, { oldRecent, newRecent }) => sum + newRecent.calls * (newRecent.rate - oldRecent.rate),
      0,
    );
    return calls > 0 ? weighted / calls : 0;
  }

  /** Bad calls of the new version since `beginStage` beyond those expected at the old rate. */
  get stageExcessBadCalls(): number {
    return Math.max(0, this.#stageExcess);
  }

  beginStage(): void {
    this.#stageExcess = 0;
  }

  /**
   * True if the limit is exceeded in most of the data centres that have no calls of the old version
   * to compare with; one unhealthy data centre is not enough.
   */
  get isLimitExceededInMostDataCentres(): boolean {
    const strata = this.#strataWithoutOld(limitedCallsMin);
    return this.#exceedingLimit(strata).length * 2 > strata.length;
  }

  observe(dataCentres: ReadonlyMap<string, BernoulliCountsPair>): void {
    const pairsWithoutOld: [Stratum, BernoulliCountsPair][] = [];
    dataCentres.forEach((pair, name) => {
      const stratum = this.#strata.get(name) ?? new Stratum();
      this.#strata.set(name, stratum);
      this.#compare(stratum, pair);
      stratum.add(pair);
      const expected = pair.next.calls * stratum.expectedRate(this.oldHistoryRate);
      this.#stageExcess += pair.next.bad - expected;
      if (stratum.isOldVersionIdle) pairsWithoutOld.push([stratum, pair]);
      this.#history.calls += pair.old.calls;
      this.#history.bad += pair.old.bad;
    });
    this.#observeLimit(pairsWithoutOld);
  }

  #compare(state: Stratum, pair: BernoulliCountsPair): void {
    const stratum = state;
    const old = sumCounts(stratum.pending.old, this.#withMargin(pair.old));
    const next = sumCounts(stratum.pending.next, pair.next);
    stratum.pending = { old, next };
    if (old.calls === 0 || next.calls === 0) return;
    stratum.pending = { old: { calls: 0, bad: 0 }, next: { calls: 0, bad: 0 } };
    const { oldRate } = stratum;
    this.twoSampleTest.bet((rate) =>
      rate > 1.2 * oldRate ? twoSampleLogFactor(old, next, oldRate, rate) : 0,
    );
    stratum.estimate.add(old, estimateDecayFactor);
  }

  /**
   * Adds the material difference to the old version's bad calls, so that the test is about a
   * difference that matters. This is the mean over marking each good call as bad with that
   * probability; by Jensen's inequality the E-variable of the mean is at most the mean of the
   * E-variables, so its expectation stays at most 1.
   */
  #withMargin({ calls, bad }: BernoulliCounts): BernoulliCounts {
    return { calls, bad: bad + this.materialDifference * (calls - bad) };
  }

  #strataWithoutOld(callsMin: number): Stratum[] {
    return [...this.#strata.values()].filter(
      ({ isOldVersionIdle, newRecent }) => isOldVersionIdle && newRecent.calls >= callsMin,
    );
  }

  #exceedingLimit(strata: readonly Stratum[]): Stratum[] {
    return strata.filter(({ newRecent }) => newRecent.rate > this.limitRate);
  }

  /** Adds a block to the limit test; leaves out data centres over the limit unless most are. */
  #observeLimit(pairs: readonly [Stratum, BernoulliCountsPair][]): void {
    const { limitRate } = this;
    const strata = this.#strataWithoutOld(recentCallsMin);
    const exceeding = this.#exceedingLimit(strata);
    const isAtLeastHalfWithinLimit = strata.length > 1 && exceeding.length * 2 <= strata.length;
    const next = pairs
      .filter(([stratum]) => !isAtLeastHalfWithinLimit || !exceeding.includes(stratum))
      .map(([, pair]) => pair.next)
      .reduce(sumCounts, { calls: 0, bad: 0 });
    if (next.calls === 0) return;
    this.limitTest.bet((rate) =>
      rate > 1.2 * limitRate ? limitLogFactor(next, limitRate, rate) : 0,
    );
  }
}
